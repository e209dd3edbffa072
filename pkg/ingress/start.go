package ingress

import (
	"context"
	"math/rand/v2"
	"time"

	"crocusramp.dev/crocusramp/pkg/limit"
)

const (
	// startHold is how long after its start a VM holds requests that it will soon be
	// able to serve: until it knows the configuration, and until its buckets have
	// tokens. It covers the connection to the store and two reads from the farthest
	// region. Callers come back all at once after a start, and few come back twice.
	startHold = 700 * time.Millisecond
	// startPauseMin and startPauseMax bound the time between two looks for a token.
	startPauseMin = 20 * time.Millisecond
	startPauseMax = 100 * time.Millisecond
)

// holding is how much longer the request may be held: until the VM's start is over or
// half of the request's patience is. 0 or less says that it is not held.
func (c *call) holding() time.Duration {
	now := time.Now()
	left := startHold - now.Sub(c.s.started)
	if patience := c.patience(); left > 0 {
		left = min(left, patience/2-now.Sub(c.arrived))
	}
	return left
}

// known reports whether the VM knows all that requests need.
func (s *Server) known() bool {
	if s.cfg.Known == nil {
		return true
	}
	select {
	case <-s.cfg.Known:
		return true
	default:
		return false
	}
}

// awaitState returns the configuration in force. A VM that has just started waits for
// its first one.
func (c *call) awaitState(ctx context.Context) *State {
	s, left := c.s, c.holding()
	if left <= 0 || s.known() {
		return s.cfg.State()
	}
	s.counters.held.Inc(1)
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-s.cfg.Known:
	case <-timer.C:
	case <-ctx.Done():
	}
	return s.cfg.State()
}

// admitAccount counts a request of an account. A VM that has just started waits for its
// buckets to fill.
func (c *call) admitAccount(ctx context.Context, account string) limit.Decision {
	s := c.s
	d := s.cfg.Limiter.Admit(ctx, account)
	if d.Admitted || c.holding() <= 0 {
		return d
	}
	s.counters.held.Inc(1)
	for !d.Admitted && c.holding() > 0 && ctx.Err() == nil {
		pause := min(max(d.RetryAfter, startPauseMin), startPauseMax)
		select {
		case <-time.After(pause/2 + rand.N(pause)):
		case <-ctx.Done():
		}
		d = s.cfg.Limiter.Admit(ctx, account)
	}
	return d
}
