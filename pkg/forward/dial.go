package forward

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// NewDialer returns a dialer whose connections fail soon after the other side stops
// responding. Sent bytes may stay unacknowledged, or unsent because the other side does not
// read, for at most the given time (TCP_USER_TIMEOUT). On an idle connection, for example while a
// response is pending, keep-alive probes are sent each second. TCP_USER_TIMEOUT replaces their
// count: the connection fails at the first probe that is due when nothing has been
// received for that time and the previous probe was not answered. One lost probe is enough
// with up to 2 s, two with up to 3 s.
func NewDialer(timeout, userTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return controlUserTimeout(c, userTimeout) },
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT on an open connection.
func setUserTimeout(c net.Conn, d time.Duration) error {
	s, ok := c.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	return controlUserTimeout(raw, d)
}

func controlUserTimeout(c syscall.RawConn, d time.Duration) error {
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	return errors.Join(err, sockoptErr)
}
