// Package health tracks how well a target runs the requests of one VM and bounds how
// many of the VM's permits for the target may be in use at once. Its state machines
// read no clock: the caller passes the time.
package health

import (
	"math"
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
)

const (
	// failuresToEject is the number of consecutive transport failures that eject a target.
	failuresToEject = 3
	// ejectionBase is the duration of the first ejection. It doubles with each further
	// ejection, up to ejectionMax.
	ejectionBase = time.Second
	ejectionMax  = 30 * time.Second
	// ejectionReset is how long a target must be healthy until its ejection count is
	// reset.
	ejectionReset = time.Minute

	// shedPauseBase is how long a target gets no requests after it shed one at the
	// lowest limit. It doubles with each consecutive shed request, up to shedPauseMax.
	shedPauseBase = 50 * time.Millisecond
	shedPauseMax  = 2 * time.Second

	// decreaseFactor is multiplied with the limit when the target is overloaded.
	decreaseFactor = 0.7
	// decreaseInterval is the least time between two decreases, so that the responses
	// to requests that were sent together lower the limit only once.
	decreaseInterval = 200 * time.Millisecond
	// slowFactor is how many times slower than its pool a target may be before its limit
	// is lowered.
	slowFactor = 4
	// slowMargin is the difference in latency up to which a target does not count as slow.
	slowMargin = 5 * time.Millisecond

	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.2
)

// Kind classifies the outcome of a request with regard to the target's health.
type Kind uint8

// The kinds of outcomes.
const (
	// Good: the response was complete and showed no sign of overload.
	Good Kind = iota
	// Shed: the target refused the request before running it.
	Shed
	// Overloaded: the request timed out, or the response said that a server behind the
	// target is busy.
	Overloaded
	// Broken: the connection failed without a response.
	Broken
	// Refused: the connection was refused, so nothing listens on the target's port.
	Refused
	// Neutral: the outcome is no evidence about the target's health.
	Neutral
)

// Sample is the outcome of one request.
type Sample struct {
	Kind    Kind
	Latency time.Duration
	// Running is how many requests of this VM ran on the target, including this one.
	Running int
	// PoolLatency is the typical latency of the pool; 0 if unknown.
	PoolLatency time.Duration
}

// Tracker tracks the health of one target. The zero value is a cold target.
type Tracker struct {
	// limit is the most concurrent requests; 0, which Allowed treats as 1, before the
	// first response.
	limit        float64
	latency      time.Duration
	lastDecrease clock.Time
	decreased    bool

	consecutiveFailures int
	ejections           int
	ejected             bool
	ejectedUntil        clock.Time
	healthySince        clock.Time

	consecutiveSheds int
	pausedUntil      clock.Time

	report Report
}

// Latency returns the moving average of the latency of good responses; 0 before the first.
func (t *Tracker) Latency() time.Duration { return t.latency }

// Ejected reports whether the target is ejected after transport failures. It stays
// ejected until its trial request succeeds.
func (t *Tracker) Ejected() bool { return t.ejected }

// Allowed returns how many of the held permits may be in use at once, while the given
// number of requests run on the target.
func (t *Tracker) Allowed(now clock.Time, held, running int) int {
	if held <= 0 || now.Before(t.pausedUntil) {
		return 0
	}
	if t.ejected {
		if now.Before(t.ejectedUntil) || running > 0 {
			return 0
		}
		return 1
	}
	return min(held, max(1, int(t.limit)))
}

// RecordOutcome records the outcome of a request.
func (t *Tracker) RecordOutcome(now clock.Time, s Sample) {
	switch s.Kind {
	case Good:
		t.recordGood(now, s)
	case Shed:
		t.recordShed(now)
	case Overloaded:
		t.recordResponse(now)
		t.decreaseLimit(now)
	case Broken:
		t.recordFailures(now, 1)
	case Refused:
		t.recordFailures(now, failuresToEject)
	case Neutral:
	}
}

// recordGood raises the limit by one after as many good responses as the limit, while requests
// use the whole limit. It lowers the limit instead if the target is slow.
func (t *Tracker) recordGood(now clock.Time, s Sample) {
	trial := t.ejected
	t.recordResponse(now)
	t.consecutiveSheds = 0
	t.updateLatency(s.Latency)
	if trial {
		return
	}
	if t.isSlow(s.PoolLatency) {
		t.decreaseLimit(now)
		return
	}
	if float64(s.Running) >= t.limit-1 {
		t.limit = max(1, t.limit)
		t.limit += 1 / math.Floor(t.limit) // limit good responses raise the limit by one
	}
}

// updateLatency adds a sample to the moving average.
func (t *Tracker) updateLatency(latency time.Duration) {
	if t.latency == 0 {
		t.latency = max(latency, 1)
		return
	}
	t.latency += time.Duration(latencyWeight * float64(latency-t.latency))
}

// isSlow reports whether the target is much slower than its pool.
func (t *Tracker) isSlow(pool time.Duration) bool {
	return pool > 0 && t.latency > slowFactor*pool && t.latency-pool > slowMargin
}

// recordResponse records that the target responded. It ends an ejection, whose trial has
// then succeeded; the target starts again with the limit of a cold one.
func (t *Tracker) recordResponse(now clock.Time) {
	t.consecutiveFailures = 0
	if t.ejected {
		t.ejected = false
		t.limit = 1
		t.healthySince = now
	}
	if t.ejections > 0 && now.Sub(t.healthySince) > ejectionReset {
		t.ejections = 0
	}
}

// decreaseLimit lowers the limit, at most once per decreaseInterval.
func (t *Tracker) decreaseLimit(now clock.Time) {
	if t.decreased && now.Sub(t.lastDecrease) < decreaseInterval {
		return
	}
	t.decreased = true
	t.lastDecrease = now
	t.limit = max(1, t.limit*decreaseFactor)
}

// recordShed lowers the limit. At the lowest limit it pauses the target: a target that
// refuses requests at once looks idle and would otherwise attract every request.
func (t *Tracker) recordShed(now clock.Time) {
	t.recordResponse(now)
	atLowest := t.limit < 2
	t.decreaseLimit(now)
	if !atLowest || now.Before(t.pausedUntil) {
		return
	}
	t.pausedUntil = now.Add(backoff(shedPauseBase, shedPauseMax, t.consecutiveSheds))
	t.consecutiveSheds++
}

// recordFailures adds transport failures. It ejects the target after failuresToEject of them,
// or again after a failed trial.
func (t *Tracker) recordFailures(now clock.Time, failures int) {
	t.consecutiveFailures += failures
	if t.ejected && now.Before(t.ejectedUntil) {
		return
	}
	if !t.ejected && t.consecutiveFailures < failuresToEject {
		return
	}
	t.ejected = true
	t.ejectedUntil = now.Add(backoff(ejectionBase, ejectionMax, t.ejections))
	t.ejections++
}

// backoff returns base doubled n times, but at most limit.
func backoff(base, limit time.Duration, n int) time.Duration {
	for ; n > 0 && base < limit; n-- {
		base *= 2
	}
	return min(base, limit)
}
