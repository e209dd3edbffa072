// Package placement chooses where a request runs: by the object that it
// concerns, so that each object is handled by few targets and stays warm there.
// Its functions are pure.
//
// An object's hash decides which region it goes to, by the parts that a Balancer
// keeps; rendezvous hashing (Thaler and Ravishankar, 1998) then orders the
// region's targets. Only the first of them that is not cold is a
// candidate, with the cold ones before it: on any other target a request runs cold, takes
// several times as long and misses its objective, and keeps a slot from those that
// would be warm.
package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

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
// chooses by the parts, then the others, the largest part first. Regions that
// are not in usable are left out.
func ChooseRegions(object uint64, parts []Part, usable func(region string) bool) []string {
	sum := 0.0
	kept := make([]Part, 0, len(parts))
	for _, p := range parts {
		if usable(p.Region) {
			kept = append(kept, p)
			sum += p.Fraction
		}
	}
	if len(kept) == 0 {
		return nil
	}
	u := unit(mix(object^regionSalt)) * sum
	first := len(kept) - 1
	for i, p := range kept {
		if u -= p.Fraction; u < 0 {
			first = i
			break
		}
	}
	order := []string{kept[first].Region}
	kept = slices.Delete(kept, first, first+1)
	slices.SortStableFunc(kept, func(a, b Part) int { return cmp.Compare(b.Fraction, a.Fraction) })
	for _, p := range kept {
		order = append(order, p.Region)
	}
	return order
}

// homePart is the least part of a region's requests that must run there for
// bulky answers to stay: below, the region has no room.
const homePart = 0.25

// HomeFirst puts the caller's region first where it has room, as for bulky
// answers, whose bytes cost more between regions than a cold run.
func HomeFirst(order []string, home string, parts []Part) []string {
	at := slices.Index(order, home)
	room := slices.ContainsFunc(parts, func(p Part) bool { return p.Region == home && p.Fraction >= homePart })
	if at <= 0 || !room {
		return order
	}
	return slices.Insert(slices.Delete(slices.Clone(order), at, at+1), 0, home)
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
	// Service is the mean time that a request keeps a slot there; 0 is unknown.
	Service time.Duration
	// Usable is false for targets that are suspect or may take no more now.
	Usable bool
}

// wait predicts how long another request waits for a slot.
func (o Occupancy) wait() time.Duration {
	queued := o.Load + 1 - o.Slots
	if queued <= 0 {
		return 0
	}
	return time.Duration(float64(queued) / float64(o.Slots) * float64(o.Service))
}

// How long a queue is depends on whether the target runs its objects warm.
const (
	// fullWait is how long a request may wait for a slot, relative to its latency
	// objective.
	fullWait = 0.7
	// minQueue and maxQueue bound the load, relative to the slots, where requests
	// queue whatever the prediction says.
	minQueue = 1.3
	maxQueue = 2.2
)

// queues reports whether a request may queue at a candidate.
func (o Occupancy) queues(longest time.Duration) bool {
	load := float64(o.Load)
	if load >= maxQueue*float64(o.Slots) {
		return false
	}
	return load < minQueue*float64(o.Slots) || o.wait() <= longest
}

// Choose returns the index of the first candidate whose queue a request with a
// latency objective can bear; -1 where there is none.
func Choose(candidates []Occupancy, objective time.Duration) int {
	longest := time.Duration(fullWait * float64(objective))
	return slices.IndexFunc(candidates, func(c Occupancy) bool { return c.Usable && c.queues(longest) })
}
