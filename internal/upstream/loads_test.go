package upstream

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/engine"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
)

// flakyEngine answers load polls until it is told not to.
type flakyEngine struct{ down atomic.Bool }

func (e *flakyEngine) LoadReport(context.Context, string) (engine.Load, error) {
	if e.down.Load() {
		return engine.Load{}, errors.WithStack(&fault.UpstreamFailed{Upstream: "e1", Reason: "no load report"})
	}
	return engine.Load{Running: 3, Model: "berry-1"}, nil
}

// An engine stops answering polls of its load and later answers again. Its last
// report must stay, with its age, and tell how many polls it has missed; the
// next answer must clear that.
func TestPollerNotesMissedReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		e := &flakyEngine{}
		loads := NewLoads()
		watched := func() []platformapi.Upstream { return []platformapi.Upstream{{ID: "e1"}} }
		go NewPoller(e, loads, time.Second, watched).Run(ctx)
		time.Sleep(2 * time.Second)
		e.down.Store(true)
		time.Sleep(4 * time.Second)
		report, ok := loads.Get("e1")
		if !ok || report.Running != 3 || report.Misses < 3 {
			t.Fatalf("after 4s without an answer: %+v", report)
		}
		if age := time.Since(report.At); age < 3*time.Second {
			t.Errorf("the old report claims an age of %v", age)
		}
		e.down.Store(false)
		time.Sleep(2 * time.Second)
		if report, _ := loads.Get("e1"); report.Misses != 0 {
			t.Errorf("%d misses after an answer", report.Misses)
		}
	})
}

// A report says less the older it is; one from the future, after a jump of a
// clock, or none at all says nothing.
func TestReportsLoseWeightWithAge(t *testing.T) {
	now := time.Now()
	fresh := Report{At: now}.Weight(now)
	old := Report{At: now.Add(-10 * time.Second)}.Weight(now)
	if fresh != 1 || old <= 0 || old > 0.1 {
		t.Errorf("weights %v and %v", fresh, old)
	}
	if Report.Weight(Report{At: now.Add(time.Hour)}, now) != 0 || Report.Weight(Report{}, now) != 0 {
		t.Error("a report without a believable time has weight")
	}
}
