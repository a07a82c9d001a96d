package suspicion

import (
	"encoding/json"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/target"
)

// row returns a row of records that was written at a version.
func row(t *testing.T, version int64, records ...Record) rowstore.Row {
	t.Helper()
	value, err := json.Marshal(records)
	if err != nil {
		t.Fatal(err)
	}
	return rowstore.Row{Key: rowstore.Key{Part: "s", Name: RowPrefix + strconv.FormatInt(version, 10)}, Version: version, Value: value}
}

// Guards against a reader of a row that goes on while another one has noted the row as known and not yet counted
// what it holds.
func TestConcurrentReadersOfARowCountItsSuspicions(t *testing.T) {
	l, last := NewLedger(), Request{Account: "a", ID: "4999"}
	var records []Record
	for n := range 5000 {
		records = append(records, Record{Suspicion: Suspicion{Request{Account: "a", ID: strconv.Itoa(n)}, first}})
	}
	written := row(t, 1, records...)
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			if l.Observe([]rowstore.Row{written}, time.Unix(100, 0)); l.Count(last) != 1 {
				t.Error("a reader goes on before the row counts")
			}
		})
	}
	readers.Wait()
}

// Guards against a lost answer of another owner that is taken back by an attempt which did not run, and against an
// attempt in progress that no longer counts because another owner took back an earlier one.
func TestOwnersTakeBackOnlyTheirOwnSuspicions(t *testing.T) {
	l, at := NewLedger(), time.Unix(100, 0)
	lost := Record{Suspicion: Suspicion{request, first}}
	l.Begin(request, first, at)
	l.Observe([]rowstore.Row{row(t, 1, lost)}, at)
	if l.Withdraw(request, first); l.Count(request) != 1 || len(l.Unstored(map[Request]bool{request: false})) > 0 {
		t.Error("an attempt that did not run takes back a lost answer of another owner")
	}
	l.Begin(request, first, at)
	survived := lost
	survived.Survived = true
	l.Observe([]rowstore.Row{row(t, 2, survived)}, at)
	if records := l.Unstored(map[Request]bool{request: false}); l.Count(request) != 1 || len(records) != 1 || records[0] != lost {
		t.Errorf("count %d after another owner took back an attempt in progress; to be stored: %v", l.Count(request), records)
	}
}

// Guards against a row which says that an upstream survived a request, because the suspicion has expired.
func TestExpiredSuspicionIsNotTakenBack(t *testing.T) {
	l, at := NewLedger(), time.Unix(100, 0)
	l.Add(request, first, at)
	l.NoteStored(l.Unstored(map[Request]bool{request: false}), at.Add(time.Second))
	if l.Expire(at.Add(time.Millisecond)); !l.Empty() || len(l.Unstored(map[Request]bool{request: false})) > 0 {
		t.Errorf("to be stored: %v", l.Unstored(map[Request]bool{request: false}))
	}
	l.Add(request, first, at)
	l.NoteStored(l.Unstored(map[Request]bool{request: false}), at)
	l.Remove(request, first)
	if records := l.Unstored(map[Request]bool{request: true}); len(records) != 1 || !records[0].Survived {
		t.Errorf("to be stored after the upstream survived: %v", records)
	}
}

// Guards against lost answers that another VM has told of and that no VM stores or that an attempt here takes back, and
// against attempts in progress that are told of although they may not be sent.
func TestToldSuspicionsAreStoredAndNotToldAgain(t *testing.T) {
	l, at, asked := NewLedger(), time.Unix(100, 0), map[Request]bool{request: false}
	told := []Record{{Suspicion: Suspicion{request, first}}}
	if !l.NoteTold(told, at) || l.NoteTold(told, at) {
		t.Error("what another VM tells must be new once")
	}
	if records := l.Unstored(asked); l.Count(request) != 1 || len(records) != 1 || records[0] != told[0] {
		t.Errorf("count %d after another VM told of a lost answer; to be stored: %v", l.Count(request), records)
	}
	other := target.Incarnation{Upstream: "other", Started: 1}
	l.Begin(request, other, at)
	if lost := l.LostUnstored(asked); len(lost) > 0 {
		t.Errorf("another VM's lost answers and attempts in progress are told of: %v", lost)
	}
	l.NoteTold([]Record{{Suspicion: Suspicion{request, other}}}, at)
	if l.Withdraw(request, other); l.Count(request) != 2 {
		t.Error("an attempt that did not run takes back a lost answer that another VM has told of")
	}
	own := target.Incarnation{Upstream: "own", Started: 1}
	if l.Add(request, own, at); !slices.Equal(l.LostUnstored(asked), []Record{{Suspicion: Suspicion{request, own}}}) {
		t.Errorf("told of: %v, want the answer that was lost here", l.LostUnstored(asked))
	}
}

// Guards against the next owner that doesn't know which upstreams ended together, and under which requests.
func TestRowsSayWhichUpstreamsEndedTogether(t *testing.T) {
	owner, next, at := NewLedger(), NewLedger(), time.Unix(100, 0)
	alone, older := Request{Account: "a", ID: "alone"}, Request{Account: "a", ID: "older"}
	incarnation := func(upstream string) target.Incarnation { return target.Incarnation{Upstream: upstream, Started: 1} }
	owner.AddLost(request, incarnation("e1"), "lm", at)
	owner.AddLost(Request{Account: "a", ID: "beside"}, incarnation("e2"), "lm", at)
	owner.AddLost(alone, incarnation("e3"), "lm", at.Add(time.Second))
	asked := map[Request]bool{request: false, {Account: "a", ID: "beside"}: false, alone: false}
	now := at.Add(2 * time.Second)
	next.Observe([]rowstore.Row{
		row(t, 1, owner.Unstored(asked)...), row(t, 2, Record{Suspicion: Suspicion{older, incarnation("e4")}}),
	}, now)
	outlook := next.OutlookOf("lm", target.NewRoster(event.NewRecorder("vm", 8, event.NewClock(time.Now), zap.NewNop())), now)
	for r, want := range map[Request]bool{request: true, alone: false, older: true} {
		if got := next.MayEndSeveral(r, outlook); got != want {
			t.Errorf("request %s may have ended several upstreams: %t, want %t", r.ID, got, want)
		}
	}
}
