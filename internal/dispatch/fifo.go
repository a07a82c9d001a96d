package dispatch

import (
	"context"
	"slices"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platform"
	"dogwoodpond/internal/upstream"
)

// FIFO sends each request at once to the next upstream in turn, where it waits
// in the order of arrival. It is the baseline that measurements compare the
// Scheduler with.
type FIFO struct {
	directory *upstream.Directory
	turn      atomic.Uint64
}

// NewFIFO returns a FIFO over the directory.
func NewFIFO(directory *upstream.Directory) *FIFO { return &FIFO{directory: directory} }

// Acquire implements Dispatcher.
func (f *FIFO) Acquire(_ context.Context, work Work) (Grant, error) {
	var candidates []platform.Upstream
	for _, u := range f.directory.Load() {
		if serves(u, work.Pool) && mayUse(u, work) {
			candidates = append(candidates, u)
		}
	}
	if len(candidates) == 0 {
		return Grant{}, errors.WithStack(&fault.NoUpstream{Pool: work.Pool.String(), Wait: defaultWait})
	}
	chosen := candidates[f.turn.Add(1)%uint64(len(candidates))]
	return Grant{Upstream: chosen, Done: func(Result) {}}, nil
}

// serves reports whether the list says that an upstream belongs to a pool and
// takes new work.
func serves(u platform.Upstream, pool Pool) bool {
	if u.State != platform.UpstreamLive || u.Kind != pool.Kind {
		return false
	}
	if pool.Kind == platform.KindService {
		return u.Service == pool.Service
	}
	return u.Model == pool.Model && u.Adapter == pool.Adapter
}

// mayUse reports whether work may run on an upstream of its pool at all.
func mayUse(u platform.Upstream, work Work) bool {
	if slices.Contains(work.Exclude, u.ID) {
		return false
	}
	return !u.Reclaimable || (work.Repeatable && work.Contract.Reclaimable.Percent > 0)
}
