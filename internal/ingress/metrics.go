package ingress

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts the connections that guards close.
type Metrics struct{ closed *prometheus.CounterVec }

// NewMetrics registers the metrics of all guards of a process.
func NewMetrics(registry *prometheus.Registry) *Metrics {
	m := &Metrics{closed: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "dogwoodpond_client_connections_closed_total",
		Help: "Connections of clients and other VMs that were closed because of a limit, by reason.",
	}, []string{"reason"})}
	registry.MustRegister(m.closed)
	return m
}

// CountClosed counts a connection that was closed because of a limit.
func (m *Metrics) CountClosed(reason Reason) { m.closed.WithLabelValues(string(reason)).Inc() }
