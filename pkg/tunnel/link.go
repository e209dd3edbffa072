package tunnel

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// copyBufferBytes is the size of the buffer of each direction.
	copyBufferBytes = 8 << 10
	// halfOpenTimeout is how long a connection may be silent after one of its sides has finished sending.
	halfOpenTimeout = 5 * time.Second
)

// link is one carried connection.
type link struct {
	caller    net.Conn // the VM that asked for the tunnel
	callerTCP *net.TCPConn
	target    net.Conn
	exchanges exchanges
	counters  *counters
	// endSent is set before the sending half of the target's connection is closed.
	endSent atomic.Bool
	// halfOpen is set when one side has finished sending.
	halfOpen atomic.Bool
}

// newLink prepares the connections that the link carries bytes between.
func newLink(caller, target net.Conn, ackTimeout time.Duration, c *counters) (*link, error) {
	tcp, ok := tcpConn(caller)
	if !ok {
		return nil, errors.New("not a TCP connection")
	}
	if err := setUp(tcp); err != nil {
		return nil, err
	}
	return &link{caller: caller, callerTCP: tcp, target: target, exchanges: exchanges{conn: target, timeout: ackTimeout}, counters: c}, nil
}

// answer tells the caller that the tunnel is open and clears the HTTP server's deadlines.
func (l *link) answer() error {
	if err := l.caller.SetDeadline(time.Now().Add(setupTimeout)); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(l.caller, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\n", headerResult, resultOpened); err != nil {
		return err
	}
	return l.caller.SetDeadline(time.Time{})
}

// run carries bytes both ways until both sides have finished or one has failed. early are bytes of the
// caller that were already read.
func (l *link) run(early []byte) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.copyToTarget(early)
	}()
	l.copyToCaller()
	<-done
	l.exchanges.close()
	l.Close()
}

// Close closes both connections. The caller's is reset unless the target's stream ended cleanly.
func (l *link) Close() error {
	return errors.Join(l.callerTCP.Close(), l.target.Close())
}

// copyToTarget carries the caller's bytes. A caller that leaves must reach the target.
func (l *link) copyToTarget(early []byte) {
	if len(early) > 0 {
		l.exchanges.sending(len(early))
		if _, err := l.target.Write(early); err != nil {
			return
		}
		l.counters.bytesToTarget.Inc(int64(len(early)))
	}
	err := l.copy(l.target, l.caller, l.counters.bytesToTarget, l.exchanges.sending)
	switch {
	case err == nil:
		l.endSent.Store(true)
		err = closeWrite(l.target)
		l.setHalfOpen(l.target)
	case errors.Is(err, errWrite):
		// The target may have sent a response before it stopped reading. copyToCaller delivers it and
		// ends the link.
		return
	}
	if err != nil {
		l.Close()
	}
}

// copyToCaller carries the target's bytes. A stream that ended abnormally must not look complete, so the
// caller's connection is reset then.
func (l *link) copyToCaller() {
	err := l.copy(l.caller, l.target, l.counters.bytesToCaller, func(int) { l.exchanges.received() })
	if err != nil || !l.endSent.Load() && wasReset(l.target) {
		l.Close()
		return
	}
	// The kernel delivers the rest after Close from here on.
	if err := errors.Join(closeWrite(l.caller), l.callerTCP.SetLinger(-1)); err != nil {
		l.Close()
		return
	}
	l.setHalfOpen(l.caller)
}

// setHalfOpen bounds the silence of the side that may still send.
func (l *link) setHalfOpen(sender net.Conn) {
	l.halfOpen.Store(true)
	l.extend(sender)
}

func (l *link) extend(sender net.Conn) { _ = sender.SetReadDeadline(time.Now().Add(halfOpenTimeout)) }

// errWrite marks errors of the side that receives.
var errWrite = errors.New("write failed")

// copy copies until src ends, for which it returns nil, or one side fails. It calls before for the bytes that it
// writes next. It uses a small buffer of its own: io.Copy would splice through a pipe of 64 KiB and two more file
// descriptors.
func (l *link) copy(dst, src net.Conn, count metrics.Counter, before func(n int)) error {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := src.Read(buffer)
		if n > 0 {
			before(n)
			if _, err := dst.Write(buffer[:n]); err != nil {
				return fmt.Errorf("%w: %w", errWrite, err)
			}
			count.Inc(int64(n))
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if l.halfOpen.Load() {
			l.extend(src)
		}
	}
}
