package lease

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platform"
	"dogwoodpond/internal/platform/platformtest"
)

const (
	// longestOrder is the longest time after which an order takes effect.
	longestOrder = 12 * time.Second
	matrixLength = 25 * testTerm
)

// upstreams are one upstream that checks fencing numbers and one that does not.
type upstreams struct {
	rows               platform.Tables
	mu                 sync.Mutex
	checking, ignoring uint64
	owner              map[uint64]string
	lastOrder          time.Time
	broken             string
}

func (u *upstreams) take(by string, epoch uint64, checks bool) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if checks && epoch < u.checking {
		return errors.WithStack(&fault.OrderFenced{Epoch: u.checking})
	}
	if !checks && epoch < u.ignoring {
		u.broken = "an order of an old epoch came after a newer one"
	}
	if other, ok := u.owner[epoch]; ok && other != by {
		u.broken = "two holders share an epoch"
	}
	u.owner[epoch] = by
	u.lastOrder = time.Now()
	if checks {
		u.checking = epoch
	} else {
		u.ignoring = epoch
	}
	return nil
}

// silence returns how long ago the last order came.
func (u *upstreams) silence() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Since(u.lastOrder)
}

// checkInCharge looks at the row behind everybody's back: whoever passes the
// guard must not have a successor yet.
func (u *upstreams) checkInCharge(epoch uint64) {
	row, _ := u.rows.Get(context.Background(), keyPrefix+"upstreams/a")
	var record Record
	_ = json.Unmarshal(row.Value, &record)
	u.mu.Lock()
	defer u.mu.Unlock()
	if record.Epoch != epoch {
		u.broken = "a guard passed although another VM had taken the lease"
	}
}

// command gives orders to both upstreams while the lease is held.
func (u *upstreams) command(p *platformtest.Process, owner string) func(context.Context, Guard) (bool, error) {
	return func(ctx context.Context, g Guard) (bool, error) {
		began := time.Now()
		for sleep(ctx, time.Second) == nil {
			u.order(ctx, p, g, owner, true)
			if time.Since(began) >= SettleTime(longestOrder) {
				u.order(ctx, p, g, owner, false)
			}
		}
		return false, nil
	}
}

// order asks the guard, then writes. The connection ends with the term, but what
// was written before can be on its way for longestOrder.
func (u *upstreams) order(ctx context.Context, p *platformtest.Process, g Guard, owner string, checks bool) {
	subject := "ignoring"
	if checks {
		subject = "checking"
	}
	epoch, end := g.Epoch(), g.Deadline().Add(longestOrder)
	if g.Check() != nil {
		return
	}
	u.checkInCharge(epoch)
	_ = p.Call(ctx, "order", subject, true, func() error {
		if !checks && !time.Now().Before(end) {
			return nil
		}
		return u.take(owner, epoch, checks)
	})
}

// Two VMs want to be in charge of an upstream that checks who gives an order and
// of one that does not. Whatever fails, no old order may follow a newer one, and
// when all is well again somebody must be in charge.
func TestMatrixLease(t *testing.T) {
	platformtest.RunMatrix(t, platformtest.Protocol{
		Name: "lease",
		Lasts: map[platformtest.Kind]time.Duration{
			platformtest.Late:        10 * time.Second,
			platformtest.PauseBefore: 3 * testTerm,
			platformtest.PauseAfter:  3 * testTerm,
			platformtest.StoreDown:   2 * testTerm,
			platformtest.CutOff:      2 * testTerm,
		},
		Run: func(w *platformtest.World) error {
			ctx, stop := context.WithCancel(context.Background())
			u := &upstreams{rows: w.Rows, owner: map[uint64]string{}}
			var group sync.WaitGroup
			for _, name := range []string{"vm-1", "vm-2"} {
				w.Supervise(ctx, &group, name, func(p *platformtest.Process) {
					m := testManager(p)
					_ = m.Campaign(p.Context, "upstreams/a", u.command(p, name))
				})
				time.Sleep(time.Millisecond)
			}
			time.Sleep(matrixLength)
			since := u.silence()
			stop()
			group.Wait()
			time.Sleep(time.Minute)
			if u.broken != "" {
				return errors.Newf("%s", u.broken)
			}
			if since > 3*testTerm {
				return errors.Newf("nobody gave an order for %v", since)
			}
			return nil
		},
	})
}
