// Package budget divides the rate of calls that the platform's store accepts among the
// VMs of a fleet. Every loop that calls the store periodically asks it for the interval
// between calls. A fleet may grow while the capacity of the store stays the same, so the
// interval is computed from the rates of the store, the number of VMs and the share of
// the loop's use. The intervals of some reads become longer while the store refuses calls.
package budget

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Rates are the numbers of calls per second that the store accepts from the whole fleet.
type Rates struct{ Writes, Reads int }

// defaultRates apply to rates that the settings leave out.
var defaultRates = Rates{Writes: 800, Reads: 2000}

// Use is a purpose of calls to the store.
type Use int

// The purposes of periodic calls. They leave a part of the rates for accepting steps,
// committing their results, step ownership and leases, whose calls depend on the load and
// not on an interval.
const (
	// Heartbeats are the writes of the VMs' heartbeats.
	Heartbeats Use = iota
	// UsageTotals are the writes of usage totals.
	UsageTotals
	// Members are the reads of other VMs' heartbeats.
	Members
	// Configuration are the long polls for changes of the configuration and of the
	// announced weight versions.
	Configuration
	// Upstreams are the long polls for changes of the list of upstreams.
	Upstreams
	// Steps are the long polls for changes of the states of steps.
	Steps
	// WeightLoads are the long polls for changes of the engines' weight loads.
	WeightLoads
	// Probes are the reads that check during an outage whether the store is available
	// again. The other loops wait during an outage, so Probes may use their shares.
	Probes
	useCount
)

// shares gives for each use its share of the write rate or of the read rate.
var shares = [useCount]struct {
	share  float64
	writes bool
	// critical reads are not slowed down by refusals. The other reads are, which
	// leaves capacity for the critical ones. Critical reads determine how old the
	// configuration of a VM can be, and how soon the steps of a dead VM are taken over.
	critical bool
}{
	Heartbeats:    {share: 0.25, writes: true},
	UsageTotals:   {share: 0.25, writes: true},
	Members:       {share: 0.15, critical: true},
	Configuration: {share: 0.20, critical: true},
	Upstreams:     {share: 0.15},
	Steps:         {share: 0.15},
	WeightLoads:   {share: 0.10},
	Probes:        {share: 0.50},
}

const (
	// The backoff factor, by which intervals are lengthened, is multiplied by
	// backoffGrowth when the store refuses a call, at most once per
	// backoffGrowthInterval and up to maxBackoffFactor.
	backoffGrowth         = 1.5
	maxBackoffFactor      = 8
	backoffGrowthInterval = 250 * time.Millisecond
	// recoveryShare is the part of the backoff factor that is taken off in each
	// recoveryInterval without refusals.
	recoveryShare    = 0.25
	recoveryInterval = 500 * time.Millisecond
)

// Budget is one VM's part of the rates. It is safe for concurrent use.
type Budget struct {
	rates Rates
	vms   atomic.Int64

	mu sync.Mutex
	// factor is the backoff factor, at least 1.
	factor float64
	// changedAt is the time of the last change of factor.
	changedAt time.Time
}

// New returns the budget of a VM that does not know of other VMs yet. Rates that are not
// positive get their defaults.
func New(rates Rates) *Budget {
	if rates.Writes <= 0 {
		rates.Writes = defaultRates.Writes
	}
	if rates.Reads <= 0 {
		rates.Reads = defaultRates.Reads
	}
	b := &Budget{rates: rates, factor: 1}
	b.SetFleetSize(1)
	return b
}

// SetFleetSize sets the number of VMs among which the calls are divided.
func (b *Budget) SetFleetSize(vms int) { b.vms.Store(int64(max(vms, 1))) }

// FleetSize returns the number of VMs among which the calls are divided.
func (b *Budget) FleetSize() int { return int(b.vms.Load()) }

// Interval returns the interval between two calls of this VM for a use; it is at least
// minInterval. Refusals lengthen only the intervals of reads that are not critical. The
// intervals of writes must depend on the size of the fleet alone, because other VMs
// compute from it how long to wait for the rows that this VM writes.
func (b *Budget) Interval(use Use, minInterval time.Duration) time.Duration {
	interval := b.baseInterval(use, minInterval)
	if shares[use].writes || shares[use].critical {
		return interval
	}
	return time.Duration(float64(interval) * b.BackoffFactor(time.Now()))
}

// RetryBackoff returns the backoff after a failed read. It is minInterval, or, while the store
// refuses calls, a random time around the interval of the use (around half of it for a
// critical use). The randomness spreads the retries of VMs whose calls were refused at
// the same time.
func (b *Budget) RetryBackoff(use Use, minInterval time.Duration) time.Duration {
	if b.BackoffFactor(time.Now()) <= 1 {
		return minInterval
	}
	interval := b.baseInterval(use, minInterval)
	if shares[use].critical {
		interval /= 2
	}
	return interval/2 + rand.N(interval)
}

// baseInterval returns the interval, at least minInterval, at which each VM of the fleet may
// make calls for a use so that they all stay within its share of the rate.
func (b *Budget) baseInterval(use Use, minInterval time.Duration) time.Duration {
	rate := b.rates.Reads
	if shares[use].writes {
		rate = b.rates.Writes
	}
	seconds := float64(b.FleetSize()) / (shares[use].share * float64(rate))
	return max(minInterval, time.Duration(seconds*float64(time.Second)))
}

// NoteRefused records that the store refused a call because of its rate limit.
func (b *Budget) NoteRefused(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.changedAt) < backoffGrowthInterval {
		return
	}
	b.factor, b.changedAt = min(b.factor*backoffGrowth, maxBackoffFactor), now
}

// BackoffFactor returns the factor by which refusals lengthen the intervals of reads that
// are not critical; 1 means no backoff.
func (b *Budget) BackoffFactor(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := int(now.Sub(b.changedAt) / recoveryInterval); n > 0 && b.factor > 1 {
		b.factor = max(1, b.factor*math.Pow(1-recoveryShare, float64(n)))
		b.changedAt = b.changedAt.Add(time.Duration(n) * recoveryInterval)
	}
	return b.factor
}
