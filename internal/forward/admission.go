package forward

import (
	"context"

	"dogwoodpond/internal/target"
)

// AdmissionRequest is a request that asks for a place at an upstream.
type AdmissionRequest struct {
	Call     *Call
	Criteria target.Criteria
}

// GrantOutcome is what became of the attempt of a grant.
type GrantOutcome int

// The outcomes of an attempt.
const (
	// GrantAnswered means that the upstream answered the request.
	GrantAnswered GrantOutcome = iota
	// GrantRefused means that the upstream refused the request because it was full.
	GrantRefused
	// GrantFailed means anything else, which says nothing about the upstream's capacity.
	GrantFailed
)

// Grant is a place at an upstream, counted as in flight there until End is called.
type Grant interface {
	Upstream() *target.Entry
	End(outcome GrantOutcome)
}

// Admission lets requests wait for a place at an upstream while none has capacity.
type Admission interface {
	// Acquire returns a place, or an error if the request was refused or ctx ended before it had
	// one. The grant is nil if no upstream may get the request.
	Acquire(ctx context.Context, r AdmissionRequest) (Grant, error)
	// Waiting reports whether requests wait for a place at the upstreams of a service.
	Waiting(service string) bool
}

// unqueued is an Admission that never waits.
type unqueued struct{ roster *target.Roster }

// Acquire implements Admission.
func (u unqueued) Acquire(_ context.Context, r AdmissionRequest) (Grant, error) {
	if e := u.roster.Reserve(r.Criteria); e != nil {
		return entryGrant{e}, nil
	}
	return nil, nil
}

// Waiting implements Admission.
func (unqueued) Waiting(string) bool { return false }

// entryGrant is a grant that is not part of a queue.
type entryGrant struct{ entry *target.Entry }

// Upstream implements Grant.
func (g entryGrant) Upstream() *target.Entry { return g.entry }

// End implements Grant.
func (g entryGrant) End(GrantOutcome) { g.entry.End() }

// admission returns the admission of requests whose attempts may wait.
func (f *Forwarder) admission() Admission {
	if f.Admission != nil {
		return f.Admission
	}
	return unqueued{f.Roster}
}
