package metrics

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"dogwoodpond/internal/platformapi"
)

// Upstreams exposes the platform's list of upstreams as this VM sees it. All VMs
// expose the same, so a fleet takes the maximum, not the sum.
type Upstreams struct {
	list     func() []platformapi.Upstream
	count    *prometheus.Desc
	spending *prometheus.Desc
}

// RegisterUpstreams registers the metrics of a list of upstreams.
func RegisterUpstreams(registerer prometheus.Registerer, list func() []platformapi.Upstream) *Upstreams {
	u := &Upstreams{
		list: list,
		count: prometheus.NewDesc(namespace+"_upstreams", "Upstreams in the platform's list.",
			[]string{labelKind, labelState, labelReclaimable}, nil),
		spending: prometheus.NewDesc(namespace+"_upstream_cents_per_hour", "Price of the live upstreams, by the account for which they were ordered.",
			[]string{labelAccount, labelReclaimable}, nil),
	}
	registerer.MustRegister(u)
	return u
}

// Describe implements prometheus.Collector.
func (u *Upstreams) Describe(out chan<- *prometheus.Desc) {
	out <- u.count
	out <- u.spending
}

type countKey struct{ kind, state, reclaimable string }

type spendingKey struct{ account, reclaimable string }

// Collect implements prometheus.Collector.
func (u *Upstreams) Collect(out chan<- prometheus.Metric) {
	counts := map[countKey]float64{}
	cents := map[spendingKey]float64{}
	for _, up := range u.list() {
		reclaimable := strconv.FormatBool(up.Reclaimable)
		counts[countKey{string(up.Kind), string(up.State), reclaimable}]++
		if up.State == platformapi.UpstreamLive {
			cents[spendingKey{up.Account, reclaimable}] += float64(up.CentsPerHour)
		}
	}
	for k, n := range counts {
		out <- prometheus.MustNewConstMetric(u.count, prometheus.GaugeValue, n, k.kind, k.state, k.reclaimable)
	}
	for k, c := range cents {
		out <- prometheus.MustNewConstMetric(u.spending, prometheus.GaugeValue, c, k.account, k.reclaimable)
	}
}
