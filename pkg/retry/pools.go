package retry

import (
	"sync"
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
)

// Fractions of the fleet's limit that its VMs earn during a window, and that they may have saved
// before it. Each pair sums to less than 1: the rest is for retries that reach a target later than
// they were granted.
const (
	earnedOfRatio, savedOfRatio = 0.8, 0.15
	// Many VMs share the floor, so the part of each is small. Each may save half of its part, so
	// that it can save up a whole retry.
	earnedOfFloor, savedOfFloor = 0.45, 0.5
)

// PoolLimit is the retry limit of the whole fleet: at most Ratio x requests + Floor retries in any
// Window.
type PoolLimit struct {
	Ratio, Floor float64
	Window       time.Duration
	// VMs is how many VMs share Floor. 0 means unknown, and nothing of Floor is used.
	VMs int
}

// PoolBudget limits the retries to each pool, so that the whole fleet stays within a PoolLimit
// whichever VMs receive the requests and whenever processes start. It is a token bucket per pool:
// what all VMs earn in a window is limited by the requests in that window, and what they have saved
// by the requests in the window before. It is safe for concurrent use.
type PoolBudget struct {
	mu        sync.Mutex
	idleSince clock.Time
	pools     map[string]*bucket
}

// NewPoolBudget returns the budget of a process. idleSince is the time since which no other process
// of its VM has sent a retry: the start of this process, or 0 if it is the VM's first.
func NewPoolBudget(idleSince clock.Time) *PoolBudget {
	return &PoolBudget{idleSince: idleSince, pools: map[string]*bucket{}}
}

// Count records a request to a pool. The request's retries are not counted.
func (b *PoolBudget) Count(pool string, l PoolLimit, now clock.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.bucketAt(pool, l, now)
	p.recent.add(now, l.Window)
	p.earn(earnedOfRatio*l.Ratio, l)
}

// TakeResult is the result of Take with the values that it is based on.
type TakeResult struct {
	// Granted reports that the retry may be sent.
	Granted bool
	// Available is how many retries this VM had left before Take, and Capacity how many it can
	// save.
	Available, Capacity float64
	// Requests is how many requests this VM counted in the window before Take.
	Requests float64
	// VMs is how many VMs share the fleet's floor.
	VMs int
}

// Take takes one retry from the pool's budget if one is left.
func (b *PoolBudget) Take(pool string, l PoolLimit, now clock.Time) TakeResult {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.bucketAt(pool, l, now)
	result := TakeResult{Granted: p.tokens >= 1, Available: p.tokens, Capacity: p.capacity(l), Requests: p.recent.sum, VMs: l.VMs}
	if result.Granted {
		p.tokens--
	}
	return result
}

// bucketAt returns the bucket of a pool, including what it has earned from its part of the floor
// until now.
func (b *PoolBudget) bucketAt(pool string, l PoolLimit, now clock.Time) *bucket {
	p := b.pools[pool]
	if p == nil {
		p = &bucket{updated: b.idleSince}
		b.pools[pool] = p
	}
	p.recent.advance(now, l.Window)
	elapsed := now.Sub(p.updated)
	p.updated = now
	p.earn(earnedOfFloor*l.floorPart()*elapsed.Seconds()/max(l.Window, 1).Seconds(), l)
	return p
}

// floorPart returns one VM's part of the floor.
func (l PoolLimit) floorPart() float64 {
	if l.VMs < 1 {
		return 0
	}
	return l.Floor / float64(l.VMs)
}

// bucket holds the retries that a VM may send to a pool.
type bucket struct {
	tokens  float64
	updated clock.Time
	recent  window
}

func (p *bucket) earn(tokens float64, l PoolLimit) {
	p.tokens = min(p.tokens+tokens, p.capacity(l))
}

// capacity returns how many retries may be saved.
func (p *bucket) capacity(l PoolLimit) float64 {
	return savedOfRatio*l.Ratio*p.recent.sum + savedOfFloor*l.floorPart()
}

// windowSlices is the number of slices that a window is divided into.
const windowSlices = 10

// window counts events in the current slice and the nine before it, which together are at most as
// long as the window.
type window struct {
	index  int64 // of the current slice
	slices [windowSlices]float64
	sum    float64
}

// advance drops the slices that have left the window.
func (w *window) advance(now clock.Time, length time.Duration) {
	index := int64(now) / max(1, int64(length)/windowSlices)
	if index-w.index >= windowSlices || index < w.index { // the window's length has changed
		*w = window{index: index}
	}
	for w.index < index {
		w.index++
		oldest := &w.slices[w.index%windowSlices]
		w.sum -= *oldest
		*oldest = 0
	}
}

// add counts one event at now.
func (w *window) add(now clock.Time, length time.Duration) {
	w.advance(now, length)
	w.slices[w.index%windowSlices]++
	w.sum++
}
