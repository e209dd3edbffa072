package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"crocusramp.dev/crocusramp/pkg/capacity"
	"crocusramp.dev/crocusramp/pkg/conntrack"
	"crocusramp.dev/crocusramp/pkg/forward"
	"crocusramp.dev/crocusramp/pkg/peek"
)

// TestLateCopyOfRefusalDoesNotAnswerRetry guards against a retry that is answered by a late copy of
// the refusal of the same request, on the connection that carried both: the retry runs, but its
// caller would receive the refusal, which reports that it has not.
func TestLateCopyOfRefusalDoesNotAnswerRetry(t *testing.T) {
	w := newFixture(t)
	const warmUp = 20 // enough for the target to count as one that runs requests
	var requests, copies atomic.Int64
	w.addRaw("i-1", "fd-e", func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		last := ""
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			id := r.Header.Get(hID)
			refusal := fmt.Sprintf("HTTP/1.1 503 X\r\nTest-Id: %s\r\nTest-Load: 0\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
			switch {
			case requests.Add(1) == warmUp+1:
				_, _ = io.WriteString(c, refusal)
			case id == last:
				copies.Add(1)
				_, _ = io.WriteString(c, refusal)
				fallthrough
			default:
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Seal: s\r\nContent-Length: 2\r\n\r\nok", id)
			}
			last = id
		}
	})
	for range warmUp {
		w.expect(200, "GET", "/once/x")
	}
	w.expect(200, "GET", "/once/x")
	if copies.Load() > 0 {
		t.Error("a request was retried on the connection that had carried it")
	}
}

// TestSlowDialDoesNotCancelRunningRequests guards against running requests that are restarted on
// another target because a new connection to theirs takes too long, while it still responds on
// others.
func TestSlowDialDoesNotCancelRunningRequests(t *testing.T) {
	w := newFixture(t)
	const dialTimeout = 100 * time.Millisecond
	var runs, dials atomic.Int64
	release := make(chan struct{})
	running := make(chan struct{}, 8)
	f := w.add("i-1", "fd-e", func(rw http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "long") {
			runs.Add(1)
			running <- struct{}{}
			<-release
		}
		respondOK(rw, r)
	})
	var hang atomic.Bool
	w.server.cfg.Client = direct(forward.Config{
		EchoHeader: hID, DialTimeout: dialTimeout,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			if hang.Load() && address == f.address {
				dials.Add(1)
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return (&net.Dialer{}).DialContext(ctx, network, address)
		},
	})
	results := make(chan int, 8)
	get := func(path string) {
		resp, _, err := w.send("GET", path, "")
		if err != nil {
			results <- 0
			return
		}
		results <- resp.StatusCode
	}
	go get("/safe/long")
	<-running
	w.expect(200, "GET", "/safe/short") // leaves an idle connection
	hang.Store(true)
	w.add("i-2", "fd-w", respondOK)
	second := make(chan struct{})
	go func() { // occupies that connection
		defer close(second)
		get("/safe/long")
	}()
	<-running
	go get("/safe/dials")
	for dials.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(dialTimeout / 2)
	release <- struct{}{} // one of the two answers while the dial hangs
	time.Sleep(3 * dialTimeout)
	release <- struct{}{}
	for range 3 {
		if status := <-results; status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	}
	<-second
	if runs.Load() != 2 || w.fakes["i-2"].requests() > 1 {
		t.Errorf("two long requests ran %d times, and another target got %d requests, though the target was never unreachable", runs.Load(), w.fakes["i-2"].requests())
	}
}

// endlessBody responds with bytes until the connection is closed.
func endlessBody(head string) func(net.Conn) {
	return func(c net.Conn) {
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, err = io.WriteString(c, strings.ReplaceAll(head, "%s", r.Header.Get(hID)))
		piece := make([]byte, 64<<10)
		for err == nil {
			_, err = c.Write(piece)
			time.Sleep(time.Millisecond) // limits the CPU use
		}
	}
}

// fetch sends a request and returns how many bytes of the target's response arrived and whether it was
// complete. An error response is the VM's own.
func (w *fixture) fetch(timeout time.Duration) (n int64, whole bool) {
	w.t.Helper()
	r, err := http.NewRequest(http.MethodGet, w.front.URL+"/safe/x", nil)
	if err != nil {
		w.t.Fatal(err)
	}
	r.Host = "host.example"
	for name, value := range map[string]string{hID: newID(), hKey: testKey, hTimeout: fmt.Sprint(timeout.Milliseconds())} {
		r.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, false
	}
	n, err = io.Copy(io.Discard, resp.Body)
	return n, err == nil
}

// TestEndlessResponsesMakeTargetSuspect guards against a target that stays in use though its
// responses never end, or break off after their beginning was forwarded.
func TestEndlessResponsesMakeTargetSuspect(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Seal: s\r\n"
	long := strconv.Itoa(2 * maxBufferedResponse)
	for _, tt := range []struct {
		name    string
		handle  func(net.Conn)
		timeout time.Duration // of the first request
		least   int64         // bytes from which an incomplete response counts against the target
	}{
		{"never ends", endlessBody(head + "\r\n"), 500 * time.Millisecond, endlessResponseBytes + maxBufferedResponse},
		{"breaks off", func(c net.Conn) { // at once, so the timeout must not matter
			defer c.Close()
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, strings.ReplaceAll(head, "%s", r.Header.Get(hID))+"Content-Length: "+long+"\r\n\r\n"+strings.Repeat("x", maxBufferedResponse+1000))
			}
		}, 20 * time.Second, maxBufferedResponse},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newFixture(t)
			w.addRaw("i-bad", "fd-e", tt.handle)
			bad := w.targets.Snapshot().Pools[testPool]["east"][0]
			// A busy machine takes longer for the same number of bytes.
			atFault := func() {
				t.Helper()
				for timeout := tt.timeout; timeout < time.Minute; timeout *= 2 {
					n, whole := w.fetch(timeout)
					if whole {
						t.Errorf("an incomplete answer of %d bytes looks complete", n)
					}
					if n >= tt.least {
						return
					}
				}
				t.Fatalf("got fewer than %d bytes within a minute", tt.least)
			}
			const enough = 3
			for range enough {
				if bad.Suspect() {
					t.Error("the target became suspect too soon")
				}
				atFault()
			}
			if !bad.Suspect() {
				t.Error("the target did not become suspect")
			}
			bad.ClearSuspicion(0, time.Now())
			atFault()
			if !bad.Suspect() {
				t.Error("after a good health check, one bad response does not make the target suspect again")
			}
		})
	}
}

// TestSlowResponseDoesNotMakeTargetSuspect guards against targets that go out of use because a
// caller's timeout was too short for a long response.
func TestSlowResponseDoesNotMakeTargetSuspect(t *testing.T) {
	w := newFixture(t)
	w.add("i-1", "fd-e", func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(hSeal, "s")
		piece := make([]byte, maxBufferedResponse/4)
		for range 20 {
			if _, err := rw.Write(piece); err != nil {
				return
			}
			select {
			case <-time.After(50 * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
	})
	for range 6 {
		if _, _, err := w.send("GET", "/safe/x", "", func(r *http.Request) { r.Header.Set(hTimeout, "400") }); err == nil {
			t.Error("a truncated answer looks complete")
		}
	}
	if w.targets.Snapshot().Pools[testPool]["east"][0].Suspect() {
		t.Error("the target became suspect")
	}
}

// TestTimeoutInFirstMegabyteDoesNotMakeTargetSuspect guards against targets that go out of use because
// callers' timeouts end while a response that is to be buffered still arrives.
func TestTimeoutInFirstMegabyteDoesNotMakeTargetSuspect(t *testing.T) {
	w := newFixture(t)
	w.add("i-1", "fd-e", func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(hSeal, "s")
		for r.Context().Err() == nil {
			if _, err := rw.Write([]byte("x")); err != nil {
				return
			}
			_ = http.NewResponseController(rw).Flush()
			time.Sleep(10 * time.Millisecond)
		}
	})
	var requests sync.WaitGroup
	for range 6 {
		requests.Go(func() {
			if resp, _, err := w.send("GET", "/safe/x", "", func(r *http.Request) { r.Header.Set(hTimeout, "300") }); err != nil || resp.StatusCode != http.StatusGatewayTimeout {
				t.Errorf("%v, %v; want a timeout", resp, err)
			}
		})
	}
	requests.Wait()
	if w.targets.Snapshot().Pools[testPool]["east"][0].Suspect() {
		t.Error("the target became suspect")
	}
}

// TestTruncatedAnswerOverHTTP10 guards against a truncated answer that an HTTP/1.0 caller takes for
// complete, because there the close of the connection marks the end of an answer.
func TestTruncatedAnswerOverHTTP10(t *testing.T) {
	w := newFixture(t)
	w.add("i-1", "fd-e", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(hSeal, "s")
		_, _ = rw.Write(make([]byte, maxBufferedResponse+1000))
		panic(http.ErrAbortHandler)
	})
	c, err := net.Dial("tcp", w.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "GET /safe/x HTTP/1.0\r\nHost: host.example\r\n%s: id-old\r\n%s: %s\r\n\r\n", hID, hKey, testKey)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK || n == 0 {
		t.Fatalf("status %d, %d bytes", resp.StatusCode, n)
	}
	if err == nil {
		t.Errorf("a truncated answer of %d bytes ends without an error", n)
	}
}

// TestCallerLeavesInHeadOfLongAnswer guards against a target that stays occupied for good because its caller
// left while the buffered part of a long answer was being written, or reads nothing more.
func TestCallerLeavesInHeadOfLongAnswer(t *testing.T) {
	for name, closes := range map[string]bool{"closes": true, "reads nothing more": false} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t)
			left := make(chan struct{})
			w.addRaw("i-1", "fd-e", func(c net.Conn) {
				defer close(left)
				failWith(http.StatusOK, 64*maxBufferedResponse, withLength, "")(c)
			})
			c, err := (&net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
				return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
			}}).Dial("tcp", w.front.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			fmt.Fprintf(c, "GET /safe/x HTTP/1.1\r\nHost: host.example\r\n%s: %s\r\n%s: %s\r\n%s: 1000\r\n\r\n", hID, newID(), hKey, testKey, hTimeout)
			if _, err := c.Read(make([]byte, 1)); err != nil {
				t.Fatal(err)
			}
			if closes {
				c.Close()
			}
			select {
			case <-left:
			case <-time.After(4 * time.Second):
				t.Error("the target is still connected")
			}
			l := w.targets.Snapshot().Pools[testPool]["east"][0]
			for deadline := time.Now().Add(4 * time.Second); l.Running() > 0; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatalf("%d requests count as running", l.Running())
				}
			}
		})
	}
}

// TestCallerThatLeftIsNotServed guards against requests that are sent to a target after their
// caller has closed its connection, because the process has not yet read the close.
func TestCallerThatLeftIsNotServed(t *testing.T) {
	w := newFixture(t)
	f := w.add("i-1", "fd-e", respondOK)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	send := func(leaves bool) *answer {
		far, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer far.Close()
		near, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer near.Close()
		if leaves {
			far.Close()
			for peek.Look(near) != peek.Closed {
				time.Sleep(time.Millisecond)
			}
		}
		// The context is not cancelled, as nothing has read the close of the connection.
		r, err := http.NewRequestWithContext(conntrack.ConnContext(t.Context(), near), http.MethodGet, "http://host.example/safe/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancelCause(t.Context())
		defer cancel(nil)
		c := &call{s: w.server, r: r, memory: (*capacity.Plan)(nil).NewUse(), arrived: time.Now(), cancel: cancel, state: w.state, route: w.state.Config.Routes["safe"], pool: testPool, info: CallerInfo{ID: fmt.Sprint("id-", leaves)}}
		c.bodyComplete.Store(true)
		return c.run(ctx)
	}
	if a := send(true); !a.drop || f.requests() != 0 {
		t.Errorf("status %d, the target got %d requests; want none for a caller that has left", a.status, f.requests())
	}
	if a := send(false); a.status != http.StatusOK {
		t.Errorf("status %d for a caller that is connected", a.status)
	}
}

// TestRefusedConnectionDoesNotInterruptOthers guards against requests in flight that are broken off on
// connections that work, because the target refuses a new one.
func TestRefusedConnectionDoesNotInterruptOthers(t *testing.T) {
	w := newFixture(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		c, err := l.Accept()
		if err != nil {
			t.Error(err)
			return
		}
		l.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			t.Error(err)
			return
		}
		close(arrived)
		<-release
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: 0\r\n\r\n", hID, r.Header.Get(hID), hSeal)
	}()
	w.register("i-1", "fd-e", l.Addr().String())
	first := w.statusOf("/safe/slow")
	<-arrived
	w.expect(http.StatusServiceUnavailable, "GET", "/safe/x")
	close(release)
	if got := <-first; got != http.StatusOK {
		t.Errorf("status %d for the request in flight", got)
	}
}
