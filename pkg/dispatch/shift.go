package dispatch

import (
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
)

const (
	// creditPerRequest is the credit that one shifted request costs.
	creditPerRequest = 1_000_000
	// creditPerPercent is the credit that one seen request adds for each percent of the
	// cap.
	creditPerPercent = creditPerRequest / 100

	// rampStart, rampMin and rampFull are fractions of the cap, in thousandths.
	rampStart = 100
	rampMin   = 50
	rampFull  = 1000
	// rampInterval is the minimum duration of a step of the ramp.
	rampInterval = 2 * time.Second
	// rampSamples is the minimum number of results in a step of the ramp.
	rampSamples = 20
	// rampSlowFactor is the multiple of the local latency above which the destination
	// counts as slow and the ramp stops. Above one and a half times that limit the
	// ramp steps back.
	rampSlowFactor = 2
	// rampMargin is added to the limit, so that a small difference in latency never stops
	// the ramp.
	rampMargin = 10 * time.Millisecond
)

// shift counts the requests of one traffic shift on this VM. Each seen request adds
// credit for at most cap requests, where cap is the shift's cap as a fraction of 1, and
// each shifted request costs the credit of one. Hence shifted <= floor(cap * seen) after
// every request. Since the sum of these floors over the VMs is at most the floor of the
// sum, the cap also holds for the whole fleet.
type shift struct {
	config.Shift
	seen    int64
	shifted int64
	// evacuated counts requests that went to the destination because this region had
	// no usable target.
	evacuated     int64
	credit        int64
	creditPerSeen int64

	ramp        int64
	windowStart clock.Time
	good, bad   int
	latency     time.Duration
}

func newShift(s config.Shift, now clock.Time) *shift {
	percent := min(max(s.CapPercent, 0), 100)
	return &shift{Shift: s, creditPerSeen: int64(percent * creditPerPercent), ramp: rampStart, windowStart: now}
}

// countSeen counts a request to which the shift applies.
func (s *shift) countSeen() {
	s.seen++
	// The credit stays below that of two requests. Otherwise, requests that could not
	// be shifted for some time would be made up for in a burst.
	s.credit = min(s.credit+s.creditPerSeen*s.ramp/rampFull, 2*creditPerRequest-1)
}

// hasCredit reports whether a request may be shifted now.
func (s *shift) hasCredit() bool { return s.credit >= creditPerRequest }

// spendCredit counts a shifted request when it is handed over, regardless of its outcome.
func (s *shift) spendCredit() {
	s.credit -= creditPerRequest
	s.shifted++
}

// observe records the result of a shifted request and adjusts the ramp at the end of a
// step.
func (s *shift) observe(now clock.Time, ok bool, latency, localLatency time.Duration) {
	if ok {
		s.good++
		s.latency += latency
	} else {
		s.bad++
	}
	if now.Sub(s.windowStart) < rampInterval || s.good+s.bad < rampSamples {
		return
	}
	s.ramp = nextRamp(s.ramp, s.good, s.bad, s.latency, localLatency)
	s.windowStart, s.good, s.bad, s.latency = now, 0, 0, 0
}

// nextRamp returns the fraction of the cap, in thousandths, after a step with the given
// numbers of good and bad results. latency is the sum over the good results. localLatency
// is the mean latency of the same requests in this region; 0 if unknown.
func nextRamp(ramp int64, good, bad int, latency, localLatency time.Duration) int64 {
	slow, muchSlower := false, false
	if good > 0 && localLatency > 0 {
		mean := latency / time.Duration(good)
		limit := rampSlowFactor*localLatency + rampMargin
		slow, muchSlower = mean > limit, mean > limit+limit/2
	}
	switch {
	case 10*bad > good+bad || muchSlower:
		return max(rampMin, ramp/2)
	case 20*bad > good+bad || slow:
		return ramp
	}
	return min(rampFull, 2*ramp)
}

// updateShifts returns the state of the configured shifts of a pool out of a region, sorted
// by name. It keeps the old state of unchanged shifts; a shift that was changed in any way
// starts again.
func updateShifts(cfg *config.Config, pool, region string, old []*shift, now clock.Time) []*shift {
	var shifts []*shift
	for _, name := range sortedKeys(cfg.Shifts) {
		s := cfg.Shifts[name]
		if s.Pool != pool || s.From != region || s.To == region {
			continue
		}
		shifts = append(shifts, reuseShift(*s, old, now))
	}
	return shifts
}

func reuseShift(s config.Shift, old []*shift, now clock.Time) *shift {
	for _, o := range old {
		if o.Shift == s {
			return o
		}
	}
	return newShift(s, now)
}
