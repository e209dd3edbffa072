package retry

import (
	"sync"
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
)

// poolSlices is how many slices a window is counted in.
const poolSlices = 10

// PoolBudget bounds the repeats to each pool to this VM's part of what the
// fleet may send. It counts over a sliding window. It is safe for concurrent use.
type PoolBudget struct {
	mu    sync.Mutex
	pools map[string]*window
}

// PoolLimit is the bound for the whole fleet: in any Window, at most
// Ratio x requests + Floor repeats.
type PoolLimit struct {
	Ratio, Floor float64
	Window       time.Duration
	// VMs is how many VMs share Floor.
	VMs int
}

// safety is the part of the bound that VMs use; windows of the VMs do not begin
// at the same moments.
const safety = 0.8

// NewPoolBudget returns an empty budget.
func NewPoolBudget() *PoolBudget { return &PoolBudget{pools: map[string]*window{}} }

// Count records a request to a pool, not counting its repeats.
func (b *PoolBudget) Count(pool string, l PoolLimit, now clock.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at(pool, l, now).requests++
}

// PoolUse is what a decision on a repeat was made from.
type PoolUse struct {
	// Granted says that the repeat may be sent.
	Granted bool
	// Requests and Repeats are what this VM counted in the window before the decision.
	Requests, Repeats float64
	// Limit is how many repeats this VM may send in the window.
	Limit float64
	// VMs is how many VMs the fleet's floor was divided by.
	VMs int
}

// Take uses up one repeat where one is left.
func (b *PoolBudget) Take(pool string, l PoolLimit, now clock.Time) PoolUse {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.at(pool, l, now)
	use := PoolUse{VMs: max(1, l.VMs)}
	use.Requests, use.Repeats = b.pools[pool].sum()
	use.Limit = safety * (l.Ratio*use.Requests + l.Floor/float64(use.VMs))
	if use.Repeats+1 <= use.Limit {
		use.Granted = true
		s.repeats++
	}
	return use
}

// at returns the slice of the window that now lies in.
func (b *PoolBudget) at(pool string, l PoolLimit, now clock.Time) *slice {
	w := b.pools[pool]
	if w == nil {
		w = &window{}
		b.pools[pool] = w
	}
	return w.advance(int64(now) / max(1, int64(l.Window)/poolSlices))
}

type slice struct {
	requests, repeats float64
}

// window counts in a ring. It holds one slice more than the window, so that any
// span of the window's length lies inside.
type window struct {
	index  int64
	slices [poolSlices + 1]slice
}

func (w *window) advance(index int64) *slice {
	if index-w.index > poolSlices {
		w.slices = [poolSlices + 1]slice{}
		w.index = index
	}
	for w.index < index {
		w.index++
		w.slices[w.index%(poolSlices+1)] = slice{}
	}
	return &w.slices[w.index%(poolSlices+1)]
}

func (w *window) sum() (requests, repeats float64) {
	for _, s := range w.slices {
		requests += s.requests
		repeats += s.repeats
	}
	return requests, repeats
}
