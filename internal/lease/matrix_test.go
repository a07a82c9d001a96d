package lease

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/platformapi/faultinject"
)

const (
	// orderTimeout is the longest time after which an order can still take effect.
	orderTimeout   = 12 * time.Second
	matrixDuration = 25 * testTerm
)

// upstreamPair is an upstream that checks fencing tokens and one that ignores them.
type upstreamPair struct {
	rows                         platformapi.Tables
	mu                           sync.Mutex
	checkingEpoch, ignoringEpoch uint64
	senders                      map[uint64]string
	lastOrderAt                  time.Time
	violation                    string
}

func (u *upstreamPair) accept(sender string, epoch uint64, checksEpoch bool) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if checksEpoch && epoch < u.checkingEpoch {
		return errors.WithStack(&fault.OrderFenced{Epoch: u.checkingEpoch})
	}
	if !checksEpoch && epoch < u.ignoringEpoch {
		u.violation = "an order of an old epoch arrived after one of a newer epoch"
	}
	if other, ok := u.senders[epoch]; ok && other != sender {
		u.violation = "two holders share an epoch"
	}
	u.senders[epoch] = sender
	u.lastOrderAt = time.Now()
	if checksEpoch {
		u.checkingEpoch = epoch
	} else {
		u.ignoringEpoch = epoch
	}
	return nil
}

// sinceLastOrder returns how long ago the last order was accepted.
func (u *upstreamPair) sinceLastOrder() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Since(u.lastOrderAt)
}

// checkRowEpoch reads the row directly from the store: a process whose guard passes
// must still be the holder in the row.
func (u *upstreamPair) checkRowEpoch(epoch uint64) {
	row, _ := u.rows.Get(context.Background(), keyPrefix+"upstreams/a")
	var record Record
	_ = json.Unmarshal(row.Value, &record)
	u.mu.Lock()
	defer u.mu.Unlock()
	if record.Epoch != epoch {
		u.violation = "a guard passed although another VM had taken the lease"
	}
}

// sendOrders sends orders to both upstreams while the lease is held.
func (u *upstreamPair) sendOrders(p *faultinject.Process, sender string) func(context.Context, Guard) (bool, error) {
	return func(ctx context.Context, g Guard) (bool, error) {
		started := time.Now()
		for sleep(ctx, time.Second) == nil {
			u.sendOrder(ctx, p, g, sender, true)
			if time.Since(started) >= OrderGracePeriod(orderTimeout) {
				u.sendOrder(ctx, p, g, sender, false)
			}
		}
		return false, nil
	}
}

// sendOrder checks the guard and then sends an order. Nothing is written after the end of
// the term, but what was written before can take effect until orderTimeout has passed.
func (u *upstreamPair) sendOrder(ctx context.Context, p *faultinject.Process, g Guard, sender string, checksEpoch bool) {
	subject := "ignoring"
	if checksEpoch {
		subject = "checking"
	}
	epoch, latestEffect := g.Epoch(), g.Deadline().Add(orderTimeout)
	if g.Check() != nil {
		return
	}
	u.checkRowEpoch(epoch)
	_ = p.Call(ctx, "order", subject, true, func() error {
		if !checksEpoch && !time.Now().Before(latestEffect) {
			return nil
		}
		return u.accept(sender, epoch, checksEpoch)
	})
}

// Two VMs contend for the lease of an upstream that checks fencing tokens and of one
// that ignores them. With any fault, no order may follow one with a newer epoch, and
// after the fault one VM must hold the lease.
func TestMatrixLease(t *testing.T) {
	faultinject.RunMatrix(t, faultinject.Protocol{
		Name: "lease",
		Durations: map[faultinject.Kind]time.Duration{
			faultinject.DelayEffect: 10 * time.Second,
			faultinject.PauseBefore: 3 * testTerm,
			faultinject.PauseAfter:  3 * testTerm,
			faultinject.StoreDown:   2 * testTerm,
			faultinject.CutOff:      2 * testTerm,
		},
		Run: func(cluster *faultinject.Cluster) error {
			ctx, stop := context.WithCancel(context.Background())
			u := &upstreamPair{rows: cluster.Rows, senders: map[uint64]string{}}
			var group sync.WaitGroup
			for _, name := range []string{"vm-1", "vm-2"} {
				cluster.Supervise(ctx, &group, name, func(p *faultinject.Process) {
					m := newTestManager(p)
					_ = m.Campaign(p.Context, "upstreams/a", u.sendOrders(p, name))
				})
				time.Sleep(time.Millisecond)
			}
			time.Sleep(matrixDuration)
			since := u.sinceLastOrder()
			stop()
			group.Wait()
			time.Sleep(time.Minute)
			if u.violation != "" {
				return errors.Newf("%s", u.violation)
			}
			if since > 3*testTerm {
				return errors.Newf("no VM sent an order for %v", since)
			}
			return nil
		},
	})
}
