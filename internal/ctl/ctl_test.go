package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"dogwoodpond/internal/config"
	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/doccheck"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/fleetview"
	"dogwoodpond/internal/operator"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/platformapi/memtables"
	"dogwoodpond/internal/sample"
	"dogwoodpond/internal/usage"
)

const (
	testToken  = "operators-own"
	testWindow = 300 * time.Second
)

// fakeFleet is a fleet of one VM that applies every revision at once, and of the VMs in
// pending, which need not have applied it.
type fakeFleet struct {
	events  *event.Recorder
	pending []operator.VMRevision
}

func (f *fakeFleet) Revisions() []operator.VMRevision {
	return append([]operator.VMRevision{{VM: "vm-1", FailureDomain: "a", Revision: 1 << 40, Known: true}}, f.pending...)
}

func (f *fakeFleet) Events(_ context.Context, query event.Query) ([]event.Record, []string) {
	return f.events.Select(query), []string{"vm-9"}
}

// harness is an operators' API over an in-memory store.
type harness struct {
	address string
	tables  *memtables.Tables
	fleet   *fakeFleet
	// loseAnswers is the number of following edits that take effect but are not answered.
	loseAnswers atomic.Int32
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	events := event.NewRecorder("vm-1", 256, event.NewClock(time.Now), zap.NewNop())
	h := &harness{tables: memtables.NewTables(), fleet: &fakeFleet{events: events}}
	rows := fleetview.NewReader(h.tables, testWindow)
	server := operator.NewServer(operator.Config{
		VM:          "vm-1",
		TokenSHA256: contract.HashSecret(testToken),
		View:        contract.NewView(),
		Editor:      config.NewEditor(h.tables, time.Now, events),
		Fleet:       h.fleet,
		Upstreams:   func() []platformapi.Upstream { return nil },
		Leases:      rows,
		Steps:       rows,
		Usage:       rows,
		Events:      events,
		ApplyNewest: func() {},
	})
	handler := server.Handler()
	listener := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet || h.loseAnswers.Add(-1) < 0 {
			handler.ServeHTTP(w, r)
			return
		}
		handler.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(listener.Close)
	h.address = strings.TrimPrefix(listener.URL, "http://")
	return h
}

// run runs a command and returns its output, its messages for people, and its exit code.
func (h *harness) run(arguments ...string) (out, notes string, code int) {
	return runWith([]string{"--address", h.address, "--token", testToken, "--who", "ana"}, arguments...)
}

func runWith(flags []string, arguments ...string) (out, notes string, code int) {
	var o, n bytes.Buffer
	err := NewApp(&o, &n, fakeReader).Run(append(flags, arguments...))
	if err != nil {
		n.WriteString(err.Error())
	}
	return o.String(), n.String(), ExitCode(err)
}

func (h *harness) mustRun(t *testing.T, arguments ...string) string {
	t.Helper()
	out, notes, code := h.run(arguments...)
	if code != ExitOK {
		t.Fatalf("%v exits with %d: %s", arguments, code, notes)
	}
	return out
}

func contractFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "contract.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func (h *harness) history(t *testing.T) []operator.HistoryEdit {
	t.Helper()
	var edits []operator.HistoryEdit
	if err := json.Unmarshal([]byte(h.mustRun(t, "--output", "json", "contract", "history")), &edits); err != nil {
		t.Fatal(err)
	}
	return edits
}

func TestContractCommands(t *testing.T) {
	h := newHarness(t)
	first := contractFile(t, `{"account":"strathallan","share":100}`)
	second := contractFile(t, `{"account":"strathallan","share":250,"staleness":{"maxVersions":1}}`)
	if out := h.mustRun(t, "contract", "apply", first); !strings.Contains(out, "revision") {
		t.Errorf("apply printed %q", out)
	}
	out := h.mustRun(t, "contract", "diff", second)
	if !strings.Contains(out, "share") || !strings.Contains(out, "100") || !strings.Contains(out, "250") || !strings.Contains(out, "staleness.maxVersions") {
		t.Errorf("diff printed %q", out)
	}
	h.mustRun(t, "contract", "apply", second)
	if out := h.mustRun(t, "contract", "diff", second); !strings.Contains(out, "no change") {
		t.Errorf("diff after apply printed %q", out)
	}
	if out := h.mustRun(t, "contract", "get", "strathallan"); !strings.Contains(out, "250") {
		t.Errorf("get printed %q", out)
	}
	if out := h.mustRun(t, "contract", "history", "strathallan"); !strings.Contains(out, "by ana") || !strings.Contains(out, "share") {
		t.Errorf("history printed %q", out)
	}
	for _, command := range [][]string{{"contract", "list"}, {"key", "list"}, {"status"}, {"steps"}, {"usage"}, {"timeline"}} {
		h.mustRun(t, command...)
		if text := h.mustRun(t, append([]string{"--output", "json"}, command...)...); !json.Valid([]byte(text)) {
			t.Errorf("%v --output json printed %q", command, text)
		}
	}
}

// The connection fails after an edit was accepted and before its answer arrives. Guards
// against a retry with the same ID that makes a second edit or conflicts with the first one.
func TestRetryAfterLostAnswerEditsOnce(t *testing.T) {
	h := newHarness(t)
	file := contractFile(t, `{"account":"brazicod","share":300}`)
	h.loseAnswers.Store(1)
	_, notes, code := h.run("contract", "apply", file, "--edit-id", "monday-1")
	if code != ExitUnknown || !strings.Contains(notes, "--edit-id monday-1") {
		t.Fatalf("the lost answer exits with %d: %s", code, notes)
	}
	h.mustRun(t, "contract", "apply", file, "--edit-id", "monday-1")
	if edits := h.history(t); len(edits) != 1 {
		t.Errorf("history has %d edits, want 1", len(edits))
	}
}

// The answer to a grant is lost. Only the tool knows the key's secret: without the key file
// the secret would be lost too, and a retry would grant a second key.
func TestGrantRetriedAfterLostAnswerKeepsItsKey(t *testing.T) {
	h := newHarness(t)
	h.mustRun(t, "contract", "apply", contractFile(t, `{"account":"brazicod"}`))
	file := filepath.Join(t.TempDir(), "key")
	grant := []string{"key", "grant", "brazicod", "--key-file", file, "--edit-id", "grant-1"}
	h.loseAnswers.Store(1)
	if _, notes, code := h.run(grant...); code != ExitUnknown {
		t.Fatalf("the lost answer exits with %d: %s", code, notes)
	}
	before, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	h.mustRun(t, grant...)
	after, err := os.ReadFile(file)
	if err != nil || !bytes.Equal(before, after) {
		t.Errorf("the retry changed the key file (%v)", err)
	}
	if edits := h.history(t); len(edits) != 2 {
		t.Errorf("history has %d edits, want the contract and one grant", len(edits))
	}
}

func TestGrantPrintsItsKeyOnceAndWithdrawTakesItsID(t *testing.T) {
	h := newHarness(t)
	h.mustRun(t, "contract", "apply", contractFile(t, `{"account":"brazicod"}`))
	key := strings.TrimSpace(h.mustRun(t, "key", "grant", "brazicod"))
	presented, err := contract.ParseKey(key)
	if err != nil {
		t.Fatalf("grant printed %q: %v", key, err)
	}
	if _, notes, code := h.run("key", "withdraw", key); code != ExitInvalid || strings.Contains(notes, presented.Secret) {
		t.Errorf("withdrawing a complete key exits with %d: %s", code, notes)
	}
	h.mustRun(t, "key", "withdraw", presented.ID)
	for _, command := range [][]string{{"key", "list"}, {"contract", "history"}, {"timeline"}, {"status"}} {
		if out := h.mustRun(t, command...); strings.Contains(out, presented.Secret) || strings.Contains(out, contract.HashSecret(presented.Secret)) {
			t.Errorf("%v shows the secret or its hash", command)
		}
	}
	taken := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(taken, []byte("something"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, code := h.run("key", "grant", "brazicod", "--key-file", taken); code != ExitInvalid {
		t.Errorf("a grant into an existing file exits with %d", code)
	}
}

// A failure domain is cut off while an edit is made. With --wait the operator must see that
// the edit was accepted and where it is pending, and the exit code must differ from that of
// a failed edit.
func TestWaitNamesWhereTheEditIsPending(t *testing.T) {
	h := newHarness(t)
	h.fleet.pending = []operator.VMRevision{{VM: "vm-7", FailureDomain: "c"}}
	out, notes, code := h.run("contract", "apply", contractFile(t, `{"account":"a"}`), "--wait", "1ms")
	if code != ExitPending || !strings.Contains(notes, "vm-7") {
		t.Errorf("exits with %d: %s", code, notes)
	}
	if !strings.Contains(out, "failure domain c: vm-7 (cut off)") {
		t.Errorf("printed %q", out)
	}
}

func TestExitCodesOfFailures(t *testing.T) {
	h := newHarness(t)
	bad := contractFile(t, `{"account":"a","share":0}`)
	unknownField := contractFile(t, `{"account":"a","sahre":1}`)
	cases := []struct {
		line []string
		code int
	}{
		{[]string{"contract", "get", "nobody"}, ExitNotFound},
		{[]string{"key", "withdraw", "nobody"}, ExitNotFound},
		{[]string{"explain", "nobody"}, ExitNotFound},
		{[]string{"contract", "apply", bad}, ExitInvalid},
		{[]string{"contract", "apply", unknownField}, ExitInvalid},
		{[]string{"contract", "apply", "/nonexistent"}, ExitInvalid},
		{[]string{"contrcat", "list"}, ExitInvalid},
		{[]string{"settings", "check", bad}, ExitInvalid},
	}
	for _, c := range cases {
		if _, notes, code := h.run(c.line...); code != c.code {
			t.Errorf("%v exits with %d, want %d: %s", c.line, code, c.code, notes)
		}
	}
	if _, _, code := runWith([]string{"--address", h.address, "--token", "wrong"}, "status"); code != ExitCredential {
		t.Errorf("a wrong credential exits with %d, want %d", code, ExitCredential)
	}
	nobody := []string{"--address", h.address, "--token", testToken, "--who", ""}
	if _, _, code := runWith(nobody, "contract", "apply", contractFile(t, `{"account":"a"}`)); code != ExitInvalid {
		t.Errorf("an edit by nobody exits with %d, want %d", code, ExitInvalid)
	}
	closed := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(closed.URL, "http://")
	closed.Close()
	if _, _, code := runWith([]string{"--address", address}, "status"); code != ExitUnavailable {
		t.Errorf("an unreachable VM exits with %d, want %d", code, ExitUnavailable)
	}
	if code := ExitCode(&fault.EditConflict{}); code != ExitConflict {
		t.Errorf("a conflict exits with %d, want %d", code, ExitConflict)
	}
}

func TestStepsAndUsageShowRows(t *testing.T) {
	h := newHarness(t)
	rows := map[string]any{
		"progress/strathallan/round-1":  sample.Progress{Model: "berry-1", Slots: 12, Filled: []byte{0x1f, 0}, Committed: 5, Acked: 3},
		"report/000000000001/brazicod":  usage.Report{Window: 1, Account: "brazicod", Counts: usage.Counts{Requests: 7, Tokens: 70}, Incomplete: true},
		"lease/usage-reports":           json.RawMessage(`{"holder":"vm-3","epoch":12}`),
		"report/000000000002/something": usage.Report{Window: 2, Account: "something"},
	}
	for key, value := range rows {
		text, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		txn := platformapi.Txn{Nonce: key, Preconditions: []platformapi.Precondition{{Key: key}}, Writes: []platformapi.Write{{Key: key, Value: text}}}
		if err := h.tables.Commit(context.Background(), txn); err != nil {
			t.Fatal(err)
		}
	}
	wants := []struct {
		line []string
		text string
	}{
		{[]string{"steps", "strathallan"}, "berry-1  12     5          3"},
		{[]string{"usage", "--since", "500000h"}, "something"},
		{[]string{"usage", "300"}, "70"},
		{[]string{"status"}, "usage-reports"},
	}
	for _, w := range wants {
		if out := h.mustRun(t, w.line...); !strings.Contains(out, w.text) {
			t.Errorf("%v does not show %q:\n%s", w.line, w.text, out)
		}
	}
	if out := h.mustRun(t, "usage"); strings.Contains(out, "brazicod") {
		t.Errorf("usage of the last day shows 1970:\n%s", out)
	}
	if out := h.mustRun(t, "usage", "300"); strings.Contains(out, "something") {
		t.Errorf("usage of one window shows another:\n%s", out)
	}
}

// An engine dies during a request and the caller only sees a slow answer. The explanation
// must show both attempts and the cause of the retry in order.
func TestExplainShowsARetriedRequest(t *testing.T) {
	at := func(micros int64, vm string, n event.Number, s event.Subject) event.Record {
		return event.Record{Stamp: event.Stamp{WallMicros: micros}, VM: vm, Number: n, Subject: s}
	}
	events := []event.Record{
		at(1, "vm-1", event.UpstreamEjected, event.Subject{Upstream: "engine-1"}),
		at(10, "vm-1", event.RequestAccepted, event.Subject{Request: "r", Account: "strathallan"}),
		at(11, "vm-1", event.RequestDispatched, event.Subject{Request: "r", Upstream: "engine-1", Attempt: 1}),
		at(12, "vm-2", event.RequestAccepted, event.Subject{Request: "other"}),
		at(20, "vm-1", event.AttemptFailed, event.Subject{Request: "r", Upstream: "engine-1", Attempt: 1, Detail: "upstream_failed"}),
		at(21, "vm-1", event.UpstreamEjected, event.Subject{Upstream: "engine-1"}),
		at(22, "vm-1", event.RequestDispatched, event.Subject{Request: "r", Upstream: "engine-2", Attempt: 2}),
		at(23, "vm-1", event.StreamResumed, event.Subject{Request: "r", Upstream: "engine-2", Attempt: 2, Count: 5}),
		at(30, "vm-1", event.RequestAnswered, event.Subject{Request: "r", Count: 9}),
		at(40, "vm-1", event.UpstreamRestored, event.Subject{Upstream: "engine-1"}),
	}
	explanation := explain("r", events, []string{"vm-9"})
	if got := explanation.upstreams(); fmt.Sprint(got) != "[engine-1 engine-2]" {
		t.Errorf("the request's upstreams are %v", got)
	}
	var numbers []event.Number
	for _, l := range explanation.Lines {
		numbers = append(numbers, l.Number)
	}
	want := fmt.Sprint([]event.Number{
		event.RequestAccepted, event.RequestDispatched, event.AttemptFailed, event.UpstreamEjected,
		event.RequestDispatched, event.StreamResumed, event.RequestAnswered,
	})
	if fmt.Sprint(numbers) != want {
		t.Errorf("the events are %v, want %v", numbers, want)
	}
	if explanation.Attempts != 2 || explanation.Outcome != outcomeAnswered || explanation.Account != "strathallan" {
		t.Errorf("the explanation is %+v", explanation)
	}
	var out bytes.Buffer
	explainTable(&out, explanation)
	for _, part := range []string{"answered, attempts: 2", "attempt 1 at upstream engine-1 failed: upstream_failed", "missing: VM vm-9"} {
		if !strings.Contains(out.String(), part) {
			t.Errorf("the explanation lacks %q:\n%s", part, out.String())
		}
	}
}

// A busy VM has dropped the first events of a request. Guards against an explanation of the
// remaining events that is not marked as partial and so hides an attempt.
func TestExplanationWithoutFirstEventIsPartial(t *testing.T) {
	second := event.Record{Number: event.RequestDispatched, Subject: event.Subject{Request: "r", Upstream: "e", Attempt: 2}}
	answered := event.Record{Number: event.RequestAnswered, Subject: event.Subject{Request: "r"}}
	accepted := event.Record{Number: event.RequestAccepted, Subject: event.Subject{Request: "r"}}
	slot := event.Record{Number: event.RequestDispatched, Subject: event.Subject{Request: "r", Step: "s", Attempt: 1}}
	for _, c := range []struct {
		events []event.Record
		want   bool
	}{
		{[]event.Record{second, answered}, true},
		{[]event.Record{answered}, true},
		{[]event.Record{accepted, second, answered}, false},
		{[]event.Record{slot, answered}, false},
	} {
		if explanation := explain("r", c.events, nil); explanation.Partial != c.want {
			t.Errorf("the explanation from %s on is partial: %t, want %t", c.events[0].Number, explanation.Partial, c.want)
		}
	}
}

// An event of a slow VM arrives after later events of other VMs. --follow must still print
// it, and print each event once.
func TestFollowShowsLateEventsOnce(t *testing.T) {
	at := func(seconds int64, vm string) event.Record {
		return event.Record{Stamp: event.Stamp{WallMicros: seconds * 1_000_000}, VM: vm}
	}
	f := newFollower()
	if got := f.unseen([]event.Record{at(100, "a"), at(110, "a")}); len(got) != 2 {
		t.Fatalf("the first poll shows %d events, want 2", len(got))
	}
	after := f.after(event.Stamp{})
	if !after.Before(at(108, "b").Stamp) {
		t.Errorf("the next poll starts at %s, after a late event", after)
	}
	if got := f.unseen([]event.Record{at(108, "b"), at(110, "a")}); len(got) != 1 || got[0].VM != "b" {
		t.Errorf("the second poll shows %v, want the late event alone", got)
	}
	if first, second := f.newlyMissing([]string{"x"}), f.newlyMissing([]string{"x"}); len(first) != 1 || len(second) != 0 {
		t.Errorf("a missing VM is named %d and then %d times", len(first), len(second))
	}
}

// Scripts decide by the exit code. Guards against codes that differ from the operators'
// page, which would make scripts retry refused edits or treat accepted ones as failed.
func TestOperatingPageListsTheExitCodes(t *testing.T) {
	numbers := doccheck.Column(t, "docs/OPERATIONS.md", "exit-codes", 0)
	lists := doccheck.Column(t, "docs/OPERATIONS.md", "exit-codes", 2)
	onPage := map[fault.Code]int{}
	for i, number := range numbers {
		if number != fmt.Sprint(i) {
			t.Errorf("row %d is about exit code %s", i, number)
		}
		for code := range strings.SplitSeq(lists[i], ",") {
			if code = strings.TrimSpace(code); code != "" {
				onPage[fault.Code(code)] = i
			}
		}
	}
	if len(numbers) != ExitWarnings+1 || !maps.Equal(onPage, exitCodes) {
		t.Errorf("the page has %d exit codes for\n%v\nthe code has\n%v", len(numbers), onPage, exitCodes)
	}
}
