package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// simRegion is a simulated region: each target runs slots requests at once, queues the others and keeps
// the simWarmObjects most recent objects warm.
type simRegion struct{ targets, slots, objects int }

var (
	manySlots = simRegion{targets: 10, slots: 9, objects: 220}
	fewSlots  = simRegion{targets: 12, slots: 3, objects: 90}
)

// capacity returns how many warm requests per second the region runs.
func (r simRegion) capacity() float64 { return float64(r.targets*r.slots) / simWarm.Seconds() }

const (
	simWarmObjects = 50
	// simServiceWeight is the number of requests over which a target's mean service time is taken.
	simServiceWeight = 20
	simWarm          = 110 * time.Millisecond
	simCold          = 360 * time.Millisecond
	simObjective     = 250 * time.Millisecond
)

type simRequest struct {
	at     time.Duration
	object int
}

// simEvent is the arrival or the end of a request.
type simEvent struct {
	at     time.Duration
	target int // -1 for an arrival
	simRequest
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type simTarget struct {
	running int
	queue   []simRequest
	warm    []int         // warm objects, the most recent last
	service time.Duration // mean time that a request occupies a slot
}

// start runs a request and returns its duration.
func (s *simTarget) start(r simRequest) time.Duration {
	s.running++
	took := simCold
	if i := slices.Index(s.warm, r.object); i >= 0 {
		s.warm = slices.Delete(s.warm, i, i+1)
		took = simWarm
	}
	s.warm = append(s.warm, r.object)
	if len(s.warm) > simWarmObjects {
		s.warm = s.warm[1:]
	}
	if s.service == 0 {
		s.service = took
	}
	s.service += (took - s.service) / simServiceWeight
	return took
}

// simPolicy returns the target of a request, or -1 to refuse it.
type simPolicy func(object int, load []Occupancy, rng *rand.Rand) int

// simulate returns the fraction of the requests arriving in [from, to) that were answered within
// their objective.
func (r simRegion) simulate(rate func(time.Duration) float64, from, to time.Duration, policy simPolicy, seed uint64) float64 {
	rng := rand.New(rand.NewPCG(seed, 1))
	var events simEvents
	for at := time.Duration(0); at < to; {
		at += time.Duration(rng.ExpFloat64() / rate(at) * float64(time.Second))
		events = append(events, simEvent{at, -1, simRequest{at, rng.IntN(r.objects)}})
	}
	heap.Init(&events)
	targets := make([]simTarget, r.targets)
	begin := func(i int, q simRequest, now time.Duration) {
		heap.Push(&events, simEvent{now + targets[i].start(q), i, q})
	}
	arrived, good := 0, 0
	for len(events) > 0 {
		e := heap.Pop(&events).(simEvent)
		measured := e.simRequest.at >= from && e.simRequest.at < to
		if e.target >= 0 {
			s := &targets[e.target]
			s.running--
			if measured && e.at-e.simRequest.at <= simObjective {
				good++
			}
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				begin(e.target, next, e.at)
			}
			continue
		}
		if measured {
			arrived++
		}
		load := make([]Occupancy, r.targets)
		for i := range targets {
			load[i] = Occupancy{Load: targets[i].running + len(targets[i].queue), Slots: r.slots, ServiceTime: targets[i].service, Usable: true}
		}
		i := policy(e.object, load, rng)
		if i < 0 {
			continue
		}
		if targets[i].running < r.slots {
			begin(i, e.simRequest, e.at)
		} else {
			targets[i].queue = append(targets[i].queue, e.simRequest)
		}
	}
	return float64(good) / float64(arrived)
}

// chooseRanked calls choose with the occupancy of an object's n best targets and returns the target
// that it selects, or -1.
func chooseRanked(object, n int, load []Occupancy, choose func([]Occupancy) int) int {
	order := Rank(Hash("route", fmt.Sprint(object)), pool(len(load)), n)
	candidates := make([]Occupancy, n)
	for i, t := range order {
		candidates[i] = load[t]
	}
	if i := choose(candidates); i >= 0 {
		return order[i]
	}
	return -1
}

// policies are the present one and alternatives that it is compared with.
var policies = map[string]simPolicy{
	"one target per object": func(object int, load []Occupancy, _ *rand.Rand) int {
		return chooseRanked(object, 1, load, func(c []Occupancy) int { return Choose(c, simObjective) })
	},
	// The previous rule: a free second target is better than a long queue.
	"two targets per object": func(object int, load []Occupancy, _ *rand.Rand) int {
		return chooseRanked(object, 2, load, func(c []Occupancy) int {
			if c[0].mayQueue(simObjective * 45 / 100) {
				return 0
			}
			if float64(c[1].Load) < 0.9*float64(c[1].Slots) {
				return 1
			}
			return Choose(c, simObjective)
		})
	},
	"random target": func(_ int, load []Occupancy, rng *rand.Rand) int {
		i := rng.IntN(len(load))
		if load[i].mayQueue(simObjective * 70 / 100) {
			return i
		}
		return -1
	},
}

// TestLoadOnFleetOfWarmTargets compares the policies under loads that a fleet serves well within
// its capacity if its objects run warm, and that exceed its capacity by far if they run cold.
func TestLoadOnFleetOfWarmTargets(t *testing.T) {
	capacity := manySlots.capacity()
	constant := func(fraction float64) func(time.Duration) float64 {
		return func(time.Duration) float64 { return fraction * capacity }
	}
	for _, tt := range []struct {
		pattern  string
		rate     func(time.Duration) float64
		from, to time.Duration
	}{
		{"every object is cold, as after a start", constant(0.55), 0, 2 * time.Second},
		{"a burst on a warm fleet", func(at time.Duration) float64 {
			if at > 8*time.Second && at < 10*time.Second {
				return 1.2 * capacity
			}
			return 0.7 * capacity
		}, 8 * time.Second, 12 * time.Second},
		{"calm", constant(0.55), 8 * time.Second, 12 * time.Second},
	} {
		t.Run(tt.pattern, func(t *testing.T) {
			const seeds = 5
			got := map[string]float64{}
			for name, policy := range policies {
				for seed := range uint64(seeds) {
					got[name] += manySlots.simulate(tt.rate, tt.from, tt.to, policy, seed) / seeds
				}
				t.Logf("%s: %.3f within the objective", name, got[name])
			}
			for name, fraction := range got {
				if fraction > got["one target per object"]+0.01 {
					t.Errorf("%s serves more within the objective: %.3f against %.3f", name, fraction, got["one target per object"])
				}
			}
		})
	}
}

// TestLoadOnFewSlots compares the queue bounds with those in proportion to the slots alone, on targets of
// few slots: there, a random cluster of arrivals exceeds a bound of 1.3 times the slots at half of the
// capacity, although the next slot is free soon.
func TestLoadOnFewSlots(t *testing.T) {
	proportional := func(object int, load []Occupancy, _ *rand.Rand) int {
		return chooseRanked(object, 1, load, func(c []Occupancy) int {
			o, longest := c[0], time.Duration(maxWaitFraction*float64(simObjective))
			full := float64(o.Load) >= maxQueueLoad*float64(o.Slots)
			if !full && (float64(o.Load) < minQueueLoad*float64(o.Slots) || o.wait() <= longest) {
				return 0
			}
			return -1
		})
	}
	for _, tt := range []struct {
		pattern  string
		load     float64 // as a fraction of the capacity
		from, to time.Duration
	}{
		{"calm", 0.5, 4 * time.Second, 10 * time.Second},
		{"a service of few slots near its capacity", 0.8, 4 * time.Second, 10 * time.Second},
		{"a service of few slots becomes warm", 0.5, 0, 3 * time.Second},
	} {
		t.Run(tt.pattern, func(t *testing.T) {
			const seeds = 8
			rate := func(time.Duration) float64 { return tt.load * fewSlots.capacity() }
			with, without := 0.0, 0.0
			for seed := range uint64(seeds) {
				with += fewSlots.simulate(rate, tt.from, tt.to, policies["one target per object"], seed) / seeds
				without += fewSlots.simulate(rate, tt.from, tt.to, proportional, seed) / seeds
			}
			t.Logf("within the objective: %.3f, in proportion to the slots alone %.3f", with, without)
			if with < without-0.005 {
				t.Errorf("fewer within the objective: %.3f against %.3f", with, without)
			}
		})
	}
}
