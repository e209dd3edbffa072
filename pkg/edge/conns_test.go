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
	idle := newCallerConns()
	release := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
		fmt.Fprint(w, "ok")
	}))
	server.Config.ConnState = idle.track
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
	_, in := open("/fast")
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_, slow := open("/slow")
	// The first connection becomes idle a moment after its answer was read.
	for idle.count() == 0 {
		time.Sleep(time.Millisecond)
	}
	idle.closeOlder(15*time.Second, time.Now().Add(14*time.Second))
	if idle.count() != 1 {
		t.Error("closed before the limit")
	}
	idle.closeOlder(15*time.Second, time.Now().Add(16*time.Second))
	if _, err := in.ReadByte(); err == nil {
		t.Error("the idle connection is still open")
	}
	close(release)
	if resp, err := http.ReadResponse(slow, nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("a request that ran was cut: %v", err)
	}
}

func (cc *callerConns) count() int {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return len(cc.idleSince)
}
