// Package placement chooses the target of a request by the object that it concerns, so that few
// targets handle an object and it stays warm on them. Its functions are pure.
//
// An object's hash selects its region by the shares that a Balancer maintains; rendezvous hashing
// (Thaler and Ravishankar, 1998) then ranks the region's targets. Only the first target that is not
// cold is a candidate, together with the cold ones that rank before it. On any other target the
// request would run cold: it would take several times as long, miss its objective and occupy a slot
// that a warm request could use.
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

// mix mixes the bits of x (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// unit maps a hash to (0, 1).
func unit(x uint64) float64 { return (float64(x>>11) + 0.5) / (1 << 53) }

// Salts that make the choices of the region, the failure domain and the target independent of each
// other.
const (
	regionSalt = 0x9e3779b97f4a7c15
	domainSalt = 0xd1b54a32d192ed03
)

// OrderRegions returns the regions for an object in order of preference: first the one that its
// hash selects by the shares, then the others by descending share. Regions that are not usable are
// left out.
func OrderRegions(object uint64, shares []Share, usable func(region string) bool) []string {
	return order(object^regionSalt, shares, usable)
}

// ChooseDomain returns the failure domain that an object's hash selects by the shares of a region's
// domains, or "" if none of them is usable.
func ChooseDomain(object uint64, shares []Share, usable func(domain string) bool) string {
	if domains := order(object^domainSalt, shares, usable); len(domains) > 0 {
		return domains[0]
	}
	return ""
}

func order(object uint64, shares []Share, usable func(place string) bool) []string {
	sum := 0.0
	usableShares := make([]Share, 0, len(shares))
	for _, p := range shares {
		if usable(p.Place) {
			usableShares = append(usableShares, p)
			sum += p.Fraction
		}
	}
	if len(usableShares) == 0 {
		return nil
	}
	u := unit(mix(object)) * sum
	first := len(usableShares) - 1
	for i, p := range usableShares {
		if u -= p.Fraction; u < 0 {
			first = i
			break
		}
	}
	places := []string{usableShares[first].Place}
	usableShares = slices.Delete(usableShares, first, first+1)
	slices.SortStableFunc(usableShares, func(a, b Share) int { return cmp.Compare(b.Fraction, a.Fraction) })
	for _, p := range usableShares {
		places = append(places, p.Place)
	}
	return places
}

// minHomeShare is the least share of a region's requests that must run there for requests with
// large responses to stay. Below it, the region has no room.
const minHomeShare = 0.25

// HomeFirst puts the caller's region first if it has room. It is meant for large responses,
// whose transfer between regions costs more than a cold run.
func HomeFirst(order []string, home string, shares []Share) []string {
	at := slices.Index(order, home)
	room := slices.ContainsFunc(shares, func(p Share) bool { return p.Place == home && p.Fraction >= minHomeShare })
	if at <= 0 || !room {
		return order
	}
	return slices.Insert(slices.Delete(slices.Clone(order), at, at+1), 0, home)
}

// Candidate is a target as Rank sees it.
type Candidate struct {
	// ID is a hash of the target's identity.
	ID uint64
	// Slots is the target's weight: it gets objects in proportion.
	Slots int
}

// Rank returns the indexes of the n best candidates for an object, best first, by weighted
// rendezvous hashing.
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

// Occupancy is the state of a ranked candidate when a request arrives.
type Occupancy struct {
	// Load is the number of requests that run or wait there.
	Load  int
	Slots int
	// ServiceTime is the mean time that a request occupies a slot there; 0 if unknown.
	ServiceTime time.Duration
	// Usable is false for targets that are suspect or can take no more requests now.
	Usable bool
}

// wait predicts how long another request waits for a slot.
func (o Occupancy) wait() time.Duration {
	queued := o.Load + 1 - o.Slots
	if queued <= 0 {
		return 0
	}
	return time.Duration(float64(queued) / float64(o.Slots) * float64(o.ServiceTime))
}

// The wait in a queue of a given length depends on whether the target runs its objects warm. Between
// minQueueLoad and maxQueueLoad, the predicted wait therefore decides.
const (
	// maxWaitFraction is how long a request may wait for a slot, relative to its latency objective.
	maxWaitFraction = 0.7
	// minQueueLoad and maxQueueLoad bound the load, relative to the slots, up to which requests
	// queue: below minQueueLoad they always do, from maxQueueLoad on never, regardless of the
	// predicted wait.
	minQueueLoad = 1.3
	maxQueueLoad = 2.2
	// minQueue and maxQueue are the least such bounds, in requests that wait. The predicted wait says
	// little about the next free slot of a target with few slots.
	minQueue = 3.0
	maxQueue = 6.0
)

// mayQueue reports whether a request may queue at a candidate if it may wait for longest.
func (o Occupancy) mayQueue(longest time.Duration) bool {
	load, slots := float64(o.Load), float64(o.Slots)
	if load >= max(maxQueueLoad*slots, slots+maxQueue) {
		return false
	}
	return load < max(minQueueLoad*slots, slots+minQueue) || o.wait() <= longest
}

// Choose returns the index of the first usable candidate whose queue is short enough for a request
// with the given latency objective, or -1 if there is none.
func Choose(candidates []Occupancy, objective time.Duration) int {
	longest := time.Duration(maxWaitFraction * float64(objective))
	return slices.IndexFunc(candidates, func(c Occupancy) bool { return c.Usable && c.mayQueue(longest) })
}

// scoreMultiplier spreads the difference of two hashes over all bits: 2^64 divided by the golden ratio.
const scoreMultiplier = 0x9e3779b97f4a7c15

// Score returns the weight of a VM for an object in rendezvous hashing, from the hash of the object.
func Score(vm string, object uint64) uint64 {
	return (xxhash.Sum64String(vm) ^ object) * scoreMultiplier
}
