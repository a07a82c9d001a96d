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

// Peers fetches configuration from other VMs while the store can't be reached.
type Peers interface {
	// FetchConfig returns the newest snapshot that any of the asked peers
	// holds, when it is newer than after, and how long ago a peer knew that no
	// revision beyond its own was in force. An age of Never says that no peer
	// ever knew.
	FetchConfig(ctx context.Context, after contract.Revision) (*contract.Snapshot, time.Duration, error)
}

// Never is the age of a view that was never known current. Ages from peers
// have passed through milliseconds, so whatever exceeds oldestAge counts as
// Never: taken as a time it would overflow and look fresh.
const Never time.Duration = math.MaxInt64

const (
	oldestAge = Never / 2
	// ageGrain is what an age from a peer may lack because it came in whole
	// milliseconds. Without it knowledge that VMs pass to and fro would grow
	// younger with each exchange.
	ageGrain = time.Millisecond
	// pollsPerSecond is how often a whole fleet polls the revision.
	pollsPerSecond = 50
	// jitterShare is the part of the period by which each poll varies.
	jitterShare = 10
	// staleAfter is the age after which the view is reported as stale.
	staleAfter = 30 * time.Second
)

// Syncer keeps a view current.
type Syncer struct {
	tables platformapi.Tables
	peers  Peers
	view   *contract.View
	events *event.Recorder
	period time.Duration
	fleet  func() int
	// onAdvance is called after a newer snapshot came into force.
	onAdvance func(*contract.Snapshot)
	poke      chan struct{}
	started   time.Time
	stale     bool
	// confirmed is when the view was last known current, in nanoseconds since
	// started on the monotonic clock. It is negative when a peer knew the view
	// current before this process started.
	confirmed atomic.Int64
}

// Option changes a Syncer.
type Option func(*Syncer)

// WithFleet tells the syncer how many VMs poll the store. The larger the fleet,
// the longer the period, so that the fleet's reads don't grow.
func WithFleet(size func() int) Option {
	return func(s *Syncer) { s.fleet = size }
}

// NewSyncer returns a syncer that polls every period, or less often in a large
// fleet.
func NewSyncer(tables platformapi.Tables, peers Peers, view *contract.View, events *event.Recorder, period time.Duration, onAdvance func(*contract.Snapshot), options ...Option) *Syncer {
	s := &Syncer{
		tables:    tables,
		peers:     peers,
		view:      view,
		events:    events,
		period:    period,
		fleet:     func() int { return 0 },
		onAdvance: onAdvance,
		poke:      make(chan struct{}, 1),
		started:   time.Now(),
	}
	s.confirmed.Store(neverConfirmed)
	for _, option := range options {
		option(s)
	}
	return s
}

const neverConfirmed = math.MinInt64

// Age returns how long ago the view was last known current, or Never. A VM that
// has just started and reached nobody must not pass for one that knows: its
// peers would take their old views for current ones.
func (s *Syncer) Age() time.Duration {
	at := s.confirmed.Load()
	if at == neverConfirmed {
		return Never
	}
	return time.Since(s.started) - time.Duration(at)
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
	for {
		s.sync(ctx)
		timer := time.NewTimer(s.pollPeriod())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-s.poke:
			timer.Stop()
		}
	}
}

// pollPeriod returns the pause before the next poll, with a random part: VMs
// that started together must not poll together.
func (s *Syncer) pollPeriod() time.Duration {
	period := max(s.period, time.Duration(s.fleet())*time.Second/pollsPerSecond)
	jitter := period / jitterShare
	return period - jitter + rand.N(2*jitter+1)
}

// sync brings the view up to date from the store, or else from peers.
func (s *Syncer) sync(ctx context.Context) {
	asked := time.Since(s.started)
	if err := s.fromStore(ctx); err == nil {
		s.confirm(asked)
	} else {
		s.fromPeers(ctx, asked)
	}
	s.noteAge()
}

// fromPeers takes over a newer snapshot of a peer, and its knowledge.
//
// The peer knew at a time, asked minus age or later, that no revision beyond
// its own was accepted. Its snapshot is taken over before that counts, and the
// view never goes back, so the view was current at that time too. An answer
// without a snapshot comes from a peer that holds nothing newer. The time is
// counted from before the question, so a slow answer only makes it older.
func (s *Syncer) fromPeers(ctx context.Context, asked time.Duration) {
	snapshot, age, err := s.peers.FetchConfig(ctx, s.view.Load().Revision)
	if err != nil {
		return
	}
	if snapshot != nil {
		s.advance(snapshot)
	}
	if age < oldestAge {
		s.confirm(asked - age - ageGrain)
	}
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

// noteAge reports when the view becomes stale and when it is confirmed again.
func (s *Syncer) noteAge() {
	age := s.Age()
	if age == Never {
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

// logPage is how many log entries are read at once. A VM that is further behind
// reads the contracts and keys themselves, whose number does not grow with the
// history.
const logPage = 256

func (s *Syncer) fromStore(ctx context.Context) error {
	at, err := readHead(ctx, s.tables)
	if err != nil {
		return err
	}
	if behind(s.view.Load(), at) > logPage {
		if err := s.bootstrap(ctx); err != nil {
			return err
		}
	}
	for s.view.Load().Revision < at.Revision {
		if err := s.applyPage(ctx); err != nil {
			return err
		}
	}
	return nil
}

// behind returns how many entries the snapshot lacks.
func behind(snapshot *contract.Snapshot, at head) contract.Revision {
	if at.Revision <= snapshot.Revision {
		return 0
	}
	return at.Revision - snapshot.Revision
}

// bootstrap puts a snapshot in force that is read from the rows of contracts
// and keys. When edits keep racing with the read it does nothing, and the log
// is replayed.
func (s *Syncer) bootstrap(ctx context.Context) error {
	snapshot, err := readSnapshot(ctx, s.tables)
	if err != nil || snapshot == nil {
		return err
	}
	s.advance(snapshot)
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

func (s *Syncer) advance(snapshot *contract.Snapshot) {
	if !s.view.Advance(snapshot) {
		return
	}
	s.events.Emit(event.RevisionApplied, event.Subject{Revision: uint64(snapshot.Revision)})
	s.onAdvance(snapshot)
}
