package dispatch

import (
	"net/http"
	"slices"
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/health"
	"crocusramp.dev/crocusramp/pkg/outcome"
)

// release takes in the end of a granted request.
func (p *pool) release(in inputs, l *lent, res Result) {
	if res.Outcome != outcome.Done && l.request.ID != "" {
		refusedBy := l.request.refusedBy
		if l.peer != nil {
			refusedBy = append(slices.Clone(refusedBy), l.peer.Incarnation)
		}
		p.retried.Add(l.request.ID, refusedBy)
	}
	if l.peer != nil {
		p.releasePeer(in.now, l, res)
		return
	}
	running := l.backend.running
	l.backend.put(l.slot)
	kind := classify(in.now, l.request, res)
	l.backend.health.RecordOutcome(in.now, health.Sample{
		Kind: kind, Latency: p.comparable(l.request.Route.Name, res.Latency), Running: running,
		PoolLatency: time.Duration(p.latency),
	})
	if kind == health.Good {
		p.observe(l.request.Route.Name, res.Latency)
	}
}

func (p *pool) releasePeer(now clock.Time, l *lent, res Result) {
	p.links.add(l.peer.Region, -1)
	s := p.peers.of(l.peer)
	running := s.running
	s.running = max(0, s.running-1)
	refused := res.Outcome == outcome.NotRun && !res.Canceled
	if refused {
		s.refused(now)
	} else if res.Outcome == outcome.Done {
		s.ran(running)
	}
	if l.shift != nil && !res.Canceled {
		latency := p.comparable(l.request.Route.Name, res.Latency-2*p.peers.cost(l.peer.Region))
		l.shift.observe(now, res.Outcome == outcome.Done && res.Status < http.StatusInternalServerError,
			latency, time.Duration(p.latency))
	}
}

// classify tells what the end of a request says of its target.
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
		return health.Neutral // a fault of the request as likely as of the target
	case res.Status != 0 && res.Outcome == outcome.Done:
		return health.Good
	case res.Status != 0:
		return health.Neutral // cut on the way, by the target or the caller
	case !now.Before(r.deadline):
		return health.Overloaded
	case res.Outcome == outcome.NotRun:
		return health.Refused
	}
	return health.Broken
}
