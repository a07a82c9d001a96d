// Package lease is the aggregate of leases: rows of the table service that put
// one process at a time in charge of something. Hold and Contender decide
// without I/O and without a clock; Manager drives them.
//
// No wall clock is compared between processes. A holder counts its term from
// before it sent the renewal, and a contender waits until it has seen the same
// version of the row for a whole term and a margin on its own clock. The epoch
// rises with each holder, never repeats, and is the fencing number of every
// order that the holder gives.
package lease

import (
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// Record is the value of a lease's row.
type Record struct {
	// Holder is the owner in charge; empty when the lease was released.
	Holder string `json:"holder"`
	// Epoch counts the holders from 1.
	Epoch uint64 `json:"epoch"`
	// Renewals counts the renewals of this epoch.
	Renewals uint64 `json:"renewals"`
}

// Timing holds the durations that holder and contenders agree on. All VMs of a
// fleet must use the same Term.
type Timing struct {
	// Term is how long a renewal lets its holder act.
	Term time.Duration
	// Margin is what a contender waits beyond the term. It covers clocks that
	// run at different rates.
	Margin time.Duration
}

// marginShare is the part of the term that the margin is by default; monotonic
// clocks of healthy machines differ by far less.
const marginShare = 4

// NewTiming returns the timing for a term.
func NewTiming(term time.Duration) Timing {
	return Timing{Term: term, Margin: term / marginShare}
}

// Contender decides when one owner may take a lease.
type Contender struct {
	owner  string
	timing Timing
	// predecessors starts the owners of earlier processes of this VM, which are
	// known to be dead; empty when nothing is known.
	predecessors string

	seen    bool
	version uint64
	since   time.Time
}

// NewContender returns a contender that has not seen the row yet. The owner
// must be unique for each try to be in charge, over all processes and restarts:
// a restarted process must not take its predecessor's lease for its own.
func NewContender(owner string, timing Timing) *Contender {
	return &Contender{owner: owner, timing: timing}
}

// Observe notes a version of the row at now, which must be read after the reply
// came: the version may have been written after the request was sent.
func (c *Contender) Observe(version uint64, now time.Time) {
	if c.seen && c.version == version {
		return
	}
	c.seen = true
	c.version = version
	c.since = now
}

// Silence returns for how long the row has stayed at the same version.
func (c *Contender) Silence(now time.Time) time.Duration {
	if !c.seen {
		return 0
	}
	return now.Sub(c.since)
}

// Wait returns how much longer the contender must see the row as it is before
// it may take the lease; 0 or less means that it may now. A free lease is
// taken at once by a candidate; patience is what others wait in addition.
//
// A record of the contender's own is the trace of a try whose reply was lost.
// Nothing was ordered under it, so there is nobody to wait for.
func (c *Contender) Wait(record Record, now time.Time, patience time.Duration) time.Duration {
	if record.Holder == c.owner || c.succeeds(record) {
		return 0
	}
	silence := patience
	if record.Holder != "" {
		silence += c.timing.Term + c.timing.Margin
	}
	return silence - c.Silence(now)
}

// succeeds reports whether the holder was an earlier process of this VM. It can't
// act any more, so that waiting for the end of its term guards nothing: after a
// loss of power of all VMs nobody would be in charge for a whole term.
func (c *Contender) succeeds(record Record) bool {
	return c.predecessors != "" && strings.HasPrefix(record.Holder, c.predecessors)
}

// Take returns the record that puts the contender in charge. The epoch rises
// even over the contender's own record, so that no epoch is used twice.
func (c *Contender) Take(record Record) Record {
	return Record{Holder: c.owner, Epoch: record.Epoch + 1}
}

// Hold is the lease in its holder's eyes. It is safe for concurrent use.
type Hold struct {
	name   string
	timing Timing

	mu       sync.Mutex
	record   Record
	version  uint64
	deadline time.Time
	over     bool
}

// NewHold returns the hold that began when record was committed as version.
// sentAt must be read before the commit was sent: the row may have been written
// at once, and a contender's wait may count from then.
func NewHold(name string, timing Timing, record Record, version uint64, sentAt time.Time) *Hold {
	return &Hold{
		name:     name,
		timing:   timing,
		record:   record,
		version:  version,
		deadline: sentAt.Add(timing.Term),
	}
}

// Epoch returns the fencing number.
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

// CheckAt reports whether the holder may act at now. It fails with
// *fault.LeaseLost.
func (h *Hold) CheckAt(now time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.over || !now.Before(h.deadline) {
		return errors.WithStack(&fault.LeaseLost{Lease: h.name, Epoch: h.record.Epoch})
	}
	return nil
}

// Renewal returns the record and the version that the next renewal replaces.
func (h *Hold) Renewal() (next Record, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next = h.record
	next.Renewals++
	return next, h.version
}

// Renewed notes that a renewal was committed which was sent at sentAt.
func (h *Hold) Renewed(record Record, version uint64, sentAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record = record
	h.version = version
	if deadline := sentAt.Add(h.timing.Term); deadline.After(h.deadline) {
		h.deadline = deadline
	}
}

// Seen takes the row as it was read after a renewal failed, and reports whether
// the lease is still this hold's. A row that is still of this epoch shows a
// renewal whose reply was lost. Its term is not counted: it is not known which
// try wrote it.
func (h *Hold) Seen(record Record, version uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.over || record.Holder != h.record.Holder || record.Epoch != h.record.Epoch {
		h.over = true
		return false
	}
	h.record = record
	h.version = version
	return true
}

// End ends the hold; every later check fails.
func (h *Hold) End() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.over = true
}

// Release returns the record that frees the lease and the version that it
// replaces. The epoch stays, so that the next holder's is larger.
func (h *Hold) Release() (next Record, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Record{Epoch: h.record.Epoch}, h.version
}
