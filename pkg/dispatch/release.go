package dispatch

import (
	"net/http"
	"slices"
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/health"
	"crocusramp.dev/crocusramp/pkg/outcome"
)

// release ends an assignment: it returns the permit or counts the end of the hand-over,
// and records the result for health, latency, shifts and retries.
func (p *pool) release(in inputs, a *assignment, res Result) {
	if res.Outcome != outcome.Done && a.request.ID != "" {
		refusedBy := a.request.refusedBy
		if a.peer != nil {
			refusedBy = append(slices.Clone(refusedBy), a.peer.Incarnation)
		}
		p.retried.Add(a.request.ID, refusedBy)
	}
	if a.peer != nil {
		p.releasePeer(in.now, a, res)
		return
	}
	running := a.target.running
	a.target.returnPermit(a.slot)
	kind := classify(in.now, a.request, res)
	a.target.health.RecordOutcome(in.now, health.Sample{
		Kind: kind, Latency: p.normalizedLatency(a.request.Route.Name, res.Latency), Running: running,
		PoolLatency: time.Duration(p.latency),
	})
	if kind == health.Good {
		p.observeLatency(a.request.Route.Name, res.Latency)
	}
}

func (p *pool) releasePeer(now clock.Time, a *assignment, res Result) {
	p.links.add(a.peer.Region, -1)
	s := p.peers.stateOf(a.peer)
	running := s.running
	s.running = max(0, s.running-1)
	refused := res.Outcome == outcome.NotRun && !res.Canceled
	if refused {
		s.recordRefusal(now)
	} else if res.Outcome == outcome.Done {
		s.recordSuccess(running)
	}
	if a.shift != nil && !res.Canceled {
		latency := p.normalizedLatency(a.request.Route.Name, res.Latency-2*p.peers.cost(a.peer.Region))
		a.shift.observe(now, res.Outcome == outcome.Done && res.Status < http.StatusInternalServerError,
			latency, time.Duration(p.latency))
	}
}

// classify returns what the result of a request implies for the health of its target.
func classify(now clock.Time, r *request, res Result) health.Kind {
	switch {
	case res.Canceled:
		return health.Neutral
	case res.Shed:
		return health.Shed
	case res.Status == http.StatusServiceUnavailable, res.Status == http.StatusGatewayTimeout,
		res.Status == http.StatusTooManyRequests:
		return health.Overloaded
	case res.Status >= http.StatusInternalServerError:
		return health.Neutral // the request is as likely at fault as the target
	case res.Status != 0 && res.Outcome == outcome.Done:
		return health.Good
	case res.Status != 0:
		return health.Neutral // the response was cut off, by the target or by the caller
	case !now.Before(r.deadline):
		return health.Overloaded
	case res.Outcome == outcome.NotRun:
		return health.Refused
	}
	return health.Broken
}
