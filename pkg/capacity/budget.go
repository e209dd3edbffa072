package capacity

import "sync/atomic"

const (
	// calmDivisor is the part of a budget up to which a request may take any amount.
	calmDivisor = 2
	// partDivisor is the part of what is left that one request may take beyond that.
	partDivisor = 8
)

// Budget is an amount of a resource that many requests share. A nil Budget is unlimited.
type Budget struct {
	capacity int64
	used     atomic.Int64
}

// NewBudget returns a Budget of which nothing is used.
func NewBudget(capacity int64) *Budget { return &Budget{capacity: capacity} }

// Take takes n if as much is left.
func (b *Budget) Take(n int64) bool {
	return b.take(n, func(used int64) bool { return used+n <= b.capacity })
}

// TakePart takes n unless the budget is scarce and n is a large part of what is left. A request that needs little
// finds room even if others hold as much as they get.
func (b *Budget) TakePart(n int64) bool {
	return b.take(n, func(used int64) bool {
		return n == 0 || used <= b.capacity/calmDivisor || n <= (b.capacity-used)/partDivisor
	})
}

func (b *Budget) take(n int64, fits func(used int64) bool) bool {
	if b == nil {
		return true
	}
	for {
		used := b.used.Load()
		if !fits(used) {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Overdraw takes n even if less is left.
func (b *Budget) Overdraw(n int64) {
	if b != nil {
		b.used.Add(n)
	}
}

// Release returns n.
func (b *Budget) Release(n int64) {
	if b != nil {
		b.used.Add(-n)
	}
}

// Used returns the amount that is taken.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}
