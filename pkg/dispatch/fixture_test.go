package dispatch

import (
	"fmt"
	"sync"
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/lease"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/target"
)

// bubbleClock reads time.Now, which is the fake time inside a synctest bubble.
type bubbleClock struct{}

func (bubbleClock) Now() clock.Time { return clock.Time(time.Now().UnixNano()) }

const forever = clock.Time(1 << 62)

// fakeFleet implements the lease holder, member source and configuration source of a
// Scheduler.
type fakeFleet struct {
	mu      sync.Mutex
	holding *lease.Holding
	view    *member.View
	config  *config.Config
}

func (f *fakeFleet) Holding() *lease.Holding { return f.holding }

func (f *fakeFleet) View() *member.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fakeFleet) Snapshot() config.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return config.Snapshot{Config: f.config, Fresh: true}
}

// change publishes a configuration with the given drains, and a view with the given peers.
func (f *fakeFleet) change(drains map[string]*config.Drain, peers ...member.Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	cfg, view := *f.config, *f.view
	cfg.Version++
	cfg.Drains, view.Peers = drains, peers
	f.config, f.view = &cfg, &view
}

// newFleet returns a fleet of two regions, east and west, in which vm-0 of region east holds
// all lease slots of its region.
func newFleet() *fakeFleet {
	cfg := config.Empty()
	cfg.Version = 1
	cfg.Routes["lookup"] = &config.Route{Name: "lookup", PathPrefix: "/", Pool: "registru",
		Mode: config.ModeIdempotent, Priority: config.PriorityNormal, Timeout: 10 * time.Second}
	return &fakeFleet{
		holding: &lease.Holding{Total: 4, Slots: []lease.Slot{
			{Index: 0, Region: "east", Until: forever, Settled: true},
			{Index: 2, Region: "east", Until: forever, Settled: true},
		}},
		view:   &member.View{Self: peerVM(0, "east", 0), Complete: true},
		config: cfg,
	}
}

func peerVM(n int, region string, free int) member.Peer {
	id := fmt.Sprintf("vm-%d", n)
	return member.Peer{ID: id, Incarnation: id + "-1", Region: region, FreePermits: free}
}

func targets(region string, n, slots int) []target.Target {
	var list []target.Target
	for i := range n {
		list = append(list, target.Target{
			ID: fmt.Sprintf("%s-%d", region, i), Address: "127.0.0.1:1", Region: region,
			FailureDomain: fmt.Sprintf("%s-%c", region, 'a'+i%2), Slots: slots, Connections: 40 * slots,
		})
	}
	return list
}

// schedulerConfig returns a Config with two targets of two slots each in both regions.
func (f *fakeFleet) schedulerConfig() Config {
	return Config{
		Pools:   []target.Pool{{Name: "registru", Targets: append(targets("east", 2, 2), targets("west", 2, 2)...)}},
		Self:    f.view.Self,
		Members: f, LeaseSlots: f, Config: f, Clock: bubbleClock{},
		Regions:    []string{"east", "west"},
		RegionCost: map[string]time.Duration{"west": 12 * time.Millisecond},
		Seed:       1,
	}
}

func (f *fakeFleet) request(id string) *Request {
	return &Request{ID: id, Account: "mill", Weight: 1, Route: f.config.Routes["lookup"],
		Deadline: time.Now().Add(10 * time.Second)}
}
