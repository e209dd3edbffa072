package edge

import (
	"context"
	"slices"
	"time"

	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/placement"
	"crocusramp.dev/crocusramp/pkg/target"
)

// balancePeriod is how often the regions' parts follow capacity and demand.
const balancePeriod = 250 * time.Millisecond

// parts holds where the requests to each pool run.
type parts map[string][]placement.Part

// balance keeps the parts until ctx ends.
func (d *Daemon) balance(ctx context.Context) {
	balancers := map[string]*placement.Balancer{}
	every(ctx, balancePeriod, func() {
		now := time.Now()
		d.followLimits(now)
		d.suspects.exchange(d.members.View())
		d.rebalance(balancers, now)
		d.fleet.refresh(d.clock.Now())
	})
}

// every calls f now and each period until ctx ends.
func every(ctx context.Context, period time.Duration, f func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (d *Daemon) rebalance(balancers map[string]*placement.Balancer, now time.Time) {
	snapshot, view := d.targets.Snapshot(), d.members.View()
	next := parts{}
	for pool, byRegion := range snapshot.Pools {
		b := balancers[pool]
		if b == nil {
			b = &placement.Balancer{}
			balancers[pool] = b
		}
		next[pool] = b.Update(d.self.Region, d.regionsOf(pool, byRegion, view), now)
	}
	d.parts.Store(&next)
}

// regionsOf describes the regions for a pool: the capacity that this VM may use,
// and the demand of the live VMs' callers.
func (d *Daemon) regionsOf(pool string, byRegion map[string][]*target.Live, view *member.View) []placement.Region {
	work, bound := map[string]float64{}, map[string]float64{}
	add := func(region string, loads []member.PoolLoad) {
		for _, l := range loads {
			switch {
			case l.Pool != pool:
			case l.BoundTo != "":
				bound[l.BoundTo] += l.Demand
			default:
				work[region] += l.Demand
			}
		}
	}
	add(d.self.Region, d.ingress.Demand())
	for i := range view.Peers {
		if p := &view.Peers[i]; p.State == member.Live {
			add(p.Region, p.Pools)
		}
	}
	var regions []placement.Region
	for _, name := range d.regions {
		all, limited := target.UsableSlots(byRegion[name], time.Now())
		regions = append(regions, placement.Region{Name: name, Slots: limited, Sound: all, Work: work[name], Bound: bound[name]})
	}
	return regions
}

// partsOf returns where the requests to a pool run.
func (d *Daemon) partsOf(pool string) []placement.Part {
	if p := d.parts.Load(); p != nil && (*p)[pool] != nil {
		return (*p)[pool]
	}
	return placement.Split(d.self.Region, d.regionsOf(pool, d.targets.Snapshot().Pools[pool], d.members.View()))
}

// regionNames lists the regions of the failure domains, in order.
func regionNames(domains map[string]string) []string {
	var names []string
	for _, region := range domains {
		if !slices.Contains(names, region) {
			names = append(names, region)
		}
	}
	slices.Sort(names)
	return names
}
