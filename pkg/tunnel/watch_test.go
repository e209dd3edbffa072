package tunnel

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lossLimit is how soon a lost VM must be noticed: about 2 s, in which two probes go unanswered, and
	// the next check.
	lossLimit = 3 * time.Second
	// flowTime lets bytes flow before a loss.
	flowTime = 50 * time.Millisecond
)

// dropAll makes a socket lose all that arrives, as if its machine had lost power.
func dropAll(t testing.TB, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	filter := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	var sockoptErr error
	err = raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &filter[0]})
	})
	if err != nil || sockoptErr != nil {
		t.Fatal(err, sockoptErr)
	}
}

// onlyLink returns the link that a fixture carries.
func (f *fixture) onlyLink() (l *link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for l = range f.carried {
	}
	return l
}

// TestLostVMIsNoticed guards against connections that stay open after the other VM has lost power.
func TestLostVMIsNoticed(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for keep-alive probes")
	}
	tests := []struct {
		name string
		// target is what the target does until its connection ends.
		target func(c net.Conn)
		// writing is whether the caller sends without end.
		writing bool
		// peerLost is whether the peer is lost; otherwise the caller's VM is.
		peerLost bool
	}{
		{name: "the peer, idle", target: discard, peerLost: true},
		{name: "the peer, while it is sent a request", target: discard, writing: true, peerLost: true},
		{name: "the caller's VM, idle", target: discard},
		{name: "the caller's VM, while it is sent a response", target: writeForever},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			targetEnded := make(chan struct{})
			f := newFixture(t, listen(t, func(c net.Conn) {
				test.target(c)
				close(targetEnded)
			}), nil)
			c := f.dial(t).(*conn)
			defer c.Close()
			c.SetDeadline(time.Time{})
			waitFor(t, "link", eventually, func() bool { return f.Open() == 1 })
			callerEnded := make(chan struct{})
			go func() {
				defer close(callerEnded)
				if test.writing {
					writeForever(c)
					return
				}
				discard(c)
			}()
			time.Sleep(flowTime)
			lost, ended := c.tcp, targetEnded
			if test.peerLost {
				lost, ended = f.onlyLink().callerTCP, callerEnded
			}
			start := time.Now()
			dropAll(t, lost)
			select {
			case <-ended:
				t.Logf("noticed after %v", time.Since(start))
			case <-time.After(lossLimit):
				t.Errorf("not noticed within %v", lossLimit)
			}
			c.Close()
			f.Close()
			<-callerEnded
			<-targetEnded
		})
	}
}

func discard(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

func writeForever(c net.Conn) {
	chunk := make([]byte, copyBufferBytes)
	for _, err := c.Write(chunk); err == nil; _, err = c.Write(chunk) {
		time.Sleep(time.Millisecond)
	}
}

// TestSlowReaderKeepsConnection guards against ending connections whose other side is alive and reads nothing
// for a while.
func TestSlowReaderKeepsConnection(t *testing.T) {
	if testing.Short() {
		t.Skip("waits longer than for a lost VM")
	}
	const (
		pause = 2 * lossLimit
		size  = 16 << 20 // more than the socket buffers take
	)
	sent := bytes.Repeat([]byte("0123456789abcdef"), size/16)
	t.Run("caller", func(t *testing.T) {
		t.Parallel()
		f := newFixture(t, listen(t, func(c net.Conn) { c.Write(sent) }), nil)
		c := f.dial(t)
		defer c.Close()
		c.SetDeadline(time.Time{})
		time.Sleep(pause)
		if got, err := io.ReadAll(c); !bytes.Equal(got, sent) || err != nil {
			t.Errorf("%d bytes of %d, %v", len(got), size, err)
		}
	})
	t.Run("target", func(t *testing.T) {
		t.Parallel()
		received := make(chan []byte, 1)
		f := newFixture(t, listen(t, func(c net.Conn) {
			time.Sleep(pause)
			b, _ := io.ReadAll(c)
			received <- b
		}), nil)
		c := f.dial(t).(*conn)
		defer c.Close()
		c.SetDeadline(time.Time{})
		if _, err := c.Write(sent); err != nil {
			t.Error(err)
		}
		c.CloseWrite()
		if got := <-received; !bytes.Equal(got, sent) {
			t.Errorf("the target got %d bytes of %d", len(got), size)
		}
	})
}

// TestResetIsNoticedWhileTargetDoesNotRead guards against connections to targets that outlive their caller
// because nobody reads from the caller's.
func TestResetIsNoticedWhileTargetDoesNotRead(t *testing.T) {
	closed := make(chan struct{})
	release := make(chan struct{})
	f := newFixture(t, listen(t, func(net.Conn) { <-release }), func(c *ServerConfig) {
		dial := c.Dial
		c.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			target, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &closeObserver{TCPConn: target.(*net.TCPConn), closed: closed}, nil
		}
	})
	defer close(release)
	c := f.dial(t)
	c.SetDeadline(time.Now().Add(eventually / 10))
	for _, err := c.Write(make([]byte, 1<<20)); err == nil; _, err = c.Write(make([]byte, 1<<20)) {
	}
	c.Close()
	select {
	case <-closed:
	case <-time.After(2 * watchPeriod):
		t.Error("the connection to the target is still open")
	}
	waitFor(t, "release", eventually, func() bool { return f.Open() == 0 })
}

// closeObserver tells when a connection is closed.
type closeObserver struct {
	*net.TCPConn
	once   sync.Once
	closed chan struct{}
}

func (c *closeObserver) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.TCPConn.Close()
}
