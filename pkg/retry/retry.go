// Package retry decides whether a failed request is sent again. It limits retries to a fraction of
// the recent requests, so that they can't multiply the load on targets that fail because they are
// overloaded.
package retry

import (
	"math"
	"sync"
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/outcome"
)

// Failure describes a failed attempt.
type Failure struct {
	Outcome outcome.Outcome
	// Transient reports that the request may succeed on another target.
	Transient bool
	// Shed reports that a target spent work on refusing the request.
	Shed bool
}

// Decision is the result of Decide: whether a failed request may be sent again.
type Decision struct {
	Retry bool
	// Charged reports that the retry counts against the budget. A retry after a failed connection
	// costs targets nothing and doesn't count.
	Charged bool
}

// Decide decides on a retry according to the failure and the mode of the request's route.
func Decide(mode config.Mode, f Failure) Decision {
	if !f.Transient || f.Outcome == outcome.Done {
		return Decision{}
	}
	if f.Outcome == outcome.NotRun {
		return Decision{Retry: true, Charged: f.Shed}
	}
	if mode != config.ModeIdempotent {
		return Decision{}
	}
	return Decision{Retry: true, Charged: true}
}

// The defaults of Config.
const (
	defaultRatio  = 0.1
	defaultFloor  = 5
	defaultWindow = 10 * time.Second
)

// Config holds a Budget's settings.
type Config struct {
	// Ratio is the fraction of the recent requests that may be retried. Default 0.1.
	Ratio float64
	// Floor is how many retries a window allows however few requests there were. Default 5.
	Floor float64
	// Window is the time over which a count decays to 1/e. Default 10 s.
	Window time.Duration
}

// Budget limits retries. It is safe for concurrent use.
type Budget struct {
	config Config
	mu     sync.Mutex
	counts counts
}

// NewBudget returns a Budget. Zero settings get their defaults.
func NewBudget(c Config) *Budget {
	if c.Ratio == 0 {
		c.Ratio = defaultRatio
	}
	if c.Floor == 0 {
		c.Floor = defaultFloor
	}
	if c.Window == 0 {
		c.Window = defaultWindow
	}
	return &Budget{config: c}
}

// Count records a request, not counting its retries.
func (b *Budget) Count(now clock.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.decay(now, b.config.Window)
	b.counts.requests++
}

// Take takes one retry from the budget. It returns false if none is left.
func (b *Budget) Take(now clock.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.decay(now, b.config.Window)
	if b.counts.retries+1 > b.config.Ratio*b.counts.requests+b.config.Floor {
		return false
	}
	b.counts.retries++
	return true
}

// counts are exponentially decaying sums.
type counts struct {
	at       clock.Time
	requests float64
	retries  float64
}

func (c *counts) decay(now clock.Time, window time.Duration) {
	elapsed := now.Sub(c.at)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-float64(elapsed) / float64(window))
	c.requests *= factor
	c.retries *= factor
	c.at = now
}
