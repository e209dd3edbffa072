package conntrack

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// evictDivisor is the part of the connections that is kept free for those that arrive while others are
	// being closed.
	evictDivisor = 16
	// minTransferTime is how long a body or a response may take before its connection may be evicted.
	minTransferTime = time.Second
	// logPeriod is the time between two log lines about connections that were closed to make room.
	logPeriod = time.Second
)

// add tracks a connection. It evicts others if there is little room, and returns false if there is none.
func (t *Tracker) add(c *Conn) bool {
	t.mu.Lock()
	open := len(t.conns)
	t.mu.Unlock()
	limit := cmp.Or(t.config.MaxConns, math.MaxInt)
	admitted := open < limit && t.config.Sockets.Take(t.config.SocketsPerConn)
	if !admitted || open >= limit-limit/evictDivisor {
		t.evict(max(1, limit/evictDivisor/2))
	}
	if !admitted {
		t.counters.refused.Inc(1)
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[c] = struct{}{}
	return true
}

// remove ends the tracking of a connection.
func (t *Tracker) remove(c *Conn) {
	c.mu.Lock()
	first := !c.untracked
	c.untracked = true
	c.releaseHeader()
	c.mu.Unlock()
	if !first {
		return
	}
	t.config.Sockets.Release(t.config.SocketsPerConn)
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// candidate is a connection that may be evicted.
type candidate struct {
	conn *Conn
	// rank orders the candidates by what their callers lose, and since those of one rank by age.
	rank   int
	since  time.Time
	header int64
}

// The ranks of candidates, the first to be evicted first.
const (
	rankUnread     = iota // no request was read yet
	rankIdle              // the caller may be about to send a request
	rankReceiving         // the caller has not sent its body yet
	rankDelivering        // the caller has not read its response yet
)

// candidate returns c as a candidate. ok is false if a request is in flight or about to be read.
func (c *Conn) candidate(now time.Time) (k candidate, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return k, false
	}
	switch c.state {
	case stateNew:
		return candidate{c, rankUnread, c.accepted, 0}, true
	case stateReading:
		return candidate{c, rankUnread, c.readingSince, c.headerTaken}, true
	case stateIdle:
		return candidate{c, rankIdle, c.idleSince, 0}, true
	case stateReceiving:
		return candidate{c, rankReceiving, c.receivingSince, 0}, now.Sub(c.receivingSince) >= minTransferTime
	case stateDelivering:
		return candidate{c, rankDelivering, c.deliveringSince, 0}, now.Sub(c.deliveringSince) >= minTransferTime
	default:
		return k, false
	}
}

// candidates returns the connections that may be evicted, the first to be evicted first.
func (t *Tracker) candidates() []candidate {
	var out []candidate
	now := time.Now()
	for _, c := range t.list() {
		if k, ok := c.candidate(now); ok {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.rank, b.rank), a.since.Compare(b.since)) })
	return out
}

// evict closes up to n connections to make room for others.
func (t *Tracker) evict(n int) {
	var evicted []candidate
	for _, k := range t.candidates() {
		if len(evicted) == n {
			break
		}
		if k.conn.evict() {
			evicted = append(evicted, k)
		}
	}
	t.report(evicted, "too many connections")
}

// report counts and logs connections that were evicted.
func (t *Tracker) report(evicted []candidate, reason string) {
	t.counters.evicted.Inc(int64(len(evicted)))
	now := time.Now()
	t.mu.Lock()
	log := now.Sub(t.loggedAt) >= logPeriod
	if log {
		t.loggedAt = now
	}
	open := len(t.conns)
	t.mu.Unlock()
	if !log {
		return
	}
	e := t.config.Log.Warn().Str("listener", t.config.Name).Str("reason", reason).Int("evicted", len(evicted)).Int("open", open).Int("limit", t.config.MaxConns).
		Int64("evicted_total", t.counters.evicted.Count()).Int64("refused_total", t.counters.refused.Count())
	if len(evicted) > 0 {
		e.Dur("oldest_ms", now.Sub(evicted[0].since))
	}
	e.Msg("connections closed to make room")
}

// evict makes the connection's reads fail, and its writes if a response is being written; net/http then closes it.
// It reports whether it did so. A connection on which the next request is waiting to be read is left alone.
func (c *Conn) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	expired := time.Unix(1, 0)
	switch c.state {
	case stateIdle:
		return c.endRead()
	case stateNew, stateReading, stateReceiving:
		_ = c.SetReadDeadline(expired) // fails only on a closed connection
	case stateDelivering:
		_ = c.SetDeadline(expired)
	default:
		return false
	}
	c.evicted = true
	return true
}

// Receiving records that the request's body is being read, until Received. Meanwhile the connection may be closed to
// make room for others. c may be nil, here and in the functions below.
func (c *Conn) Receiving() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateActive {
		c.state, c.receivingSince = stateReceiving, time.Now()
	}
}

// Received records that the request's body was read.
func (c *Conn) Received() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != stateReceiving {
		return
	}
	c.state = stateActive
	if c.evicted {
		c.evicted = false
		_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
}

// Delivering records that the response is being written from now on. Until it has been written, the connection may
// be closed to make room for others.
func (c *Conn) Delivering() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.deliveringSince = stateDelivering, time.Now()
}

// Evicted reports whether the connection is being closed to make room for others.
func (c *Conn) Evicted() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}
