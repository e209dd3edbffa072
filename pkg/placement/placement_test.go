package placement

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"
)

func pool(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{ID: xxhash.Sum64String(fmt.Sprintf("target-%d", i)), Slots: 9}
	}
	return out
}

// TestRankIsStable checks that removing a target moves only the objects that it had.
func TestRankIsStable(t *testing.T) {
	all := pool(20)
	for object := range uint64(2000) {
		h := Hash("route", fmt.Sprint(object))
		before := Rank(h, all, 2)[0]
		after := Rank(h, all[:19], 2)[0]
		if before != 19 && before != after {
			t.Fatalf("object %d moved from %d to %d", object, before, after)
		}
	}
}

func TestRankFollowsSlots(t *testing.T) {
	c := pool(2)
	c[1].Slots = 27
	n := 0
	const objects = 20000
	for object := range objects {
		if Rank(Hash("route", fmt.Sprint(object)), c, 1)[0] == 1 {
			n++
		}
	}
	if share := float64(n) / objects; share < 0.73 || share > 0.77 {
		t.Errorf("a target with three quarters of the slots got %.3f of the objects, want 0.73 to 0.77", share)
	}
}

func TestOrderRegions(t *testing.T) {
	shares := []Share{{"a", 0.5}, {"b", 0.3}, {"c", 0.2}}
	all := func(string) bool { return true }
	counts := map[string]int{}
	const objects = 20000
	for object := range objects {
		order := OrderRegions(Hash("route", fmt.Sprint(object)), shares, all)
		if len(order) != 3 {
			t.Fatalf("order %v", order)
		}
		counts[order[0]]++
	}
	for _, p := range shares {
		if share := float64(counts[p.Place]) / objects; share < p.Fraction-0.02 || share > p.Fraction+0.02 {
			t.Errorf("region %s got %.3f, want %.1f", p.Place, share, p.Fraction)
		}
	}
	only := OrderRegions(1, shares, func(r string) bool { return r == "c" })
	if len(only) != 1 || only[0] != "c" {
		t.Errorf("got %v, want only c, the usable region", only)
	}
	if got := OrderRegions(1, shares, func(string) bool { return false }); got != nil {
		t.Errorf("got %v though no region is usable", got)
	}
}

// occupied returns a candidate with 9 slots.
func occupied(load int, service time.Duration) Occupancy {
	return Occupancy{Load: load, Slots: 9, ServiceTime: service, Usable: true}
}

func TestHomeFirst(t *testing.T) {
	for _, tt := range []struct {
		name   string
		order  []string
		shares []Share
		want   []string
	}{
		{"room at home", []string{"b", "a", "c"}, []Share{{"a", 0.3}, {"b", 0.7}}, []string{"a", "b", "c"}},
		{"no room at home", []string{"b", "a", "c"}, []Share{{"a", 0.2}, {"b", 0.8}}, []string{"b", "a", "c"}},
		{"home first already", []string{"a", "b"}, []Share{{"a", 1}}, []string{"a", "b"}},
		{"home not usable", []string{"b", "c"}, []Share{{"a", 1}}, []string{"b", "c"}},
	} {
		if diff := cmp.Diff(tt.want, HomeFirst(tt.order, "a", tt.shares)); diff != "" {
			t.Errorf("%s: %s", tt.name, diff)
		}
	}
}

func TestChoose(t *testing.T) {
	const (
		objective = 250 * time.Millisecond
		warm      = 110 * time.Millisecond
		cold      = 360 * time.Millisecond
	)
	unusable := Occupancy{Slots: 9}
	for _, tt := range []struct {
		name string
		c    []Occupancy
		want int
	}{
		{"free", []Occupancy{occupied(0, warm), occupied(0, warm)}, 0},
		{"a short queue is better than a cold run", []Occupancy{occupied(16, warm), occupied(0, warm)}, 0},
		{"a queue within the objective is better than a cold run", []Occupancy{occupied(18, warm), occupied(8, warm)}, 0},
		{"the queue of the first is too long", []Occupancy{occupied(20, warm), occupied(9, warm)}, 1},
		{"both queues are too long", []Occupancy{occupied(20, warm), occupied(20, warm)}, -1},
		{"the first is cold", []Occupancy{unusable, occupied(16, warm)}, 1},
		{"all targets run cold: queues stay short", []Occupancy{occupied(13, cold), occupied(13, cold)}, -1},
		{"all targets run cold: a short queue is used", []Occupancy{occupied(11, cold), occupied(11, cold)}, 0},
		{"unknown service time", []Occupancy{occupied(15, 0), occupied(0, 0)}, 0},
		{"no candidates", nil, -1},
	} {
		if got := Choose(tt.c, objective); got != tt.want {
			t.Errorf("%s: got %d, want %d", tt.name, got, tt.want)
		}
	}
}

func BenchmarkRank(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := pool(n)
			for i := range b.N {
				Rank(uint64(i), c, 5)
			}
		})
	}
}

// TestChooseDomain checks that the failure domain of an object is independent of its region, and that
// only usable domains are chosen.
func TestChooseDomain(t *testing.T) {
	regions, domains := []Share{{"r", 0.3}, {"s", 0.7}}, []Share{{"a", 0.5}, {"b", 0.5}}
	all := func(string) bool { return true }
	counts, inRegion := map[string]int{}, 0
	for i := range 20000 {
		object := Hash("route", strconv.Itoa(i))
		if OrderRegions(object, regions, all)[0] == "r" {
			inRegion++
			counts[ChooseDomain(object, domains, all)]++
		}
	}
	if share := float64(counts["a"]) / float64(inRegion); share < 0.47 || share > 0.53 {
		t.Errorf("domain a gets %.3f of the objects of region r, want 0.5", share)
	}
	if got := ChooseDomain(1, domains, func(d string) bool { return d == "b" }); got != "b" {
		t.Errorf("got %q, want the usable domain", got)
	}
	if got := ChooseDomain(1, domains, func(string) bool { return false }); got != "" {
		t.Errorf("got %q though no domain is usable", got)
	}
}
