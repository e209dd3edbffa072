package entry

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"crocusramp.dev/crocusramp/pkg/conntrack"
	"crocusramp.dev/crocusramp/pkg/dispatch"
	"crocusramp.dev/crocusramp/pkg/outcome"
	"crocusramp.dev/crocusramp/pkg/retry"
)

// maxAttempts bounds the attempts for one request, even if the retry budget allows
// more.
const maxAttempts = 4

// traceContext propagates traces between hops in the W3C format.
var traceContext = propagation.TraceContext{}

// serve handles one request of a caller.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	c := s.newCall(w, r)
	if !s.inFlight.begin() {
		s.identify(c)
		s.refuse(w, r, c.responseID, s.correctOutcome(c, stoppingRefusal()))
		return
	}
	defer s.inFlight.end()
	if !s.ready.Load() {
		s.refuse(w, r, c.responseID, notReadyRefusal())
		return
	}
	s.meters.requests.Inc(1)
	s.retryBudget.Count(s.config.Clock.Now())
	defer s.meters.recordLatency(arrived)
	ctx := traceContext.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := s.config.Tracer.Start(ctx, "entry.request", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	c.memory = s.config.Capacity.NewUse()
	defer c.memory.Release()
	if !c.memory.TakeHeader(conntrack.Of(r.Context()).HeaderMemory()) {
		s.refuse(w, r, c.responseID, overloadedRefusal())
		return
	}
	if refusal := s.prepare(ctx, c, arrived); refusal != nil {
		refusal = s.correctOutcome(c, refusal)
		s.refuse(w, r, c.responseID, refusal)
		return
	}
	span.SetAttributes(attribute.String("request.id", c.id), attribute.String("route", c.route.Name))
	c.body = newBody(w, r, s.config.Limits.MaxBodyBytes, c.memory)
	if c.body != nil && c.watch != nil {
		c.body.check = c.watch.check
	}
	s.runAndDeliver(ctx, c)
}

// runAndDeliver runs the call and delivers the resulting answer.
func (s *Server) runAndDeliver(ctx context.Context, c *call) {
	if c.key != "" {
		// The answer is recorded for retries by the caller, so the request
		// continues after the caller has disconnected.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	defer context.AfterFunc(s.abortCtx, cancel)()
	c.body.setReadDeadline(c.deadline)
	run := s.runWithRetries
	if c.key != "" {
		run = s.runAtMostOnce
	}
	a := run(ctx, c)
	if a.refusal != nil && ctx.Err() != nil && s.abortCtx.Err() != nil {
		a.refusal = abortedByShutdown(a.refusal)
	}
	s.deliver(c, a)
}

// runWithRetries attempts the call until it has an answer or may not be retried.
func (s *Server) runWithRetries(ctx context.Context, c *call) *answer {
	// mayHaveRun is the answer of the last attempt that a target may have run.
	var mayHaveRun *answer
	for attempt := 1; ; attempt++ {
		a := s.attempt(ctx, c)
		if a.refusal == nil {
			if a.stream == nil {
				s.clearSuspect(c)
			}
			return a
		}
		if a.refusal.Outcome != outcome.NotRun {
			mayHaveRun = a
		}
		if attempt == maxAttempts || !s.mayRetry(ctx, c, a) {
			return finalAnswer(mayHaveRun, a)
		}
		s.meters.retries.Inc(1)
	}
}

// finalAnswer returns the answer of the last attempt. If the outcome of that answer is
// "not run", but an earlier attempt may have run the request, finalAnswer returns the
// answer of that attempt.
func finalAnswer(mayHaveRun, last *answer) *answer {
	if mayHaveRun != nil && last.refusal.Outcome == outcome.NotRun {
		return mayHaveRun
	}
	return last
}

// attempt acquires a grant for the call and sends it once.
func (s *Server) attempt(ctx context.Context, c *call) *answer {
	if refusal := s.checkQuarantine(c); refusal != nil {
		return &answer{refusal: refusal}
	}
	grant, refusal := s.config.Dispatcher.Acquire(ctx, s.dispatchRequest(c))
	if refusal != nil {
		return &answer{refusal: refusal}
	}
	a := s.sendGranted(ctx, c, grant)
	if a.deathID != "" {
		s.recordDeath(c, a)
	}
	return a
}

// mayRetry reports whether the call may be retried after the answer a.
func (s *Server) mayRetry(ctx context.Context, c *call, a *answer) bool {
	if ctx.Err() != nil || !c.body.replayable() {
		return false
	}
	d := retry.Decide(c.route.Mode, retry.Failure{Outcome: a.refusal.Outcome, Transient: a.transient, Shed: a.shed})
	if !d.Charged {
		return d.Retry
	}
	// Retries are charged to the budget of the VM that admitted the request.
	return !c.handedOver && s.retryBudget.Take(s.config.Clock.Now())
}

func (s *Server) dispatchRequest(c *call) *dispatch.Request {
	r := &dispatch.Request{
		ID:           c.id,
		Account:      c.accountName(),
		Route:        c.route,
		Deadline:     c.deadline,
		HandedOver:   c.handedOver,
		TriedTargets: c.triedTargets,
	}
	if c.account != nil {
		r.Weight = c.account.Weight
	}
	return r
}

// sendGranted sends the call to the target or peer that was granted.
func (s *Server) sendGranted(ctx context.Context, c *call, g *dispatch.Grant) *answer {
	if g.Peer != nil {
		return s.sendToPeer(ctx, c, g)
	}
	return s.sendToTarget(ctx, c, g)
}
