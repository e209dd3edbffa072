package dispatch

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
)

// newShiftFleet returns a fleet with one shift of the pool from east to west.
func newShiftFleet(percent float64) *fakeFleet {
	f := newFleet()
	f.config.Shifts["move"] = &config.Shift{Name: "move", Pool: "registru", From: "east", To: "west", CapPercent: percent}
	f.view.Peers = append(f.view.Peers, peerVM(1, "east", 4), peerVM(2, "west", 1<<20))
	return f
}

// TestShiftCapHoldsAfterEveryRequest checks after each decision that, over all VMs, the
// requests that went to the destination since the last change of the cap are within the cap
// of all requests since then. It runs random requests, results and changes of the cap
// through several VMs.
func TestShiftCapHoldsAfterEveryRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newShiftFleet(rapid.Float64Range(0, 100).Draw(t, "cap"))
		var vms []*pool
		for i := range rapid.IntRange(1, 4).Draw(t, "vms") {
			c := f.schedulerConfig().withDefaults()
			vms = append(vms, newPool(c, c.Pools[0], newLinks(1<<20, c.Regions), uint64(i)))
		}
		now := clock.Time(0)
		seen, shifted := 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "gap")) * time.Millisecond)
			if rapid.IntRange(0, 99).Draw(t, "change") == 0 {
				cfg := *f.config
				cfg.Shifts = map[string]*config.Shift{"move": {Name: "move", Pool: "registru", From: "east", To: "west",
					CapPercent: rapid.Float64Range(0, 100).Draw(t, "new cap")}}
				f.config = &cfg
				seen, shifted = 0, 0
			}
			p := rapid.SampledFrom(vms).Draw(t, "vm")
			in := inputs{now: now, config: f.config, members: f.view, holding: f.holding}
			r := &request{Request: f.request("x"), deadline: now.Add(time.Minute)}
			r.ID = rapid.StringN(8, 8, -1).Draw(t, "id")
			a, w, _ := p.acquire(in, r)
			seen++
			if a != nil && a.peer != nil && a.peer.Region == "west" {
				shifted++
			}
			limit := math.Floor(f.config.Shifts["move"].CapPercent / 100 * float64(seen))
			if float64(shifted) > limit {
				t.Fatalf("%d of %d requests shifted, want at most %v", shifted, seen, limit)
			}
			if w != nil {
				p.abandon(now, w)
			}
			if a != nil && rapid.Bool().Draw(t, "ends") {
				p.release(in, a, done)
			}
		}
	})
}

// TestShiftReachesItsCap checks that the ramp reaches the cap while the destination is
// neither slow nor failing.
func TestShiftReachesItsCap(t *testing.T) {
	f := newShiftFleet(25)
	c := f.schedulerConfig().withDefaults()
	p := newPool(c, c.Pools[0], newLinks(1<<20, c.Regions), 1)
	var now clock.Time
	shifted := map[string]int{}
	const requests, early = 10_000, 100
	for i := range requests {
		now = now.Add(10 * time.Millisecond)
		in := inputs{now: now, config: f.config, members: f.view, holding: f.holding}
		a, _, _ := p.acquire(in, &request{Request: f.request(""), deadline: now.Add(time.Minute)})
		res := done
		if a.peer != nil {
			if i < early {
				shifted["early"]++
			}
			if i >= requests/2 {
				shifted["late"]++
			}
			res.Latency += 24 * time.Millisecond
		}
		p.release(in, a, res)
	}
	if shifted["early"] > early/10 || shifted["late"] < requests/2/4-1 {
		t.Errorf("shifted %v, want at most a tenth of the early and a quarter of the late requests", shifted)
	}
}

func TestNextRamp(t *testing.T) {
	const local = 100 * time.Millisecond
	for _, tc := range []struct {
		name      string
		ramp      int64
		good, bad int
		mean      time.Duration
		want      int64
	}{
		{"well", 200, 100, 0, local, 400},
		{"full", 900, 100, 0, local, rampFull},
		{"slow", 200, 100, 0, 250 * time.Millisecond, 200},
		{"much slower", 200, 100, 0, 400 * time.Millisecond, 100},
		{"some errors", 200, 93, 7, local, 200},
		{"many errors", 200, 80, 20, local, 100},
		{"only errors", 80, 0, 5, 0, rampMin},
	} {
		if got := nextRamp(tc.ramp, tc.good, tc.bad, tc.mean*time.Duration(tc.good), local); got != tc.want {
			t.Errorf("%s: ramp %d, want %d", tc.name, got, tc.want)
		}
	}
}
