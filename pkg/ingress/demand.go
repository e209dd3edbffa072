package ingress

import (
	"math"
	"sync"
	"time"

	"crocusramp.dev/crocusramp/pkg/member"
)

const (
	// rateWindow is the time over which arrivals are averaged: longer than random fluctuations,
	// shorter than a wave of traffic.
	rateWindow = 1500 * time.Millisecond
	// durationWeight is the weight of one request in the mean duration.
	durationWeight = 0.02
)

// demand estimates how many slots the requests to each pool need: their rate times their mean
// duration (Little's law). Refused requests count too.
type demand struct {
	mu    sync.Mutex
	pools map[demandKey]*poolDemand
}

// demandKey identifies the requests to a pool that are bound to the region boundTo. An empty
// boundTo stands for those that may run in several regions.
// largeResponses tells those with large responses apart.
type demandKey struct {
	pool, boundTo  string
	largeResponses bool
}

// demandKey returns the key under which the request is counted. A request that may run in several
// regions counts as one that may run anywhere.
func (c *call) demandKey() demandKey {
	k := demandKey{pool: c.pool, largeResponses: c.route.LargeResponses}
	var accounts []string
	if c.account != nil {
		accounts = c.account.Regions
	}
	for _, regions := range [][]string{accounts, c.route.Regions} {
		if len(regions) == 1 {
			k.boundTo = regions[0]
		}
	}
	return k
}

type poolDemand struct {
	arrivals float64 // decays by 1/e in rateWindow
	at       time.Time
	duration float64 // mean, in seconds
}

func newDemand() *demand { return &demand{pools: map[demandKey]*poolDemand{}} }

func (d *demand) pool(key demandKey) *poolDemand {
	p := d.pools[key]
	if p == nil {
		p = &poolDemand{}
		d.pools[key] = p
	}
	return p
}

func (p *poolDemand) decay(now time.Time) {
	if elapsed := now.Sub(p.at); elapsed > 0 {
		p.arrivals *= math.Exp(-float64(elapsed) / float64(rateWindow))
		p.at = now
	}
}

// countRequest records a request to a pool.
func (d *demand) countRequest(key demandKey, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pool(key)
	p.decay(now)
	p.arrivals++
}

// recordDuration records how long a request occupied a slot of a target.
func (d *demand) recordDuration(key demandKey, t time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pool(key)
	if p.duration == 0 {
		p.duration = t.Seconds()
		return
	}
	p.duration += durationWeight * (t.Seconds() - p.duration)
}

// loads returns the demand of each pool.
func (d *demand) loads(now time.Time) []member.PoolLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]member.PoolLoad, 0, len(d.pools))
	for key, p := range d.pools {
		p.decay(now)
		out = append(out, member.PoolLoad{Pool: key.pool, BoundTo: key.boundTo, LargeResponses: key.largeResponses, Demand: p.arrivals / rateWindow.Seconds() * p.duration})
	}
	return out
}

const (
	// spillWindow and spillFraction bound the requests that leave the region of their object
	// because its targets are full: the platform allows 15 % of a region's requests to change
	// region from one 2 s window to the next.
	spillWindow   = 2 * time.Second
	spillFraction = 0.06
	// maxSpillLoad is the utilization below which a target takes such requests.
	maxSpillLoad = 0.6
)

// spillLimiter counts and limits the requests that leave their object's region, for each pool by itself:
// what a large pool does not use must not run cold in a small one.
type spillLimiter struct {
	mu    sync.Mutex
	pools map[string]*poolSpill
}

// poolSpill counts the requests to a pool and those that left their region. Both decay by 1/e in
// spillWindow.
type poolSpill struct {
	at                time.Time
	requests, spilled float64
}

func newSpillLimiter() *spillLimiter { return &spillLimiter{pools: map[string]*poolSpill{}} }

// pool returns the counts of a pool at now. The caller holds mu.
func (s *spillLimiter) pool(name string, now time.Time) *poolSpill {
	p := s.pools[name]
	if p == nil {
		p = &poolSpill{at: now}
		s.pools[name] = p
	}
	if elapsed := now.Sub(p.at); elapsed > 0 {
		f := math.Exp(-float64(elapsed) / float64(spillWindow))
		p.requests *= f
		p.spilled *= f
		p.at = now
	}
	return p
}

// countRequest records a request to a pool.
func (s *spillLimiter) countRequest(pool string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool(pool, now).requests++
}

// allows reports whether another request to a pool may leave its region.
func (s *spillLimiter) allows(pool string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(pool, now)
	return p.spilled+1 <= spillFraction*p.requests
}

// countSpilled records a request to a pool that left its region.
func (s *spillLimiter) countSpilled(pool string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool(pool, now).spilled++
}
