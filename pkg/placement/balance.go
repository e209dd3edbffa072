package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// comfortable is the utilization up to which a region takes the requests that
	// its capacity brings: queues are short below it.
	comfortable = 0.75
	// maxShiftRate bounds how fast the part of a region's requests that changes
	// region moves, a second, while capacity stays as it is. The platform allows
	// 15 % from one 2 s window to the next, chance included.
	maxShiftRate = 0.03
	// capacityJump is the change of a region's capacity, as a part of it, after
	// which the parts follow at once: a disruption.
	capacityJump = 0.15
)

// Region is a region's capacity and demand for a pool, both in slots.
type Region struct {
	Name string
	// Slots is how many requests its usable targets run at once.
	Slots float64
	// Sound is what Slots were if its usable targets named no limits; 0 is as many as Slots.
	Sound float64
	// Work is how many slots the requests of its callers need that may run in any
	// region.
	Work float64
	// Bound is how many slots the requests need that may run nowhere else, from
	// whatever region they come.
	Bound float64
}

// Part is the part of a region's requests that run in a region.
type Part struct {
	Region   string
	Fraction float64
}

// Split returns where the requests of home's callers run. By capacity alone, a
// region with the c-th part of the slots of R regions keeps min(1, c*R) of its own
// requests; the rest goes to the regions that have more than 1/R. Where that
// fills a region beyond the comfortable utilization, or the fleet's if that is
// higher, the excess goes to those with room.
func Split(home string, regions []Region) []Part {
	regions = free(regions)
	slices.SortFunc(regions, func(a, b Region) int { return cmp.Compare(a.Name, b.Name) })
	flows := byCapacity(regions)
	if flows == nil {
		return nil
	}
	relieve(regions, flows)
	for i, r := range regions {
		if r.Name != home {
			continue
		}
		parts := make([]Part, len(regions))
		for j := range regions {
			parts[j] = Part{Region: regions[j].Name, Fraction: flows[i][j]}
		}
		return parts
	}
	return nil
}

// free returns the regions with the slots that are left beside the requests that may
// run nowhere else.
func free(regions []Region) []Region {
	out := slices.Clone(regions)
	left := 0.0
	for i, r := range out {
		out[i].Slots = max(0, r.Slots-r.Bound)
		left += out[i].Slots
	}
	if left == 0 {
		return slices.Clone(regions)
	}
	return out
}

// byCapacity returns, for each region, the fractions of its requests that run in
// each region; nil where there is no capacity.
func byCapacity(regions []Region) [][]float64 {
	total, count := 0.0, 0.0
	for _, r := range regions {
		total += r.Slots
		if r.Slots > 0 {
			count++
		}
	}
	if total == 0 {
		return nil
	}
	relative := func(r Region) float64 { return r.Slots * count / total }
	surplus := 0.0
	for _, r := range regions {
		surplus += max(0, relative(r)-1)
	}
	flows := make([][]float64, len(regions))
	for i, from := range regions {
		flows[i] = make([]float64, len(regions))
		stay := min(1, relative(from))
		for j, to := range regions {
			if surplus > 0 {
				flows[i][j] = (1 - stay) * max(0, relative(to)-1) / surplus
			} else {
				flows[i][j] = (1 - stay) * to.Slots / total
			}
		}
		flows[i][i] += stay
	}
	return flows
}

// relieve moves what is too much for a region to those with room.
func relieve(regions []Region, flows [][]float64) {
	slots, work := 0.0, 0.0
	load := make([]float64, len(regions))
	for i, r := range regions {
		slots += r.Slots
		work += r.Work
		for j := range regions {
			load[j] += r.Work * flows[i][j]
		}
	}
	level := max(comfortable, work/slots)
	room := 0.0
	for j, r := range regions {
		room += max(0, level*r.Slots-load[j])
	}
	if room == 0 {
		return
	}
	for i := range regions {
		moved := 0.0
		for j, r := range regions {
			if excess := load[j] - level*r.Slots; excess > 0 {
				m := flows[i][j] * excess / load[j]
				flows[i][j] -= m
				moved += m
			}
		}
		for j, r := range regions {
			flows[i][j] += moved * max(0, level*r.Slots-load[j]) / room
		}
	}
}

// Balancer keeps the parts of one pool and moves them slowly. One goroutine
// owns it.
type Balancer struct {
	parts []Part
	slots map[string]float64
	at    time.Time
}

// Update takes in the regions as they are at now and returns the parts in force.
func (b *Balancer) Update(home string, regions []Region, now time.Time) []Part {
	want := Split(home, regions)
	if b.jumps(regions) || len(b.parts) != len(want) { // there are none while no region has capacity
		b.parts = want
	} else {
		b.parts = approach(b.parts, want, maxShiftRate*now.Sub(b.at).Seconds())
	}
	b.at = now
	return b.parts
}

// sound is the region's capacity as it changes in disruptions. What targets take of it under
// their limits changes with each request's time, too.
func (r Region) sound() float64 { return cmp.Or(r.Sound, r.Slots) }

// jumps reports whether the capacity changed as in a disruption since the last
// jump.
func (b *Balancer) jumps(regions []Region) bool {
	changed := len(b.slots) != len(regions)
	for _, r := range regions {
		old := b.slots[r.Name]
		if diff := r.sound() - old; max(diff, -diff) > capacityJump*max(r.sound(), old) {
			changed = true
		}
	}
	if changed {
		b.slots = map[string]float64{}
		for _, r := range regions {
			b.slots[r.Name] = r.sound()
		}
	}
	return changed
}

// approach moves parts towards want; step bounds the fraction that changes region.
func approach(parts, want []Part, step float64) []Part {
	moving := 0.0
	for i := range want {
		moving += max(0, want[i].Fraction-parts[i].Fraction)
	}
	if moving <= step {
		return want
	}
	out := make([]Part, len(want))
	for i := range want {
		out[i] = Part{Region: want[i].Region, Fraction: parts[i].Fraction + (want[i].Fraction-parts[i].Fraction)*step/moving}
	}
	return out
}
