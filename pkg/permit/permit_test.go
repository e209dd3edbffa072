package permit

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"crocusramp.dev/crocusramp/pkg/target"
)

func TestAssignDividesEveryPermitOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,8}`), 1, 4, rapid.ID).Draw(t, "regions")
		layout := SlotRegions(regions, rapid.IntRange(len(regions), 40).Draw(t, "total"))
		tgt := target.Target{
			ID:          rapid.String().Draw(t, "id"),
			Region:      rapid.SampledFrom(regions).Draw(t, "region"),
			Slots:       rapid.IntRange(0, 64).Draw(t, "slots"),
			Connections: rapid.IntRange(0, 400).Draw(t, "connections"),
		}
		sum, connections, least, most := 0, 0, 1<<30, 0
		for slot, n := range Assign(tgt, layout) {
			sum += n
			connections += Connections(tgt, n)
			if layout[slot] != tgt.Region {
				if n != 0 {
					t.Fatalf("slot %d of %s carries %d permits of a target in %s", slot, layout[slot], n, tgt.Region)
				}
				continue
			}
			if Connections(tgt, n) < n {
				t.Fatalf("%d permits but only %d connections", n, Connections(tgt, n))
			}
			least, most = min(least, n), max(most, n)
		}
		if sum != Limit(tgt) || most-least > 1 {
			t.Fatalf("sum %d of %d, between %d and %d a slot", sum, Limit(tgt), least, most)
		}
		if tgt.Connections > 0 && connections > tgt.Connections {
			t.Fatalf("%d connections of %d", connections, tgt.Connections)
		}
	})
}

// TestAssignSpreadsTargets checks that the slots of a region carry nearly the
// same number of permits over many targets, and logs the spread over the 20
// targets of the agency's larger pool.
func TestAssignSpreadsTargets(t *testing.T) {
	regions := []string{"muntenia", "transilvania", "moldova"}
	layout := SlotRegions(regions, 16)
	slots := map[string]int{}
	for _, r := range layout {
		slots[r]++
	}
	spread := func(n int) []int {
		totals := make([]int, len(layout))
		for i := range n {
			tgt := target.Target{ID: fmt.Sprintf("registru-%02d", i), Region: regions[i%3], Slots: 9, Connections: 360}
			for slot, permits := range Assign(tgt, layout) {
				totals[slot] += permits
			}
		}
		return totals
	}
	t.Log(spread(20))
	const perRegion = 300
	for slot, n := range spread(len(regions) * perRegion) {
		mean := 9 * perRegion / float64(slots[layout[slot]])
		if float64(n) < 0.9*mean || float64(n) > 1.1*mean {
			t.Errorf("slot %d of %s: %d permits, mean %.1f", slot, layout[slot], n, mean)
		}
	}
}
