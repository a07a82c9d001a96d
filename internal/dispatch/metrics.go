package dispatch

import "github.com/prometheus/client_golang/prometheus"

// metrics are the metrics of a Scheduler. Package metrics measures wait times and
// work outside the Scheduler.
type metrics struct {
	queued     *prometheus.GaugeVec
	overcommit *prometheus.GaugeVec
	ejected    prometheus.Gauge
	grants     *prometheus.CounterVec
	shed       *prometheus.CounterVec
}

// The values of the label place.
const (
	placeOwn      = "own"
	placeBorrowed = "borrowed"
)

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		queued: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "dogwoodpond_dispatch_waiting_requests",
			Help: "Requests queued on this VM for a slot of an upstream of the pool.",
		}, []string{"pool"}),
		overcommit: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "dogwoodpond_dispatch_overcommitted_requests",
			Help: "Requests of this VM that run beyond its current limits at the pool's upstreams.",
		}, []string{"pool"}),
		ejected: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "dogwoodpond_upstream_ejected",
			Help: "Upstreams that this VM has ejected for failing or being slow.",
		}),
		grants: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dogwoodpond_dispatch_grants_total",
			Help: "Slots granted, by whether they were of the VM's own quota or borrowed.",
		}, []string{"place"}),
		shed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dogwoodpond_dispatch_shed_total",
			Help: "Requests shed because a queue was full.",
		}, []string{"account"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.queued, m.overcommit, m.ejected, m.grants, m.shed)
	}
	return m
}

func (m *metrics) recordGrant(c candidate) {
	place := placeOwn
	if !c.hasQuota {
		place = placeBorrowed
	}
	m.grants.WithLabelValues(place).Inc()
}

// updatePool sets the metrics of a pool. The caller holds the pool's lock.
func (m *metrics) updatePool(p *poolQueue) {
	overcommitted := 0
	for id, n := range p.inFlight {
		overcommitted += max(0, n-p.assignment.limits[id])
	}
	m.queued.WithLabelValues(p.name.String()).Set(float64(p.queue.total))
	m.overcommit.WithLabelValues(p.name.String()).Set(float64(overcommitted))
}
