// Package health follows how well one target runs requests, as seen by one VM,
// and bounds how many of the VM's permits for it may be in use. Its state
// machines are pure: the caller passes the time.
package health

import (
	"math"
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
)

const (
	// failuresToEject is how many transport failures in a row eject a target.
	failuresToEject = 3
	// ejectionBase is the first ejection's length; it doubles each time.
	ejectionBase = time.Second
	ejectionMax  = 30 * time.Second
	// ejectionMemory is how long a target must do well before its ejections
	// are forgotten.
	ejectionMemory = time.Minute

	// shedPauseBase is how long a target gets nothing after it shed a request
	// at the lowest limit; it doubles with each one in a row.
	shedPauseBase = 50 * time.Millisecond
	shedPauseMax  = 2 * time.Second

	// decrease is the factor on the limit when the target is overloaded.
	decrease = 0.7
	// decreaseInterval is the least time between two decreases, so that the
	// answers to requests that were granted together count once.
	decreaseInterval = 200 * time.Millisecond
	// slowFactor is how many times slower than its pool a target may be.
	slowFactor = 4
	// slowMargin is the difference in latency below which it does not matter.
	slowMargin = 5 * time.Millisecond

	// latencyWeight is the part of a new sample in the moving average.
	latencyWeight = 0.2
)

// Kind classifies how a request ended, for judging its target.
type Kind uint8

// The kinds of ends.
const (
	// Good answers came whole and without a sign of overload.
	Good Kind = iota
	// Shed requests were refused by the target before running.
	Shed
	// Overloaded answers ran out of time or said that a back end is busy.
	Overloaded
	// Broken connections gave no answer.
	Broken
	// Refused connections show that nothing listens there.
	Refused
	// Neutral ends say nothing of the target.
	Neutral
)

// Sample is the end of one request.
type Sample struct {
	Kind    Kind
	Latency time.Duration
	// Running is how many requests this VM had running there, with this one.
	Running int
	// PoolLatency is the usual latency of the pool; 0 where unknown.
	PoolLatency time.Duration
}

// Tracker follows one target. The zero value is a cold target.
type Tracker struct {
	// limit is 0 before the first grant.
	limit        float64
	latency      time.Duration
	lastDecrease clock.Time
	decreased    bool

	failures     int
	ejections    int
	ejected      bool
	ejectedUntil clock.Time
	healthySince clock.Time

	sheds       int
	pausedUntil clock.Time

	report Report
}

// Latency is the moving average of the good answers' latency; 0 before one.
func (t *Tracker) Latency() time.Duration { return t.latency }

// Ejected reports whether the target is shut out after transport failures,
// or waits for its trial request.
func (t *Tracker) Ejected() bool { return t.ejected }

// Allowed returns how many requests may run on the target at once, of the held
// permits, when it runs the given number.
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

// Done takes in the end of a request.
func (t *Tracker) Done(now clock.Time, s Sample) {
	switch s.Kind {
	case Good:
		t.good(now, s)
	case Shed:
		t.shed(now)
	case Overloaded:
		t.answered(now)
		t.slowDown(now)
	case Broken:
		t.broken(now, 1)
	case Refused:
		t.broken(now, failuresToEject)
	case Neutral:
	}
}

func (t *Tracker) good(now clock.Time, s Sample) {
	trial := t.ejected
	t.answered(now)
	t.sheds = 0
	t.observe(s.Latency)
	if trial {
		return
	}
	if t.slow(s.PoolLatency) {
		t.slowDown(now)
		return
	}
	if float64(s.Running) >= t.limit-1 {
		t.limit = max(1, t.limit)
		t.limit += 1 / math.Floor(t.limit) // as many answers raise it by one
	}
}

func (t *Tracker) observe(latency time.Duration) {
	if t.latency == 0 {
		t.latency = max(latency, 1)
		return
	}
	t.latency += time.Duration(latencyWeight * float64(latency-t.latency))
}

func (t *Tracker) slow(pool time.Duration) bool {
	return pool > 0 && t.latency > slowFactor*pool && t.latency-pool > slowMargin
}

// answered notes that the target is there: a trial has succeeded, and the
// target starts again like a cold one.
func (t *Tracker) answered(now clock.Time) {
	t.failures = 0
	if t.ejected {
		t.ejected = false
		t.limit = 1
		t.healthySince = now
	}
	if t.ejections > 0 && now.Sub(t.healthySince) > ejectionMemory {
		t.ejections = 0
	}
}

func (t *Tracker) slowDown(now clock.Time) {
	if t.decreased && now.Sub(t.lastDecrease) < decreaseInterval {
		return
	}
	t.decreased = true
	t.lastDecrease = now
	t.limit = max(1, t.limit*decrease)
}

// shed lowers the limit. At the lowest limit it pauses the target, since a
// target that refuses at once looks idle and would attract every request.
func (t *Tracker) shed(now clock.Time) {
	t.answered(now)
	atLowest := t.limit < 2
	t.slowDown(now)
	if !atLowest || now.Before(t.pausedUntil) {
		return
	}
	t.pausedUntil = now.Add(backoff(shedPauseBase, shedPauseMax, t.sheds))
	t.sheds++
}

func (t *Tracker) broken(now clock.Time, failures int) {
	t.failures += failures
	if t.ejected && now.Before(t.ejectedUntil) {
		return
	}
	if !t.ejected && t.failures < failuresToEject {
		return
	}
	t.ejected = true
	t.ejectedUntil = now.Add(backoff(ejectionBase, ejectionMax, t.ejections))
	t.ejections++
}

// backoff returns base doubled n times, at most limit.
func backoff(base, limit time.Duration, n int) time.Duration {
	for ; n > 0 && base < limit; n-- {
		base *= 2
	}
	return min(base, limit)
}
