package tunnel

import (
	"net"
	"sync"
	"syscall"
	"time"

	"crocusramp.dev/crocusramp/pkg/forward"
)

// exchanges adapts the TCP_USER_TIMEOUT of a carried connection to a target to the exchanges on it, which the VM
// at the other end does for its direct connections. It tells them apart by the direction of the bytes.
type exchanges struct {
	conn    net.Conn
	timeout time.Duration

	mu    sync.Mutex
	guard *forward.AckGuard // nil between exchanges
	sent  int               // bytes to the target in this exchange
}

// sending is called before n bytes are written to the target.
func (e *exchanges) sending(n int) {
	if e.timeout == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.guard == nil {
		e.guard, e.sent = forward.NewAckGuard(e.conn, e.timeout, 0), 0
	}
	short := e.sent < forward.LongBodyBytes
	if e.sent += n; short && e.sent >= forward.LongBodyBytes {
		e.guard.SendsLongBody()
	}
}

// received is called when bytes of the target have arrived. A target may respond before it has read a long body.
func (e *exchanges) received() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.guard != nil && (e.sent < forward.LongBodyBytes || allAcknowledged(e.conn)) {
		e.end()
	}
}

// close is called when the connection is no longer carried.
func (e *exchanges) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end()
}

func (e *exchanges) end() {
	e.guard.End()
	e.guard = nil
}

// allAcknowledged reports whether the other side has acknowledged all bytes that were written.
func allAcknowledged(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	info, err := tcpInfo(s)
	return err == nil && info.Unacked == 0 && info.Notsent_bytes == 0
}
