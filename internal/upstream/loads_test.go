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
	"dogwoodpond/internal/wait"
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

// scriptedEngine is a fake engine whose nth poll, counted from 1, takes a time and ends as scripted.
type scriptedEngine struct {
	calls  atomic.Int32
	script func(call int32) (took time.Duration, load engine.Load, err error)
}

func (e *scriptedEngine) LoadReport(ctx context.Context, _ string) (engine.Load, error) {
	took, load, err := e.script(e.calls.Add(1))
	wait.For(ctx, took)
	return load, err
}

// finalReport polls an engine by a script for 6s and returns its report.
func finalReport(t *testing.T, e *scriptedEngine) (report Report) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		loads := NewLoads()
		engines := func() []platformapi.Upstream { return []platformapi.Upstream{{ID: "e1"}} }
		go NewPoller(e, loads, time.Second, engines).Run(ctx)
		time.Sleep(6 * time.Second)
		report, _ = loads.Get("e1")
		cancel()
	})
	return report
}

// Guards against work for an engine by an old report: the answer to a slow poll arrives after
// that to a later one.
func TestLateAnswerDoesNotReplaceNewerReport(t *testing.T) {
	report := finalReport(t, &scriptedEngine{script: func(call int32) (time.Duration, engine.Load, error) {
		switch {
		case call == 1:
			return 3 * time.Second, engine.Load{Model: "rota-2", WeightVersion: 1}, nil
		case call <= 3:
			return 0, engine.Load{Model: "berry-1", WeightVersion: 2}, nil
		}
		return time.Minute, engine.Load{}, nil
	}})
	if report.Model != "berry-1" || report.WeightVersion != 2 {
		t.Errorf("the report is %s version %d, that of the first poll; want that of the third", report.Model, report.WeightVersion)
	}
}

// Guards against an engine that counts as unreachable although it answers again: polls that were
// sent while it did not answer fail after a later one was answered.
func TestLateMissDoesNotCountAgainstNewerReport(t *testing.T) {
	report := finalReport(t, &scriptedEngine{script: func(call int32) (time.Duration, engine.Load, error) {
		switch {
		case call <= 2:
			return 3 * time.Second, engine.Load{}, errors.WithStack(&fault.UpstreamFailed{Upstream: "e1", Reason: "no load report"})
		case call == 3:
			return 0, engine.Load{Model: "berry-1"}, nil
		}
		return time.Minute, engine.Load{}, nil
	}})
	if report.Model != "berry-1" || report.MissedPolls != 0 {
		t.Errorf("%d missed polls since the answer of %q, want 0", report.MissedPolls, report.Model)
	}
}
