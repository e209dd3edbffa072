package dispatch

import (
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/permit"
	"crocusramp.dev/crocusramp/pkg/queue"
)

// Status is the state of a Scheduler for operators.
type Status struct {
	Region string       `json:"region"`
	Pools  []PoolStatus `json:"pools"`
	// HandedOver is the number of requests that this VM has handed over and that are in
	// flight, by region.
	HandedOver map[string]int64 `json:"handed_over"`
}

// PoolStatus is the state of a pool on this VM.
type PoolStatus struct {
	Name string `json:"name"`
	// Permits is the number of held permits, Limit is how many of them may be used now,
	// and Running is how many are in use.
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
	// Connections is this VM's share of the connections to the target.
	Connections int `json:"connections"`
	// Draining is set if an operator drains the target or the target reports that it is
	// draining.
	Draining bool `json:"draining"`
	// Ejected is set if the target gets no requests after transport failures.
	Ejected bool `json:"ejected"`
	// Down is set if the target reports that it can run no requests.
	Down          bool  `json:"down"`
	LatencyMicros int64 `json:"latency_us"`
}

// ShiftStatus is the state of a traffic shift out of this region.
type ShiftStatus struct {
	config.Shift
	Seen    int64 `json:"seen"`
	Shifted int64 `json:"shifted"`
	// Evacuated counts requests that went to the destination because this region had no
	// usable target. They do not count towards the shift.
	Evacuated int64 `json:"evacuated"`
	// RampPercent is the percentage of the cap that is in use now.
	RampPercent float64 `json:"ramp_percent"`
}

// Status returns the current state.
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
	for _, t := range p.localTargets {
		ts := TargetStatus{
			ID: t.ID, Permits: t.held, Limit: t.allowed(in.now, p.trustDownReports), Running: t.running,
			Connections: permit.Connections(t.Target, t.held),
			Draining:    t.drained || t.health.ReportedDraining(in.now),
			Ejected:     t.health.Ejected(), Down: t.health.ReportedDown(in.now),
			LatencyMicros: t.health.Latency().Microseconds(),
		}
		status.Permits += ts.Permits
		status.Limit += ts.Limit
		status.Running += ts.Running
		status.Targets = append(status.Targets, ts)
	}
	for _, s := range p.shifts {
		status.Shifts = append(status.Shifts, ShiftStatus{
			Shift: s.Shift, Seen: s.seen, Shifted: s.shifted, Evacuated: s.evacuated,
			RampPercent: float64(s.ramp) * 100 / rampFull,
		})
	}
	return status
}
