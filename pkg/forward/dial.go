package forward

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Keep-alive probes show within 3 s that an idle peer is gone, as when an answer is
// waited for.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// WatchfulDialer returns a dialer whose connections fail where the other side
// falls silent: sent bytes may stay unacknowledged for at most the given time
// (TCP_USER_TIMEOUT), and keep-alive probes find a peer that is gone.
func WatchfulDialer(timeout, unacknowledged time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
			})
			return errors.Join(err, failed)
		},
	}
}
