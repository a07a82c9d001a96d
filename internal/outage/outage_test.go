package outage

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against calls that hang until their timeout although the dependency is available
// again.
func TestCallsSentDuringOutageEndAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var w Monitor
		before, cancel := w.CallContext(t.Context())
		defer cancel()
		if !w.NoteUnanswered(time.Now()) || w.NoteUnanswered(time.Now()) {
			t.Fatal("only the first failed call starts an outage")
		}
		during, cancel := w.CallContext(t.Context())
		defer cancel()
		time.Sleep(3 * time.Second)
		if during.Err() != nil {
			t.Error("a call sent during the outage was canceled before the outage ended")
		}
		if took, ok := w.NoteAnswered(time.Now(), 10*time.Millisecond); !ok || took != 3*time.Second {
			t.Errorf("the outage took %s, want 3s", took)
		}
		time.Sleep(50 * time.Millisecond)
		if during.Err() != nil {
			t.Error("a call sent during the outage was canceled within its grace period")
		}
		time.Sleep(50 * time.Millisecond)
		if during.Err() == nil {
			t.Error("a call sent during the outage was not canceled after the grace period")
		}
		if before.Err() != nil {
			t.Error("a call sent before the outage was canceled")
		}
	})
}

// Guards against an outage whose end is not noticed because every call hangs.
func TestProbesDetectEndOfOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var w Monitor
		ctx, stop := context.WithCancel(t.Context())
		availableAt := time.Now().Add(5 * time.Second)
		var probes atomic.Int32
		const interval = 100 * time.Millisecond
		go w.Probe(ctx, func() time.Duration { return interval }, func(ctx context.Context) {
			probes.Add(1)
			if time.Now().Before(availableAt) {
				call, cancel := context.WithTimeout(ctx, interval)
				defer cancel()
				<-call.Done()
				return
			}
			w.NoteAnswered(time.Now(), 0)
		})
		time.Sleep(time.Second)
		if probes.Load() > 0 {
			t.Error("an available dependency is probed")
		}
		w.NoteUnanswered(time.Now())
		time.Sleep(4*time.Second + 2*interval)
		if !w.IsAvailable() {
			t.Error("the end of the outage was not detected")
		}
		probesDuringOutage := probes.Load()
		time.Sleep(time.Second)
		if probes.Load() > probesDuringOutage {
			t.Error("the dependency is still probed after the outage")
		}
		stop()
	})
}
