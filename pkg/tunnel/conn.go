package tunnel

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

var errEarlyBytes = errors.New("unread bytes in user space")

// conn is the VM's end of a tunnel.
type conn struct {
	net.Conn // to the peer
	tcp      *net.TCPConn
	dialer   *Dialer
	peer     string

	// endSent is set before the sending half is closed.
	endSent atomic.Bool

	mu    sync.Mutex
	early []byte // arrived with the response to CONNECT and not read yet
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(c.early) > 0 {
		defer c.mu.Unlock()
		n := copy(p, c.early)
		c.early = c.early[n:]
		return n, nil
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	// With TLS, io.EOF stands for an authenticated end.
	if err == io.EOF && c.Conn == net.Conn(c.tcp) && !c.endSent.Load() && wasReset(c.tcp) {
		err = syscall.ECONNRESET
	}
	return n, err
}

// WritesRecords reports whether the peer is connected with TLS.
func (c *conn) WritesRecords() bool { return c.Conn != net.Conn(c.tcp) }

// Close implements net.Conn. It resets the connection: the peer takes a clean end for CloseWrite.
func (c *conn) Close() error {
	c.dialer.remove(c)
	return c.tcp.Close()
}

// CloseWrite closes the sending half of the connection.
func (c *conn) CloseWrite() error {
	c.endSent.Store(true)
	return closeWrite(c.Conn)
}

// SyscallConn implements syscall.Conn for users that look for unread data. It fails while there are
// bytes that the kernel does not know of.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.early) > 0 {
		return nil, errEarlyBytes
	}
	return c.tcp.SyscallConn()
}
