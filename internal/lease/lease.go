// Package lease implements leases: rows of the store that put at most one process at a
// time in charge of a duty. Hold and Contender decide without I/O and without a clock;
// Manager drives them.
//
// Wall clocks of different processes are never compared. A holder counts its term from
// before it sent the renewal. A contender waits until it has seen the same version of
// the row for a full term and a margin on its own clock. The epoch rises with each
// holder and never repeats. It is the fencing token of every order that the holder
// sends.
package lease

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// Record is the value of a lease's row.
type Record struct {
	// Holder is the identity of the contender that holds the lease; empty after a
	// release.
	Holder string `json:"holder"`
	// Epoch counts the holders, starting at 1. It is the fencing token.
	Epoch uint64 `json:"epoch"`
	// Renewals counts the renewals within the epoch.
	Renewals uint64 `json:"renewals"`
	// ActionPending is true while an action under the lease may still take effect: it is under
	// way, or got no answer recently. The next holder then waits longer; see
	// Timing.PendingActionWait.
	ActionPending bool `json:"action_pending,omitempty"`
	// PendingReceivers are the receivers at which an action of this or an earlier holder may
	// still take effect, each with the milliseconds for which it may, counted from the write of the row.
	// The next holder may take the lease, and waits with its own actions there; see
	// Guard.PendingUntil.
	PendingReceivers map[string]int64 `json:"pending_receivers,omitempty"`
}

// Timing holds the durations that holder and contenders agree on. All VMs of a
// fleet must use the same Term.
type Timing struct {
	// Term is how long the holder may act after it sent a renewal.
	Term time.Duration
	// Margin is the extra time that a contender waits after the term. It covers clocks
	// that run at different rates.
	Margin time.Duration
}

// PendingActionWait returns how long an action without an answer is taken to be pending at its
// receiver, which may stand still and read the action when it goes on. Receivers that stand
// still for longer than that and the OrderGracePeriod are not covered.
func (t Timing) PendingActionWait() time.Duration { return 2 * (t.Term + t.Margin) }

// marginDivisor is the divisor of a term or timeout that gives its margin. The
// monotonic clocks of healthy machines differ by far less than that margin.
const marginDivisor = 4

// NewTiming returns the timing for a term, with the default margin.
func NewTiming(term time.Duration) Timing {
	return Timing{Term: term, Margin: term / marginDivisor}
}

// Contender decides when a process may take a lease.
type Contender struct {
	identity string
	timing   Timing
	// predecessorPrefix is the prefix of the identities of earlier processes of this
	// VM, which are known to be dead; empty when that is not known.
	predecessorPrefix string

	observed       bool
	version        uint64
	unchangedSince time.Time
}

// NewContender returns a contender that has not seen the row yet. The identity must be
// unique for each campaign, over all processes and restarts: a restarted process must
// not mistake its predecessor's lease for its own.
func NewContender(identity string, timing Timing) *Contender {
	return &Contender{identity: identity, timing: timing}
}

// Observe records that the row was read at version. now must be taken after the reply
// arrived: the version may have been written after the request was sent.
func (c *Contender) Observe(version uint64, now time.Time) {
	if c.observed && c.version == version {
		return
	}
	c.observed = true
	c.version = version
	c.unchangedSince = now
}

// UnchangedSince returns since when the row has stayed at the same version, as far as it was
// observed.
func (c *Contender) UnchangedSince() time.Time { return c.unchangedSince }

// UnchangedFor returns how long the row has stayed at the same version.
func (c *Contender) UnchangedFor(now time.Time) time.Duration {
	if !c.observed {
		return 0
	}
	return now.Sub(c.unchangedSince)
}

// RemainingWait returns how much longer the row must stay unchanged before the contender may
// take the lease; 0 or less means that it may take it now. extra is added to the wait,
// also for a free lease: candidates pass 0, standby VMs (see maxCandidates) more.
//
// A record with the contender's own identity was written by a commit whose reply was
// lost, or in an earlier term of the same campaign, which has ended. So there is no other
// holder to wait for; the campaign waits for its own unanswered actions.
func (c *Contender) RemainingWait(record Record, now time.Time, extra time.Duration) time.Duration {
	required := extra
	switch {
	case record.Holder == c.identity:
		return 0
	case record.ActionPending:
		required += c.timing.PendingActionWait()
	case c.isHeldByPredecessor(record):
		return 0
	case record.Holder != "":
		required += c.timing.Term + c.timing.Margin
	}
	return required - c.UnchangedFor(now)
}

// isHeldByPredecessor reports whether the holder is an earlier process of this VM. That
// process can't act any more, so there is no need to wait for the end of its term, unless
// one of its actions is pending. With that wait, no VM would hold the lease for a full term
// after a power loss of all VMs.
func (c *Contender) isHeldByPredecessor(record Record) bool {
	return c.predecessorPrefix != "" && strings.HasPrefix(record.Holder, c.predecessorPrefix)
}

// AcquisitionReason returns why the contender may take the lease over record at now, for
// the log.
func (c *Contender) AcquisitionReason(record Record, now time.Time) string {
	if record.ActionPending {
		return c.reasonWithoutPendingAction(record, now) + ", with an action pending"
	}
	return c.reasonWithoutPendingAction(record, now)
}

func (c *Contender) reasonWithoutPendingAction(record Record, now time.Time) string {
	switch {
	case record.Epoch == 0:
		return "no earlier holder"
	case record.Holder == "":
		return "released"
	case record.Holder == c.identity:
		return "own earlier term, or own commit whose reply was lost"
	case c.isHeldByPredecessor(record):
		return "held by an earlier process of this VM"
	}
	return fmt.Sprintf("expired: %s did not renew it for %s", record.Holder, c.UnchangedFor(now).Round(time.Millisecond))
}

// AcquireRecord returns the record that makes the contender the holder. The epoch rises even
// over the contender's own record, so that no epoch is used twice.
func (c *Contender) AcquireRecord(record Record) Record {
	return Record{Holder: c.identity, Epoch: record.Epoch + 1, PendingReceivers: record.PendingReceivers}
}

// Hold is a held lease as its holder knows it. It is safe for concurrent use.
type Hold struct {
	name   string
	timing Timing

	mu       sync.Mutex
	record   Record
	version  uint64
	deadline time.Time
	ended    bool
	pending  pendingActions
	// earlier holds the receivers at which actions of earlier holders are pending.
	earlier pendingActions
	// begun is the number of renewals that have begun, and committed that of the latest
	// committed one. They follow one another.
	begun, committed uint64
	// changed is closed when a renewal is committed or the hold ends.
	changed chan struct{}
}

// NewHold returns the hold of a lease that was acquired by committing record as
// version. sentAt must be taken before the commit was sent: the row may have been
// written at once, and a contender may count its wait from then.
func NewHold(name string, timing Timing, record Record, version uint64, sentAt time.Time) *Hold {
	return &Hold{
		name:     name,
		timing:   timing,
		record:   record,
		version:  version,
		deadline: sentAt.Add(timing.Term),
		pending:  newPendingActions(timing.PendingActionWait()),
		earlier:  newPendingActions(timing.PendingActionWait()),
		changed:  make(chan struct{}),
	}
}

// inheritPending records the pending receivers of a row that was written before since.
func (h *Hold) inheritPending(receivers map[string]int64, since time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for receiver, millis := range receivers {
		h.earlier.extend(receiver, since.Add(time.Duration(millis)*time.Millisecond))
	}
}

// Epoch returns the fencing token.
func (h *Hold) Epoch() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.record.Epoch
}

// Deadline returns the end of the term.
func (h *Hold) Deadline() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.deadline
}

// CheckAt fails with *fault.LeaseLost if the lease is not held at now.
func (h *Hold) CheckAt(now time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended || !now.Before(h.deadline) {
		return errors.WithStack(&fault.LeaseLost{Lease: h.name, Epoch: h.record.Epoch})
	}
	return nil
}

// RenewalRecord begins a renewal at now: it returns its record and the version of the row that
// it replaces.
func (h *Hold) RenewalRecord(now time.Time) (next Record, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next = h.record
	next.Renewals++
	next.ActionPending = h.pending.isPending(anyReceiver, now)
	next.PendingReceivers = h.pendingReceivers(now)
	h.begun++
	return next, h.version
}

// begunRenewals returns the number of renewals that have begun.
func (h *Hold) begunRenewals() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.begun
}

// committedAfter reports whether a renewal was committed that began after the first begun
// ones. changed is closed at the next commit or the end of the hold.
func (h *Hold) committedAfter(begun uint64) (committed bool, changed <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.committed > begun, h.changed
}

// notify reports a change to those that wait for one. h.mu must be held.
func (h *Hold) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// NoteRenewal records a committed renewal that was sent at sentAt.
func (h *Hold) NoteRenewal(record Record, version uint64, sentAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record = record
	h.version = version
	if deadline := sentAt.Add(h.timing.Term); deadline.After(h.deadline) {
		h.deadline = deadline
	}
	h.committed = h.begun
	h.notify()
}

// Reconcile records the row as it was read after a renewal failed, and reports whether this
// hold still has the lease. A row of the same holder and epoch shows a renewal whose
// reply was lost. That renewal does not extend the term, because it is not known which
// attempt wrote the row.
func (h *Hold) Reconcile(record Record, version uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended || record.Holder != h.record.Holder || record.Epoch != h.record.Epoch {
		h.ended = true
		h.notify()
		return false
	}
	h.record = record
	h.version = version
	return true
}

// beginAction records that an action is about to begin: renewals that begin from now on tell
// that it is pending.
func (h *Hold) beginAction(receiver string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending.begin(receiver)
}

// endAction records that an action ended at now, and whether it may still take effect because
// it got no answer. It reports whether no action of this holder is pending at the receiver any more.
func (h *Hold) endAction(receiver string, now time.Time, mayTakeEffect bool) (settled bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pending.end(receiver, now, mayTakeEffect)
}

// pendingReceivers returns the receivers at which an action of this or an earlier holder is
// pending at now, each with the milliseconds left. h.mu must be held.
func (h *Hold) pendingReceivers(now time.Time) map[string]int64 {
	h.pending.forget(now)
	left := make(map[string]int64)
	for _, actions := range []pendingActions{h.pending, h.earlier} {
		for _, receiver := range actions.receivers(now) {
			left[receiver] = max(left[receiver], ceilMillis(actions.pendingUntil(receiver, now).Sub(now)))
		}
	}
	return left
}

// ceilMillis returns d in milliseconds, rounded up.
func ceilMillis(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// PendingUntil implements Guard.
func (h *Hold) PendingUntil(receiver string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.earlier.pendingUntil(receiver, time.Time{})
}

// ReleasableAt returns when the lease may be released, as known at now. While an action is
// pending that is not tracked by receiver, the holder lets the lease expire instead: then the next
// holder waits longer for a receiver that stands still.
func (h *Hold) ReleasableAt(now time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pending.pendingUntil(anyReceiver, now)
}

// End ends the hold; every later check fails.
func (h *Hold) End() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	h.notify()
}

// ReleaseRecord returns the record that frees the lease and the version of the row that it
// replaces, at now. The epoch stays, so that the next holder's epoch is larger.
func (h *Hold) ReleaseRecord(now time.Time) (next Record, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Record{Epoch: h.record.Epoch, PendingReceivers: h.pendingReceivers(now)}, h.version
}
