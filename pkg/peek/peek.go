// Package peek looks at what a connection has received without reading it.
package peek

import (
	"crypto/tls"
	"errors"
	"net"
	"syscall"
)

// State is what a connection has received that was not read yet.
type State uint8

const (
	// Unknown states are those of connections that can't be looked at.
	Unknown State = iota
	// Nothing: the other side is silent.
	Nothing
	// Bytes were sent.
	Bytes
	// End: the other side has ended or reset the connection.
	End
)

// Look returns the state of a connection. It never blocks and costs one system call.
func Look(c net.Conn) State {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return End // it is closed
	}
	state := End
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
			state = Nothing
		case err == nil && n > 0:
			state = Bytes
		}
	})
	if err != nil {
		return End
	}
	return state
}
