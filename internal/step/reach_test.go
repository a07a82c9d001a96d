package step

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/target"
)

// cutTransport is the engines as a VM reaches them that may be cut off.
type cutTransport struct {
	engines *fakeEngines
	// only, if set, is the one engine that may be cut off.
	only string

	// mu guards the fields below; failed and answered count the calls.
	mu               sync.Mutex
	cut              bool
	failed, answered int
}

func (t *cutTransport) setCut(cut bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cut = cut
}

func (t *cutTransport) counts() (failed, answered int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failed, t.answered
}

func (t *cutTransport) Call(ctx context.Context, entry *target.Entry, request *target.Request) (*target.Response, error) {
	time.Sleep(2 * time.Millisecond)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cut && (t.only == "" || t.only == entry.Info().ID) {
		t.failed++
		return nil, fault.WithExecution(errors.WithStack(&fault.UpstreamFailed{Upstream: entry.Info().ID, Reason: "no connection"}), fault.NotRun)
	}
	t.answered++
	return t.engines.Call(ctx, entry, request)
}

// Guards against hundreds of attempts a second at engines that can't be reached, and against items
// that stay in a backoff after the engines can be reached again.
func TestAttemptsAtUnreachableEnginesPause(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1", "e2", "e3", "e4")
		transport := &cutTransport{engines: cl.engines, cut: true}
		cl.transportOf = func(string, string) target.Transport { return transport }
		a := cl.start("a")
		submit(t, a, spec("s"), items(200))
		time.Sleep(5 * time.Second)
		// Up to 16 items start before the first connection has failed.
		if failed, _ := transport.counts(); failed < 40 || failed > 80 {
			t.Errorf("%d attempts at 4 engines in 5 s, want 12 to 15 at each and those of the start", failed)
		}
		transport.setCut(false)
		time.Sleep(maxRetryBackoff + 100*time.Millisecond)
		// Texts take 30 ms.
		if _, answered := transport.counts(); answered < 32 {
			t.Errorf("%d attempts in the first time after the cut, want 2 or more at each of 16 slots", answered)
		}
		checkTexts(t, readUntilComplete(t, a, "s"), 3)
	})
}

// Guards against items that stay at a frozen engine for ever because a connection to the only other one
// failed once.
func TestStalledItemsLeaveForAnEngineThatWasUnreachable(t *testing.T) {
	bubble(t, func(t *testing.T) {
		cl := newCluster(t, "e1", "e2")
		transport := &cutTransport{engines: cl.engines, cut: true, only: "e2"}
		cl.transportOf = func(string, string) target.Transport { return transport }
		cl.engines.behave["e1"] = pacedBehaviour(10, time.Hour)
		a := cl.start("a")
		submit(t, a, spec("s"), items(4))
		time.Sleep(300 * time.Millisecond)
		transport.setCut(false)
		time.Sleep(10 * time.Second)
		checkTexts(t, readUntilComplete(t, a, "s"), 3)
	})
}
