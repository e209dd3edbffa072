package retry

import (
	"sync"
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
)

// The parts of a fleet's bound that its VMs earn during a window and may have saved up before
// it. Their sums are less than 1: the rest is left for repeats that arrive later than they
// were granted.
const (
	earnedOfRatio, savedOfRatio = 0.8, 0.15
	// A part of the floor is little where many VMs share it; half of it saved leaves each a
	// whole repeat.
	earnedOfFloor, savedOfFloor = 0.45, 0.5
)

// PoolLimit is the bound for the whole fleet: in any Window, at most
// Ratio x requests + Floor repeats.
type PoolLimit struct {
	Ratio, Floor float64
	Window       time.Duration
	// VMs is how many VMs share Floor; 0 is unknown, and none of Floor is used.
	VMs int
}

// PoolBudget bounds the repeats to each pool, so that the fleet's stay within a PoolLimit
// whichever VMs the requests come to and whenever processes start. It is a token bucket: what
// all VMs earn in a window follows from the requests in it, and what they have saved up before
// from the requests of the window before. It is safe for concurrent use.
type PoolBudget struct {
	mu    sync.Mutex
	idle  clock.Time
	pools map[string]*bucket
}

// NewPoolBudget returns the budget of a process. idleSince is since when no other process of
// its VM has repeated a request: when this one started, or 0 where it is the VM's first.
func NewPoolBudget(idleSince clock.Time) *PoolBudget {
	return &PoolBudget{idle: idleSince, pools: map[string]*bucket{}}
}

// Count records a request to a pool, not counting its repeats.
func (b *PoolBudget) Count(pool string, l PoolLimit, now clock.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.at(pool, l, now)
	p.recent.add(now, l.Window)
	p.earn(earnedOfRatio*l.Ratio, l)
}

// PoolUse is what a decision on a repeat was made from.
type PoolUse struct {
	// Granted says that the repeat may be sent.
	Granted bool
	// Available is how many repeats this VM had left before the decision, and Capacity how
	// many it can save up.
	Available, Capacity float64
	// Requests is what this VM counted in the window before the decision.
	Requests float64
	// VMs is how many VMs share the fleet's floor.
	VMs int
}

// Take uses up one repeat where one is left.
func (b *PoolBudget) Take(pool string, l PoolLimit, now clock.Time) PoolUse {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.at(pool, l, now)
	use := PoolUse{Granted: p.tokens >= 1, Available: p.tokens, Capacity: p.capacity(l), Requests: p.recent.sum, VMs: l.VMs}
	if use.Granted {
		p.tokens--
	}
	return use
}

// at returns the bucket of a pool with what time has earned it.
func (b *PoolBudget) at(pool string, l PoolLimit, now clock.Time) *bucket {
	p := b.pools[pool]
	if p == nil {
		p = &bucket{at: b.idle}
		b.pools[pool] = p
	}
	p.recent.advance(now, l.Window)
	elapsed := now.Sub(p.at)
	p.at = now
	p.earn(earnedOfFloor*l.floorPart()*elapsed.Seconds()/max(l.Window, 1).Seconds(), l)
	return p
}

// floorPart is a VM's part of the floor.
func (l PoolLimit) floorPart() float64 {
	if l.VMs < 1 {
		return 0
	}
	return l.Floor / float64(l.VMs)
}

// bucket holds the repeats that a VM may send to a pool.
type bucket struct {
	tokens float64
	at     clock.Time
	recent window
}

func (p *bucket) earn(tokens float64, l PoolLimit) {
	p.tokens = min(p.tokens+tokens, p.capacity(l))
}

// capacity is how many repeats may be saved up.
func (p *bucket) capacity(l PoolLimit) float64 {
	return savedOfRatio*l.Ratio*p.recent.sum + savedOfFloor*l.floorPart()
}

// windowSlices is how many slices a window is counted in.
const windowSlices = 10

// window counts what happened in the slice that runs and the nine before it, which is the
// length of the window at most.
type window struct {
	index  int64 // of the slice that runs
	slices [windowSlices]float64
	sum    float64
}

// advance drops what has left the window.
func (w *window) advance(now clock.Time, length time.Duration) {
	index := int64(now) / max(1, int64(length)/windowSlices)
	if index-w.index >= windowSlices || index < w.index { // its length has changed
		*w = window{index: index}
	}
	for w.index < index {
		w.index++
		oldest := &w.slices[w.index%windowSlices]
		w.sum -= *oldest
		*oldest = 0
	}
}

// add counts one at now.
func (w *window) add(now clock.Time, length time.Duration) {
	w.advance(now, length)
	w.slices[w.index%windowSlices]++
	w.sum++
}
