package lease

import (
	"encoding/json"
	"testing"
	"time"

	"dogwoodpond/internal/fault"
)

var testTiming = NewTiming(10 * time.Second)

// A holder is paused just after it sent a renewal. If it counted its term from the
// reply, it would still act when another VM already holds the lease, and the platform
// would get orders from both.
func TestTermCountsFromBeforeTheRenewalWasSent(t *testing.T) {
	start := time.Now()
	hold := NewHold("a", testTiming, Record{Holder: "x", Epoch: 1}, 1, start)
	next, version := hold.RenewalRecord(start)
	sentAt := start.Add(3 * time.Second)
	hold.NoteRenewal(next, version+1, sentAt)
	if err := hold.CheckAt(sentAt.Add(testTiming.Term - 1)); err != nil {
		t.Errorf("just before the end of the term: %v", err)
	}
	if err := hold.CheckAt(sentAt.Add(testTiming.Term)); !fault.Is[*fault.LeaseLost](err) {
		t.Errorf("at the end of the term: %v, want lease lost", err)
	}
}

// The replies to two renewals arrive in reverse order. The term must neither shrink to
// that of the older one nor grow beyond that of the newer one.
func TestHoldKeepsTheNewestTerm(t *testing.T) {
	start := time.Now()
	hold := NewHold("a", testTiming, Record{Holder: "x", Epoch: 1}, 1, start)
	hold.NoteRenewal(Record{Holder: "x", Epoch: 1, Renewals: 2}, 3, start.Add(4*time.Second))
	hold.NoteRenewal(Record{Holder: "x", Epoch: 1, Renewals: 1}, 2, start.Add(2*time.Second))
	if got, want := hold.Deadline(), start.Add(14*time.Second); !got.Equal(want) {
		t.Errorf("deadline %v, want %v", got.Sub(start), want.Sub(start))
	}
}

// A contender sees several renewals and then none. It must wait for the term and the
// margin from the moment at which it saw the last renewal, not from its first read.
func TestContenderWaitsForAFullTermWithoutRenewal(t *testing.T) {
	start := time.Now()
	held := Record{Holder: "x", Epoch: 7}
	c := NewContender("y", testTiming)
	c.Observe(5, start)
	renewed := start.Add(9 * time.Second)
	c.Observe(6, renewed)
	full := testTiming.Term + testTiming.Margin
	if wait := c.RemainingWait(held, renewed.Add(full-1), 0); wait != 1 {
		t.Errorf("wait just before the end is %v, want 1ns", wait)
	}
	if wait := c.RemainingWait(held, renewed.Add(full), 0); wait > 0 {
		t.Errorf("wait at the end is %v, want none", wait)
	}
	if got := c.AcquireRecord(held); got.Epoch != 8 || got.Holder != "y" {
		t.Errorf("AcquireRecord = %+v", got)
	}
}

// A lease is released and acquired again. If the epoch started again at 1, a receiver
// would take an order of the old holder for one of the new holder.
func TestEpochRisesAfterARelease(t *testing.T) {
	hold := NewHold("a", testTiming, Record{Holder: "x", Epoch: 7}, 9, time.Now())
	free, version := hold.ReleaseRecord(time.Now())
	if free.Holder != "" || free.Epoch != 7 || version != 9 {
		t.Fatalf("ReleaseRecord = %+v at %d", free, version)
	}
	if got := NewContender("y", testTiming).AcquireRecord(free).Epoch; got != 8 {
		t.Errorf("next epoch %d, want 8", got)
	}
}

// Another VM took the lease while a renewal was in flight. The row that the holder then
// reads ends its hold for good, even if its own term has not ended.
func TestHoldEndsWhenTheRowShowsAnotherEpoch(t *testing.T) {
	now := time.Now()
	hold := NewHold("a", testTiming, Record{Holder: "x", Epoch: 1}, 1, now)
	if !hold.Reconcile(Record{Holder: "x", Epoch: 1, Renewals: 1}, 2) {
		t.Fatal("a renewal whose reply was lost ended the hold")
	}
	if hold.Reconcile(Record{Holder: "y", Epoch: 2}, 3) || hold.CheckAt(now) == nil {
		t.Error("the hold is still valid after another VM took the lease")
	}
	if hold.Reconcile(Record{Holder: "x", Epoch: 1}, 2) {
		t.Error("an old row made the hold valid again")
	}
}

// VMs may have different lists of live VMs, but those with the same list must agree on
// the candidates. Otherwise none or all of them might contend.
func TestRankIsAPermutationOfTheLiveVMs(t *testing.T) {
	live := []string{"a", "b", "c", "d", "e"}
	seen := map[int]bool{}
	for _, vm := range live {
		seen[Rank("lease", vm, live)] = true
	}
	for rank := range live {
		if !seen[rank] {
			t.Errorf("no VM has rank %d", rank)
		}
	}
	if got := Rank("lease", "new", nil); got != 0 {
		t.Errorf("rank with an empty list is %d, want 0", got)
	}
}

// All VMs lose power and start again. The term of the holder is still running in the
// store. No VM would hold the lease until the term ends, although the holder's own VM
// knows that its old process is dead.
func TestNewProcessTakesItsPredecessorsLeaseAtOnce(t *testing.T) {
	timing := NewTiming(3 * time.Second)
	now := time.Unix(1000, 0)
	record := Record{Holder: "vm-1/old", Epoch: 7}
	for _, c := range []struct {
		name              string
		predecessorPrefix string
		wait              bool
	}{
		{"its own VM", "vm-1/", false},
		{"another VM", "vm-2/", true},
		{"a VM whose name is a prefix of the holder's", "vm-/", true},
		{"predecessors not known", "", true},
	} {
		contender := NewContender("me/new", timing)
		contender.predecessorPrefix = c.predecessorPrefix
		contender.Observe(4, now)
		if got := contender.RemainingWait(record, now, 0) > 0; got != c.wait {
			t.Errorf("%s waits: %v", c.name, got)
		}
		if next := contender.AcquireRecord(record); next.Epoch != 8 {
			t.Errorf("%s: epoch %d", c.name, next.Epoch)
		}
	}
}

// Guards against a log that doesn't show why a VM acquired a lease before the end of
// its predecessor's term.
func TestAcquisitionReasonNamesTheWayToTheLease(t *testing.T) {
	now := time.Now()
	c := NewContender("vm-a/2", testTiming)
	c.predecessorPrefix = "vm-a/"
	c.Observe(1, now)
	now = now.Add(13 * time.Second)
	for want, record := range map[string]Record{
		"no earlier holder": {},
		"released":          {Epoch: 3},
		"own earlier term, or own commit whose reply was lost":             {Holder: "vm-a/2", Epoch: 3},
		"held by an earlier process of this VM":                            {Holder: "vm-a/1", Epoch: 3},
		"expired: vm-b/1 did not renew it for 13s":                         {Holder: "vm-b/1", Epoch: 3},
		"held by an earlier process of this VM, with an action pending":    {Holder: "vm-a/1", Epoch: 3, ActionPending: true},
		"expired: vm-b/1 did not renew it for 13s, with an action pending": {Holder: "vm-b/1", Epoch: 3, ActionPending: true},
	} {
		if got := c.AcquisitionReason(record, now); got != want {
			t.Errorf("reason of %+v is %q, want %q", record, got, want)
		}
	}
}

// Guards against a release while an action under the lease may still take effect, and
// against leases that are never released after one.
func TestUnansweredActionDefersTheRelease(t *testing.T) {
	start := time.Unix(1000, 0)
	second := func(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }
	bound := testTiming.PendingActionWait()
	for _, c := range []struct {
		name       string
		unanswered []time.Time
		want       time.Time
	}{
		{"all answered", nil, time.Time{}},
		{"one unanswered", []time.Time{second(3)}, second(3).Add(bound)},
		{"the last one counts", []time.Time{second(3), second(7)}, second(7).Add(bound)},
		{"noted in reverse order", []time.Time{second(7), second(3)}, second(7).Add(bound)},
	} {
		hold := NewHold("a", testTiming, Record{Holder: "x", Epoch: 1}, 1, start)
		for _, at := range c.unanswered {
			hold.beginAction(anyReceiver)
			hold.endAction(anyReceiver, at, true)
			hold.beginAction(anyReceiver)
			hold.endAction(anyReceiver, second(9), false)
		}
		if got := hold.ReleasableAt(second(10)); !got.Equal(c.want) {
			t.Errorf("%s: releasable at %v, want %v", c.name, got, c.want)
		}
		if got, want := pendingInRenewal(hold, second(10)), len(c.unanswered) > 0; got != want {
			t.Errorf("%s: a renewal tells of a pending action: %v, want %v", c.name, got, want)
		}
		if pendingInRenewal(hold, second(7).Add(bound)) {
			t.Errorf("%s: a renewal tells of a pending action for ever", c.name)
		}
	}
}

// pendingInRenewal returns whether a renewal that begins at now tells of a pending action.
func pendingInRenewal(h *Hold, now time.Time) bool {
	record, _ := h.RenewalRecord(now)
	return record.ActionPending
}

// Guards against a release, or a row without the mark, while one of several actions is under way.
func TestActionsUnderWayAreCounted(t *testing.T) {
	now := time.Unix(1000, 0)
	hold := NewHold("a", testTiming, Record{Holder: "x", Epoch: 1}, 1, now)
	hold.beginAction(anyReceiver)
	hold.beginAction(anyReceiver)
	if hold.endAction(anyReceiver, now, false) || !pendingInRenewal(hold, now) || !hold.ReleasableAt(now).After(now) {
		t.Error("one of two actions has ended, and none counts as pending")
	}
	if !hold.endAction(anyReceiver, now, false) || pendingInRenewal(hold, now) || hold.ReleasableAt(now).After(now) {
		t.Error("both actions have ended, and one counts as pending")
	}
}

// Guards against a next holder, or a next process of the holder's VM, that acts while an action of a
// dead holder waits at its receiver, and against longer waits without such an action.
func TestContenderWaitsForAPendingAction(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name, row string
		want      time.Duration
	}{
		{"another VM", `{"holder":"vm-b/1","epoch":3,"renewals":1,"action_pending":true}`, 25 * time.Second},
		{"another VM, none pending", `{"holder":"vm-b/1","epoch":3,"renewals":1,"action_pending":false}`, 12500 * time.Millisecond},
		{"another VM, row of an older build", `{"holder":"vm-b/1","epoch":3,"renewals":1}`, 12500 * time.Millisecond},
		{"own VM", `{"holder":"vm-a/1","epoch":3,"renewals":1,"action_pending":true}`, 25 * time.Second},
		{"own VM, none pending", `{"holder":"vm-a/1","epoch":3,"renewals":1}`, 0},
		{"own campaign, which waits by itself", `{"holder":"vm-a/2","epoch":3,"renewals":1,"action_pending":true}`, 0},
		{"released", `{"holder":"","epoch":3,"renewals":0}`, 0},
	} {
		contender := NewContender("vm-a/2", testTiming)
		contender.predecessorPrefix = "vm-a/"
		contender.Observe(1, now)
		var record Record
		if err := json.Unmarshal([]byte(c.row), &record); err != nil {
			t.Fatal(err)
		}
		if got := contender.RemainingWait(record, now, 0); got != c.want {
			t.Errorf("%s: the contender waits %s, want %s", c.name, got, c.want)
		}
		if contender.AcquireRecord(record).ActionPending {
			t.Errorf("%s: the new holder's record tells of a pending action", c.name)
		}
	}
}
