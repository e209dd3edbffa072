// Package conntrack tracks the connections of callers: which of them carry a request, which are
// idle and how each one ended.
package conntrack

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"crocusramp.dev/crocusramp/pkg/peek"
)

// End is how a connection ended, as this VM saw it.
type End string

// The ends are logged under these names.
const (
	// EndNone: the connection is open.
	EndNone End = ""
	// EndCaller: the caller closed its sending half.
	EndCaller End = "closed_by_caller"
	// EndReset: the caller or the network reset the connection.
	EndReset End = "reset"
	// EndVM: this VM closed the connection.
	EndVM End = "closed_by_vm"
	// EndIdle: this VM closed the connection because it was idle for too long.
	EndIdle End = "closed_idle"
	// EndEvicted: this VM closed the connection to make room for others.
	EndEvicted End = "evicted"
	// EndHeader: this VM closed the connection because its header was too long.
	EndHeader End = "header_too_long"
	// EndFailed: reading failed for another reason.
	EndFailed End = "failed"
)

// headerTimeout bounds how long the beginning of a request may be there without the rest of its header.
const headerTimeout = 10 * time.Second

// state is what a connection is used for.
type state uint8

const (
	stateNew state = iota // no request has arrived yet
	stateIdle
	stateReading    // the next request is being read
	stateActive     // a request is being served
	stateReceiving  // the body of the request is being read
	stateDelivering // the response is being written
)

// Conn is the connection of a caller.
type Conn struct {
	*net.TCPConn
	tracker  *Tracker
	accepted time.Time

	mu        sync.Mutex
	state     state
	idleSince time.Time
	// readingSince is when the first bytes of the request that is being read arrived.
	readingSince time.Time
	// receivingSince is when reading of the body began, deliveringSince when writing of the response did.
	receivingSince, deliveringSince time.Time
	// header is the size of the current request's header, and headerTaken the part of the headers' budget that
	// it takes while it is being read.
	header      headerSize
	headerTaken int64
	// evicted is set if the connection must be closed to make room for others.
	evicted bool
	// untracked is set once the connection no longer counts.
	untracked bool
	idleFor   time.Duration // before the current request
	keepFor   time.Duration // the idle timeout on which the caller relies
	expired   bool          // the read deadline was set because of the idle timeout
	requests  int
	end       End
}

// KeepFor records that the caller relies on an idle timeout of d after the response. The connection is not
// closed as idle before then, even if the configured limit decreases.
func (c *Conn) KeepFor(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keepFor = d
}

// Read implements net.Conn. It records when a request begins to arrive on an idle connection and why
// reading ended.
func (c *Conn) Read(b []byte) (int, error) {
	for {
		if c.mustClose() {
			return 0, os.ErrDeadlineExceeded
		}
		n, err := c.TCPConn.Read(b)
		if c.mayContinue(n, err) {
			continue
		}
		if n > 0 && !c.countHeader(b[:n]) {
			return 0, io.EOF
		}
		return n, err
	}
}

// mustClose reports whether the connection was evicted before its request was read.
func (c *Conn) mustClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		c.setEnd(EndEvicted)
	}
	return c.evicted
}

// mayContinue records the result of a read. It reports whether the read must be repeated because a
// request arrived on the connection while it was about to be closed as idle.
func (c *Conn) mayContinue(n int, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		if err != nil {
			c.setEnd(EndEvicted)
		}
		return false
	}
	if c.expired && (n > 0 || peek.Look(c.TCPConn) == peek.Readable) {
		c.expired = false
		_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection, which ends the read
		if n == 0 {
			return true
		}
	}
	switch {
	case n > 0 && (c.state == stateIdle || c.state == stateNew):
		c.state, c.readingSince = stateReading, time.Now()
	case c.expired && errors.Is(err, os.ErrDeadlineExceeded):
		c.setEnd(EndIdle)
	case err != nil:
		c.setEnd(endOf(err))
	}
	return false
}

// expire makes the read that waits for the next request fail, if the connection has been idle for longer
// than limit at now and than the caller relies on, or if only the beginning of a request has come for
// longer than headerTimeout. net/http then closes the connection. It is not closed here, because the
// next request may have been read already. expire reports whether the connection expires now.
func (c *Conn) expire(limit time.Duration, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state == stateIdle && now.Sub(c.idleSince) > max(limit, c.keepFor):
	case c.state == stateReading && now.Sub(c.readingSince) > headerTimeout:
	default:
		return false
	}
	if peek.Unsent(c.TCPConn) > 0 { // the caller is still receiving the response
		c.idleSince = now
		return false
	}
	return c.endRead()
}

// endRead makes the read that waits for the next request fail, unless bytes have arrived. It reports
// whether it did not do so before. The caller holds mu.
func (c *Conn) endRead() bool {
	if peek.Look(c.TCPConn) == peek.Readable {
		return false
	}
	first := !c.expired
	c.expired = true
	// Repeated for a connection that is still open, because net/http may have replaced the deadline.
	_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	return first
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.setEnd(EndVM)
	c.mu.Unlock()
	c.tracker.remove(c)
	return c.TCPConn.Close()
}

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.TCPConn }

// setEnd records the first end. The caller holds mu.
func (c *Conn) setEnd(e End) {
	if c.end == EndNone {
		c.end = e
	}
}

// endOf returns the end that an error of Read reports.
func endOf(err error) End {
	var timeout net.Error
	switch {
	case errors.Is(err, io.EOF):
		return EndCaller
	case errors.Is(err, syscall.ECONNRESET):
		return EndReset
	case errors.As(err, &timeout) && timeout.Timeout() && !errors.Is(err, syscall.ETIMEDOUT):
		return EndNone // net/http interrupts its reads with deadlines
	default:
		return EndFailed
	}
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler. c may be nil.
func (c *Conn) MarshalZerologObject(e *zerolog.Event) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	e.Str("end", string(c.end)).Dur("age_ms", time.Since(c.accepted)).Int("requests", c.requests).Dur("idle_ms", c.idleFor)
}

// connKey is the context key of the caller's connection.
type connKey struct{}

// ConnContext adds a connection to the context of its requests. It must be set as the ConnContext hook
// of the http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// FromContext returns the connection of a request, or nil if it is unknown.
func FromContext(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return c
}

// Of returns the tracked connection of a request, or nil.
func Of(ctx context.Context) *Conn {
	c, _ := FromContext(ctx).(*Conn)
	return c
}
