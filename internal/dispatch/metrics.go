package dispatch

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/platform"
)

// metrics are the counters of a Scheduler.
type metrics struct {
	waiting     *prometheus.GaugeVec
	overcommit  *prometheus.GaugeVec
	ejected     prometheus.Gauge
	grants      *prometheus.CounterVec
	shed        *prometheus.CounterVec
	wait        *prometheus.HistogramVec
	tokens      *prometheus.CounterVec
	reclaimable *prometheus.CounterVec
}

// The values of the label place.
const (
	placeOwn      = "own"
	placeBorrowed = "borrowed"
)

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "dogwoodpond_dispatch_waiting_requests",
			Help: "Requests that wait in this VM for a place on an upstream of the pool.",
		}, []string{"pool"}),
		overcommit: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "dogwoodpond_dispatch_overcommitted_requests",
			Help: "Requests of this VM that run beyond its present part of the pool's slots.",
		}, []string{"pool"}),
		ejected: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "dogwoodpond_upstream_ejected",
			Help: "Upstreams that this VM has ejected for failing or being slow.",
		}),
		grants: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dogwoodpond_dispatch_grants_total",
			Help: "Places granted, by whether they were of the VM's own part or borrowed.",
		}, []string{"place"}),
		shed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dogwoodpond_dispatch_shed_total",
			Help: "Requests refused because a queue was full.",
		}, []string{"account"}),
		wait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "dogwoodpond_dispatch_wait_seconds",
			Help:    "Time from a request's arrival in the queue to its place.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}, []string{"account"}),
		tokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dogwoodpond_dispatch_tokens_total",
			Help: "Tokens generated for the account through this VM.",
		}, []string{"account"}),
		reclaimable: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dogwoodpond_dispatch_reclaimable_tokens_total",
			Help: "Tokens generated for the account on reclaimable upstreams through this VM.",
		}, []string{"account"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.waiting, m.overcommit, m.ejected, m.grants, m.shed, m.wait, m.tokens, m.reclaimable)
	}
	return m
}

func (m *metrics) waited(w Work, d time.Duration, err error) {
	if fault.Is[*fault.QueueFull](err) {
		m.shed.WithLabelValues(string(w.Account)).Inc()
		return
	}
	m.wait.WithLabelValues(string(w.Account)).Observe(d.Seconds())
}

func (m *metrics) granted(c candidate) {
	place := placeOwn
	if !c.own {
		place = placeBorrowed
	}
	m.grants.WithLabelValues(place).Inc()
}

func (m *metrics) finished(w Work, u platform.Upstream, r Result) {
	if w.Pool.Kind != platform.KindEngine {
		return
	}
	m.tokens.WithLabelValues(string(w.Account)).Add(float64(r.Cost))
	if u.Reclaimable {
		m.reclaimable.WithLabelValues(string(w.Account)).Add(float64(r.Cost))
	}
}

// pool shows the state of a pool; its lock is held.
func (m *metrics) pool(p *poolQueue) {
	beyond := 0
	for id, n := range p.inFlight {
		beyond += max(0, n-p.division.limits[id])
	}
	m.waiting.WithLabelValues(p.name.String()).Set(float64(p.queue.total))
	m.overcommit.WithLabelValues(p.name.String()).Set(float64(beyond))
}
