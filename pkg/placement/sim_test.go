package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The simulated region: each target runs simSlots requests at once, queues the others and keeps the
// simWarmObjects most recent objects warm.
const (
	simTargets     = 10
	simSlots       = 9
	simWarmObjects = 50
	simObjects     = 220
	simWarm        = 110 * time.Millisecond
	simCold        = 360 * time.Millisecond
	simObjective   = 250 * time.Millisecond
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
	warm    []int // warm objects, the most recent last
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
	return took
}

// simPolicy returns the target of a request, or -1 to refuse it.
type simPolicy func(object int, load []Occupancy, rng *rand.Rand) int

// simulate returns the fraction of the requests arriving in [from, to) that were answered within
// their objective.
func simulate(rate func(time.Duration) float64, from, to time.Duration, policy simPolicy, seed uint64) float64 {
	rng := rand.New(rand.NewPCG(seed, 1))
	var events simEvents
	for at := time.Duration(0); at < to; {
		at += time.Duration(rng.ExpFloat64() / rate(at) * float64(time.Second))
		events = append(events, simEvent{at, -1, simRequest{at, rng.IntN(simObjects)}})
	}
	heap.Init(&events)
	targets := make([]simTarget, simTargets)
	begin := func(i int, r simRequest, now time.Duration) {
		heap.Push(&events, simEvent{now + targets[i].start(r), i, r})
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
		load := make([]Occupancy, simTargets)
		for i := range targets {
			load[i] = Occupancy{Load: targets[i].running + len(targets[i].queue), Slots: simSlots, ServiceTime: simWarm, Usable: true}
		}
		i := policy(e.object, load, rng)
		if i < 0 {
			continue
		}
		if targets[i].running < simSlots {
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
	order := Rank(Hash("route", fmt.Sprint(object)), pool(simTargets), n)
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
		i := rng.IntN(simTargets)
		if load[i].mayQueue(simObjective * 70 / 100) {
			return i
		}
		return -1
	},
}

// TestLoadOnFleetOfWarmTargets compares the policies under loads that a fleet serves well within
// its capacity if its objects run warm, and that exceed its capacity by far if they run cold.
func TestLoadOnFleetOfWarmTargets(t *testing.T) {
	const capacity = simTargets * simSlots / 0.110 // warm requests per second
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
					got[name] += simulate(tt.rate, tt.from, tt.to, policy, seed) / seeds
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
