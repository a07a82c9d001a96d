// Package budget divides the calls that the platform's store takes among the VMs of a
// fleet. Every loop that calls the store again and again asks it how often it may. The
// load is a fleet that grows while the store stays as it is: each period is what the
// rates of the store, the number of VMs and the share of the loop leave, and grows while
// the store refuses calls.
package budget

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Rates are the calls a second that the store takes from the whole fleet.
type Rates struct{ Writes, Reads int }

// defaultRates hold where the settings name none.
var defaultRates = Rates{Writes: 800, Reads: 2000}

// Use is one purpose of calls to the store.
type Use int

// The uses of the store that recur. What they leave is for acceptance, listing and
// ownership of steps and for leases, whose calls follow the work and not a period.
const (
	// Beats are the writes by which VMs tell that they live.
	Beats Use = iota
	// Totals are the writes of usage.
	Totals
	// Members are the reads of the others' beats.
	Members
	// Configuration are the calls for changes of the configuration and named versions.
	Configuration
	// Upstreams are the calls for changes of the list of upstreams.
	Upstreams
	// Steps are the calls for changes of the states of steps.
	Steps
	// Loads are the calls for changes of the engines' loads of weights.
	Loads
	// Probes are the reads that look whether the store answers again. The other loops
	// wait meanwhile, so that they take their part.
	Probes
	uses
)

// shares are the parts of the writes or the reads that the uses may take.
var shares = [uses]struct {
	part   float64
	writes bool
	// firm uses are not slowed by refusals, and the others make room for them: they bound
	// by how old a configuration a VM serves, and when the work of a dead one goes on.
	firm bool
}{
	Beats:         {part: 0.25, writes: true},
	Totals:        {part: 0.25, writes: true},
	Members:       {part: 0.15, firm: true},
	Configuration: {part: 0.20, firm: true},
	Upstreams:     {part: 0.15},
	Steps:         {part: 0.15},
	Loads:         {part: 0.10},
	Probes:        {part: 0.50},
}

const (
	// slowBy is how much the periods grow when the store refuses calls, mostSlow how
	// much they grow at most, and slowEvery how often.
	slowBy    = 1.5
	mostSlow  = 8
	slowEvery = 250 * time.Millisecond
	// recoverBy is how much of the growth is taken back in each recoverEvery without
	// refusals.
	recoverBy    = 0.25
	recoverEvery = 500 * time.Millisecond
)

// Budget is the part of one VM. It is safe for concurrent use.
type Budget struct {
	rates Rates
	vms   atomic.Int64

	mu     sync.Mutex
	factor float64
	// changed is when the factor grew or shrank last.
	changed time.Time
}

// New returns the budget of a VM that knows no others yet.
func New(rates Rates) *Budget {
	if rates.Writes <= 0 {
		rates.Writes = defaultRates.Writes
	}
	if rates.Reads <= 0 {
		rates.Reads = defaultRates.Reads
	}
	b := &Budget{rates: rates, factor: 1}
	b.SetFleet(1)
	return b
}

// SetFleet sets among how many VMs the calls are divided.
func (b *Budget) SetFleet(vms int) { b.vms.Store(int64(max(vms, 1))) }

// FleetSize returns among how many VMs the calls are divided.
func (b *Budget) FleetSize() int { return int(b.vms.Load()) }

// Period returns the least time between two calls of this VM for a use, and at least
// the time that the use wants. Refusals slow reads only: the other VMs know by the size
// of the fleet how long they have to wait for what this one writes.
func (b *Budget) Period(use Use, wanted time.Duration) time.Duration {
	period := b.period(use, wanted)
	if shares[use].writes || shares[use].firm {
		return period
	}
	return time.Duration(float64(period) * b.BackoffFactor(time.Now()))
}

// Retry returns the pause after a read that failed: the one that is wanted, or, while the
// store refuses calls, some time around the period of the use. VMs whose calls were refused
// together come again apart.
func (b *Budget) Retry(use Use, wanted time.Duration) time.Duration {
	if b.BackoffFactor(time.Now()) <= 1 {
		return wanted
	}
	period := b.period(use, wanted)
	if shares[use].firm {
		period /= 2
	}
	return period/2 + rand.N(period)
}

// period divides the calls a second that a use may make among the VMs.
func (b *Budget) period(use Use, wanted time.Duration) time.Duration {
	rate := b.rates.Reads
	if shares[use].writes {
		rate = b.rates.Writes
	}
	perVM := float64(b.FleetSize()) / (shares[use].part * float64(rate))
	return max(wanted, time.Duration(perVM*float64(time.Second)))
}

// Refused notes that the store refused a call because of its rate.
func (b *Budget) Refused(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.changed) < slowEvery {
		return
	}
	b.factor, b.changed = min(b.factor*slowBy, mostSlow), now
}

// BackoffFactor returns by how much the periods of reads are longer than the rates ask for.
func (b *Budget) BackoffFactor(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if quiet := int(now.Sub(b.changed) / recoverEvery); quiet > 0 && b.factor > 1 {
		b.factor = max(1, b.factor*math.Pow(1-recoverBy, float64(quiet)))
		b.changed = b.changed.Add(time.Duration(quiet) * recoverEvery)
	}
	return b.factor
}
