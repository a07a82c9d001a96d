package config

import (
	"context"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/platformapi"
)

// Peers fetches the configuration from other VMs while the store is unavailable.
type Peers interface {
	// FetchConfig returns the newest snapshot of the peers that it asks, or nil if none is
	// newer than after. It also returns the age of the peers' confirmation: how long ago
	// one of them knew that no revision newer than its own was accepted. The age is
	// AgeUnknown if none of them ever knew.
	FetchConfig(ctx context.Context, after contract.Revision) (*contract.Snapshot, time.Duration, error)
}

// AgeUnknown is the age of a view that was never confirmed to be current. Ages from peers
// were converted to milliseconds and back, which changes AgeUnknown. So every age of
// maxPeerAge or more counts as AgeUnknown; used as a duration it would overflow and look recent.
const AgeUnknown time.Duration = math.MaxInt64

const (
	// maxPeerAge is the age from which on an age from a peer counts as AgeUnknown.
	maxPeerAge = AgeUnknown / 2
	// agePrecision is added to the age from a peer, which is truncated to milliseconds.
	// Otherwise the age would decrease with each exchange between two VMs.
	agePrecision = time.Millisecond
	// pollsPerSecond is the rate at which all VMs of a large fleet together poll the
	// revision.
	pollsPerSecond = 50
	// jitterDivisor sets the jitter: a poll interval varies by up to 1/jitterDivisor of it
	// in both directions.
	jitterDivisor = 10
	// staleAfter is the age above which the view is reported as stale.
	staleAfter = 30 * time.Second
)

// Syncer keeps a VM's view of the configuration up to date by polling the store, or peers
// while the store is unavailable.
type Syncer struct {
	tables platformapi.Tables
	peers  Peers
	view   *contract.View
	events *event.Recorder
	// interval is the shortest interval between polls, without jitter.
	interval  time.Duration
	fleetSize func() int
	// onAdvance is called with each newer snapshot after it is in force.
	onAdvance func(*contract.Snapshot)
	pollNow   chan struct{}
	started   time.Time
	stale     bool
	// confirmedAt is the latest time at which the view is known to have been current, in
	// nanoseconds since started on the monotonic clock. It is negative if that time, as
	// learned from a peer, is before the start of this process.
	confirmedAt atomic.Int64
}

// Option configures a Syncer.
type Option func(*Syncer)

// WithFleetSize sets the function that returns the number of VMs that poll the store. The poll
// interval grows with a large fleet, so that the rate of all polls does not.
func WithFleetSize(size func() int) Option {
	return func(s *Syncer) { s.fleetSize = size }
}

// NewSyncer returns a syncer that polls at an interval, or less often in a large fleet. It
// calls onAdvance after each newer snapshot came into force.
func NewSyncer(tables platformapi.Tables, peers Peers, view *contract.View, events *event.Recorder, interval time.Duration, onAdvance func(*contract.Snapshot), options ...Option) *Syncer {
	s := &Syncer{
		tables:    tables,
		peers:     peers,
		view:      view,
		events:    events,
		interval:  interval,
		fleetSize: func() int { return 0 },
		onAdvance: onAdvance,
		pollNow:   make(chan struct{}, 1),
		started:   time.Now(),
	}
	s.confirmedAt.Store(neverConfirmed)
	for _, option := range options {
		option(s)
	}
	return s
}

// neverConfirmed is the value of confirmedAt before the view was confirmed for the first time.
const neverConfirmed = math.MinInt64

// Age returns how long ago the view was last confirmed to be current, or AgeUnknown. Peers
// confirm their own views by it. So a VM that has reached neither the store nor a peer since
// its start must return AgeUnknown: with another age, peers would consider outdated views current.
func (s *Syncer) Age() time.Duration {
	at := s.confirmedAt.Load()
	if at == neverConfirmed {
		return AgeUnknown
	}
	return time.Since(s.started) - time.Duration(at)
}

// PollNow makes Run poll at once, for example after a peer's digest with a newer revision.
func (s *Syncer) PollNow() {
	select {
	case s.pollNow <- struct{}{}:
	default:
	}
}

// Run polls until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	for {
		s.sync(ctx)
		timer := time.NewTimer(s.pollInterval())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-s.pollNow:
			timer.Stop()
		}
	}
}

// pollInterval returns the interval to the next poll. It has a random part, so that VMs
// that started together don't poll together.
func (s *Syncer) pollInterval() time.Duration {
	interval := max(s.interval, time.Duration(s.fleetSize())*time.Second/pollsPerSecond)
	jitter := interval / jitterDivisor
	return interval - jitter + rand.N(2*jitter+1)
}

// sync updates the view from the store, or from peers if the store is unavailable.
func (s *Syncer) sync(ctx context.Context) {
	askedAt := time.Since(s.started)
	if err := s.syncFromStore(ctx); err == nil {
		s.confirm(askedAt)
	} else {
		s.syncFromPeers(ctx, askedAt)
	}
	s.reportStaleness()
}

// syncFromPeers puts a newer snapshot of a peer in force and confirms the view by the peer's
// age.
//
// At the time askedAt minus age, or later, the peer knew that no revision newer than its own
// was accepted. The view is confirmed for that time only after it has at least the peer's
// revision: the snapshot is put in force first, a peer without a snapshot in its answer has
// no newer revision, and the view's revision never decreases. askedAt is the time before the
// call, so a slow answer only makes the confirmation older.
func (s *Syncer) syncFromPeers(ctx context.Context, askedAt time.Duration) {
	snapshot, age, err := s.peers.FetchConfig(ctx, s.view.Load().Revision)
	if err != nil {
		return
	}
	if snapshot != nil {
		s.advance(snapshot)
	}
	if age < maxPeerAge {
		s.confirm(askedAt - age - agePrecision)
	}
}

// confirm records that the view was current at a time. An earlier time than the recorded one
// is ignored.
func (s *Syncer) confirm(at time.Duration) {
	for {
		old := s.confirmedAt.Load()
		if int64(at) <= old || s.confirmedAt.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// reportStaleness emits an event when the view becomes stale and when it is confirmed again.
func (s *Syncer) reportStaleness() {
	age := s.Age()
	if age == AgeUnknown {
		age = time.Since(s.started)
	}
	stale := age > staleAfter
	if stale == s.stale {
		return
	}
	s.stale = stale
	subject := event.Subject{Revision: uint64(s.view.Load().Revision)}
	if stale {
		s.events.Emit(event.ConfigurationStale, subject)
		return
	}
	s.events.Emit(event.ConfigurationConfirmed, subject)
}

// logPageSize is the number of log entries that one scan returns at most. A VM that lacks
// more entries reads the contracts and keys themselves, whose number does not grow with the
// history.
const logPageSize = 256

// syncFromStore updates the view to the newest revision in the store.
func (s *Syncer) syncFromStore(ctx context.Context) error {
	newest, err := readHead(ctx, s.tables)
	if err != nil {
		return err
	}
	if missingEntries(s.view.Load(), newest) > logPageSize {
		if err := s.bootstrap(ctx); err != nil {
			return err
		}
	}
	for s.view.Load().Revision < newest.Revision {
		if err := s.applyLogPage(ctx); err != nil {
			return err
		}
	}
	return nil
}

// missingEntries returns the number of log entries that the snapshot lacks.
func missingEntries(snapshot *contract.Snapshot, newest head) contract.Revision {
	if newest.Revision <= snapshot.Revision {
		return 0
	}
	return newest.Revision - snapshot.Revision
}

// bootstrap puts a snapshot in force that is read from the rows of contracts and keys. If
// readSnapshot finds no consistent one, bootstrap does nothing and the log is replayed.
func (s *Syncer) bootstrap(ctx context.Context) error {
	snapshot, err := readSnapshot(ctx, s.tables)
	if err != nil || snapshot == nil {
		return err
	}
	s.advance(snapshot)
	return nil
}

// applyLogPage applies the next page of log entries to the view.
func (s *Syncer) applyLogPage(ctx context.Context) error {
	snapshot := s.view.Load()
	rows, err := s.tables.Scan(ctx, logPrefix, logKey(snapshot.Revision), logPageSize)
	if err != nil {
		return err
	}
	for _, row := range rows {
		var entry contract.Entry
		if err := row.Decode(&entry); err != nil {
			return err
		}
		snapshot, err = snapshot.Apply(entry)
		if err != nil {
			return err
		}
	}
	s.advance(snapshot)
	return nil
}

// advance puts the snapshot in force if it is newer than the view.
func (s *Syncer) advance(snapshot *contract.Snapshot) {
	if !s.view.Advance(snapshot) {
		return
	}
	s.events.Emit(event.RevisionApplied, event.Subject{Revision: uint64(snapshot.Revision)})
	s.onAdvance(snapshot)
}
