package forward

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// With these settings, keep-alive probes detect within 3 s that the other side of an
// idle connection is gone, for example while a response is pending.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// NewDialer returns a dialer whose connections fail soon after the other side
// stops responding: sent bytes may stay unacknowledged for at most the given time
// (TCP_USER_TIMEOUT), and keep-alive probes detect the failure of an idle connection.
func NewDialer(timeout, userTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var sockoptErr error
			err := c.Control(func(fd uintptr) {
				sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			return errors.Join(err, sockoptErr)
		},
	}
}
