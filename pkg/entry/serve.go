package entry

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"crocusramp.dev/crocusramp/pkg/dispatch"
	"crocusramp.dev/crocusramp/pkg/outcome"
	"crocusramp.dev/crocusramp/pkg/retry"
)

// maxAttempts bounds how often a request is granted a place, whatever the
// retry budget says.
const maxAttempts = 4

// traceContext carries traces between hops in the W3C format.
var traceContext = propagation.TraceContext{}

// serve answers one request of a caller.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	c := s.newCall(w, r)
	if !s.running.enter() {
		s.identify(c)
		s.refuse(w, r, c.shownID, s.truthful(c, stopping()))
		return
	}
	defer s.running.leave()
	if !s.ready.Load() {
		s.refuse(w, r, c.shownID, notReady())
		return
	}
	s.meters.requests.Inc(1)
	s.budget.Count(s.config.Clock.Now())
	defer s.meters.finished(arrived)
	ctx := traceContext.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := s.config.Tracer.Start(ctx, "entry.request", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	if refusal := s.prepare(ctx, c, arrived); refusal != nil {
		refusal = s.truthful(c, refusal)
		s.refuse(w, r, c.shownID, refusal)
		return
	}
	span.SetAttributes(attribute.String("request.id", c.id), attribute.String("route", c.route.Name))
	c.body = newBody(w, r, s.config.Limits.MaxBodyBytes)
	if c.body != nil && c.watch != nil {
		c.body.check = c.watch.check
	}
	s.answer(ctx, c)
}

// answer runs the call and delivers what came of it.
func (s *Server) answer(ctx context.Context, c *call) {
	if c.key != "" {
		// The answer is recorded for the caller's next sending, so the request
		// goes on when the caller is gone.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	defer context.AfterFunc(s.abandoned, cancel)()
	c.body.limit(c.deadline)
	run := s.run
	if c.key != "" {
		run = s.runOnce
	}
	a := run(ctx, c)
	if a.refusal != nil && ctx.Err() != nil && s.abandoned.Err() != nil {
		a.refusal = outlasted(a.refusal)
	}
	s.deliver(c, a)
}

// run sends the call until it has an answer that may go to the caller.
func (s *Server) run(ctx context.Context, c *call) *answer {
	// ran is the last attempt that a target may have run.
	var ran *answer
	for attempt := 1; ; attempt++ {
		a := s.try(ctx, c)
		if a.refusal == nil {
			if a.stream == nil {
				s.clear(c)
			}
			return a
		}
		if a.refusal.Outcome != outcome.NotRun {
			ran = a
		}
		if attempt == maxAttempts || !s.mayRetry(ctx, c, a) {
			return certain(ran, a)
		}
		s.meters.retries.Inc(1)
	}
}

// certain returns the last attempt's answer, unless that says "not run" of a
// request that an earlier attempt may have run.
func certain(ran, last *answer) *answer {
	if ran != nil && last.refusal.Outcome == outcome.NotRun {
		return ran
	}
	return last
}

// try makes one attempt.
func (s *Server) try(ctx context.Context, c *call) *answer {
	if refusal := s.checkQuarantine(c); refusal != nil {
		return &answer{refusal: refusal}
	}
	grant, refusal := s.config.Dispatcher.Acquire(ctx, s.dispatchRequest(c))
	if refusal != nil {
		return &answer{refusal: refusal}
	}
	a := s.attempt(ctx, c, grant)
	if a.death != "" {
		s.noteDeath(c, a)
	}
	return a
}

// mayRetry reports whether the call may be sent again after a.
func (s *Server) mayRetry(ctx context.Context, c *call, a *answer) bool {
	if ctx.Err() != nil || !c.body.replayable() {
		return false
	}
	d := retry.Decide(c.route.Mode, retry.Failure{Outcome: a.refusal.Outcome, Transient: a.transient, Shed: a.shed})
	if !d.Charged {
		return d.Retry
	}
	// The VM that admitted the request pays for its retries.
	return !c.handedOver && s.budget.Take(s.config.Clock.Now())
}

func (s *Server) dispatchRequest(c *call) *dispatch.Request {
	r := &dispatch.Request{
		ID:         c.id,
		Account:    c.accountName(),
		Route:      c.route,
		Deadline:   c.deadline,
		HandedOver: c.handedOver,
		Tried:      c.tried,
	}
	if c.account != nil {
		r.Weight = c.account.Weight
	}
	return r
}

// attempt sends the call to the place that was granted.
func (s *Server) attempt(ctx context.Context, c *call, g *dispatch.Grant) *answer {
	if g.Peer != nil {
		return s.sendToPeer(ctx, c, g)
	}
	return s.sendToTarget(ctx, c, g)
}
