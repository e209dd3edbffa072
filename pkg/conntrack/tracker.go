package conntrack

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Tracker tracks the connections of one http.Server.
type Tracker struct {
	// expired counts the connections that were closed because they were idle for too long.
	expired metrics.Counter

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// NewTracker returns a Tracker that registers its counters in r.
func NewTracker(r metrics.Registry) *Tracker {
	return &Tracker{conns: map[*Conn]struct{}{}, expired: metrics.GetOrRegisterCounter("callers.connections_expired", r)}
}

// Listener returns a listener whose connections are tracked. l must be a TCP listener.
func (t *Tracker) Listener(l net.Listener) net.Listener { return listener{l} }

type listener struct{ net.Listener }

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		_ = c.Close()
		return nil, fmt.Errorf("accepted a %T, want a TCP connection", c)
	}
	return &Conn{TCPConn: tcp, accepted: time.Now()}, nil
}

// ConnState is the http.Server.ConnState hook.
func (t *Tracker) ConnState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	switch s {
	case http.StateNew:
		t.mu.Lock()
		t.conns[c] = struct{}{}
		t.mu.Unlock()
	case http.StateActive:
		c.begin(time.Now())
	case http.StateIdle:
		c.rest(time.Now())
	case http.StateClosed, http.StateHijacked:
		t.mu.Lock()
		delete(t.conns, c)
		t.mu.Unlock()
	}
}

// begin records the start of a request.
func (c *Conn) begin(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleFor = 0
	if !c.idleSince.IsZero() {
		c.idleFor = now.Sub(c.idleSince)
	}
	c.state = stateActive
	c.requests++
	if c.expired {
		c.expired = false
		_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
}

// rest records the end of a request.
func (c *Conn) rest(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.idleSince = stateIdle, now
}

// Drain closes the connections that are idle and returns the number of connections that carry a request,
// from its first byte to the end of its response, or that are not closed yet. It is called repeatedly
// until there are none.
func (t *Tracker) Drain() int {
	n := 0
	for _, c := range t.list() {
		c.mu.Lock()
		if c.state == stateIdle {
			c.endRead()
		}
		if c.state != stateNew {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

// count returns the number of connections in a state.
func (t *Tracker) count(s state) int {
	n := 0
	for _, c := range t.list() {
		c.mu.Lock()
		if c.state == s {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

func (t *Tracker) list() []*Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*Conn, 0, len(t.conns))
	for c := range t.conns {
		out = append(out, c)
	}
	return out
}

// CloseExpired closes the connections that have been idle for longer than limit at now and than their
// callers rely on, except those on which a request has begun to arrive.
func (t *Tracker) CloseExpired(limit time.Duration, now time.Time) {
	for _, c := range t.list() {
		if c.expire(limit, now) {
			t.expired.Inc(1)
		}
	}
}
