package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platform"
	"dogwoodpond/internal/upstream"
)

// Scheduler grants places in the order of arrival on the least loaded upstream
// of the own failure domain, then of others.
type Scheduler struct {
	domain    string
	directory *upstream.Directory

	mu       sync.Mutex
	inFlight map[string]int
	changed  chan struct{}
}

// NewScheduler returns a scheduler for a VM in the failure domain.
func NewScheduler(domain string, directory *upstream.Directory) *Scheduler {
	return &Scheduler{
		domain:    domain,
		directory: directory,
		inFlight:  make(map[string]int),
		changed:   make(chan struct{}),
	}
}

const (
	// retryAfter is when a refused caller should come back.
	retryAfter = 2 * time.Second
	// recheck bounds how long a waiter misses a change of the directory.
	recheck = 200 * time.Millisecond
)

// Acquire implements Dispatcher.
func (s *Scheduler) Acquire(ctx context.Context, work Work) (Grant, error) {
	for {
		grant, known, wake := s.try(work)
		if grant.Done != nil {
			return grant, nil
		}
		if !known {
			return Grant{}, errors.WithStack(&fault.NoUpstream{Pool: work.Pool.String(), Wait: retryAfter})
		}
		select {
		case <-wake:
		case <-time.After(recheck):
		case <-ctx.Done():
			return Grant{}, ended(ctx)
		}
	}
}

// ended turns the end of a context into a failure.
func ended(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errors.WithStack(&fault.DeadlineExceeded{Wait: retryAfter})
	}
	return errors.WithStack(&fault.CallerGone{})
}

// try grants a place if one is free. known tells whether the pool has any
// usable upstream.
func (s *Scheduler) try(work Work) (grant Grant, known bool, wake <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := -1
	list := s.directory.Load()
	for i, u := range list {
		if !usable(u, work) {
			continue
		}
		known = true
		if s.inFlight[u.ID] >= max(1, u.Slots) {
			continue
		}
		if best < 0 || s.better(u, list[best]) {
			best = i
		}
	}
	if best < 0 {
		return Grant{}, known, s.changed
	}
	return s.grant(list[best]), true, nil
}

func usable(u platform.Upstream, work Work) bool {
	if u.State != platform.UpstreamLive || u.Kind != work.Pool.Kind || slices.Contains(work.Exclude, u.ID) {
		return false
	}
	if u.Reclaimable && !work.Repeatable {
		return false
	}
	if work.Pool.Kind == platform.KindService {
		return u.Service == work.Pool.Service
	}
	return u.Model == work.Pool.Model && u.Adapter == work.Pool.Adapter
}

func (s *Scheduler) better(a, b platform.Upstream) bool {
	aLocal, bLocal := a.FailureDomain == s.domain, b.FailureDomain == s.domain
	if aLocal != bLocal {
		return aLocal
	}
	return s.inFlight[a.ID] < s.inFlight[b.ID]
}

func (s *Scheduler) grant(u platform.Upstream) Grant {
	s.inFlight[u.ID]++
	return Grant{Upstream: u, Done: func(Result) { s.release(u.ID) }}
}

func (s *Scheduler) release(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[id]--
	close(s.changed)
	s.changed = make(chan struct{})
}
