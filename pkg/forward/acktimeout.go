package forward

import (
	"net"
	"sync"
	"time"
)

const (
	// pendingAckTimeout is the TCP_USER_TIMEOUT while a response is pending. It lies between
	// the second and the third keep-alive probe, so that two probes in succession must be
	// lost.
	pendingAckTimeout = 2500 * time.Millisecond
	// pendingAfter is when an exchange gets pendingAckTimeout: AckTimeout has ended a
	// connection without an acknowledgement by then, and no keep-alive probe can have been
	// counted as lost.
	pendingAfter = 1700 * time.Millisecond
	// LongBodyBytes is the size from which a body may not fit into the receive buffer of a
	// target that does not read it yet. Linux counts the time with a closed window towards
	// TCP_USER_TIMEOUT, also if the window opens a little in between, so that a
	// request with such a body has none; its deadline bounds it.
	LongBodyBytes = 32 << 10
	noAckTimeout  = 0
)

// AckGuard adapts the TCP_USER_TIMEOUT of a connection to one exchange on it. A nil *AckGuard does nothing.
type AckGuard struct {
	conn    net.Conn
	timeout time.Duration

	mu             sync.Mutex
	pending        *time.Timer
	changed, ended bool
}

// NewAckGuard begins an exchange on a connection with a TCP_USER_TIMEOUT. It replaces the time-out where that would
// end a healthy connection: at once for a long body, whose length is negative if it is unknown, and
// once the response has been pending for long.
func NewAckGuard(c net.Conn, timeout time.Duration, bodyBytes int64) *AckGuard {
	g := &AckGuard{conn: c, timeout: timeout}
	if bodyBytes < 0 || bodyBytes >= LongBodyBytes {
		g.SendsLongBody()
		return g
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pending = time.AfterFunc(pendingAfter, func() { g.set(pendingAckTimeout) })
	return g
}

// SendsLongBody removes the time-out for the rest of the exchange, whose body turned out to be long.
func (g *AckGuard) SendsLongBody() {
	g.stopPending()
	g.set(noAckTimeout)
}

func (g *AckGuard) stopPending() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pending != nil {
		g.pending.Stop()
	}
}

func (g *AckGuard) set(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.ended {
		g.changed = setUserTimeout(g.conn, d) == nil
	}
}

// End ends the exchange. It reports whether the connection has its time-out again.
func (g *AckGuard) End() bool {
	if g == nil {
		return true
	}
	g.stopPending()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	return !g.changed || setUserTimeout(g.conn, g.timeout) == nil
}
