package target

import (
	"testing"
	"time"
)

// Guards against VMs that all send to one upstream during a burst, and against slow upstreams
// that get as many requests as the fast one.
func TestChoiceUnderLoadFollowsExpectedTimes(t *testing.T) {
	r := newTestRoster(newInstance("fast", "y"), newInstance("slow", "x"))
	now := time.Now()
	fast, slow := r.Upstreams("desk")[0], r.Upstreams("desk")[1]
	fast.NoteAnswerTime(25*time.Millisecond, now)
	slow.NoteAnswerTime(50*time.Millisecond, now)
	slow.NoteLoad(Load{Running: 4, Slots: 4}, now)
	slow.NoteLoad(Load{Running: 4, Slots: 4}, now)
	const steps = 100
	chosen := make(map[*Entry]int)
	for i := range steps {
		r.SetRandom(func() float64 { return float64(i) / steps })
		chosen[r.Choose(Criteria{Service: "desk", Domain: "x"}, now)]++
	}
	if chosen[fast] < 85 || chosen[slow] < 2 {
		t.Errorf("of %d requests %d went to the fast upstream, %d to the slow one", steps, chosen[fast], chosen[slow])
	}
	if e := r.Choose(Criteria{Service: "desk", Domain: "x", SpareOnly: true}, now); e != fast {
		t.Error("a full upstream is chosen for an attempt that needs spare capacity")
	}
	fast.NoteFailure(now)
	if e := r.Choose(Criteria{Service: "desk", Domain: "x"}, now); e != slow {
		t.Error("a suspect upstream is chosen while another serves requests")
	}
	if !r.Loaded("desk", now) || r.Loaded("desk", now.Add(loadedTTL+1)) {
		t.Error("the load of the service does not end with its last report")
	}
}

// Guards against a fast upstream that counts as slow because requests waited there for a moment.
func TestWaitForSlotIsNoPartOfUnitTime(t *testing.T) {
	r := newTestRoster(newInstance("a", "x"))
	e, now := r.Upstreams("desk")[0], time.Now()
	e.NoteLoad(Load{Running: 4, Waiting: 4, Slots: 4}, now)
	e.NoteAnswerTime(50*time.Millisecond, now)
	if got := e.UnitTime(now); got != 25*time.Millisecond {
		t.Errorf("UnitTime = %s, want 25ms", got)
	}
}
