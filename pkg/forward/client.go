// Package forward carries out one exchange with a target: it sends a request
// over HTTP/1.1, checks that the answer is whole and belongs to the request,
// and reports whether the target can have seen any of the request.
//
// It uses net/http's codecs on connections of its own and not http.Transport:
// the transport repeats a request silently when a reused connection fails, which
// for an at-most-once request would be a second run.
package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	defaultBufferBytes          = 16 << 10
	defaultDialTimeout          = time.Second
	defaultMaxIdle              = 64
	defaultIdleTimeout          = 30 * time.Second
	defaultFreshIdle            = time.Second
	defaultMaxHeaderBytes       = 64 << 10
	maxInformational            = 8
	unlimited             int64 = 1 << 62
)

var (
	errHeaderTooLarge = errors.New("response header exceeds the limit")
	// ErrCrossed reports an answer that carries another request's id.
	ErrCrossed = errors.New("answer belongs to another request")
	// ErrNoEcho reports an answer without the request id, where it is required.
	ErrNoEcho = errors.New("answer carries no request id")
	// ErrNoLength reports an answer whose end cannot be told from a cut.
	ErrNoLength = errors.New("answer has neither a length nor chunks")
	// ErrUpgrade reports a target that switched protocols.
	ErrUpgrade = errors.New("target switched protocols")
	// ErrCallerBody reports that the caller's request body could not be read.
	ErrCallerBody = errors.New("request body could not be read")
)

// Error is a failed exchange.
type Error struct {
	// Wrote reports that at least one byte of the request was sent.
	Wrote bool
	// Died reports that the connection was closed or reset after the request
	// was sent and before the answer began, as when the target's process ends.
	Died bool
	// Ended reports that the context ended before the exchange did.
	Ended bool
	// Silent reports that a new connection was neither accepted nor refused in time. One lost
	// packet is enough for it.
	Silent bool
	Err    error
}

func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Config holds a Client's settings.
type Config struct {
	// DialTimeout bounds connecting. Default 1 s.
	DialTimeout time.Duration
	// MaxIdle is how many idle connections are kept for an address. Default 64.
	MaxIdle int
	// IdleTimeout is how long an idle connection is kept. Default 30 s.
	IdleTimeout time.Duration
	// FreshIdle is how long a connection may have been idle that carries a
	// request which must not be repeated: a target that closes it at that
	// moment leaves the outcome unknown. Default 1 s.
	FreshIdle time.Duration
	// MaxHeaderBytes bounds the header of an answer. Default 64 KiB.
	MaxHeaderBytes int64
	// BufferBytes is the size of a connection's read and of its write buffer.
	// Default 16 KiB.
	BufferBytes int
	// EchoHeader names the header with which an answer names its request.
	// Default X-Request-Id.
	EchoHeader string
	// SkipCrossed reads on where an answer belongs to another request, since
	// the request's own may follow.
	SkipCrossed bool
	// AllowUnframed takes answers without length that end with their connection.
	AllowUnframed bool
	// Dial replaces the TCP dialer in tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client keeps connections to targets. It is safe for concurrent use.
type Client struct {
	config Config
	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
}

// NewClient returns a Client with defaults in place of zero settings.
func NewClient(c Config) *Client {
	if c.DialTimeout == 0 {
		c.DialTimeout = defaultDialTimeout
	}
	if c.MaxIdle == 0 {
		c.MaxIdle = defaultMaxIdle
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = defaultIdleTimeout
	}
	if c.FreshIdle == 0 {
		c.FreshIdle = defaultFreshIdle
	}
	if c.MaxHeaderBytes == 0 {
		c.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if c.BufferBytes == 0 {
		c.BufferBytes = defaultBufferBytes
	}
	if c.EchoHeader == "" {
		c.EchoHeader = headerRequestID
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	return &Client{config: c, idle: map[string][]*conn{}}
}

// Refuses reports whether nothing listens at an address any more. It dials: where a process ends, its
// connections break one after the other, so that one which is still alive says nothing. The
// connection that the dial opens is kept. An address that neither accepts nor refuses in time is not
// known to refuse.
func (c *Client) Refuses(ctx context.Context, address string) bool {
	t, err := c.dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	c.put(address, t)
	return false
}

// Drop closes the idle connections to an address whose target is gone.
func (c *Client) Drop(address string) {
	c.mu.Lock()
	list := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, t := range list {
		t.Close()
	}
}

// Close closes the idle connections. Exchanges that run go on.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for address, list := range c.idle {
		for _, t := range list {
			t.Close()
		}
		delete(c.idle, address)
	}
}

// get returns an idle connection for the request with an id, or dials one.
func (c *Client) get(ctx context.Context, address, id string, maxIdle time.Duration) (t *conn, reused bool, err error) {
	if t := c.reuse(address, id, maxIdle); t != nil {
		return t, true, nil
	}
	t, err = c.dial(ctx, address)
	return t, false, err
}

// dial opens a connection.
func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.DialTimeout)
	defer cancel()
	dialed, err := c.config.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(dialed, c.config.BufferBytes), nil
}

// reuse takes the connection that was used last, so that those beyond the
// present need age and are closed. A connection that has just carried the same request is
// closed, too: a late copy of that answer could not be told from the next one.
func (c *Client) reuse(address, id string, maxIdle time.Duration) *conn {
	for {
		t := c.pop(address)
		if t == nil {
			return nil
		}
		limit := maxIdle
		if t.keepAlive > 0 {
			limit = min(limit, t.keepAlive)
		}
		repeated := id != "" && t.carried == id
		if !repeated && time.Since(t.idleSince) <= limit && t.alive() {
			return t
		}
		t.Close()
	}
}

func (c *Client) pop(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	t := list[len(list)-1]
	list[len(list)-1] = nil
	c.idle[address] = list[:len(list)-1]
	return t
}

// put keeps a connection whose exchange ended in order.
func (c *Client) put(address string, t *conn) {
	now := time.Now()
	t.idleSince = now
	c.mu.Lock()
	list := c.idle[address]
	for len(list) > 0 && now.Sub(list[0].idleSince) > c.config.IdleTimeout {
		list[0].Close()
		list = list[1:]
	}
	keep := !c.closed && len(list) < c.config.MaxIdle
	if keep {
		list = append(list, t)
	}
	c.idle[address] = list
	c.mu.Unlock()
	if !keep {
		t.Close()
	}
}

// Sweep closes the idle connections that can't be used again: their time is over, or the target
// has closed them or sent bytes that nobody asked for, which may be without end.
func (c *Client) Sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for address, list := range c.idle {
		kept := list[:0]
		for _, t := range list {
			if now.Sub(t.idleSince) <= c.config.IdleTimeout && t.alive() {
				kept = append(kept, t)
				continue
			}
			t.Close()
		}
		clear(list[len(kept):])
		c.idle[address] = kept
		if len(kept) == 0 {
			delete(c.idle, address)
		}
	}
}

// idleLimit returns how long a connection for the request may have been idle.
func (c *Client) idleLimit(once bool) time.Duration {
	if once {
		return c.config.FreshIdle
	}
	return c.config.IdleTimeout
}

// bodyless reports whether req has no body to send.
func bodyless(req *http.Request) bool {
	return req.Body == nil || req.Body == http.NoBody
}
