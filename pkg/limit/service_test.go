package limit

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	peerpb "crocusramp.dev/crocusramp/api/peer/v1"
	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/control"
	"crocusramp.dev/crocusramp/pkg/lease"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/peer"
)

// sources fakes the parts of the daemon that a Service reads.
type sources struct {
	config  atomic.Pointer[config.Config]
	holding atomic.Pointer[lease.Holding]
	view    atomic.Pointer[member.View]
}

func (s *sources) Snapshot() config.Snapshot {
	return config.Snapshot{Config: s.config.Load(), Fresh: true}
}
func (s *sources) Holding() *lease.Holding { return s.holding.Load() }
func (s *sources) View() *member.View      { return s.view.Load() }

func accounts(list ...config.Account) *config.Config {
	c := config.Empty()
	for i := range list {
		c.Accounts[list[i].Name] = &list[i]
	}
	return c
}

var accountOf10 = config.Account{Name: "a", Rate: 10, Burst: 4}

// hold returns a holding of every n-th of total slots, starting at first.
func hold(total, first, n int) *lease.Holding {
	h := &lease.Holding{Total: total}
	for i := first; i < total; i += n {
		h.Slots = append(h.Slots, lease.Slot{Index: i, Until: never, Settled: true})
	}
	return h
}

// faultyHandler injects faults into the requests of peers.
type faultyHandler struct {
	handler http.Handler
	// frozen makes it neither handle requests nor respond.
	frozen atomic.Bool
	// lossy makes it handle requests and drop the responses.
	lossy atomic.Bool
}

func (f *faultyHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.frozen.Load() {
		// The server notices that the client has gone only after the body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	if f.lossy.Load() {
		f.handler.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}
	f.handler.ServeHTTP(w, r)
}

// startFleet runs n services on loopback listeners with the system clock.
func startFleet(t *testing.T, n int, c *config.Config) ([]*Service, []*sources, []*faultyHandler) {
	ctx, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	t.Cleanup(func() { cancel(); ended.Wait() })
	services, all, faults := make([]*Service, n), make([]*sources, n), make([]*faultyHandler, n)
	peers := make([]member.Peer, n)
	for i := range n {
		loop := control.NewLoop()
		ended.Go(func() { loop.Run(ctx) })
		all[i] = &sources{}
		all[i].config.Store(c)
		all[i].holding.Store(hold(16, i, n))
		dialer := peer.NewDialer(nil)
		services[i] = NewService(Config{
			Config: all[i], Slots: all[i], Members: all[i], PeerDialer: dialer,
			Clock: clock.System{}, Loop: loop, Log: zerolog.Nop(),
		})
		_, handler := services[i].Handler()
		faults[i] = &faultyHandler{handler: handler}
		server := httptest.NewServer(faults[i])
		t.Cleanup(func() { dialer.Close(); server.Close() })
		id := fmt.Sprintf("vm-%d", i)
		peers[i] = member.Peer{ID: id, Incarnation: id + "/1", PeerAddress: server.Listener.Addr().String()}
	}
	for i := range n {
		view := &member.View{Self: peers[i], Complete: true}
		for j := range n {
			if j != i {
				view.Peers = append(view.Peers, peers[j])
			}
		}
		all[i].view.Store(view)
		services[i].Start(ctx)
	}
	return services, all, faults
}

// TestSmallRateOverTheFleet checks that VMs whose own share never reaches a whole token admit with
// tokens from the home.
func TestSmallRateOverTheFleet(t *testing.T) {
	services, _, _ := startFleet(t, 3, accounts(config.Account{Name: "a", Rate: 5, Burst: 3}))
	start := time.Now()
	admitted := 0
	for deadline := start.Add(time.Minute); admitted < 10; {
		for _, s := range services {
			d := s.Admit(t.Context(), "a")
			if d.Admitted {
				admitted++
			} else if d.RetryAfter <= 0 {
				t.Fatal("refused without a RetryAfter")
			}
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d admitted in a minute", admitted)
		}
		time.Sleep(time.Millisecond)
	}
	if most := 3 + 5*time.Since(start).Seconds(); float64(admitted) > most {
		t.Errorf("%d admitted, more than burst + rate*t = %.1f", admitted, most)
	}
}

func TestUnknownAccountIsRefused(t *testing.T) {
	services, all, _ := startFleet(t, 1, accounts(config.Account{Name: "a", Rate: 1e6, Burst: 10}))
	if d := services[0].Admit(t.Context(), "b"); d.Admitted {
		t.Error("admitted a request of an account that does not exist")
	}
	for !services[0].Admit(t.Context(), "a").Admitted {
		time.Sleep(time.Millisecond)
	}
	all[0].config.Store(config.Empty())
	if d := services[0].Admit(t.Context(), "a"); d.Admitted {
		t.Error("admitted a request of a deleted account")
	}
}

// TestRecreatedAccountKeepsItsLoans checks that loans survive when an account is deleted and
// created again, as the borrower may still use them.
func TestRecreatedAccountKeepsItsLoans(t *testing.T) {
	s, src, now := newService(accountOf10)
	now.Advance(time.Second)
	response, err := server{s}.Exchange(t.Context(), &peerpb.ExchangeRequest{
		Borrower: "b", RequestId: 1, Accounts: []*peerpb.AccountRequest{{Account: "a", Collect: true, Load: 1}},
	})
	if err != nil || len(response.Accounts) != 1 || len(response.Accounts[0].Grants) != 1 {
		t.Fatalf("Exchange: %v, %v; want one grant", response, err)
	}
	src.config.Store(config.Empty())
	s.refresh(src.View())
	src.config.Store(accounts(accountOf10))
	s.refresh(src.View())
	now.Advance(time.Second)
	if s.Admit(t.Context(), "a").Admitted {
		t.Error("admitted from a share that is still lent")
	}
	src.config.Store(config.Empty())
	now.Advance(loanDrainTime)
	s.refresh(src.View())
	if len(s.Shares()) != 0 {
		t.Errorf("shares of a deleted account: %v", s.Shares())
	}
}

// TestHomeFollowsTheView checks that a VM that has just started stops acting as the home as soon as
// its view contains its peers.
func TestHomeFollowsTheView(t *testing.T) {
	services, all, _ := startFleet(t, 2, accounts(config.Account{Name: "a", Rate: 1000, Burst: 100}))
	home := slices.IndexFunc(all, func(s *sources) bool { return s.View().Self.ID == services[0].Homes("a")[0] })
	other := 1 - home
	full, alone := all[other].View(), &member.View{Self: all[other].View().Self}
	all[other].holding.Store(&lease.Holding{Total: 16})
	all[other].view.Store(alone)
	// What it has lent before it lost its slots, it owes until the loans end.
	for services[other].Admit(t.Context(), "a").Admitted || services[other].Shares()[0].Lent > 0 {
	}
	for !services[home].Admit(t.Context(), "a").Admitted {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond) // time for a few tokens at 500 per second
	all[other].view.Store(full)
	if !services[other].Admit(t.Context(), "a").Admitted {
		t.Error("refused though the home has tokens")
	}
}

// newService returns a service that holds all slots, has a fake clock and is not the home of any
// account.
func newService(a config.Account) (*Service, *sources, *clock.Fake) {
	src := &sources{}
	src.config.Store(accounts(a))
	src.holding.Store(hold(16, 0, 1))
	src.view.Store(&member.View{Self: member.Peer{State: member.Leaving}})
	now := clock.NewFake(clock.Time(time.Hour))
	s := NewService(Config{
		Config: src, Slots: src, Members: src, PeerDialer: peer.NewDialer(nil),
		Clock: now, Loop: control.NewLoop(), Log: zerolog.Nop(),
	})
	s.refresh(src.View())
	return s, src, now
}

// BenchmarkAdmitDecision measures Admit without the system call that reads the clock.
func BenchmarkAdmitDecision(b *testing.B) {
	s, _, now := newService(config.Account{Name: "a", Rate: 1e12, Burst: 1e12})
	now.Advance(time.Second)
	b.ReportAllocs()
	for b.Loop() {
		if !s.Admit(b.Context(), "a").Admitted {
			b.Fatal("refused")
		}
	}
}

func BenchmarkAdmit(b *testing.B) {
	src := &sources{}
	src.config.Store(accounts(config.Account{Name: "a", Rate: 1e12, Burst: 1e12}))
	src.holding.Store(hold(16, 0, 1))
	src.view.Store(&member.View{})
	s := NewService(Config{
		Config: src, Slots: src, Members: src, PeerDialer: peer.NewDialer(nil),
		Clock: clock.System{}, Loop: control.NewLoop(), Log: zerolog.Nop(),
	})
	s.refresh(src.View())
	for !s.Admit(b.Context(), "a").Admitted {
		time.Sleep(time.Millisecond)
	}
	b.ReportAllocs()
	for b.Loop() {
		if !s.Admit(b.Context(), "a").Admitted {
			b.Fatal("refused")
		}
	}
}

// TestHomeIsNear guards against tokens that are requested from another region than the one that
// uses them.
func TestHomeIsNear(t *testing.T) {
	view := &member.View{Self: member.Peer{ID: "vm-0", Region: "east"}}
	for i, region := range []string{"west", "east", "west", "south"} {
		view.Peers = append(view.Peers, member.Peer{ID: fmt.Sprint("vm-", 1+i), Region: region})
	}
	src := &sources{}
	src.view.Store(view)
	preferred := ""
	s := NewService(Config{Config: src, Slots: src, Members: src, Clock: clock.System{}, PreferredRegion: func(string) string { return preferred }})
	anywhere := map[string]bool{}
	for i := range 50 {
		name := fmt.Sprint("account-", i)
		for _, preferred = range []string{"east", "west", "south"} {
			if home, ok := s.home(name, src.View()); !ok || home.Region != preferred {
				t.Errorf("the home of %s is %s in %s, want one in %s", name, home.ID, home.Region, preferred)
			}
		}
		preferred = "north" // where no VM is
		home, _ := s.home(name, src.View())
		anywhere[home.ID] = true
	}
	if len(anywhere) != 5 {
		t.Errorf("homes without a live VM in the preferred region: %v", anywhere)
	}
}

// BenchmarkBorrowFromHomes measures one round of share requests to homes, with 474 accounts in a
// fleet of 62 VMs.
func BenchmarkBorrowFromHomes(b *testing.B) {
	src := &sources{}
	c := config.Empty()
	for i := range 474 {
		name := fmt.Sprint("account-", i)
		c.Accounts[name] = &config.Account{Name: name, Rate: 5, Burst: 8}
	}
	src.config.Store(c)
	src.holding.Store(hold(124, 0, 62))
	view := &member.View{Self: member.Peer{ID: "vm-0"}}
	for i := range 61 {
		view.Peers = append(view.Peers, member.Peer{ID: fmt.Sprint("vm-", 1+i)})
	}
	src.view.Store(view)
	s := NewService(Config{Config: src, Slots: src, Members: src, Clock: clock.System{}, Log: zerolog.Nop()})
	s.refresh(view)
	for b.Loop() {
		s.borrowFromHomes(b.Context())
	}
}

// TestLateExchangeKeepsTheHome guards against a periodic exchange that began with an earlier view of the
// fleet and makes this VM the home of an account again. It then refused requests without asking the
// home.
func TestLateExchangeKeepsTheHome(t *testing.T) {
	s, src, _ := newService(config.Account{Name: "a", Rate: 10, Burst: 10})
	alone := &member.View{Self: member.Peer{ID: "self", State: member.Live}}
	src.view.Store(alone)
	s.refresh(alone)
	a, _ := s.account("a")
	if !a.budget.home {
		t.Fatal("a VM alone is not the home")
	}
	other := &member.View{Self: member.Peer{ID: "self", State: member.Leaving}, Peers: []member.Peer{{ID: "other", State: member.Live}}}
	src.view.Store(other)
	s.Admit(t.Context(), "a")
	s.borrowFromHome(t.Context(), alone.Self, []*account{a}) // of the earlier view
	if a.budget.home {
		t.Error("the VM is the home by an earlier view")
	}
}
