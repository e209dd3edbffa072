// Package edge wires one VM on a platform that holds the configuration and the
// list of targets: it follows both, keeps in touch with the other VMs, answers
// which VMs to use and carries callers' requests.
package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/control"
	"crocusramp.dev/crocusramp/pkg/forward"
	"crocusramp.dev/crocusramp/pkg/ingress"
	"crocusramp.dev/crocusramp/pkg/limit"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/peer"
	"crocusramp.dev/crocusramp/pkg/quarantine"
	"crocusramp.dev/crocusramp/pkg/settings"
	"crocusramp.dev/crocusramp/pkg/target"
	"crocusramp.dev/crocusramp/pkg/telemetry"
	"crocusramp.dev/crocusramp/platform"
)

const (
	// fleetTable holds a row for each VM, and one for each request with which several targets died.
	fleetTable = "crocusramp_vms"
	// storeShare is how many VMs the store's rates are divided among.
	storeShare = 128
	// listPeriod is how often heartbeats take over the registered VMs, which are
	// held in memory.
	listPeriod = 250 * time.Millisecond
	// maxProbePeriod is the longest time between two heartbeats to a VM. Look-ups must
	// not name a dead one 6 s after its end.
	maxProbePeriod = 2500 * time.Millisecond
	// locateTTL is how long callers may keep a look-up: long enough that look-ups are
	// few beside requests, short enough that a stop has drained by then.
	locateTTL = 2 * time.Second
	// targetDialTimeout covers three round trips between the farthest regions.
	targetDialTimeout = 350 * time.Millisecond
	// targetUnacknowledged is how long a target may leave bytes unacknowledged
	// before it counts as unreachable.
	targetUnacknowledged = 900 * time.Millisecond
	// targetBuffer is the buffer of a connection to a target. There may be
	// hundreds, mostly idle.
	targetBuffer = 4 << 10
	// targetIdle is how long a connection to a target is kept where the target
	// does not say for how long it is.
	targetIdle = 4 * time.Second
	// targetSweep is how often idle connections to targets are looked through.
	targetSweep = 2 * time.Second
	// freshIdle is how long a connection may have been idle that carries a
	// request which must not run twice.
	freshIdle = 3 * time.Second
	// callersIdle bounds idle connections until a configuration is known.
	callersIdle = 75 * time.Second
	// headerTimeout bounds the time in which a caller sends its header.
	headerTimeout = 10 * time.Second
	// maxListeners is how many listeners a VM has.
	maxListeners = 6
	// gcPercent trades processor time for memory, which is dearer.
	gcPercent = 40
)

// Daemon is one VM.
type Daemon struct {
	settings atomic.Pointer[settings.Edge]
	path     string
	log      zerolog.Logger
	metrics  metrics.Registry
	latency  *telemetry.Histogram
	clock    clock.Clock

	loop    *control.Loop
	dialer  *peer.Dialer
	store   *platform.Store
	fleet   *registry
	members *member.Prober
	limiter *limit.Service
	targets *target.Registry
	// targetLimits divides the limits that targets name.
	targetLimits *targetLimits
	quarantine   *quarantine.List
	suspects     *suspects
	// observed are the limits that heartbeats report.
	observed atomic.Pointer[[]member.TargetLimit]
	client   *forward.Client
	ingress  *ingress.Server
	state    atomic.Pointer[ingress.State]
	// known is closed when the first configuration, list of targets and list of VMs have
	// been read.
	known     chan struct{}
	knownOnce sync.Once
	// targetsRead and fleetRead say that these lists have been read.
	targetsRead, fleetRead atomic.Bool
	parts                  atomic.Pointer[parts]
	self                   member.Peer
	regions                []string
	// shutdownTracer sends the spans that wait for the collector.
	shutdownTracer func(context.Context) error

	vms     map[string]Registration // owned by the fleet table's watcher
	leaving atomic.Bool
	servers []*http.Server
	callers *http.Server
	failed  chan error // of the listeners
	conns   *callerConns
	// listKnown is the store's version up to which the list of targets is known,
	// listNewest the version of its newest change.
	listKnown, listNewest atomic.Int64
}

// New builds a VM's parts; Run starts them.
func New(ctx context.Context, path string, s *settings.Edge, log zerolog.Logger) (*Daemon, error) {
	d := &Daemon{
		path: path, log: log, metrics: metrics.NewRegistry(), latency: telemetry.NewHistogram(), clock: clock.System{},
		loop: control.NewLoop(), vms: map[string]Registration{}, conns: newCallerConns(), known: make(chan struct{}),
		failed: make(chan error, maxListeners),
	}
	d.settings.Store(s)
	d.regions = regionNames(s.FailureDomains)
	tracer, flush, err := telemetry.NewTracer(ctx, telemetry.TraceConfig{
		Endpoint: s.Traces.Endpoint, SamplePercent: s.Traces.SamplePercent, VM: s.VM.ID,
	})
	if err != nil {
		return nil, fmt.Errorf("%w: traces.endpoint: %w", settings.ErrInvalid, err)
	}
	d.shutdownTracer = flush
	d.self = member.Peer{
		ID: s.VM.ID, Incarnation: uuid.NewString(), Region: s.VM.Region, FailureDomain: s.VM.FailureDomain,
		PeerAddress: s.Listen.Peers, CallerAddress: s.Listen.Callers,
	}
	d.buildControl()
	d.buildTraffic(tracer)
	return d, nil
}

// buildControl builds what follows the platform and the other VMs.
func (d *Daemon) buildControl() {
	s := d.settings.Load()
	d.store = platform.NewStore(platform.StoreConfig{
		Address: s.Store.Address, ReadsPerSecond: s.Store.ReadsPerSecond / storeShare,
		WritesPerSecond: s.Store.WritesPerSecond / storeShare, Metrics: d.metrics,
	})
	d.dialer = peer.NewDialer(nil)
	d.fleet = newRegistry(Registration{ID: s.VM.ID, PeerAddress: s.Listen.Peers}, d.clock.Now(), s.FirstStart, &d.settings)
	d.members = member.NewProber(member.Config{
		Self: d.self, Directory: d.fleet, Dialer: d.dialer, Loop: d.loop, Clock: d.clock, Log: d.log,
		Local: d.describe, ListPeriod: listPeriod, MaxProbePeriod: maxProbePeriod,
	})
	d.limiter = limit.NewService(limit.Config{
		Config: d, Slots: d.fleet, Members: d.members, Peers: d.dialer, Clock: d.clock, Loop: d.loop, Log: d.log, Metrics: d.metrics,
		StartTokens: d.fleet.startTokens,
	})
	d.quarantine = quarantine.NewList(quarantine.Config{
		Size: maxSuspects, Memory: suspectMemory, Duration: quarantineTime, Backoff: quarantineBackoff, MaxTrials: maxTrials, Answered: maxAnswered, Clock: d.clock,
	})
	d.suspects = newSuspects(d)
	d.targets = target.NewRegistry(s.FailureDomains, time.Now())
	d.targetLimits = newTargetLimits()
	d.targetLimits.service = limit.NewService(limit.Config{
		Config: d.targetLimits, Slots: allLent{d.fleet}, Members: d.members, Peers: d.dialer, Clock: d.clock, Loop: d.loop, Log: d.log, Metrics: d.metrics,
		Name: limiterName, Near: d.targetLimits.near, Eager: true,
	})
}

// buildTraffic builds what a request passes.
func (d *Daemon) buildTraffic(tracer trace.Tracer) {
	d.client = forward.NewClient(forward.Config{
		DialTimeout: targetDialTimeout, IdleTimeout: targetIdle, FreshIdle: freshIdle, BufferBytes: targetBuffer,
		EchoHeader: platform.Headers{}.EchoHeader(), SkipCrossed: true, AllowUnframed: true,
		Dial: forward.WatchfulDialer(targetDialTimeout, targetUnacknowledged).DialContext,
	})
	d.ingress = ingress.NewServer(ingress.Config{
		Wire: platform.Headers{}, Region: d.self.Region, State: d.state.Load, Known: d.known, Targets: d.targets, Parts: d.partsOf, Limiter: d.limiter,
		TargetLimiter: d.targetLimits, Fleet: d.fleet, Quarantine: d.quarantine, Suspects: d.suspects, IdleSince: d.idleSince(), Client: d.client, Clock: d.clock, Log: d.log, Metrics: d.metrics, Tracer: tracer,
		Latency: func(t time.Duration) { d.latency.Record(t.Microseconds()) },
	})
	d.latency.RegisterQuantiles("ingress.latency", d.metrics)
}

// idleSince is since when no other process of this VM has run; 0 where it is the first.
func (d *Daemon) idleSince() clock.Time {
	if d.settings.Load().FirstStart {
		return 0
	}
	return d.fleet.started
}

// describe completes what heartbeats say of this VM.
func (d *Daemon) describe(p *member.Peer) {
	if !d.ready() {
		p.State = member.Leaving
	}
	if s := d.state.Load(); s != nil {
		p.ConfigVersion = s.Version
	}
	p.ListVersion = d.listNewest.Load()
	p.Pools = append(p.Pools, d.ingress.Demand()...)
	if l := d.observed.Load(); l != nil {
		p.Limits = *l
	}
	if c := d.suspects.reported.Load(); c != nil {
		p.Suspects = *c
	}
}

// limiters are the services that divide bounds among the VMs.
func (d *Daemon) limiters() []*limit.Service {
	return []*limit.Service{d.limiter, d.targetLimits.service}
}

// ready reports whether this VM takes callers.
func (d *Daemon) ready() bool { return !d.leaving.Load() && d.state.Load() != nil }

// empty is in force until a configuration is known.
var empty = config.Empty()

// Snapshot implements config.Source.
func (d *Daemon) Snapshot() config.Snapshot {
	if s := d.state.Load(); s != nil {
		return config.Snapshot{Config: s.Config, Fresh: true}
	}
	return config.Snapshot{Config: empty}
}

// Run serves until ctx ends or a listener fails, then stops gracefully.
func (d *Daemon) Run(ctx context.Context, reload <-chan struct{}) error {
	debug.SetGCPercent(gcPercent)
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := d.listen(); err != nil {
		return err
	}
	go d.loop.Run(background)
	d.members.Start(background)
	for _, l := range d.limiters() {
		l.Start(background)
	}
	d.follow(background)
	d.loop.Go(background, d.probeSuspects)
	d.loop.Go(background, d.balance)
	d.loop.Go(background, d.sweepFleet)
	d.loop.Go(background, d.suspects.keep)
	d.loop.Go(background, d.closeIdle)
	d.loop.Go(background, func(ctx context.Context) { every(ctx, targetSweep, d.client.Sweep) })
	d.loop.Go(background, func(ctx context.Context) { d.watchSettings(ctx, reload) })
	s := d.settings.Load()
	d.log.Info().Str("incarnation", d.self.Incarnation).Str("callers", s.Listen.Callers).Str("peers", s.Listen.Peers).
		Str("store", s.Store.Address).Bool("first_start", s.FirstStart).Msg("started")
	var err error
	select {
	case <-ctx.Done():
	case err = <-d.failed:
		d.log.Error().Err(err).Msg("a listener failed")
	}
	d.stop()
	d.log.Info().Int("running", d.ingress.Running()).Msg("stopped")
	return err
}

// listen binds every listener before any of them serves.
func (d *Daemon) listen() error {
	s := d.settings.Load()
	peers := http.NewServeMux()
	for _, service := range []func() (string, http.Handler){d.members.Handler, d.limiter.Handler, d.targetLimits.service.Handler, d.suspects.reports.Handler} {
		prefix, handler := service()
		peers.Handle(prefix, handler)
	}
	inspect := http.NewServeMux()
	inspect.Handle("GET /metrics", telemetry.Handler(d.metrics, map[string]*telemetry.Histogram{"ingress.latency": d.latency}))
	find := func(_, region, _ string) []string { return locate(d.members.View(), region) }
	ttl := func() time.Duration { return min(locateTTL, d.settings.Load().Bounds.LocateTTL.Duration) }
	for _, l := range []struct {
		address string
		handler http.Handler
	}{
		{s.Listen.Peers, peers},
		{s.Listen.Locate, platform.ResolveHandler(find, ttl, d.log)},
		{s.Listen.Ready, platform.ReadyHandler(d.ready)},
		{s.Listen.Callers, d.ingress},
		{s.Listen.Metrics, inspect},
		{s.Listen.Operators, d.operatorsHandler()},
	} {
		if l.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		server := &http.Server{Handler: l.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callersIdle}
		if l.address == s.Listen.Callers {
			server.ConnState, server.ConnContext = d.conns.track, ingress.ConnContext
			d.callers = server
		} else {
			d.servers = append(d.servers, server)
		}
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				d.failed <- err
			}
		}()
	}
	return nil
}
