package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// summary sums a run up, without the account that floods.
type summary struct {
	p50, p99 time.Duration
	// worst is the least part of an account's requests that was done, and
	// refused the part of all requests that was not. fair is the least part
	// of what an account is due, its requests up to an equal part of the
	// capacity.
	worst, refused, fair float64
	// most is the largest number of requests on a target, running and waiting
	// in it.
	most int
}

func (s summary) String() string {
	return fmt.Sprintf("p50 %4d ms  p99 %5d ms  worst account %5.1f %% (of its due %5.1f %%)  refused %5.2f %%  most on a target %d",
		s.p50.Milliseconds(), s.p99.Milliseconds(), 100*s.worst, 100*s.fair, 100*s.refused, s.most)
}

func (s *sim) summarize(flood string) summary {
	sum := summary{worst: 1, fair: 1}
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
		sum.worst = min(sum.worst, float64(t.done)/float64(max(1, ended)))
		sum.fair = min(sum.fair, float64(t.done)/max(1, min(float64(ended), share)))
	}
	slices.Sort(latency)
	if len(latency) > 0 {
		sum.p50, sum.p99 = latency[len(latency)/2], latency[len(latency)*99/100]
	}
	sum.refused = 1 - float64(done)/float64(max(1, offered))
	for _, t := range s.targets {
		sum.most = max(sum.most, t.most)
	}
	return sum
}

// accountShares are the parts of the load of eight accounts, a few large.
var accountShares = []float64{0.30, 0.20, 0.15, 0.10, 0.08, 0.07, 0.05, 0.05}

// offerLoad starts all accounts at a part of the fleet's capacity; account 1
// sends times as much.
func (s *sim) offerLoad(load, times float64) {
	capacity := float64(s.size.targets*s.size.slots) / simService.Seconds()
	for i, share := range accountShares {
		rate := load * capacity * share
		if i == 1 {
			rate *= times
		}
		s.offer(simAccount{fmt.Sprintf("account-%d", i), rate, i})
	}
}

const flooding = "account-1"

// warmUp runs without counting, so that cold targets are no part of a result.
func (s *sim) warmUp(d time.Duration) {
	s.run(d)
	s.countedFrom = s.now
	for _, t := range s.results {
		*t = tally{}
	}
}

// compare runs each policy with the same seed.
func compare(t *testing.T, z size, policies []policy, scenario func(*sim)) map[policy]summary {
	results := map[policy]summary{}
	if testing.Short() {
		policies = policies[:1] // the others are for comparison only
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

// TestOneAccountFloods has one account send five times its rate, without the
// rate limit that would refuse it earlier: every other gets what it is due.
func TestOneAccountFloods(t *testing.T) {
	for _, z := range []size{agencySize, studioSize} {
		got := compare(t, z, allPolicies, func(s *sim) {
			s.offerLoad(0.7, 5)
			s.warmUp(3 * time.Second)
			s.run(12 * time.Second)
		})
		if full := got[policyFull]; full.fair < 0.99 || full.most > z.slots {
			t.Errorf("%s: %v", z.name, full)
		}
	}
}

// TestOrdinaryLoad compares the policies at 70 % load.
func TestOrdinaryLoad(t *testing.T) {
	for _, z := range []size{agencySize, studioSize} {
		got := compare(t, z, allPolicies, func(s *sim) {
			s.offerLoad(0.7, 1)
			s.warmUp(3 * time.Second)
			s.run(12 * time.Second)
		})
		if full := got[policyFull]; full.refused > 0 || full.most > z.slots {
			t.Errorf("%s: %v", z.name, full)
		}
	}
}

// TestRegionFails has all targets of a region die at 60 % load, which leaves
// the others 90 %: the requests fail over and no target gets too many.
func TestRegionFails(t *testing.T) {
	for _, z := range []size{agencySize, studioSize} {
		got := compare(t, z, allPolicies, func(s *sim) {
			s.offerLoad(0.6, 1)
			s.warmUp(3 * time.Second)
			s.run(2 * time.Second)
			for _, target := range s.targets {
				target.dead = target.Region == z.regions[0]
			}
			s.run(10 * time.Second)
		})
		if full := got[policyFull]; full.most > z.slots {
			t.Errorf("%s: %v", z.name, full)
		}
	}
}
