package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

func TestIdleConnectionsAreClosed(t *testing.T) {
	conns := newCallerConns()
	release := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
		fmt.Fprint(w, "ok")
	}))
	server.Config.ConnState = conns.track
	server.Start()
	defer server.Close()
	open := func(path string) (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
		return c, bufio.NewReader(c)
	}
	_, fast := open("/fast")
	resp, err := http.ReadResponse(fast, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_, slow := open("/slow")
	// The server marks the first connection idle shortly after the client has read the response.
	for conns.idleCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	conns.closeExpired(15*time.Second, time.Now().Add(14*time.Second))
	if conns.idleCount() != 1 {
		t.Error("the idle connection was closed before the limit")
	}
	conns.closeExpired(15*time.Second, time.Now().Add(16*time.Second))
	if _, err := fast.ReadByte(); err == nil {
		t.Error("the idle connection is still open")
	}
	close(release)
	if resp, err := http.ReadResponse(slow, nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("the running request did not complete: %v", err)
	}
}

func (cc *callerConns) idleCount() int {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return len(cc.idleSince)
}
