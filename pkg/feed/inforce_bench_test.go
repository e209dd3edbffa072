package feed

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// topology describes a fleet of eleven VMs in three regions with two failure
// domains each. The store is in the first region.
type topology struct {
	name string
	// regionRTT and domainRTT are the round trip times between regions, and
	// between failure domains of one region.
	regionRTT, domainRTT time.Duration
}

var topologies = []topology{
	{"agency", 24 * time.Millisecond, 2 * time.Millisecond},
	{"studio", 110 * time.Millisecond, time.Millisecond},
}

// start starts the fleet. VM i is in region i%3 and failure domain i/3%2 of that
// region.
func (topo topology) start(b *testing.B, cfg Config) *fleet {
	f := &fleet{t: b, store: newFakeStore(), cfg: cfg}
	region := map[string]int{}
	for i := range 11 {
		v := f.add(fmt.Sprintf("region%d-%d", i%3, i/3%2))
		region[v.peer.PeerAddress] = i % 3
		v.table.delay.Store(int64(topo.roundTrip(i%3, 0)))
		v.delay = func(address string) time.Duration { return topo.roundTrip(i%3, region[address]) }
	}
	f.start()
	eventually(b, "all fresh", f.every(fresh))
	return f
}

func (topo topology) roundTrip(from, to int) time.Duration {
	if from == to {
		return topo.domainRTT
	}
	return topo.regionRTT
}

// BenchmarkInForce measures the time from an operator's call until the last of
// eleven VMs has the change in force: with pushes, and through the relays alone,
// for a change that a feed outside the fleet writes to the store.
func BenchmarkInForce(b *testing.B) {
	for _, topo := range topologies {
		b.Run(topo.name+"/push", func(b *testing.B) {
			f := topo.start(b, Config{})
			measure(b, f, func(i int, build BuildFunc) int64 { return mustPropose(b, f.vms[i%11].Feed, build) })
		})
		b.Run(topo.name+"/relays", func(b *testing.B) {
			f := topo.start(b, Config{})
			outside := newStoreFeed(b, f.store)
			measure(b, f, func(_ int, build BuildFunc) int64 { return mustPropose(b, outside, build) })
		})
	}
}

// measure reports quantiles of the time from a proposal until all VMs have its
// change in force.
func measure(b *testing.B, f *fleet, propose func(int, BuildFunc) int64) {
	h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for i := range b.N {
		// Make the changes at different points of the poll interval.
		time.Sleep(time.Duration(i%7) * 70 * time.Millisecond)
		start := time.Now()
		n := propose(i, createAccount(fmt.Sprint("account", i)))
		eventually(b, "in force everywhere", f.every(hasVersion(n)))
		if err := h.RecordValue(time.Since(start).Microseconds()); err != nil {
			b.Fatal(err)
		}
	}
	for _, q := range []float64{50, 99, 100} {
		b.ReportMetric(float64(h.ValueAtQuantile(q))/1000, fmt.Sprintf("p%g-ms", q))
	}
}

// BenchmarkAge reports the maximum age of the configuration on the VMs that are
// not frozen, with the default freshness bound of 3 s, and the percentage of
// samples that were stale. An operation is 8 s of one fault.
func BenchmarkAge(b *testing.B) {
	for name, fault := range map[string]func(*fleet){
		"none":         func(*fleet) {},
		"relay frozen": freezeRelay,
		"store down":   func(f *fleet) { f.store.set(func(s *fakeStore) { s.down = true }) },
		"store hangs": func(f *fleet) {
			for _, v := range f.vms {
				v.table.delay.Store(int64(time.Minute))
			}
		},
		"store down and VM frozen": func(f *fleet) {
			freezeRelay(f)
			f.store.set(func(s *fakeStore) { s.down = true })
		},
	} {
		b.Run(name, func(b *testing.B) {
			f := topologies[1].start(b, Config{})
			var oldest time.Duration
			stale, samples := 0, 0
			for range b.N {
				fault(f)
				for start := time.Now(); time.Since(start) < 8*time.Second; time.Sleep(5 * time.Millisecond) {
					for _, v := range f.vms {
						if v.partitioned.Load() {
							continue
						}
						oldest = max(oldest, v.Status().Age)
						samples++
						if !fresh(v) {
							stale++
						}
					}
				}
			}
			b.ReportMetric(float64(oldest.Milliseconds()), "oldest-ms")
			b.ReportMetric(100*float64(stale)/float64(samples), "%stale")
		})
	}
}

// freezeRelay disconnects a relay from its peers and the store.
func freezeRelay(f *fleet) {
	for _, v := range f.vms {
		if v.isRelay() {
			v.partitioned.Store(true)
			v.table.disconnected.Store(true)
			return
		}
	}
}
