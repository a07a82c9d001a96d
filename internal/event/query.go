package event

import "slices"

// Query selects events. An empty field matches all events. A query is evaluated
// at each VM, so that only matching events are transferred.
type Query struct {
	// After matches events with a later stamp.
	After   Stamp  `json:"after"`
	Request string `json:"request,omitempty"`
	Step    string `json:"step,omitempty"`
	// Slot matches events of this slot or item of a step.
	Slot    string `json:"slot,omitempty"`
	Lease   string `json:"lease,omitempty"`
	Account string `json:"account,omitempty"`
	// Upstreams matches events of any of these upstreams.
	Upstreams []string `json:"upstreams,omitempty"`
	// Numbers matches events with any of these numbers.
	Numbers []Number `json:"numbers,omitempty"`
}

// Matches reports whether a record matches the query.
func (q Query) Matches(r Record) bool {
	return q.After.Before(r.Stamp) &&
		matches(q.Request, r.Request) &&
		matches(q.Step, r.Step) &&
		matches(q.Slot, r.Slot) &&
		matches(q.Lease, r.Lease) &&
		matches(q.Account, r.Account) &&
		matchesAny(q.Upstreams, r.Upstream) &&
		matchesAny(q.Numbers, r.Number)
}

func matches(wanted, got string) bool { return wanted == "" || wanted == got }

func matchesAny[T comparable](wanted []T, got T) bool {
	return len(wanted) == 0 || slices.Contains(wanted, got)
}

// Select returns the events in the ring buffer that match the query, oldest
// first.
func (r *Recorder) Select(q Query) []Record {
	return slices.DeleteFunc(r.Since(q.After), func(e Record) bool { return !q.Matches(e) })
}
