package ingress

import (
	"context"
	"math/rand/v2"
	"time"

	"crocusramp.dev/crocusramp/pkg/limit"
)

const (
	// startHold is how long after its start a VM holds requests that it will soon be able to serve:
	// until it has read the configuration, and until its token buckets have tokens. It covers the
	// connection to the store and two reads from the farthest region. After a start all callers
	// return at once, and few of them come back again if they are refused.
	startHold = 700 * time.Millisecond
	// startPauseMin and startPauseMax bound the time between two attempts to get a token.
	startPauseMin = 20 * time.Millisecond
	startPauseMax = 100 * time.Millisecond
)

// holdTime returns how much longer the request may be held: until startHold is over, but for at
// most half of the request's timeout. It is not held if the result is 0 or less.
func (c *call) holdTime() time.Duration {
	now := time.Now()
	left := startHold - now.Sub(c.s.started)
	if timeout := c.timeout(); left > 0 {
		left = min(left, timeout/2-now.Sub(c.arrived))
	}
	return left
}

// ready reports whether the VM has read everything that it needs to serve requests.
func (s *Server) ready() bool {
	if s.cfg.Ready == nil {
		return true
	}
	select {
	case <-s.cfg.Ready:
		return true
	default:
		return false
	}
}

// awaitState returns the configuration in force. A VM that has just started waits for its first
// configuration.
func (c *call) awaitState(ctx context.Context) *State {
	s, left := c.s, c.holdTime()
	if left <= 0 || s.ready() {
		return s.cfg.State()
	}
	s.counters.held.Inc(1)
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-s.cfg.Ready:
	case <-timer.C:
	case <-ctx.Done():
	}
	return s.cfg.State()
}

// admitAccount counts a request against its account's rate. A VM that has just started waits for
// its token buckets to fill.
func (c *call) admitAccount(ctx context.Context, account string) limit.Decision {
	s := c.s
	d := s.cfg.Limiter.Admit(ctx, account)
	if d.Admitted || c.holdTime() <= 0 {
		return d
	}
	s.counters.held.Inc(1)
	for !d.Admitted && c.holdTime() > 0 && ctx.Err() == nil {
		pause := min(max(d.RetryAfter, startPauseMin), startPauseMax)
		select {
		case <-time.After(pause/2 + rand.N(pause)):
		case <-ctx.Done():
		}
		d = s.cfg.Limiter.Admit(ctx, account)
	}
	return d
}
