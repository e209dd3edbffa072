package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"crocusramp.dev/crocusramp/internal/blackhole"
)

// testServer is a peer whose open connections can be cut off.
type testServer struct {
	*httptest.Server
	mu    sync.Mutex
	conns []net.Conn
	// delay is how long a call takes.
	delay time.Duration
}

func startServer(t *testing.T, delay time.Duration, encrypted bool) (*testServer, *Dialer) {
	t.Helper()
	s := &testServer{delay: delay}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(s.delay)
	}))
	s.Config.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateNew {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.conns = append(s.conns, c)
		}
	}
	var config *tls.Config
	if encrypted {
		s.StartTLS()
		config = s.Client().Transport.(*http.Transport).TLSClientConfig
	} else {
		s.Start()
	}
	d := NewDialer(config)
	t.Cleanup(func() { d.Close(); s.CloseClientConnections(); s.Close() })
	return s, d
}

// cutOff makes the open connections silent for good. New ones work.
func (s *testServer) cutOff(t *testing.T) int {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if encrypted, ok := c.(*tls.Conn); ok {
			c = encrypted.NetConn()
		}
		if err := blackhole.Drop(c); err != nil {
			t.Fatal(err)
		}
	}
	return len(s.conns)
}

func (s *testServer) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// call makes a call like those of twirp clients.
func call(ctx context.Context, d *Dialer, url string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("hello"))
	if err != nil {
		return err
	}
	response, err := d.HTTPClient().Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// fillPool leaves n idle connections.
func fillPool(t *testing.T, d *Dialer, url string, n int) {
	t.Helper()
	var calls sync.WaitGroup
	for range n {
		calls.Go(func() {
			if err := call(t.Context(), d, url, 5*time.Second); err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
}

// TestSilentConnectionsCostOneTimeout guards against heartbeats and loans that fail one after
// the other, once for each idle connection that went silent, while new connections work.
func TestSilentConnectionsCostOneTimeout(t *testing.T) {
	const idle, timeout = 8, 400 * time.Millisecond
	for _, test := range []struct {
		name      string
		encrypted bool
	}{{"TCP", false}, {"TLS", true}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s, d := startServer(t, 50*time.Millisecond, test.encrypted)
			fillPool(t, d, s.URL, idle)
			if n := s.cutOff(t); n < idle/2 {
				t.Fatalf("%d connections, want about %d", n, idle)
			}
			start, failed := time.Now(), 0
			for call(t.Context(), d, s.URL, timeout) != nil {
				failed++
			}
			t.Logf("first success after %v and %d failed calls", time.Since(start).Round(time.Millisecond), failed)
			if failed > 1 {
				t.Errorf("%d calls failed before one succeeded, want 1", failed)
			}
		})
	}
}

// TestSlowCallKeepsHealthyConnections checks that one call that times out leaves the
// connections alone that are in use, that have served a call since, or, if it had little time, all.
func TestSlowCallKeepsHealthyConnections(t *testing.T) {
	s, d := startServer(t, 600*time.Millisecond, false)
	var calls sync.WaitGroup
	calls.Go(func() {
		if err := call(t.Context(), d, s.URL, 5*time.Second); err != nil {
			t.Errorf("call beside one that timed out: %v", err)
		}
	})
	if err := call(t.Context(), d, s.URL, 400*time.Millisecond); err == nil {
		t.Error("the call did not time out")
	}
	calls.Wait()
	before := s.connections()
	if err := call(t.Context(), d, s.URL, 50*time.Millisecond); err == nil {
		t.Error("the call did not time out")
	}
	fillPool(t, d, s.URL, 1)
	if after := s.connections(); after > before+1 {
		t.Errorf("%d new connections, want at most the one that replaces the call's", after-before)
	}
}
