// Package ingress carries callers' requests to targets that are found at run
// time. Each request is admitted, placed by the object that it concerns, sent to
// one target at a time and answered once; one log line tells what was decided.
package ingress

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"golang.org/x/sync/singleflight"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/forward"
	"crocusramp.dev/crocusramp/pkg/limit"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/outcome"
	"crocusramp.dev/crocusramp/pkg/placement"
	"crocusramp.dev/crocusramp/pkg/quarantine"
	"crocusramp.dev/crocusramp/pkg/retry"
	"crocusramp.dev/crocusramp/pkg/route"
	"crocusramp.dev/crocusramp/pkg/target"
)

const (
	// maxPatience bounds a request whose caller names no deadline.
	maxPatience = 5 * time.Minute
	// notReadyRetry is when a caller may come back to a VM that has just started.
	notReadyRetry = 300 * time.Millisecond
	// stoppingRetry is when a caller may come back to another VM.
	stoppingRetry = 10 * time.Millisecond
)

// State is the configuration in force with what is derived from it. It is
// immutable.
type State struct {
	*config.Config
	Routes *route.Table
	splits map[string]*splitter
	// urgencies are those of the requests to each pool, the most urgent first.
	urgencies map[string][]urgency
}

// NewState derives what requests need from a configuration. The counts of split
// routes go on from the state before.
func NewState(c *config.Config, before *State) *State {
	s := &State{Config: c, Routes: route.NewTable(c), splits: map[string]*splitter{}, urgencies: urgenciesOf(c)}
	for name, r := range c.Routes {
		if len(r.Split) == 0 {
			continue
		}
		if before != nil && before.splits[name] != nil && before.splits[name].same(r.Split) {
			s.splits[name] = before.splits[name]
			continue
		}
		s.splits[name] = newSplitter(r.Split)
	}
	return s
}

// Fleet says what this VM may use of bounds that hold for all VMs together.
type Fleet interface {
	// ColdInterval is the time between two requests that this VM may send to a
	// cold target; ok is false where it may send none.
	ColdInterval(l *target.Live, rate float64) (interval time.Duration, ok bool)
	// RepeatLimit bounds the repeats to a pool.
	RepeatLimit() retry.PoolLimit
}

// TargetLimiter admits requests to targets that name a limit, within the limit over all VMs.
type TargetLimiter interface {
	// Admit counts one request. It may ask another VM, and leaves spare, a part of what may be
	// saved up of the limit, to more urgent requests.
	Admit(ctx context.Context, l *target.Live, named target.Limit, spare float64) limit.Decision
	// AdmitLocally does so without asking another VM.
	AdmitLocally(l *target.Live, named target.Limit, spare float64) limit.Decision
}

// Suspects knows, over all VMs, the requests that targets ran when they died.
type Suspects interface {
	// Report takes in a death that this VM saw. It reports whether it makes the request suspect.
	Report(f quarantine.Fingerprint, d quarantine.Death) bool
	// Try reports whether a request on probation may be sent now, as the only one of all VMs.
	Try(ctx context.Context, f quarantine.Fingerprint) bool
	// Acquit is told that a target answered a suspect.
	Acquit(f quarantine.Fingerprint)
}

// Config holds what a Server works with.
type Config struct {
	Wire   Wire
	Region string
	// State returns the configuration in force, or nil before the first.
	State func() *State
	// Known is closed once a configuration, the targets and the VMs are known; nil says
	// that they are.
	Known   <-chan struct{}
	Targets *target.Registry
	// Parts says in which regions the requests to a pool run.
	Parts   func(pool string) []placement.Part
	Limiter limit.Limiter
	// TargetLimiter bounds the requests to targets that name a limit.
	TargetLimiter TargetLimiter
	Fleet         Fleet
	// Quarantine judges requests; Suspects reports to it.
	Quarantine *quarantine.List
	Suspects   Suspects
	// IdleSince is since when no process of this VM but this one has sent requests; 0 where
	// none ran before.
	IdleSince clock.Time
	Client    *forward.Client
	Clock     clock.Clock
	Log       zerolog.Logger
	Metrics   metrics.Registry
	Latency   func(time.Duration)
	Tracer    trace.Tracer
}

// Server answers callers' requests.
type Server struct {
	cfg      Config
	budget   *retry.PoolBudget
	demand   *demand
	spill    *spill
	counters counters
	inflight *inflight
	// ends finds out once for all requests at a target whether its process has ended.
	ends    singleflight.Group
	started time.Time
	// refuseAt, once set, is when a VM that stops begins to refuse new requests.
	refuseAt atomic.Pointer[time.Time]
}

type counters struct {
	requests, answered, refused, failed, sheds, held metrics.Counter
	// repeats counts repeats, repeatsFree those among them that cost the budget nothing, and
	// repeatsDenied those for which no budget was left.
	repeats, repeatsFree, repeatsDenied metrics.Counter
	// limits counts the changes of targets' limits that answers told, passedOver how often a
	// target was passed over for its limit.
	limits, passedOver metrics.Counter
	// ends counts the targets that ended while they ran requests, quarantined the requests that
	// were kept back, and trials those that were sent on probation.
	ends, quarantined, trials metrics.Counter
	// leaving counts the targets that said they leave, backoffs the times in which one wanted nothing.
	leaving, backoffs metrics.Counter
}

// NewServer returns a Server.
func NewServer(c Config) *Server {
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Latency == nil {
		c.Latency = func(time.Duration) {}
	}
	if c.Tracer == nil {
		c.Tracer = noop.NewTracerProvider().Tracer("ingress")
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("ingress."+name, c.Metrics) }
	return &Server{cfg: c, started: time.Now(), budget: retry.NewPoolBudget(c.IdleSince), demand: newDemand(), spill: &spill{}, inflight: newInflight(), counters: counters{
		requests: counter("requests"), answered: counter("answered"), refused: counter("refused"),
		failed: counter("failed"), sheds: counter("sheds"), held: counter("held"),
		repeats: counter("repeats"), repeatsFree: counter("repeats_free"), repeatsDenied: counter("repeats_denied"),
		limits: counter("target_limit_changes"), passedOver: counter("limited_targets_passed_over"),
		ends: counter("target_ends"), quarantined: counter("quarantined"), trials: counter("trials"),
		leaving: counter("targets_leaving"), backoffs: counter("target_backoffs"),
	}}
}

// Demand returns how many slots the requests to each pool need, those apart that may run
// in one region only.
func (s *Server) Demand() []member.PoolLoad { return s.demand.loads(time.Now()) }

// Requests is how many requests have come.
func (s *Server) Requests() int64 { return s.counters.requests.Count() }

// Running is how many requests are being served.
func (s *Server) Running() int { return s.inflight.count() }

// Stop makes every answer from now on the last one of its connection. Requests that come at
// refuseAt or later are refused; those that run go on.
func (s *Server) Stop(refuseAt time.Time) { s.refuseAt.Store(&refuseAt) }

// stopping reports whether Stop was called.
func (s *Server) stopping() bool { return s.refuseAt.Load() != nil }

// refuses reports whether requests that come now are refused, as this VM stops.
func (s *Server) refuses() bool {
	at := s.refuseAt.Load()
	return at != nil && !time.Now().Before(*at)
}

// Abandon ends the work on every request that runs: each gets its final answer at once. An
// answer that is being delivered goes on.
func (s *Server) Abandon() {
	for _, c := range s.inflight.list() {
		c.abandon()
	}
}

// traceContext carries traces between hops in the W3C format.
var traceContext = propagation.TraceContext{}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.counters.requests.Inc(1)
	c := &call{s: s, w: w, r: r, arrived: time.Now(), info: s.cfg.Wire.Caller(r.Header)}
	ctx, cancel := context.WithCancelCause(traceContext.Extract(context.WithoutCancel(r.Context()), propagation.HeaderCarrier(r.Header)))
	defer cancel(nil)
	c.cancel = cancel
	defer context.AfterFunc(r.Context(), c.callerLeft)()
	ctx, span := s.cfg.Tracer.Start(ctx, "ingress.request", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	c.progress.enter(stageAdmission, "")
	s.inflight.add(c)
	defer s.inflight.remove(c)
	a := s.serve(ctx, c)
	span.SetAttributes(attribute.String("request.id", c.info.ID), attribute.Int("status", a.status))
	c.deliver(ctx, a)
	s.cfg.Latency(time.Since(c.arrived))
}

// serve decides on a request and runs it.
func (s *Server) serve(ctx context.Context, c *call) *answer {
	if a := c.admit(ctx); a != nil {
		return a
	}
	if a := c.readBody(ctx); a != nil {
		return a
	}
	if c.s.refuses() { // its last byte came too late to be sure of the answer
		return c.refuseStopping()
	}
	deadline := c.arrived.Add(c.patience())
	c.timer = time.AfterFunc(time.Until(deadline), func() { c.cancel(context.DeadlineExceeded) })
	return c.run(ctx)
}

// admit finds the route and the client account and counts the request.
func (c *call) admit(ctx context.Context) *answer {
	if c.s.refuses() {
		return c.refuseStopping()
	}
	c.state = c.awaitState(ctx)
	if c.state == nil {
		return refuse(http.StatusServiceUnavailable, outcome.ReasonNotReady, notReadyRetry, "no configuration is known yet")
	}
	if limit := c.state.CallerLimits.MaxHeaderBytes; limit > 0 && headerBytes(c.r) > limit {
		return refuse(http.StatusRequestHeaderFieldsTooLarge, outcome.ReasonTooLarge, 0, "the header is longer than the limit")
	}
	c.route = c.state.Routes.Find(c.r.Host, c.r.URL.Path)
	if c.route == nil {
		return refuse(http.StatusNotFound, outcome.ReasonNoRoute, 0, "no route matches host and path")
	}
	if key := c.state.Keys[c.info.KeyID]; key != nil {
		c.account = c.state.Accounts[key.Account]
	}
	if c.account == nil && !c.route.Open && len(c.state.Accounts) > 0 {
		return refuse(http.StatusUnauthorized, outcome.ReasonUnauthenticated, 0, "the key is missing or unknown")
	}
	c.pool = c.route.Pool
	if split := c.state.splits[c.route.Name]; split != nil {
		c.pool = split.choose(c.hash())
	}
	c.s.budget.Count(c.pool, c.s.cfg.Fleet.RepeatLimit(), c.s.cfg.Clock.Now())
	if a := c.keepBack(ctx); a != nil { // before it counts against the account's rate
		return a
	}
	if c.account != nil && c.account.Rate > 0 {
		if d := c.admitAccount(ctx, c.account.Name); !d.Admitted {
			return refuse(http.StatusTooManyRequests, outcome.ReasonRateLimited, d.RetryAfter, "the client account is over its rate")
		}
	}
	c.s.demand.count(c.demandKey(), c.arrived)
	c.s.spill.count(c.arrived)
	return nil
}
