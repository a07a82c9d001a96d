package peer

import (
	"net"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"dogwoodpond/internal/peer/peerpb"
)

// Metrics counts digests and bytes sent to other VMs and digests received.
type Metrics struct {
	digests *prometheus.CounterVec
	size    prometheus.Histogram
	bytes   prometheus.Counter
}

// Values of the label kind.
const (
	kindSent     = "sent"
	kindAccepted = "taken"
	kindOutdated = "old"
)

// NewMetrics returns metrics registered with registerer, unless that is nil.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		digests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dogwoodpond_peer_digests_total",
			Help: "Digests by kind: sent, taken (received and accepted), or old (received and dropped, because the sender's known digest is at least as new).",
		}, []string{"kind"}),
		size: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "dogwoodpond_peer_digest_bytes",
			Help:    "Sizes of the sent digests in bytes.",
			Buckets: []float64{100, 200, 300, 400, 500},
		}),
		bytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dogwoodpond_peer_sent_bytes_total",
			Help: "Bytes written to connections with other VMs, without TCP and IP headers.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.digests, m.size, m.bytes)
	}
	return m
}

func (m *Metrics) noteSent(d *peerpb.Digest) {
	m.digests.WithLabelValues(kindSent).Inc()
	m.size.Observe(float64(proto.Size(d)))
}

func (m *Metrics) noteReceived(accepted bool) {
	kind := kindOutdated
	if accepted {
		kind = kindAccepted
	}
	m.digests.WithLabelValues(kind).Inc()
}

// countingConn counts the bytes written to a connection.
type countingConn struct {
	net.Conn
	bytes prometheus.Counter
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(float64(n))
	return n, err
}

// countingListener counts the bytes written to the connections that it accepts.
type countingListener struct {
	net.Listener
	bytes prometheus.Counter
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: l.bytes}, nil
}
