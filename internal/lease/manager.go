package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platform"
	"dogwoodpond/internal/wait"
)

// keyPrefix starts the keys of the rows of leases.
const keyPrefix = "lease/"

// Parts of the term. A holder renews three times a term, so that two renewals
// may fail before it must stop.
const (
	renewParts = 3
	retryParts = 12
	pollParts  = 3
	callParts  = 6
)

// readyPoll is how often a VM looks whether its rank is known.
const readyPoll = 50 * time.Millisecond

// Manager campaigns for leases on behalf of one VM. It is safe for concurrent
// use.
type Manager struct {
	tables platform.Tables
	holder string
	timing Timing
	events *event.Recorder
	ranker Ranker
	// sole is true when no earlier process of the holder's VM can still run.
	sole bool
	// ready tells whether the VM's rank is known.
	ready func() bool
}

// Option changes a Manager.
type Option func(*Manager)

// WithRanker lets only the best ranked VMs contend at first. Without it every
// VM contends.
func WithRanker(ranker Ranker) Option {
	return func(m *Manager) { m.ranker = ranker }
}

// WithReady lets the VM contend only once its rank is known. VMs that start together would
// otherwise all contend for every lease.
func WithReady(ready func() bool) Option {
	return func(m *Manager) { m.ready = ready }
}

// WithSoleProcess tells that the VM runs one process at a time, and that no other VM
// ever bears the holder's name. A new process then takes the leases of its
// predecessor without waiting for the end of their terms.
func WithSoleProcess() Option {
	return func(m *Manager) { m.sole = true }
}

// NewManager returns a manager for the VM named holder. All VMs must use the
// same term.
func NewManager(tables platform.Tables, holder string, term time.Duration, events *event.Recorder, options ...Option) *Manager {
	timing := NewTiming(term)
	m := &Manager{
		tables: timedTables{tables: tables, timeout: timing.Term / callParts},
		holder: holder,
		timing: timing,
		events: events,
		ranker: func(string) int { return 0 },
		ready:  func() bool { return true },
	}
	for _, option := range options {
		option(m)
	}
	return m
}

// Campaign tries to take the named lease until ctx ends. While it holds it, it
// calls held with a context that ends when the lease is lost or ctx ends. When
// held returns the lease is released. Campaign goes on until ctx ends, and then
// returns its failure, or until held returns true and no failure, and then
// returns nil. When ctx ends the lease is renewed until held has returned, so
// that a drain can finish what it began.
func (m *Manager) Campaign(ctx context.Context, name string, held func(ctx context.Context, g Guard) (done bool, err error)) error {
	c := &campaign{
		manager: m,
		name:    name,
		owner:   m.holder + "/" + platform.NewNonce(),
	}
	c.contender = NewContender(c.owner, m.timing)
	if m.sole {
		c.contender.predecessors = m.holder + "/"
	}
	for {
		hold, err := c.acquire(ctx)
		if err != nil {
			return err
		}
		done, err := c.serve(ctx, hold, held)
		if done && err == nil {
			return nil
		}
		if err := sleep(ctx, m.timing.Term/retryParts); err != nil {
			return err
		}
	}
}

// Serve campaigns for the named lease until ctx ends, and calls serve whenever it
// holds it. What serve fails with is told by the events of the lease; the failure of
// the campaign itself is the end of ctx.
func (m *Manager) Serve(ctx context.Context, name string, serve func(ctx context.Context, g Guard) error) {
	_ = m.Campaign(ctx, name, func(ctx context.Context, g Guard) (bool, error) { return false, serve(ctx, g) })
}

// campaign is one call of Campaign.
type campaign struct {
	manager   *Manager
	name      string
	owner     string
	contender *Contender
}

func (c *campaign) key() string { return keyPrefix + c.name }

func (c *campaign) emit(n event.Number, epoch uint64) {
	c.manager.events.Emit(n, event.Subject{Lease: c.name, Epoch: epoch})
}

// acquire contends until the lease is held or ctx ends.
func (c *campaign) acquire(ctx context.Context) (*Hold, error) {
	for !c.manager.ready() {
		if err := sleep(ctx, readyPoll); err != nil {
			return nil, err
		}
	}
	for {
		hold, pause := c.contend(ctx)
		if hold != nil {
			return hold, nil
		}
		if err := sleep(ctx, pause); err != nil {
			return nil, err
		}
	}
}

// contend looks at the row once and takes the lease when it may. Otherwise it
// returns how long to pause.
func (c *campaign) contend(ctx context.Context) (*Hold, time.Duration) {
	record, version, err := c.read(ctx)
	if err != nil {
		return nil, c.poll()
	}
	now := time.Now()
	c.contender.Observe(version, now)
	if left := c.contender.Wait(record, now, c.patience()); left > 0 {
		return nil, min(left, c.poll())
	}
	next := c.contender.Take(record)
	sentAt := time.Now()
	if err := c.write(ctx, next, version); err != nil {
		return nil, c.retry()
	}
	c.emit(event.LeaseAcquired, next.Epoch)
	return NewHold(c.name, c.manager.timing, next, version+1, sentAt), 0
}

func (c *campaign) candidate() bool { return c.manager.ranker(c.name) < candidates }

func (c *campaign) patience() time.Duration {
	if c.candidate() {
		return 0
	}
	return silentTerms * c.manager.timing.Term
}

// poll returns the period of reading the row. VMs that are no candidates read
// it seldom, so that a large fleet does not use up the store's reads.
func (c *campaign) poll() time.Duration {
	period := c.manager.timing.Term / pollParts
	if !c.candidate() {
		period = silentTerms * c.manager.timing.Term
	}
	return period/2 + time.Duration(spread(c.name, c.owner)*float64(period)/2)
}

func (c *campaign) retry() time.Duration {
	period := c.manager.timing.Term / retryParts
	return period/2 + time.Duration(spread(c.name, c.owner)*float64(period)/2)
}

// serve runs held while the lease is renewed, and then releases it.
func (c *campaign) serve(ctx context.Context, hold *Hold, held func(context.Context, Guard) (bool, error)) (bool, error) {
	renewing, stopRenewing := context.WithCancel(context.WithoutCancel(ctx))
	serving, stopServing := context.WithCancelCause(ctx)
	// Whoever notices the loss first, the renewals or the work, it is told once.
	noteLoss := sync.OnceFunc(func() { c.emit(event.LeaseLost, hold.Epoch()) })
	var renewal sync.WaitGroup
	renewal.Go(func() {
		if lost := c.keep(renewing, hold); lost != nil {
			noteLoss()
			stopServing(lost)
		}
	})
	defer func() {
		stopRenewing()
		renewal.Wait()
		stopServing(nil)
		if hold.Check() != nil {
			noteLoss()
			return
		}
		c.release(ctx, hold)
	}()
	return held(serving, hold)
}

// keep renews the lease until ctx ends, and then returns nil, or until the
// lease is lost.
func (c *campaign) keep(ctx context.Context, hold *Hold) error {
	pause := c.manager.timing.Term / renewParts
	for {
		if sleep(ctx, min(pause, time.Until(hold.Deadline()))) != nil {
			return nil
		}
		pause = c.manager.timing.Term / renewParts
		if !c.renew(ctx, hold) {
			pause = c.manager.timing.Term / retryParts
		}
		if ctx.Err() != nil {
			return nil
		}
		if err := hold.Check(); err != nil {
			hold.End()
			return err
		}
	}
}

// renew tries one renewal and reports whether it was committed. When it was
// not, the row tells whether the lease is still held.
func (c *campaign) renew(ctx context.Context, hold *Hold) bool {
	// The end of the term must not go unnoticed while the store is silent.
	ctx, cancel := context.WithDeadline(ctx, hold.Deadline())
	defer cancel()
	next, version := hold.Renewal()
	sentAt := time.Now()
	err := c.write(ctx, next, version)
	if err == nil {
		hold.Renewed(next, version+1, sentAt)
		return true
	}
	record, version, err := c.read(ctx)
	if err == nil {
		hold.Seen(record, version)
	}
	return false
}

// release frees the lease, so that a successor need not wait for the term. A
// failure costs only that wait.
func (c *campaign) release(ctx context.Context, hold *Hold) {
	hold.End()
	next, version := hold.Release()
	if err := c.write(context.WithoutCancel(ctx), next, version); err == nil {
		c.emit(event.LeaseReleased, next.Epoch)
	}
}

// read returns the row's record; an absent row is a record without a holder.
func (c *campaign) read(ctx context.Context) (Record, uint64, error) {
	var record Record
	row, err := c.manager.tables.Get(ctx, c.key())
	if err != nil {
		return record, row.Version, err
	}
	err = row.Decode(&record)
	return record, row.Version, err
}

func (c *campaign) write(ctx context.Context, record Record, version uint64) error {
	value, err := json.Marshal(record)
	if err != nil {
		return errors.WithStack(&fault.Internal{Where: "row " + c.key()})
	}
	return platform.CommitSurely(ctx, c.manager.tables, platform.Txn{
		Nonce:         platform.NewNonce(),
		Preconditions: []platform.Precondition{{Key: c.key(), Version: version}},
		Writes:        []platform.Write{{Key: c.key(), Value: value}},
	})
}

// sleep pauses for d or until ctx ends, and then returns its failure.
func sleep(ctx context.Context, d time.Duration) error {
	if !wait.For(ctx, d) {
		return errors.WithStack(context.Cause(ctx))
	}
	return nil
}
