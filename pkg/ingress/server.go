// Package ingress forwards callers' requests to targets that are discovered at run time. Each
// request is admitted, placed by the object that it concerns, sent to one target at a time and
// answered once. One log line per request records the decisions.
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

	"crocusramp.dev/crocusramp/pkg/capacity"
	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/limit"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/outcome"
	"crocusramp.dev/crocusramp/pkg/placement"
	"crocusramp.dev/crocusramp/pkg/quarantine"
	"crocusramp.dev/crocusramp/pkg/reach"
	"crocusramp.dev/crocusramp/pkg/retry"
	"crocusramp.dev/crocusramp/pkg/route"
	"crocusramp.dev/crocusramp/pkg/target"
)

const (
	// maxTimeout bounds a request whose caller names no deadline.
	maxTimeout = 5 * time.Minute
	// notReadyRetry is the retry time for callers of a VM that has just started.
	notReadyRetry = 300 * time.Millisecond
	// stoppingRetry is the retry time for callers that should turn to another VM.
	stoppingRetry = 10 * time.Millisecond
)

// State is the configuration in force and what is derived from it. It is immutable except for the
// counters of split routes.
type State struct {
	*config.Config
	Routes *route.Table
	splits map[string]*splitter
	// urgencies lists, for each pool, the urgencies that its requests can have, the most urgent
	// first.
	urgencies map[string][]urgency
}

// NewState derives what requests need from a configuration. Split routes whose parts are unchanged
// keep the counters of the previous state, which may be nil.
func NewState(c *config.Config, previous *State) *State {
	s := &State{Config: c, Routes: route.NewTable(c), splits: map[string]*splitter{}, urgencies: urgenciesOf(c)}
	for name, r := range c.Routes {
		if len(r.Split) == 0 {
			continue
		}
		if previous != nil && previous.splits[name] != nil && previous.splits[name].sameParts(r.Split) {
			s.splits[name] = previous.splits[name]
			continue
		}
		s.splits[name] = newSplitter(r.Split)
	}
	return s
}

// Fleet provides this VM's share of the bounds that apply to all VMs together.
type Fleet interface {
	// ColdInterval returns the minimum time between two requests from this VM to a cold target. ok
	// is false if the VM may send none.
	ColdInterval(l *target.Live, rate float64) (interval time.Duration, ok bool)
	// RetryLimit returns the bound on the retries to a pool.
	RetryLimit() retry.PoolLimit
}

// TargetLimiter admits requests to targets that set a limit. A limit applies to all VMs together.
type TargetLimiter interface {
	// Admit takes one request from the limit and may ask another VM. It leaves reserve, a fraction
	// of the limit's token bucket, to more urgent requests.
	Admit(ctx context.Context, l *target.Live, targetLimit target.Limit, reserve float64) limit.Decision
	// AdmitLocally is like Admit but does not ask another VM.
	AdmitLocally(l *target.Live, targetLimit target.Limit, reserve float64) limit.Decision
}

// Suspects keeps, for all VMs together, the requests that targets were running when they died.
type Suspects interface {
	// Report records a death that this VM saw and returns whether it makes the request suspect.
	Report(f quarantine.Fingerprint, d quarantine.Death) bool
	// Try reports whether a request on probation may be sent now. If so, no other VM may send it at
	// the same time.
	Try(ctx context.Context, f quarantine.Fingerprint) bool
	// Clear records that a target answered a suspect request.
	Clear(f quarantine.Fingerprint)
}

// Config holds the dependencies and settings of a Server.
type Config struct {
	Wire   Wire
	Region string
	// State returns the configuration in force, or nil before the first.
	State func() *State
	// ConfigLag returns for how long another VM has had a newer configuration, 0 if none has. It is 0 if ConfigLag
	// is nil.
	ConfigLag func() time.Duration
	// Ready is closed once a configuration, the targets and the VMs are known. If it is nil, they
	// are known from the start.
	Ready   <-chan struct{}
	Targets *target.Registry
	// Shares returns where the requests to a pool run.
	Shares  func(pool string) placement.Shares
	Limiter limit.Limiter
	// Capacity bounds the memory of requests and responses. If it is nil, they are not bounded.
	Capacity *capacity.Plan
	// TargetLimiter bounds the requests to targets that set a limit.
	TargetLimiter TargetLimiter
	Fleet         Fleet
	// Quarantine decides which requests are refused; Suspects adds the deaths of targets to it.
	Quarantine *quarantine.List
	Suspects   Suspects
	// IdleSince is the time since which no earlier process of this VM has sent requests; 0 if there
	// was none.
	IdleSince clock.Time
	Client    *reach.Client
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
	spill    *spillLimiter
	counters counters
	inflight *inflight
	// exitChecks shares one check whether a target's process has exited among all requests at the
	// target.
	exitChecks singleflight.Group
	started    time.Time
	// refuseAt is nil until Stop is called. From then on it holds the time from which new requests
	// are refused.
	refuseAt atomic.Pointer[time.Time]
}

type counters struct {
	requests, answered, refused, failed, sheds, held metrics.Counter
	// retries counts retries, retriesFree those of them that cost no budget, and retriesDenied
	// those for which no budget was left.
	retries, retriesFree, retriesDenied metrics.Counter
	// limitChanges counts the limit changes that targets' responses reported, passedOver how often a
	// target was passed over because of its limit.
	limitChanges, passedOver metrics.Counter
	// targetExits counts the targets that exited while they ran requests, quarantined the requests
	// that were refused because they are quarantined, and trials those that were sent on probation.
	targetExits, quarantined, trials metrics.Counter
	// leaving counts the targets that announced that they are leaving, backoffs the backoffs that
	// targets asked for.
	leaving, backoffs metrics.Counter
	// failures counts the exchanges without a response by what they prove, interrupted those that ended because
	// their target was found to be unreachable on another connection, or this VM to be cut off.
	failures    map[evidence]metrics.Counter
	interrupted metrics.Counter
	// overloaded counts the requests that were refused because there was no memory for them, and evicted those of
	// them that were given up while their body arrived.
	overloaded, evicted metrics.Counter
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
	failures := map[evidence]metrics.Counter{}
	for _, e := range []evidence{noEvidence, connectionFailed, connectionRefused, targetSilent} {
		failures[e] = counter("failures." + e.String())
	}
	return &Server{cfg: c, started: time.Now(), budget: retry.NewPoolBudget(c.IdleSince), demand: newDemand(), spill: newSpillLimiter(), inflight: newInflight(), counters: counters{
		requests: counter("requests"), answered: counter("answered"), refused: counter("refused"),
		failed: counter("failed"), sheds: counter("sheds"), held: counter("held"),
		retries: counter("repeats"), retriesFree: counter("repeats_free"), retriesDenied: counter("repeats_denied"),
		limitChanges: counter("target_limit_changes"), passedOver: counter("limited_targets_passed_over"),
		targetExits: counter("target_ends"), quarantined: counter("quarantined"), trials: counter("trials"),
		leaving: counter("targets_leaving"), backoffs: counter("target_backoffs"),
		failures: failures, interrupted: counter("interrupted"),
		overloaded: counter("overloaded"), evicted: counter("bodies_evicted"),
	}}
}

// Demand returns how many slots the requests to each pool need. Requests that may run in only one
// region are listed separately.
func (s *Server) Demand() []member.PoolLoad { return s.demand.loads(time.Now()) }

// Requests returns the number of requests received.
func (s *Server) Requests() int64 { return s.counters.requests.Count() }

// Running returns the number of requests in flight.
func (s *Server) Running() int { return s.inflight.count() }

// Stop makes every answer from now on close its connection. Requests that arrive at refuseAt or
// later are refused; those in flight continue.
func (s *Server) Stop(refuseAt time.Time) { s.refuseAt.Store(&refuseAt) }

// stopping reports whether Stop was called.
func (s *Server) stopping() bool { return s.refuseAt.Load() != nil }

// refuses reports whether new requests are refused because this VM is stopping.
func (s *Server) refuses() bool {
	at := s.refuseAt.Load()
	return at != nil && !time.Now().Before(*at)
}

// Abandon cancels all requests in flight: each gets its final answer at once. An answer that is
// being delivered continues.
func (s *Server) Abandon() {
	for _, c := range s.inflight.list() {
		c.abandon()
	}
}

// traceContext propagates traces between hops in the W3C format.
var traceContext = propagation.TraceContext{}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.counters.requests.Inc(1)
	c := &call{s: s, w: w, r: r, arrived: time.Now(), info: s.cfg.Wire.Caller(r.Header), memory: s.cfg.Capacity.NewUse()}
	ctx, cancel := context.WithCancelCause(traceContext.Extract(context.WithoutCancel(r.Context()), propagation.HeaderCarrier(r.Header)))
	defer cancel(nil)
	c.cancel = cancel
	defer context.AfterFunc(r.Context(), c.callerLeft)()
	ctx, span := s.cfg.Tracer.Start(ctx, "ingress.request", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	c.progress.enter(stageAdmission, "")
	s.inflight.add(c)
	defer s.inflight.remove(c)
	defer c.memory.Release()
	a := s.serve(ctx, c)
	c.withholdPromise(a)
	span.SetAttributes(attribute.String("request.id", c.info.ID), attribute.Int("status", a.status))
	c.deliver(ctx, a)
	s.cfg.Latency(time.Since(c.arrived))
	c.discardBody(a)
}

// serve admits a request, runs it and returns the answer.
func (s *Server) serve(ctx context.Context, c *call) *answer {
	if a := c.admit(ctx); a != nil {
		return a
	}
	if a := c.readBody(ctx); a != nil {
		return a
	}
	if c.s.refuses() { // the body arrived too late for an answer before the stop
		return c.refuseStopping()
	}
	return c.run(ctx)
}

// admit finds the route and the client account and counts the request against the account's rate.
// It returns a refusal, or nil.
func (c *call) admit(ctx context.Context) *answer {
	if c.s.refuses() {
		return c.refuseStopping()
	}
	if !c.memory.TakeHeader(c.connection().HeaderMemory()) {
		return c.refuseOverloaded()
	}
	c.state = c.awaitState(ctx)
	if c.state == nil {
		return refuse(http.StatusServiceUnavailable, outcome.ReasonNotReady, notReadyRetry, "no configuration is known yet")
	}
	if limit := c.state.CallerLimits.MaxHeaderBytes; limit > 0 && headerBytes(c.r) > limit {
		return refuse(http.StatusRequestHeaderFieldsTooLarge, outcome.ReasonTooLarge, 0, "the header is longer than the limit")
	}
	c.route = c.state.Routes.Find(c.r.Host, c.r.URL.EscapedPath())
	if c.route == nil {
		return c.refuseUnknown(http.StatusNotFound, outcome.ReasonNoRoute, "no route matches host and path")
	}
	if key := c.state.Keys[c.info.KeyID]; key != nil {
		c.account = c.state.Accounts[key.Account]
	}
	if c.account == nil && len(c.state.Accounts) > 0 && (c.info.KeyID != "" || !c.route.Open) {
		return c.refuseUnknown(http.StatusUnauthorized, outcome.ReasonUnauthenticated, "the key is missing or unknown")
	}
	c.startTimer()
	c.pool = c.route.Pool
	if split := c.state.splits[c.route.Name]; split != nil {
		c.pool = split.choose(c.objectHash())
	}
	c.s.budget.Count(c.pool, c.s.cfg.Fleet.RetryLimit(), c.s.cfg.Clock.Now())
	if a := c.refuseIfQuarantined(ctx); a != nil { // before the request counts against the account's rate
		return a
	}
	if c.account != nil && c.account.Rate > 0 {
		if d := c.admitAccount(ctx, c.account.Name); !d.Admitted {
			return refuse(http.StatusTooManyRequests, outcome.ReasonRateLimited, d.RetryAfter, "the client account is over its rate")
		}
	}
	c.s.demand.countRequest(c.demandKey(), c.arrived)
	c.s.spill.countRequest(c.pool, c.arrived)
	return nil
}
