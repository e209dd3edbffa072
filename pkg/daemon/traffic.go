package daemon

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	received, sent metrics.Counter
}

// countPeerBytes registers counters for what peers send to this VM and what
// it answers.
func countPeerBytes(l net.Listener, r metrics.Registry) net.Listener {
	return &countedListener{
		Listener: l,
		received: metrics.GetOrRegisterCounter("peer.bytes_received", r),
		sent:     metrics.GetOrRegisterCounter("peer.bytes_sent", r),
	}
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, listener: l}, nil
}

type countedConn struct {
	net.Conn
	listener *countedListener
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.received.Inc(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.sent.Inc(int64(n))
	return n, err
}
