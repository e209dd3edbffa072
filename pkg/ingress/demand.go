package ingress

import (
	"math"
	"sync"
	"time"

	"crocusramp.dev/crocusramp/pkg/member"
)

const (
	// rateMemory is the time over which arrivals are averaged: longer than chance
	// lasts, shorter than a wave of traffic.
	rateMemory = 1500 * time.Millisecond
	// durationWeight is the weight of one request in the mean duration.
	durationWeight = 0.02
)

// demand estimates how many slots the requests to each pool need: their rate
// times their mean duration (Little's law). Refused requests count too.
type demand struct {
	mu    sync.Mutex
	pools map[demandKey]*poolDemand
}

// demandKey names requests to a pool that may run in the same regions: boundTo alone, or
// anywhere where it is empty.
type demandKey struct{ pool, boundTo string }

// demandKey returns what the request counts to. Requests that may run in several regions
// count as those that may run anywhere.
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
	arrivals float64 // decays by 1/e in rateMemory
	at       time.Time
	duration float64 // seconds
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
		p.arrivals *= math.Exp(-float64(elapsed) / float64(rateMemory))
		p.at = now
	}
}

// count notes a request to a pool.
func (d *demand) count(key demandKey, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pool(key)
	p.decay(now)
	p.arrivals++
}

// took notes how long a request kept a slot of a target.
func (d *demand) took(key demandKey, t time.Duration) {
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
		out = append(out, member.PoolLoad{Pool: key.pool, BoundTo: key.boundTo, Demand: p.arrivals / rateMemory.Seconds() * p.duration})
	}
	return out
}

const (
	// spillWindow and spillPart bound the requests that leave the region of their
	// object because its targets are full: the platform allows 15 % of a region's
	// requests to change region from one 2 s window to the next.
	spillWindow = 2 * time.Second
	spillPart   = 0.06
	// spillLoad is the utilization up to which a target takes such requests.
	spillLoad = 0.6
)

// spill counts the requests that left their object's region.
type spill struct {
	mu              sync.Mutex
	at              time.Time
	requests, moved float64 // decay by 1/e in spillWindow
}

func (s *spill) decay(now time.Time) {
	if elapsed := now.Sub(s.at); elapsed > 0 {
		f := math.Exp(-float64(elapsed) / float64(spillWindow))
		s.requests *= f
		s.moved *= f
		s.at = now
	}
}

func (s *spill) count(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.requests++
}

// may reports whether another request may leave its region.
func (s *spill) may(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	return s.moved+1 <= spillPart*s.requests
}

func (s *spill) took(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.moved++
}
