package reach

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocusramp.dev/crocusramp/pkg/forward"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/storage"
	"crocusramp.dev/crocusramp/pkg/target"
	"crocusramp.dev/crocusramp/pkg/tunnel"
)

const (
	testDialTimeout = 100 * time.Millisecond
	testPool        = "pool"
	eventually      = 5 * time.Second
)

// links is the state of the connections between a VM and the targets.
type links int32

const (
	up links = iota
	hang
	refuse
)

var errNoLink = &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}

// connect dials an address over links in a state.
func connect(ctx context.Context, state links, address string) (net.Conn, error) {
	switch state {
	case hang:
		<-ctx.Done()
		return nil, ctx.Err()
	case refuse:
		return nil, errNoLink
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// silentConn swallows what is written once its links hang.
type silentConn struct {
	net.Conn
	w *world
}

func (c silentConn) Write(b []byte) (int, error) {
	if links(c.w.direct.Load()) == hang {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Read fails like a connection whose bytes stay unacknowledged.
func (c silentConn) Read(b []byte) (int, error) {
	if links(c.w.direct.Load()) == hang && c.w.ackTimeout > 0 {
		time.Sleep(c.w.ackTimeout)
		return 0, &net.OpError{Op: "read", Err: syscall.ETIMEDOUT}
	}
	return c.Conn.Read(b)
}

// world is a VM with its targets and peers. It implements Tunnels.
type world struct {
	requests atomic.Int64
	t        *testing.T
	client   *Client
	targets  *target.Registry
	servers  map[string]*httptest.Server // by target ID
	byHost   map[string]string           // target ID by address
	// direct is the state of the VM's links; unreachable holds targets that it does not reach.
	direct      atomic.Int32
	mu          sync.Mutex
	unreachable map[string]bool
	peers       []member.Peer
	peerLinks   map[string]links // by peer address
	peerDelay   time.Duration
	ackTimeout  time.Duration // of silent connections
	release     chan struct{} // ends requests for /slow
	cutOffs     atomic.Int32
}

func newWorld(t *testing.T, domains ...string) *world {
	w := &world{
		t: t, servers: map[string]*httptest.Server{}, byHost: map[string]string{}, unreachable: map[string]bool{}, peerLinks: map[string]links{},
		release: make(chan struct{}),
		targets: target.NewRegistry(map[string]string{"e1": "east", "e2": "east", "w1": "west"}, time.Now()),
	}
	for i, domain := range domains {
		w.addTarget(fmt.Sprint("i-", i), domain)
	}
	for _, p := range []string{"east-1", "east-2", "west-1"} {
		w.peers = append(w.peers, member.Peer{ID: p, PeerAddress: p + ":1", Region: p[:4], CarriesTunnels: true})
	}
	fc := forward.NewClient(forward.Config{DialTimeout: testDialTimeout, Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
		state := links(w.direct.Load())
		w.mu.Lock()
		if w.unreachable[w.byHost[address]] {
			state = hang
		}
		w.mu.Unlock()
		c, err := connect(ctx, state, address)
		if err != nil {
			return nil, err
		}
		return silentConn{c, w}, nil
	}})
	t.Cleanup(fc.Close)
	w.client = NewClient(Config{
		VM: "vm", Region: "east", Client: fc, DialTimeout: testDialTimeout, Targets: w.targets.Snapshot, Tunnels: w, Log: zerolog.Nop(),
		Peers: func() []member.Peer { w.mu.Lock(); defer w.mu.Unlock(); return slices.Clone(w.peers) }, OnCutOff: func() { w.cutOffs.Add(1) },
	})
	return w
}

func (w *world) addTarget(id, domain string) {
	s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-w.release
		}
		fmt.Fprint(rw, id)
	}))
	w.t.Cleanup(s.Close)
	w.servers[id], w.byHost[s.Listener.Addr().String()] = s, id
	w.targets.Upsert(target.Entry{Target: target.Target{ID: id, Address: s.Listener.Addr().String(), FailureDomain: domain, Slots: 9}, Pool: testPool, StartedAt: 1}, true, time.Now())
	w.targets.Publish(storage.Version{Number: 1})
}

// watch runs Watch until the end of the test.
func (w *world) watch() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { w.client.Watch(ctx); close(done) }()
	w.t.Cleanup(func() { cancel(); <-done })
}

func (w *world) target(id string) *target.Live { return w.targets.Find(id, 1) }

// Dial implements Tunnels.
func (w *world) Dial(ctx context.Context, peerAddress string, t tunnel.Target) (net.Conn, error) {
	w.mu.Lock()
	state := w.peerLinks[peerAddress]
	address := w.servers[t.ID].Listener.Addr().String()
	w.mu.Unlock()
	if state != up {
		return nil, &tunnel.Error{Reason: tunnel.PeerDeclined, Err: errors.New("cut off")}
	}
	if !sleep(ctx, w.peerDelay) {
		return nil, &tunnel.Error{Reason: tunnel.ContextEnded, Err: ctx.Err()}
	}
	c, err := connect(ctx, up, address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, &tunnel.Error{Reason: tunnel.TargetRefused, Err: err}
	case err != nil:
		return nil, &tunnel.Error{Reason: tunnel.TargetUnreachable, Err: err}
	}
	return c, nil
}

// CloseVia implements Tunnels.
func (w *world) CloseVia(string) {}

// get sends a request to a target and returns the body of the response.
func (w *world) get(id, path string, o Options) (body, via string, failure *forward.Error) {
	l := w.target(id)
	req, err := http.NewRequest(http.MethodGet, "http://"+l.Address+path, nil)
	if err != nil {
		w.t.Fatal(err)
	}
	req.Header.Set("X-Request-Id", fmt.Sprint("r-", w.requests.Add(1))) // requests without an ID share no connections
	resp, via, failure := w.client.Do(w.t.Context(), req, l, o)
	if failure != nil {
		return "", via, failure
	}
	defer resp.Close()
	b, err := io.ReadAll(resp)
	if err != nil {
		w.t.Error(err)
	}
	return string(b), via, nil
}

func (w *world) await(what string, condition func() bool) {
	w.t.Helper()
	for deadline := time.Now().Add(eventually); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			w.t.Fatalf("not within %v: %s", eventually, what)
		}
	}
}

// TestCutOffVMServesThroughPeers guards against a VM that answers 503 to its callers while it is
// partitioned from all targets and other VMs are not.
func TestCutOffVMServesThroughPeers(t *testing.T) {
	for _, state := range []links{hang, refuse} {
		t.Run(fmt.Sprint(state), func(t *testing.T) {
			w := newWorld(t, "e1", "e2", "w1", "e1")
			w.watch()
			if body, via, failure := w.get("i-0", "/", Options{}); body != "i-0" || via != "" || failure != nil {
				t.Fatalf("%q via %q, %v; want a direct response", body, via, failure)
			}
			slow := make(chan *forward.Error, 1)
			direct, cancel := context.WithCancel(t.Context())
			defer context.AfterFunc(w.client.LinksLostContext(), cancel)()
			go func() {
				_, _, failure := w.get("i-1", "/slow", Options{Direct: direct})
				slow <- failure
			}()
			w.await("the slow request waits", func() bool { return w.client.waiting.Load() == 1 })
			w.direct.Store(int32(state))
			w.await("the VM is cut off", func() bool {
				_, _, _ = w.get("i-2", "/", Options{}) // may fail while the cut is being found out
				return w.client.CutOff()
			})
			for _, id := range []string{"i-0", "i-1", "i-2", "i-3"} {
				if body, via, failure := w.get(id, "/", Options{}); body != id || via == "" || failure != nil {
					t.Errorf("%s: %q via %q, %v; want a response through a peer", id, body, via, failure)
				}
			}
			if state == hang {
				if failure := <-slow; failure == nil || !failure.ContextEnded {
					t.Errorf("request on a silent connection: %v, want it to be interrupted", failure)
				}
			}
			close(w.release)
			if state == refuse {
				if failure := <-slow; failure != nil {
					t.Errorf("request on an open connection: %v", failure)
				}
			}
			if n := w.cutOffs.Load(); n != 1 {
				t.Errorf("OnCutOff was called %d times", n)
			}
			w.direct.Store(int32(up))
			w.await("the VM is back", func() bool { return !w.client.CutOff() })
			if body, via, failure := w.get("i-2", "/", Options{}); body != "i-2" || via != "" || failure != nil {
				t.Errorf("%q via %q, %v; want a direct response after the return", body, via, failure)
			}
		})
	}
}

// TestSilenceIsNoticed guards against a cut that is found out only when the last open connection is in
// use.
func TestSilenceIsNoticed(t *testing.T) {
	w := newWorld(t, "e1", "e2", "w1")
	w.watch()
	for range 50 {
		if _, _, failure := w.get("i-0", "/", Options{}); failure != nil {
			t.Fatal(failure)
		}
	}
	for range minWaiting {
		go func() {
			_, _, _ = w.get("i-0", "/slow", Options{}) // ends with the test
		}()
	}
	w.await("requests wait", func() bool { return w.client.waiting.Load() == minWaiting })
	time.Sleep(2 * silence)
	if w.client.CutOff() {
		t.Error("cut off although only the responses are slow")
	}
	w.direct.Store(int32(hang))
	w.await("the VM is cut off", w.client.CutOff)
	close(w.release)
}

func TestCheck(t *testing.T) {
	tests := []struct {
		name   string
		change func(w *world)
		cutOff bool
	}{
		{"all links are up", func(*world) {}, false},
		{"all links hang", func(w *world) { w.direct.Store(int32(hang)) }, true},
		{"new connections are refused", func(w *world) { w.direct.Store(int32(refuse)) }, true},
		{"one failure domain is reached", func(w *world) { w.unreachable["i-0"], w.unreachable["i-1"] = true, true }, false},
		{"all targets have exited", func(w *world) {
			for _, s := range w.servers {
				s.Close()
			}
		}, false},
		{"the peers are cut off too", func(w *world) {
			w.direct.Store(int32(hang))
			for _, p := range w.peers {
				w.peerLinks[p.PeerAddress] = hang
			}
		}, false},
		{"this VM's own link is slow", func(w *world) {
			w.direct.Store(int32(hang))
			w.peerDelay = 2 * testDialTimeout
		}, false},
		{"one peer is not cut off", func(w *world) {
			w.direct.Store(int32(hang))
			w.peerLinks["east-1:1"], w.peerLinks["east-2:1"] = hang, hang
			w.peers = w.peers[2:]
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, "e1", "e2", "w1")
			tt.change(w)
			if f := w.client.check(t.Context()); f.cutOff() != tt.cutOff {
				t.Errorf("%+v, want cut off %v", f, tt.cutOff)
			}
		})
	}
}

// TestExitedNeedsReachableTargets guards against a VM that is cut off and reports that targets died while
// they ran its callers' requests.
func TestExitedNeedsReachableTargets(t *testing.T) {
	exit := func(w *world) { w.servers["i-0"].Close() }
	noPeers := func(w *world) { w.peers = nil }
	tests := []struct {
		name   string
		change []func(w *world)
		want   bool
	}{
		{"the target listens", nil, false},
		{"the target has exited", []func(w *world){exit}, true},
		{"it has exited and there is no peer", []func(w *world){exit, noPeers}, true},
		{"the VM is cut off", []func(w *world){func(w *world) { w.direct.Store(int32(refuse)) }}, false},
		{"the VM is cut off and there is no peer", []func(w *world){func(w *world) { w.direct.Store(int32(refuse)) }, noPeers}, false},
		{"it has exited and the VM is cut off", []func(w *world){exit, func(w *world) { w.direct.Store(int32(refuse)) }}, true},
		{"the VM is cut off, there is no peer and the other targets have exited", []func(w *world){noPeers, func(w *world) {
			w.direct.Store(int32(refuse))
			w.target("i-1").SetExited()
			w.target("i-2").SetExited()
		}}, false},
		{"the VM is known to be cut off", []func(w *world){func(w *world) { w.direct.Store(int32(refuse)); w.client.cutOff.Store(true) }}, false},
		{"it has exited and the VM is known to be cut off", []func(w *world){exit, func(w *world) { w.direct.Store(int32(refuse)); w.client.cutOff.Store(true) }}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, "e1", "e2", "w1")
			for _, f := range tt.change {
				f(w)
			}
			if got := w.client.Exited(t.Context(), w.target("i-0")); got != tt.want {
				t.Errorf("exited %v, want %v", got, tt.want)
			}
		})
	}
}

// TestPeerVouchesOnlyForOwnLinks guards against a VM that is cut off itself and blames a target to a peer
// that asks for a path to it.
func TestPeerVouchesOnlyForOwnLinks(t *testing.T) {
	w := newWorld(t, "e1", "e2", "w1")
	address := w.target("i-0").Address
	c, err := w.client.DialForPeer(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
	for _, state := range []links{hang, refuse} {
		w.direct.Store(int32(state))
		if _, err := w.client.DialForPeer(t.Context(), address); !errors.Is(err, tunnel.ErrDeclined) {
			t.Errorf("links %v: %v, want ErrDeclined", state, err)
		}
	}
	w.direct.Store(int32(up))
	w.servers["i-0"].Close()
	if _, err := w.client.DialForPeer(t.Context(), address); !errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, tunnel.ErrDeclined) {
		t.Errorf("exited target: %v, want a refusal", err)
	}
}

func TestPeersFor(t *testing.T) {
	w := newWorld(t, "e1", "w1")
	peer := func(id string, change func(p *member.Peer)) member.Peer {
		p := member.Peer{ID: id, PeerAddress: id, Region: id[:4], CarriesTunnels: true}
		if change != nil {
			change(&p)
		}
		return p
	}
	w.peers = []member.Peer{
		peer("east-cut", func(p *member.Peer) { p.CarriesTunnels = false }), // or of an older version
		peer("east-gone", func(p *member.Peer) { p.State = member.Gone }),
		peer("east-late", func(p *member.Peer) { p.MissedHeartbeats = 1 }),
		peer("east-1", nil), peer("nort-1", nil), peer("west-1", nil), peer("west-2", func(p *member.Peer) { p.FailureDomain = "w1" }),
	}
	ids := func(l *target.Live, allows func(string) bool) []string {
		var out []string
		for _, p := range w.client.peersFor(l, allows) {
			out = append(out, p.ID)
		}
		return out
	}
	near, far := w.target("i-0"), w.target("i-1")
	if got := ids(near, nil); got[0] != "east-1" || len(got) != maxPeersTried {
		t.Errorf("target in the east: %v", got)
	}
	if got := ids(far, nil); !slices.Equal(got, []string{"west-2", "west-1", "east-1"}) {
		t.Errorf("target in the west: %v", got)
	}
	if got := ids(far, func(region string) bool { return region == "west" }); !slices.Equal(got, []string{"west-2", "west-1"}) {
		t.Errorf("request that may pass through the west only: %v", got)
	}
	w.client.peerAtFault("west-2", &tunnel.Error{Reason: tunnel.PeerDeclined})
	if got := ids(far, nil); !slices.Equal(got, []string{"west-1", "east-1", "nort-1"}) {
		t.Errorf("after the nearest peer declined: %v", got)
	}
}

// TestTunnelsAreSpreadOverPeers guards against a peer that carries all connections of the VMs that are
// cut off.
func TestTunnelsAreSpreadOverPeers(t *testing.T) {
	const targets, peers = 60, 10
	w := newWorld(t)
	for i := range targets {
		w.addTarget(fmt.Sprint("i-", i), "e1")
	}
	w.peers = nil
	for i := range peers {
		w.peers = append(w.peers, member.Peer{ID: fmt.Sprint("east-", i), PeerAddress: fmt.Sprint(i), Region: "east", CarriesTunnels: true})
	}
	count := map[string]int{}
	for i := range targets {
		count[w.client.peersFor(w.target(fmt.Sprint("i-", i)), nil)[0].ID]++
	}
	for id, n := range count {
		if n > 3*targets/peers {
			t.Errorf("%s carries the connections to %d of %d targets", id, n, targets)
		}
	}
}

func TestRequestWithoutPath(t *testing.T) {
	w := newWorld(t, "e1", "e2", "w1")
	w.direct.Store(int32(refuse))
	w.client.cutOff.Store(true)
	w.peers = nil
	if _, _, failure := w.get("i-0", "/", Options{}); failure == nil || !errors.Is(failure, ErrNoPath) || failure.Wrote {
		t.Errorf("%v, want ErrNoPath", failure)
	}
	w.direct.Store(int32(up))
	if body, via, failure := w.get("i-0", "/", Options{}); body != "i-0" || via != "" || failure != nil {
		t.Errorf("%q via %q, %v; want a direct response when the links are back before it is known", body, via, failure)
	}
}

func TestReturnChecks(t *testing.T) {
	now := time.Now()
	for _, tt := range []struct {
		previous   int
		lastReturn time.Time
		want       int
	}{
		{minReturnChecks, time.Time{}, minReturnChecks},
		{minReturnChecks, now.Add(-flapTime / 2), 2 * minReturnChecks},
		{maxReturnChecks, now.Add(-flapTime / 2), maxReturnChecks},
		{maxReturnChecks, now.Add(-2 * flapTime), minReturnChecks},
	} {
		if got := returnChecks(tt.previous, tt.lastReturn, now); got != tt.want {
			t.Errorf("%+v: %d checks", tt, got)
		}
	}
}
