package event

import "slices"

// Query picks events. An empty field picks all. It travels to every VM, so that
// only the events that are asked for travel back.
type Query struct {
	// After picks events with a later stamp.
	After   Stamp  `json:"after"`
	Request string `json:"request,omitempty"`
	Step    string `json:"step,omitempty"`
	// Slot is an item of a step.
	Slot    string `json:"slot,omitempty"`
	Lease   string `json:"lease,omitempty"`
	Account string `json:"account,omitempty"`
	// Upstreams picks events of any of these upstreams.
	Upstreams []string `json:"upstreams,omitempty"`
	// Numbers picks events of any of these kinds.
	Numbers []Number `json:"numbers,omitempty"`
}

// Picks reports whether the query picks a record.
func (q Query) Picks(r Record) bool {
	return q.After.Before(r.Stamp) &&
		matches(q.Request, r.Request) &&
		matches(q.Step, r.Step) &&
		matches(q.Slot, r.Slot) &&
		matches(q.Lease, r.Lease) &&
		matches(q.Account, r.Account) &&
		among(q.Upstreams, r.Upstream) &&
		among(q.Numbers, r.Number)
}

func matches(wanted, got string) bool { return wanted == "" || wanted == got }

func among[T comparable](wanted []T, got T) bool {
	return len(wanted) == 0 || slices.Contains(wanted, got)
}

// Select returns the kept events that a query picks, oldest first.
func (r *Recorder) Select(q Query) []Record {
	return slices.DeleteFunc(r.Since(q.After), func(e Record) bool { return !q.Picks(e) })
}
