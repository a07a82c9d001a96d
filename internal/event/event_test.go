package event

import (
	"testing"
	"time"

	"go.uber.org/zap"
)

// A VM's wall clock is an hour behind. Ordered by wall time, an effect on it
// would stand before its cause on another VM, and the time line would mislead.
func TestClockOrdersEffectsAfterCauses(t *testing.T) {
	noon := time.Unix(1_000_000, 0)
	ahead := NewClock(func() time.Time { return noon })
	behind := NewClock(func() time.Time { return noon.Add(-time.Hour) })
	cause := ahead.Now()
	behind.Observe(cause)
	effect := behind.Now()
	if !cause.Before(effect) {
		t.Errorf("the effect at %s is not after its cause at %s", effect, cause)
	}
	ahead.Observe(effect)
	if answer := ahead.Now(); !effect.Before(answer) {
		t.Errorf("the answer at %s is not after %s", answer, effect)
	}
}

func TestStampsSurviveTheirText(t *testing.T) {
	for _, s := range []Stamp{{}, {WallMicros: 1}, {WallMicros: 1_796_256_678_542_672, Logical: 7}, {WallMicros: 5_000_000, Logical: 1}} {
		if got, ok := ParseStamp(s.String()); !ok || got != s {
			t.Errorf("ParseStamp(%q) = %v, %v", s.String(), got, ok)
		}
	}
	for _, text := range []string{"", "x", "1.2", "now"} {
		if _, ok := ParseStamp(text); ok {
			t.Errorf("ParseStamp(%q) is taken for a stamp", text)
		}
	}
}

// A busy VM makes more events than its ring holds. The newest must be kept, and
// in order.
func TestRingKeepsTheNewest(t *testing.T) {
	r := NewRecorder("vm-1", 4, NewClock(time.Now), zap.NewNop())
	for i := range 10 {
		r.Emit(RequestAccepted, Subject{Count: int64(i)})
	}
	kept := r.Since(Stamp{})
	if len(kept) != 4 || kept[0].Count != 6 || kept[3].Count != 9 {
		t.Errorf("the ring holds %v", kept)
	}
	if rest := r.Since(kept[2].Stamp); len(rest) != 1 || rest[0].Count != 9 {
		t.Errorf("after the third event it gives %v", rest)
	}
}

func TestObserversSeeEachEvent(t *testing.T) {
	r := NewRecorder("vm-1", 4, NewClock(time.Now), zap.NewNop())
	var seen []Number
	r.Observe(func(e Record) { seen = append(seen, e.Number) })
	r.Emit(DrainStarted, Subject{})
	r.Emit(ProcessStopped, Subject{})
	if len(seen) != 2 || seen[0] != DrainStarted || seen[1] != ProcessStopped {
		t.Errorf("the observer saw %v", seen)
	}
}

// A fleet has hundreds of VMs. Without the choice at each of them, one question
// about one request would bring every event of all.
func TestSelectPicksAtTheSource(t *testing.T) {
	r := NewRecorder("vm-1", 8, NewClock(time.Now), zap.NewNop())
	first := r.Emit(RequestAccepted, Subject{Request: "r1", Account: "a"})
	r.Emit(RequestDispatched, Subject{Request: "r1", Upstream: "e1"})
	r.Emit(UpstreamEjected, Subject{Upstream: "e1"})
	r.Emit(LeaseAcquired, Subject{Lease: "usage"})
	for _, c := range []struct {
		query Query
		want  int
	}{
		{Query{}, 4},
		{Query{Request: "r1"}, 2},
		{Query{Request: "r1", After: first}, 1},
		{Query{Account: "a"}, 1},
		{Query{Lease: "usage"}, 1},
		{Query{Step: "s"}, 0},
		{Query{Upstreams: []string{"e0", "e1"}}, 2},
		{Query{Upstreams: []string{"e1"}, Numbers: []Number{UpstreamEjected}}, 1},
		{Query{Numbers: []Number{LeaseAcquired, LeaseLost}}, 1},
	} {
		if got := r.Select(c.query); len(got) != c.want {
			t.Errorf("%+v picks %d events, want %d", c.query, len(got), c.want)
		}
	}
}

func FuzzParseStamp(f *testing.F) {
	f.Add("1796256678.542672+0")
	f.Add("-1.-5+7")
	f.Add("1.5+4294967295 ")
	f.Fuzz(func(t *testing.T, text string) {
		s, ok := ParseStamp(text)
		if !ok {
			return
		}
		if again, ok := ParseStamp(s.String()); !ok || again != s {
			t.Errorf("%q is %v, which reads back as %v, %v", text, s, again, ok)
		}
	})
}
