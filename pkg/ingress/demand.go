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
type demandKey struct{ pool, boundTo string }

// demandKey returns the key under which the request is counted. A request that may run in several
// regions counts as one that may run anywhere.
func (c *call) demandKey() demandKey {
	k := demandKey{pool: c.pool}
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
		out = append(out, member.PoolLoad{Pool: key.pool, BoundTo: key.boundTo, Demand: p.arrivals / rateWindow.Seconds() * p.duration})
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

// spillLimiter counts and limits the requests that leave their object's region.
type spillLimiter struct {
	mu                sync.Mutex
	at                time.Time
	requests, spilled float64 // decay by 1/e in spillWindow
}

func (s *spillLimiter) decay(now time.Time) {
	if elapsed := now.Sub(s.at); elapsed > 0 {
		f := math.Exp(-float64(elapsed) / float64(spillWindow))
		s.requests *= f
		s.spilled *= f
		s.at = now
	}
}

func (s *spillLimiter) countRequest(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.requests++
}

// allows reports whether another request may leave its region.
func (s *spillLimiter) allows(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	return s.spilled+1 <= spillFraction*s.requests
}

func (s *spillLimiter) countSpilled(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.spilled++
}
