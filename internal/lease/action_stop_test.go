package lease

import (
	"context"
	"testing"
	"time"

	"dogwoodpond/internal/fault"
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
