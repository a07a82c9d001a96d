package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/emicklei/go-restful/v3"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/event"
)

// Change is one field that an edit changed. Before is empty for a new contract
// or key.
type Change struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// HistoryEdit is one accepted edit as it is shown to a board.
type HistoryEdit struct {
	Revision contract.Revision `json:"revision"`
	EditID   string            `json:"editId"`
	Kind     contract.EditKind `json:"kind"`
	Who      string            `json:"who"`
	When     time.Time         `json:"when"`
	// Subject is "contract/<account>" or "key/<id>".
	Subject string           `json:"subject"`
	Account contract.Account `json:"account"`
	Changes []Change         `json:"changes"`
	InForce InForce          `json:"inForce"`
}

// InForce tells when an edit was in force on the VMs of today.
type InForce struct {
	// Everywhere is when the last VM put the edit in force; absent unless it is
	// known for every VM.
	Everywhere *time.Time `json:"everywhere,omitempty"`
	// VMs tells it for each VM of which it is known.
	VMs []VMInForce `json:"vms"`
	// NotKnown names the VMs that did not answer, started later, or keep the
	// event no more.
	NotKnown []string `json:"notKnown"`
}

// VMInForce is when a VM put an edit in force.
type VMInForce struct {
	VM string    `json:"vm"`
	At time.Time `json:"at"`
}

const historyPage = 1000

func (s *Server) revisions(r *restful.Request) (any, error) {
	after, err := revisionParameter(r.QueryParameter("after"))
	if err != nil {
		return nil, err
	}
	entries, err := s.Editor.History(r.Request.Context(), after, historyPage)
	if err != nil {
		return nil, err
	}
	for i := range entries {
		entries[i] = withoutHash(entries[i])
	}
	return entries, nil
}

// history answers with all accepted edits of an account, or of all accounts.
func (s *Server) history(r *restful.Request) (any, error) {
	entries, err := s.allEntries(r.Request.Context())
	if err != nil {
		return nil, err
	}
	records, missing := s.Fleet.Events(r.Request.Context(), event.Query{Numbers: []event.Number{event.RevisionApplied}})
	applied := appliedOn(records)
	vms := s.vmNames(missing)
	wanted := contract.Account(r.QueryParameter("account"))
	edits := []HistoryEdit{}
	for _, edit := range editsOf(entries) {
		if wanted != "" && edit.Account != wanted {
			continue
		}
		edit.InForce = inForce(edit.Revision, applied, vms)
		edits = append(edits, edit)
	}
	return edits, nil
}

func (s *Server) allEntries(ctx context.Context) ([]contract.Entry, error) {
	var all []contract.Entry
	var after contract.Revision
	for {
		page, err := s.Editor.History(ctx, after, historyPage)
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if len(page) < historyPage {
			return all, nil
		}
		after = page[len(page)-1].Revision
	}
}

// vmNames lists the VMs of today with those that did not answer.
func (s *Server) vmNames(missing []string) []string {
	names := slices.Clone(missing)
	for _, vm := range s.Fleet.InForce() {
		names = append(names, vm.VM)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// editsOf describes each entry by what it changed in its contract or key.
func editsOf(entries []contract.Entry) []HistoryEdit {
	before := map[string]contract.Entry{}
	edits := make([]HistoryEdit, 0, len(entries))
	for _, entry := range entries {
		edit := HistoryEdit{
			Revision: entry.Revision,
			EditID:   entry.EditID,
			Kind:     entry.Kind,
			Who:      entry.Who,
			When:     entry.When,
		}
		switch {
		case entry.Contract != nil:
			edit.Account = entry.Contract.Account
			edit.Subject = "contract/" + string(edit.Account)
			edit.Changes = DiffContracts(before[edit.Subject].Contract, entry.Contract)
		case entry.Key != nil:
			edit.Account = entry.Key.Account
			edit.Subject = "key/" + entry.Key.ID
			edit.Changes = diff(viewOf(before[edit.Subject].Key), viewOf(entry.Key))
		}
		before[edit.Subject] = entry
		edits = append(edits, edit)
	}
	return edits
}

func viewOf(key *contract.Key) *KeyView {
	if key == nil {
		return nil
	}
	return &KeyView{ID: key.ID, Account: key.Account, Withdrawn: key.Withdrawn}
}

// DiffContracts lists the fields in which two contracts differ; before is nil
// for a new contract.
func DiffContracts(before, after *contract.Contract) []Change { return diff(before, after) }

// diff compares two values of one type field by field, in the order of names.
func diff[T any](before, after *T) []Change {
	old, now := fieldsOf(before), fieldsOf(after)
	names := make([]string, 0, len(now))
	for name := range now {
		names = append(names, name)
	}
	slices.Sort(names)
	changes := []Change{}
	for _, name := range names {
		if old[name] != now[name] {
			changes = append(changes, Change{Field: name, Before: old[name], After: now[name]})
		}
	}
	return changes
}

// fieldsOf flattens a value into "a.b" names with their JSON text.
func fieldsOf[T any](value *T) map[string]string {
	fields := map[string]string{}
	if value == nil {
		return fields
	}
	text, err := json.Marshal(value)
	if err != nil {
		return fields
	}
	var tree map[string]any
	decoder := json.NewDecoder(strings.NewReader(string(text)))
	decoder.UseNumber()
	if err := decoder.Decode(&tree); err != nil {
		return fields
	}
	flatten("", tree, fields)
	return fields
}

func flatten(prefix string, tree map[string]any, into map[string]string) {
	for name, value := range tree {
		if branch, ok := value.(map[string]any); ok {
			flatten(prefix+name+".", branch, into)
			continue
		}
		into[prefix+name] = fmt.Sprint(value)
	}
}

// application is one RevisionApplied event.
type application struct {
	revision contract.Revision
	at       time.Time
}

// appliedOn sorts the RevisionApplied events by VM, oldest first.
func appliedOn(records []event.Record) map[string][]application {
	applied := map[string][]application{}
	for _, e := range records {
		if e.Number == event.RevisionApplied {
			a := application{revision: contract.Revision(e.Revision), at: time.UnixMicro(e.Stamp.WallMicros).UTC()}
			applied[e.VM] = append(applied[e.VM], a)
		}
	}
	return applied
}

// inForce tells when a revision came into force on each VM.
func inForce(revision contract.Revision, applied map[string][]application, vms []string) InForce {
	answer := InForce{VMs: []VMInForce{}, NotKnown: []string{}}
	var latest time.Time
	for _, vm := range vms {
		at, ok := firstWith(applied[vm], revision)
		if !ok {
			answer.NotKnown = append(answer.NotKnown, vm)
			continue
		}
		answer.VMs = append(answer.VMs, VMInForce{VM: vm, At: at})
		if at.After(latest) {
			latest = at
		}
	}
	if len(answer.NotKnown) == 0 && len(answer.VMs) > 0 {
		answer.Everywhere = &latest
	}
	return answer
}

// firstWith finds when a VM first had a revision in force. The first event that
// a ring still holds may come long after an older one that it dropped, or after
// a start of the VM; it shows the time only when it names just this revision.
func firstWith(applied []application, revision contract.Revision) (time.Time, bool) {
	for i, a := range applied {
		if a.revision < revision {
			continue
		}
		if i == 0 && a.revision != revision {
			return time.Time{}, false
		}
		return a.at, true
	}
	return time.Time{}, false
}
