package tunnel

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// watchPeriod is how often the connections are checked.
	watchPeriod = 250 * time.Millisecond
	// silenceLimit is how long the other side may acknowledge nothing while it should.
	silenceLimit = 2250 * time.Millisecond
	// minUnanswered is the number of probes or retransmissions that must have been unanswered by then.
	minUnanswered = 2
	// tcpStateClose is the kernel's TCP_CLOSE, the state of a connection that was reset.
	tcpStateClose = 7
)

// watch closes connections whose other side has lost power or its links. TCP_USER_TIMEOUT would do that
// too, but also ends a connection whose other side only reads slowly: it counts the time without window
// space even if the other side answers each probe.
//
// The zero value is ready for use. A goroutine runs while there are connections.
type watch struct {
	// closeReset also closes connections that were reset. Nobody may be reading from them.
	closeReset bool

	mu      sync.Mutex
	conns   map[*net.TCPConn]io.Closer
	running bool
}

// add watches c. If its other side is gone, the watch closes closer.
func (w *watch) add(c *net.TCPConn, closer io.Closer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conns == nil {
		w.conns = map[*net.TCPConn]io.Closer{}
	}
	w.conns[c] = closer
	if !w.running {
		w.running = true
		go w.run()
	}
}

func (w *watch) remove(c *net.TCPConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, c)
}

// run checks the connections until there are none left.
func (w *watch) run() {
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	for range ticker.C {
		if !w.check() {
			return
		}
	}
}

// check closes the dead connections. It returns false if no connection is left to check.
func (w *watch) check() bool {
	dead, running := w.takeDead()
	for _, c := range dead {
		c.Close()
	}
	return running
}

// takeDead removes the dead connections. running is false if no other connection is left.
func (w *watch) takeDead() (dead []io.Closer, running bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c, closer := range w.conns {
		if info, err := tcpInfo(c); err != nil || silent(info) || w.closeReset && info.State == tcpStateClose {
			dead = append(dead, closer)
			delete(w.conns, c)
		}
	}
	w.running = len(w.conns) > 0
	return dead, w.running
}

// silent reports whether the other side of a connection is gone: it acknowledges neither data nor probes.
func silent(i *unix.TCPInfo) bool {
	return time.Duration(i.Last_ack_recv)*time.Millisecond >= silenceLimit &&
		max(i.Probes, i.Retransmits) >= minUnanswered
}

// wasReset reports whether a connection on which a read returned io.EOF was reset. The kernel reports a
// reset once: if a concurrent write got the error, reads see a clean end. It holds only while this side has
// not closed its sending half.
func wasReset(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	info, err := tcpInfo(s)
	return err != nil || info.State == tcpStateClose
}

// tcpInfo returns the kernel's state of a connection.
func tcpInfo(c syscall.Conn) (info *unix.TCPInfo, _ error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err == nil {
		err = infoErr
	}
	return info, err
}
