package ingress

import (
	"context"
	"slices"
	"time"

	"crocusramp.dev/crocusramp/pkg/placement"
	"crocusramp.dev/crocusramp/pkg/target"
)

// rankedCandidates is how many targets are looked at, since cold ones among them
// take only a part of their requests.
const rankedCandidates = 4

// choose returns the target that takes the request, or nil.
func (c *call) choose(ctx context.Context) *target.Live {
	now := time.Now()
	s := c.s.cfg.Targets.Snapshot()
	c.version = s.Version
	c.limited = limited{}
	if l := c.refusedWithRoom(s, now); l != nil && c.takeLimited(ctx, l) {
		return l
	}
	pool := s.Pools[c.pool]
	parts := c.s.cfg.Parts(c.pool)
	regions := placement.ChooseRegions(c.hash(), parts, func(region string) bool {
		return c.allowed(region) && slices.ContainsFunc(pool[region], func(l *target.Live) bool { return c.canUse(l, now) })
	})
	if c.route.Bulky {
		regions = placement.HomeFirst(regions, c.s.cfg.Region, parts)
	}
	for i, region := range regions {
		if i > 0 && !c.s.spill.may(now) {
			return nil
		}
		if l := c.chooseIn(ctx, c.usable(pool[region], now), i > 0, now); l != nil {
			if i > 0 {
				c.s.spill.took(now)
			}
			return l
		}
	}
	return nil
}

// refusedWithRoom returns the last target where it refused the request although it had room
// and runs others: there the object is warm, and the next attempt may succeed.
func (c *call) refusedWithRoom(s *target.Snapshot, now time.Time) *target.Live {
	if !c.grey {
		return nil
	}
	if l := c.sent[len(c.sent)-1]; s.Admits(l, now) && !l.Cold(now) && l.MayRun() {
		return l
	}
	return nil
}

// canUse reports whether a target takes work and was not tried.
func (c *call) canUse(l *target.Live, now time.Time) bool {
	return l.TakesWork(now) && !slices.Contains(c.sent, l)
}

func (c *call) usable(list []*target.Live, now time.Time) []*target.Live {
	var out []*target.Live
	for _, l := range list {
		if c.canUse(l, now) {
			out = append(out, l)
		}
	}
	return out
}

// chooseIn chooses among the targets of a region. Requests that spill over from
// another region take only what is well free.
func (c *call) chooseIn(ctx context.Context, list []*target.Live, spilled bool, now time.Time) *target.Live {
	candidates := c.candidates(list, now)
	occupancy := make([]placement.Occupancy, len(candidates))
	for i, l := range candidates {
		load := l.Load(now)
		occupancy[i] = placement.Occupancy{
			Load: load, Slots: l.Slots, Service: l.Service(),
			Usable: !spilled || float64(load) < spillLoad*float64(l.Slots),
		}
	}
	for {
		chosen := placement.Choose(occupancy, c.objective())
		if chosen < 0 {
			c.limited.full = c.limited.full || len(c.limited.targets) < len(candidates)
			return nil
		}
		l := candidates[chosen]
		if c.take(ctx, l, now) {
			c.load = occupancy[chosen].Load
			return l
		}
		occupancy[chosen].Usable = false
	}
}

// candidates returns the target that keeps the object warm, after the cold and the limited
// ones that rank before it.
func (c *call) candidates(list []*target.Live, now time.Time) []*target.Live {
	ranked := make([]placement.Candidate, len(list))
	for i, l := range list {
		ranked[i] = placement.Candidate{ID: l.Hash, Slots: l.Slots}
	}
	var out []*target.Live
	for _, i := range placement.Rank(c.hash(), ranked, rankedCandidates) {
		out = append(out, list[i])
		if !list[i].Cold(now) && !list[i].Limit().Named {
			break
		}
	}
	return out
}

// take counts the request to what a target takes that is cold or limited. It reports false where
// there is none left.
func (c *call) take(ctx context.Context, l *target.Live, now time.Time) bool {
	return (!l.Cold(now) || c.takeCold(l, now)) && c.takeLimited(ctx, l)
}

// awaited is how long it takes until the first of the targets wants requests again that the request
// may run on; 0 where one does now or none is there.
func (c *call) awaited(now time.Time) (wait time.Duration) {
	for region, list := range c.s.cfg.Targets.Snapshot().Pools[c.pool] {
		if !c.allowed(region) {
			continue
		}
		for _, l := range list {
			left := l.BackoffLeft(now)
			switch {
			case !l.Sound() || l.Leaving():
			case left == 0:
				return 0
			case wait == 0 || left < wait:
				wait = left
			}
		}
	}
	return wait
}

// takeCold takes this VM's part of what a cold target bears.
func (c *call) takeCold(l *target.Live, now time.Time) bool {
	service := c.state.Services[l.Pool]
	if service == nil || l.Load(now) >= l.Slots {
		return false
	}
	interval, ok := c.s.cfg.Fleet.ColdInterval(l, service.ColdRate)
	return ok && l.TakeCold(interval, now)
}
