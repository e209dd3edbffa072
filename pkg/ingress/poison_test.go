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

// mortal is a target that ends, with its listener and all connections, when it has read a request
// that crashes it.
type mortal struct {
	mu      sync.Mutex
	open    []net.Conn
	ended   bool
	crashed func()
}

// addMortal adds a target that ends on requests whose body or path says so.
func (w *world) addMortal(id string, crashes func(r *http.Request, body string) bool, crashed func()) {
	w.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { l.Close() })
	m := &mortal{crashed: crashed}
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
	w.list(id, "fd-e", l.Addr().String())
}

func (m *mortal) serve(l net.Listener, c net.Conn, crashes func(*http.Request, string) bool) {
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

// poisonWorld has targets that end on requests whose body or path holds "poison".
func poisonWorld(t *testing.T, targets int) (w *world, deaths func() int) {
	w = newWorld(t)
	var mu sync.Mutex
	n := 0
	poison := func(r *http.Request, body string) bool {
		return strings.Contains(r.URL.Path, "poison") || strings.HasSuffix(body, "poison")
	}
	for i := range targets {
		w.addMortal("i-"+string(rune('a'+i)), poison, func() {
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

// TestRequestThatCrashesTargetsIsKeptBack guards against a request that ends one target after the
// other.
func TestRequestThatCrashesTargetsIsKeptBack(t *testing.T) {
	long := strings.Repeat("x", 3*maxKeptBody)
	for _, tt := range []struct {
		name, method, path, body, like string // like differs from the request
		likeBody                       string
	}{
		{name: "idempotent", method: "GET", path: "/safe/poison", like: "/safe/poisoN"},
		{name: "at most once", method: "POST", path: "/once/x", body: "poison", like: "/once/x", likeBody: "poisoN"},
		{name: "long", method: "POST", path: "/once/x", body: long + "poison", like: "/once/x", likeBody: long + "poisoN"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w, deaths := poisonWorld(t, 8)
			var last *http.Response
			for range 6 {
				resp, _, err := w.send(tt.method, tt.path, tt.body)
				if err != nil {
					t.Fatal(err)
				}
				last = resp
			}
			if n := deaths(); n != 2 {
				t.Errorf("%d targets ended, want 2", n)
			}
			if last.StatusCode != http.StatusServiceUnavailable || last.Header.Get(hRetryAfter) == "" {
				t.Errorf("status %d, come back after %q", last.StatusCode, last.Header.Get(hRetryAfter))
			}
			if resp, _, err := w.send(tt.method, tt.like, tt.likeBody); err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("a request that differs: %v, %v", resp, err)
			}
			if resp, _, err := w.send(tt.method, tt.path, tt.body, func(r *http.Request) { r.Header.Set(hKey, "k2") }); err != nil || resp.StatusCode == http.StatusServiceUnavailable {
				t.Errorf("another account's request: %v, %v", resp, err)
			}
		})
	}
}

// TestQuarantineEndsWithTrials has a request kept back that crashes targets, and one that did.
func TestQuarantineEndsWithTrials(t *testing.T) {
	w, deaths := poisonWorld(t, 8)
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
	if n, tried := deaths(), w.suspects.tried.Load(); n != 4 || tried != 2 {
		t.Errorf("%d targets ended, %d trials; want 4 and 2", n, tried)
	}

	w, _ = poisonWorld(t, 2)
	for range 3 {
		send()
	}
	w.add("i-mended", "fd-e", good)
	w.clock.Advance(11 * time.Second)
	if status := send(); status != http.StatusOK {
		t.Fatalf("the trial: status %d", status)
	}
	if status := send(); status != http.StatusOK || w.suspects.tried.Load() != 1 {
		t.Errorf("after it: status %d, %d trials", status, w.suspects.tried.Load())
	}
}

// TestQuarantinedRequestCostsItsAccountNothing guards against the rate of an account that is spent
// on requests which are kept back.
func TestQuarantinedRequestCostsItsAccountNothing(t *testing.T) {
	w, _ := poisonWorld(t, 4)
	for range 3 {
		if _, _, err := w.send("GET", "/safe/poison", ""); err != nil {
			t.Fatal(err)
		}
	}
	w.limiter[testAccount] = time.Time{} // refuses it from now on
	w.expect(http.StatusServiceUnavailable, "GET", "/safe/poison")
	w.expect(http.StatusTooManyRequests, "GET", "/safe/other")
}

// TestLostAnswerIsNoDeath guards against innocent requests that are taken for poison: connections
// break while their target goes on.
func TestLostAnswerIsNoDeath(t *testing.T) {
	w := newWorld(t)
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		w.raw(id, "fd-e", reset)
	}
	for range 4 {
		if _, _, err := w.send("GET", "/safe/x", ""); err != nil {
			t.Fatal(err)
		}
	}
	if !w.quarantine.Empty() {
		t.Errorf("suspects: %+v", w.quarantine.Cases(0))
	}
}

// TestPopularRequestIsServedWhileTargetsDie has one request run on each target that another one
// crashes.
func TestPopularRequestIsServedWhileTargetsDie(t *testing.T) {
	w, deaths := poisonWorld(t, 8)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	statuses, reasons := map[int]int{}, 0
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
					reasons++
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
	if deaths() < 3 || reasons > 0 || statuses[http.StatusOK] == 0 {
		t.Errorf("%d targets ended; the popular request was kept back %d times: %v, %s", deaths(), reasons, statuses, outcome.ReasonQuarantined)
	}
}
