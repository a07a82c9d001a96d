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

// Change is one field that an edit changed. Before is empty for a new contract or key.
type Change struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// HistoryEdit is one accepted edit, with the fields that it changed and when it was in
// force.
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

// InForce holds the times when an edit came into force on the VMs that are known now.
type InForce struct {
	// Everywhere is when the last VM applied the edit; nil unless the time is known for
	// every VM.
	Everywhere *time.Time `json:"everywhere,omitempty"`
	// VMs lists the VMs for which the time is known.
	VMs []VMInForce `json:"vms"`
	// Unknown lists the VMs that did not answer, that started after the edit, or whose
	// ring buffer no longer contains the event.
	Unknown []string `json:"notKnown"`
}

// VMInForce is when a VM applied an edit.
type VMInForce struct {
	VM string    `json:"vm"`
	At time.Time `json:"at"`
}

// historyPageSize limits the entries of one read of the history.
const historyPageSize = 1000

func (s *Server) revisions(r *restful.Request) (any, error) {
	after, err := revisionParameter(r.QueryParameter("after"))
	if err != nil {
		return nil, err
	}
	entries, err := s.Editor.History(r.Request.Context(), after, historyPageSize)
	if err != nil {
		return nil, err
	}
	for i := range entries {
		entries[i] = withoutHash(entries[i])
	}
	return entries, nil
}

// history returns all accepted edits of a client account, or of all client accounts.
func (s *Server) history(r *restful.Request) (any, error) {
	entries, err := s.allEntries(r.Request.Context())
	if err != nil {
		return nil, err
	}
	records, missing := s.Fleet.Events(r.Request.Context(), event.Query{Numbers: []event.Number{event.RevisionApplied}})
	applied := appliedByVM(records)
	vms := s.vmNames(missing)
	account := contract.Account(r.QueryParameter("account"))
	edits := []HistoryEdit{}
	for _, edit := range editsOf(entries) {
		if account != "" && edit.Account != account {
			continue
		}
		edit.InForce = inForceTimes(edit.Revision, applied, vms)
		edits = append(edits, edit)
	}
	return edits, nil
}

func (s *Server) allEntries(ctx context.Context) ([]contract.Entry, error) {
	var all []contract.Entry
	var after contract.Revision
	for {
		page, err := s.Editor.History(ctx, after, historyPageSize)
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if len(page) < historyPageSize {
			return all, nil
		}
		after = page[len(page)-1].Revision
	}
}

// vmNames returns the names of the known VMs and of those that did not answer.
func (s *Server) vmNames(missing []string) []string {
	names := slices.Clone(missing)
	for _, vm := range s.Fleet.Revisions() {
		names = append(names, vm.VM)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// editsOf returns for each entry what it changed in its contract or key.
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
			edit.Changes = diff(keyViewOf(before[edit.Subject].Key), keyViewOf(entry.Key))
		}
		before[edit.Subject] = entry
		edits = append(edits, edit)
	}
	return edits
}

func keyViewOf(key *contract.Key) *KeyView {
	if key == nil {
		return nil
	}
	return &KeyView{ID: key.ID, Account: key.Account, Withdrawn: key.Withdrawn}
}

// DiffContracts lists the fields in which two contracts differ; before is nil for a new
// contract.
func DiffContracts(before, after *contract.Contract) []Change { return diff(before, after) }

// diff lists the fields in which two values differ, sorted by name.
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

// fieldsOf maps the names of all nested JSON fields, like "a.b", to the text of their
// values.
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

// appliedRevision is one RevisionApplied event.
type appliedRevision struct {
	revision contract.Revision
	at       time.Time
}

// appliedByVM groups the RevisionApplied events by VM, oldest first.
func appliedByVM(records []event.Record) map[string][]appliedRevision {
	applied := map[string][]appliedRevision{}
	for _, e := range records {
		if e.Number == event.RevisionApplied {
			a := appliedRevision{revision: contract.Revision(e.Revision), at: time.UnixMicro(e.Stamp.WallMicros).UTC()}
			applied[e.VM] = append(applied[e.VM], a)
		}
	}
	return applied
}

// inForceTimes returns when a revision came into force on each VM.
func inForceTimes(revision contract.Revision, applied map[string][]appliedRevision, vms []string) InForce {
	answer := InForce{VMs: []VMInForce{}, Unknown: []string{}}
	var latest time.Time
	for _, vm := range vms {
		at, ok := firstApplied(applied[vm], revision)
		if !ok {
			answer.Unknown = append(answer.Unknown, vm)
			continue
		}
		answer.VMs = append(answer.VMs, VMInForce{VM: vm, At: at})
		if at.After(latest) {
			latest = at
		}
	}
	if len(answer.Unknown) == 0 && len(answer.VMs) > 0 {
		answer.Everywhere = &latest
	}
	return answer
}

// firstApplied returns when a VM first had a revision in force, and whether that time is
// known. It is not known if the oldest RevisionApplied event that the VM holds names a
// later revision: the VM may have applied the revision long before, with an event that
// its ring buffer has dropped or that was lost in a restart.
func firstApplied(applied []appliedRevision, revision contract.Revision) (time.Time, bool) {
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
