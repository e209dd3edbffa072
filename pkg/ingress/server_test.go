package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/retry"
)

func TestRequestIsForwardedUnchanged(t *testing.T) {
	w := newWorld(t)
	f := w.add("i-1", "fd-e", good)
	resp, body, err := w.send("POST", "/once/a%2Fb//c?x=1&y=%20", "the body", func(r *http.Request) {
		r.Header.Set(hAccount, "forged")
		r.Header.Set("Extra", "kept")
		r.Header.Set("Connection", "Hop")
		r.Header.Set("Hop", "dropped")
	})
	if err != nil || resp.StatusCode != http.StatusOK || resp.Header.Get(hSeal) != "seal" || body != "body of /once/a/b//c" {
		t.Fatalf("%v %v %q", resp, err, body)
	}
	got := f.seen[0]
	if got.RequestURI != "/once/a%2Fb//c?x=1&y=%20" || got.Host != "host.example" || f.bodies[0] != "the body" {
		t.Errorf("%s %s %q", got.RequestURI, got.Host, f.bodies[0])
	}
	want := map[string]string{hInstance: "i-1", hAccount: testAccount, hKey: "", "Extra": "kept", "Hop": "", "User-Agent": "Go-http-client/1.1"}
	for name, value := range want {
		if got.Header.Get(name) != value {
			t.Errorf("header %s: %q, want %q", name, got.Header.Get(name), value)
		}
	}
}

func TestRefusals(t *testing.T) {
	for _, tt := range []struct {
		name, path string
		set        func(*world)
		change     func(*http.Request)
		status     int
		comesBack  bool
	}{
		{"no configuration", "/safe/x", func(w *world) { w.state = nil }, nil, 503, true},
		{"no route", "/none/x", nil, nil, 404, false},
		{"another host", "/safe/x", nil, func(r *http.Request) { r.Host = "other.example" }, 404, false},
		{"no key", "/safe/x", nil, func(r *http.Request) { r.Header.Del(hKey) }, 401, false},
		{"unknown key", "/safe/x", nil, func(r *http.Request) { r.Header.Set(hKey, "k9") }, 401, false},
		{"over the rate", "/safe/x", func(w *world) { w.limiter[testAccount] = time.Time{} }, nil, 429, true},
		{"no targets", "/safe/x", func(w *world) { w.targets.Evacuate("fd-e", true, time.Now()); w.targets.Publish(0) }, nil, 503, true},
		{"header over the limit", "/safe/x", func(w *world) { w.state.CallerLimits.MaxHeaderBytes = 500 }, func(r *http.Request) {
			r.Header.Set("Extra", strings.Repeat("x", 400))
		}, 431, false},
		{"body over the limit", "/safe/x", func(w *world) { w.state.CallerLimits.MaxBodyBytes = 3 }, func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader("four")), 4
		}, 413, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t)
			f := w.add("i-1", "fd-e", good)
			if tt.set != nil {
				tt.set(w)
			}
			if tt.change == nil {
				tt.change = func(*http.Request) {}
			}
			resp, _ := w.expect(tt.status, "POST", tt.path, tt.change)
			if got := resp.Header.Get(hRetryAfter) != ""; got != tt.comesBack {
				t.Errorf("time to come back: %v, want %v", got, tt.comesBack)
			}
			if resp.Close != tt.comesBack {
				t.Errorf("the connection ends: %v, want %v", resp.Close, tt.comesBack)
			}
			if f.requests() != 0 {
				t.Error("the request reached a target")
			}
		})
	}
}

func TestOpenRouteNeedsNoKey(t *testing.T) {
	w := newWorld(t)
	f := w.add("i-1", "fd-e", good)
	w.expect(200, "GET", "/open/x", func(r *http.Request) { r.Header.Del(hKey); r.Header.Set(hAccount, "forged") })
	if got := f.seen[0].Header.Get(hAccount); got != "" {
		t.Errorf("account %q", got)
	}
}

// reset reads a request and resets the connection, as a target that crashes.
func reset(c net.Conn) { resetNoting(c, func() {}) }

// resetNoting does so and notes the request; a connection that carries none is none.
func resetNoting(c net.Conn, note func()) {
	if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		note()
	}
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// answering writes fixed bytes to each request, with ID in place of %s.
func answering(format string) func(net.Conn) {
	return func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			fmt.Fprint(c, strings.ReplaceAll(format, "%s", r.Header.Get(hID)))
			if strings.Contains(format, "cut here") {
				return
			}
		}
	}
}

// TestFailuresOfOneTarget: what a caller gets where the object's first target
// fails and the second is sound. What may have run is never said not to have.
func TestFailuresOfOneTarget(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Seal: s\r\n"
	for _, tt := range []struct {
		name   string
		handle func(net.Conn)
		// the statuses of an idempotent request and of one that runs once at most
		safe, once int
	}{
		{"reset after the request", reset, 200, 502},
		{"shed", answering("HTTP/1.1 503 X\r\nTest-Id: %s\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), 200, 200},
		{"another instance", answering("HTTP/1.1 421 X\r\nTest-Id: %s\r\nContent-Length: 0\r\n\r\n"), 200, 200},
		{"no signature", answering("HTTP/1.1 200 OK\r\nTest-Id: %s\r\nContent-Length: 2\r\n\r\nok"), 200, 502},
		{"not an answer", answering("garbage\r\n\r\n"), 200, 502},
		{"body cut short", answering(head + "Content-Length: 100\r\n\r\ncut here"), 200, 502},
		{"chunks cut short", answering(head + "Transfer-Encoding: chunked\r\n\r\n8\r\ncut here\r\n"), 200, 502},
		{"its own failure", answering("HTTP/1.1 500 X\r\nTest-Id: %s\r\nTest-Seal: s\r\nContent-Length: 0\r\n\r\n"), 500, 500},
		{"503 that may have run", answering("HTTP/1.1 503 X\r\nTest-Id: %s\r\nTest-Seal: s\r\nContent-Length: 0\r\n\r\n"), 502, 502},
		{"answer to another request first", answering("HTTP/1.1 200 OK\r\nTest-Id: other\r\nTest-Seal: s\r\nContent-Length: 3\r\n\r\nbad" + head + "Content-Length: 2\r\n\r\nok"), 200, 200},
		{"no length, ended in order", answering(head + "Connection: close\r\n\r\ncut here"), 200, 200},
	} {
		for path, status := range map[string]int{"/safe/x": tt.safe, "/once/x": tt.once} {
			t.Run(tt.name+path, func(t *testing.T) {
				w := newWorld(t)
				w.raw("i-bad", "fd-e", tt.handle)
				sound := w.add("i-good", "fd-w", good)
				// The object's region is east as long as it has capacity there; the
				// second target is the next region's.
				resp, _ := w.expect(status, "GET", path, func(r *http.Request) { r.Header.Set(hObject, objectIn(w, "east")) })
				if status == 502 && resp.Header.Get(hSeal) != "" {
					t.Error("a failure of the VM's own bears the target's signature")
				}
				if status == 502 && path == "/once/x" && sound.requests() != 0 {
					t.Error("sent again though it may have run")
				}
			})
		}
	}
}

// objectIn returns an object whose region is as given.
func objectIn(w *world, region string) string {
	for i := range 1000 {
		c := &call{s: w.server, state: w.state, route: w.state.Config.Routes["safe"], pool: testPool, info: CallerInfo{Object: fmt.Sprint(i)}}
		once := &call{s: w.server, state: w.state, route: w.state.Config.Routes["once"], pool: testPool, info: CallerInfo{Object: fmt.Sprint(i)}}
		if a, b := c.choose(context.Background()), once.choose(context.Background()); a != nil && b != nil && a.Region == region && b.Region == region {
			return fmt.Sprint(i)
		}
	}
	w.t.Fatal("no object of that region")
	return ""
}

// TestTargetLostPower: a target that is gone without a word is found to be out of reach by
// others; a request that waits for its answer goes elsewhere then, if it may run twice.
func TestTargetLostPower(t *testing.T) {
	for path, want := range map[string]int{"/safe/a": http.StatusOK, "/short/a": http.StatusGatewayTimeout} {
		w := newWorld(t)
		reached := make(chan struct{}, 1)
		w.raw("dark", "fd-e", func(c net.Conn) {
			_, _ = c.Read(make([]byte, 4096))
			reached <- struct{}{}
			<-t.Context().Done()
		})
		go func() {
			<-reached
			w.add("t2", "fd-e", good)
			w.targets.Snapshot().Pools[testPool]["east"][0].Failed(true)
		}()
		w.expect(want, http.MethodGet, path)
	}
}

func TestTimeout(t *testing.T) {
	w := newWorld(t)
	left := make(chan struct{})
	w.add("i-1", "fd-e", func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(left)
	})
	w.expect(504, "GET", "/short/x")
	<-left // the target is told
}

func TestCallerLeaves(t *testing.T) {
	w := newWorld(t)
	arrived, left := make(chan struct{}), make(chan struct{})
	w.add("i-1", "fd-e", func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(left)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-arrived; cancel() }()
	if _, _, err := w.send("GET", "/safe/x", "", func(r *http.Request) { *r = *r.WithContext(ctx) }); err == nil {
		t.Error("an answer though the caller left")
	}
	<-left
}

func TestAllowedRegions(t *testing.T) {
	w := newWorld(t)
	w.add("i-e", "fd-e", good)
	west := w.add("i-w", "fd-w", good)
	for i := range 50 {
		w.expect(200, "GET", "/east/x", func(r *http.Request) { r.Header.Set(hObject, fmt.Sprint(i)) })
	}
	w.state.Accounts[testAccount].Regions = []string{"east"}
	for i := range 50 {
		w.expect(200, "GET", "/safe/x", func(r *http.Request) { r.Header.Set(hObject, fmt.Sprint(i)) })
	}
	if n := west.requests(); n != 0 {
		t.Errorf("%d requests ran in another region", n)
	}
	w.targets.Evacuate("fd-e", true, time.Now())
	w.targets.Publish(0)
	w.expect(503, "GET", "/east/x")
}

// TestGreyTarget: a target sheds part of its requests although it has room.
// Others take them within the budget of repeats, and the target stays in use.
func TestGreyTarget(t *testing.T) {
	w := newWorld(t)
	w.add("i-1", "fd-e", func(rw http.ResponseWriter, r *http.Request) { rw.Header().Set(hLoad, "1"); shed(rw, r) })
	w.add("i-2", "fd-e", good)
	for i := range 40 {
		w.expect(200, "GET", "/safe/x", func(r *http.Request) { r.Header.Set(hObject, fmt.Sprint(i)) })
	}
	if n := w.all["i-1"].requests(); n == 0 {
		t.Error("the grey target got nothing")
	}
}

// TestRepeatAfterAGreyRefusal: a target that refuses some requests although it has room
// gets the repeat too. On the other one the object would run cold.
func TestRepeatAfterAGreyRefusal(t *testing.T) {
	w := newWorld(t)
	var refuses atomic.Bool
	grey := func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(hLoad, "1")
		if refuses.CompareAndSwap(true, false) {
			shed(rw, r)
			return
		}
		good(rw, r)
	}
	a, b := w.add("t1", "fd-e", grey), w.add("t2", "fd-e", grey)
	object := func(r *http.Request) { r.Header.Set(hObject, "1") }
	const before = 10 // requests that show that the target runs them
	for range before {
		w.expect(http.StatusOK, http.MethodGet, "/safe/a", object)
	}
	refuses.Store(true)
	w.expect(http.StatusOK, http.MethodGet, "/safe/a", object)
	if n := max(a.requests(), b.requests()); n != before+2 {
		t.Errorf("the targets got %d and %d requests, want all on one", a.requests(), b.requests())
	}
}

// TestWhenToComeBack: a target that refuses with free slots may take the next
// attempt at once; one that is full may not.
func TestWhenToComeBack(t *testing.T) {
	for load, want := range map[string]struct{ least, most time.Duration }{
		"1":  {greyRetryMin, greyRetryMax},
		"12": {fullRetryMin, fullRetryMax},
		"":   {fullRetryMin, fullRetryMax},
	} {
		w := newWorld(t)
		w.add("i-1", "fd-e", func(rw http.ResponseWriter, r *http.Request) {
			if load != "" {
				rw.Header().Set(hLoad, load)
			}
			shed(rw, r)
		})
		resp, _ := w.expect(503, "GET", "/safe/x")
		after, err := time.ParseDuration(resp.Header.Get(hRetryAfter))
		if err != nil || after < want.least || after > want.most {
			t.Errorf("load %q: come back after %v, %v; want %v to %v", load, after, err, want.least, want.most)
		}
	}
}

func TestRepeatsAreBounded(t *testing.T) {
	w := newWorld(t)
	w.fleet.repeats = retry.PoolLimit{Ratio: 0, Floor: 5, Window: 10 * time.Second, VMs: 1}
	for i := range 4 {
		w.add(fmt.Sprint("i-", i), "fd-e", func(rw http.ResponseWriter, r *http.Request) { rw.Header().Set(hLoad, "1"); shed(rw, r) })
	}
	const requests = 30
	for i := range requests {
		w.expect(503, "GET", "/safe/x", func(r *http.Request) { r.Header.Set(hObject, fmt.Sprint(i)) })
	}
	arrivals := 0
	for _, f := range w.all {
		arrivals += f.requests()
	}
	if arrivals > requests+5 {
		t.Errorf("%d arrivals of %d requests", arrivals, requests)
	}
}

// TestRepeatAfterAnotherInstanceIsCharged guards against repeats that the budget does not
// count: the address of a target that is gone may belong to another one of the same service.
func TestRepeatAfterAnotherInstanceIsCharged(t *testing.T) {
	w := newWorld(t)
	w.fleet.repeats = retry.PoolLimit{Window: 10 * time.Second, VMs: 1}
	w.raw("i-gone", "fd-e", answering("HTTP/1.1 421 X\r\nTest-Id: %s\r\nContent-Length: 0\r\n\r\n"))
	sound := w.add("i-good", "fd-w", good)
	resp, _ := w.expect(503, "GET", "/safe/x", func(r *http.Request) { r.Header.Set(hObject, objectIn(w, "east")) })
	if resp.Header.Get(hRetryAfter) == "" || sound.requests() != 0 {
		t.Errorf("come back after %q, %d repeats with no budget", resp.Header.Get(hRetryAfter), sound.requests())
	}
	w.expect(200, "GET", "/safe/x") // it is known to be gone now
}

// TestAttempts: no request goes to more targets than its route allows, and
// targets that reset every request get no more once they are suspect.
func TestAttempts(t *testing.T) {
	w := newWorld(t)
	const targets = 5
	arrivals := make(chan string, 1000)
	for i := range targets {
		id := fmt.Sprint("i-", i)
		w.raw(id, "fd-e", func(c net.Conn) { resetNoting(c, func() { arrivals <- id }) })
	}
	w.expect(502, "GET", "/safe/x")
	if n := len(arrivals); n != 2 {
		t.Errorf("one request reached %d targets, its route allows 2", n)
	}
	for range targets * failuresThatAreEnough {
		if _, _, err := w.send("GET", "/safe/x", ""); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(w.targets.Suspects(time.Now())); n != targets {
		t.Errorf("%d targets are suspect, want all %d", n, targets)
	}
	before := len(arrivals)
	resp, _ := w.expect(503, "GET", "/safe/x")
	if resp.Header.Get(hRetryAfter) == "" || len(arrivals) != before {
		t.Error("a request without a usable target is refused, with a time to come back, and sent nowhere")
	}
}

// failuresThatAreEnough is more than the lost answers that make a target suspect.
const failuresThatAreEnough = 4

// TestColdTargetGetsItsRate: a zone returns cold.
func TestColdTargetGetsItsRate(t *testing.T) {
	w := newWorld(t)
	w.fleet.cold = time.Hour
	cold := w.add("i-cold", "fd-e", good)
	w.add("i-warm", "fd-e", good)
	for _, list := range w.targets.Snapshot().Pools[testPool] {
		for _, l := range list {
			if l.ID == "i-cold" {
				l.SetCold(time.Minute, time.Now())
			}
		}
	}
	for i := range 60 {
		w.expect(200, "GET", "/safe/x", func(r *http.Request) { r.Header.Set(hObject, fmt.Sprint(i)) })
	}
	if n := cold.requests(); n != 1 {
		t.Errorf("the cold target got %d requests, want 1", n)
	}
}

func TestLongAnswers(t *testing.T) {
	w := newWorld(t)
	long := strings.Repeat("x", maxKeptAnswer+100)
	w.add("i-1", "fd-e", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(hSeal, "seal")
		fmt.Fprint(rw, long)
	})
	if _, body := w.expect(200, "GET", "/safe/x"); body != long {
		t.Errorf("%d bytes, want %d", len(body), len(long))
	}
	w.raw("i-1", "fd-e", answering("HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Seal: s\r\nContent-Length: "+fmt.Sprint(2*len(long))+"\r\n\r\n"+long+"cut here"))
	if resp, _, err := w.send("GET", "/safe/x", ""); err == nil {
		t.Errorf("an answer that ended early looks complete: %v", resp.Status)
	}
}

func TestStoppingVMClosesConnections(t *testing.T) {
	w := newWorld(t)
	w.add("i-1", "fd-e", good)
	w.server.Stop(time.Now().Add(time.Minute))
	if resp, _ := w.expect(200, "GET", "/safe/x"); !resp.Close {
		t.Error("the connection stays open")
	}
}

// TestSplit: in any stretch of requests, each pool gets its part, and an object
// mostly keeps its pool.
func TestSplit(t *testing.T) {
	s := newSplitter([]config.Part{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}})
	counts := map[string]int{}
	const requests = 2000
	for i := range requests {
		// One object has half of the requests.
		object := uint64(1) << 60
		if i%2 == 0 {
			object = uint64(i) * 0x9e3779b97f4a7c15
		}
		counts[s.choose(object)]++
	}
	if diff := cmp.Diff(true, counts["b"] > requests/10-30 && counts["b"] < requests/10+30); diff != "" {
		t.Errorf("pool b got %d of %d", counts["b"], requests)
	}
}
