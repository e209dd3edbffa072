package conntrack

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"crocusramp.dev/crocusramp/pkg/capacity"
)

// Config holds the settings of a Tracker. Bounds that are zero or nil are absent.
type Config struct {
	// Name is the first part of the names of the metrics.
	Name string
	// MaxConns is the largest number of connections.
	MaxConns int
	// Sockets is the budget of which each connection takes SocketsPerConn.
	Sockets        *capacity.Budget
	SocketsPerConn int64
	// MaxHeaderBytes returns the largest size of a request's header. A connection is closed if its header
	// exceeds the limit by more than a buffer.
	MaxHeaderBytes func() int
	// Headers is the budget for the memory of headers that are being read.
	Headers *capacity.Budget
	Metrics metrics.Registry
	Log     zerolog.Logger
}

// Tracker tracks the connections of one http.Server, and bounds them.
type Tracker struct {
	config   Config
	counters counters

	mu       sync.Mutex
	conns    map[*Conn]struct{}
	loggedAt time.Time
}

// counters count the connections that a Tracker closes: because they were idle for too long, to make room for
// others, at once because there is no room, and because of a header that is too long.
type counters struct{ expired, evicted, refused, header metrics.Counter }

// NewTracker returns a Tracker that registers its metrics.
func NewTracker(c Config) *Tracker {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(c.Name+"."+name, c.Metrics) }
	return &Tracker{config: c, conns: map[*Conn]struct{}{}, counters: counters{
		expired: counter("connections_expired"), evicted: counter("connections_evicted"),
		refused: counter("connections_refused"), header: counter("headers_too_long"),
	}}
}

// Listener returns a listener whose connections are tracked. l must be a TCP listener.
func (t *Tracker) Listener(l net.Listener) net.Listener { return listener{l, t} }

type listener struct {
	net.Listener
	tracker *Tracker
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := nc.(*net.TCPConn)
		if !ok {
			_ = nc.Close()
			return nil, fmt.Errorf("accepted a %T, want a TCP connection", nc)
		}
		c := &Conn{TCPConn: tcp, tracker: l.tracker, accepted: time.Now()}
		if l.tracker.add(c) {
			return c, nil
		}
		_ = tcp.Close() // nothing was read or written
	}
}

// ConnState is the http.Server.ConnState hook.
func (t *Tracker) ConnState(nc net.Conn, s http.ConnState) {
	c, ok := unwrap(nc)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		c.begin(time.Now())
	case http.StateIdle:
		c.rest(time.Now())
	case http.StateClosed, http.StateHijacked:
		t.remove(c)
	}
}

// unwrap returns the tracked connection below others, such as those of TLS.
func unwrap(nc net.Conn) (*Conn, bool) {
	for {
		if c, ok := nc.(*Conn); ok {
			return c, true
		}
		wrapper, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			return nil, false
		}
		nc = wrapper.NetConn()
	}
}

// begin records the start of a request.
func (c *Conn) begin(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseHeader()
	c.idleFor = 0
	if !c.idleSince.IsZero() {
		c.idleFor = now.Sub(c.idleSince)
	}
	c.state = stateActive
	c.requests++
	if c.expired || c.evicted {
		c.expired, c.evicted = false, false
		_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
}

// rest records the end of a request.
func (c *Conn) rest(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.idleSince, c.header = stateIdle, now, headerSize{}
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
			t.counters.expired.Inc(1)
		}
	}
}
