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

	"crocusramp.dev/crocusramp/pkg/capacity"
)

// eventually waits until a condition holds.
func (w *fixture) eventually(what string, done func() bool) {
	w.t.Helper()
	const limit = 10 * time.Second
	for end := time.Now().Add(limit); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("%s: not within %v", what, limit)
		}
	}
}

// raw opens a connection and sends a text.
func (w *fixture) raw(text string) (net.Conn, *bufio.Reader) {
	w.t.Helper()
	c, err := net.Dial("tcp", w.front.Listener.Addr().String())
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		w.t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

// upload returns the beginning of a request with a body of length bytes, of which sent have been sent.
func upload(path string, length, sent int, timeout time.Duration) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: host.example\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		path, hID, newID(), hKey, testKey, hTimeout, timeout.Milliseconds(), length, strings.Repeat("x", sent))
}

// TestStalledBodyEndsAtDeadline guards against a request that waits for ever for the rest of a body that is buffered.
func TestStalledBodyEndsAtDeadline(t *testing.T) {
	w := newFixture(t)
	f := w.add("i-1", "fd-e", respondOK)
	_, in := w.raw(upload("/once/x", 1000, 900, 100*time.Millisecond))
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(hRetryAfter) == "" {
		t.Errorf("status %d, header %v; want a refusal that says when to return", resp.StatusCode, resp.Header)
	}
	if f.requests() > 0 {
		t.Error("the target got a part of the request")
	}
}

// TestRefusalDoesNotWaitForBody guards against a refusal that is held back until a body has arrived that nobody reads.
func TestRefusalDoesNotWaitForBody(t *testing.T) {
	for _, path := range []string{"/none/x", "/once/x"} {
		w := newFixture(t)
		w.limiter[testAccount] = time.Time{}
		_, in := w.raw(upload(path, 1000, 900, time.Minute))
		answered := make(chan error, 1)
		go func() {
			_, err := http.ReadResponse(in, nil)
			answered <- err
		}()
		select {
		case err := <-answered:
			if err != nil {
				t.Errorf("%s: %v", path, err)
			}
		case <-time.After(10 * maxDiscardTime):
			t.Errorf("%s: no answer within %v", path, 10*maxDiscardTime)
		}
	}
}

// TestBodiesAreGivenUpForOthers checks that the memory for bodies is bounded, that uploads which stall make room for
// others, and that they are refused as not run.
func TestBodiesAreGivenUpForOthers(t *testing.T) {
	const size, memory = 48 << 10, 1 << 20
	w := newFixture(t)
	f := w.add("i-1", "fd-e", respondOK)
	w.server.cfg.Capacity = &capacity.Plan{Requests: capacity.NewBudget(memory)}
	budget := w.server.cfg.Capacity.Requests
	var stalled []*bufio.Reader
	for range memory / size {
		_, in := w.raw(upload("/once/x", size+1, size, time.Minute))
		stalled = append(stalled, in)
	}
	w.eventually("as many bodies are buffered as fit", func() bool { return w.server.counters.overloaded.Count() > 0 })
	time.Sleep(minReceiveTime)
	for i := range 2 * len(stalled) {
		if resp, _, err := w.send("POST", "/once/x", strings.Repeat("y", size)); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("upload %d: %v, %v", i, resp, err)
		}
		if budget.Used() > memory {
			t.Fatalf("%d bytes are used of %d", budget.Used(), memory)
		}
	}
	if w.server.counters.evicted.Count() == 0 {
		t.Error("no stalled upload was given up")
	}
	resp, err := http.ReadResponse(stalled[0], nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(hRetryAfter) == "" {
		t.Errorf("the oldest stalled upload: %v, %v; want a refusal that says when to return", resp, err)
	}
	if f.requests() != 2*len(stalled) {
		t.Errorf("the target got %d requests, want %d", f.requests(), 2*len(stalled))
	}
}

// TestResponsesWithoutMemoryAreStreamed checks that responses reach the caller whole although there is no memory to
// buffer them.
func TestResponsesWithoutMemoryAreStreamed(t *testing.T) {
	const memory = 64 << 10
	for _, size := range []int{0, 1, 4 << 10, 200 << 10, maxBufferedResponse - 1, maxBufferedResponse, maxBufferedResponse + 1, 3 * maxBufferedResponse} {
		for _, declared := range []bool{true, false} {
			for _, used := range []int64{0, memory} {
				t.Run(fmt.Sprint(size, declared, used), func(t *testing.T) {
					w := newFixture(t)
					w.server.cfg.Capacity = &capacity.Plan{Responses: capacity.NewBudget(memory)}
					w.server.cfg.Capacity.Responses.Overdraw(used)
					w.add("i-1", "fd-e", func(rw http.ResponseWriter, _ *http.Request) {
						rw.Header().Set(hSeal, "seal")
						if declared {
							rw.Header().Set("Content-Length", fmt.Sprint(size))
						} else {
							rw.(http.Flusher).Flush()
						}
						_, _ = io.WriteString(rw, strings.Repeat("x", size))
					})
					resp, body, err := w.send("GET", "/safe/x", "")
					if err != nil || resp.StatusCode != http.StatusOK || len(body) != size {
						t.Errorf("%d bytes, %v", len(body), err)
					}
					w.eventually("the memory is released", func() bool { return w.server.cfg.Capacity.Responses.Used() == used })
				})
			}
		}
	}
}

// TestLargeHeadersAreRefusedFirst checks that requests in flight with large headers leave room for ordinary ones.
func TestLargeHeadersAreRefusedFirst(t *testing.T) {
	const memory = 1 << 20
	w := newFixture(t)
	release := make(chan struct{})
	w.add("i-1", "fd-e", func(rw http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, "wait") {
			<-release
		}
		respondOK(rw, r)
	})
	defer close(release)
	w.server.cfg.Capacity = &capacity.Plan{Requests: capacity.NewBudget(memory)}
	var lines strings.Builder
	for i := range 500 {
		fmt.Fprintf(&lines, "k%d: v\r\n", i)
	}
	refused := 0
	for range 8 {
		_, in := w.raw(fmt.Sprintf("GET /safe/wait HTTP/1.1\r\nHost: host.example\r\n%s: %s\r\n%s: %s\r\n%s\r\n", hID, newID(), hKey, testKey, lines.String()))
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			if resp, err := http.ReadResponse(in, nil); err == nil && resp.StatusCode == http.StatusServiceUnavailable {
				refused++
			}
		}()
		select {
		case <-answered:
		case <-time.After(100 * time.Millisecond):
		}
	}
	if refused == 0 {
		t.Error("no request with a large header was refused")
	}
	if resp, _, err := w.send("GET", "/safe/x", ""); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("an ordinary request: %v, %v", resp, err)
	}
}
