package placement

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func fractions(shares []Share) map[string]float64 {
	m := map[string]float64{}
	for _, p := range shares {
		m[p.Place] = math.Round(p.Fraction*1000) / 1000
	}
	return m
}

func TestSplit(t *testing.T) {
	calm := []Place{{Name: "a", Slots: 90}, {Name: "b", Slots: 18}, {Name: "c", Slots: 72}}
	for _, tt := range []struct {
		name, home string
		regions    []Place
		want       map[string]float64
	}{
		{"large region keeps its own requests", "a", calm, map[string]float64{"a": 1, "b": 0, "c": 0}},
		{"small region keeps its share of the capacity", "b", calm, map[string]float64{"a": 0.5, "b": 0.3, "c": 0.2}},
		{"no capacity at home", "b", []Place{{Name: "a", Slots: 10}, {Name: "b"}, {Name: "c", Slots: 10}}, map[string]float64{"a": 0.5, "b": 0, "c": 0.5}},
		{"no capacity at all", "a", []Place{{Name: "a"}, {Name: "b"}}, map[string]float64{}},
		// Demand peaks in a region that has lost half of its targets to an evacuation. By capacity
		// it keeps 0.75, which is 45 slots of work; 27 are comfortable.
		{"peak in a partly evacuated region", "c", []Place{
			{Name: "a", Slots: 90, Demand: 30}, {Name: "b", Slots: 18, Demand: 10}, {Name: "c", Slots: 36, Demand: 60},
		}, map[string]float64{"a": 0.438, "b": 0.112, "c": 0.45}},
		{"a burst on a full fleet is shared", "a", []Place{
			{Name: "a", Slots: 10, Demand: 30}, {Name: "b", Slots: 10, Demand: 10},
		}, map[string]float64{"a": 0.667, "b": 0.333}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, fractions(Split(tt.home, tt.regions))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func drawRegions(t *rapid.T) []Place {
	names := []string{"a", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(t, "regions")]
	var out []Place
	for _, n := range names {
		out = append(out, Place{Name: n, Slots: float64(rapid.IntRange(0, 100).Draw(t, "slots")), Demand: rapid.Float64Range(0, 200).Draw(t, "work")})
	}
	return out
}

// TestSplitProperties checks that the shares of every region sum to 1, that none is negative, and
// that no region gets more load than the level that the fleet's demand requires.
func TestSplitProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := drawRegions(t)
		slots, work := 0.0, 0.0
		for _, r := range regions {
			slots, work = slots+r.Slots, work+r.Demand
		}
		if slots == 0 {
			return
		}
		load := map[string]float64{}
		for _, home := range regions {
			sum := 0.0
			for _, p := range Split(home.Name, regions) {
				if p.Fraction < 0 {
					t.Fatalf("negative share %v", p)
				}
				sum += p.Fraction
				load[p.Place] += p.Fraction * home.Demand
			}
			if math.Abs(sum-1) > 1e-9 {
				t.Fatalf("shares of %s sum to %v, want 1", home.Name, sum)
			}
		}
		level := max(comfortableUtilization, work/slots)
		for _, r := range regions {
			if load[r.Name] > level*r.Slots+1e-6 {
				t.Fatalf("region %s: load %v exceeds %v", r.Name, load[r.Name], level*r.Slots)
			}
		}
	})
}

// TestBalancerMovesSlowly checks that the fraction of requests that changes region stays within the
// platform's bound while capacity is constant, however the demand changes.
func TestBalancerMovesSlowly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &Balancer{}
		regions := drawRegions(t)
		now := time.Unix(0, 0)
		old := b.Update("a", regions, now)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			for i := range regions {
				regions[i].Demand = rapid.Float64Range(0, 200).Draw(t, "work")
			}
			now = now.Add(250 * time.Millisecond)
			next := b.Update("a", regions, now)
			moved := 0.0
			for i := range next {
				moved += math.Abs(next[i].Fraction-old[i].Fraction) / 2
			}
			if moved > maxShiftRate*0.25+1e-9 {
				t.Fatalf("%v of the requests changed region in 250 ms", moved)
			}
			old = next
		}
	})
}

func TestBalancerFollowsLossAtOnce(t *testing.T) {
	b := &Balancer{}
	now := time.Unix(0, 0)
	b.Update("a", []Place{{Name: "a", Slots: 90}, {Name: "b", Slots: 90}}, now)
	got := b.Update("a", []Place{{Name: "a", Slots: 0}, {Name: "b", Slots: 90}}, now.Add(time.Second))
	if diff := cmp.Diff(map[string]float64{"a": 0, "b": 1}, fractions(got)); diff != "" {
		t.Error(diff)
	}
}

// TestTemporaryLossOfAllCapacity guards against a panic when the targets of all regions take no
// requests for a while, though they are registered.
func TestTemporaryLossOfAllCapacity(t *testing.T) {
	b, now := &Balancer{}, time.Now()
	update := func(slots float64) []Share {
		now = now.Add(time.Second)
		return b.Update("east", []Place{{Name: "east", Slots: slots, UnlimitedSlots: 9}, {Name: "west", Slots: slots, UnlimitedSlots: 9}}, now)
	}
	for _, slots := range []float64{9, 0, 9} {
		if got, want := len(update(slots)), min(2, int(slots)); got != want {
			t.Errorf("%d shares with %v slots, want %d", got, slots, want)
		}
	}
}

// TestDomainsOfOneRegion divides the requests of a region's callers among its failure domains when more
// callers use the VMs of one domain than its targets can serve. Compared with a choice by hash among all
// targets, fewer requests cross domains; compared with the caller's domain first, none is overloaded.
func TestDomainsOfOneRegion(t *testing.T) {
	for _, tt := range []struct {
		pattern         string
		domains         []Place
		crossing, level float64 // the most that are allowed
	}{
		{"callers in proportion to targets", []Place{{Name: "a", Slots: 24, Demand: 12}, {Name: "b", Slots: 24, Demand: 12}}, 0, 0.75},
		{"three quarters of the callers use one domain", []Place{{Name: "a", Slots: 24, Demand: 30}, {Name: "b", Slots: 24, Demand: 10}}, 0.25, 40.0 / 48},
		{"a domain without targets", []Place{{Name: "a", Slots: 24, Demand: 8}, {Name: "b", Demand: 8}}, 0.5, 0.75},
		{"small responses fill one half of all targets", []Place{{Name: "a", Slots: 24, Demand: 9, BoundDemand: 12}, {Name: "b", Slots: 24, Demand: 3, BoundDemand: 12}}, 0, 0.75},
	} {
		t.Run(tt.pattern, func(t *testing.T) {
			load, crossing, total := map[string]float64{}, 0.0, 0.0
			for _, from := range tt.domains {
				total += from.Demand
				for _, s := range Split(from.Name, tt.domains) {
					load[s.Place] += from.Demand * s.Fraction
					if s.Place != from.Name {
						crossing += from.Demand * s.Fraction
					}
				}
			}
			if crossing > tt.crossing*total+1e-9 {
				t.Errorf("%.2f of %.2f slots of work cross domains, want at most %.2f", crossing, total, tt.crossing*total)
			}
			for _, d := range tt.domains {
				if free := d.Slots - d.BoundDemand; load[d.Name] > tt.level*free+1e-9 {
					t.Errorf("domain %s gets %.2f slots of work for %.2f free slots", d.Name, load[d.Name], free)
				}
			}
		})
	}
}
