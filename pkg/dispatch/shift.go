package dispatch

import (
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
)

const (
	// wholeRequest is one request in the unit of shift credit.
	wholeRequest = 1_000_000
	// unitsPerPercent converts a cap in percent to credit for one request.
	unitsPerPercent = wholeRequest / 100

	// rampStart, rampLeast and rampFull are parts of the cap, in thousandths.
	rampStart = 100
	rampLeast = 50
	rampFull  = 1000
	// rampInterval is how long a step of the ramp is observed.
	rampInterval = 2 * time.Second
	// rampSamples is how many ends a step needs to be judged.
	rampSamples = 20
	// rampSlowFactor is how many times the local latency the destination may
	// take before the ramp stops; at half as much again it goes back.
	rampSlowFactor = 2
	// rampMargin is the difference in latency that never stops the ramp.
	rampMargin = 10 * time.Millisecond
)

// shift counts one traffic shift on this VM. For each request that it sees it
// gains a part of a credit that is at most the cap, and each shifted request
// costs a whole one, so that shifted <= floor(cap * seen) after every request.
// The sum of such floors over the VMs is no more than the floor of the sum.
type shift struct {
	config.Shift
	seen    int64
	shifted int64
	// evacuated counts requests that went to the destination because this
	// region could run nothing.
	evacuated int64
	credit    int64
	perSeen   int64

	ramp        int64
	windowStart clock.Time
	good, bad   int
	latency     time.Duration
}

func newShift(s config.Shift, now clock.Time) *shift {
	percent := min(max(s.CapPercent, 0), 100)
	return &shift{Shift: s, perSeen: int64(percent * unitsPerPercent), ramp: rampStart, windowStart: now}
}

// see counts a request that the shift applies to.
func (s *shift) see() {
	s.seen++
	// Less than two whole credits are kept, so that requests that could not
	// be shifted in time are not made up for in a burst.
	s.credit = min(s.credit+s.perSeen*s.ramp/rampFull, 2*wholeRequest-1)
}

// due reports whether a request may be shifted.
func (s *shift) due() bool { return s.credit >= wholeRequest }

// spend counts a shifted request. The decision counts, whatever becomes of it.
func (s *shift) spend() {
	s.credit -= wholeRequest
	s.shifted++
}

// observe takes in the end of a shifted request and moves the ramp.
func (s *shift) observe(now clock.Time, ok bool, latency, usual time.Duration) {
	if ok {
		s.good++
		s.latency += latency
	} else {
		s.bad++
	}
	if now.Sub(s.windowStart) < rampInterval || s.good+s.bad < rampSamples {
		return
	}
	s.ramp = nextRamp(s.ramp, s.good, s.bad, s.latency, usual)
	s.windowStart, s.good, s.bad, s.latency = now, 0, 0, 0
}

// nextRamp returns the part of the cap after a window with the given ends.
// usual is the latency of the same requests without a shift; 0 is unknown.
func nextRamp(ramp int64, good, bad int, latency, usual time.Duration) int64 {
	slow, slower := false, false
	if good > 0 && usual > 0 {
		mean := latency / time.Duration(good)
		limit := rampSlowFactor*usual + rampMargin
		slow, slower = mean > limit, mean > limit+limit/2
	}
	switch {
	case 10*bad > good+bad || slower:
		return max(rampLeast, ramp/2)
	case 20*bad > good+bad || slow:
		return ramp
	}
	return min(rampFull, 2*ramp)
}

// shiftsOf returns the state of the configured shifts of a pool out of a
// region, in order of name. A shift of which anything changed starts anew.
func shiftsOf(cfg *config.Config, pool, region string, old []*shift, now clock.Time) []*shift {
	var shifts []*shift
	for _, name := range sortedKeys(cfg.Shifts) {
		s := cfg.Shifts[name]
		if s.Pool != pool || s.From != region || s.To == region {
			continue
		}
		shifts = append(shifts, keepShift(*s, old, now))
	}
	return shifts
}

func keepShift(s config.Shift, old []*shift, now clock.Time) *shift {
	for _, o := range old {
		if o.Shift == s {
			return o
		}
	}
	return newShift(s, now)
}
