package forward

import (
	"bufio"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"crocusramp.dev/crocusramp/pkg/peek"
)

// conn is one HTTP/1.1 connection to a target. It carries one exchange at a
// time. It counts the bytes written, to determine whether the target can have
// received any of a request that failed.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// written counts the bytes that the kernel accepted in the current exchange.
	written atomic.Int64
	// writing is held during a write. writeErr is the error of the first one that failed.
	writing  sync.Mutex
	writeErr error
	// ackTimeout is the connection's TCP_USER_TIMEOUT between exchanges; 0 if the client does not adapt it.
	ackTimeout time.Duration
	// readBudget is the number of bytes that may still be read. It bounds the
	// response header, because http.ReadResponse has no limit of its own.
	readBudget atomic.Int64
	// idleSince is when the connection was returned to the idle list.
	idleSince time.Time
	// lastRequestID is the ID of the last request sent on the connection.
	lastRequestID string
	// keepAlive is how long the target keeps the idle connection open according
	// to its Keep-Alive header, minus a margin; 0 is unknown.
	keepAlive time.Duration
}

func newConn(netConn net.Conn, bufferBytes int) *conn {
	c := &conn{Conn: netConn}
	c.reader = bufio.NewReaderSize(readLimiter{c}, bufferBytes)
	c.writer = bufio.NewWriterSize(c, bufferBytes)
	return c
}

// Write writes p to the connection and counts the bytes written.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	c.written.Add(int64(n))
	if err != nil && n == 0 && writesRecords(c.Conn) {
		c.written.Add(1)
	}
	return n, err
}

// writesRecords reports whether a connection writes TLS records. A record may have been sent although its
// write failed.
func writesRecords(c net.Conn) bool {
	if wrapper, ok := c.(interface{ WritesRecords() bool }); ok {
		return wrapper.WritesRecords()
	}
	_, ok := c.(*tls.Conn)
	return ok
}

// failureBeforeEOF closes a connection on which a read returned io.EOF. If the connection had failed and the
// target had not ended it, it returns the error. The kernel reports a failure once: if a concurrent write got
// the error, reads see a clean end, also with TLS. That write gets EPIPE if the target's end came before the
// failure.
func (c *conn) failureBeforeEOF() error {
	c.Close() // a write may block, and hold the lock, until then
	c.writing.Lock()
	defer c.writing.Unlock()
	var errno syscall.Errno
	if !errors.As(c.writeErr, &errno) || errno == syscall.EPIPE {
		return nil
	}
	return c.writeErr
}

// readLimiter reads from a connection up to its budget.
type readLimiter struct{ c *conn }

func (r readLimiter) Read(p []byte) (int, error) {
	left := r.c.readBudget.Load()
	if left <= 0 {
		return 0, errHeaderTooLarge
	}
	if int64(len(p)) > left {
		p = p[:left]
	}
	n, err := r.c.Conn.Read(p)
	r.c.readBudget.Add(-int64(n))
	return n, err
}

// reusable reports whether an idle connection can be reused: the target has neither
// closed it nor sent unsolicited bytes, which would be read as the response to the
// next request.
func (c *conn) reusable() bool {
	if c.reader.Buffered() != 0 {
		return false
	}
	state := peek.Look(c.Conn)
	return state == peek.Empty || state == peek.Unknown
}

// connectionClosed reports whether err means that the target closed or reset the connection,
// as the kernel does when a process exits.
func connectionClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
