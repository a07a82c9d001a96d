package step

import (
	"context"
	"sync"
	"time"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/route"
)

const (
	// configurationReadInterval is the minimum interval between the starts of two reads of the configuration.
	configurationReadInterval = 100 * time.Millisecond
	// configurationTimeout is how long the owner of a step tries to get the configuration under which the step was
	// accepted. It hands the step over then: another VM may have that configuration.
	configurationTimeout = 3 * time.Second
	// handOverTimeout bounds such a handover.
	handOverTimeout = 2 * time.Second
)

// configurationReads makes the reads of the configuration that decisions on steps wait for. It is safe for concurrent
// use.
type configurationReads struct {
	mu sync.Mutex
	// open is true during a read, and lastStart is when the last one began.
	open      bool
	lastStart time.Time
	// currentAt is when the last successful read began. The VM's configuration is not older than that.
	currentAt time.Time
}

// currentSince reports whether a read of the configuration that began after a time has succeeded.
func (c *configurationReads) currentSince(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.currentAt.After(t)
}

// begin reports whether a read may begin now, and records that it does. end must follow.
func (c *configurationReads) begin(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open || now.Sub(c.lastStart) < configurationReadInterval {
		return false
	}
	c.open, c.lastStart = true, now
	return true
}

func (c *configurationReads) end(ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open = false
	if ok {
		c.currentAt = c.lastStart
	}
}

// readConfiguration reads the configuration in the background, unless such a read has just begun.
func (m *Manager) readConfiguration() {
	if !m.configurationReads.begin(time.Now()) {
		return
	}
	m.tasks.Go(func() {
		err := m.ReadConfiguration(m.ctx)
		m.configurationReads.end(err == nil)
		if err == nil {
			m.notifyDispatcher()
		}
	})
}

// NeedsNewerConfiguration reports whether a known step was accepted under a newer configuration than this VM has. What
// this VM's configuration lacks says nothing about such a step.
func (m *Manager) NeedsNewerConfiguration(id string) bool {
	known, ok := m.lookUp(id)
	return ok && m.needsNewerConfiguration(known.Spec)
}

func (m *Manager) needsNewerConfiguration(spec Spec) bool {
	snapshot := m.View.Load()
	return snapshot == nil || snapshot.Version < spec.ConfigurationVersion
}

// configuration returns the configuration that decides on the run, and whether what it lacks was removed. It returns nil
// while this VM has none that is as new as the one under which the step was accepted. A row that an older build has
// written lacks that version, so that only a read that began after this VM had learned of the step shows a removal.
func (r *run) configuration() (snapshot *route.Snapshot, showsRemovals bool) {
	// A read that ends after this line must not vouch for a snapshot that was loaded before.
	showsRemovals = r.m.configurationReads.currentSince(r.startedAt)
	if r.m.needsNewerConfiguration(r.current().Spec) {
		r.awaitConfiguration("the step was accepted under a newer one")
		return nil, false
	}
	return r.m.View.Load(), showsRemovals
}

// awaitConfiguration has the configuration read, without which nothing can be decided on items of the run.
func (r *run) awaitConfiguration(reason string) {
	r.m.readConfiguration()
	if !r.awaitsConfiguration.Swap(true) {
		r.m.Events.Emit(event.ConfigurationAwaited, event.Subject{
			Step: r.rec.ID, Account: r.rec.Account, Revision: uint64(r.current().ConfigurationVersion), Detail: reason,
		})
	}
}

// acceptedBefore reports whether the run was accepted before a time.
func (r *run) acceptedBefore(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.acceptedAt.IsZero() && r.acceptedAt.Before(t)
}

// handOverIfBehind hands a run over that has waited too long for the configuration under which its step was accepted.
// It reports whether it does.
func (m *Manager) handOverIfBehind(r *run, now time.Time) bool {
	if !r.acceptedBefore(now.Add(-configurationTimeout)) || !m.needsNewerConfiguration(r.current().Spec) {
		return false
	}
	if !r.handsOver.Swap(true) {
		m.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(m.ctx, handOverTimeout)
			defer cancel()
			m.handOver(ctx, r, reasonNoConfiguration)
		})
	}
	return true
}
