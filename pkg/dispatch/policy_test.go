package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/health"
)

// summary summarizes a run, without the client account that floods.
type summary struct {
	p50, p99 time.Duration
	// minDone is the smallest fraction of its requests that any account got done.
	// refused is the fraction of all requests that were not done. minFairDone is the
	// smallest ratio of an account's done requests to its due: its requests, up to an
	// equal share of the capacity.
	minDone, refused, minFairDone float64
	// maxOnTarget is the largest number of requests that ran or waited on one target.
	maxOnTarget int
	// headroom is the mean free fraction of the slots of the busiest region.
	headroom float64
}

func (s summary) String() string {
	return fmt.Sprintf("p50 %4d ms  p99 %5d ms  worst account %5.1f %% (of its due %5.1f %%)  refused %5.2f %%  headroom %4.1f %%  most on a target %d",
		s.p50.Milliseconds(), s.p99.Milliseconds(), 100*s.minDone, 100*s.minFairDone, 100*s.refused, 100*s.headroom, s.maxOnTarget)
}

func (s *sim) summarize(flood string) summary {
	sum := summary{minDone: 1, minFairDone: 1}
	share := float64(s.size.targets*s.size.slots) / simService.Seconds() / float64(len(accountShares)) *
		s.now.Sub(s.countedFrom).Seconds()
	var latency []time.Duration
	var offered, done int
	for name, t := range s.results {
		if name == flood {
			continue
		}
		latency = append(latency, t.latency...)
		ended := t.done + t.refused
		offered, done = offered+ended, done+t.done
		sum.minDone = min(sum.minDone, float64(t.done)/float64(max(1, ended)))
		sum.minFairDone = min(sum.minFairDone, float64(t.done)/max(1, min(float64(ended), share)))
	}
	slices.Sort(latency)
	if len(latency) > 0 {
		sum.p50, sum.p99 = latency[len(latency)/2], latency[len(latency)*99/100]
	}
	sum.refused = 1 - float64(done)/float64(max(1, offered))
	for _, t := range s.targets {
		sum.maxOnTarget = max(sum.maxOnTarget, t.maxRequests)
	}
	for _, h := range s.headroom {
		sum.headroom += h / float64(len(s.headroom))
	}
	return sum
}

// accountShares are the shares of eight accounts in the load; a few are large.
var accountShares = []float64{0.30, 0.20, 0.15, 0.10, 0.08, 0.07, 0.05, 0.05}

// offerLoad starts the load of all accounts, which together send the given fraction of the
// fleet's capacity. Account 1 sends its share multiplied by times.
func (s *sim) offerLoad(load, times float64) {
	capacity := float64(s.size.targets*s.size.slots) / simService.Seconds()
	for i, share := range accountShares {
		rate := load * capacity * share
		if i == 1 {
			rate *= times
		}
		s.offer(simAccount{name: fmt.Sprintf("account-%d", i), rate: rate, home: i})
	}
}

// sizes returns the fleets to simulate; -short leaves out studioSize.
func sizes() []size {
	if testing.Short() {
		return []size{agencySize}
	}
	return []size{agencySize, studioSize}
}

const flooding = "account-1"

// warmUp runs for d and discards the results, so that they do not include cold targets.
func (s *sim) warmUp(d time.Duration) {
	s.run(d)
	s.countedFrom = s.now
	s.headroom = nil
	for _, t := range s.results {
		*t = tally{}
	}
}

// comparePolicies runs the scenario under each policy with the same seed.
func comparePolicies(t *testing.T, z size, policies []policy, scenario func(*sim)) map[policy]summary {
	results := map[policy]summary{}
	if testing.Short() {
		policies = policies[:1] // the others only serve as a comparison
	}
	for _, p := range policies {
		s := newSim(z, p, 7)
		scenario(s)
		results[p] = s.summarize(flooding)
		t.Logf("%-7s %-24s %v", z.name, p, results[p])
	}
	return results
}

var allPolicies = []policy{policyFull, policyFIFO, policyRandom, policyLeast}

// TestOneAccountFloods checks that the other accounts get their due while one sends five
// times its rate. There is no rate limit here that would refuse its requests earlier.
func TestOneAccountFloods(t *testing.T) {
	for _, z := range sizes() {
		got := comparePolicies(t, z, allPolicies, func(s *sim) {
			s.offerLoad(0.7, 5)
			s.warmUp(3 * time.Second)
			s.run(12 * time.Second)
		})
		if full := got[policyFull]; full.minFairDone < 0.99 || full.maxOnTarget > z.slots {
			t.Errorf("%s: %v", z.name, full)
		}
	}
}

// TestOrdinaryLoad compares the policies at 70 % load. Permits with the fair queue must
// refuse no request.
func TestOrdinaryLoad(t *testing.T) {
	for _, z := range sizes() {
		got := comparePolicies(t, z, allPolicies, func(s *sim) {
			s.offerLoad(0.7, 1)
			s.warmUp(3 * time.Second)
			s.run(12 * time.Second)
		})
		if full := got[policyFull]; full.refused > 0 || full.maxOnTarget > z.slots {
			t.Errorf("%s: %v", z.name, full)
		}
	}
}

// TestRegionFails checks that requests fail over and that no target gets more requests than
// slots when all targets of a region die at 60 % load, which puts 90 % on the others.
func TestRegionFails(t *testing.T) {
	for _, z := range sizes() {
		got := comparePolicies(t, z, allPolicies, func(s *sim) {
			s.offerLoad(0.6, 1)
			s.warmUp(3 * time.Second)
			s.run(2 * time.Second)
			for _, target := range s.targets {
				target.dead = target.Region == z.regions[0]
			}
			s.run(10 * time.Second)
		})
		full := got[policyFull]
		if full.maxOnTarget > z.slots {
			t.Errorf("%s: %v", z.name, full)
		}
		for _, p := range []policy{policyRandom, policyLeast} {
			if simple, ok := got[p]; ok && (full.refused > simple.refused || full.p99 > simple.p99) {
				t.Errorf("%s: worse than policy %q: %v", z.name, p, full)
			}
		}
	}
}

// TestMisleadingReports checks that wrong load reports neither make requests fail nor
// overload a target, even if the reports of all targets are wrong.
func TestMisleadingReports(t *testing.T) {
	for name, report := range map[string]func(*simTarget) health.Report{
		"all down":      func(*simTarget) health.Report { return health.Report{State: health.StateOK} },
		"all unhealthy": func(t *simTarget) health.Report { return health.Report{Slots: t.Slots, Unhealthy: true} },
		"all idle":      func(t *simTarget) health.Report { return health.Report{Slots: 100 * t.Slots} },
		"running lags":  func(t *simTarget) health.Report { return health.Report{Slots: t.Slots, Running: t.reported} },
	} {
		s := newSim(agencySize, policyFull, 7)
		s.report = report
		s.offerLoad(0.7, 1)
		s.warmUp(3 * time.Second)
		s.run(5 * time.Second)
		sum := s.summarize(flooding)
		t.Logf("%-12s %v", name, sum)
		if sum.refused > 0 || sum.maxOnTarget > s.size.slots {
			t.Errorf("%s: %v", name, sum)
		}
	}
}

// TestDrainingTargets checks that targets that report to be draining, one failure domain in
// each region, get no new requests after the report, and that the others carry the load.
func TestDrainingTargets(t *testing.T) {
	s := newSim(agencySize, policyFull, 7)
	draining := func(t *simTarget) bool { return t.FailureDomain == t.Region+"-1" }
	s.offerLoad(0.4, 1)
	s.warmUp(3 * time.Second)
	s.report = func(t *simTarget) health.Report {
		if draining(t) {
			return health.Report{Slots: t.Slots, State: health.StateDraining}
		}
		return health.Report{Slots: t.Slots, State: health.StateOK}
	}
	const bound = 2 * time.Second // the requirement is a few seconds
	s.run(bound)
	before := map[string]int{}
	for id, target := range s.targets {
		before[id] = target.served
	}
	s.run(5 * time.Second)
	for id, target := range s.targets {
		if got := target.served - before[id]; draining(target) != (got == 0) {
			t.Errorf("target %s ran %d requests after the reports; want none if it is draining, else some", id, got)
		}
	}
	if sum := s.summarize(flooding); sum.refused > 0 {
		t.Error(sum)
	}
}

// TestColdRestart logs the results of the policies while the targets of one failure domain
// in each region restart cold, so that their first requests take four times as long.
func TestColdRestart(t *testing.T) {
	for _, z := range sizes() {
		comparePolicies(t, z, allPolicies[:3], func(s *sim) {
			s.offerLoad(0.6, 1)
			s.warmUp(3 * time.Second)
			restarts := func(dead bool) {
				for _, target := range s.targets {
					if target.FailureDomain == target.Region+"-1" {
						target.dead = dead
						target.coldUntilServed = target.served + 200
					}
				}
			}
			restarts(true)
			s.run(time.Second)
			restarts(false)
			s.run(8 * time.Second)
		})
	}
}

// TestShiftToColdRegion checks that a shift to a region with cold targets keeps its cap of
// half of the requests, overloads no target and makes no request fail.
func TestShiftToColdRegion(t *testing.T) {
	for _, z := range sizes() {
		s := newSim(z, policyFull, 7)
		s.offerLoad(0.5, 1)
		s.warmUp(3 * time.Second)
		cfg := *s.config
		cfg.Shifts = map[string]*config.Shift{"move": {Name: "move", Pool: z.pool, From: z.regions[0], To: z.regions[1], CapPercent: 50}}
		s.config = &cfg
		for _, target := range s.targets {
			if target.Region == z.regions[1] {
				target.coldUntilServed = target.served + 100
			}
		}
		var seen, shifted int64
		for range 40 {
			s.run(time.Second)
			seen, shifted = 0, 0
			for _, vm := range s.vms {
				for _, shift := range vm.pool.shifts {
					seen, shifted = seen+shift.seen, shifted+shift.shifted
				}
			}
			if 2*shifted > seen {
				t.Fatalf("%s: %d of %d requests shifted", z.name, shifted, seen)
			}
		}
		sum := s.summarize("")
		t.Logf("%-7s shifted %d of %d  %v", z.name, shifted, seen, sum)
		if sum.refused > 0 || sum.maxOnTarget > z.slots {
			t.Errorf("%s: %v", z.name, sum)
		}
	}
}

// TestRegionDrains checks that a region that an operator drains gets no new requests once
// the configuration has arrived, completes the running ones, and that no request is refused.
func TestRegionDrains(t *testing.T) {
	for _, z := range sizes() {
		for seed := range uint64(5) {
			s := newSim(z, policyFull, seed)
			s.offerLoad(0.55, 1)
			s.warmUp(3 * time.Second)
			cfg := *s.config
			cfg.Drains = map[string]*config.Drain{"d": {Name: "d", Kind: config.DrainRegion, Subject: z.regions[0]}}
			s.config = &cfg
			started := s.now
			s.run(z.sameRegionDelay) // for requests in flight to a target
			served := s.servedIn(z.regions[0])
			for s.runningIn(z.regions[0]) > 0 {
				s.run(10 * time.Millisecond)
			}
			drained := s.now.Sub(started)
			s.run(7 * time.Second)
			if n := s.servedIn(z.regions[0]) - served; n > 0 {
				t.Errorf("%s, seed %d: %d requests started after the drain", z.name, seed, n)
			}
			sum := s.summarize("")
			t.Logf("%-7s drained in %v  %v", z.name, drained, sum)
			if sum.refused > 0 || sum.maxOnTarget > z.slots {
				t.Errorf("%s, seed %d: %v", z.name, seed, sum)
			}
		}
	}
}

func (s *sim) servedIn(region string) int {
	n := 0
	for _, t := range s.targets {
		if t.Region == region {
			n += t.served
		}
	}
	return n
}

func (s *sim) runningIn(region string) int {
	n := 0
	for _, t := range s.targets {
		if t.Region == region {
			n += t.running
		}
	}
	return n
}

// TestPriorities checks that requests of the high class (stamps) and of the normal class
// (look-ups) are done while archive queries of the low class, which take 25 times as long,
// ask for more than the whole capacity. Some archive queries must be done as well.
func TestPriorities(t *testing.T) {
	for _, z := range sizes() {
		policies := []policy{policyFull, policyFIFO}
		if testing.Short() {
			policies = policies[:1]
		}
		for _, p := range policies {
			s := newSim(z, p, 7)
			capacity := float64(z.targets*z.slots) / simService.Seconds()
			for i := range 3 {
				s.offer(simAccount{name: fmt.Sprintf("stamps-%d", i), rate: 0.05 * capacity, home: i, priority: config.PriorityHigh})
				s.offer(simAccount{name: fmt.Sprintf("lookups-%d", i), rate: 0.1 * capacity, home: i})
				s.offer(simAccount{name: fmt.Sprintf("archive-%d", i), rate: 0.4 * capacity / 25, home: i, priority: config.PriorityLow, slower: 25})
			}
			s.warmUp(10 * time.Second)
			s.run(20 * time.Second)
			for _, kind := range []string{"stamps", "lookups", "archive"} {
				k := s.summarizeKind(kind)
				t.Logf("%-7s %-24s %-8s %v", z.name, p, kind, k)
				if p != policyFull {
					continue
				}
				if kind != "archive" && k.done < k.ended || k.done == 0 {
					t.Errorf("%s: %s: %v", z.name, kind, k)
				}
			}
		}
	}
}

// kindSummary summarizes the results of the accounts of one kind.
type kindSummary struct {
	p50, p99    time.Duration
	done, ended int
}

func (k kindSummary) String() string {
	return fmt.Sprintf("p50 %4d  p99 %5d ms, done %d of %d", k.p50.Milliseconds(), k.p99.Milliseconds(), k.done, k.ended)
}

func (s *sim) summarizeKind(prefix string) kindSummary {
	var k kindSummary
	var latency []time.Duration
	for name, t := range s.results {
		if strings.HasPrefix(name, prefix) {
			latency = append(latency, t.latency...)
			k.done, k.ended = k.done+t.done, k.ended+t.done+t.refused
		}
	}
	if slices.Sort(latency); len(latency) > 0 {
		k.p50, k.p99 = latency[len(latency)/2], latency[len(latency)*99/100]
	}
	return k
}
