package ingress

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/conntrack"
	"crocusramp.dev/crocusramp/pkg/forward"
	"crocusramp.dev/crocusramp/pkg/limit"
	"crocusramp.dev/crocusramp/pkg/placement"
	"crocusramp.dev/crocusramp/pkg/quarantine"
	"crocusramp.dev/crocusramp/pkg/reach"
	"crocusramp.dev/crocusramp/pkg/retry"
	"crocusramp.dev/crocusramp/pkg/storage"
	"crocusramp.dev/crocusramp/pkg/target"
)

// The headers of the tests' Wire.
const (
	hID, hTimeout, hKey, hObject       = "Test-Id", "Test-Timeout", "Test-Key", "Test-Object"
	hInstance, hAccount                = "Test-Instance", "Test-Account"
	hSeal, hNotRun, hLoad, hCold       = "Test-Seal", "Test-Not-Run", "Test-Load", "Test-Cold"
	hRetryAfter, hLimit                = "Test-Retry-After", "Test-Limit"
	hLeaving, hBackoff                 = "Test-Leaving", "Test-Backoff"
	testKey, testAccount, otherAccount = "k1", "a1", "a2"
)

type fakeWire struct{}

func (fakeWire) Caller(h http.Header) CallerInfo {
	ms, _ := strconv.Atoi(h.Get(hTimeout))
	return CallerInfo{ID: h.Get(hID), Timeout: time.Duration(ms) * time.Millisecond, KeyID: h.Get(hKey), Object: h.Get(hObject)}
}

func (fakeWire) ToTarget(h http.Header, t TargetInfo) {
	h.Del(hKey)
	h.Del(hAccount)
	h.Set(hInstance, t.InstanceID)
	fakeWire{}.SetTimeout(h, t.Timeout)
	if t.Account != "" {
		h.Set(hAccount, t.Account)
	}
}

func (fakeWire) SetTimeout(h http.Header, d time.Duration) {
	h.Set(hTimeout, strconv.FormatInt(d.Milliseconds(), 10))
}

func (fakeWire) FromTarget(status int, h http.Header) ResponseInfo {
	load, err := strconv.Atoi(h.Get(hLoad))
	cold, _ := time.ParseDuration(h.Get(hCold))
	rate, limitErr := strconv.ParseFloat(h.Get(hLimit), 64)
	backoff, _ := time.ParseDuration(h.Get(hBackoff))
	return ResponseInfo{
		Leaving: h.Get(hLeaving) != "", RetryAfter: backoff,
		Limit: target.Limit{Rate: rate, Limited: limitErr == nil}, Sealed: h.Get(hSeal) != "", NotRun: h.Get(hNotRun) != "" || status == http.StatusMisdirectedRequest,
		OtherInstance: status == http.StatusMisdirectedRequest, Load: load, LoadKnown: err == nil, ColdFor: cold,
	}
}

func (fakeWire) RemoveClaims(h http.Header) {
	h.Del(hSeal)
	h.Del(hRetryAfter)
}

func (fakeWire) SetRetryAfter(h http.Header, d time.Duration) { h.Set(hRetryAfter, d.String()) }

func (fakeWire) SetRequestID(h http.Header, id string) { h.Set(hID, id) }

// fakeFleet lets this VM use all of each bound.
type fakeFleet struct {
	retries retry.PoolLimit
	cold    time.Duration
}

func (f *fakeFleet) ColdInterval(*target.Live, float64) (time.Duration, bool) {
	return f.cold, f.cold > 0
}
func (f *fakeFleet) RetryLimit() retry.PoolLimit { return f.retries }

// fakeSuspects implements Suspects for a single VM.
type fakeSuspects struct {
	list *quarantine.List
	// trials is the number of trials that were sent.
	trials atomic.Int32
}

func (f *fakeSuspects) Report(p quarantine.Fingerprint, d quarantine.Death) bool {
	return f.list.RecordDeath(p, d)
}
func (f *fakeSuspects) Clear(quarantine.Fingerprint) {}
func (f *fakeSuspects) Try(_ context.Context, p quarantine.Fingerprint) bool {
	f.list.RecordTrials(p, int(f.trials.Add(1)))
	return true
}

// fakeLimiter refuses the accounts that it contains, until the given time unless that is zero.
type fakeLimiter map[string]time.Time

func (f fakeLimiter) Admit(_ context.Context, account string) limit.Decision {
	until, refused := f[account]
	return limit.Decision{Admitted: !refused || (!until.IsZero() && time.Now().After(until)), RetryAfter: time.Second}
}

// fakeTargetLimiter admits left[id] requests to a target and counts the calls in asked.
type fakeTargetLimiter struct {
	mu          sync.Mutex
	left, asked map[string]int
	// before, if set, is called before a request is admitted.
	before func(id string)
}

func (f *fakeTargetLimiter) Admit(_ context.Context, l *target.Live, _ target.Limit, _ float64) limit.Decision {
	if f.before != nil {
		f.before(l.ID)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked[l.ID]++
	if f.left[l.ID] == 0 {
		return limit.Decision{RetryAfter: limitWait}
	}
	f.left[l.ID]--
	return limit.Decision{Admitted: true}
}

func (f *fakeTargetLimiter) AdmitLocally(l *target.Live, targetLimit target.Limit, reserve float64) limit.Decision {
	return f.Admit(context.Background(), l, targetLimit, reserve)
}

// limitWait is the retry time that a fakeTargetLimiter returns.
const limitWait = 800 * time.Millisecond

// fakeTarget records the requests that reach it.
type fakeTarget struct {
	id      string
	address string
	mu      sync.Mutex
	seen    []*http.Request
	bodies  []string
}

func (f *fakeTarget) requests() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.seen)
}

// fixture is a server with its targets.
type fixture struct {
	callers *conntrack.Tracker
	t       *testing.T
	server  *Server
	targets *target.Registry
	fleet   *fakeFleet
	limiter fakeLimiter
	limits  *fakeTargetLimiter
	// suspects reports to quarantine, which has its own clock.
	suspects   *fakeSuspects
	quarantine *quarantine.List
	clock      *clock.Fake
	front      *httptest.Server
	state      *State
	fakes      map[string]*fakeTarget
}

const testPool = "s"

func testConfig() *config.Config {
	c := config.Empty()
	c.Version = 7
	c.Services = map[string]*config.Service{testPool: {Name: testPool, HealthPath: "/health", ColdStart: 3 * time.Second, ColdRate: 15}}
	c.Accounts[testAccount] = &config.Account{Name: testAccount, Rate: 100, Burst: 100}
	c.Accounts[otherAccount] = &config.Account{Name: otherAccount, Rate: 100, Burst: 100}
	c.Keys[testKey] = &config.Key{ID: testKey, Account: testAccount}
	c.Keys["k2"] = &config.Key{ID: "k2", Account: otherAccount}
	for _, r := range []config.Route{
		{Name: "safe", PathPrefix: "/safe/", Mode: config.ModeIdempotent},
		{Name: "once", PathPrefix: "/once/", Mode: config.ModeAtMostOnce},
		{Name: "open", PathPrefix: "/open/", Mode: config.ModeIdempotent, Open: true},
		{Name: "east", PathPrefix: "/east/", Mode: config.ModeIdempotent, Regions: []string{"east"}},
		{Name: "short", PathPrefix: "/short/", Mode: config.ModeAtMostOnce, Timeout: 150 * time.Millisecond},
	} {
		r.Host, r.Pool, r.MaxAttempts, r.Objective = "host.example", testPool, 2, 250*time.Millisecond
		if r.Timeout == 0 {
			r.Timeout = 5 * time.Second
		}
		c.Routes[r.Name] = &r
	}
	return c
}

// newFixture starts a server in region east.
func newFixture(t *testing.T) *fixture {
	w := &fixture{
		t: t, targets: target.NewRegistry(map[string]string{"fd-e": "east", "fd-w": "west"}, time.Now().Add(-24*time.Hour)), limiter: fakeLimiter{},
		fleet:  &fakeFleet{retries: retry.PoolLimit{Ratio: 0.2, Floor: 100, Window: 10 * time.Second, VMs: 1}, cold: time.Millisecond},
		fakes:  map[string]*fakeTarget{},
		limits: &fakeTargetLimiter{left: map[string]int{}, asked: map[string]int{}},
	}
	w.clock = clock.NewFake(1)
	w.quarantine = quarantine.NewList(quarantine.Config{Duration: 10 * time.Second, MaxTrials: 2, Backoff: 6, MaxAnswered: 64, Clock: w.clock})
	w.suspects = &fakeSuspects{list: w.quarantine}
	w.state = NewState(testConfig(), nil)
	w.targets.SetServices(w.state.Services)
	client := forward.NewClient(forward.Config{EchoHeader: hID, SkipMismatched: true, AllowCloseDelimited: true})
	t.Cleanup(client.Close)
	w.server = NewServer(Config{
		Wire: fakeWire{}, Region: "east", State: func() *State { return w.state }, Targets: w.targets, Limiter: w.limiter,
		Shares: func(pool string) placement.Shares {
			var regions []placement.Place
			for _, name := range []string{"east", "west"} {
				_, slots := target.UsableSlots(w.targets.Snapshot().Pools[pool][name], time.Now())
				regions = append(regions, placement.Place{Name: name, Slots: slots})
			}
			return placement.Shares{Regions: placement.Split("east", regions)}
		},
		TargetLimiter: w.limits, Fleet: w.fleet, Quarantine: w.quarantine, Suspects: w.suspects, Client: reach.NewClient(reach.Config{Client: client}), Clock: clock.System{}, Log: zerolog.Nop(),
	})
	w.server.started = time.Now().Add(-startHold)
	w.front = httptest.NewUnstartedServer(w.server)
	w.callers = conntrack.NewTracker(conntrack.Config{Name: "callers", Metrics: metrics.NewRegistry()})
	w.front.Config.ConnState, w.front.Config.ConnContext = w.callers.ConnState, conntrack.ConnContext
	w.front.Listener = w.callers.Listener(w.front.Listener)
	w.front.Start()
	t.Cleanup(w.front.Close)
	return w
}

// direct returns a client that sends all requests directly.
func direct(c forward.Config) *reach.Client {
	return reach.NewClient(reach.Config{Client: forward.NewClient(c)})
}

// addRaw adds a target whose connections are served by handle.
func (w *fixture) addRaw(id, domain string, handle func(net.Conn)) *fakeTarget {
	w.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { l.Close() })
	go func() {
		// The garbage collector closes connections that nothing refers to.
		var conns []net.Conn
		for {
			c, err := l.Accept()
			if err != nil {
				runtime.KeepAlive(conns)
				return
			}
			conns = append(conns, c)
			go handle(c)
		}
	}()
	return w.register(id, domain, l.Addr().String())
}

// add adds a target whose requests are served by handle.
func (w *fixture) add(id, domain string, handle http.HandlerFunc) *fakeTarget {
	w.t.Helper()
	var f *fakeTarget
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		f.mu.Lock()
		f.seen = append(f.seen, r)
		f.bodies = append(f.bodies, string(body))
		f.mu.Unlock()
		rw.Header().Set(hID, r.Header.Get(hID))
		handle(rw, r)
	}))
	w.t.Cleanup(server.Close)
	f = w.register(id, domain, server.Listener.Addr().String())
	return f
}

func (w *fixture) register(id, domain, address string) *fakeTarget {
	f := &fakeTarget{id: id, address: address}
	w.fakes[id] = f
	w.targets.Upsert(target.Entry{Target: target.Target{ID: id, Address: address, FailureDomain: domain, Slots: 9}, Pool: testPool, StartedAt: 1}, true, time.Now())
	w.targets.Publish(storage.Version{Number: 1})
	return f
}

// respondOK responds with a seal and the request's path.
func respondOK(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set(hSeal, "seal")
	fmt.Fprint(rw, "body of ", r.URL.Path)
}

// shed responds that the request was not run.
func shed(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set(hNotRun, "1")
	rw.WriteHeader(http.StatusServiceUnavailable)
}

// lastID is the number in the last request ID.
var lastID atomic.Int64

func newID() string { return fmt.Sprint("id-", lastID.Add(1)) }

// send makes a request and returns the answer and its body. err is set if no complete answer
// arrived.
func (w *fixture) send(method, path, body string, change ...func(*http.Request)) (*http.Response, string, error) {
	w.t.Helper()
	r, err := http.NewRequest(method, w.front.URL+path, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	r.Host = "host.example"
	r.Header.Set(hID, newID())
	r.Header.Set(hKey, testKey)
	r.Header.Set(hTimeout, "5000")
	for _, f := range change {
		f(r)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return resp, string(got), err
}

// statusOf sends a request in the background and returns the channel that gets the answer's status, or 0 if no
// complete answer arrived.
func (w *fixture) statusOf(path string) <-chan int {
	status := make(chan int, 1)
	go func() {
		resp, _, err := w.send("GET", path, "")
		if err != nil {
			w.t.Error(err)
			status <- 0
			return
		}
		status <- resp.StatusCode
	}()
	return status
}

// expect sends a request and checks the status.
func (w *fixture) expect(status int, method, path string, change ...func(*http.Request)) (*http.Response, string) {
	w.t.Helper()
	resp, body, err := w.send(method, path, "", change...)
	if err != nil {
		w.t.Fatalf("%s %s: %v", method, path, err)
	}
	if resp.StatusCode != status {
		w.t.Fatalf("%s %s: status %d %q, want %d", method, path, resp.StatusCode, body, status)
	}
	return resp, body
}
