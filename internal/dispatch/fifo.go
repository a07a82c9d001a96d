package dispatch

import (
	"context"
	"slices"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/upstream"
)

// FIFO assigns each request at once to the next upstream in round-robin order,
// where it waits in the order of arrival. It is the baseline against which the
// Scheduler is measured.
type FIFO struct {
	directory *upstream.Directory
	next      atomic.Uint64
}

// NewFIFO returns a FIFO over the directory.
func NewFIFO(directory *upstream.Directory) *FIFO { return &FIFO{directory: directory} }

// Acquire implements Dispatcher.
func (f *FIFO) Acquire(_ context.Context, work Work) (Grant, error) {
	var candidates []platformapi.Upstream
	for _, u := range f.directory.Load() {
		if serves(u, work.Pool) && mayUse(u, work) {
			candidates = append(candidates, u)
		}
	}
	if len(candidates) == 0 {
		return Grant{}, errors.WithStack(&fault.NoUpstream{Pool: work.Pool.String(), Wait: defaultRetryAfter})
	}
	chosen := candidates[f.next.Add(1)%uint64(len(candidates))]
	return Grant{Upstream: chosen, Done: func(Result) {}}, nil
}

// serves reports whether an upstream is listed as a live member of a pool.
func serves(u platformapi.Upstream, pool Pool) bool {
	if u.State != platformapi.UpstreamLive || u.Kind != pool.Kind {
		return false
	}
	if pool.Kind == platformapi.KindService {
		return u.Service == pool.Service
	}
	return u.Model == pool.Model && u.Adapter == pool.Adapter
}

// mayUse reports whether work may run on an upstream of its pool at all.
func mayUse(u platformapi.Upstream, work Work) bool {
	if slices.Contains(work.Exclude, u.ID) {
		return false
	}
	return !u.Reclaimable || (work.Repeatable && work.Contract.Reclaimable.Percent > 0)
}
