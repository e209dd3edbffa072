package conntrack

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

// serve starts an HTTP server whose connections are tracked.
func serve(t *testing.T, h http.Handler) (tracker *Tracker, address string) {
	t.Helper()
	tracker = NewTracker(metrics.NewRegistry())
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
