// Package permit distributes the slots of targets over the fleet's lease slots.
//
// A permit is the right to run one request on one target. Each permit of a target
// belongs to one of the lease slots of the target's region. The assignment depends
// on the target and the slot numbers only, so all VMs agree on it without exchanging
// messages. Because a lease slot has at most one holder at a time, the permits in use
// across all VMs never exceed the slots of the target.
package permit

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"crocusramp.dev/crocusramp/pkg/target"
)

// SlotRegions returns the region of each of total lease slots, assigned to the
// regions round robin. Every VM must pass the same regions in the same order.
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

// Regions returns the distinct regions of the pools' targets in sorted order.
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

// Assign returns the number of permits of the target that each lease slot carries,
// indexed by lease slot. slotRegions is the region of each lease slot.
//
// The lease slots of the target's region are ranked by rendezvous hashing and get
// the permits round robin in that order, so that consecutive permits belong to
// different slots. The ranking does not depend on other targets: VMs whose settings
// differ in other targets still agree on this one.
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

// Limit returns the number of permits of the target: its slots, or the number of
// connections that it accepts if that is smaller, because each running request
// needs its own connection.
func Limit(t target.Target) int {
	if t.Connections > 0 {
		return min(t.Slots, t.Connections)
	}
	return t.Slots
}

// Connections returns the number of connections that a VM may keep to the target if
// it holds the given number of the target's permits. The sum over all VMs does not
// exceed the target's limit, and each VM may keep at least one connection per permit.
func Connections(t target.Target, held int) int {
	permits := Limit(t)
	if permits == 0 || t.Connections == 0 {
		return held
	}
	return t.Connections * held / permits
}

type rankedSlot struct {
	slot  int
	score uint64
}

// rank returns the lease slots of the region in order of their rendezvous hash with
// the target's ID, highest first.
func rank(id, region string, slotRegions []string) []int {
	var ranked []rankedSlot
	for slot, r := range slotRegions {
		if r == region {
			ranked = append(ranked, rankedSlot{slot, score(id, slot)})
		}
	}
	slices.SortFunc(ranked, func(a, b rankedSlot) int {
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
