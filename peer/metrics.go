package peer

import (
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts the messages and bytes between processes.
type Metrics struct {
	bytes    *prometheus.CounterVec
	in       prometheus.Counter
	messages *prometheus.CounterVec
	out      prometheus.Counter
}

// NewMetrics returns Metrics that are registered with registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollenfront_peer_bytes_total", Help: "Bytes exchanged with other processes.",
		}, []string{"direction"}),
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollenfront_peer_calls_total", Help: "Calls and notifications sent to other processes.",
		}, []string{"method"}),
	}
	registry.MustRegister(m.bytes, m.messages)
	m.in, m.out = m.bytes.WithLabelValues("in"), m.bytes.WithLabelValues("out")
	return m
}

// sent counts a call or a notification.
func (m *Metrics) sent(method string) {
	m.messages.WithLabelValues(method).Inc()
}

// count returns a connection that counts the bytes of network.
func (m *Metrics) count(network net.Conn) net.Conn {
	return &countingConn{Conn: network, metrics: m}
}

// A countingConn is a network connection that counts its bytes.
type countingConn struct {
	net.Conn

	metrics *Metrics
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.metrics.in.Add(float64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.metrics.out.Add(float64(n))
	return n, err
}
