package entry

import (
	"context"
	"log"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/dispatch"
	"crocusramp.dev/crocusramp/pkg/limit"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/outcome"
	"crocusramp.dev/crocusramp/pkg/peer"
	"crocusramp.dev/crocusramp/pkg/target"
)

const testKey = "crk_k1_0123456789abcdef"

// fakeSource is a source of a configuration with two accounts and a route of each kind.
type fakeSource struct {
	mu       sync.Mutex
	snapshot config.Snapshot
}

func newFakeSource() *fakeSource {
	c := config.Empty()
	c.Version = 1
	c.Accounts["acme"] = &config.Account{Name: "acme", Rate: 1000, Burst: 100, Weight: 1}
	c.Accounts["Ștefan & fii"] = &config.Account{Name: "Ștefan & fii", Rate: 1000, Burst: 100, Weight: 2}
	c.Keys["k1"] = &config.Key{ID: "k1", Account: "acme"}
	c.Keys["k2"] = &config.Key{ID: "k2", Account: "Ștefan & fii"}
	for _, r := range []*config.Route{
		{Name: "lookup", PathPrefix: "/lookup", Pool: "p", Mode: config.ModeIdempotent},
		{Name: "filing", PathPrefix: "/filing", Pool: "p", Mode: config.ModeAtMostOnce},
		{Name: "open", PathPrefix: "/open", Pool: "p", Mode: config.ModeIdempotent, Open: true},
	} {
		r.Timeout = 20 * time.Second
		c.Routes[r.Name] = r
	}
	return &fakeSource{snapshot: config.Snapshot{Config: c, Fresh: true}}
}

func (f *fakeSource) Snapshot() config.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot
}

func (f *fakeSource) setFresh(fresh bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot.Fresh = fresh
}

// withdraw creates the next version of the configuration, without the key.
func (f *fakeSource) withdraw(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.snapshot.Config
	next.Version++
	next.Keys = maps.Clone(next.Keys)
	delete(next.Keys, id)
	f.snapshot.Config = &next
}

// fakeAuthenticate accepts crk_ID_SECRET for every known ID.
func fakeAuthenticate(s config.Snapshot, header string) (*config.Account, *outcome.Refusal) {
	parts := strings.Split(strings.TrimPrefix(header, "Bearer "), "_")
	if len(parts) == 3 && s.Keys[parts[1]] != nil {
		return s.Accounts[s.Keys[parts[1]].Account], nil
	}
	return nil, outcome.Refuse(http.StatusUnauthorized, outcome.ReasonUnauthenticated, 0, "Unknown key.")
}

func fakeMatch(c *config.Config, _, path string) *config.Route {
	var best *config.Route
	for _, r := range c.Routes {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// fakeLimiter admits all requests, or refuses all with a Retry-After of refuseFor.
type fakeLimiter struct{ refuseFor time.Duration }

func (f *fakeLimiter) Admit(context.Context, string) limit.Decision {
	return limit.Decision{Admitted: f.refuseFor == 0, RetryAfter: f.refuseFor}
}

// fakeDispatcher grants the peer, if set, and otherwise the first target that was not
// tried.
type fakeDispatcher struct {
	mu       sync.Mutex
	targets  []*target.Target
	peer     *member.Peer
	acquired int
	released []dispatch.Result
}

func (f *fakeDispatcher) Acquire(_ context.Context, r *dispatch.Request) (*dispatch.Grant, *outcome.Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.acquired++
	g := &dispatch.Grant{Release: f.release}
	if f.peer != nil && !r.HandedOver {
		g.Peer = f.peer
		return g, nil
	}
	for _, t := range f.targets {
		if !slices.Contains(r.TriedTargets, t.ID) {
			g.Target = t
			return g, nil
		}
	}
	return nil, outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonNoCapacity, time.Second, "No target is left.")
}

func (f *fakeDispatcher) release(r dispatch.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.released = append(f.released, r)
}

func (f *fakeDispatcher) handOverTo(p *member.Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peer = p
}

func (f *fakeDispatcher) results() []dispatch.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.released)
}

type fakeMembers struct{ view atomic.Pointer[member.View] }

func (f *fakeMembers) View() *member.View { return f.view.Load() }

// syncBuilder is a strings.Builder that is safe for concurrent use.
type syncBuilder struct {
	mu sync.Mutex
	b  strings.Builder
}

func (s *syncBuilder) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuilder) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// vm is a Server with its listeners and fakes.
type vm struct {
	*Server
	source     *fakeSource
	limiter    *fakeLimiter
	dispatcher *fakeDispatcher
	members    *fakeMembers
	log        *syncBuilder
	serverLog  *syncBuilder
	callers    *httptest.Server
	peers      *httptest.Server
}

// startVM starts a VM. configure, if not nil, adjusts its settings first.
func startVM(t testing.TB, id string, configure func(*Config)) *vm {
	t.Helper()
	v := &vm{
		source:     newFakeSource(),
		limiter:    &fakeLimiter{},
		dispatcher: &fakeDispatcher{},
		members:    &fakeMembers{},
		log:        &syncBuilder{},
		serverLog:  &syncBuilder{},
	}
	v.members.view.Store(&member.View{Self: member.Peer{ID: id, Incarnation: id + "-1", Region: "r1", FailureDomain: "d1"}})
	c := Config{
		Config:       v.source,
		Authenticate: fakeAuthenticate,
		Limiter:      v.limiter,
		Dispatcher:   v.dispatcher,
		Members:      v.members,
		Match:        fakeMatch,
		PeerDialer:   peer.NewDialer(nil),
		Log:          zerolog.New(v.log),
	}
	if configure != nil {
		configure(&c)
	}
	v.Server = NewServer(c)
	v.SetReady(true)
	v.callers = httptest.NewUnstartedServer(v.CallersHandler())
	v.callers.Config.ErrorLog = log.New(v.serverLog, "", 0)
	v.callers.Start()
	t.Cleanup(func() {
		v.callers.Close()
		if text := v.serverLog.String(); strings.Contains(text, "panic") {
			t.Errorf("the server panicked: %s", text)
		}
	})
	prefix, handler := v.PeersHandler()
	mux := http.NewServeMux()
	mux.Handle(prefix, handler)
	v.peers = httptest.NewServer(mux)
	t.Cleanup(v.peers.Close)
	return v
}

// peer returns the VM as other VMs see it.
func (v *vm) peer() *member.Peer {
	self := v.members.View().Self
	self.PeerAddress = v.peers.Listener.Addr().String()
	self.CallerAddress = v.callers.Listener.Addr().String()
	return &self
}

// addTarget adds a target that serves h.
func (v *vm) addTarget(t testing.TB, id string, h http.HandlerFunc) *target.Target {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return v.addTargetAddress(id, server.Listener.Addr().String())
}

func (v *vm) addTargetAddress(id, address string) *target.Target {
	tg := &target.Target{ID: id, Address: address, Region: "r1", Slots: 9}
	v.dispatcher.mu.Lock()
	defer v.dispatcher.mu.Unlock()
	v.dispatcher.targets = append(v.dispatcher.targets, tg)
	return tg
}

// addRawTarget adds a target that handles its connections with the given function.
func (v *vm) addRawTarget(t testing.TB, id string, handle func(c net.Conn)) *target.Target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c)
			}()
		}
	}()
	return v.addTargetAddress(id, l.Addr().String())
}
