package dispatch

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
)

// shiftFleet is a fleet whose config has one shift of the pool from east.
func shiftFleet(percent float64) *fakeFleet {
	f := newFleet()
	f.config.Shifts["move"] = &config.Shift{Name: "move", Pool: "registru", From: "east", To: "west", CapPercent: percent}
	f.view.Peers = append(f.view.Peers, peerVM(1, "east", 4), peerVM(2, "west", 1<<20))
	return f
}

// TestShiftCapHoldsOverEveryPrefix runs random requests, ends, room in the
// destination and changes of the cap through several VMs, and checks after each
// decision that over all VMs no more than the cap of what was seen under it
// went to the destination.
func TestShiftCapHoldsOverEveryPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := shiftFleet(rapid.Float64Range(0, 100).Draw(t, "cap"))
		var vms []*pool
		for i := range rapid.IntRange(1, 4).Draw(t, "vms") {
			c := f.schedulerConfig().withDefaults()
			vms = append(vms, newPool(c, c.Pools[0], newLinks(1<<20, c.Regions), uint64(i)))
		}
		now := clock.Time(0)
		seen, moved := 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "gap")) * time.Millisecond)
			if rapid.IntRange(0, 99).Draw(t, "change") == 0 {
				cfg := *f.config
				cfg.Shifts = map[string]*config.Shift{"move": {Name: "move", Pool: "registru", From: "east", To: "west",
					CapPercent: rapid.Float64Range(0, 100).Draw(t, "new cap")}}
				f.config = &cfg
				seen, moved = 0, 0
			}
			p := rapid.SampledFrom(vms).Draw(t, "vm")
			in := inputs{now: now, config: f.config, members: f.view, holding: f.holding}
			r := &request{Request: f.request("x"), deadline: now.Add(time.Minute)}
			r.ID = rapid.StringN(8, 8, -1).Draw(t, "id")
			l, ticket, _ := p.acquire(in, r)
			seen++
			if l != nil && l.peer != nil && l.peer.Region == "west" {
				moved++
			}
			limit := math.Floor(f.config.Shifts["move"].CapPercent / 100 * float64(seen))
			if float64(moved) > limit {
				t.Fatalf("%d of %d requests moved, at most %v may", moved, seen, limit)
			}
			if ticket != nil {
				p.abandon(now, ticket)
			}
			if l != nil && rapid.Bool().Draw(t, "ends") {
				p.release(in, l, done)
			}
		}
	})
}

// TestShiftReachesItsCap checks that the ramp ends at the cap while the
// destination does well.
func TestShiftReachesItsCap(t *testing.T) {
	f := shiftFleet(25)
	c := f.schedulerConfig().withDefaults()
	p := newPool(c, c.Pools[0], newLinks(1<<20, c.Regions), 1)
	var now clock.Time
	moved := map[string]int{}
	const requests, early = 10_000, 100
	for i := range requests {
		now = now.Add(10 * time.Millisecond)
		in := inputs{now: now, config: f.config, members: f.view, holding: f.holding}
		l, _, _ := p.acquire(in, &request{Request: f.request(""), deadline: now.Add(time.Minute)})
		res := done
		if l.peer != nil {
			if i < early {
				moved["early"]++
			}
			if i >= requests/2 {
				moved["late"]++
			}
			res.Latency += 24 * time.Millisecond
		}
		p.release(in, l, res)
	}
	if moved["early"] > early/10 || moved["late"] < requests/2/4-1 {
		t.Errorf("moved %v", moved)
	}
}

func TestNextRamp(t *testing.T) {
	const usual = 100 * time.Millisecond
	for _, tc := range []struct {
		name      string
		ramp      int64
		good, bad int
		mean      time.Duration
		want      int64
	}{
		{"well", 200, 100, 0, usual, 400},
		{"full", 900, 100, 0, usual, rampFull},
		{"slow", 200, 100, 0, 250 * time.Millisecond, 200},
		{"much slower", 200, 100, 0, 400 * time.Millisecond, 100},
		{"some errors", 200, 93, 7, usual, 200},
		{"many errors", 200, 80, 20, usual, 100},
		{"only errors", 80, 0, 5, 0, rampLeast},
	} {
		if got := nextRamp(tc.ramp, tc.good, tc.bad, tc.mean*time.Duration(tc.good), usual); got != tc.want {
			t.Errorf("%s: %d, want %d", tc.name, got, tc.want)
		}
	}
}
