package lease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi/faultinject"
)

// stoppingGuard is the guard of a holder that is stopped while its lease is confirmed.
type stoppingGuard struct {
	Guard
	stop  context.CancelFunc
	ended []bool
}

func (*stoppingGuard) Deadline() time.Time { return time.Now().Add(time.Hour) }

func (g *stoppingGuard) BeginAction(context.Context, string) (func(bool), error) {
	g.stop()
	return func(mayTakeEffect bool) { g.ended = append(g.ended, mayTakeEffect) }, nil
}

// Guards against an action that begins after a planned stop, which then waits for it.
func TestNoActionBeginsAfterAStop(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	g := &stoppingGuard{stop: stop}
	acted := false
	err := Act(ctx, g, time.Second, func(context.Context) error {
		acted = true
		return nil
	})
	if acted || !fault.Is[*fault.LeaseUnconfirmed](err) {
		t.Errorf("acted: %v, error %v, want an error without the action", acted, err)
	}
	if len(g.ended) != 1 || g.ended[0] {
		t.Errorf("the action ended as %v, want once without an effect", g.ended)
	}
}

// Guards against a call that goes on without the lease: after a stop nothing but the end of the
// term ends it, and renewals have put that off.
func TestCallAfterAStopEndsWithARenewedTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := faultinject.NewCluster(faultinject.NoFaults)
		p := cluster.Start(context.Background(), "vm-1")
		const downAfter = testTerm + testTerm/2
		var took time.Duration
		_ = newTestManager(p).Campaign(p.Context, "a", func(ctx context.Context, g Guard) (bool, error) {
			started := time.Now()
			time.AfterFunc(time.Second, p.Stop)
			time.AfterFunc(downAfter, func() { cluster.TakeStoreDown(10 * testTerm) })
			call, cancel := callContext(ctx, g, 5*testTerm)
			defer cancel()
			<-call.Done()
			took = time.Since(started)
			return true, nil
		})
		if took < testTerm || took > downAfter+testTerm {
			t.Errorf("the call ended after %v, want %v to %v", took, testTerm, downAfter+testTerm)
		}
	})
}
