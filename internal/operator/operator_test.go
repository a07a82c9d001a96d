package operator

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/doccheck"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"

	"go.uber.org/zap"
)

const (
	testToken = "operators-own"
	testHash  = "0123456789012345678901234567890123456789012345678901234567890123"
)

// fakeEditor is an in-memory Editor.
type fakeEditor struct {
	subjects map[string]contract.Subject
	entries  []contract.Entry
	// conflicts is the number of following edits that fail because of a concurrent edit.
	conflicts int
}

func (f *fakeEditor) Apply(_ context.Context, edit contract.Edit) (contract.Entry, error) {
	name := edit.SubjectName()
	if f.conflicts > 0 {
		f.conflicts--
		changed := f.subjects[name]
		changed.Revision++
		f.subjects[name] = changed
	}
	if f.subjects[name].Revision != edit.Base {
		return contract.Entry{}, errors.WithStack(&fault.EditConflict{Subject: name})
	}
	entry := contract.Entry{
		Revision: contract.Revision(len(f.entries) + 1),
		EditID:   edit.ID,
		Kind:     edit.Kind,
		Who:      edit.Who,
		When:     time.Unix(1000, 0),
		Contract: edit.Contract,
		Key:      edit.Key,
	}
	f.entries = append(f.entries, entry)
	f.subjects[name] = contract.Subject{Revision: entry.Revision, Contract: edit.Contract, Key: edit.Key}
	return entry, nil
}

func (f *fakeEditor) Subject(_ context.Context, name string) (contract.Subject, error) {
	return f.subjects[name], nil
}

func (f *fakeEditor) History(_ context.Context, after contract.Revision, limit int) ([]contract.Entry, error) {
	rest := slices.Clone(f.entries[min(int(after), len(f.entries)):])
	return rest[:min(limit, len(rest))], nil
}

type fakeFleet struct {
	vms     []VMRevision
	records []event.Record
	missing []string
}

func (f *fakeFleet) Revisions() []VMRevision { return f.vms }

func (f *fakeFleet) Events(_ context.Context, query event.Query) ([]event.Record, []string) {
	picked := slices.DeleteFunc(slices.Clone(f.records), func(e event.Record) bool { return !query.Matches(e) })
	return picked, slices.Clone(f.missing)
}

// unavailableStore provides Leases, Steps and Usage of a store that does not answer.
type unavailableStore struct{}

func (unavailableStore) Leases(context.Context) ([]Lease, error) {
	return nil, errors.WithStack(&fault.StoreUnavailable{Operation: "scan"})
}

func (unavailableStore) Steps(context.Context, string) ([]Step, error) {
	return nil, errors.WithStack(&fault.StoreUnavailable{Operation: "scan"})
}

func (unavailableStore) ReportsSince(context.Context, int64) ([]platformapi.UsageReport, error) {
	return nil, errors.WithStack(&fault.StoreUnavailable{Operation: "scan"})
}

func (unavailableStore) Reports(context.Context, int64) ([]platformapi.UsageReport, error) {
	return nil, errors.WithStack(&fault.StoreUnavailable{Operation: "scan"})
}

// harness is a Server under test with its fakes.
type harness struct {
	server *Server
	editor *fakeEditor
	fleet  *fakeFleet
}

func newHarness() *harness {
	h := &harness{
		editor: &fakeEditor{subjects: map[string]contract.Subject{}},
		fleet:  &fakeFleet{},
	}
	h.server = NewServer(Config{
		VM:          "vm-1",
		TokenSHA256: contract.HashSecret(testToken),
		View:        contract.NewView(),
		Editor:      h.editor,
		Fleet:       h.fleet,
		Upstreams:   func() []platformapi.Upstream { return nil },
		Leases:      unavailableStore{},
		Steps:       unavailableStore{},
		Usage:       unavailableStore{},
		Events:      event.NewRecorder("vm-1", 64, event.NewClock(time.Now), zap.NewNop()),
		ApplyNewest: func() {},
	})
	return h
}

// call makes a call, decodes the answer into reply if reply is not nil, and returns the
// status and the text of the answer.
func (h *harness) call(t *testing.T, method, path, body string, reply any) (int, string) {
	t.Helper()
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+testToken)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderEditor, "ana")
	request.Header.Set(HeaderEditID, "edit-1")
	response := httptest.NewRecorder()
	h.server.Handler().ServeHTTP(response, request)
	text := response.Body.String()
	if reply != nil {
		if err := json.Unmarshal([]byte(text), reply); err != nil {
			t.Fatalf("%s %s answered %d %q: %v", method, path, response.Code, text, err)
		}
	}
	return response.Code, text
}

func (h *harness) grant(id string) {
	h.editor.subjects["key/"+id] = contract.Subject{
		Revision: 1,
		Key:      &contract.Key{ID: id, Account: "brazicod", SecretSHA256: testHash},
	}
}

// Guards against a withdrawal that is refused as a conflict while another operator edits
// the same key, which would leave the key valid.
func TestWithdrawalRetriesAfterConflicts(t *testing.T) {
	h := newHarness()
	h.grant("k1")
	h.editor.conflicts = 3
	var answer EditAnswer
	status, text := h.call(t, http.MethodDelete, "/v1/keys/k1", "", &answer)
	if status != http.StatusOK {
		t.Fatalf("withdrawal answered %d %s", status, text)
	}
	if !h.editor.subjects["key/k1"].Key.Withdrawn {
		t.Error("the key is not withdrawn")
	}
}

// Guards against an answer that only says that the edit was accepted while a failure domain
// is cut off: the operator would believe that the key is invalid everywhere.
func TestWithdrawalNamesCutOffFailureDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		h.grant("k1")
		first, _ := contract.EmptySnapshot().Apply(contract.Entry{
			Revision: 1,
			Contract: &contract.Contract{Account: "brazicod", Isolation: contract.Isolation{ServeSeconds: 90}},
		})
		h.server.View.Advance(first)
		h.fleet.vms = []VMRevision{
			{VM: "vm-1", FailureDomain: "a", Revision: 5, Known: true},
			{VM: "vm-2", FailureDomain: "a", Revision: 0, Known: true, AgeMillis: 400},
			{VM: "vm-3", FailureDomain: "b", Revision: 0, Known: true, AgeMillis: 60_000},
			{VM: "vm-4", FailureDomain: "b"},
		}
		var answer EditAnswer
		h.call(t, http.MethodDelete, "/v1/keys/k1", "", &answer)
		if !slices.Equal(answer.Confirmed, []string{"vm-1"}) || !slices.Equal(answer.Pending, []string{"vm-2", "vm-3", "vm-4"}) {
			t.Errorf("confirmed %v, pending %v", answer.Confirmed, answer.Pending)
		}
		if len(answer.PendingDomains) != 2 || answer.PendingDomains[0].CutOff || !answer.PendingDomains[1].CutOff {
			t.Errorf("pending failure domains are %+v, want a reached and b cut off", answer.PendingDomains)
		}
		if answer.ServeSeconds != 90 {
			t.Errorf("ServeSeconds is %d, want the contract's 90", answer.ServeSeconds)
		}
	})
}

// A key is withdrawn twice, by two operators or by one who repeats the withdrawal to be
// safe. The history must show one edit.
func TestSecondWithdrawalReturnsTheFirstEntry(t *testing.T) {
	h := newHarness()
	h.grant("k1")
	var first, second EditAnswer
	h.call(t, http.MethodDelete, "/v1/keys/k1", "", &first)
	h.call(t, http.MethodDelete, "/v1/keys/k1", "", &second)
	if len(h.editor.entries) != 1 {
		t.Errorf("the history has %d edits, want 1", len(h.editor.entries))
	}
	if first.Entry.Revision != second.Entry.Revision || second.Entry.Kind != contract.EditWithdraw {
		t.Errorf("the second answer is %+v, want that of %+v", second.Entry, first.Entry)
	}
}

// Guards against a successful answer to a withdrawal with a mistyped key ID: the key that
// was meant would remain valid unnoticed.
func TestWithdrawalOfUnknownKey(t *testing.T) {
	h := newHarness()
	var answer Problem
	if status, _ := h.call(t, http.MethodDelete, "/v1/keys/nobody", "", &answer); status != http.StatusNotFound || answer.Code != fault.CodeKeyUnknown {
		t.Errorf("answer is %d %s", status, answer.Code)
	}
}

func TestAnswersDoNotContainTheHashOfASecret(t *testing.T) {
	h := newHarness()
	_, granted := h.call(t, http.MethodPut, "/v1/keys/k1", `{"account":"brazicod","secretSha256":"`+testHash+`"}`, nil)
	snapshot, err := contract.EmptySnapshot().Apply(h.editor.entries[0])
	if err != nil {
		t.Fatal(err)
	}
	h.server.View.Advance(snapshot)
	_, list := h.call(t, http.MethodGet, "/v1/keys", "", nil)
	_, revisions := h.call(t, http.MethodGet, "/v1/revisions", "", nil)
	_, history := h.call(t, http.MethodGet, "/v1/history", "", nil)
	_, withdrawn := h.call(t, http.MethodDelete, "/v1/keys/k1", "", nil)
	for _, text := range []string{granted, list, revisions, history, withdrawn} {
		if !strings.Contains(text, "k1") {
			t.Errorf("the answer does not name the key: %s", text)
		}
		if strings.Contains(text, testHash) {
			t.Errorf("the answer contains the hash: %s", text)
		}
	}
	if h.editor.subjects["key/k1"].Key.SecretSHA256 != testHash {
		t.Error("the stored key has lost its hash")
	}
}

func TestHistoryShowsWhoWhatAndWhenInForce(t *testing.T) {
	h := newHarness()
	h.call(t, http.MethodPut, "/v1/contracts/strathallan", `{"account":"strathallan","share":100}`, nil)
	h.editor.subjects["contract/strathallan"] = contract.Subject{}
	h.call(t, http.MethodPut, "/v1/contracts/strathallan", `{"account":"strathallan","share":250}`, nil)
	h.fleet.vms = []VMRevision{{VM: "vm-1", Known: true}, {VM: "vm-2", Known: true}}
	h.fleet.records = []event.Record{
		revisionApplied("vm-1", 1, 10), revisionApplied("vm-2", 1, 11), revisionApplied("vm-1", 2, 20), revisionApplied("vm-2", 2, 23),
	}
	var edits []HistoryEdit
	h.call(t, http.MethodGet, "/v1/history?account=strathallan", "", &edits)
	if len(edits) != 2 {
		t.Fatalf("history has %d edits, want 2", len(edits))
	}
	second := edits[1]
	if second.Who != "ana" || second.Revision != 2 || second.Subject != "contract/strathallan" {
		t.Errorf("the edit is %+v", second)
	}
	if want := []Change{{Field: "share", Before: "100", After: "250"}}; !slices.Equal(second.Changes, want) {
		t.Errorf("changes are %v, want %v", second.Changes, want)
	}
	if at := second.InForce.Everywhere; at == nil || !at.Equal(time.UnixMicro(23)) {
		t.Errorf("in force everywhere at %v, want the last VM's time", at)
	}
}

func revisionApplied(vm string, revision uint64, micros int64) event.Record {
	return event.Record{
		VM:      vm,
		Number:  event.RevisionApplied,
		Stamp:   event.Stamp{WallMicros: micros},
		Subject: event.Subject{Revision: revision},
	}
}

// The time at which an edit came into force is not known for a VM that was replaced, has
// dropped old events or is cut off. Guards against a time inferred from the VM's later
// events.
func TestInForceTimesOmitsUnknownTimes(t *testing.T) {
	applied := appliedByVM([]event.Record{
		revisionApplied("whole", 1, 1), revisionApplied("whole", 3, 3),
		revisionApplied("replaced", 4, 9),
	})
	got := inForceTimes(2, applied, []string{"whole", "replaced", "silent"})
	if got.Everywhere != nil {
		t.Errorf("in force everywhere at %v, want not known", got.Everywhere)
	}
	if !slices.Equal(got.Unknown, []string{"replaced", "silent"}) {
		t.Errorf("not known on %v", got.Unknown)
	}
	if want := []VMInForce{{VM: "whole", At: time.UnixMicro(3).UTC()}}; !slices.Equal(got.VMs, want) {
		t.Errorf("known on %v, want %v", got.VMs, want)
	}
}

// Operators need the status during an outage of the store. It must contain what the VM
// knows and mark the leases as unknown.
func TestStatusAnswersDuringStoreOutage(t *testing.T) {
	h := newHarness()
	h.fleet.vms = []VMRevision{{VM: "vm-1", FailureDomain: "a", Revision: 7, Known: true}}
	var status Status
	if code, text := h.call(t, http.MethodGet, "/v1/status", "", &status); code != http.StatusOK {
		t.Fatalf("status answered %d %s", code, text)
	}
	if !status.LeasesUnknown {
		t.Error("the status does not say that the leases are not known")
	}
	if want := []Domain{{FailureDomain: "a", VMs: 1, Responsive: 1, Revision: 7}}; !slices.Equal(status.Domains, want) {
		t.Errorf("failure domains are %+v, want %+v", status.Domains, want)
	}
}

func TestEventsAreFilteredAndMissingVMsNamed(t *testing.T) {
	h := newHarness()
	h.fleet.records = []event.Record{
		{VM: "vm-1", Stamp: event.Stamp{WallMicros: 1}, Number: event.RequestAccepted, Subject: event.Subject{Request: "r1"}},
		{VM: "vm-1", Stamp: event.Stamp{WallMicros: 2}, Subject: event.Subject{Request: "r2", Step: "s"}},
		{VM: "vm-2", Stamp: event.Stamp{WallMicros: 3}, Subject: event.Subject{Lease: "usage", Upstream: "e1"}},
	}
	h.fleet.missing = []string{"vm-9", "vm-3"}
	for query, want := range map[string]int{
		"": 3, "?request=r1": 1, "?step=s": 1, "?lease=usage": 1, "?request=r1&step=s": 0,
		"?upstream=e1&upstream=e2": 1, "?event=1301": 1, "?event=1301&event=1302": 1, "?after=0.000001%2B0": 2,
	} {
		var answer EventsAnswer
		h.call(t, http.MethodGet, "/v1/events"+query, "", &answer)
		if len(answer.Events) != want || !slices.Equal(answer.Missing, []string{"vm-3", "vm-9"}) {
			t.Errorf("events%s are %d with %v missing, want %d", query, len(answer.Events), answer.Missing, want)
		}
	}
}

func TestWrongCredentialAndBadInput(t *testing.T) {
	h := newHarness()
	cases := []struct {
		method, path, body string
		status             int
		code               fault.Code
	}{
		{http.MethodGet, "/v1/contracts/nobody", "", http.StatusNotFound, fault.CodeAccountUnknown},
		{http.MethodPut, "/v1/contracts/a", "{", http.StatusBadRequest, fault.CodeBadRequest},
		{http.MethodPut, "/v1/contracts/a", `{"account":"a","sahre":1}`, http.StatusBadRequest, fault.CodeBadRequest},
		{http.MethodPut, "/v1/contracts/a", `{"account":"b"}`, http.StatusBadRequest, fault.CodeBadRequest},
		{http.MethodGet, "/v1/usage/soon", "", http.StatusBadRequest, fault.CodeBadRequest},
		{http.MethodGet, "/v1/usage/300", "", http.StatusServiceUnavailable, fault.CodeStoreUnavailable},
		{http.MethodGet, "/v1/revisions/x/confirmation", "", http.StatusBadRequest, fault.CodeBadRequest},
		{http.MethodGet, "/v1//status", "", http.StatusNotFound, fault.CodeRouteUnknown},
		{http.MethodGet, "/v1/nothing", "", http.StatusNotFound, fault.CodeRouteUnknown},
		{http.MethodPost, "/v1/status", "", http.StatusMethodNotAllowed, fault.CodeRouteUnknown},
		{http.MethodGet, "/v1/events?event=soon", "", http.StatusBadRequest, fault.CodeBadRequest},
		{http.MethodGet, "/v1/events?after=now", "", http.StatusBadRequest, fault.CodeBadRequest},
	}
	for _, c := range cases {
		var problem Problem
		status, _ := h.call(t, c.method, c.path, c.body, &problem)
		if status != c.status || problem.Code != c.code {
			t.Errorf("%s %s answered %d %s, want %d %s", c.method, c.path, status, problem.Code, c.status, c.code)
		}
	}
	h.server.TokenSHA256 = contract.HashSecret("another")
	var problem Problem
	if status, _ := h.call(t, http.MethodGet, "/v1/status", "", &problem); status != http.StatusUnauthorized || problem.Code != fault.CodeKeyInvalid {
		t.Errorf("a wrong credential answered %d %s", status, problem.Code)
	}
}

// Operators write contracts from the operators' page. Guards against fields that are missing
// there and against wrong defaults.
func TestOperatingPageListsTheFieldsOfAContract(t *testing.T) {
	fields := doccheck.Column(t, "docs/OPERATIONS.md", "contract", 0)
	defaults := doccheck.Column(t, "docs/OPERATIONS.md", "contract", 1)
	onPage := map[string]string{}
	for i, field := range fields {
		onPage[field] = defaults[i]
	}
	standard := contract.DefaultContract("")
	if want := fieldsOf(&standard); !maps.Equal(onPage, want) {
		t.Errorf("the page has\n%v\nthe code has\n%v", onPage, want)
	}
}

// Guards against calls of the operators' API that are missing on the API page or exist only
// there.
func TestAPIPageListsTheOperatorsRoutes(t *testing.T) {
	var routes []string
	for _, route := range newHarness().server.api().Routes() {
		routes = append(routes, route.Method+" "+route.Path)
	}
	slices.Sort(routes)
	if listed := doccheck.Calls(t, "docs/API.md", "operators"); !slices.Equal(listed, routes) {
		t.Errorf("the page lists\n%v\nthe code has\n%v", listed, routes)
	}
}

// Any contract body must be accepted or refused with status 400, and must not cause a panic.
func FuzzPutContract(f *testing.F) {
	f.Add(`{"account":"a","share":100}`)
	f.Add(`{"account":"a","limits":null}`)
	f.Add(`[]`)
	f.Add(`{"account":"a","share":1e400}`)
	f.Fuzz(func(t *testing.T, body string) {
		h := newHarness()
		status, text := h.call(t, http.MethodPut, "/v1/contracts/a", body, nil)
		if status != http.StatusOK && status != http.StatusBadRequest {
			t.Errorf("answered %d %s", status, text)
		}
	})
}
