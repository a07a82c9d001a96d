package event

import (
	"testing"
	"time"

	"go.uber.org/zap"
)

// Guards against a wrong order of the timeline when the wall clock of one VM is an
// hour behind: by wall time, an effect on that VM would precede its cause on another
// VM.
func TestClockOrdersEffectsAfterCauses(t *testing.T) {
	noon := time.Unix(1_000_000, 0)
	fast := NewClock(func() time.Time { return noon })
	slow := NewClock(func() time.Time { return noon.Add(-time.Hour) })
	cause := fast.Now()
	slow.Observe(cause)
	effect := slow.Now()
	if !cause.Before(effect) {
		t.Errorf("effect at %s is not after its cause at %s", effect, cause)
	}
	fast.Observe(effect)
	if reply := fast.Now(); !effect.Before(reply) {
		t.Errorf("reply at %s is not after the effect at %s", reply, effect)
	}
}

func TestParseStampRoundTrip(t *testing.T) {
	for _, s := range []Stamp{{}, {WallMicros: 1}, {WallMicros: 1_796_256_678_542_672, Logical: 7}, {WallMicros: 5_000_000, Logical: 1}} {
		if got, ok := ParseStamp(s.String()); !ok || got != s {
			t.Errorf("ParseStamp(%q) = %v, %v", s.String(), got, ok)
		}
	}
	for _, text := range []string{"", "x", "1.2", "now"} {
		if _, ok := ParseStamp(text); ok {
			t.Errorf("ParseStamp(%q) succeeded, want failure", text)
		}
	}
}

// A VM may record more events than its ring buffer holds. The newest events must
// remain, in order.
func TestRecorderHoldsNewestEvents(t *testing.T) {
	r := NewRecorder("vm-1", 4, NewClock(time.Now), zap.NewNop())
	for i := range 10 {
		r.Emit(RequestAccepted, Subject{Count: int64(i)})
	}
	events := r.Since(Stamp{})
	if len(events) != 4 || events[0].Count != 6 || events[3].Count != 9 {
		t.Errorf("the ring buffer holds %v, want the counts 6 to 9", events)
	}
	if rest := r.Since(events[2].Stamp); len(rest) != 1 || rest[0].Count != 9 {
		t.Errorf("events after the third = %v, want one with count 9", rest)
	}
}

func TestObserverIsCalledForEachEvent(t *testing.T) {
	r := NewRecorder("vm-1", 4, NewClock(time.Now), zap.NewNop())
	var seen []Number
	r.Observe(func(e Record) { seen = append(seen, e.Number) })
	r.Emit(DrainStarted, Subject{})
	r.Emit(ProcessStopped, Subject{})
	if len(seen) != 2 || seen[0] != DrainStarted || seen[1] != ProcessStopped {
		t.Errorf("observed events = %v", seen)
	}
}

// Guards against queries that transfer all events of a fleet: with hundreds of VMs,
// each VM must select the matching events itself.
func TestSelectReturnsOnlyMatchingEvents(t *testing.T) {
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
			t.Errorf("%+v matches %d events, want %d", c.query, len(got), c.want)
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
			t.Errorf("ParseStamp(%q) = %v, whose text is parsed as %v, %v", text, s, again, ok)
		}
	})
}
