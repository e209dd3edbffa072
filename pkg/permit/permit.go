// Package permit divides the slots of targets between the fleet's lease slots.
//
// A permit is the right to run one request on one target. The permits of a
// target belong to the lease slots of its region, by a function of the target
// and the slot numbers alone. All VMs therefore agree on the owner of a permit
// without a message, and since a lease slot has one holder at a time the
// permits in use over all VMs never exceed the slots of the target.
package permit

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"crocusramp.dev/crocusramp/pkg/target"
)

// SlotRegions returns the region of each of total lease slots: the regions
// take the slots in turn. Every VM must use the same list in the same order.
func SlotRegions(regions []string, total int) []string {
	if len(regions) == 0 {
		return nil
	}
	assigned := make([]string, total)
	for i := range assigned {
		assigned[i] = regions[i%len(regions)]
	}
	return assigned
}

// Regions returns the regions of the pools' targets, each once, in order.
func Regions(pools []target.Pool) []string {
	var regions []string
	for _, pool := range pools {
		for _, t := range pool.Targets {
			regions = append(regions, t.Region)
		}
	}
	slices.Sort(regions)
	return slices.Compact(regions)
}

// Assign returns how many permits of the target each lease slot carries,
// indexed by lease slot. slotRegions gives the region of each lease slot.
//
// The lease slots of the target's region are ranked by rendezvous hashing and
// take the permits in turn, so that consecutive permits are in different
// slots. The ranking of one target does not depend on any other: VMs whose
// settings differ in other targets still agree on this one.
func Assign(t target.Target, slotRegions []string) []int {
	counts := make([]int, len(slotRegions))
	ranked := rank(t.ID, t.Region, slotRegions)
	if len(ranked) == 0 {
		return counts
	}
	for p := range Limit(t) {
		counts[ranked[p%len(ranked)]]++
	}
	return counts
}

// Limit returns the number of permits of the target: its slots, or its
// connections where it accepts fewer, since each running request has a
// connection of its own.
func Limit(t target.Target) int {
	if t.Connections > 0 {
		return min(t.Slots, t.Connections)
	}
	return t.Slots
}

// Connections returns how many connections to the target a VM may keep that
// holds the given number of its permits. The parts of all VMs add up to no
// more than the target's limit, and each is at least the permits held.
func Connections(t target.Target, held int) int {
	permits := Limit(t)
	if permits == 0 || t.Connections == 0 {
		return held
	}
	return t.Connections * held / permits
}

type ranking struct {
	slot  int
	score uint64
}

// rank orders the lease slots of the region by their hash with the target.
func rank(id, region string, slotRegions []string) []int {
	var ranked []ranking
	for slot, r := range slotRegions {
		if r == region {
			ranked = append(ranked, ranking{slot, score(id, slot)})
		}
	}
	slices.SortFunc(ranked, func(a, b ranking) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.slot, b.slot))
	})
	slots := make([]int, len(ranked))
	for i, r := range ranked {
		slots[i] = r.slot
	}
	return slots
}

func score(id string, slot int) uint64 {
	b := binary.LittleEndian.AppendUint64([]byte(id), uint64(slot))
	return xxhash.Sum64(b)
}
