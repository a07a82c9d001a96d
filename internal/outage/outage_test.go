package outage

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against calls that hang until their timeout although the dependency is back.
func TestCallsOfAnOutageEndWithIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var w Watch
		before, cancel := w.Bound(t.Context())
		defer cancel()
		if !w.Lost(time.Now()) || w.Lost(time.Now()) {
			t.Fatal("an outage begins once")
		}
		during, cancel := w.Bound(t.Context())
		defer cancel()
		time.Sleep(3 * time.Second)
		if during.Err() != nil {
			t.Error("the call ended before the outage")
		}
		if took, ok := w.Answers(time.Now(), 10*time.Millisecond); !ok || took != 3*time.Second {
			t.Errorf("the outage took %s", took)
		}
		time.Sleep(50 * time.Millisecond)
		if during.Err() != nil {
			t.Error("a call that may have been sent behind the outage got no time for its answer")
		}
		time.Sleep(50 * time.Millisecond)
		if during.Err() == nil {
			t.Error("the call goes on though it was sent into the silence")
		}
		if before.Err() != nil {
			t.Error("a call from before the outage was ended")
		}
	})
}

// Guards against an end of the outage that nobody notices, because every call hangs.
func TestProbesNoticeTheEndOfASilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var w Watch
		ctx, stop := context.WithCancel(t.Context())
		back := time.Now().Add(5 * time.Second)
		var asked atomic.Int32
		const period = 100 * time.Millisecond
		go w.Probe(ctx, func() time.Duration { return period }, func(ctx context.Context) {
			asked.Add(1)
			if time.Now().Before(back) {
				call, cancel := context.WithTimeout(ctx, period)
				defer cancel()
				<-call.Done()
				return
			}
			w.Answers(time.Now(), 0)
		})
		time.Sleep(time.Second)
		if asked.Load() > 0 {
			t.Error("a dependency that answers is probed")
		}
		w.Lost(time.Now())
		time.Sleep(4*time.Second + 2*period)
		if !w.Well() {
			t.Error("the end of the outage is not noticed")
		}
		many := asked.Load()
		time.Sleep(time.Second)
		if asked.Load() > many {
			t.Error("probes go on after the outage")
		}
		stop()
	})
}
