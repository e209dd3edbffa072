package permit

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"crocusramp.dev/crocusramp/pkg/target"
)

func TestAssignDistributesAllPermits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,8}`), 1, 4, rapid.ID).Draw(t, "regions")
		slotRegions := SlotRegions(regions, rapid.IntRange(len(regions), 40).Draw(t, "total"))
		tgt := target.Target{
			ID:          rapid.String().Draw(t, "id"),
			Region:      rapid.SampledFrom(regions).Draw(t, "region"),
			Slots:       rapid.IntRange(0, 64).Draw(t, "slots"),
			Connections: rapid.IntRange(0, 400).Draw(t, "connections"),
		}
		sum, connections, least, most := 0, 0, 1<<30, 0
		for slot, n := range Assign(tgt, slotRegions) {
			sum += n
			connections += Connections(tgt, n)
			if slotRegions[slot] != tgt.Region {
				if n != 0 {
					t.Fatalf("slot %d of region %s carries %d permits of a target in region %s", slot, slotRegions[slot], n, tgt.Region)
				}
				continue
			}
			if Connections(tgt, n) < n {
				t.Fatalf("%d permits but only %d connections", n, Connections(tgt, n))
			}
			least, most = min(least, n), max(most, n)
		}
		if sum != Limit(tgt) || most-least > 1 {
			t.Fatalf("%d permits assigned, want %d; between %d and %d per slot, want a difference of at most 1", sum, Limit(tgt), least, most)
		}
		if tgt.Connections > 0 && connections > tgt.Connections {
			t.Fatalf("%d connections over all slots, more than the limit of %d", connections, tgt.Connections)
		}
	})
}

// TestAssignBalancesSlots checks that over many targets the slots of a region carry
// nearly the same number of permits. It also logs the number of permits per slot for
// the 20 targets of the agency's larger pool.
func TestAssignBalancesSlots(t *testing.T) {
	regions := []string{"muntenia", "transilvania", "moldova"}
	slotRegions := SlotRegions(regions, 16)
	slots := map[string]int{}
	for _, r := range slotRegions {
		slots[r]++
	}
	permitsPerSlot := func(n int) []int {
		totals := make([]int, len(slotRegions))
		for i := range n {
			tgt := target.Target{ID: fmt.Sprintf("registru-%02d", i), Region: regions[i%3], Slots: 9, Connections: 360}
			for slot, permits := range Assign(tgt, slotRegions) {
				totals[slot] += permits
			}
		}
		return totals
	}
	t.Log(permitsPerSlot(20))
	const perRegion = 300
	for slot, n := range permitsPerSlot(len(regions) * perRegion) {
		mean := 9 * perRegion / float64(slots[slotRegions[slot]])
		if float64(n) < 0.9*mean || float64(n) > 1.1*mean {
			t.Errorf("slot %d of region %s: %d permits, want within 10 %% of the mean %.1f", slot, slotRegions[slot], n, mean)
		}
	}
}
