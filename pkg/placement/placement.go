// Package placement chooses where a request runs: by the object that it
// concerns, so that each object is handled by few targets and stays warm there.
// Its functions are pure.
//
// An object's hash decides whether it stays in the caller's region, by the
// part of the fleet's capacity there; rendezvous hashing (Thaler and Ravishankar,
// 1998) then orders the region's targets. Only the first few of them are
// candidates: under load, a request on any other target runs cold, takes several
// times as long and displaces other objects.
package placement

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Region is a region's capacity for a pool.
type Region struct {
	Name string
	// Slots is how many requests its usable targets run at once.
	Slots int
}

// Hash returns the hash of an object of a route.
func Hash(route, object string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(route)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(object)
	return d.Sum64()
}

// mix spreads the bits of x (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// unit maps a hash to (0, 1).
func unit(x uint64) float64 { return (float64(x>>11) + 0.5) / (1 << 53) }

// regionSalt separates the choice of the region from that of the target.
const regionSalt = 0x9e3779b97f4a7c15

// ChooseRegions orders the regions for an object: first the one that its hash
// chooses, then those to which it goes if that has no room. home is the caller's
// region. Regions without slots are left out.
//
// With capacity shares c of R regions, an object stays with probability
// min(1, c*R); what leaves goes to the regions with more than 1/R, in
// proportion to what they have beyond it.
func ChooseRegions(object uint64, home string, regions []Region) []string {
	total, count := 0, 0
	for _, r := range regions {
		if r.Slots > 0 {
			total += r.Slots
			count++
		}
	}
	if total == 0 {
		return nil
	}
	relative := func(r Region) float64 { return float64(r.Slots) * float64(count) / float64(total) }
	u := unit(mix(object ^ regionSalt))
	stay, surplus := 0.0, 0.0
	for _, r := range regions {
		if r.Name == home && r.Slots > 0 {
			stay = min(1, relative(r))
		}
		if r.Name != home {
			surplus += max(0, relative(r)-1)
		}
	}
	first := ""
	if u < stay {
		first = home
	} else {
		first = chooseAway((u-stay)/(1-stay), home, regions, relative, surplus)
	}
	order := []string{first}
	rest := slices.Clone(regions)
	slices.SortStableFunc(rest, func(a, b Region) int { return b.Slots - a.Slots })
	for _, r := range rest {
		if r.Name != first && r.Slots > 0 {
			order = append(order, r.Name)
		}
	}
	return order
}

// chooseAway maps u in [0, 1) to a region other than home.
func chooseAway(u float64, home string, regions []Region, relative func(Region) float64, surplus float64) string {
	weight := func(r Region) float64 {
		if r.Name == home || r.Slots == 0 {
			return 0
		}
		if surplus > 0 {
			return max(0, relative(r)-1)
		}
		return float64(r.Slots)
	}
	sum := 0.0
	for _, r := range regions {
		sum += weight(r)
	}
	if sum == 0 {
		return home
	}
	last := home
	for _, r := range regions {
		w := weight(r)
		if w == 0 {
			continue
		}
		last = r.Name
		if u -= w / sum; u < 0 {
			return r.Name
		}
	}
	return last
}

// Candidate is a target as the ranking sees it.
type Candidate struct {
	// ID is a hash of the target's identity.
	ID uint64
	// Slots weigh the target: it gets objects in proportion.
	Slots int
}

// Rank returns the indexes of the n best candidates for an object, best first,
// by weighted rendezvous hashing.
func Rank(object uint64, candidates []Candidate, n int) []int {
	type scored struct {
		index int
		score float64
	}
	best := make([]scored, 0, n+1)
	for i, c := range candidates {
		s := scored{i, -float64(c.Slots) / math.Log(unit(mix(object^c.ID)))}
		at := len(best)
		for at > 0 && best[at-1].score < s.score {
			at--
		}
		if at == n {
			continue
		}
		best = slices.Insert(best, at, s)
		if len(best) > n {
			best = best[:n]
		}
	}
	out := make([]int, len(best))
	for i, s := range best {
		out[i] = s.index
	}
	return out
}

// Occupancy is what is known of a ranked candidate when a request comes.
type Occupancy struct {
	// Load is how many requests run or wait there.
	Load  int
	Slots int
	// Usable is false for targets that are suspect or may take no more now.
	Usable bool
}

// queueFactor is how many requests a target may have, relative to its slots,
// before a request is refused.
const queueFactor = 1.5

// Choose returns the index of the candidate that takes the request: the first
// with a free slot, else the first whose queue is short; -1 where there is none.
func Choose(candidates []Occupancy) int {
	for i, c := range candidates {
		if c.Usable && c.Load < c.Slots {
			return i
		}
	}
	for i, c := range candidates {
		if c.Usable && float64(c.Load) < queueFactor*float64(c.Slots) {
			return i
		}
	}
	return -1
}
