// Package lease manages the numbered slots into which the fleet's limits are divided.
// A lease in the platform's table assigns each slot to at most one incarnation of one VM
// at a time. A slot carries a fixed fraction of every rate limit and of the permits of
// the targets in its region.
package lease

import "crocusramp.dev/crocusramp/pkg/clock"

// Slot is a slot that this VM holds.
type Slot struct {
	// Index counts from 0.
	Index int
	// Region is the region of the targets whose permits the slot carries.
	Region string
	// Since is when this VM acquired the slot.
	Since clock.Time
	// Until is when the VM must stop using the slot unless it renews the lease. The
	// margin for clock drift is already subtracted.
	Until clock.Time
	// Settled reports that no former holder's grants or loans from the slot can still be in
	// use, for example because the slot had no holder before this VM.
	Settled bool
	// Idle reports that no request ran under the slot when the last holder released it.
	Idle bool
	// Kept reports that no part of the slot is ever lent. Hence no other VM can use a part
	// of it, and the next process of its VM may use the slot immediately.
	Kept bool
}

// Valid reports whether the slot may be used at the time now.
func (s Slot) Valid(now clock.Time) bool { return now.Before(s.Until) }

// Holding is an immutable list of held slots, in order of Index.
type Holding struct {
	// Total is the number of slots in the fleet.
	Total int
	Slots []Slot
	// Generation grows with each change of the set of slots, not with renewals.
	Generation uint64
}

// Holder publishes the slots that this VM holds. Holding never returns nil and costs one
// atomic load. Callers must check Slot.Valid at each decision, because the VM may have
// been paused since the holding was published.
type Holder interface {
	Holding() *Holding
}
