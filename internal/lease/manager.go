package lease

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/wait"
)

// keyPrefix is the prefix of the row keys of leases.
const keyPrefix = "lease/"

// Divisors of the term that give the renewal interval, the backoff after a failed
// write, the poll interval of candidates and the timeout of a call. A holder renews
// three times per term, so that two renewals may fail before it must stop.
const (
	renewDivisor       = 3
	retryDivisor       = 12
	pollDivisor        = 3
	callTimeoutDivisor = 6
)

// readyPollInterval is the interval between checks whether the VM's rank is known.
const readyPollInterval = 50 * time.Millisecond

// Manager campaigns for leases on behalf of one VM. It is safe for concurrent use.
type Manager struct {
	tables platformapi.Tables
	vm     string
	timing Timing
	events *event.Recorder
	ranker Ranker
	// soleProcess is true when no earlier process of the VM can still run.
	soleProcess bool
	// ready reports whether the VM's rank is known.
	ready func() bool
	// held is the number of leases that the VM holds.
	held atomic.Int64
}

// Held returns the number of leases that the VM holds.
func (m *Manager) Held() int { return int(m.held.Load()) }

// Timing returns the durations of the leases.
func (m *Manager) Timing() Timing { return m.timing }

// Option configures a Manager.
type Option func(*Manager)

// WithRanker lets only the VMs with the best ranks contend at first. Without it every
// VM contends.
func WithRanker(ranker Ranker) Option {
	return func(m *Manager) { m.ranker = ranker }
}

// WithReady lets the VM contend only once ready returns true, which means that its rank
// is known. VMs that start together would otherwise all contend for every lease.
func WithReady(ready func() bool) Option {
	return func(m *Manager) { m.ready = ready }
}

// WithSoleProcess declares that the VM runs one process at a time, and that no other VM
// ever has its name. A new process then takes the leases of its predecessor without
// waiting for the end of their terms, unless an action under one is pending; see Act.
func WithSoleProcess() Option {
	return func(m *Manager) { m.soleProcess = true }
}

// NewManager returns a manager for the VM named vm. All VMs must use the same term.
func NewManager(tables platformapi.Tables, vm string, term time.Duration, events *event.Recorder, options ...Option) *Manager {
	timing := NewTiming(term)
	m := &Manager{
		tables: timeoutTables{tables: tables, timeout: timing.Term / callTimeoutDivisor},
		vm:     vm,
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

// Campaign contends for the named lease. Each time it has acquired the lease it calls
// run, with a context that ends when the lease is lost or ctx ends, and releases the
// lease when run returns, or lets it expire if an action under it got no answer shortly
// before; see Act. Campaign returns nil once run has returned true and no
// error. Otherwise it continues until ctx ends, and returns the cause of ctx. After the end of
// ctx the lease is still renewed until run has returned, so that a draining VM can
// finish what it began.
func (m *Manager) Campaign(ctx context.Context, name string, run func(ctx context.Context, g Guard) (done bool, err error)) error {
	c := &campaign{
		manager:  m,
		name:     name,
		identity: m.vm + "/" + platformapi.NewNonce(),
	}
	c.contender = NewContender(c.identity, m.timing)
	if m.soleProcess {
		c.contender.predecessorPrefix = m.vm + "/"
	}
	for {
		hold, err := c.acquire(ctx)
		if err != nil {
			return err
		}
		done, err := c.runWhileHeld(ctx, hold, run)
		if done && err == nil {
			return nil
		}
		if err := sleep(ctx, max(m.timing.Term/retryDivisor, time.Until(c.acquirableAt))); err != nil {
			return err
		}
	}
}

// Serve campaigns for the named lease until ctx ends, and calls serve each time it has
// acquired the lease. It discards the errors of serve; events report when the lease is
// lost or released. The error of Campaign is discarded too, because it only reports the
// end of ctx.
func (m *Manager) Serve(ctx context.Context, name string, serve func(ctx context.Context, g Guard) error) {
	_ = m.Campaign(ctx, name, func(ctx context.Context, g Guard) (bool, error) { return false, serve(ctx, g) })
}

// campaign is the state of one call of Campaign.
type campaign struct {
	manager   *Manager
	name      string
	identity  string
	contender *Contender
	// acquirableAt is when this campaign may take the lease again after it lost it or let it
	// expire. The contender takes a lease of its own VM at once.
	acquirableAt time.Time
}

func (c *campaign) key() string { return keyPrefix + c.name }

func (c *campaign) emit(n event.Number, epoch uint64) {
	c.manager.events.Emit(n, event.Subject{Lease: c.name, Epoch: epoch})
}

// acquire contends until the lease is held or ctx ends.
func (c *campaign) acquire(ctx context.Context) (*Hold, error) {
	for !c.manager.ready() {
		if err := sleep(ctx, readyPollInterval); err != nil {
			return nil, err
		}
	}
	for {
		hold, delay := c.tryAcquire(ctx)
		if hold != nil {
			return hold, nil
		}
		if err := sleep(ctx, delay); err != nil {
			return nil, err
		}
	}
}

// tryAcquire reads the row once and takes the lease if it may. Otherwise, and if this VM is no
// contender, it returns the delay until the next try.
func (c *campaign) tryAcquire(ctx context.Context) (*Hold, time.Duration) {
	if c.manager.ranker(c.name) >= maxContenders {
		return nil, c.manager.timing.Term
	}
	record, version, err := c.read(ctx)
	if err != nil {
		return nil, c.pollInterval()
	}
	now := time.Now()
	c.contender.Observe(version, now)
	if remaining := c.contender.RemainingWait(record, now, c.standbyDelay()); remaining > 0 {
		return nil, min(remaining, c.pollInterval())
	}
	next := c.contender.AcquireRecord(record)
	sentAt := time.Now()
	if err := c.write(ctx, next, version); err != nil {
		return nil, c.retryBackoff()
	}
	c.manager.events.Emit(event.LeaseAcquired, event.Subject{Lease: c.name, Epoch: next.Epoch, Detail: c.contender.AcquisitionReason(record, now)})
	hold := NewHold(c.name, c.manager.timing, next, version+1, sentAt)
	hold.inheritPending(record.PendingReceivers, c.contender.UnchangedSince())
	return hold, 0
}

func (c *campaign) isCandidate() bool { return c.manager.IsCandidate(c.name) }

// IsCandidate reports whether the VM ranks so high for a lease that it may hold it soon.
func (m *Manager) IsCandidate(name string) bool { return m.ranker(name) < maxCandidates }

func (c *campaign) standbyDelay() time.Duration {
	if c.isCandidate() {
		return 0
	}
	return standbyTerms * c.manager.timing.Term
}

// pollInterval returns the interval between two reads of the row. Standby VMs read it
// seldom, so that a large fleet does not use up the store's reads.
func (c *campaign) pollInterval() time.Duration {
	interval := c.manager.timing.Term / pollDivisor
	if !c.isCandidate() {
		interval = standbyTerms * c.manager.timing.Term
	}
	return interval/2 + time.Duration(jitter(c.name, c.identity)*float64(interval)/2)
}

func (c *campaign) retryBackoff() time.Duration {
	backoff := c.manager.timing.Term / retryDivisor
	return backoff/2 + time.Duration(jitter(c.name, c.identity)*float64(backoff)/2)
}

// runWhileHeld calls run while the lease is renewed, and then releases the lease.
func (c *campaign) runWhileHeld(ctx context.Context, hold *Hold, run func(context.Context, Guard) (bool, error)) (bool, error) {
	c.manager.held.Add(1)
	defer c.manager.held.Add(-1)
	renewCtx, stopRenewing := context.WithCancel(context.WithoutCancel(ctx))
	runCtx, stopRun := context.WithCancelCause(ctx)
	// Both renewLoop and the check after run can find the loss; the event is emitted
	// once.
	emitLoss := sync.OnceFunc(func() { c.emit(event.LeaseLost, hold.Epoch()) })
	guard := &confirmer{Hold: hold, requests: make(chan struct{}, 1), stopped: renewCtx.Done(), stopRun: stopRun}
	var renewals sync.WaitGroup
	renewals.Go(func() {
		if lossErr := c.renewLoop(renewCtx, hold, guard.requests); lossErr != nil {
			emitLoss()
			stopRun(lossErr)
		}
	})
	defer func() {
		stopRenewing()
		renewals.Wait()
		stopRun(nil)
		c.acquirableAt = hold.ReleasableAt(time.Now())
		if hold.Check() != nil {
			emitLoss()
			return
		}
		if time.Now().Before(c.acquirableAt) {
			c.letExpire(hold)
			return
		}
		c.release(ctx, hold)
	}()
	return run(runCtx, guard)
}

// renewLoop renews the lease at an interval and at each request. It returns nil when ctx
// ends, and *fault.LeaseLost when the lease is lost.
func (c *campaign) renewLoop(ctx context.Context, hold *Hold, requests <-chan struct{}) error {
	delay := c.manager.timing.Term / renewDivisor
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-requests:
		case <-time.After(min(delay, time.Until(hold.Deadline()))):
		}
		if ctx.Err() != nil {
			return nil
		}
		delay = c.manager.timing.Term / renewDivisor
		// The end of ctx does not cancel a renewal: the release needs the version of the row
		// that it wrote.
		if !c.renew(context.WithoutCancel(ctx), hold) {
			delay = c.manager.timing.Term / retryDivisor
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

// renew tries one renewal and reports whether it was committed. After a failure it
// reads the row to find out whether the lease is still held.
func (c *campaign) renew(ctx context.Context, hold *Hold) bool {
	// The calls end with the term, so that an unresponsive store does not delay the
	// detection of the loss.
	ctx, cancel := context.WithDeadline(ctx, hold.Deadline())
	defer cancel()
	sentAt := time.Now()
	next, version := hold.RenewalRecord(sentAt)
	err := c.write(ctx, next, version)
	if err == nil {
		hold.NoteRenewal(next, version+1, sentAt)
		return true
	}
	record, version, err := c.read(ctx)
	if err == nil {
		hold.Reconcile(record, version)
	}
	return false
}

// release frees the lease, so that the next holder need not wait for the end of the
// term. If the release fails, the next holder waits for it.
func (c *campaign) release(ctx context.Context, hold *Hold) {
	hold.End()
	next, version := hold.ReleaseRecord(time.Now())
	if err := c.write(context.WithoutCancel(ctx), next, version); err == nil {
		c.emit(event.LeaseReleased, next.Epoch)
	}
}

// letExpire ends the hold without a release. The row tells that an action is pending, so that the
// next holder waits until it is taken to be settled.
func (c *campaign) letExpire(hold *Hold) {
	hold.End()
	c.emit(event.LeaseLeftToExpire, hold.Epoch())
}

// read returns the record in the row; for an absent row, a record without a holder.
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
	return platformapi.CommitConfirmed(ctx, c.manager.tables, platformapi.Txn{
		Nonce:         platformapi.NewNonce(),
		Preconditions: []platformapi.Precondition{{Key: c.key(), Version: version}},
		Writes:        []platformapi.Write{{Key: c.key(), Value: value}},
	})
}

// sleep waits for d. It fails with the cause of ctx when ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if !wait.For(ctx, d) {
		return errors.WithStack(context.Cause(ctx))
	}
	return nil
}
