package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"crocusramp.dev/crocusramp/pkg/outcome"
)

// crashingTarget is a target that crashes when it has read a certain request: its listener and all
// its connections are closed.
type crashingTarget struct {
	mu      sync.Mutex
	open    []net.Conn
	ended   bool
	crashed func()
}

// addCrashingTarget adds a target that crashes on requests for which crashes returns true.
func (w *fixture) addCrashingTarget(id string, crashes func(r *http.Request, body string) bool, crashed func()) {
	w.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { l.Close() })
	m := &crashingTarget{crashed: crashed}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			m.mu.Lock()
			m.open = append(m.open, c)
			if m.ended {
				c.Close()
			}
			m.mu.Unlock()
			go m.serve(l, c, crashes)
		}
	}()
	w.register(id, "fd-e", l.Addr().String())
}

func (m *crashingTarget) serve(l net.Listener, c net.Conn, crashes func(*http.Request, string) bool) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if crashes(r, string(body)) {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.ended = true
			l.Close()
			m.crashed()
			for _, c := range m.open {
				c.Close()
			}
			return
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+hID+": "+r.Header.Get(hID)+"\r\n"+hSeal+": seal\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

// newPoisonFixture returns a fixture whose targets crash on requests with "poison" in the path or
// at the end of the body.
func newPoisonFixture(t *testing.T, targets int) (w *fixture, deaths func() int) {
	w = newFixture(t)
	var mu sync.Mutex
	n := 0
	crashes := func(r *http.Request, body string) bool {
		return strings.Contains(r.URL.Path, "poison") || strings.HasSuffix(body, "poison")
	}
	for i := range targets {
		w.addCrashingTarget("i-"+string(rune('a'+i)), crashes, func() {
			mu.Lock()
			defer mu.Unlock()
			n++
		})
	}
	return w, func() int {
		mu.Lock()
		defer mu.Unlock()
		return n
	}
}

// TestRequestThatCrashesTargetsIsQuarantined guards against a request that crashes one target after
// the other.
func TestRequestThatCrashesTargetsIsQuarantined(t *testing.T) {
	long := strings.Repeat("x", 3*maxBufferedBody)
	for _, tt := range []struct {
		name, method, path, body, like string // like is the path of a similar, harmless request
		likeBody                       string
	}{
		{name: "idempotent", method: "GET", path: "/safe/poison", like: "/safe/poisoN"},
		{name: "at most once", method: "POST", path: "/once/x", body: "poison", like: "/once/x", likeBody: "poisoN"},
		{name: "long", method: "POST", path: "/once/x", body: long + "poison", like: "/once/x", likeBody: long + "poisoN"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w, deaths := newPoisonFixture(t, 8)
			var last *http.Response
			for range 6 {
				resp, _, err := w.send(tt.method, tt.path, tt.body)
				if err != nil {
					t.Fatal(err)
				}
				last = resp
			}
			if n := deaths(); n != 2 {
				t.Errorf("%d targets crashed, want 2", n)
			}
			if last.StatusCode != http.StatusServiceUnavailable || last.Header.Get(hRetryAfter) == "" {
				t.Errorf("status %d, retry after %q; want 503 and a retry time", last.StatusCode, last.Header.Get(hRetryAfter))
			}
			if resp, _, err := w.send(tt.method, tt.like, tt.likeBody); err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("a similar request: %v, %v", resp, err)
			}
			if resp, _, err := w.send(tt.method, tt.path, tt.body, func(r *http.Request) { r.Header.Set(hKey, "k2") }); err != nil || resp.StatusCode == http.StatusServiceUnavailable {
				t.Errorf("another account's request: %v, %v", resp, err)
			}
		})
	}
}

// TestQuarantineEndsWithTrials checks that a quarantined request which still crashes targets is
// tried a limited number of times, and that one which no longer does is released by its first
// trial.
func TestQuarantineEndsWithTrials(t *testing.T) {
	w, deaths := newPoisonFixture(t, 8)
	send := func() int {
		resp, _, err := w.send("GET", "/safe/poison", "")
		if err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode
	}
	for range 3 {
		send()
	}
	for _, after := range []time.Duration{11 * time.Second, 61 * time.Second, 361 * time.Second} {
		w.clock.Advance(after)
		for range 3 {
			send()
		}
	}
	if n, tried := deaths(), w.suspects.trials.Load(); n != 4 || tried != 2 {
		t.Errorf("%d targets crashed, %d trials; want 4 and 2", n, tried)
	}

	w, _ = newPoisonFixture(t, 2)
	for range 3 {
		send()
	}
	w.add("i-mended", "fd-e", respondOK)
	w.clock.Advance(11 * time.Second)
	if status := send(); status != http.StatusOK {
		t.Fatalf("the trial: status %d", status)
	}
	if status := send(); status != http.StatusOK || w.suspects.trials.Load() != 1 {
		t.Errorf("after the trial: status %d, %d trials; want 200 and 1", status, w.suspects.trials.Load())
	}
}

// TestQuarantinedRequestSparesAccountRate guards against quarantined requests that use up the rate
// of their client account.
func TestQuarantinedRequestSparesAccountRate(t *testing.T) {
	w, _ := newPoisonFixture(t, 4)
	for range 3 {
		if _, _, err := w.send("GET", "/safe/poison", ""); err != nil {
			t.Fatal(err)
		}
	}
	w.limiter[testAccount] = time.Time{} // refuses it from now on
	w.expect(http.StatusServiceUnavailable, "GET", "/safe/poison")
	w.expect(http.StatusTooManyRequests, "GET", "/safe/other")
}

// TestLostResponseIsNoDeath guards against harmless requests that become suspect because their
// connections break while the target keeps running.
func TestLostResponseIsNoDeath(t *testing.T) {
	w := newFixture(t)
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		w.addRaw(id, "fd-e", resetConn)
	}
	for range 4 {
		if _, _, err := w.send("GET", "/safe/x", ""); err != nil {
			t.Fatal(err)
		}
	}
	if !w.quarantine.Empty() {
		t.Errorf("suspects: %+v, want none", w.quarantine.Cases(0))
	}
}

// TestPopularRequestIsServedWhileTargetsDie guards against the quarantine of a popular request that
// happens to run on each target which another request crashes.
func TestPopularRequestIsServedWhileTargetsDie(t *testing.T) {
	w, deaths := newPoisonFixture(t, 8)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	statuses, refusals := map[int]int{}, 0
	for range 4 {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				r, _ := http.NewRequest("GET", w.front.URL+"/safe/popular", nil)
				r.Host = "host.example"
				r.Header.Set(hKey, testKey)
				resp, err := http.DefaultClient.Do(r)
				if err != nil {
					continue
				}
				body, _ := io.ReadAll(resp.Body)
				resp.Body.Close()
				mu.Lock()
				statuses[resp.StatusCode]++
				if strings.Contains(string(body), "targets died") {
					refusals++
				}
				mu.Unlock()
			}
		})
	}
	for i := range 3 {
		time.Sleep(20 * time.Millisecond)
		if _, _, err := w.send("GET", "/safe/poison"+strings.Repeat("!", i), ""); err != nil {
			t.Fatal(err)
		}
	}
	close(stop)
	callers.Wait()
	if deaths() < 3 || refusals > 0 || statuses[http.StatusOK] == 0 {
		t.Errorf("%d targets crashed; the popular request was refused %d times: %v, %s", deaths(), refusals, statuses, outcome.ReasonQuarantined)
	}
}
