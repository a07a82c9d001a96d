package target

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"dogwoodpond/internal/event"
)

// newReachTest returns two entries of one roster.
func newReachTest() (a, b *Entry) {
	r := NewRoster(event.NewRecorder("vm", 16, event.NewClock(time.Now), zap.NewNop()))
	r.Replace([]Instance{{ID: "a", Service: "lm", Slots: 8}, {ID: "b", Service: "lm", Slots: 8}})
	all := r.Upstreams("lm")
	return all[0], all[1]
}

// fail makes an attempt at an upstream that fails without a connection.
func fail(e *Entry) {
	began := time.Now()
	e.Begin()
	time.Sleep(time.Millisecond)
	e.NoteContact(NoConnection, began)
	e.End()
}

// Guards against more than one attempt at a time at an upstream that can't be reached, and against an
// attempt in progress that holds others back for ever.
func TestUnreachableUpstreamGetsOneAttemptAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := newReachTest()
		fail(a)
		if !a.Unreachable(time.Now()) || a.AdmitsAttempt(time.Now()) {
			t.Error("an attempt is admitted during the backoff")
		}
		time.Sleep(reachBackoff)
		if !a.AdmitsAttempt(time.Now()) {
			t.Error("no attempt is admitted after the backoff")
		}
		a.Begin()
		if a.AdmitsAttempt(time.Now()) {
			t.Error("a second attempt is admitted")
		}
		time.Sleep(probeTimeout)
		if !a.AdmitsAttempt(time.Now()) {
			t.Error("an attempt that hangs holds others back for ever")
		}
		if !a.NoteContact(Answered, time.Now()) || a.Unreachable(time.Now()) || !a.AdmitsAttempt(time.Now()) || a.Suspect(time.Now()) {
			t.Error("an upstream that has answered is not open")
		}
	})
}

// Guards against a backoff that grows with attempts that were in progress together, and against one that
// outlasts the partition: the answer of another upstream ends it.
func TestBackoffOfUnreachableUpstreamEndsWithThePartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newReachTest()
		began := time.Now()
		time.Sleep(time.Millisecond)
		for range 20 {
			a.NoteContact(NoConnection, began)
		}
		time.Sleep(reachBackoff)
		if !a.AdmitsAttempt(time.Now()) {
			t.Error("attempts that began together count more than once")
		}
		for range 10 {
			fail(a)
			fail(b)
		}
		time.Sleep(reachBackoff)
		if a.AdmitsAttempt(time.Now()) {
			t.Error("the backoff doesn't grow")
		}
		b.NoteContact(Answered, time.Now())
		if !a.AdmitsAttempt(time.Now()) {
			t.Error("no attempt is admitted although another upstream has answered again")
		}
		fail(a)
		if a.AdmitsAttempt(time.Now()) {
			t.Error("an upstream that still can't be reached has no backoff")
		}
	})
}
