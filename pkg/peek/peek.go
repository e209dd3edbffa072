// Package peek inspects the data of a connection that was not read or not sent yet.
package peek

import (
	"crypto/tls"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State reports whether a connection has unread data or was closed.
type State uint8

const (
	// Unknown: the connection cannot be inspected.
	Unknown State = iota
	// Empty: no unread data, and the connection is open.
	Empty
	// Readable: there is unread data.
	Readable
	// Closed: the connection was closed or reset.
	Closed
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
		return Closed // the connection is closed
	}
	state := Closed
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
			state = Empty
		case err == nil && n > 0:
			state = Readable
		}
	})
	if err != nil {
		return Closed
	}
	return state
}

// Unsent returns the number of bytes that were written and not acknowledged by the other side. It is 0 if
// the connection cannot be inspected.
func Unsent(c syscall.Conn) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0 // the connection is closed
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		if queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			n = queued
		}
	})
	if err != nil {
		return 0
	}
	return n
}
