package conntrack

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"crocusramp.dev/crocusramp/pkg/capacity"
)

const waitTimeout = 10 * time.Second

// serveBounded starts an HTTP server whose connections are bounded.
func serveBounded(t *testing.T, c Config, h http.Handler) (tracker *Tracker, address string) {
	t.Helper()
	c.Name, c.Metrics, c.Log = "callers", metrics.NewRegistry(), zerolog.Nop()
	tracker = NewTracker(c)
	server := httptest.NewUnstartedServer(h)
	server.Config.ConnState, server.Config.ConnContext = tracker.ConnState, ConnContext
	server.Listener = tracker.Listener(server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	return tracker, server.Listener.Addr().String()
}

func respondOK(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, waitTimeout)
		}
	}
}

// get sends a request and returns the status of the response.
func get(c net.Conn, header string) (int, error) {
	if _, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\n%s\r\n", header); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// isOpen reports whether the server has not closed a connection.
func isOpen(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond)) // an error shows in the read
	_, err := c.Read(make([]byte, 1))
	_ = c.SetReadDeadline(time.Time{})
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// TestEvictionOrder checks which connections are closed to make room.
func TestEvictionOrder(t *testing.T) {
	now := time.Now()
	tracker := NewTracker(Config{Metrics: metrics.NewRegistry()})
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for _, c := range []*Conn{
		{state: stateActive, accepted: ago(time.Hour)},
		{state: stateDelivering, deliveringSince: ago(time.Minute)},
		{state: stateDelivering, deliveringSince: ago(time.Millisecond)},
		{state: stateReceiving, receivingSince: ago(2 * time.Second)},
		{state: stateReceiving, receivingSince: ago(time.Millisecond)},
		{state: stateIdle, idleSince: ago(time.Second)},
		{state: stateIdle, idleSince: ago(time.Minute)},
		{state: stateNew, accepted: ago(time.Second)},
		{state: stateReading, readingSince: ago(2 * time.Second)},
		{state: stateReading, readingSince: ago(time.Hour), evicted: true},
	} {
		tracker.conns[c] = struct{}{}
	}
	type entry struct {
		State state
		Age   time.Duration
	}
	var got []entry
	for _, k := range tracker.candidates() {
		got = append(got, entry{k.conn.state, now.Sub(k.since)})
	}
	want := []entry{
		{stateReading, 2 * time.Second}, {stateNew, time.Second},
		{stateIdle, time.Minute}, {stateIdle, time.Second},
		{stateReceiving, 2 * time.Second}, {stateDelivering, time.Minute},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestConnectionsAreBounded checks that new connections are served while others hold all places, and that one with a
// request in flight is not closed.
func TestConnectionsAreBounded(t *testing.T) {
	const limit = 32
	release := make(chan struct{})
	sockets := capacity.NewBudget(2 * limit)
	tracker, address := serveBounded(t, Config{MaxConns: limit, Sockets: sockets, SocketsPerConn: 2}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Wait") != "" {
			<-release
		}
		respondOK(w, r)
	}))
	running := dial(t, address)
	status := make(chan int, 1)
	go func() {
		s, err := get(running, "Wait: 1\r\n")
		if err != nil {
			t.Error(err)
		}
		status <- s
	}()
	eventually(t, "the request is in flight", func() bool { return tracker.count(stateActive) == 1 })
	var idle []net.Conn
	for range 4 * limit {
		idle = append(idle, dial(t, address))
		time.Sleep(time.Millisecond)
	}
	served := func() bool {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return false
		}
		defer c.Close()
		s, err := get(c, "")
		return err == nil && s == http.StatusOK
	}
	eventually(t, "a request is served beside idle connections", served)
	if n := len(tracker.list()); n > limit {
		t.Errorf("%d connections, limit %d", n, limit)
	}
	close(release)
	if s := <-status; s != http.StatusOK {
		t.Errorf("status %d of the request that was in flight", s)
	}
	for _, c := range append(idle, running) {
		c.Close()
	}
	eventually(t, "all sockets are released", func() bool { return sockets.Used() == 0 })
}

// TestEvictedRequestIsAnsweredOrUnread guards against a request that is read on a connection which is evicted at that
// moment, and gets no answer.
func TestEvictedRequestIsAnsweredOrUnread(t *testing.T) {
	const rounds, perRound = 30, 32
	var handled atomic.Int64
	tracker, address := serveBounded(t, Config{}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handled.Add(1)
		respondOK(w, r)
	}))
	var answered, closed atomic.Int64
	for range rounds {
		done := make(chan struct{}, perRound)
		for i := range perRound {
			c := dial(t, address)
			go func() {
				defer func() { done <- struct{}{} }()
				defer c.Close()
				time.Sleep(time.Duration(i) * 30 * time.Microsecond)
				if status, err := get(c, ""); err == nil && status == http.StatusOK {
					answered.Add(1)
				} else {
					closed.Add(1)
				}
			}()
		}
		time.Sleep(perRound / 2 * 30 * time.Microsecond)
		tracker.evict(perRound)
		for range perRound {
			<-done
		}
	}
	t.Logf("%d answered, %d closed, %d handled", answered.Load(), closed.Load(), handled.Load())
	if answered.Load() != handled.Load() {
		t.Errorf("%d requests were handled, %d answered", handled.Load(), answered.Load())
	}
	if closed.Load() == 0 || answered.Load() == 0 {
		t.Error("no connection was evicted beside a request; the test shows nothing")
	}
}

// TestSlowTransfersAreEvicted checks that a connection whose body or response makes no progress can be closed.
func TestSlowTransfersAreEvicted(t *testing.T) {
	ended := make(chan string, 2)
	tracker, address := serveBounded(t, Config{}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := Of(r.Context())
		if r.Method == http.MethodPost {
			conn.Receiving()
			_, err := io.ReadAll(r.Body)
			conn.mu.Lock()
			defer conn.mu.Unlock()
			ended <- fmt.Sprintf("receiving %t %t %s", err != nil, conn.evicted, conn.end)
			return
		}
		conn.Delivering()
		w.Header().Set("Content-Length", "100000000")
		piece := make([]byte, 1<<20)
		for {
			if _, err := w.Write(piece); err != nil {
				ended <- fmt.Sprintf("delivering %t %t", true, conn.Evicted())
				return
			}
		}
	}))
	fmt.Fprint(dial(t, address), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx")
	fmt.Fprint(dial(t, address), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	eventually(t, "both transfers run", func() bool { return tracker.count(stateReceiving) == 1 && tracker.count(stateDelivering) == 1 })
	eventually(t, "both are evicted", func() bool { tracker.evict(2); return tracker.counters.evicted.Count() == 2 })
	got := []string{<-ended, <-ended}
	slices.Sort(got)
	if diff := cmp.Diff([]string{"delivering true true", "receiving true true evicted"}, got); diff != "" {
		t.Error(diff)
	}
}
