package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"crocusramp.dev/crocusramp/internal/blackhole"
)

const (
	testAckTimeout = 900 * time.Millisecond
	testDeadline   = 4 * time.Second
	okResponse     = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
)

// serveOne serves the connections of a target with a small receive buffer.
func serveOne(t *testing.T, handle func(c net.Conn, reader *bufio.Reader)) (address string) {
	t.Helper()
	l, err := (&net.ListenConfig{Control: smallReceiveBuffer}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

func ackTimeoutClient(t *testing.T) (*Client, func() net.Conn) {
	t.Helper()
	var dialed net.Conn
	dialer := NewDialer(time.Second, testAckTimeout)
	c := NewClient(Config{AckTimeout: testAckTimeout, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		var err error
		dialed, err = dialer.DialContext(ctx, network, address)
		return dialed, err
	}})
	t.Cleanup(c.Close)
	return c, func() net.Conn { return dialed }
}

var requests atomic.Int32

// do sends a request and reads its response.
func do(t *testing.T, c *Client, address string, body []byte) error {
	t.Helper()
	r := newRequest(t, address, fmt.Sprint("r", requests.Add(1)))
	if body != nil {
		r.Method, r.Body, r.ContentLength = http.MethodPost, io.NopCloser(bytes.NewReader(body)), int64(len(body))
	}
	ctx, cancel := context.WithTimeout(t.Context(), testDeadline)
	defer cancel()
	response, failure := c.Do(ctx, r, Options{Address: address})
	if failure != nil {
		return failure
	}
	defer response.Close()
	_, err := io.ReadAll(response)
	return err
}

func userTimeout(t *testing.T, c net.Conn) time.Duration {
	return time.Duration(getsockopt(t, c, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)) * time.Millisecond
}

// TestPausingTargetGetsWholeBody guards against cutting off a target that reads a long body
// with pauses: TCP_USER_TIMEOUT also bounds how long the target may keep its window closed.
func TestPausingTargetGetsWholeBody(t *testing.T) {
	t.Parallel()
	const bodyBytes, pause = 1 << 20, 1500 * time.Millisecond
	address := serveOne(t, func(c net.Conn, reader *bufio.Reader) {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		for range 2 {
			time.Sleep(pause)
			_, _ = io.CopyN(io.Discard, r.Body, bodyBytes/4)
		}
		if n, _ := io.Copy(io.Discard, r.Body); n == bodyBytes/2 {
			fmt.Fprint(c, okResponse)
		}
	})
	c, dialed := ackTimeoutClient(t)
	if err := do(t, c, address, make([]byte, bodyBytes)); err != nil {
		t.Fatalf("request with a body of %d bytes: %v", bodyBytes, err)
	}
	if got := userTimeout(t, dialed()); got != testAckTimeout {
		t.Errorf("TCP_USER_TIMEOUT after the exchange is %v, want %v", got, testAckTimeout)
	}
}

// TestLostProbeKeepsPendingRequest guards against ending a request that waits for a long
// response because one keep-alive probe was lost.
func TestLostProbeKeepsPendingRequest(t *testing.T) {
	t.Parallel()
	const untilProbeLost, untilResponse = 1500 * time.Millisecond, 3300 * time.Millisecond
	address := serveOne(t, func(c net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if err := blackhole.Drop(c); err != nil {
			t.Error(err)
		}
		time.Sleep(untilProbeLost)
		if err := blackhole.Restore(c); err != nil {
			t.Error(err)
		}
		time.Sleep(untilResponse - untilProbeLost)
		fmt.Fprint(c, okResponse)
	})
	c, dialed := ackTimeoutClient(t)
	if err := do(t, c, address, nil); err != nil {
		t.Fatalf("request whose response takes %v: %v", untilResponse, err)
	}
	if got := userTimeout(t, dialed()); got != testAckTimeout {
		t.Errorf("TCP_USER_TIMEOUT after the exchange is %v, want %v", got, testAckTimeout)
	}
}

// TestVanishedTargetIsNoticed bounds how long a request hangs on a target that is gone
// without a reset.
func TestVanishedTargetIsNoticed(t *testing.T) {
	for _, test := range []struct {
		name string
		// at is when the target vanishes, from when it got the request on a new connection;
		// 0 is before the second request on a kept connection.
		at        time.Duration
		bodyBytes int
		most      time.Duration
		want      error
	}{
		{"before the request", 0, 0, 1700 * time.Millisecond, syscall.ETIMEDOUT},
		{"before a short body", 0, 4 << 10, 1700 * time.Millisecond, syscall.ETIMEDOUT},
		{"before a long body", 0, 1 << 20, testDeadline + 500*time.Millisecond, context.DeadlineExceeded},
		{"before the response", 100 * time.Millisecond, 0, 3500 * time.Millisecond, syscall.ETIMEDOUT},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			address := serveOne(t, func(c net.Conn, reader *bufio.Reader) {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				if test.at == 0 {
					fmt.Fprint(c, okResponse)
					time.Sleep(100 * time.Millisecond) // the response's acknowledgement
				} else {
					time.Sleep(test.at)
				}
				if err := blackhole.Drop(c); err != nil {
					t.Error(err)
				}
				time.Sleep(10 * time.Second)
			})
			c, _ := ackTimeoutClient(t)
			if test.at == 0 {
				if err := do(t, c, address, nil); err != nil {
					t.Fatal(err)
				}
				time.Sleep(200 * time.Millisecond)
			}
			var body []byte
			if test.bodyBytes > 0 {
				body = make([]byte, test.bodyBytes)
			}
			start := time.Now()
			err := do(t, c, address, body)
			after := time.Since(start)
			t.Logf("after %v: %v", after.Round(time.Millisecond), err)
			if !errors.Is(err, test.want) || after > test.most {
				t.Errorf("after %v: %v, want %v within %v", after, err, test.want, test.most)
			}
		})
	}
}
