package suspicion

import (
	"testing"
	"time"

	"dogwoodpond/internal/target"
)

var (
	request = Request{Account: "a", ID: "q"}
	first   = target.Incarnation{Upstream: "e1", Started: 1}
	again   = target.Incarnation{Upstream: "e1", Started: 2}
)

// note has a ledger note a complete report that was asked for some time after an instant.
func note(l *Ledger, incarnation target.Incarnation, after time.Duration, since time.Time, runs ...string) (runsOn []Request, left int) {
	return l.NoteReport(incarnation, since.Add(after), RunReport{Runs: runs, Complete: true})
}

// Guards against a suspicion that a report from before the lost answer, or from just after it, lifts.
func TestEarlierReportLiftsNoSuspicion(t *testing.T) {
	l, lostAt := NewLedger(), time.Unix(100, 0)
	l.Add(request, first, lostAt)
	for _, after := range []time.Duration{-time.Second, 0, SurvivalDelay - time.Millisecond} {
		if _, left := note(l, first, after, lostAt); left != 1 || l.Count(request) != 1 {
			t.Errorf("a report asked for %s after the lost answer lifts the suspicion", after)
		}
	}
	if _, left := note(l, first, SurvivalDelay, lostAt); left != 0 || !l.Empty() {
		t.Error("the suspicion was not lifted")
	}
}

// Guards against an upstream that counts as one that survived a request which it still runs.
func TestReportThatListsTheRequestLiftsNoSuspicion(t *testing.T) {
	l, lostAt := NewLedger(), time.Unix(100, 0)
	l.Add(request, first, lostAt)
	for n, want := range []int{1, 0} {
		runsOn, left := note(l, first, time.Duration(n+1)*time.Second, lostAt, "other", request.ID)
		if len(runsOn) != want || left != 1 || l.Count(request) != 1 {
			t.Errorf("report %d that lists the request: runs on %v, %d suspicions left", n, runsOn, left)
		}
	}
	if _, left := note(l, first, 3*time.Second, lostAt, "other"); left != 0 || !l.Empty() {
		t.Error("the suspicion was not lifted")
	}
}

// Guards against an upstream that doesn't list its runs and counts at once as one that survived a request.
func TestReportWithoutRunsLiftsSuspicionLater(t *testing.T) {
	l, lostAt := NewLedger(), time.Unix(100, 0)
	l.Add(request, first, lostAt)
	if _, left := l.NoteReport(first, lostAt.Add(UnlistedSurvivalDelay-time.Millisecond), RunReport{}); left != 1 || l.Empty() {
		t.Error("the suspicion was lifted early")
	}
	if l.NoteReport(first, lostAt.Add(UnlistedSurvivalDelay), RunReport{}); !l.Empty() {
		t.Error("the suspicion was not lifted")
	}
}

// Guards against a new incarnation that counts as a sign of life of the one that ended.
func TestNextIncarnationLiftsNoSuspicion(t *testing.T) {
	l := NewLedger()
	l.Add(request, first, time.Unix(100, 0))
	note(l, again, time.Minute, time.Unix(100, 0))
	l.Remove(request, again)
	if !l.Has(request, first) {
		t.Error("the suspicion was lifted")
	}
}

// Guards against one incarnation that counts several times against a request.
func TestIncarnationCountsOnce(t *testing.T) {
	l := NewLedger()
	for n := range int64(4) {
		l.Add(request, first, time.Unix(n, 0))
	}
	l.Add(request, again, time.Unix(9, 0))
	if n := l.Count(request); n != 2 {
		t.Errorf("the count is %d, want 2", n)
	}
	if l.Expire(time.Unix(8, 0)); l.Count(request) != 1 || l.Has(request, first) {
		t.Error("the older suspicion has not expired, or the newer one has")
	}
}

// Guards against an attempt that runs and no longer counts, because its upstream still ran after it began.
func TestReportDoesNotLiftOpenAttempts(t *testing.T) {
	l, began := NewLedger(), time.Unix(100, 0)
	l.Begin(request, first, began)
	note(l, first, time.Second, began)
	if _, lost := l.LostAt(request, first); lost || l.Count(request) != 1 {
		t.Errorf("an open attempt: lost %t, count %d, want false, 1", lost, l.Count(request))
	}
	l.Add(request, first, began.Add(2*time.Second))
	if note(l, first, time.Second, began); l.Count(request) != 1 {
		t.Error("a report from before the lost answer lifts the suspicion")
	}
	if note(l, first, 3*time.Second, began); l.Count(request) != 0 {
		t.Error("a report from after the lost answer leaves the suspicion")
	}
}

// Guards against a sound request that counts an upstream which gave it up when its attempt was canceled, and
// against one that doesn't count an upstream which goes on with it.
func TestCanceledAttemptCountsOnceAReportListsIt(t *testing.T) {
	canceledAt := time.Unix(100, 0)
	for _, goesOn := range []bool{false, true} {
		l := NewLedger()
		l.Cancel(request, first, canceledAt)
		if _, known := l.LostAt(request, first); l.Count(request) != 0 || l.Has(request, first) || !known {
			t.Error("a canceled attempt counts at once, or isn't known")
		}
		var runs []string
		if goesOn {
			runs = []string{request.ID}
		}
		if note(l, first, SurvivalDelay, canceledAt, runs...); l.Has(request, first) {
			t.Error("a list of runs that may be older than the end of the attempt counts")
		}
		note(l, first, runsOnDelay, canceledAt, runs...)
		l.DropUnconfirmed(request, first)
		if l.Has(request, first) != goesOn {
			t.Errorf("the upstream goes on %t, the canceled attempt counts %t", goesOn, !goesOn)
		}
	}
	l := NewLedger()
	l.Begin(request, first, canceledAt)
	if l.Cancel(request, first, canceledAt); l.Count(request) != 1 {
		t.Error("a canceled attempt at a request under suspicion doesn't count any more")
	}
}
