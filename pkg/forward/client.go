// Package forward is an HTTP/1.1 client for targets. It sends a request, checks
// that the response is complete and belongs to the request, and on failure
// reports whether the target can have received any of the request.
//
// It uses net/http's codecs on its own connections instead of http.Transport.
// The transport silently retries a request when a reused connection fails, which
// would run an at-most-once request twice.
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
	defaultBufferBytes                 = 16 << 10
	defaultDialTimeout                 = time.Second
	defaultMaxIdle                     = 64
	defaultIdleTimeout                 = 30 * time.Second
	defaultAtMostOnceIdleTimeout       = time.Second
	defaultMaxHeaderBytes              = 64 << 10
	maxInformational                   = 8
	unlimited                    int64 = 1 << 62
)

var (
	errHeaderTooLarge = errors.New("response header exceeds the limit")
	// ErrRequestIDMismatch reports a response with another request's ID.
	ErrRequestIDMismatch = errors.New("response belongs to another request")
	// ErrNoRequestID reports a response that lacks a required request ID.
	ErrNoRequestID = errors.New("response has no request ID")
	// ErrNoLength reports a response whose end cannot be distinguished from a truncation.
	ErrNoLength = errors.New("response has neither a Content-Length nor chunked encoding")
	// ErrSwitchedProtocols reports a target that switched protocols.
	ErrSwitchedProtocols = errors.New("target switched protocols")
	// ErrInvalidStatus reports bytes with a status that HTTP does not know, which are no response.
	ErrInvalidStatus = errors.New("response has an invalid status")
	// ErrCallerBody reports that the caller's request body could not be read.
	ErrCallerBody = errors.New("request body could not be read")
)

// Error describes a failed exchange.
type Error struct {
	// Wrote reports that at least one byte of the request was sent, or may have been sent.
	Wrote bool
	// ConnectionClosed reports that the connection was closed or reset after some of the
	// request was sent and before the response began, as happens when the
	// target's process exits.
	ConnectionClosed bool
	// ContextEnded reports that the context ended before the exchange did.
	ContextEnded bool
	// NotConnected reports that no connection could be opened.
	NotConnected bool
	// DialTimedOut reports that a new connection was neither accepted nor refused in
	// time. A single lost packet can cause this.
	DialTimedOut bool
	Err          error
}

func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause of the failure.
func (e *Error) Unwrap() error { return e.Err }

// Config holds a Client's settings.
type Config struct {
	// DialTimeout bounds the time to connect. Default 1 s.
	DialTimeout time.Duration
	// MaxIdle is the number of idle connections kept per address. Default 64.
	MaxIdle int
	// IdleTimeout is how long an idle connection is kept. Default 30 s.
	IdleTimeout time.Duration
	// AtMostOnceIdleTimeout is how long a connection may have been idle to be reused for a
	// request that must not be retried. If the target closes the connection at that
	// moment, the outcome of the request is unknown. Default 1 s.
	AtMostOnceIdleTimeout time.Duration
	// MaxHeaderBytes bounds the header of a response. Default 64 KiB.
	MaxHeaderBytes int64
	// BufferBytes is the size of a connection's read and of its write buffer.
	// Default 16 KiB.
	BufferBytes int
	// EchoHeader is the header in which a response repeats the request's ID.
	// Default X-Request-Id.
	EchoHeader string
	// SkipMismatched discards a response that belongs to another request and reads
	// the next one, which may belong to this request.
	SkipMismatched bool
	// AllowCloseDelimited accepts responses without a length that end when their
	// connection is closed.
	AllowCloseDelimited bool
	// AckTimeout is the TCP_USER_TIMEOUT of Dial's connections, which the client changes
	// during exchanges with long bodies or long waits. Default 0: it is left as it is.
	AckTimeout time.Duration
	// Dial replaces the TCP dialer in tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client sends requests to targets and keeps idle connections for reuse. It is
// safe for concurrent use.
type Client struct {
	config Config
	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
}

// NewClient returns a Client. Zero settings get their defaults.
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
	if c.AtMostOnceIdleTimeout == 0 {
		c.AtMostOnceIdleTimeout = defaultAtMostOnceIdleTimeout
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

// RefusesConnections reports whether an address refuses connections because nothing listens
// on it any more. It dials a new connection: when a process exits, its connections
// break one after the other, so an existing connection that still works proves
// nothing. The new connection is kept for reuse. An address that neither accepts nor
// refuses in time does not count as refusing.
func (c *Client) RefusesConnections(ctx context.Context, address string) bool {
	netConn, err := c.Dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	c.put(address, c.newDirectConn(netConn))
	return false
}

// CloseIdle closes the idle connections to an address whose target has been removed.
func (c *Client) CloseIdle(address string) {
	c.CloseIdleIn(func(pool string) bool { return pool == address })
}

// CloseIdleIn closes the idle connections of the selected pools.
func (c *Client) CloseIdleIn(selected func(pool string) bool) {
	var closing []*conn
	c.mu.Lock()
	for pool, list := range c.idle {
		if selected(pool) {
			closing = append(closing, list...)
			delete(c.idle, pool)
		}
	}
	c.mu.Unlock()
	for _, cn := range closing {
		cn.Close()
	}
}

// Close closes the idle connections. Exchanges in flight continue.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for address, list := range c.idle {
		for _, cn := range list {
			cn.Close()
		}
		delete(c.idle, address)
	}
}

// get returns an idle connection for the request with the given ID, or dials a new one. A request without
// an ID has a connection of its own, because nothing else identifies its response.
func (c *Client) get(ctx context.Context, o Options, id string) (cn *conn, reused bool, err error) {
	if id != "" {
		if cn := c.reuse(o.Pool, id, c.idleLimit(o.AtMostOnce)); cn != nil {
			return cn, true, nil
		}
	}
	if o.Dial != nil {
		netConn, err := o.Dial(ctx)
		if err != nil {
			return nil, false, err
		}
		return newConn(netConn, c.config.BufferBytes), false, nil
	}
	netConn, err := c.Dial(ctx, o.Address)
	if err != nil {
		return nil, false, err
	}
	return c.newDirectConn(netConn), false, nil
}

// newDirectConn returns a connection that the client dialed itself.
func (c *Client) newDirectConn(netConn net.Conn) *conn {
	cn := newConn(netConn, c.config.BufferBytes)
	cn.ackTimeout = c.config.AckTimeout
	return cn
}

// Dial opens a new connection to an address within DialTimeout.
func (c *Client) Dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.DialTimeout)
	defer cancel()
	return c.config.Dial(ctx, "tcp", address)
}

// reuse returns the idle connection that was used last, so that surplus connections
// reach their idle timeout and are closed. It closes a connection whose last request
// had the same ID: a late copy of that response would be indistinguishable from the
// response to this request.
func (c *Client) reuse(address, id string, maxIdle time.Duration) *conn {
	for {
		cn := c.pop(address)
		if cn == nil {
			return nil
		}
		limit := maxIdle
		if cn.keepAlive > 0 {
			limit = min(limit, cn.keepAlive)
		}
		if cn.lastRequestID != id && time.Since(cn.idleSince) <= limit && cn.reusable() {
			return cn
		}
		cn.Close()
	}
}

func (c *Client) pop(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	list[len(list)-1] = nil
	c.idle[address] = list[:len(list)-1]
	return cn
}

// put returns a connection to the idle list after an exchange that completed cleanly.
func (c *Client) put(address string, cn *conn) {
	now := time.Now()
	cn.idleSince = now
	c.mu.Lock()
	list := c.idle[address]
	for len(list) > 0 && now.Sub(list[0].idleSince) > c.config.IdleTimeout {
		list[0].Close()
		list = list[1:]
	}
	keep := !c.closed && len(list) < c.config.MaxIdle
	if keep {
		list = append(list, cn)
	}
	c.idle[address] = list
	c.mu.Unlock()
	if !keep {
		cn.Close()
	}
}

// Sweep closes the idle connections that can't be reused: their idle timeout has passed,
// or the target has closed them or sent unsolicited bytes, which it may do without end.
func (c *Client) Sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for address, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if now.Sub(cn.idleSince) <= c.config.IdleTimeout && cn.reusable() {
				kept = append(kept, cn)
				continue
			}
			cn.Close()
		}
		clear(list[len(kept):])
		c.idle[address] = kept
		if len(kept) == 0 {
			delete(c.idle, address)
		}
	}
}

// idleLimit returns how long a connection may have been idle to be reused for the
// request.
func (c *Client) idleLimit(atMostOnce bool) time.Duration {
	if atMostOnce {
		return c.config.AtMostOnceIdleTimeout
	}
	return c.config.IdleTimeout
}

// bodyless reports whether req has no body to send.
func bodyless(req *http.Request) bool {
	return req.Body == nil || req.Body == http.NoBody
}
