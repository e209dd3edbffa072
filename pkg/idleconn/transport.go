// Package idleconn provides an http.Transport that gives up idle connections that may have
// gone silent.
package idleconn

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// minSilence is how long a call must have waited in vain for the other connections to its
// server to be suspected. Shorter calls time out on healthy links as well.
const minSilence = 250 * time.Millisecond

// Transport is an http.Transport that closes idle connections that may have gone silent.
// http.Transport closes the connection of a call that timed out and uses another idle
// one for the next call. If all of them went silent at once, as behind a middlebox that
// lost its state, each would cost a time-out.
type Transport struct {
	*http.Transport
	mu    sync.Mutex
	conns map[string]map[*trackedConn]struct{}
}

// trackedConn is an open connection.
type trackedConn struct {
	net.Conn
	transport *Transport
	address   string
	// calls is the number of calls that use the connection, 0 or 1; the end of one call may be
	// counted after the start of the next.
	calls atomic.Int32
	// heard is when something was last received, as a duration since epoch.
	heard atomic.Int64
}

var epoch = time.Now()

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.heard.Store(int64(time.Since(epoch)))
	}
	if errors.Is(err, syscall.ETIMEDOUT) {
		// http.Transport may repeat the call on another connection by itself.
		c.transport.closeSilent(c.address, time.Since(epoch)-minSilence)
	}
	return n, err
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.transport.mu.Lock()
	if conns := c.transport.conns[c.address]; conns != nil {
		delete(conns, c)
		if len(conns) == 0 {
			delete(c.transport.conns, c.address)
		}
	}
	c.transport.mu.Unlock()
	return c.Conn.Close()
}

// NewTransport returns a Transport that uses t, whose DialContext must be set.
func NewTransport(t *http.Transport) *Transport {
	out := &Transport{Transport: t, conns: map[string]map[*trackedConn]struct{}{}}
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		netConn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return out.add(netConn, address), nil
	}
	return out
}

// add registers an open connection.
func (t *Transport) add(netConn net.Conn, address string) *trackedConn {
	c := &trackedConn{Conn: netConn, transport: t, address: address}
	c.heard.Store(int64(time.Since(epoch)))
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns[address] == nil {
		t.conns[address] = map[*trackedConn]struct{}{}
	}
	t.conns[address][c] = struct{}{}
	return c
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	start := time.Since(epoch)
	var used atomic.Pointer[trackedConn]
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			netConn := info.Conn
			if c, ok := netConn.(*tls.Conn); ok {
				netConn = c.NetConn()
			}
			if c, ok := netConn.(*trackedConn); ok {
				c.calls.Add(1)
				used.Store(c)
			}
		},
		PutIdleConn: func(error) {
			if c := used.Load(); c != nil {
				c.calls.Add(-1)
			}
		},
	})
	response, err := t.Transport.RoundTrip(r.WithContext(ctx))
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) && time.Since(epoch)-start >= minSilence {
		t.closeSilent(r.URL.Host, start)
	}
	return response, err
}

// closeSilent closes the idle connections to an address on which nothing was received since the
// given time.
func (t *Transport) closeSilent(address string, since time.Duration) {
	var silent []*trackedConn
	t.mu.Lock()
	for c := range t.conns[address] {
		if c.calls.Load() == 0 && time.Duration(c.heard.Load()) < since {
			silent = append(silent, c)
		}
	}
	t.mu.Unlock()
	for _, c := range silent {
		_ = c.Close()
	}
}
