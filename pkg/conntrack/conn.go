// Package conntrack tracks the connections of callers: which of them carry a request, which are
// idle and how each one ended.
package conntrack

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
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
	// EndFailed: reading failed for another reason.
	EndFailed End = "failed"
)

// state is what a connection is used for.
type state uint8

const (
	stateNew state = iota // no request has arrived yet
	stateIdle
	stateReading // the next request is being read
	stateActive  // a request is being served
)

// Conn is the connection of a caller.
type Conn struct {
	*net.TCPConn
	accepted time.Time

	mu        sync.Mutex
	state     state
	idleSince time.Time
	idleFor   time.Duration // before the current request
	requests  int
	end       End
}

// Read implements net.Conn. It records when a request begins to arrive on an idle connection and why
// reading ended.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && c.state == stateIdle {
		c.state = stateReading
	}
	if err != nil {
		c.setEnd(endOf(err))
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.setEnd(EndVM)
	c.mu.Unlock()
	return c.TCPConn.Close()
}

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

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (c *Conn) MarshalZerologObject(e *zerolog.Event) {
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
