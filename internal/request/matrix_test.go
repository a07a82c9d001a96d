package request

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/platformapi/faultinject"
)

// paymentService is a plain service that must not run the deposit twice.
type paymentService struct {
	mu        sync.Mutex
	runs      int
	answers   int
	violation string
}

func (s *paymentService) run() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	if s.runs > 1 {
		s.violation = "the deposit ran twice"
	}
	return nil
}

func (s *paymentService) recordAnswer(body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers++
	if body != "paid" || s.runs == 0 {
		s.violation = "a caller got a wrong answer, or an answer although nothing ran"
	}
}

// handle claims the key and runs the deposit, as an entry VM does. If withdraw is
// true, it withdraws the claim before anything is sent.
func (s *paymentService) handle(p *faultinject.Process, claims *Claims, withdraw bool) (done bool) {
	ctx, cancel := context.WithTimeout(p.Context, 10*time.Second)
	defer cancel()
	claim, err := claims.Acquire(ctx, testAccount, depositKey, Fingerprint("desk", depositCall))
	if err != nil {
		return false
	}
	if claim.Answer != nil {
		if !p.Killed() {
			s.recordAnswer(string(claim.Answer.Body))
		}
		return true
	}
	if withdraw {
		_ = claims.Withdraw(ctx, claim)
		return false
	}
	if err := p.Call(ctx, "service", "desk", true, s.run); err != nil {
		claims.Abandon(claim)
		return false
	}
	return claims.Finish(ctx, claim, paidAnswer) == nil
}

// Two VMs repeatedly receive the same deposit, and one of them withdraws its first
// claim. Under every fault, the deposit must run at most once, and no caller may
// get an answer before it ran.
func TestMatrixClaim(t *testing.T) {
	faultinject.RunMatrix(t, faultinject.Protocol{
		Name:      "claim",
		Durations: faultinject.UniformDurations(15 * time.Second),
		Run: func(cluster *faultinject.Cluster) error {
			ctx, stop := context.WithCancel(context.Background())
			s := &paymentService{}
			var processes sync.WaitGroup
			var withdrawn atomic.Bool
			for _, name := range []string{"vm-1", "vm-2"} {
				cluster.Supervise(ctx, &processes, name, func(p *faultinject.Process) {
					claims := NewClaims(p)
					for range 8 {
						s.handle(p, claims, name == "vm-1" && withdrawn.CompareAndSwap(false, true))
						time.Sleep(2 * time.Second)
					}
				})
				time.Sleep(time.Millisecond)
			}
			processes.Wait()
			stop()
			time.Sleep(time.Minute)
			if s.violation != "" {
				return errors.Newf("%s", s.violation)
			}
			return nil
		},
	})
}
