package dispatch

import (
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/permit"
	"crocusramp.dev/crocusramp/pkg/queue"
)

// Status is what a Scheduler holds and does, for operators.
type Status struct {
	Region string       `json:"region"`
	Pools  []PoolStatus `json:"pools"`
	// HandedOver counts the requests that run in each region for this VM.
	HandedOver map[string]int64 `json:"handed_over"`
}

// PoolStatus is the state of a pool on this VM.
type PoolStatus struct {
	Name string `json:"name"`
	// Permits is the number of held permits, Limit how many of them may be
	// used now, and Running how many are.
	Permits int `json:"permits"`
	Limit   int `json:"limit"`
	Running int `json:"running"`
	// Queued counts the waiting requests by priority.
	Queued  map[config.Priority]int `json:"queued"`
	Targets []TargetStatus          `json:"targets"`
	Shifts  []ShiftStatus           `json:"shifts"`
}

// TargetStatus is the state of a target of this region.
type TargetStatus struct {
	ID      string `json:"id"`
	Permits int    `json:"permits"`
	Limit   int    `json:"limit"`
	Running int    `json:"running"`
	// Connections is this VM's part of the connections to the target.
	Connections int `json:"connections"`
	// Draining is true for an operator's drain and for the target's own.
	Draining bool `json:"draining"`
	// Ejected targets get no requests after transport failures.
	Ejected bool `json:"ejected"`
	// Down targets say that they can run nothing.
	Down          bool  `json:"down"`
	LatencyMicros int64 `json:"latency_us"`
}

// ShiftStatus is the state of a traffic shift out of this region.
type ShiftStatus struct {
	config.Shift
	Seen    int64 `json:"seen"`
	Shifted int64 `json:"shifted"`
	// Evacuated counts requests that went to the destination because nothing
	// could run here; they are not part of the shift.
	Evacuated int64 `json:"evacuated"`
	// RampPercent is the part of the cap that is used now.
	RampPercent float64 `json:"ramp_percent"`
}

// Status returns the present state.
func (s *Scheduler) Status() Status {
	in := s.inputs()
	status := Status{Region: s.config.Self.Region, HandedOver: map[string]int64{}}
	for _, name := range sortedKeys(s.pools) {
		p := s.pools[name]
		p.mu.Lock()
		p.pool.update(in)
		status.Pools = append(status.Pools, p.pool.status(in))
		for region, n := range p.pool.links.running {
			status.HandedOver[region] = n.Load()
		}
		p.mu.Unlock()
	}
	return status
}

func (p *pool) status(in inputs) PoolStatus {
	status := PoolStatus{Name: p.name, Queued: map[config.Priority]int{
		config.PriorityHigh:   p.queue.LenClass(queue.High),
		config.PriorityNormal: p.queue.LenClass(queue.Normal),
		config.PriorityLow:    p.queue.LenClass(queue.Low),
	}}
	for _, b := range p.local {
		t := TargetStatus{
			ID: b.ID, Permits: b.held, Limit: b.allowed(in.now, p.believing), Running: b.running,
			Connections: permit.Connections(b.Target, b.held),
			Draining:    b.drained || b.health.ReportedDraining(in.now),
			Ejected:     b.health.Ejected(), Down: b.health.ReportedDown(in.now),
			LatencyMicros: b.health.Latency().Microseconds(),
		}
		status.Permits += t.Permits
		status.Limit += t.Limit
		status.Running += t.Running
		status.Targets = append(status.Targets, t)
	}
	for _, s := range p.shifts {
		status.Shifts = append(status.Shifts, ShiftStatus{
			Shift: s.Shift, Seen: s.seen, Shifted: s.shifted, Evacuated: s.evacuated,
			RampPercent: float64(s.ramp) * 100 / rampFull,
		})
	}
	return status
}
