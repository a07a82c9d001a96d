package peer

import (
	"net"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"dogwoodpond/internal/peer/peerpb"
)

// Metrics are the counters of what goes between VMs.
type Metrics struct {
	digests *prometheus.CounterVec
	size    prometheus.Histogram
	bytes   prometheus.Counter
}

// The values of the label kind.
const (
	kindSent  = "sent"
	kindTaken = "taken"
	kindOld   = "old"
)

// NewMetrics registers the counters; registerer may be nil.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		digests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dogwoodpond_peer_digests_total",
			Help: "Digests sent, taken, and dropped because a newer one of their sender was known.",
		}, []string{"kind"}),
		size: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "dogwoodpond_peer_digest_bytes",
			Help:    "Sizes of the digests sent.",
			Buckets: []float64{100, 200, 300, 400, 500},
		}),
		bytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dogwoodpond_peer_sent_bytes_total",
			Help: "Bytes written to connections with other VMs, without the headers of TCP and IP.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.digests, m.size, m.bytes)
	}
	return m
}

func (m *Metrics) sent(d *peerpb.Digest) {
	m.digests.WithLabelValues(kindSent).Inc()
	m.size.Observe(float64(proto.Size(d)))
}

func (m *Metrics) received(fresh bool) {
	kind := kindOld
	if fresh {
		kind = kindTaken
	}
	m.digests.WithLabelValues(kind).Inc()
}

// countedConn counts the bytes written to a connection.
type countedConn struct {
	net.Conn
	bytes prometheus.Counter
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(float64(n))
	return n, err
}

// countedListener counts the bytes written to the connections it accepts.
type countedListener struct {
	net.Listener
	bytes prometheus.Counter
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, bytes: l.bytes}, nil
}
