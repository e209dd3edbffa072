package tunnel

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"crocusramp.dev/crocusramp/internal/child"
	"crocusramp.dev/crocusramp/pkg/peer"
)

func TestHalfClose(t *testing.T) {
	t.Run("of the caller", func(t *testing.T) {
		f := newFixture(t, listen(t, func(c net.Conn) {
			request, _ := io.ReadAll(c)
			io.WriteString(c, "got "+string(request))
		}), nil)
		c := f.dial(t)
		defer c.Close()
		io.WriteString(c, "question")
		if err := c.(*conn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(c); string(got) != "got question" || err != nil {
			t.Errorf("got %q, %v", got, err)
		}
	})
	t.Run("of the target", func(t *testing.T) {
		received := make(chan string, 1)
		f := newFixture(t, listen(t, func(c net.Conn) {
			io.WriteString(c, "early answer")
			c.(*net.TCPConn).CloseWrite()
			rest, _ := io.ReadAll(c)
			received <- string(rest)
		}), nil)
		c := f.dial(t)
		defer c.Close()
		if got, err := io.ReadAll(c); string(got) != "early answer" || err != nil {
			t.Errorf("got %q, %v", got, err)
		}
		io.WriteString(c, "rest")
		c.(*conn).CloseWrite()
		if got := <-received; got != "rest" {
			t.Errorf("the target got %q", got)
		}
	})
}

// TestAbruptEndIsNotEOF guards against a truncated response without a length that looks complete.
func TestAbruptEndIsNotEOF(t *testing.T) {
	const part = "first half"
	tests := []struct {
		name string
		end  func(f *fixture, target *net.TCPConn)
		eof  bool
	}{
		{name: "target closes", end: func(_ *fixture, c *net.TCPConn) { c.Close() }, eof: true},
		{name: "target resets", end: func(_ *fixture, c *net.TCPConn) { c.SetLinger(0); c.Close() }},
		{name: "peer stops", end: func(f *fixture, _ *net.TCPConn) { f.Close() }},
	}
	fixtures := map[string]func(t testing.TB, address string) *fixture{
		"TCP": func(t testing.TB, address string) *fixture { return newFixture(t, address, nil) },
		"TLS": newTLSFixture,
	}
	for _, test := range tests {
		for protocol, start := range fixtures {
			t.Run(test.name+" "+protocol, func(t *testing.T) {
				var f *fixture
				read := make(chan struct{})
				f = start(t, listen(t, func(c net.Conn) {
					io.WriteString(c, part)
					<-read
					test.end(f, c.(*net.TCPConn))
				}))
				c := f.dial(t)
				defer c.Close()
				got := make([]byte, len(part))
				if _, err := io.ReadFull(c, got); err != nil {
					t.Fatal(err)
				}
				close(read)
				if _, err := c.Read(got); err == nil || (err == io.EOF) != test.eof || errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("got %v", err)
				}
			})
		}
	}
}

// TestCompleteStreamOutlivesLink guards against links that stay for a caller that never closes, and against
// losing the rest of a complete stream when such a link ends.
func TestCompleteStreamOutlivesLink(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for halfOpenTimeout")
	}
	const size = 1 << 20 // fits in the socket buffers of both VMs, but not in those of one
	sent := bytes.Repeat([]byte("0123456789abcdef"), size/16)
	f := newFixture(t, listen(t, func(c net.Conn) { c.Write(sent) }), nil)
	c := f.dial(t)
	defer c.Close()
	waitFor(t, "link", eventually, func() bool { return f.Open() == 1 })
	waitFor(t, "end of the link", 2*halfOpenTimeout, func() bool { return f.Open() == 0 })
	c.SetDeadline(time.Now().Add(eventually))
	if got, err := io.ReadAll(c); !bytes.Equal(got, sent) || err != nil {
		t.Errorf("%d bytes of %d, %v", len(got), size, err)
	}
}

// TestAnswerOutlivesFailedWrite guards against losing the response of a target that stopped reading.
func TestAnswerOutlivesFailedWrite(t *testing.T) {
	const answer = "answer before the whole request was read"
	f := newFixture(t, listen(t, func(c net.Conn) {
		time.Sleep(flowTime) // after the failed write
		io.WriteString(c, answer)
	}), func(c *ServerConfig) {
		dial := c.Dial
		c.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			target, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return writeFails{target.(*net.TCPConn)}, nil
		}
	})
	c := f.dial(t)
	defer c.Close()
	io.WriteString(c, "request")
	if got, err := io.ReadAll(c); string(got) != answer || err != nil {
		t.Errorf("got %q, %v", got, err)
	}
}

type writeFails struct{ *net.TCPConn }

func (writeFails) Write([]byte) (int, error) { return 0, syscall.EPIPE }

// TestResetDuringWritesIsNotEOF guards against a reset that reads see as a clean end because a concurrent
// write got the error.
func TestResetDuringWritesIsNotEOF(t *testing.T) {
	const rounds = 100
	tests := []struct {
		name string
		end  func(f *fixture, target *net.TCPConn)
	}{
		{"target resets", func(_ *fixture, c *net.TCPConn) { c.SetLinger(0); c.Close() }},
		{"peer stops", func(f *fixture, _ *net.TCPConn) { f.Close() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for range rounds {
				var f *fixture
				f = newFixture(t, listen(t, func(c net.Conn) {
					c.Read(make([]byte, 1))
					test.end(f, c.(*net.TCPConn))
				}), nil)
				c := f.dial(t)
				written := make(chan struct{})
				go func() {
					defer close(written)
					for _, err := c.Write([]byte("x")); err == nil; _, err = c.Write([]byte("x")) {
					}
				}()
				if _, err := c.Read(make([]byte, 1)); err == nil || err == io.EOF || errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("got %v, want a reset", err)
				}
				<-written
				c.Close()
			}
		})
	}
}

// childTargetEnv makes the test binary run a peer that carries connections to the address in it.
const childTargetEnv = "TUNNEL_TEST_TARGET"

// runChildPeer serves tunnels and prints its address.
func runChildPeer(targetAddress string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		os.Exit(1)
	}
	s := NewServer(ServerConfig{
		Address:   func(Target) (string, bool) { return targetAddress, true },
		Available: func() bool { return true }, Dial: (&net.Dialer{}).DialContext,
		MaxConns: 10, Metrics: metrics.NewRegistry(), Log: zerolog.Nop(),
	})
	os.Stdout.WriteString(l.Addr().String() + "\n")
	_ = http.Serve(l, s.Handler(http.NotFoundHandler()))
}

// TestKilledPeerIsNotEOF guards against a truncated response that looks complete because the kernel
// closed the connections of a killed peer cleanly.
func TestKilledPeerIsNotEOF(t *testing.T) {
	const part = "first half"
	target := listen(t, func(c net.Conn) {
		io.WriteString(c, part)
		io.Copy(io.Discard, c)
	})
	binary, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(binary)
	cmd.Env = append(os.Environ(), childTargetEnv+"="+target)
	output, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(cmd); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cmd.Wait() }()
	defer cmd.Process.Kill()
	line := make([]byte, 64)
	n, err := output.Read(line)
	if err != nil {
		t.Fatal(err)
	}
	d := NewDialer(peer.NewDialer(nil), testTimeout, metrics.NewRegistry())
	c, err := d.Dial(t.Context(), strings.TrimSpace(string(line[:n])), testTarget)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(eventually))
	got := make([]byte, len(part))
	if _, err := io.ReadFull(c, got); err != nil {
		t.Fatal(err)
	}
	cmd.Process.Kill()
	if _, err := c.Read(got); err == nil || err == io.EOF || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %v, want a reset", err)
	}
}

// TestLeavingCallerReachesTarget guards against targets that work on for a caller that has left.
func TestLeavingCallerReachesTarget(t *testing.T) {
	tests := []struct {
		name  string
		leave func(f *fixture, c net.Conn)
	}{
		{"closes", func(_ *fixture, c net.Conn) { c.Close() }},
		{"gives the peer up", func(f *fixture, _ net.Conn) { f.dialer.CloseVia(f.address) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			started, left := make(chan struct{}), make(chan time.Time, 1)
			f := newFixture(t, listen(t, func(c net.Conn) {
				c.Read(make([]byte, 64))
				close(started)
				c.Read(make([]byte, 64)) // returns when the caller leaves
				for _, err := c.Write([]byte{0}); err == nil; _, err = c.Write([]byte{0}) {
					time.Sleep(time.Millisecond)
				}
				left <- time.Now()
			}), nil)
			c := f.dial(t)
			io.WriteString(c, "request")
			<-started
			start := time.Now()
			test.leave(f, c)
			select {
			case at := <-left:
				if took := at.Sub(start); took > leaveLimit {
					t.Errorf("the target's connection was closed after %v", took)
				}
			case <-time.After(eventually):
				t.Fatal("the target's connection is still open")
			}
			waitFor(t, "release", leaveLimit, func() bool { return f.Open() == 0 })
		})
	}
}

// TestLeavingDuringSetupIsNoticed guards against dials of targets for callers that have left.
func TestLeavingDuringSetupIsNoticed(t *testing.T) {
	dialing, ended := make(chan struct{}), make(chan struct{})
	f := newFixture(t, "127.0.0.1:1", func(c *ServerConfig) {
		c.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
			close(dialing)
			<-ctx.Done()
			close(ended)
			return nil, ctx.Err()
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-dialing
		cancel()
	}()
	if _, err := f.dialer.Dial(ctx, f.address, testTarget); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
	select {
	case <-ended:
	case <-time.After(leaveLimit):
		t.Error("the dial goes on")
	}
}

func TestCloseVia(t *testing.T) {
	address := listen(t, func(c net.Conn) { io.Copy(c, c) })
	f, other := newFixture(t, address, nil), newFixture(t, address, nil)
	lost := f.dial(t)
	kept, err := f.dialer.Dial(t.Context(), other.address, testTarget)
	if err != nil {
		t.Fatal(err)
	}
	defer kept.Close()
	result := make(chan error, 1)
	go func() {
		_, err := lost.Read(make([]byte, 1))
		result <- err
	}()
	f.dialer.CloseVia(f.address)
	if err := <-result; !errors.Is(err, net.ErrClosed) {
		t.Errorf("a blocked read returned %v", err)
	}
	io.WriteString(kept, "x")
	if _, err := io.ReadFull(kept, make([]byte, 1)); err != nil {
		t.Errorf("connection through another peer: %v", err)
	}
	f.dialer.CloseVia(f.address)
	if n := len(f.dialer.open); n != 1 {
		t.Errorf("%d peers with connections, want 1", n)
	}
}

func TestServerClose(t *testing.T) {
	ended := make(chan struct{}, 2)
	f := newFixture(t, listen(t, func(c net.Conn) {
		io.Copy(io.Discard, c)
		ended <- struct{}{}
	}), nil)
	conns := []net.Conn{f.dial(t), f.dial(t)}
	f.Close()
	for _, c := range conns {
		if _, err := c.Read(make([]byte, 1)); err == nil || err == io.EOF {
			t.Errorf("got %v, want a reset", err)
		}
		<-ended
		c.Close()
	}
	waitFor(t, "release", eventually, func() bool { return f.Open() == 0 })
	var err *Error
	if _, dialErr := f.dialer.Dial(t.Context(), f.address, testTarget); !errors.As(dialErr, &err) || err.Reason != PeerDeclined {
		t.Errorf("after Close: %v", dialErr)
	}
}
