package forward

import (
	"bufio"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"crocusramp.dev/crocusramp/pkg/peek"
)

// conn is one HTTP/1.1 connection to a target. It carries one exchange at a
// time and counts what it wrote, so that a failure can be told from one that
// happened before the target saw the first byte.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// written counts the bytes that the kernel took in the current exchange.
	written atomic.Int64
	// budget is how many more bytes may be read; it bounds response headers,
	// for which net/http's parser has no limit of its own.
	budget atomic.Int64
	// idleSince is when the connection came back to the pool.
	idleSince time.Time
	// carried is the id of the last request that the connection carried.
	carried string
	// keepAlive is how long the target said that it keeps the connection open
	// while it is idle, less a margin; 0 is unknown.
	keepAlive time.Duration
}

func newConn(c net.Conn, bufferBytes int) *conn {
	t := &conn{Conn: c}
	t.reader = bufio.NewReaderSize(readLimiter{t}, bufferBytes)
	t.writer = bufio.NewWriterSize(t, bufferBytes)
	return t
}

// Write sends p and counts what left.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	if _, ok := c.Conn.(*tls.Conn); ok && err != nil && n == 0 {
		// A record may have left although its write failed.
		c.written.Add(1)
	}
	return n, err
}

// readLimiter reads from a connection within its budget.
type readLimiter struct{ c *conn }

func (r readLimiter) Read(p []byte) (int, error) {
	left := r.c.budget.Load()
	if left <= 0 {
		return 0, errHeaderTooLarge
	}
	if int64(len(p)) > left {
		p = p[:left]
	}
	n, err := r.c.Conn.Read(p)
	r.c.budget.Add(-int64(n))
	return n, err
}

// alive reports whether an idle connection may carry another exchange: the
// target has neither closed it nor sent bytes that nobody asked for, which
// would be taken for the answer to the next request.
func (c *conn) alive() bool {
	if c.reader.Buffered() != 0 {
		return false
	}
	state := peek.Look(c.Conn)
	return state == peek.Nothing || state == peek.Unknown
}

// closed reports whether err tells that the other side closed or reset the
// connection, as a dying process does.
func closed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
