package ingress

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/retry"
	"crocusramp.dev/crocusramp/pkg/storage"
)

func TestRequestIsForwardedUnchanged(t *testing.T) {
	w := newFixture(t)
	f := w.add("i-1", "fd-e", respondOK)
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
		name, path     string
		set            func(*fixture)
		change         func(*http.Request)
		status         int
		wantRetryAfter bool
	}{
		{"no configuration", "/safe/x", func(w *fixture) { w.state = nil }, nil, 503, true},
		{"no route", "/none/x", nil, nil, 404, false},
		{"another host", "/safe/x", nil, func(r *http.Request) { r.Host = "other.example" }, 404, false},
		{"no key", "/safe/x", nil, func(r *http.Request) { r.Header.Del(hKey) }, 401, false},
		{"unknown key", "/safe/x", nil, func(r *http.Request) { r.Header.Set(hKey, "k9") }, 401, false},
		{"over the rate", "/safe/x", func(w *fixture) { w.limiter[testAccount] = time.Time{} }, nil, 429, true},
		{"no targets", "/safe/x", func(w *fixture) { w.targets.Evacuate("fd-e", true, time.Now()); w.targets.Publish(storage.Version{}) }, nil, 503, true},
		{"header over the limit", "/safe/x", func(w *fixture) { w.state.CallerLimits.MaxHeaderBytes = 500 }, func(r *http.Request) {
			r.Header.Set("Extra", strings.Repeat("x", 400))
		}, 431, false},
		{"body over the limit", "/safe/x", func(w *fixture) { w.state.CallerLimits.MaxBodyBytes = 3 }, func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader("four")), 4
		}, 413, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newFixture(t)
			f := w.add("i-1", "fd-e", respondOK)
			if tt.set != nil {
				tt.set(w)
			}
			if tt.change == nil {
				tt.change = func(*http.Request) {}
			}
			resp, _ := w.expect(tt.status, "POST", tt.path, tt.change)
			if got := resp.Header.Get(hRetryAfter) != ""; got != tt.wantRetryAfter {
				t.Errorf("has a retry time: %v, want %v", got, tt.wantRetryAfter)
			}
			if resp.Close != tt.wantRetryAfter {
				t.Errorf("closes the connection: %v, want %v", resp.Close, tt.wantRetryAfter)
			}
			if f.requests() != 0 {
				t.Error("the request reached a target")
			}
		})
	}
}

func TestOpenRouteNeedsNoKey(t *testing.T) {
	w := newFixture(t)
	f := w.add("i-1", "fd-e", respondOK)
	w.expect(200, "GET", "/open/x", func(r *http.Request) { r.Header.Del(hKey); r.Header.Set(hAccount, "forged") })
	if got := f.seen[0].Header.Get(hAccount); got != "" {
		t.Errorf("the target was told account %q, want none", got)
	}
}

// TestEncodedPathSelectsRoute guards against a route that is selected by the decoded path: an encoded slash selected an
// idempotent route in place of one for requests that may run once, and a prefix with an encoded byte matched nothing
// (TWICE, ROUTE).
func TestEncodedPathSelectsRoute(t *testing.T) {
	for _, tt := range []struct {
		path     string
		attempts int32 // none of which gets a response
	}{
		{"/letters/draft/17", 2},
		{"/letters/draft%2F17", 1},
		{"/letters/draft%2f17?x=/y", 1},
		{"/letters%2Fdraft/17", 0},
		{"/a%2Fb/17", 2},
		{"/a/b/17", 0},
	} {
		t.Run(tt.path, func(t *testing.T) {
			w := newFixture(t)
			for prefix, mode := range map[string]config.Mode{"/letters/": config.ModeAtMostOnce, "/letters/draft/": config.ModeIdempotent, "/a%2Fb/": config.ModeIdempotent} {
				w.state.Config.Routes[prefix] = &config.Route{Name: prefix, Host: "host.example", PathPrefix: prefix, Pool: testPool, Mode: mode, MaxAttempts: 2, Timeout: 5 * time.Second, Objective: time.Second}
			}
			w.state = NewState(w.state.Config, nil)
			var attempts atomic.Int32
			for _, id := range []string{"i-1", "i-2"} {
				w.addRaw(id, "fd-e", func(c net.Conn) { resetAndNotify(c, func() { attempts.Add(1) }) })
			}
			if _, _, err := w.send("POST", tt.path, "", func(*http.Request) {}); err != nil {
				t.Fatal(err)
			}
			if got := attempts.Load(); got != tt.attempts {
				t.Errorf("%d attempts, want %d", got, tt.attempts)
			}
		})
	}
}

// TestUnknownKeyOnOpenRoute guards against a request with a key that this VM does not know, because it was withdrawn
// or comes with a later configuration, and that runs as if it had none: outside the regions of its account, and
// beyond its rate (HOME, CONFIG, QUOTA).
func TestUnknownKeyOnOpenRoute(t *testing.T) {
	w := newFixture(t)
	f := w.add("i-1", "fd-e", respondOK)
	w.expect(200, "GET", "/open/x")
	w.expect(401, "GET", "/open/x", func(r *http.Request) { r.Header.Set(hKey, "k9") })
	if got := f.requests(); got != 1 {
		t.Errorf("%d requests reached the target, want that with the known key alone", got)
	}
	withoutAccounts := config.Empty()
	withoutAccounts.Routes["open"] = testConfig().Routes["open"]
	w.state = NewState(withoutAccounts, nil)
	w.expect(200, "GET", "/open/x", func(r *http.Request) { r.Header.Set(hKey, "k9") })
}

// TestRegionsChangeWhileRequestWaits guards against a request that runs outside the regions which its route or
// account is limited to while it waits for an attempt (HOME).
func TestRegionsChangeWhileRequestWaits(t *testing.T) {
	for name, limitTo := range map[string]func(*config.Config, string){
		"route":   func(c *config.Config, region string) { c.Routes["safe"].Regions = []string{region} },
		"account": func(c *config.Config, region string) { c.Accounts[testAccount].Regions = []string{region} },
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t)
			var state atomic.Pointer[State]
			w.server.cfg.State = state.Load
			shedAndLimit := func(region string) http.HandlerFunc {
				return func(rw http.ResponseWriter, r *http.Request) {
					next := testConfig()
					limitTo(next, region)
					state.Store(NewState(next, nil))
					shed(rw, r)
				}
			}
			targets := []*fakeTarget{w.add("i-e", "fd-e", shedAndLimit("east")), w.add("i-w", "fd-w", shedAndLimit("west"))}
			const requests = 20
			for i := range requests {
				state.Store(NewState(testConfig(), nil))
				w.expect(503, "GET", "/safe/x", func(r *http.Request) { r.Header.Set(hObject, fmt.Sprint(i)) })
			}
			if got := targets[0].requests() + targets[1].requests(); got != requests {
				t.Errorf("%d attempts of %d requests, want none in the other region", got, requests)
			}
		})
	}
}

// resetConn reads a request and resets the connection, like a target that crashes.
func resetConn(c net.Conn) { resetAndNotify(c, func() {}) }

// resetAndNotify does the same and calls notify for the request. Connections that carry no request
// are not counted.
func resetAndNotify(c net.Conn, notify func()) {
	if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		notify()
	}
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// fixedResponse writes fixed bytes in reply to each request, with the request's ID in place of %s.
func fixedResponse(format string) func(net.Conn) {
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

// TestFailuresOfOneTarget checks what a caller gets if the object's first target fails and the
// second is healthy. A request that may have run must never be reported as not run.
func TestFailuresOfOneTarget(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Seal: s\r\n"
	for _, tt := range []struct {
		name   string
		handle func(net.Conn)
		// the statuses of an idempotent request and of an at-most-once one
		safe, once int
	}{
		{"reset after the request", resetConn, 200, 502},
		{"shed", fixedResponse("HTTP/1.1 503 X\r\nTest-Id: %s\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), 200, 200},
		{"another instance", fixedResponse("HTTP/1.1 421 X\r\nTest-Id: %s\r\nContent-Length: 0\r\n\r\n"), 200, 200},
		{"no signature", fixedResponse("HTTP/1.1 200 OK\r\nTest-Id: %s\r\nContent-Length: 2\r\n\r\nok"), 200, 502},
		{"invalid response", fixedResponse("garbage\r\n\r\n"), 200, 502},
		{"body cut short", fixedResponse(head + "Content-Length: 100\r\n\r\ncut here"), 200, 502},
		{"chunks cut short", fixedResponse(head + "Transfer-Encoding: chunked\r\n\r\n8\r\ncut here\r\n"), 200, 502},
		{"500 by the target", fixedResponse("HTTP/1.1 500 X\r\nTest-Id: %s\r\nTest-Seal: s\r\nContent-Length: 0\r\n\r\n"), 500, 500},
		{"503 that may have run", fixedResponse("HTTP/1.1 503 X\r\nTest-Id: %s\r\nTest-Seal: s\r\nContent-Length: 0\r\n\r\n"), 502, 502},
		{"response to another request first", fixedResponse("HTTP/1.1 200 OK\r\nTest-Id: other\r\nTest-Seal: s\r\nContent-Length: 3\r\n\r\nbad" + head + "Content-Length: 2\r\n\r\nok"), 200, 200},
		{"no length, connection closed in order", fixedResponse(head + "Connection: close\r\n\r\ncut here"), 200, 200},
	} {
		for path, status := range map[string]int{"/safe/x": tt.safe, "/once/x": tt.once} {
			t.Run(tt.name+path, func(t *testing.T) {
				w := newFixture(t)
				w.addRaw("i-bad", "fd-e", tt.handle)
				healthy := w.add("i-good", "fd-w", respondOK)
				// As long as east has capacity, the object belongs there; the second target is in
				// the next region.
				resp, _ := w.expect(status, "GET", path, func(r *http.Request) { r.Header.Set(hObject, objectIn(w, "east")) })
				if status == 502 && resp.Header.Get(hSeal) != "" {
					t.Error("an answer that the VM generated has the target's signature")
				}
				if status == 502 && path == "/once/x" && healthy.requests() != 0 {
					t.Error("an at-most-once request was sent again though it may have run")
				}
			})
		}
	}
}

// objectIn returns an object that is placed in the given region.
func objectIn(w *fixture, region string) string {
	for i := range 1000 {
		c := &call{s: w.server, state: w.state, route: w.state.Config.Routes["safe"], pool: testPool, info: CallerInfo{Object: fmt.Sprint(i)}}
		once := &call{s: w.server, state: w.state, route: w.state.Config.Routes["once"], pool: testPool, info: CallerInfo{Object: fmt.Sprint(i)}}
		if a, b := c.chooseTarget(context.Background()), once.chooseTarget(context.Background()); a != nil && b != nil && a.Region == region && b.Region == region {
			return fmt.Sprint(i)
		}
	}
	w.t.Fatal("no object of that region")
	return ""
}

// TestTargetLostPower guards against requests that wait out their time at a target that lost power
// and stays silent. Once other requests find it unreachable, a waiting idempotent request goes to
// another target; an at-most-once request times out.
func TestTargetLostPower(t *testing.T) {
	for path, want := range map[string]int{"/safe/a": http.StatusOK, "/short/a": http.StatusGatewayTimeout} {
		w := newFixture(t)
		reached := make(chan struct{}, 1)
		w.addRaw("dark", "fd-e", func(c net.Conn) {
			_, _ = c.Read(make([]byte, 4096))
			runtime.GC() // must not close the connection, as long as the target is up
			reached <- struct{}{}
			<-t.Context().Done()
		})
		go func() {
			<-reached
			w.add("t2", "fd-e", respondOK)
			w.targets.Snapshot().Pools[testPool]["east"][0].RecordFailure(true)
		}()
		w.expect(want, http.MethodGet, path)
	}
}

func TestTimeout(t *testing.T) {
	w := newFixture(t)
	left := make(chan struct{})
	w.add("i-1", "fd-e", func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(left)
	})
	w.expect(504, "GET", "/short/x")
	<-left // the target's request was cancelled
}

func TestCallerLeaves(t *testing.T) {
	w := newFixture(t)
	arrived, left := make(chan struct{}), make(chan struct{})
	w.add("i-1", "fd-e", func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(left)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-arrived; cancel() }()
	if _, _, err := w.send("GET", "/safe/x", "", func(r *http.Request) { *r = *r.WithContext(ctx) }); err == nil {
		t.Error("got an answer though the caller had left")
	}
	<-left
}

func TestAllowedRegions(t *testing.T) {
	w := newFixture(t)
	w.add("i-e", "fd-e", respondOK)
	west := w.add("i-w", "fd-w", respondOK)
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
	w.targets.Publish(storage.Version{})
	w.expect(503, "GET", "/east/x")
}

// TestTargetThatShedsWithFreeSlots guards against a target that goes out of use because it sheds
// some requests although it has free slots. Other targets take those requests within the retry
// budget.
func TestTargetThatShedsWithFreeSlots(t *testing.T) {
	w := newFixture(t)
	w.add("i-1", "fd-e", func(rw http.ResponseWriter, r *http.Request) { rw.Header().Set(hLoad, "1"); shed(rw, r) })
	w.add("i-2", "fd-e", respondOK)
	for i := range 40 {
		w.expect(200, "GET", "/safe/x", func(r *http.Request) { r.Header.Set(hObject, fmt.Sprint(i)) })
	}
	if n := w.fakes["i-1"].requests(); n == 0 {
		t.Error("the target that sheds requests got none")
	}
}

// TestRetryStaysAtTargetWithFreeSlots guards against a retry that runs cold on another target,
// although the target that refused the request has free slots and would probably take it.
func TestRetryStaysAtTargetWithFreeSlots(t *testing.T) {
	w := newFixture(t)
	var refuses atomic.Bool
	handler := func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(hLoad, "1")
		if refuses.CompareAndSwap(true, false) {
			shed(rw, r)
			return
		}
		respondOK(rw, r)
	}
	a, b := w.add("t1", "fd-e", handler), w.add("t2", "fd-e", handler)
	object := func(r *http.Request) { r.Header.Set(hObject, "1") }
	const before = 10 // enough for the target to count as one that runs requests
	for range before {
		w.expect(http.StatusOK, http.MethodGet, "/safe/a", object)
	}
	refuses.Store(true)
	w.expect(http.StatusOK, http.MethodGet, "/safe/a", object)
	if n := max(a.requests(), b.requests()); n != before+2 {
		t.Errorf("the targets got %d and %d requests, want all on one", a.requests(), b.requests())
	}
}

// TestRetryAfterOfRefusal checks that a refusal by a target with free slots allows an immediate
// retry and one by a full target does not.
func TestRetryAfterOfRefusal(t *testing.T) {
	for load, want := range map[string]struct{ least, most time.Duration }{
		"1":  {freeSlotsRetryMin, freeSlotsRetryMax},
		"12": {fullRetryMin, fullRetryMax},
		"":   {fullRetryMin, fullRetryMax},
	} {
		w := newFixture(t)
		w.add("i-1", "fd-e", func(rw http.ResponseWriter, r *http.Request) {
			if load != "" {
				rw.Header().Set(hLoad, load)
			}
			shed(rw, r)
		})
		resp, _ := w.expect(503, "GET", "/safe/x")
		after, err := time.ParseDuration(resp.Header.Get(hRetryAfter))
		if err != nil || after < want.least || after > want.most {
			t.Errorf("load %q: retry after %v, %v; want %v to %v", load, after, err, want.least, want.most)
		}
	}
}

func TestRetriesAreBounded(t *testing.T) {
	w := newFixture(t)
	w.fleet.retries = retry.PoolLimit{Ratio: 0, Floor: 5, Window: 10 * time.Second, VMs: 1}
	for i := range 4 {
		w.add(fmt.Sprint("i-", i), "fd-e", func(rw http.ResponseWriter, r *http.Request) { rw.Header().Set(hLoad, "1"); shed(rw, r) })
	}
	const requests = 30
	for i := range requests {
		w.expect(503, "GET", "/safe/x", func(r *http.Request) { r.Header.Set(hObject, fmt.Sprint(i)) })
	}
	arrivals := 0
	for _, f := range w.fakes {
		arrivals += f.requests()
	}
	if arrivals > requests+5 {
		t.Errorf("%d attempts for %d requests, want at most 5 more", arrivals, requests)
	}
}

// TestRetryAfterAnotherInstanceIsCharged guards against retries that the budget does not count: the
// address of a target that is gone may belong to another target of the same pool.
func TestRetryAfterAnotherInstanceIsCharged(t *testing.T) {
	w := newFixture(t)
	w.fleet.retries = retry.PoolLimit{Window: 10 * time.Second, VMs: 1}
	w.addRaw("i-gone", "fd-e", fixedResponse("HTTP/1.1 421 X\r\nTest-Id: %s\r\nContent-Length: 0\r\n\r\n"))
	healthy := w.add("i-good", "fd-w", respondOK)
	resp, _ := w.expect(503, "GET", "/safe/x", func(r *http.Request) { r.Header.Set(hObject, objectIn(w, "east")) })
	if resp.Header.Get(hRetryAfter) == "" || healthy.requests() != 0 {
		t.Errorf("retry after %q, %d retries without budget", resp.Header.Get(hRetryAfter), healthy.requests())
	}
	w.expect(200, "GET", "/safe/x") // the target is known to be gone now
}

// TestAttemptsAreBounded guards against requests that go to more targets than their route allows,
// and against further requests to targets that reset every connection once they are suspect.
func TestAttemptsAreBounded(t *testing.T) {
	w := newFixture(t)
	const targets = 5
	arrivals := make(chan string, 1000)
	for i := range targets {
		id := fmt.Sprint("i-", i)
		w.addRaw(id, "fd-e", func(c net.Conn) { resetAndNotify(c, func() { arrivals <- id }) })
	}
	w.expect(502, "GET", "/safe/x")
	if n := len(arrivals); n != 2 {
		t.Errorf("one request reached %d targets, its route allows 2", n)
	}
	for range targets * failuresToSuspect {
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
		t.Error("without a usable target, the request must be refused with a retry time and reach no target")
	}
}

// failuresToSuspect is more than the number of lost responses that makes a target suspect.
const failuresToSuspect = 4

// TestColdTargetGetsItsRate guards against an overload of cold targets, as when a failure domain
// returns.
func TestColdTargetGetsItsRate(t *testing.T) {
	w := newFixture(t)
	w.fleet.cold = time.Hour
	cold := w.add("i-cold", "fd-e", respondOK)
	w.add("i-warm", "fd-e", respondOK)
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

func TestLongResponses(t *testing.T) {
	w := newFixture(t)
	long := strings.Repeat("x", maxBufferedResponse+100)
	w.add("i-1", "fd-e", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(hSeal, "seal")
		fmt.Fprint(rw, long)
	})
	if _, body := w.expect(200, "GET", "/safe/x"); body != long {
		t.Errorf("%d bytes, want %d", len(body), len(long))
	}
	w.addRaw("i-1", "fd-e", fixedResponse("HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Seal: s\r\nContent-Length: "+fmt.Sprint(2*len(long))+"\r\n\r\n"+long+"cut here"))
	if resp, _, err := w.send("GET", "/safe/x", ""); err == nil {
		t.Errorf("a truncated answer looks complete: %v", resp.Status)
	}
}

func TestStoppingVMClosesConnections(t *testing.T) {
	w := newFixture(t)
	w.add("i-1", "fd-e", respondOK)
	w.server.Stop(time.Now().Add(time.Minute))
	if resp, _ := w.expect(200, "GET", "/safe/x"); !resp.Close {
		t.Error("the answer does not close the connection")
	}
}

// TestSplit checks that each pool gets its share of the requests even if one object has half of
// them.
func TestSplit(t *testing.T) {
	s := newSplitter([]config.WeightedPool{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}})
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
		t.Errorf("pool b got %d of %d requests", counts["b"], requests)
	}
}

// TestConnectionKeepsLimitOfItsAnswer guards against callers that reuse a connection within the limit under
// which they got their last answer, and find it closed because the limit was lowered meanwhile.
func TestConnectionKeepsLimitOfItsAnswer(t *testing.T) {
	w := newFixture(t)
	w.state.CallerLimits.IdleTimeout = 15 * time.Second
	w.add("i-1", "fd-e", func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Keep-Alive", "timeout=77") // applies to the connection to the target
		respondOK(rw, r)
	})
	c, err := net.Dial("tcp", w.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	in := bufio.NewReader(c)
	get := func() *http.Response {
		fmt.Fprintf(c, "GET /safe/x HTTP/1.1\r\nHost: host.example\r\n%s: %s\r\n%s: %s\r\n\r\n", hID, newID(), hKey, testKey)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp
	}
	if resp := get(); resp.StatusCode != http.StatusOK || resp.Header.Get("Keep-Alive") != "" {
		t.Errorf("%v; want the target's answer without the header of its connection", resp)
	}
	w.state.CallerLimits.IdleTimeout = time.Second
	expire := func(idle time.Duration) error {
		w.callers.CloseExpired(time.Second, time.Now().Add(idle))
		if err := c.SetReadDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		_, err := in.ReadByte()
		return err
	}
	time.Sleep(50 * time.Millisecond) // the connection becomes idle shortly after the caller has its answer
	if err := expire(14 * time.Second); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("closed within the limit of the last answer: %v", err)
	}
	if err := expire(16 * time.Second); err != io.EOF {
		t.Errorf("open after the limit of the last answer: %v", err)
	}
}
