package config

import (
	"context"
	"sync/atomic"
	"time"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/platform"
)

// Peers fetches configuration from other VMs while the store can't be reached.
type Peers interface {
	// FetchConfig returns the newest snapshot that any reachable peer holds,
	// when it is newer than after, and how long ago the peer knew it current.
	FetchConfig(ctx context.Context, after contract.Revision) (*contract.Snapshot, time.Duration, error)
}

// Syncer keeps a view current.
type Syncer struct {
	tables platform.Tables
	peers  Peers
	view   *contract.View
	events *event.Recorder
	period time.Duration
	// onAdvance is called after a newer snapshot came into force.
	onAdvance func(*contract.Snapshot)
	poke      chan struct{}
	started   time.Time
	// confirmed is when the view was last known current, in nanoseconds since
	// started on the monotonic clock; negative means never.
	confirmed atomic.Int64
}

// NewSyncer returns a syncer that polls every period.
func NewSyncer(tables platform.Tables, peers Peers, view *contract.View, events *event.Recorder, period time.Duration, onAdvance func(*contract.Snapshot)) *Syncer {
	s := &Syncer{
		tables:    tables,
		peers:     peers,
		view:      view,
		events:    events,
		period:    period,
		onAdvance: onAdvance,
		poke:      make(chan struct{}, 1),
		started:   time.Now(),
	}
	s.confirmed.Store(neverConfirmed)
	return s
}

const neverConfirmed = -1

// Age returns how long ago the view was last known current. Before the first
// confirmation it is the time since the start.
func (s *Syncer) Age() time.Duration {
	now := time.Since(s.started)
	at := s.confirmed.Load()
	if at == neverConfirmed {
		return now
	}
	return now - time.Duration(at)
}

// Poke asks for a poll at once, for example after a digest that named a newer
// revision.
func (s *Syncer) Poke() {
	select {
	case s.poke <- struct{}{}:
	default:
	}
}

// Run polls until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	ticker := time.NewTicker(s.period)
	defer ticker.Stop()
	for {
		s.sync(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.poke:
		}
	}
}

// sync brings the view up to date from the store, or else from peers.
func (s *Syncer) sync(ctx context.Context) {
	asked := time.Since(s.started)
	if err := s.fromStore(ctx); err == nil {
		s.confirm(asked)
		return
	}
	snapshot, age, err := s.peers.FetchConfig(ctx, s.view.Load().Revision)
	if err != nil {
		return
	}
	if snapshot != nil {
		s.advance(snapshot)
	}
	s.confirm(asked - age)
}

// confirm notes that the view was current at a time, which only moves forward.
func (s *Syncer) confirm(at time.Duration) {
	for {
		old := s.confirmed.Load()
		if int64(at) <= old || s.confirmed.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

const logPage = 256

func (s *Syncer) fromStore(ctx context.Context) error {
	row, err := s.tables.Get(ctx, headKey)
	if err != nil {
		return err
	}
	var at head
	if err := decode(row, &at); err != nil {
		return err
	}
	for s.view.Load().Revision < at.Revision {
		if err := s.applyPage(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (s *Syncer) applyPage(ctx context.Context) error {
	snapshot := s.view.Load()
	rows, err := s.tables.Scan(ctx, logPrefix, logKey(snapshot.Revision), logPage)
	if err != nil {
		return err
	}
	for _, row := range rows {
		var entry contract.Entry
		if err := decode(row, &entry); err != nil {
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

func (s *Syncer) advance(snapshot *contract.Snapshot) {
	if !s.view.Advance(snapshot) {
		return
	}
	s.events.Emit(event.RevisionApplied, event.Subject{Revision: uint64(snapshot.Revision)})
	s.onAdvance(snapshot)
}
