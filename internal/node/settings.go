// Package node runs the process of one VM on a platform that stores all shared state: its
// settings, metrics, start and readiness, and the order in which it stops.
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
	// FailureDomains are all failure domains of the deployment, sorted.
	FailureDomains []string
	// Regions holds the region of each failure domain.
	Regions map[string]string
	// CallerAddress serves callers, ReadyAddress the readiness polls of the load balancer,
	// and PeerAddress the other VMs.
	CallerAddress, ReadyAddress, PeerAddress string
	// MetricsAddress serves the metrics. If it is empty, they are not served.
	MetricsAddress string
	// CPUCores is how many CPU cores the process may use. It may be a fraction.
	CPUCores float64
	// MemoryMB is the memory limit of the process in megabytes; above it, the process is
	// killed.
	MemoryMB int
	// FileDescriptors is the limit of the process's descriptors; 0 if it is unknown.
	FileDescriptors int
	// GracePeriod is the time from the stop signal until the process is killed.
	GracePeriod time.Duration
	LeaseTerm   time.Duration
	// UsageWindow is the length of a usage window.
	UsageWindow time.Duration
	// ReportsUsage is true if the deployment has to report usage windows to billing.
	ReportsUsage bool
	// OrdersUpstreams is true if the deployment has to order upstreams.
	OrdersUpstreams bool
	// StoreRates are the calls per second that the store accepts from all VMs together. A
	// rate of 0 is unknown.
	StoreRates budget.Rates
	// Cold limits the requests to cold upstreams.
	Cold ColdAllowance
	// StepRetention is how long ended steps remain readable after their submission.
	StepRetention time.Duration
}

// ColdAllowance is how far the requests to a cold upstream may exceed the rate that the
// upstream sustains while it is cold. The zero value sets no limit.
type ColdAllowance struct {
	// Factor multiplies the rate; Extra is then added, in requests per second.
	Factor, Extra float64
}

// PerSecond returns the maximum number of requests in any second to a cold upstream that
// sustains the given rate. 0 means no limit.
func (c ColdAllowance) PerSecond(rate float64) int {
	if c.Factor <= 0 && c.Extra <= 0 {
		return 0
	}
	return int(min(max(rate*c.Factor+c.Extra, 1), math.MaxInt32))
}
