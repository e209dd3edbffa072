package forward

import (
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
	// longBodyBytes is the size from which a body may not fit into the receive buffer of a
	// target that does not read it yet. Linux counts the time with a closed window towards
	// TCP_USER_TIMEOUT, also if the window opens a little in between, so that a
	// request with such a body has none; its deadline bounds it.
	longBodyBytes = 32 << 10
	noAckTimeout  = 0
)

// ackTimeouts adapts the TCP_USER_TIMEOUT of a connection to the exchange on it.
type ackTimeouts struct {
	mu             sync.Mutex
	pending        *time.Timer
	changed, ended bool
}

// relaxAckTimeout replaces AckTimeout where it would end a healthy connection: at once for
// a long body, and once the response has been pending for long.
func (x *exchange) relaxAckTimeout(bodyBytes int64) {
	switch {
	case x.client.config.AckTimeout == 0:
	case bodyBytes < 0 || bodyBytes >= longBodyBytes:
		x.setAckTimeout(noAckTimeout)
	default:
		x.ackTimeouts.pending = time.AfterFunc(pendingAfter, func() { x.setAckTimeout(pendingAckTimeout) })
	}
}

func (x *exchange) setAckTimeout(d time.Duration) {
	a := &x.ackTimeouts
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ended {
		a.changed = setUserTimeout(x.conn.Conn, d) == nil
	}
}

// restoreAckTimeout ends relaxAckTimeout. It reports whether the connection has AckTimeout
// again.
func (x *exchange) restoreAckTimeout() bool {
	a := &x.ackTimeouts
	if a.pending != nil {
		a.pending.Stop()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	return !a.changed || setUserTimeout(x.conn.Conn, x.client.config.AckTimeout) == nil
}
