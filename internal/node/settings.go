// Package node runs one VM's process on a platform that keeps everything: its
// settings, its start, its readiness, and the order in which it stops.
package node

import (
	"math"
	"time"

	"dogwoodpond/internal/budget"
)

// Settings are the settings of one process.
type Settings struct {
	VM            string
	FailureDomain string
	// FailureDomains are all of the deployment, in order.
	FailureDomains []string
	// Regions holds the region of each failure domain.
	Regions map[string]string
	// CallerAddress serves callers, ReadyAddress the balancer's question whether
	// this VM takes new connections, PeerAddress the other VMs.
	CallerAddress, ReadyAddress, PeerAddress string
	// MetricsAddress serves the metrics; empty serves none.
	MetricsAddress string
	// Processor is how many cores the process may use, as a fraction.
	Processor float64
	// MemoryMB is the memory of the process in megabytes, above which it is killed.
	MemoryMB int
	// Grace is the time from the signal to stop until the process is killed.
	Grace time.Duration
	// LeaseTerm is the term of leases.
	LeaseTerm time.Duration
	// UsageWindow is the length of a window of usage.
	UsageWindow time.Duration
	// ReportsUsage tells whether windows of usage are to be reported.
	ReportsUsage bool
	// OrdersUpstreams tells whether upstreams are to be ordered.
	OrdersUpstreams bool
	// StoreRates are the calls a second that the store takes from all VMs together; what is
	// 0 is not known.
	StoreRates budget.Rates
	// Cold is what the deployment allows to upstreams that warm up.
	Cold ColdAllowance
	// StepKeep is how long steps stay readable after their submission.
	StepKeep time.Duration
}

// ColdAllowance is how far the requests to a cold upstream may exceed the rate that it
// bears. The zero value sets no bound.
type ColdAllowance struct {
	// Factor multiplies the rate; Extra is added for each second.
	Factor, Extra float64
}

// PerSecond returns the most requests in any second to an upstream that bears a rate; 0
// sets no bound.
func (c ColdAllowance) PerSecond(rate float64) int {
	if c.Factor <= 0 && c.Extra <= 0 {
		return 0
	}
	return int(min(max(rate*c.Factor+c.Extra, 1), math.MaxInt32))
}
