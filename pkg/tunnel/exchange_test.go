package tunnel

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"crocusramp.dev/crocusramp/pkg/forward"
	"crocusramp.dev/crocusramp/pkg/peek"
)

// testAckTimeout is the TCP_USER_TIMEOUT of the connections to targets.
const testAckTimeout = 300 * time.Millisecond

// newGuardedFixture returns a fixture whose connections to targets have testAckTimeout.
func newGuardedFixture(t testing.TB, target string) *fixture {
	dialer := forward.NewDialer(testTimeout/2, testAckTimeout)
	return newFixture(t, target, func(c *ServerConfig) { c.Dial, c.AckTimeout = dialer.DialContext, testAckTimeout })
}

// TestUploadThroughPeerOutlastsQueue guards against uploads of a VM without links that are given up while they wait
// in a target's queue: the target reads the body once it has a slot, and the peer that carries the connection takes
// the closed window for a dead target (RECOVER).
func TestUploadThroughPeerOutlastsQueue(t *testing.T) {
	const uploads = 2 // one after the other on the same connection
	for _, size := range []int{1 << 10, 31 << 10, 32 << 10, 512 << 10, 8 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			target := listen(t, func(c net.Conn) {
				for range uploads {
					time.Sleep(4 * testAckTimeout) // in the queue
					if _, err := io.CopyN(io.Discard, c, int64(size)); err != nil {
						return
					}
					_, _ = io.WriteString(c, "ok")
				}
				_, _ = io.Copy(io.Discard, c)
			})
			c := newGuardedFixture(t, target).dial(t)
			defer c.Close()
			for range uploads {
				if _, err := io.Copy(c, bytes.NewReader(make([]byte, size))); err != nil {
					t.Fatal(err)
				}
				if _, err := io.ReadFull(c, make([]byte, len("ok"))); err != nil {
					t.Fatal(err)
				}
			}
		})
	}
}

// TestCarriedConnectionHasAckTimeoutAgain guards against connections on which a dead target is noticed late,
// because an earlier exchange on them had a long body.
func TestCarriedConnectionHasAckTimeoutAgain(t *testing.T) {
	target := listen(t, func(c net.Conn) {
		for _, size := range []int{512 << 10, 1} {
			if _, err := io.CopyN(io.Discard, c, int64(size)); err != nil {
				return
			}
			_, _ = io.WriteString(c, "ok")
		}
		_, _ = io.Copy(io.Discard, c)
	})
	var dialed net.Conn
	f := newFixture(t, target, func(c *ServerConfig) {
		dialer := forward.NewDialer(testTimeout/2, testAckTimeout)
		c.AckTimeout = testAckTimeout
		c.Dial = func(ctx context.Context, network, address string) (_ net.Conn, err error) {
			dialed, err = dialer.DialContext(ctx, network, address)
			return dialed, err
		}
	})
	c := f.dial(t)
	defer c.Close()
	for _, size := range []int{512 << 10, 1} {
		if _, err := io.Copy(c, bytes.NewReader(make([]byte, size))); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(c, make([]byte, len("ok"))); err != nil {
			t.Fatal(err)
		}
	}
	if got := userTimeout(t, dialed); got != testAckTimeout {
		t.Errorf("TCP_USER_TIMEOUT %v after the exchanges, want %v", got, testAckTimeout)
	}
}

// TestTunnelKeepsItsOwnTimeouts guards against tunnels that end while the peer reads slowly, because the client
// sets the TCP_USER_TIMEOUT of direct connections on them.
func TestTunnelKeepsItsOwnTimeouts(t *testing.T) {
	f := newFixture(t, httpTarget(t), nil)
	client := forward.NewClient(forward.Config{AckTimeout: testAckTimeout})
	t.Cleanup(client.Close)
	exchange := func() net.Conn {
		var tunnelled net.Conn
		req, err := http.NewRequest(http.MethodPost, "http://target/", bytes.NewReader(make([]byte, 2*forward.LongBodyBytes)))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Request-Id", "r-1")
		resp, failure := client.Do(t.Context(), req, forward.Options{Address: "target", Dial: func(ctx context.Context) (_ net.Conn, err error) {
			tunnelled, err = f.dialer.Dial(ctx, f.address, testTarget)
			return tunnelled, err
		}})
		if failure != nil {
			t.Fatal(failure)
		}
		_, _ = io.Copy(io.Discard, resp)
		resp.Close()
		return tunnelled.(*conn).tcp
	}
	// The client closes a connection if the response has been read before the goroutine that sends the request has
	// ended. Another exchange is needed then.
	const maxExchanges = 20
	for range maxExchanges {
		c := exchange()
		if peek.Look(c) == peek.Closed {
			continue
		}
		if got := userTimeout(t, c); got != 0 {
			t.Errorf("TCP_USER_TIMEOUT %v on a tunnel, want none", got)
		}
		return
	}
	t.Errorf("none of %d connections was kept", maxExchanges)
}

// userTimeout returns the TCP_USER_TIMEOUT of a connection.
func userTimeout(t *testing.T, c net.Conn) time.Duration {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var ms int
	var optErr error
	if err := raw.Control(func(fd uintptr) { ms, optErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) }); err != nil || optErr != nil {
		t.Fatal(err, optErr)
	}
	return time.Duration(ms) * time.Millisecond
}
