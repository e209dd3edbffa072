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
	"sync/atomic"
	"testing"
	"time"

	"crocusramp.dev/crocusramp/pkg/forward"
	"crocusramp.dev/crocusramp/pkg/peek"
)

// TestLateCopyOfARefusalDoesNotAnswerTheRepeat guards against a copy of a refusal that comes on
// a connection which carries the repeat of the same request: the repeat runs, and its caller
// would be told that the request has not.
func TestLateCopyOfARefusalDoesNotAnswerTheRepeat(t *testing.T) {
	w := newWorld(t)
	const warmUp = 20 // requests after which the target is known to run some
	var requests, copies atomic.Int64
	w.raw("i-1", "fd-e", func(c net.Conn) {
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
		t.Error("a request was repeated on the connection that had carried it")
	}
}

// TestSlowDialDoesNotEndRunningWork guards against work that is started again elsewhere because
// a new connection to its target took too long, while the target answers on others.
func TestSlowDialDoesNotEndRunningWork(t *testing.T) {
	w := newWorld(t)
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
		good(rw, r)
	})
	var hang atomic.Bool
	w.server.cfg.Client = forward.NewClient(forward.Config{
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
	w.expect(200, "GET", "/safe/short") // leaves a connection
	hang.Store(true)
	w.add("i-2", "fd-w", good)
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
	if runs.Load() != 2 || w.all["i-2"].requests() > 1 {
		t.Errorf("two long requests began %d runs, and another target got %d requests; the target was never out of reach", runs.Load(), w.all["i-2"].requests())
	}
}

// endless answers with bytes that do not end until the connection does.
func endless(head string) func(net.Conn) {
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
			time.Sleep(time.Millisecond) // it has no use for all of the machine
		}
	}
}

// fetch sends a request and returns how many bytes of the answer came, and whether it ended well.
func (w *world) fetch(patience time.Duration) (n int64, whole bool) {
	w.t.Helper()
	ids++
	r, err := http.NewRequest(http.MethodGet, w.front.URL+"/safe/x", nil)
	if err != nil {
		w.t.Fatal(err)
	}
	r.Host = "host.example"
	for name, value := range map[string]string{hID: fmt.Sprint("id-", ids), hKey: testKey, hPatience: fmt.Sprint(patience.Milliseconds())} {
		r.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	n, err = io.Copy(io.Discard, resp.Body)
	return n, err == nil
}

// TestTargetOfEndlessAnswersIsLeft guards against a target that stays in use though its answers
// never end, or break off after their beginning was passed on.
func TestTargetOfEndlessAnswersIsLeft(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Seal: s\r\n"
	long := strconv.Itoa(2 * maxKeptAnswer)
	for _, tt := range []struct {
		name   string
		handle func(net.Conn)
		least  int64 // bytes from which on an answer is the target's fault
	}{
		{"never ends", endless(head + "\r\n"), endlessAnswer + maxKeptAnswer},
		{"breaks off", func(c net.Conn) {
			defer c.Close()
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, strings.ReplaceAll(head, "%s", r.Header.Get(hID))+"Content-Length: "+long+"\r\n\r\n"+strings.Repeat("x", maxKeptAnswer+1000))
			}
		}, maxKeptAnswer},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t)
			w.raw("i-bad", "fd-e", tt.handle)
			bad := w.targets.Snapshot().Pools[testPool]["east"][0]
			// A machine that is busy takes longer for as many bytes.
			atFault := func() {
				t.Helper()
				for patience := 500 * time.Millisecond; patience < time.Minute; patience *= 2 {
					n, whole := w.fetch(patience)
					if whole {
						t.Errorf("%d bytes look complete", n)
					}
					if n >= tt.least {
						return
					}
				}
				t.Fatalf("not %d bytes in a minute", tt.least)
			}
			const enough = 3
			for range enough {
				if bad.Suspect() {
					t.Error("the target went out of use too soon")
				}
				atFault()
			}
			if !bad.Suspect() {
				t.Error("the target is still in use")
			}
			bad.Cleared(0, time.Now())
			atFault()
			if !bad.Suspect() {
				t.Error("a target whose health check is good needs as many bad answers again")
			}
		})
	}
}

// TestLongAnswerThatEndsLateIsNoFault guards against targets that are left because a caller had
// too little time for a long answer.
func TestLongAnswerThatEndsLateIsNoFault(t *testing.T) {
	w := newWorld(t)
	w.add("i-1", "fd-e", func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(hSeal, "s")
		piece := make([]byte, maxKeptAnswer/4)
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
		if _, _, err := w.send("GET", "/safe/x", "", func(r *http.Request) { r.Header.Set(hPatience, "400") }); err == nil {
			t.Error("an answer that was cut looks complete")
		}
	}
	if w.targets.Snapshot().Pools[testPool]["east"][0].Suspect() {
		t.Error("the target is suspect")
	}
}

// TestBrokenAnswerLooksBrokenToOldCallers guards against an answer that broke off halfway and
// reaches a caller of HTTP/1.0, whose answers end with their connection, as a complete one.
func TestBrokenAnswerLooksBrokenToOldCallers(t *testing.T) {
	w := newWorld(t)
	w.add("i-1", "fd-e", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(hSeal, "s")
		_, _ = rw.Write(make([]byte, maxKeptAnswer+1000))
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
		t.Errorf("%d bytes that end in order", n)
	}
}

// TestCallerThatHasLeftIsNotServed guards against requests that are sent on after their caller
// has closed its connection, as the process had no time to read that.
func TestCallerThatHasLeftIsNotServed(t *testing.T) {
	w := newWorld(t)
	f := w.add("i-1", "fd-e", good)
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
			for peek.Look(near) != peek.End {
				time.Sleep(time.Millisecond)
			}
		}
		// Its context has not ended: nobody has read the connection's end.
		r, err := http.NewRequestWithContext(ConnContext(t.Context(), near), http.MethodGet, "http://host.example/safe/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancelCause(t.Context())
		defer cancel(nil)
		c := &call{s: w.server, r: r, arrived: time.Now(), cancel: cancel, state: w.state, route: w.state.Config.Routes["safe"], pool: testPool, info: CallerInfo{ID: fmt.Sprint("id-", leaves)}}
		c.bodyRead.Store(true)
		return c.run(ctx)
	}
	if a := send(true); !a.drop || f.requests() != 0 {
		t.Errorf("status %d, the target got %d requests of a caller that has left", a.status, f.requests())
	}
	if a := send(false); a.status != http.StatusOK {
		t.Errorf("status %d for a caller that is there", a.status)
	}
}
