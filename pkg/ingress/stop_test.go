package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// stalledUpload begins a request and sends only a part of its body.
func (w *fixture) stalledUpload(path string, sent, length int) *bufio.Reader {
	w.t.Helper()
	c, err := net.Dial("tcp", w.front.Listener.Addr().String())
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(4 * time.Second)); err != nil {
		w.t.Fatal(err)
	}
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: host.example\r\n%s: %s\r\n%s: %s\r\n%s: 5000\r\nContent-Length: %d\r\n\r\n%s",
		path, hID, newID(), hKey, testKey, hTimeout, length, strings.Repeat("x", sent))
	return bufio.NewReader(c)
}

// TestTimeoutWhileBodyStalls guards against a timeout whose answer is held back until the caller
// has sent the rest of a long body.
func TestTimeoutWhileBodyStalls(t *testing.T) {
	w := newFixture(t)
	w.addRaw("i-1", "fd-e", func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	resp, err := http.ReadResponse(w.stalledUpload("/short/a", maxBufferedBody, 4*maxBufferedBody), nil)
	if err != nil || resp.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("%v %v, want 504", resp, err)
	}
}

// TestAbandonedRequestsAreAnswered guards against requests that get no answer when a stop cuts
// them, at any stage. Only a request that no target has received may be answered as not run.
func TestAbandonedRequestsAreAnswered(t *testing.T) {
	half := strings.Repeat("x", maxBufferedResponse/2)
	for _, tt := range []struct {
		name   string
		stage  stage
		path   string
		target func(net.Conn) // handles one connection to the target
		sent   int            // bytes of the body that the caller sends
		length int
		want   int
	}{
		{"the target is silent", stageTarget, "/safe/a", func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }, 0, 0, http.StatusBadGateway},
		{"it must run at most once", stageTarget, "/once/a", func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }, 0, 0, http.StatusBadGateway},
		{"the answer stalls", stageTarget, "/safe/a", func(c net.Conn) {
			_, _ = c.Read(make([]byte, 4096))
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", hSeal, len(half)*2, half)
			_, _ = io.Copy(io.Discard, c) // keeps the connection open
		}, 0, 0, http.StatusBadGateway},
		{"a short body stalls", stageBody, "/safe/a", func(net.Conn) {}, 10, 20, http.StatusServiceUnavailable},
		{"a long body stalls", stageTarget, "/once/a", func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }, maxBufferedBody, 4 * maxBufferedBody, http.StatusBadGateway},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newFixture(t)
			connected := make(chan struct{}, 1)
			w.addRaw("i-1", "fd-e", func(c net.Conn) {
				_, _ = c.Read(make([]byte, 1)) // returns once a request arrives
				connected <- struct{}{}
				tt.target(c)
			})
			in := w.stalledUpload(tt.path, tt.sent, tt.length)
			for !w.reached(tt.stage) {
				time.Sleep(time.Millisecond)
			}
			if tt.stage == stageTarget {
				<-connected
			}
			w.server.Stop(time.Now())
			w.server.Abandon()
			resp, err := http.ReadResponse(in, nil)
			if err != nil || resp.StatusCode != tt.want || !resp.Close {
				t.Fatalf("%v %v, want %d and a closed connection", resp, err, tt.want)
			}
			if retry := resp.Header.Get(hRetryAfter); (retry != "") != (tt.want == http.StatusServiceUnavailable) {
				t.Errorf("retry after %q", retry)
			}
		})
	}
}

// reached reports whether any request has reached a stage.
func (w *fixture) reached(s stage) bool {
	for _, c := range w.server.inflight.list() {
		c.progress.mu.Lock()
		now := c.progress.stage
		c.progress.mu.Unlock()
		if now == s {
			return true
		}
	}
	return false
}

// TestBodyThatArrivesTooLateIsRefused guards against a request that is sent to a target with too
// little time for its answer, because its body was complete only after the VM had stopped taking
// requests.
func TestBodyThatArrivesTooLateIsRefused(t *testing.T) {
	w := newFixture(t)
	f := w.add("i-1", "fd-e", respondOK)
	pr, pw := io.Pipe()
	go func() {
		for !w.reached(stageBody) {
			time.Sleep(time.Millisecond)
		}
		w.server.Stop(time.Now())
		_, _ = io.WriteString(pw, "late") // if this fails, the status shows it
		pw.Close()
	}()
	resp, _, err := w.send(http.MethodPost, "/once/a", "", func(r *http.Request) { r.Body, r.ContentLength = pr, -1 })
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(hRetryAfter) == "" {
		t.Errorf("%v %v, want 503 with a retry time", resp, err)
	}
	if f.requests() != 0 {
		t.Error("a target got the request")
	}
}

// TestDeliveryContinuesDuringStop guards against a stop that breaks off an answer which is being
// delivered.
func TestDeliveryContinuesDuringStop(t *testing.T) {
	w := newFixture(t)
	long := strings.Repeat("x", 4*maxBufferedResponse)
	w.add("i-1", "fd-e", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(hSeal, "seal")
		fmt.Fprint(rw, long)
	})
	in := w.stalledUpload("/safe/a", 0, 0)
	for !w.reached(stageAnswer) {
		time.Sleep(time.Millisecond)
	}
	w.server.Abandon()
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != int64(len(long)) {
		t.Errorf("got %d bytes of %d: %v", n, len(long), err)
	}
}
