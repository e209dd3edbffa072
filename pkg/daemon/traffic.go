package daemon

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// byteCountingListener counts the bytes that its accepted connections receive
// and send.
type byteCountingListener struct {
	net.Listener
	received, sent metrics.Counter
}

// countPeerBytes wraps the peer listener and registers counters of the bytes
// that it receives and sends.
func countPeerBytes(l net.Listener, r metrics.Registry) net.Listener {
	return &byteCountingListener{
		Listener: l,
		received: metrics.GetOrRegisterCounter("peer.bytes_received", r),
		sent:     metrics.GetOrRegisterCounter("peer.bytes_sent", r),
	}
}

// Accept implements net.Listener.
func (l *byteCountingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &byteCountingConn{Conn: c, listener: l}, nil
}

type byteCountingConn struct {
	net.Conn
	listener *byteCountingListener
}

// NetConn returns the connection that c wraps.
func (c *byteCountingConn) NetConn() net.Conn { return c.Conn }

func (c *byteCountingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.received.Inc(int64(n))
	return n, err
}

func (c *byteCountingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.sent.Inc(int64(n))
	return n, err
}
