package edge

import (
	"context"
	"slices"
	"time"

	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/placement"
	"crocusramp.dev/crocusramp/pkg/target"
)

// balancePeriod is how often the regions' shares are recomputed from capacity and demand.
const balancePeriod = 250 * time.Millisecond

// regionShares maps a pool to the fractions of the requests of this region's callers that run in
// each region.
type regionShares map[string][]placement.Share

// balance periodically updates the limits of targets, the suspects exchanged with other VMs,
// the region shares and the fleet's share count, until ctx ends.
func (d *Daemon) balance(ctx context.Context) {
	balancers := map[string]*placement.Balancer{}
	every(ctx, balancePeriod, func() {
		now := time.Now()
		d.syncTargetLimits(now)
		d.suspects.exchangeReports(d.members.View())
		d.rebalance(balancers, now)
		d.fleet.refresh(d.clock.Now())
	})
}

// every calls f immediately and then once per period until ctx ends.
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

// rebalance recomputes and publishes the region shares of every pool.
func (d *Daemon) rebalance(balancers map[string]*placement.Balancer, now time.Time) {
	snapshot, view := d.targets.Snapshot(), d.members.View()
	shares := regionShares{}
	for pool, byRegion := range snapshot.Pools {
		b := balancers[pool]
		if b == nil {
			b = &placement.Balancer{}
			balancers[pool] = b
		}
		shares[pool] = b.Update(d.self.Region, d.placementRegions(pool, byRegion, view), now)
	}
	d.shares.Store(&shares)
}

// placementRegions returns each region's capacity for a pool, as far as this VM may use it, and
// the demand of the callers of all live VMs.
func (d *Daemon) placementRegions(pool string, byRegion map[string][]*target.Live, view *member.View) []placement.Region {
	demand, boundDemand := map[string]float64{}, map[string]float64{}
	add := func(region string, loads []member.PoolLoad) {
		for _, l := range loads {
			switch {
			case l.Pool != pool:
			case l.BoundTo != "":
				boundDemand[l.BoundTo] += l.Demand
			default:
				demand[region] += l.Demand
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
		total, available := target.UsableSlots(byRegion[name], time.Now())
		regions = append(regions, placement.Region{Name: name, Slots: available, UnlimitedSlots: total, Demand: demand[name], BoundDemand: boundDemand[name]})
	}
	return regions
}

// sharesOf returns the fractions of this region's callers' requests to a pool that run in each
// region. It computes them if balance has not published any for the pool yet.
func (d *Daemon) sharesOf(pool string) []placement.Share {
	if p := d.shares.Load(); p != nil && (*p)[pool] != nil {
		return (*p)[pool]
	}
	return placement.Split(d.self.Region, d.placementRegions(pool, d.targets.Snapshot().Pools[pool], d.members.View()))
}

// regionNames returns the distinct regions of the failure domains, sorted.
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
