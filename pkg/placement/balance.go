package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// comfortableUtilization is the utilization up to which a region takes the requests that its
	// capacity attracts: queues are short below it.
	comfortableUtilization = 0.75
	// maxShiftRate bounds how fast the share of a region's requests that changes region grows while
	// capacity is constant, as a fraction per second. The platform allows 15 % from one 2 s window
	// to the next, including random variation.
	maxShiftRate = 0.03
	// capacityJump is the relative change of a region's capacity that counts as a disruption: the
	// shares then follow at once.
	capacityJump = 0.15
)

// Place describes the capacity and demand of a region or a failure domain for a pool, both in slots.
type Place struct {
	Name string
	// Slots is how many requests its usable targets can run at once.
	Slots float64
	// UnlimitedSlots is what Slots would be if its usable targets set no limits. 0 means the
	// same as Slots.
	UnlimitedSlots float64
	// Demand is how many slots the requests of its callers need, without those that are
	// bound to one place.
	Demand float64
	// BoundDemand is how many slots the requests need that run in this place anyway,
	// wherever their callers are.
	BoundDemand float64
}

// Share is the fraction of a place's requests that runs in the place Place.
type Share struct {
	Place    string
	Fraction float64
}

// Shares holds where the requests of a VM's callers to a pool run.
type Shares struct {
	// Regions divides all requests.
	Regions []Share
	// Domains divides the requests with large responses that run in the VM's own region among its
	// failure domains. It may be empty.
	Domains []Share
}

// Split returns where the requests of home's callers run. By capacity alone, a region with a
// fraction c of the slots of R regions keeps min(1, c*R) of its own requests, and the rest goes to
// the regions with more than 1/R of the slots. If that raises a region above the comfortable
// utilization, or above the fleet's utilization if that is higher, the excess goes to regions with
// room.
func Split(home string, regions []Place) []Share {
	regions = withoutBound(regions)
	slices.SortFunc(regions, func(a, b Place) int { return cmp.Compare(a.Name, b.Name) })
	flows := flowsByCapacity(regions)
	if flows == nil {
		return nil
	}
	moveExcess(regions, flows)
	for i, r := range regions {
		if r.Name != home {
			continue
		}
		shares := make([]Share, len(regions))
		for j := range regions {
			shares[j] = Share{Place: regions[j].Name, Fraction: flows[i][j]}
		}
		return shares
	}
	return nil
}

// withoutBound returns the regions with the slots that remain after the requests that may run in
// one region only. If none remain, it returns the regions unchanged.
func withoutBound(regions []Place) []Place {
	out := slices.Clone(regions)
	left := 0.0
	for i, r := range out {
		out[i].Slots = max(0, r.Slots-r.BoundDemand)
		left += out[i].Slots
	}
	if left == 0 {
		return slices.Clone(regions)
	}
	return out
}

// flowsByCapacity returns, for each region, the fractions of its requests that run in each region.
// It returns nil if there is no capacity.
func flowsByCapacity(regions []Place) [][]float64 {
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
	relative := func(r Place) float64 { return r.Slots * count / total }
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

// moveExcess moves the load that exceeds a region's level to regions with room.
func moveExcess(regions []Place, flows [][]float64) {
	slots, work := 0.0, 0.0
	load := make([]float64, len(regions))
	for i, r := range regions {
		slots += r.Slots
		work += r.Demand
		for j := range regions {
			load[j] += r.Demand * flows[i][j]
		}
	}
	level := max(comfortableUtilization, work/slots)
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

// Balancer holds the shares of one pool's requests and changes them gradually. Only one goroutine
// may use it.
type Balancer struct {
	shares []Share
	slots  map[string]float64
	at     time.Time
}

// Update returns the shares in force at now, given the current state of the regions.
func (b *Balancer) Update(home string, regions []Place, now time.Time) []Share {
	want := Split(home, regions)
	if b.jumped(regions) || len(b.shares) != len(want) { // want is empty while no region has capacity
		b.shares = want
	} else {
		b.shares = approach(b.shares, want, maxShiftRate*now.Sub(b.at).Seconds())
	}
	b.at = now
	return b.shares
}

// capacity returns the capacity by which disruptions are detected. It ignores the targets' limits:
// what targets take under a limit also varies with the duration of each request.
func (r Place) capacity() float64 { return cmp.Or(r.UnlimitedSlots, r.Slots) }

// jumped reports whether the capacity has changed since the last jump as much as in a disruption.
func (b *Balancer) jumped(regions []Place) bool {
	changed := len(b.slots) != len(regions)
	for _, r := range regions {
		old := b.slots[r.Name]
		if diff := r.capacity() - old; max(diff, -diff) > capacityJump*max(r.capacity(), old) {
			changed = true
		}
	}
	if changed {
		b.slots = map[string]float64{}
		for _, r := range regions {
			b.slots[r.Name] = r.capacity()
		}
	}
	return changed
}

// approach moves shares towards want. step bounds the fraction of the requests that changes region.
func approach(shares, want []Share, step float64) []Share {
	moving := 0.0
	for i := range want {
		moving += max(0, want[i].Fraction-shares[i].Fraction)
	}
	if moving <= step {
		return want
	}
	out := make([]Share, len(want))
	for i := range want {
		out[i] = Share{Place: want[i].Place, Fraction: shares[i].Fraction + (want[i].Fraction-shares[i].Fraction)*step/moving}
	}
	return out
}
