// Package lease holds the numbered slots that the fleet's limits are cut into.
// A slot belongs to one incarnation of one VM at a time, by a lease in the
// platform's table; it carries a fixed fraction of every rate limit and of the
// permits of the targets in its region.
package lease

import "crocusramp.dev/crocusramp/pkg/clock"

// Slot is a slot that this VM holds.
type Slot struct {
	// Index counts from 0.
	Index int
	// Region is where the targets are whose permits the slot carries.
	Region string
	// Since is when this VM took the slot over.
	Since clock.Time
	// Until is when the VM must stop using the slot, unless renewed. It is
	// already shortened by the margin for clock drift.
	Until clock.Time
	// New reports that the slot had no holder before this VM. Else a former
	// holder may have lent parts of it that are still in use.
	New bool
	// Idle reports that the last holder had no request running under the slot
	// when it released it.
	Idle bool
	// Kept slots are never lent. So nobody else can use a part of one, and the
	// next process of its VM may use it at once.
	Kept bool
}

// Valid reports whether the slot may be used at now.
func (s Slot) Valid(now clock.Time) bool { return now.Before(s.Until) }

// Holding is an immutable list of held slots, in order of Index.
type Holding struct {
	// Total is the number of slots in the fleet.
	Total int
	Slots []Slot
	// Generation grows with each change of the set of slots, not with renewals.
	Generation uint64
}

// Holder publishes what this VM holds. Holding never returns nil and costs one
// atomic load. Users check Slot.Valid at each decision: the VM may have been
// paused since the holding was published.
type Holder interface {
	Holding() *Holding
}
