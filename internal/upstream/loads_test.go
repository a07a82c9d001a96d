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

// flakyEngine is a fake engine that answers polls of its load unless down is set.
type flakyEngine struct{ down atomic.Bool }

func (e *flakyEngine) LoadReport(context.Context, string) (engine.Load, error) {
	if e.down.Load() {
		return engine.Load{}, errors.WithStack(&fault.UpstreamFailed{Upstream: "e1", Reason: "no load report"})
	}
	return engine.Load{Running: 3, Model: "berry-1"}, nil
}

// An engine stops answering polls of its load and later answers again. The latest report
// must remain, with its original time and the number of failed polls since then; the next
// answer must reset that number.
func TestPollerCountsFailedPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		e := &flakyEngine{}
		loads := NewLoads()
		engines := func() []platformapi.Upstream { return []platformapi.Upstream{{ID: "e1"}} }
		go NewPoller(e, loads, time.Second, engines).Run(ctx)
		time.Sleep(2 * time.Second)
		e.down.Store(true)
		time.Sleep(4 * time.Second)
		report, ok := loads.Get("e1")
		if !ok || report.Running != 3 || report.MissedPolls < 3 {
			t.Fatalf("after 4s without an answer: report %+v, want the last one, with at least 3 missed polls", report)
		}
		if age := time.Since(report.At); age < 3*time.Second {
			t.Errorf("the last report has an age of %v, want at least 3s", age)
		}
		e.down.Store(false)
		time.Sleep(2 * time.Second)
		if report, _ := loads.Get("e1"); report.MissedPolls != 0 {
			t.Errorf("%d missed polls after an answer, want 0", report.MissedPolls)
		}
	})
}

// The weight of a report falls with its age. A report from the future, after a jump of the
// clock, and a missing report must have no weight.
func TestReportWeightFallsWithAge(t *testing.T) {
	now := time.Now()
	fresh := Report{At: now}.Confidence(now)
	old := Report{At: now.Add(-10 * time.Second)}.Confidence(now)
	if fresh != 1 || old <= 0 || old > 0.1 {
		t.Errorf("weight %v of a fresh report, want 1; %v of one of 10s, want above 0 and at most 0.1", fresh, old)
	}
	if Report.Confidence(Report{At: now.Add(time.Hour)}, now) != 0 || Report.Confidence(Report{}, now) != 0 {
		t.Error("a report from the future or a missing report has a weight above 0")
	}
}
