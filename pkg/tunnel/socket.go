package tunnel

import (
	"errors"
	"net"
	"time"
)

const (
	// Unanswered keep-alive probes follow each other at this interval, the first after the same time
	// without traffic. The kernel ends the connection after the last one; a watch does so earlier.
	keepAliveInterval = time.Second
	keepAliveCount    = 4
)

// tcpConn returns the TCP connection below c.
func tcpConn(c net.Conn) (*net.TCPConn, bool) {
	for {
		if t, ok := c.(*net.TCPConn); ok {
			return t, true
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn }) // such as *tls.Conn
		if !ok {
			return nil, false
		}
		c = wrapper.NetConn()
	}
}

// setUp sets the socket options of a connection between VMs. They also make the kernel reset the
// connection if this process dies: a clean end would make a truncated response without a length look
// complete.
func setUp(t *net.TCPConn) error {
	return errors.Join(t.SetLinger(0), t.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount,
	}))
}

// closeWrite closes the sending half of a connection.
func closeWrite(c net.Conn) error {
	if h, ok := c.(interface{ CloseWrite() error }); ok {
		return h.CloseWrite()
	}
	return errors.ErrUnsupported
}
