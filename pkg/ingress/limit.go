package ingress

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/limit"
	"crocusramp.dev/crocusramp/pkg/target"
)

// limitedTargets records how the targets' limits affected the choice of a target.
type limitedTargets struct {
	// ids are the targets that were passed over because of their limits.
	ids []string
	// wait is the time until the first of them may get a request.
	wait time.Duration
	// othersFull is set if other targets were passed over because they had no room.
	othersFull bool
	// reserve is the fraction of the first target's token bucket that the request left to more
	// urgent requests.
	reserve float64
}

// admitToLimited counts the request against the target's limit, which all VMs share. It returns
// false if the limit does not allow the request. Without a limit it returns true.
func (c *call) admitToLimited(ctx context.Context, l *target.Live) bool {
	targetLimit := l.Limit()
	if !targetLimit.Limited {
		return true
	}
	d := c.askTargetLimiter(ctx, l, targetLimit)
	if d.Admitted {
		// The target may have left while another VM was asked.
		return c.s.cfg.Targets.Snapshot().Admits(l, time.Now())
	}
	c.s.counters.passedOver.Inc(1)
	if len(c.limited.ids) == 0 || d.RetryAfter < c.limited.wait {
		c.limited.wait = d.RetryAfter
	}
	c.limited.ids = append(c.limited.ids, l.ID)
	return false
}

// askingFraction is the fraction of the latency objective within which a request asks other VMs
// about one limited target after the other. The platform charges for a refusal that comes later.
const askingFraction = 0.125

// askTargetLimiter asks other VMs at least about the first limited target. Once askingFraction of
// the objective is over, later targets are decided locally.
func (c *call) askTargetLimiter(ctx context.Context, l *target.Live, targetLimit target.Limit) limit.Decision {
	asked := len(c.limited.ids) > 0
	if !asked {
		c.limited.reserve = c.reserve()
	}
	reserve := c.limited.reserve
	if asked && time.Since(c.arrived) > time.Duration(askingFraction*float64(c.objective())) {
		return c.s.cfg.TargetLimiter.AdmitLocally(l, targetLimit, reserve)
	}
	return c.s.cfg.TargetLimiter.Admit(ctx, l, targetLimit, reserve)
}

const (
	// maxReserve is the fraction of a limit's token bucket that the least urgent requests leave to
	// the others.
	maxReserve = 0.5
	// unreservedFraction is the fraction of the less urgent requests that leave nothing: the
	// platform's gate fails if a kind of request starves.
	unreservedFraction = 0.2
)

// urgency orders requests: first by the rank of the client account, then by the rank of the route.
// 0 is the most urgent for both.
type urgency struct{ account, route int }

func (u urgency) compare(v urgency) int {
	return cmp.Or(cmp.Compare(u.account, v.account), cmp.Compare(u.route, v.route))
}

// urgencyOf returns the urgency of an account's requests on a route. If the account is nil or has
// no rank, the route's rank is used for it.
func urgencyOf(a *config.Account, r *config.Route) urgency {
	if a != nil && a.Rank != nil {
		return urgency{*a.Rank, r.Rank}
	}
	return urgency{r.Rank, r.Rank}
}

// urgenciesOf returns the urgencies that the requests to each pool can have, the most urgent first.
func urgenciesOf(c *config.Config) map[string][]urgency {
	pools := map[string][]urgency{}
	for _, r := range c.Routes {
		list := []urgency{urgencyOf(nil, r)}
		for _, a := range c.Accounts {
			list = append(list, urgencyOf(a, r))
		}
		names := []string{r.Pool}
		for _, p := range r.Split {
			names = append(names, p.Pool)
		}
		for _, pool := range names {
			pools[pool] = append(pools[pool], list...)
		}
	}
	for pool, list := range pools {
		slices.SortFunc(list, urgency.compare)
		pools[pool] = slices.Compact(list)
	}
	return pools
}

// reserve returns the fraction of a limit's token bucket that the request leaves to more urgent
// requests.
func (c *call) reserve() float64 {
	all := c.state.urgencies[c.pool]
	at, found := slices.BinarySearchFunc(all, urgencyOf(c.account, c.route), urgency.compare)
	if at == 0 || !found || rand.Float64() < unreservedFraction {
		return 0
	}
	return maxReserve * float64(at) / float64(len(all)-1)
}
