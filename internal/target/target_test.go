package target

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/route"
)

func newTestRoster(list ...Instance) *Roster {
	r := NewRoster(event.NewRecorder("vm", 16, event.NewClock(time.Now), zap.NewNop()))
	r.Replace(list)
	return r
}

func up(id, domain string) Instance {
	return Instance{ID: id, Service: "desk", Address: id + ":1", FailureDomain: domain, Slots: 4}
}

// The store was away and the upstreams' entries have lapsed; they are back within
// two seconds. Callers would be refused meanwhile although every upstream runs.
func TestVanishedUpstreamsServeOnForAMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRoster(up("a", "x"), up("b", "x"))
		r.Replace(nil)
		if e := r.Choose(Want{Service: "desk", Domain: "x"}, time.Now()); e == nil {
			t.Fatal("no upstream right after the entries lapsed")
		}
		time.Sleep(lingerTime)
		if e := r.Choose(Want{Service: "desk", Domain: "x"}, time.Now()); e != nil {
			t.Errorf("%s still gets work %s after its removal", e.Info().ID, lingerTime)
		}
	})
}

// One upstream crashed and its entry lapsed while others are listed. Work sent
// there would only be lost.
func TestVanishedUpstreamGetsNothingBesideListedOnes(t *testing.T) {
	r := newTestRoster(up("a", "x"), up("b", "x"))
	r.Apply(Unlisted("a"))
	for range 10 {
		if e := r.Choose(Want{Service: "desk", Domain: "x"}, time.Now()); e.Info().ID != "b" {
			t.Fatalf("%s was chosen", e.Info().ID)
		}
	}
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	r := newTestRoster(up("a", "x"))
	leaving := up("a", "x")
	leaving.Leaving = true
	r.Apply(Listed(leaving))
	if e := r.Choose(Want{Service: "desk", Domain: "x"}, time.Now()); e != nil {
		t.Errorf("%s was chosen", e.Info().ID)
	}
}

// An upstream starts again under its old ID. What was learnt of its earlier life,
// above all its versions, holds no more.
func TestRestartForgetsTheEarlierLife(t *testing.T) {
	first := up("a", "x")
	first.Started, first.Versions = 1, map[string]int64{"m": 1}
	r := newTestRoster(first)
	old := r.Service("desk")[0]
	old.NoteVersion("m", 7)
	second := first
	second.Started = 2
	r.Apply(Listed(second))
	e := r.Choose(Want{Service: "desk", Domain: "x"}, time.Now())
	if e == old || e.Version("m") != 1 {
		t.Errorf("the new life has version %d", e.Version("m"))
	}
}

func TestChooseWeighsDomainLoadAndSuspicion(t *testing.T) {
	now := time.Now()
	r := newTestRoster(up("near", "x"), up("far", "y"))
	near, far := r.Service("desk")[1], r.Service("desk")[0]
	if e := r.Choose(Want{Service: "desk", Domain: "x"}, now); e != near {
		t.Errorf("idle: %s", e.Info().ID)
	}
	near.Begin()
	near.Begin()
	if e := r.Choose(Want{Service: "desk", Domain: "x"}, now); e != far {
		t.Errorf("the near one is half busy: %s", e.Info().ID)
	}
	far.Failed(now)
	if e := r.Choose(Want{Service: "desk", Domain: "x"}, now); e != near {
		t.Errorf("the far one failed: %s", e.Info().ID)
	}
	if e := r.Choose(Want{Service: "desk", Domain: "x", Skip: []*Entry{near}}, now); e != far {
		t.Error("a suspect upstream is better than none")
	}
}

func TestSuspicionGrowsAndEnds(t *testing.T) {
	r := newTestRoster(up("a", "x"))
	e, now := r.Service("desk")[0], time.Now()
	if first, second := e.Failed(now), e.Failed(now); second != 2*first {
		t.Errorf("rests of %s and %s", first, second)
	}
	for range 10 {
		e.Failed(now)
	}
	if !e.Suspect(now.Add(longestSuspicion-1)) || e.Suspect(now.Add(longestSuspicion)) {
		t.Error("the rest is not bounded")
	}
	e.Succeeded()
	if e.Suspect(now) {
		t.Error("a success does not end the suspicion")
	}
}

func TestForeignLoadFades(t *testing.T) {
	r := newTestRoster(up("a", "x"))
	e, now := r.Service("desk")[0], time.Now()
	e.Begin()
	e.NoteLoad(Load{Running: 3, Waiting: 1, Slots: 4}, now)
	if got := e.Foreign(now); got != 3 {
		t.Errorf("Foreign = %d, want 3", got)
	}
	if got := e.Free(now); got != 0 {
		t.Errorf("Free = %d, want 0", got)
	}
	if got := e.Foreign(now.Add(loadLife + 1)); got != 0 {
		t.Errorf("Foreign = %d after its life", got)
	}
}

// Guards against a request that goes to a region where it may not be because all upstreams
// where it may be are busy, failing or gone.
func TestRequestStaysWhereItMayBe(t *testing.T) {
	r := newTestRoster(up("away", "n"), up("home", "s"))
	want := Want{Service: "desk", Domain: "n", Residency: route.ResideIn([]string{"s"})}
	for range 5 {
		e := r.Reserve(want)
		if e == nil || e.Info().ID != "home" {
			t.Fatalf("the request goes to %v", e)
		}
		e.Failed(time.Now())
	}
	want.Skip = slices.DeleteFunc(slices.Clone(r.Service("desk")), func(e *Entry) bool { return e.Info().ID == "away" })
	if e := r.Reserve(want); e != nil {
		t.Errorf("the request goes to %s", e.Info().ID)
	}
}
