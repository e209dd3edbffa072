package ingress

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"crocusramp.dev/crocusramp/pkg/placement"
	"crocusramp.dev/crocusramp/pkg/target"
)

// maxCandidates is how many of a region's targets are considered for an object. One is not enough
// because cold targets take only some of their requests.
const maxCandidates = 4

// placementChoice tells how the target of an attempt was chosen, for the log.
type placementChoice struct {
	// region and candidate are the positions of the region and the target in the object's order; 0
	// is where the object is warm.
	region, candidate int
	// cold is set if the target had just started. again is set if it is the same as before.
	cold, again bool
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (p placementChoice) MarshalZerologObject(e *zerolog.Event) {
	e.Int("region", p.region).Int("candidate", p.candidate).Bool("cold", p.cold).Bool("again", p.again)
}

// chooseTarget returns the target for the next attempt, or nil if there is none.
func (c *call) chooseTarget(ctx context.Context) *target.Live {
	now := time.Now()
	s := c.s.cfg.Targets.Snapshot()
	c.targetsVersion = s.Version
	c.limited = limitedTargets{}
	if l := c.lastTargetForRetry(s, now); l != nil && c.admitToLimited(ctx, l) {
		c.choice = placementChoice{again: true}
		return l
	}
	pool := s.Pools[c.pool]
	shares := c.s.cfg.Shares(c.pool)
	regions := placement.OrderRegions(c.objectHash(), shares.Regions, func(region string) bool {
		return c.allowsRegion(region) && slices.ContainsFunc(pool[region], func(l *target.Live) bool { return c.canUse(l, now) })
	})
	if c.route.LargeResponses {
		regions = placement.HomeFirst(regions, c.s.cfg.Region, shares.Regions)
	}
	for i, region := range regions {
		if i > 0 && !c.s.spill.allows(c.pool, now) {
			return nil
		}
		if l := c.chooseInRegion(ctx, region, c.usableTargets(pool[region], now), shares.Domains, i > 0, now); l != nil {
			if i > 0 {
				c.s.spill.countSpilled(c.pool, now)
			}
			c.choice.region = i
			return l
		}
	}
	return nil
}

// lastTargetForRetry returns the last target if it refused the request although it has free slots
// and runs other requests: the object is warm there, and the next attempt may succeed. Otherwise it
// returns nil.
func (c *call) lastTargetForRetry(s *target.Snapshot, now time.Time) *target.Live {
	if !c.refusedWithFreeSlots {
		return nil
	}
	if l := c.tried[len(c.tried)-1]; s.Admits(l, now) && c.allowsRegion(l.Region) && !l.Cold(now) && l.MayAcceptRetry() {
		return l
	}
	return nil
}

// canUse reports whether a target accepts work and was not tried for this request.
func (c *call) canUse(l *target.Live, now time.Time) bool {
	return l.AcceptsRequests(now) && !slices.Contains(c.tried, l)
}

func (c *call) usableTargets(list []*target.Live, now time.Time) []*target.Live {
	var out []*target.Live
	for _, l := range list {
		if c.canUse(l, now) {
			out = append(out, l)
		}
	}
	return out
}

// chooseInRegion chooses among the targets of a region. Requests with large responses that run in
// this VM's region go to the failure domain that domains selects for their object.
func (c *call) chooseInRegion(ctx context.Context, region string, list []*target.Live, domains []placement.Share, spilled bool, now time.Time) *target.Live {
	if c.route.LargeResponses && region == c.s.cfg.Region {
		list = inDomain(list, placement.ChooseDomain(c.objectHash(), domains, func(domain string) bool {
			return slices.ContainsFunc(list, func(l *target.Live) bool { return l.FailureDomain == domain })
		}))
	}
	return c.chooseAmong(ctx, list, spilled, now)
}

// inDomain returns the targets in a failure domain, or all of them if domain is empty.
func inDomain(list []*target.Live, domain string) []*target.Live {
	if domain == "" {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(l *target.Live) bool { return l.FailureDomain != domain })
}

// chooseAmong chooses among targets. Requests that spill over from another region only use targets
// whose load is below maxSpillLoad.
func (c *call) chooseAmong(ctx context.Context, list []*target.Live, spilled bool, now time.Time) *target.Live {
	candidates := c.candidates(list, now)
	occupancy := make([]placement.Occupancy, len(candidates))
	for i, l := range candidates {
		load := l.Load(now)
		occupancy[i] = placement.Occupancy{
			Load: load, Slots: l.Slots, ServiceTime: l.ServiceTime(),
			Usable: !spilled || float64(load) < maxSpillLoad*float64(l.Slots),
		}
	}
	for {
		chosen := placement.Choose(occupancy, c.objective())
		if chosen < 0 {
			c.limited.othersFull = c.limited.othersFull || len(c.limited.ids) < len(candidates)
			return nil
		}
		l := candidates[chosen]
		if c.admitTo(ctx, l, now) {
			c.load = occupancy[chosen].Load
			c.choice = placementChoice{candidate: chosen, cold: l.Cold(now)}
			return l
		}
		occupancy[chosen].Usable = false
	}
}

// candidates returns the best ranked targets in order, up to the first that is neither cold nor
// limited: that one keeps the object warm.
func (c *call) candidates(list []*target.Live, now time.Time) []*target.Live {
	ranked := make([]placement.Candidate, len(list))
	for i, l := range list {
		ranked[i] = placement.Candidate{ID: l.Hash, Slots: l.Slots}
	}
	var out []*target.Live
	for _, i := range placement.Rank(c.objectHash(), ranked, maxCandidates) {
		out = append(out, list[i])
		if !list[i].Cold(now) && !list[i].Limit().Limited {
			break
		}
	}
	return out
}

// admitTo counts the request against the rate of a cold target and against the limit of a limited
// one. It returns false if the target may take no more.
func (c *call) admitTo(ctx context.Context, l *target.Live, now time.Time) bool {
	return (!l.Cold(now) || c.admitToCold(l, now)) && c.admitToLimited(ctx, l)
}

// backoffWait returns the time until the first target that may run the request ends its backoff. It
// is 0 if a target accepts requests now or if there is none.
func (c *call) backoffWait(now time.Time) (wait time.Duration) {
	for region, list := range c.s.cfg.Targets.Snapshot().Pools[c.pool] {
		if !c.allowsRegion(region) {
			continue
		}
		for _, l := range list {
			left := l.BackoffRemaining(now)
			switch {
			case !l.Healthy() || l.Leaving():
			case left == 0:
				return 0
			case wait == 0 || left < wait:
				wait = left
			}
		}
	}
	return wait
}

// admitToCold takes a request from this VM's share of the rate that a cold target can bear.
func (c *call) admitToCold(l *target.Live, now time.Time) bool {
	service := c.state.Services[l.Pool]
	if service == nil || l.Load(now) >= l.Slots {
		return false
	}
	interval, ok := c.s.cfg.Fleet.ColdInterval(l, service.ColdRate)
	return ok && l.AllowCold(interval, now)
}
