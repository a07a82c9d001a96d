package request

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/platform/platformtest"
)

// desk is a plain service that must not run the deposit twice.
type desk struct {
	mu      sync.Mutex
	runs    int
	answers int
	broken  string
}

func (d *desk) run() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs++
	if d.runs > 1 {
		d.broken = "the deposit ran twice"
	}
	return nil
}

func (d *desk) answered(body string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answers++
	if body != "paid" || d.runs == 0 {
		d.broken = "a caller got an answer of nothing that ran"
	}
}

// ask takes the claim and runs the deposit, as an entry VM does. giveUp lets it
// withdraw before anything is sent.
func (d *desk) ask(p *platformtest.Process, claims *Claims, giveUp bool) (done bool) {
	ctx, cancel := context.WithTimeout(p.Context, 10*time.Second)
	defer cancel()
	claim, err := claims.Take(ctx, farm, deposit, Fingerprint("desk", charge))
	if err != nil {
		return false
	}
	if claim.Answer != nil {
		if !p.Dead() {
			d.answered(string(claim.Answer.Body))
		}
		return true
	}
	if giveUp {
		_ = claims.Withdraw(ctx, claim)
		return false
	}
	if err := p.Call(ctx, "service", "desk", true, d.run); err != nil {
		claims.Leave(claim)
		return false
	}
	return claims.Finish(ctx, claim, paid) == nil
}

// A deposit is asked for at two VMs again and again, and one of them first gives
// up. Whatever fails, it runs at most once, and nobody gets an answer that no
// run gave.
func TestMatrixClaim(t *testing.T) {
	platformtest.RunMatrix(t, platformtest.Protocol{
		Name:  "claim",
		Lasts: platformtest.EveryLast(15 * time.Second),
		Run: func(w *platformtest.World) error {
			ctx, stop := context.WithCancel(context.Background())
			d := &desk{}
			var group sync.WaitGroup
			var gaveUp atomic.Bool
			for _, name := range []string{"vm-1", "vm-2"} {
				w.Supervise(ctx, &group, name, func(p *platformtest.Process) {
					claims := NewClaims(p)
					for range 8 {
						d.ask(p, claims, name == "vm-1" && gaveUp.CompareAndSwap(false, true))
						time.Sleep(2 * time.Second)
					}
				})
				time.Sleep(time.Millisecond)
			}
			group.Wait()
			stop()
			time.Sleep(time.Minute)
			if d.broken != "" {
				return errors.Newf("%s", d.broken)
			}
			return nil
		},
	})
}
