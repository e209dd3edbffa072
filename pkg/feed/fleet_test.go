package feed

import (
	"context"
	"fmt"
	"testing"
	"time"

	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/keys"
	"crocusramp.dev/crocusramp/pkg/outcome"
)

func fresh(v *vm) bool { return v.Snapshot().Fresh }

func hasVersion(n int64) func(*vm) bool {
	return func(v *vm) bool { return v.Snapshot().Version >= n }
}

// grantKey grants a key to a new or existing account, waits until all VMs have it
// and returns the key's ID and text.
func (f *fleet) grantKey(v *vm) (string, string) {
	f.t.Helper()
	if v.Snapshot().Accounts["moara"] == nil {
		mustPropose(f.t, v.Feed, createAccount("moara"))
	}
	key, text := keys.New("moara")
	n := mustPropose(f.t, v.Feed, func(*config.Config) (config.Change, error) {
		return config.Change{Action: config.Action{Key: config.Create(key.ID, key)}}, nil
	})
	eventually(f.t, "key granted everywhere", f.every(hasVersion(n)))
	return key.ID, text
}

func withdraw(id string) BuildFunc {
	return func(*config.Config) (config.Change, error) {
		return config.Change{Action: config.Action{Key: config.Delete[config.Key](id)}}, nil
	}
}

// reason returns why the VM refuses the key, or "" if it accepts it.
func reason(v *vm, text string) outcome.Reason {
	_, refusal := keys.Authenticate(v.Snapshot(), "Bearer "+text)
	if refusal == nil {
		return ""
	}
	return refusal.Reason
}

func TestFleetChangeInForceEverywhere(t *testing.T) {
	f := newFleet(t, Config{}, "a", "a", "b", "b")
	eventually(t, "all fresh", f.every(fresh))
	for i := range 20 {
		start := time.Now()
		n := mustPropose(t, f.vms[i%4].Feed, createAccount(fmt.Sprint("account", i)))
		eventually(t, "in force everywhere", f.every(hasVersion(n)))
		if d := time.Since(start); d > 4*time.Second {
			t.Errorf("change %d took %v", i, d)
		}
	}
}

// A change that is not pushed reaches every VM through the relays.
func TestFleetRelaysWithoutPush(t *testing.T) {
	f := newFleet(t, fastConfig, "a", "a", "b", "b")
	eventually(t, "all fresh", f.every(fresh))
	outside := newStoreFeed(t, f.store)
	n := mustPropose(t, outside, createAccount("a"))
	eventually(t, "in force everywhere", f.every(hasVersion(n)))
}

// Only relays read the store, so that the reads grow with the number of failure
// domains, not of VMs.
func TestFleetOnlyRelaysRead(t *testing.T) {
	cfg := fastConfig
	cfg.MaxAge = time.Minute // keeps the followers from reading the store on a slow machine
	f := newFleet(t, cfg, "a", "a", "a", "b", "b", "b")
	relays := func() (n int) {
		for _, v := range f.vms {
			if v.isRelay() {
				n++
			}
		}
		return n
	}
	eventually(t, "one relay for each failure domain", func() bool { return relays() == 2 })
	eventually(t, "all know their relay", f.every(func(v *vm) bool { return v.Status().Relay != "" }))
	eventually(t, "first reads are over", f.every(func(v *vm) bool { return v.Status().Version == 0 }))
	before := make([]int64, len(f.vms))
	for i, v := range f.vms {
		before[i] = v.table.reads.Load()
	}
	eventually(t, "relays keep reading", f.every(func(v *vm) bool {
		return !v.isRelay() || v.table.reads.Load() > before[indexOf(f, v)]+5
	}))
	for i, v := range f.vms {
		// One read may have been in flight when the relay became known.
		if n := v.table.reads.Load() - before[i]; !v.isRelay() && n > 1 {
			t.Errorf("%s is not a relay, but read the log %d times", v.peer.ID, n)
		}
	}
}

func indexOf(f *fleet, v *vm) int {
	for i := range f.vms {
		if f.vms[i] == v {
			return i
		}
	}
	return -1
}

func TestFleetRelayDies(t *testing.T) {
	f := newFleet(t, fastConfig, "a", "a", "a")
	var relay *vm
	eventually(t, "a relay", func() bool {
		for _, v := range f.vms {
			if v.isRelay() {
				relay = v
			}
		}
		return relay != nil
	})
	relay.partitioned.Store(true)
	relay.table.disconnected.Store(true)
	eventually(t, "another relay, known to all", func() bool {
		for _, v := range f.vms {
			if v != relay && (v.Status().Relay == relay.peer.ID || !fresh(v)) {
				return false
			}
		}
		return true
	})
}

// A key that is withdrawn while a VM is isolated stops working on that VM when
// the freshness bound has passed, because its configuration is stale. On the
// other VMs it stops working at once.
func TestWithdrawnKey(t *testing.T) {
	f := newFleet(t, fastConfig, "a", "a", "b")
	eventually(t, "all fresh", f.every(fresh))
	id, text := f.grantKey(f.vms[0])
	eventually(t, "key works", f.every(func(v *vm) bool { return reason(v, text) == "" }))
	isolated := f.vms[1]
	isolated.partitioned.Store(true)
	isolated.table.disconnected.Store(true)
	mustPropose(t, f.vms[0].Feed, withdraw(id))
	eventually(t, "refused by the others", func() bool {
		return reason(f.vms[0], text) == outcome.ReasonUnauthenticated &&
			reason(f.vms[2], text) == outcome.ReasonUnauthenticated
	})
	eventually(t, "refused as stale", func() bool { return reason(isolated, text) == outcome.ReasonStale })
	isolated.partitioned.Store(false)
	isolated.table.disconnected.Store(false)
	eventually(t, "refused as withdrawn", func() bool { return reason(isolated, text) == outcome.ReasonUnauthenticated })
}

func TestStaysFreshWithoutStore(t *testing.T) {
	f := newFleet(t, fastConfig, "a", "b")
	eventually(t, "all fresh", f.every(fresh))
	f.vms[1].table.disconnected.Store(true)
	disconnected := time.Now()
	n := mustPropose(t, f.vms[0].Feed, createAccount("a"))
	eventually(t, "in force on the VM without the store", func() bool { return hasVersion(n)(f.vms[1]) })
	eventually(t, "fresh through its peers, past the bound", func() bool {
		st := f.vms[1].Status()
		return !st.StoreReachable && withoutStore(f.vms[1], disconnected) && st.Fresh
	})
}

// TestStoreLostBeforeTheFirstCampaign guards against a VM that reports the store
// as reachable forever after losing it: without a relay, a VM that gets changes
// from its peers accesses the store only for the relay lease.
func TestStoreLostBeforeTheFirstCampaign(t *testing.T) {
	f := &fleet{t: t, store: newFakeStore(), cfg: fastConfig}
	f.add("a")
	f.add("b").table.disconnectAfterRead.Store(true)
	f.start()
	eventually(t, "fresh through its peers, past the bound", func() bool {
		st := f.vms[1].Status()
		return !st.StoreReachable && st.SinceStoreResponse > 2*fastConfig.MaxAge && st.Fresh
	})
}

func TestStaysFreshWithoutPeers(t *testing.T) {
	f := newFleet(t, fastConfig, "a", "a")
	eventually(t, "all fresh", f.every(fresh))
	f.vms[1].partitioned.Store(true)
	n := mustPropose(t, f.vms[0].Feed, createAccount("a"))
	eventually(t, "in force on the partitioned VM", func() bool { return hasVersion(n)(f.vms[1]) })
	reads := f.vms[1].table.reads.Load()
	eventually(t, "fresh by its own reads, past the bound", func() bool {
		return f.vms[1].table.reads.Load() > reads+2*int64(fastConfig.MaxAge/fastConfig.PollInterval) && fresh(f.vms[1])
	})
}

// withoutStore reports whether the store has not responded to the VM for much longer than a configuration
// stays fresh. For a VM to which it never responded, that time begins at since.
func withoutStore(v *vm, since time.Time) bool {
	silent := v.Status().SinceStoreResponse
	if silent < 0 {
		silent = time.Since(since)
	}
	return silent > 2*fastConfig.MaxAge
}

// While the store is down, the VMs keep accepting keys as long as all of them
// respond to each other. When one stops responding, it may have accepted a
// change, so they become stale and refuse keys.
func TestOutage(t *testing.T) {
	f := newFleet(t, fastConfig, "a", "a", "b")
	eventually(t, "all fresh", f.every(fresh))
	_, text := f.grantKey(f.vms[0])
	f.store.set(func(s *fakeStore) { s.down = true })
	down := time.Now()
	eventually(t, "keys work by agreement", f.every(func(v *vm) bool {
		return withoutStore(v, down) && reason(v, text) == ""
	}))
	f.vms[2].partitioned.Store(true)
	eventually(t, "stale while one VM is silent", f.every(func(v *vm) bool {
		return reason(v, text) == outcome.ReasonStale
	}))
	f.vms[2].partitioned.Store(false)
	eventually(t, "keys work by agreement again", f.every(func(v *vm) bool { return reason(v, text) == "" }))
	f.store.set(func(s *fakeStore) { s.down = false })
	mustPropose(t, f.vms[2].Feed, createAccount("after the outage"))
}

// Reads of a store that is slower than the read timeout fail, so the VMs stay
// fresh by agreement. A change that takes as long is still accepted and in force.
func TestSlowStore(t *testing.T) {
	f := newFleet(t, fastConfig, "a", "a", "b")
	eventually(t, "all fresh", f.every(fresh))
	_, text := f.grantKey(f.vms[0])
	slow := time.Now()
	for _, v := range f.vms {
		v.table.delay.Store(int64(2 * fastConfig.ReadTimeout))
	}
	eventually(t, "keys work by agreement", f.every(func(v *vm) bool {
		return withoutStore(v, slow) && reason(v, text) == ""
	}))
	n := mustPropose(t, f.vms[1].Feed, createAccount("slow"))
	eventually(t, "in force everywhere", f.every(hasVersion(n)))
	eventually(t, "keys work", f.every(func(v *vm) bool { return reason(v, text) == "" }))
}

// A VM that is the only one to reach the store may accept a change; the others
// receive it or become stale.
func TestPartialOutage(t *testing.T) {
	f := newFleet(t, fastConfig, "a", "b", "b")
	eventually(t, "all fresh", f.every(fresh))
	id, text := f.grantKey(f.vms[0])
	f.vms[1].table.disconnected.Store(true)
	f.vms[2].table.disconnected.Store(true)
	mustPropose(t, f.vms[0].Feed, withdraw(id))
	eventually(t, "withdrawn everywhere", f.every(func(v *vm) bool {
		return reason(v, text) == outcome.ReasonUnauthenticated
	}))
}

// A VM that starts during an outage gets the newest version that its peers have.
// Without a reachable peer, it is not ready.
func TestBootInOutage(t *testing.T) {
	f := newFleet(t, fastConfig, "a", "b")
	eventually(t, "all fresh", f.every(fresh))
	f.vms[1].partitioned.Store(true)
	f.vms[1].table.disconnected.Store(true)
	n := mustPropose(t, f.vms[0].Feed, createAccount("a"))
	f.store.set(func(s *fakeStore) { s.down = true })
	f.vms[1].partitioned.Store(false)
	booted := f.add("b")
	f.start()
	eventually(t, "newest version", func() bool { return booted.Ready() && hasVersion(n)(booted) })
	eventually(t, "fresh by agreement", f.every(fresh))

	alone := newFleet(t, fastConfig, "a")
	alone.store.set(func(s *fakeStore) { s.down = true })
	isolated := alone.add("a")
	isolated.table.disconnected.Store(true)
	alone.vms[0].partitioned.Store(true)
	alone.start()
	eventually(t, "a failed read of the store", func() bool {
		return isolated.cfg.Metrics.Get("feed.reads") != nil && isolated.meters.readErrors.Count() > 0
	})
	if isolated.Ready() || isolated.Snapshot().Fresh || isolated.Snapshot().Config == nil {
		t.Errorf("ready without any configuration: %+v", isolated.Status())
	}
}

// A starting VM reads the newest snapshot and the rows after it. If the snapshot
// cannot be used, it reads the whole log.
func TestBootFromSnapshot(t *testing.T) {
	s := newFakeStore()
	f := newFeed(t, Config{Table: s, Objects: objectStore{s}, SnapshotEvery: 10})
	for i := range 25 {
		mustPropose(t, f, createAccount(fmt.Sprint("a", i)))
	}
	eventually(t, "snapshot of version 20", func() bool {
		p, _, err := f.store.readPointer(context.Background())
		return err == nil && p.Version == 20
	})
	booted := newStoreFeed(t, s)
	u, err := booted.fetch(context.Background())
	if err != nil || u.snapshot.Version != 20 || len(u.entries) != 5 {
		t.Fatalf("update %+v, %v", u, err)
	}
	for name, damage := range map[string]func(*fakeStore){
		"damaged": func(s *fakeStore) { s.objects[objectName(20)] = []byte("{}") },
		"older":   func(s *fakeStore) { s.objects[objectName(20)] = s.objects[objectName(10)] },
		"missing": func(s *fakeStore) { clear(s.objects) },
	} {
		s.set(damage)
		u, err = booted.fetch(context.Background())
		if err != nil || u.snapshot.Version != 0 || len(u.entries) != 25 {
			t.Errorf("%s: %d entries, %v", name, len(u.entries), err)
		}
	}
}
