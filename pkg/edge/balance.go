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

// poolShares maps a pool to where the requests of this VM's callers run.
type poolShares map[string]placement.Shares

// poolBalancers holds the balancers of one pool.
type poolBalancers struct{ regions, domains placement.Balancer }

// balance periodically updates the limits of targets, the suspects exchanged with other VMs,
// the shares of regions and failure domains and the fleet's share count, until ctx ends.
func (d *Daemon) balance(ctx context.Context) {
	balancers := map[string]*poolBalancers{}
	var logged loggedPart
	every(ctx, balancePeriod, func() {
		now := time.Now()
		d.syncTargetLimits(now)
		d.suspects.exchangeReports(d.members.View())
		d.rebalance(balancers, now)
		d.fleet.refresh(d.clock.Now())
		d.logPart(&logged)
	})
}

// loggedPart is this VM's part of the bounds that all VMs share as it was last logged.
type loggedPart struct {
	count  int
	usable bool
}

// logPart logs this VM's part of the bounds that all VMs share if it has changed.
func (d *Daemon) logPart(logged *loggedPart) {
	report := d.fleet.report()
	part := loggedPart{report.Count, d.fleet.registered.Load()}
	if part == *logged {
		return
	}
	*logged = part
	d.log.Info().Int("count", part.count).Bool("usable", part.usable).Stringer("row", report.Version).Msg("this VM's part of the bounds that all VMs share")
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

// rebalance recomputes and publishes the shares of every pool.
func (d *Daemon) rebalance(balancers map[string]*poolBalancers, now time.Time) {
	snapshot, view := d.targets.Snapshot(), d.members.View()
	shares := poolShares{}
	for pool, byRegion := range snapshot.Pools {
		b := balancers[pool]
		if b == nil {
			b = &poolBalancers{}
			balancers[pool] = b
		}
		demand := d.poolDemand(pool, view)
		regions := d.regionPlaces(byRegion, demand, now)
		shares[pool] = placement.Shares{
			Regions: b.regions.Update(d.self.Region, regions, now),
			Domains: b.domains.Update(d.self.FailureDomain, d.domainPlaces(byRegion[d.self.Region], regions, demand, now), now),
		}
	}
	d.shares.Store(&shares)
}

// poolDemand is the demand of all VMs' callers for a pool, in slots.
type poolDemand struct {
	// free is the demand of each region's callers that may run in any region, and bound the demand that
	// may run in one region only, by that region.
	free, bound map[string]float64
	// large is the demand that has large responses and may run in the callers' region, by the failure
	// domain of the VMs.
	large map[string]float64
}

func (d *Daemon) poolDemand(pool string, view *member.View) poolDemand {
	out := poolDemand{free: map[string]float64{}, bound: map[string]float64{}, large: map[string]float64{}}
	out.add(pool, d.self.Region, d.self.FailureDomain, d.ingress.Demand())
	for i := range view.Peers {
		if p := &view.Peers[i]; p.State == member.Live {
			out.add(pool, p.Region, p.FailureDomain, p.Pools)
		}
	}
	return out
}

func (p *poolDemand) add(pool, region, domain string, loads []member.PoolLoad) {
	for _, l := range loads {
		if l.Pool != pool {
			continue
		}
		if l.BoundTo != "" {
			p.bound[l.BoundTo] += l.Demand
		} else {
			p.free[region] += l.Demand
		}
		if l.LargeResponses && (l.BoundTo == "" || l.BoundTo == region) {
			p.large[domain] += l.Demand
		}
	}
}

// regionPlaces returns each region's capacity for a pool, as far as this VM may use it, and its demand.
func (d *Daemon) regionPlaces(byRegion map[string][]*target.Live, demand poolDemand, now time.Time) []placement.Place {
	var regions []placement.Place
	for _, name := range d.regions {
		total, available := target.UsableSlots(byRegion[name], now)
		regions = append(regions, placement.Place{Name: name, Slots: available, UnlimitedSlots: total, Demand: demand.free[name], BoundDemand: demand.bound[name]})
	}
	return regions
}

// domainPlaces returns the capacity and demand of the failure domains of this VM's region. Their demand
// is that of their callers' requests with large responses; all others are spread over the region's
// targets.
func (d *Daemon) domainPlaces(targets []*target.Live, regions []placement.Place, demand poolDemand, now time.Time) []placement.Place {
	own := d.self.Region
	var domains []placement.Place
	total, large := 0.0, 0.0
	for _, name := range d.domains {
		inDomain := slices.DeleteFunc(slices.Clone(targets), func(l *target.Live) bool { return l.FailureDomain != name })
		unlimited, available := target.UsableSlots(inDomain, now)
		domains = append(domains, placement.Place{Name: name, Slots: available, UnlimitedSlots: unlimited, Demand: demand.large[name]})
		total += available
		large += demand.large[name]
	}
	spread := demand.bound[own] - large
	for _, from := range regions {
		for _, s := range placement.Split(from.Name, regions) {
			if s.Place == own {
				spread += from.Demand * s.Fraction
			}
		}
	}
	for i := range domains {
		if total > 0 {
			domains[i].BoundDemand = max(0, spread) * domains[i].Slots / total
		}
	}
	return domains
}

// sharesOf returns where the requests of this VM's callers to a pool run. It computes the regions if
// balance has not published any shares for the pool yet.
func (d *Daemon) sharesOf(pool string) placement.Shares {
	if p := d.shares.Load(); p != nil && (*p)[pool].Regions != nil {
		return (*p)[pool]
	}
	regions := d.regionPlaces(d.targets.Snapshot().Pools[pool], d.poolDemand(pool, d.members.View()), time.Now())
	return placement.Shares{Regions: placement.Split(d.self.Region, regions)}
}

// domainsOf returns the failure domains of a region, sorted.
func domainsOf(region string, regions map[string]string) []string {
	var names []string
	for domain, of := range regions {
		if of == region {
			names = append(names, domain)
		}
	}
	slices.Sort(names)
	return names
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
