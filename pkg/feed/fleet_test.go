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

// grant creates an account with a key and returns the key's ID and text.
func (f *fleet) grant(v *vm) (string, string) {
	f.t.Helper()
	if v.Snapshot().Accounts["moara"] == nil {
		mustPropose(f.t, v.Feed, create("moara"))
	}
	key, text := keys.New("moara")
	n := mustPropose(f.t, v.Feed, func(*config.Config) (config.Change, error) {
		return config.Change{Action: config.Action{Key: config.Create(key.ID, key)}}, nil
	})
	eventually(f.t, "key granted everywhere", f.all(hasVersion(n)))
	return key.ID, text
}

func withdraw(id string) Build {
	return func(*config.Config) (config.Change, error) {
		return config.Change{Action: config.Action{Key: config.Delete[config.Key](id)}}, nil
	}
}

func reason(v *vm, text string) outcome.Reason {
	_, refusal := keys.Authenticate(v.Snapshot(), "Bearer "+text)
	if refusal == nil {
		return ""
	}
	return refusal.Reason
}

func TestFleetChangeInForceEverywhere(t *testing.T) {
	f := newFleet(t, Config{}, "a", "a", "b", "b")
	eventually(t, "all fresh", f.all(fresh))
	for i := range 20 {
		start := time.Now()
		n := mustPropose(t, f.vms[i%4].Feed, create(fmt.Sprint("account", i)))
		eventually(t, "in force everywhere", f.all(hasVersion(n)))
		if d := time.Since(start); d > 4*time.Second {
			t.Errorf("change %d took %v", i, d)
		}
	}
}

// Without pushes, the relays alone bring a change everywhere.
func TestFleetRelaysWithoutPush(t *testing.T) {
	f := newFleet(t, quick, "a", "a", "b", "b")
	eventually(t, "all fresh", f.all(fresh))
	outside := newStoreFeed(t, f.store)
	n := mustPropose(t, outside, create("a"))
	eventually(t, "in force everywhere", f.all(hasVersion(n)))
}

// Reads of the store follow failure domains, not VMs.
func TestFleetOnlyRelaysRead(t *testing.T) {
	cfg := quick
	cfg.Freshness = time.Minute // the others stay patient however slow the machine
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
	eventually(t, "all know their relay", f.all(func(v *vm) bool { return v.Status().Relay != "" }))
	eventually(t, "first reads are over", f.all(func(v *vm) bool { return v.Status().Version == 0 }))
	before := make([]int64, len(f.vms))
	for i, v := range f.vms {
		before[i] = v.table.reads.Load()
	}
	eventually(t, "relays read on", f.all(func(v *vm) bool {
		return !v.isRelay() || v.table.reads.Load() > before[indexOf(f, v)]+5
	}))
	for i, v := range f.vms {
		// One read may have been in flight when the relay became known.
		if n := v.table.reads.Load() - before[i]; !v.isRelay() && n > 1 {
			t.Errorf("%s does not relay and read %d times", v.peer.ID, n)
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
	f := newFleet(t, quick, "a", "a", "a")
	var relay *vm
	eventually(t, "a relay", func() bool {
		for _, v := range f.vms {
			if v.isRelay() {
				relay = v
			}
		}
		return relay != nil
	})
	relay.cut.Store(true)
	relay.table.cut.Store(true)
	eventually(t, "another relay, known to all", func() bool {
		for _, v := range f.vms {
			if v != relay && (v.Status().Relay == relay.peer.ID || !fresh(v)) {
				return false
			}
		}
		return true
	})
}

// A key that is withdrawn while a VM is cut off stops working there when the
// bound has passed, by refusal as stale, and everywhere else at once.
func TestWithdrawnKey(t *testing.T) {
	f := newFleet(t, quick, "a", "a", "b")
	eventually(t, "all fresh", f.all(fresh))
	id, text := f.grant(f.vms[0])
	eventually(t, "key works", f.all(func(v *vm) bool { return reason(v, text) == "" }))
	cut := f.vms[1]
	cut.cut.Store(true)
	cut.table.cut.Store(true)
	mustPropose(t, f.vms[0].Feed, withdraw(id))
	eventually(t, "refused by the others", func() bool {
		return reason(f.vms[0], text) == outcome.ReasonUnauthenticated &&
			reason(f.vms[2], text) == outcome.ReasonUnauthenticated
	})
	eventually(t, "refused as stale", func() bool { return reason(cut, text) == outcome.ReasonStale })
	cut.cut.Store(false)
	cut.table.cut.Store(false)
	eventually(t, "refused as withdrawn", func() bool { return reason(cut, text) == outcome.ReasonUnauthenticated })
}

func TestCutOffFromStoreStaysFresh(t *testing.T) {
	f := newFleet(t, quick, "a", "b")
	eventually(t, "all fresh", f.all(fresh))
	f.vms[1].table.cut.Store(true)
	n := mustPropose(t, f.vms[0].Feed, create("a"))
	eventually(t, "in force there", func() bool { return hasVersion(n)(f.vms[1]) })
	eventually(t, "read by others only", func() bool {
		st := f.vms[1].Status()
		return !st.StoreReachable && st.SinceStore > 2*quick.Freshness && st.Fresh
	})
}

// TestStoreLostBeforeTheFirstCampaign guards against VMs that say for ever that they reach the
// store: without a relay, one that hears of changes from its peers asks the store for the
// relay's lease alone.
func TestStoreLostBeforeTheFirstCampaign(t *testing.T) {
	f := &fleet{t: t, store: newFakeStore(), cfg: quick}
	f.add("a")
	f.add("b").table.cutAfterRead.Store(true)
	f.start()
	eventually(t, "read by others only", func() bool {
		st := f.vms[1].Status()
		return !st.StoreReachable && st.SinceStore > 2*quick.Freshness && st.Fresh
	})
}

func TestCutOffFromPeersStaysFresh(t *testing.T) {
	f := newFleet(t, quick, "a", "a")
	eventually(t, "all fresh", f.all(fresh))
	f.vms[1].cut.Store(true)
	n := mustPropose(t, f.vms[0].Feed, create("a"))
	eventually(t, "in force there", func() bool { return hasVersion(n)(f.vms[1]) })
	reads := f.vms[1].table.reads.Load()
	eventually(t, "fresh by its own reads, past the bound", func() bool {
		return f.vms[1].table.reads.Load() > reads+2*int64(quick.Freshness/quick.Poll) && fresh(f.vms[1])
	})
}

// With the store down, VMs that all answer each other go on serving keys; as
// soon as one does not answer, it may have accepted a change, and they stop.
func TestOutage(t *testing.T) {
	f := newFleet(t, quick, "a", "a", "b")
	eventually(t, "all fresh", f.all(fresh))
	_, text := f.grant(f.vms[0])
	f.store.set(func(s *fakeStore) { s.down = true })
	eventually(t, "keys work by agreement", f.all(func(v *vm) bool {
		st := v.Status()
		return st.SinceStore > 2*quick.Freshness && reason(v, text) == ""
	}))
	f.vms[2].cut.Store(true)
	eventually(t, "stale while one VM is silent", f.all(func(v *vm) bool {
		return reason(v, text) == outcome.ReasonStale
	}))
	f.vms[2].cut.Store(false)
	eventually(t, "agreement again", f.all(func(v *vm) bool { return reason(v, text) == "" }))
	f.store.set(func(s *fakeStore) { s.down = false })
	mustPropose(t, f.vms[2].Feed, create("after the outage"))
}

// A store that is slower than the bound is no use to tell the age; agreement
// does, and a change that takes that long is still accepted and in force.
func TestSlowStore(t *testing.T) {
	f := newFleet(t, quick, "a", "a", "b")
	eventually(t, "all fresh", f.all(fresh))
	_, text := f.grant(f.vms[0])
	for _, v := range f.vms {
		v.table.delay.Store(int64(2 * quick.ReadTimeout))
	}
	eventually(t, "keys work by agreement", f.all(func(v *vm) bool {
		return v.Status().SinceStore > 2*quick.Freshness && reason(v, text) == ""
	}))
	n := mustPropose(t, f.vms[1].Feed, create("slow"))
	eventually(t, "in force everywhere", f.all(hasVersion(n)))
	eventually(t, "keys work", f.all(func(v *vm) bool { return reason(v, text) == "" }))
}

// A VM that alone still reaches the store may accept a change; the others
// hear of it or go stale.
func TestPartialOutage(t *testing.T) {
	f := newFleet(t, quick, "a", "b", "b")
	eventually(t, "all fresh", f.all(fresh))
	id, text := f.grant(f.vms[0])
	f.vms[1].table.cut.Store(true)
	f.vms[2].table.cut.Store(true)
	mustPropose(t, f.vms[0].Feed, withdraw(id))
	eventually(t, "withdrawn everywhere", f.all(func(v *vm) bool {
		return reason(v, text) == outcome.ReasonUnauthenticated
	}))
}

// A VM that boots in an outage takes the newest of its peers; one without
// peers is not ready.
func TestBootInOutage(t *testing.T) {
	f := newFleet(t, quick, "a", "b")
	eventually(t, "all fresh", f.all(fresh))
	f.vms[1].cut.Store(true)
	f.vms[1].table.cut.Store(true)
	n := mustPropose(t, f.vms[0].Feed, create("a"))
	f.store.set(func(s *fakeStore) { s.down = true })
	f.vms[1].cut.Store(false)
	booted := f.add("b")
	f.start()
	eventually(t, "newest version", func() bool { return booted.Ready() && hasVersion(n)(booted) })
	eventually(t, "fresh by agreement", f.all(fresh))

	alone := newFleet(t, quick, "a")
	alone.store.set(func(s *fakeStore) { s.down = true })
	lonely := alone.add("a")
	lonely.table.cut.Store(true)
	alone.vms[0].cut.Store(true)
	alone.start()
	eventually(t, "an attempt", func() bool {
		return lonely.cfg.Metrics.Get("feed.reads") != nil && lonely.meters.readErrors.Count() > 0
	})
	if lonely.Ready() || lonely.Snapshot().Fresh || lonely.Snapshot().Config == nil {
		t.Errorf("ready without any configuration: %+v", lonely.Status())
	}
}

// A booting VM reads the newest snapshot and the rows after it; where the
// object store fails it reads the whole log.
func TestBootFromSnapshot(t *testing.T) {
	s := newFakeStore()
	f := newFeed(t, Config{Table: s, Objects: objectStore{s}, SnapshotEvery: 10})
	for i := range 25 {
		mustPropose(t, f, create(fmt.Sprint("a", i)))
	}
	eventually(t, "snapshot of version 20", func() bool {
		p, _, err := f.store.pointer(context.Background())
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
