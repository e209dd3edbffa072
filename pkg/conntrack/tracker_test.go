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
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

// serve starts an HTTP server whose connections are tracked.
func serve(t *testing.T, h http.Handler) (tracker *Tracker, address string) {
	t.Helper()
	tracker = NewTracker(Config{Name: "callers", Metrics: metrics.NewRegistry()})
	server := httptest.NewUnstartedServer(h)
	server.Config.ConnState, server.Config.ConnContext = tracker.ConnState, ConnContext
	server.Listener = tracker.Listener(server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	return tracker, server.Listener.Addr().String()
}

// dial opens a connection that is closed at the end of the test.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	release := make(chan struct{})
	tracker, address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
		fmt.Fprint(w, "ok")
	}))
	open := func(path string) *bufio.Reader {
		c := dial(t, address)
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
		return bufio.NewReader(c)
	}
	fast := open("/fast")
	resp, err := http.ReadResponse(fast, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	slow := open("/slow")
	// The server marks the first connection idle shortly after the client has read the response.
	for tracker.count(stateIdle) == 0 {
		time.Sleep(time.Millisecond)
	}
	tracker.CloseExpired(15*time.Second, time.Now().Add(14*time.Second))
	if tracker.count(stateIdle) != 1 {
		t.Error("the idle connection was closed before the limit")
	}
	tracker.CloseExpired(15*time.Second, time.Now().Add(16*time.Second))
	if _, err := fast.ReadByte(); err == nil {
		t.Error("the idle connection is still open")
	}
	close(release)
	if resp, err := http.ReadResponse(slow, nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("the running request did not complete: %v", err)
	}
}

// TestRequestReadDuringIdleCloseIsAnswered guards against a request that the VM has read and that ends
// without an answer because its connection is closed as idle at that moment.
func TestRequestReadDuringIdleCloseIsAnswered(t *testing.T) {
	const rounds, perRound = 40, 48
	var mu sync.Mutex
	handled := map[string]bool{}
	tracker, address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		handled[r.URL.Path] = true
		mu.Unlock()
		fmt.Fprint(w, "ok")
	}))
	exchange := func(c net.Conn, in *bufio.Reader, path string) error {
		if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
			return err
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	lost, unread, answered := 0, 0, 0
	for round := range rounds {
		conns := make([]net.Conn, perRound)
		readers := make([]*bufio.Reader, perRound)
		for i := range conns {
			conns[i] = dial(t, address)
			readers[i] = bufio.NewReader(conns[i])
			if err := exchange(conns[i], readers[i], fmt.Sprint("/first/", round, "/", i)); err != nil {
				t.Fatal(err)
			}
		}
		for tracker.count(stateIdle) < perRound {
			time.Sleep(time.Millisecond)
		}
		failed := make([]bool, perRound)
		var group sync.WaitGroup
		start := time.Now().Add(2 * time.Millisecond)
		for i, c := range conns {
			group.Go(func() {
				time.Sleep(time.Until(start.Add(time.Duration(i) * 30 * time.Microsecond)))
				failed[i] = exchange(c, readers[i], fmt.Sprint("/second/", round, "/", i)) != nil
			})
		}
		time.Sleep(time.Until(start.Add(perRound / 2 * 30 * time.Microsecond)))
		tracker.CloseExpired(time.Second, time.Now().Add(time.Minute))
		group.Wait()
		mu.Lock()
		for i, f := range failed {
			switch read := handled[fmt.Sprint("/second/", round, "/", i)]; {
			case !f:
				answered++
			case read:
				lost++
			default:
				unread++
			}
			conns[i].Close()
		}
		mu.Unlock()
	}
	t.Logf("%d answered, %d closed unread, %d read and closed without an answer", answered, unread, lost)
	if lost > 0 {
		t.Errorf("%d requests were read and got no answer", lost)
	}
	if answered == 0 || answered == rounds*perRound {
		t.Error("no connection was closed beside a request; the test shows nothing")
	}
}

// TestConnectionOutlivesLowerLimit guards against a limit that decreases and closes connections on
// which callers, who know the earlier limit, are about to send a request.
func TestConnectionOutlivesLowerLimit(t *testing.T) {
	tracker, address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		FromContext(r.Context()).(*Conn).KeepFor(10 * time.Second)
		fmt.Fprint(w, "ok")
	}))
	c := dial(t, address)
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	for tracker.count(stateIdle) == 0 {
		time.Sleep(time.Millisecond)
	}
	tracker.CloseExpired(time.Second, time.Now().Add(9*time.Second))
	if err := c.SetReadDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if _, err := in.ReadByte(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("closed before the time on which the caller relies: %v", err)
	}
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	tracker.CloseExpired(time.Second, time.Now().Add(11*time.Second))
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("open after that time: %v", err)
	}
}

// TestDrainAnswersWhatWasRead guards against a stop that cuts a request that has been read and has not
// reached its handler.
func TestDrainAnswersWhatWasRead(t *testing.T) {
	const rounds, perRound = 20, 48
	lost := 0
	for range rounds {
		var mu sync.Mutex
		handled := map[string]bool{}
		tracker := NewTracker(Config{Name: "callers", Metrics: metrics.NewRegistry()})
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			handled[r.URL.Path] = true
			mu.Unlock()
			fmt.Fprint(w, "ok")
		}))
		server.Config.ConnState, server.Config.ConnContext = tracker.ConnState, ConnContext
		server.Listener = tracker.Listener(server.Listener)
		server.Start()
		var group sync.WaitGroup
		failed := make([]bool, perRound)
		for i := range perRound {
			c := dial(t, server.Listener.Addr().String())
			group.Go(func() {
				time.Sleep(time.Duration(i) * 30 * time.Microsecond)
				fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i) // may fail: the connection is being closed
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
				}
				failed[i] = err != nil
			})
		}
		time.Sleep(perRound / 2 * 30 * time.Microsecond)
		for tracker.Drain() > 0 {
			time.Sleep(time.Millisecond)
		}
		if err := server.Config.Close(); err != nil {
			t.Fatal(err)
		}
		group.Wait()
		mu.Lock()
		for i, f := range failed {
			if f && handled[fmt.Sprint("/", i)] {
				lost++
			}
		}
		mu.Unlock()
		server.Close()
	}
	if lost > 0 {
		t.Errorf("%d requests were read and got no answer", lost)
	}
}

// TestBeginningOfRequestDoesNotHoldConnection guards against a connection that stays open for ever because
// a few bytes came after the last request.
func TestBeginningOfRequestDoesNotHoldConnection(t *testing.T) {
	tracker, address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "ok") }))
	c := dial(t, address)
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	fmt.Fprint(c, "\r\n")
	for tracker.count(stateReading) == 0 {
		time.Sleep(time.Millisecond)
	}
	tracker.CloseExpired(time.Second, time.Now().Add(headerTimeout-time.Second))
	if tracker.count(stateReading) != 1 {
		t.Error("closed before the time for a header was over")
	}
	tracker.CloseExpired(time.Second, time.Now().Add(headerTimeout+time.Second))
	if _, err := in.ReadByte(); err == nil {
		t.Error("the connection is still open")
	}
}
