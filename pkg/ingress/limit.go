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

// limited is what the limits of targets did to the choice of one.
type limited struct {
	// targets are those that were passed over for their limits.
	targets []string
	// wait is how long it takes until the first of them may get a request.
	wait time.Duration
	// full says that others were passed over for want of room.
	full bool
	// spare is the part of the first one's limit that was left to more urgent requests.
	spare float64
}

// takeLimited takes one request of what a target with a limit gets from all VMs together.
func (c *call) takeLimited(ctx context.Context, l *target.Live) bool {
	named := l.Limit()
	if !named.Named {
		return true
	}
	d := c.admitLimited(ctx, l, named)
	if d.Admitted {
		// It may have left while another VM was asked.
		return c.s.cfg.Targets.Snapshot().Admits(l, time.Now())
	}
	c.s.counters.passedOver.Inc(1)
	if len(c.limited.targets) == 0 || d.RetryAfter < c.limited.wait {
		c.limited.wait = d.RetryAfter
	}
	c.limited.targets = append(c.limited.targets, l.ID)
	return false
}

// askingPart is the part of the latency objective within which a request asks for one limited
// target after the other. The platform prices a refusal that comes later.
const askingPart = 0.125

// admitLimited asks other VMs for the first target at least.
func (c *call) admitLimited(ctx context.Context, l *target.Live, named target.Limit) limit.Decision {
	asked := len(c.limited.targets) > 0
	if !asked {
		c.limited.spare = c.spare()
	}
	spare := c.limited.spare
	if asked && time.Since(c.arrived) > time.Duration(askingPart*float64(c.objective())) {
		return c.s.cfg.TargetLimiter.AdmitLocally(l, named, spare)
	}
	return c.s.cfg.TargetLimiter.Admit(ctx, l, named, spare)
}

const (
	// maxSpare is the part of what may be saved up of a limit that the least urgent requests
	// leave to the others.
	maxSpare = 0.5
	// unsparedPart is the part of the less urgent requests that leave nothing: the platform's
	// gate fails where a kind of request starves.
	unsparedPart = 0.2
)

// urgency orders requests: the client account's rank goes before the route's, and 0 is the
// most urgent of either.
type urgency struct{ account, route int }

func (u urgency) compare(v urgency) int {
	return cmp.Or(cmp.Compare(u.account, v.account), cmp.Compare(u.route, v.route))
}

// urgencyOf returns the urgency of an account's requests on a route. Without a rank of its own
// the account, which may be nil, has the route's.
func urgencyOf(a *config.Account, r *config.Route) urgency {
	if a != nil && a.Rank != nil {
		return urgency{*a.Rank, r.Rank}
	}
	return urgency{r.Rank, r.Rank}
}

// urgenciesOf returns the urgencies of the requests to each pool, the most urgent first.
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

// spare is the part of what may be saved up of a target's limit that the request leaves to
// more urgent ones.
func (c *call) spare() float64 {
	all := c.state.urgencies[c.pool]
	at, found := slices.BinarySearchFunc(all, urgencyOf(c.account, c.route), urgency.compare)
	if at == 0 || !found || rand.Float64() < unsparedPart {
		return 0
	}
	return maxSpare * float64(at) / float64(len(all)-1)
}
