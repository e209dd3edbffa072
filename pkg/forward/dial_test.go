package forward

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"crocusramp.dev/crocusramp/internal/blackhole"
)

// dialPair connects a dialer's connection to a target's end. The target's receive buffer is
// small, so that a target that does not read closes its window after a few kilobytes.
func dialPair(t *testing.T, userTimeout time.Duration) (dialed, accepted net.Conn) {
	t.Helper()
	l, err := (&net.ListenConfig{Control: smallReceiveBuffer}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialed, err = NewDialer(time.Second, userTimeout).DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialed.Close(); accepted.Close() })
	return dialed, accepted
}

func smallReceiveBuffer(_, _ string, c syscall.RawConn) error {
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 16<<10)
	})
	return errors.Join(err, sockoptErr)
}

func getsockopt(t *testing.T, c net.Conn, level, option int) int {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	value := 0
	_ = raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), level, option) })
	if err != nil {
		t.Fatal(err)
	}
	return value
}

func TestDialerSocketOptions(t *testing.T) {
	c, _ := dialPair(t, 900*time.Millisecond)
	for _, option := range []struct {
		name          string
		level, option int
		want          int
	}{
		{"SO_KEEPALIVE", unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{"TCP_KEEPIDLE", unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, 1},
		{"TCP_KEEPINTVL", unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, 1},
		{"TCP_KEEPCNT", unix.IPPROTO_TCP, unix.TCP_KEEPCNT, 2},
		{"TCP_USER_TIMEOUT", unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 900},
	} {
		if got := getsockopt(t, c, option.level, option.option); got != option.want {
			t.Errorf("%s is %d, want %d", option.name, got, option.want)
		}
	}
}

// TestUserTimeoutRules checks what the kernel makes of TCP_USER_TIMEOUT on the dialer's
// connections: when it ends a connection whose other side is gone, misses one probe, or
// acknowledges without reading.
func TestUserTimeoutRules(t *testing.T) {
	const stays = 0
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	drop := func(t *testing.T, c net.Conn) {
		if err := blackhole.Drop(c); err != nil {
			t.Fatal(err)
		}
	}
	idleGone := func(t *testing.T, _, target net.Conn) { drop(t, target) }
	oneProbeLost := func(t *testing.T, _, target net.Conn) {
		drop(t, target)
		time.AfterFunc(ms(1500), func() { _ = blackhole.Restore(target) })
	}
	unacknowledged := func(t *testing.T, c, target net.Conn) {
		drop(t, target)
		_, _ = c.Write([]byte("request"))
	}
	unread := func(_ *testing.T, c, _ net.Conn) { _, _ = c.Write(make([]byte, 256<<10)) }
	for _, test := range []struct {
		name        string
		userTimeout time.Duration
		act         func(t *testing.T, c, target net.Conn)
		// The connection ends between min and max; stays means that it is open after max.
		min, max time.Duration
	}{
		{"idle, target gone, 900 ms", ms(900), idleGone, ms(1800), ms(2600)},
		{"idle, target gone, 2.5 s", ms(2500), idleGone, ms(2700), ms(3600)},
		{"idle, target gone, none", 0, idleGone, ms(2700), ms(3600)},
		{"idle, one probe lost, 900 ms", ms(900), oneProbeLost, ms(1800), ms(2600)},
		{"idle, one probe lost, 2.5 s", ms(2500), oneProbeLost, stays, ms(5000)},
		{"idle, one probe lost, none", 0, oneProbeLost, stays, ms(5000)},
		{"unacknowledged data, 900 ms", ms(900), unacknowledged, ms(700), ms(1400)},
		{"unacknowledged data, 2.5 s", ms(2500), unacknowledged, ms(2200), ms(3200)},
		{"unacknowledged data, none", 0, unacknowledged, stays, ms(5000)},
		{"unread data, 900 ms", ms(900), unread, ms(700), ms(2000)},
		{"unread data, 2.5 s", ms(2500), unread, ms(2200), ms(4500)},
		{"unread data, none", 0, unread, stays, ms(5000)},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c, target := dialPair(t, test.userTimeout)
			_ = c.SetReadDeadline(time.Now().Add(test.max))
			start := time.Now()
			test.act(t, c, target)
			_, err := c.Read(make([]byte, 1))
			after := time.Since(start)
			t.Logf("after %v: %v", after.Round(time.Millisecond), err)
			if open := errors.Is(err, context.DeadlineExceeded) || isTimeout(err); test.min == stays {
				if !open {
					t.Errorf("the connection ended after %v: %v", after, err)
				}
			} else if !errors.Is(err, syscall.ETIMEDOUT) || after < test.min {
				t.Errorf("after %v: %v, want ETIMEDOUT between %v and %v", after, err, test.min, test.max)
			}
		})
	}
}

// isTimeout reports whether a deadline of the connection passed; ETIMEDOUT also calls itself a timeout.
func isTimeout(err error) bool {
	var netErr net.Error
	return !errors.Is(err, syscall.ETIMEDOUT) && errors.As(err, &netErr) && netErr.Timeout()
}
