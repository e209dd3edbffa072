// Package edge runs the daemon of one VM on a platform that stores the configuration and
// the list of targets. It watches both, exchanges heartbeats with the other VMs, answers
// callers' look-ups of VMs and forwards callers' requests to targets.
package edge

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"log"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"

	"crocusramp.dev/crocusramp/pkg/capacity"
	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/conntrack"
	"crocusramp.dev/crocusramp/pkg/control"
	"crocusramp.dev/crocusramp/pkg/forward"
	"crocusramp.dev/crocusramp/pkg/ingress"
	"crocusramp.dev/crocusramp/pkg/limit"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/peer"
	"crocusramp.dev/crocusramp/pkg/quarantine"
	"crocusramp.dev/crocusramp/pkg/reach"
	"crocusramp.dev/crocusramp/pkg/settings"
	"crocusramp.dev/crocusramp/pkg/storage"
	"crocusramp.dev/crocusramp/pkg/target"
	"crocusramp.dev/crocusramp/pkg/telemetry"
	"crocusramp.dev/crocusramp/pkg/tunnel"
	"crocusramp.dev/crocusramp/platform"
)

const (
	// fleetTable is the store's table with a row for each VM, and a row for each request
	// that ran on several targets when they died.
	fleetTable = "crocusramp_vms"
	// storeRateDivisor is the number of VMs that the store's rate limits are divided among.
	storeRateDivisor = 128
	// listPeriod is how often the prober rereads the registered VMs. They are held in
	// memory, so a read is cheap.
	listPeriod = 250 * time.Millisecond
	// maxProbePeriod is the longest time between two heartbeats to a VM. A look-up must
	// not return a VM that has been dead for 6 s.
	maxProbePeriod = 2500 * time.Millisecond
	// locateTTL is how long callers may cache a look-up: long enough that look-ups are
	// few compared to requests, and short enough that the cached entry has expired before
	// a stopping VM refuses new requests.
	locateTTL = 2 * time.Second
	// targetDialTimeout allows three round trips between the most distant regions.
	targetDialTimeout = 350 * time.Millisecond
	// tunnelDialTimeout allows two round trips to the most distant peer, and its connection to the target.
	tunnelDialTimeout = 600 * time.Millisecond
	// targetAckTimeout is how long sent bytes may stay unacknowledged before the target
	// counts as unreachable (TCP_USER_TIMEOUT). It does not hold for long bodies.
	targetAckTimeout = 900 * time.Millisecond
	// targetBufferBytes is the buffer size of a connection to a target. It is small because
	// there may be hundreds of mostly idle connections.
	targetBufferBytes = 4 << 10
	// targetIdleTimeout is how long an idle connection to a target is kept if the target
	// does not announce a keep-alive timeout.
	targetIdleTimeout = 4 * time.Second
	// targetSweepPeriod is how often expired idle connections to targets are closed.
	targetSweepPeriod = 2 * time.Second
	// atMostOnceMaxIdle is the longest that a connection may have been idle and still be
	// reused for a request that must not run twice.
	atMostOnceMaxIdle = 3 * time.Second
	// callerIdleTimeout bounds idle caller connections if the configuration has no limit, and those to
	// the other listeners.
	callerIdleTimeout = 75 * time.Second
	// headerTimeout bounds how long a caller may take to send a request header.
	headerTimeout = 10 * time.Second
	// callTimeout bounds how long a request to a listener other than the callers' may take to arrive, and
	// how long its response may take to be written.
	callTimeout = 10 * time.Second
	// maxCallHeaderBytes and maxCallBodyBytes bound such a request.
	maxCallHeaderBytes = 16 << 10
	maxCallBodyBytes   = 1 << 20
	// defaultMaxHeaderBytes bounds a caller's header if the configuration has no limit.
	defaultMaxHeaderBytes = 64 << 10
	// maxListeners is the largest number of listeners of a VM.
	maxListeners = 6
	// gcPercent trades CPU time for memory, which costs more.
	gcPercent = 40
)

// Daemon is the process that runs on one VM.
type Daemon struct {
	settings atomic.Pointer[settings.Edge]
	path     string
	log      zerolog.Logger
	metrics  metrics.Registry
	latency  *telemetry.Histogram
	clock    clock.Clock

	// capacity is what clients may occupy of this VM.
	capacity *capacity.Plan

	loop    *control.Loop
	dialer  *peer.Dialer
	store   *platform.Store
	fleet   *registry
	members *member.Prober
	limiter *limit.Service
	targets *target.Registry
	// targetLimits divides the rate limits that targets announce among the VMs.
	targetLimits *targetLimits
	quarantine   *quarantine.List
	suspects     *suspects
	// reportedLimits are the target limits that this VM reports in heartbeats.
	reportedLimits atomic.Pointer[[]member.TargetLimit]
	client         *forward.Client
	// reach sends requests to targets, through other VMs while this VM cannot connect to them.
	reach *reach.Client
	// tunnels carries connections to targets for other VMs.
	tunnels *tunnel.Server
	ingress *ingress.Server
	state   atomic.Pointer[ingress.State]
	// loaded is closed when the first configuration, list of targets and list of VMs have
	// been read.
	loaded     chan struct{}
	loadedOnce sync.Once
	// targetsRead and fleetRead are set when the list of targets and the list of VMs have
	// been read once.
	targetsRead, fleetRead atomic.Bool
	shares                 atomic.Pointer[poolShares]
	self                   member.Peer
	// regions are all regions, domains the failure domains of this VM's region.
	regions, domains []string
	// shutdownTracer sends the buffered spans to the collector.
	shutdownTracer func(context.Context) error

	roster *roster // used by the fleet table's watcher only
	// registeredAt is the store's clock when this VM last joined, in seconds; nil until it has.
	registeredAt atomic.Pointer[float64]
	leaving      atomic.Bool
	// carriesUntil is when this VM stops carrying new connections for other VMs; nil until it stops.
	carriesUntil   atomic.Pointer[time.Time]
	servers        []*http.Server
	callers        *http.Server
	listenerErrors chan error
	conns          *conntrack.Tracker
	// list and operators hold the versions of the targets' and the operators' tables.
	operators, list, fleetRows tableState
	evacuations                *evacuations
	// configSource is the configuration in force as the operators wrote it.
	configSource atomic.Pointer[[]byte]
	// recalled is closed once this VM knows whether its peers know later changes than the store.
	recalled chan struct{}
	recallMu sync.Mutex
	// recalledTargets are the states that peers told, for targets that the first read of the list brings.
	// Guarded by recallMu.
	recalledTargets []target.State
	// knownSinceEra is the era since which this VM has followed the store, itself or by the word of others;
	// the largest number until it has read the store.
	knownSinceEra atomic.Int64
	// settledEra is the newest era of the store in which, as far as this VM knows, the store lacks
	// nothing that the fleet knows.
	settledEra atomic.Int64
	configMu   sync.Mutex // serializes applyConfig
	// configRow is the version of the row that the configuration in force was last read from. It is zero if
	// only peers told of it. Guarded by configMu.
	configRow     storage.Version
	rowsRewritten metrics.Counter
	// configOutdatedSince is when this VM first knew of a newer configuration than the one in force; nil if it knows
	// of none.
	configOutdatedSince atomic.Pointer[time.Time]
	// recallsConfig is set while this VM asks peers for the configuration.
	recallsConfig atomic.Bool
	// entriesOutdated counts the target entries that were older than what was known of their targets.
	entriesOutdated metrics.Counter
}

// New builds a Daemon from the settings that were loaded from path. Run starts it.
func New(ctx context.Context, path string, s *settings.Edge, log zerolog.Logger) (*Daemon, error) {
	d := &Daemon{
		path: path, log: log, metrics: metrics.NewRegistry(), latency: telemetry.NewHistogram(), clock: clock.System{},
		loop: control.NewLoop(), roster: newRoster(s.VM.ID), loaded: make(chan struct{}),
		listenerErrors: make(chan error, maxListeners), evacuations: newEvacuations(), recalled: make(chan struct{}),
	}
	d.knownSinceEra.Store(math.MaxInt64)
	d.settings.Store(s)
	d.capacity = capacity.NewPlan(s.Limits.MemoryMB, s.Limits.Descriptors)
	d.conns = d.newTracker("callers", conntrack.Config{
		MaxConns: d.capacity.CallerConns, Sockets: d.capacity.Sockets, SocketsPerConn: capacity.SocketsPerConn, MaxHeaderBytes: d.maxHeaderBytes,
	})
	d.regions, d.domains = regionNames(s.FailureDomains), domainsOf(s.VM.Region, s.FailureDomains)
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

// buildControl builds the components that watch the platform's store, exchange state with
// the other VMs and divide limits among the VMs.
func (d *Daemon) buildControl() {
	s := d.settings.Load()
	d.rowsRewritten = metrics.GetOrRegisterCounter("store.rows_rewritten", d.metrics)
	d.entriesOutdated = metrics.GetOrRegisterCounter("targets.entries_outdated", d.metrics)
	d.store = platform.NewStore(platform.StoreConfig{
		Address: s.Store.Address, ReadsPerSecond: s.Store.ReadsPerSecond / storeRateDivisor,
		WritesPerSecond: s.Store.WritesPerSecond / storeRateDivisor, Metrics: d.metrics, Log: d.log,
	})
	d.dialer = peer.NewDialer(nil)
	d.fleet = newRegistry(Registration{ID: s.VM.ID, PeerAddress: s.Listen.Peers, Incarnation: d.self.Incarnation}, d.clock.Now(), s.FirstStart, &d.settings)
	d.members = member.NewProber(member.Config{
		Self: d.self, Directory: d.fleet, PeerDialer: d.dialer, Loop: d.loop, Clock: d.clock, Log: d.log,
		UpdateSelf: d.fillStatus, Share: d.fleet.report, OnShare: d.fleet.hearFrom, ListPeriod: listPeriod, MaxProbePeriod: maxProbePeriod,
	})
	d.fleet.peer, d.fleet.current = d.peerShare, d.registrationsAreCurrent
	d.limiter = limit.NewService(limit.Config{
		Config: d, Slots: d.fleet, Members: d.members, PeerDialer: d.dialer, Clock: d.clock, Loop: d.loop, Log: d.log, Metrics: d.metrics,
		StartTokens: d.fleet.startTokens,
	})
	d.quarantine = quarantine.NewList(quarantine.Config{
		Size: maxSuspects, Retention: suspectRetention, Duration: quarantineTime, Backoff: quarantineBackoff, MaxTrials: maxTrials, MaxAnswered: maxAnswered, Clock: d.clock,
	})
	d.suspects = newSuspects(d)
	d.targets = target.NewRegistry(s.FailureDomains, time.Now())
	d.targetLimits = newTargetLimits()
	d.targetLimits.service = limit.NewService(limit.Config{
		Config: d.targetLimits, Slots: lendableHolder{d.fleet}, Members: d.members, PeerDialer: d.dialer, Clock: d.clock, Loop: d.loop, Log: d.log, Metrics: d.metrics,
		Name: limiterName, PreferredRegion: d.targetLimits.regionOf, Prefetch: true,
	})
}

// buildTraffic builds the components that serve and forward callers' requests.
func (d *Daemon) buildTraffic(tracer trace.Tracer) {
	d.client = forward.NewClient(forward.Config{
		DialTimeout: targetDialTimeout, IdleTimeout: targetIdleTimeout, AtMostOnceIdleTimeout: atMostOnceMaxIdle, BufferBytes: targetBufferBytes,
		EchoHeader: platform.Headers{}.EchoHeader(), SkipMismatched: true, AllowCloseDelimited: true,
		Dial: forward.NewDialer(targetDialTimeout, targetAckTimeout).DialContext, AckTimeout: targetAckTimeout,
	})
	d.reach = reach.NewClient(reach.Config{
		VM: d.self.ID, Region: d.self.Region, Client: d.client, DialTimeout: targetDialTimeout, Targets: d.targets.Snapshot, Peers: func() []member.Peer { return d.members.View().Peers },
		Tunnels: tunnel.NewDialer(d.dialer, tunnelDialTimeout, d.metrics), OnCutOff: d.clearSuspicions, Metrics: d.metrics, Log: d.log,
	})
	d.tunnels = tunnel.NewServer(tunnel.ServerConfig{
		Address: d.tunnelAddress, Available: d.carriesTunnels, Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
			return d.reach.DialForPeer(ctx, address)
		},
		AckTimeout: targetAckTimeout, MaxConns: d.capacity.Tunnels, Sockets: d.capacity.Sockets, Metrics: d.metrics, Log: d.log,
	})
	d.ingress = ingress.NewServer(ingress.Config{
		Wire: platform.Headers{}, Region: d.self.Region, State: d.state.Load, ConfigLag: d.configLag, Ready: d.loaded, Targets: d.targets, Shares: d.sharesOf, Limiter: d.limiter,
		Capacity: d.capacity, TargetLimiter: d.targetLimits, Fleet: d.fleet, Quarantine: d.quarantine, Suspects: d.suspects, IdleSince: d.idleSince(), Client: d.reach, Clock: d.clock, Log: d.log, Metrics: d.metrics, Tracer: tracer,
		Latency: func(t time.Duration) { d.latency.Record(t.Microseconds()) },
	})
	d.latency.RegisterQuantiles("ingress.latency", d.metrics)
}

// idleSince returns the time since which no other process of this VM can have sent
// requests: the start of this process, or 0 on the VM's first start.
func (d *Daemon) idleSince() clock.Time {
	if d.settings.Load().FirstStart {
		return 0
	}
	return d.fleet.started
}

// fillStatus adds the changing fields to this VM's heartbeat: state, versions, demand,
// limits and suspects.
func (d *Daemon) fillStatus(p *member.Peer) {
	if !d.ready() {
		p.State = member.Leaving
	}
	if s := d.state.Load(); s != nil {
		p.ConfigVersion = s.Version
	}
	d.fillStoreStatus(p)
	p.CutOff, p.CarriesTunnels = d.reach.LinksLost(), d.carriesTunnels()
	if until := d.carriesUntil.Load(); until != nil && p.CarriesTunnels {
		p.CarriesUntil = *until
	}
	p.Pools = append(p.Pools, d.ingress.Demand()...)
	if l := d.reportedLimits.Load(); l != nil {
		p.Limits = *l
	}
	if c := d.suspects.reportedCases.Load(); c != nil {
		p.Suspects = *c
	}
}

// carriesTunnels reports whether this VM carries new connections to targets for other VMs. It does so for a
// time after it was told to stop, because it may be the only one that reaches the targets.
func (d *Daemon) carriesTunnels() bool {
	until := d.carriesUntil.Load()
	return d.state.Load() != nil && !d.reach.CutOff() && (until == nil || time.Now().Before(*until))
}

// tunnelAddress returns the address of a target for another VM. It is false for targets that drain, are
// leaving or are evacuated. Suspect ones are allowed, because the other VM checks their health.
func (d *Daemon) tunnelAddress(t tunnel.Target) (string, bool) {
	l := d.targets.Find(t.ID, t.StartedAt)
	if l == nil || l.Leaving() || !slices.Contains(d.targets.Snapshot().Pools[l.Pool][l.Region], l) {
		return "", false
	}
	return l.Address, true
}

// clearSuspicions makes targets that were found unreachable usable again, because this VM has lost its own
// links. Those that are unreachable for peers too become suspect again.
func (d *Daemon) clearSuspicions() {
	for _, l := range d.targets.All() {
		if l.Suspect() && !l.Exited() {
			l.ClearSuspicion(0, time.Now())
		}
	}
}

// limiters returns the services that divide limits among the VMs.
func (d *Daemon) limiters() []*limit.Service {
	return []*limit.Service{d.limiter, d.targetLimits.service}
}

// ready reports whether this VM accepts callers' requests.
func (d *Daemon) ready() bool { return !d.leaving.Load() && d.state.Load() != nil }

// emptyConfig applies until a configuration is loaded.
var emptyConfig = config.Empty()

// Snapshot implements config.Source.
func (d *Daemon) Snapshot() config.Snapshot {
	if s := d.state.Load(); s != nil {
		return config.Snapshot{Config: s.Config, Fresh: true}
	}
	return config.Snapshot{Config: emptyConfig}
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
	d.watchTables(background)
	d.loop.Go(background, d.probeSuspects)
	d.loop.Go(background, d.balance)
	d.loop.Go(background, d.sweepFleet)
	d.loop.Go(background, d.suspects.syncRows)
	d.loop.Go(background, d.closeIdle)
	d.loop.Go(background, d.reach.Watch)
	d.loop.Go(background, func(ctx context.Context) { every(ctx, balancePeriod, d.reach.CloseUnusable) })
	d.loop.Go(background, func(ctx context.Context) { every(ctx, targetSweepPeriod, d.client.Sweep) })
	d.loop.Go(background, func(ctx context.Context) { d.watchSettings(ctx, reload) })
	s := d.settings.Load()
	d.log.Info().Str("incarnation", d.self.Incarnation).Str("callers", s.Listen.Callers).Str("peers", s.Listen.Peers).
		Str("store", s.Store.Address).Bool("first_start", s.FirstStart).Str("build", telemetry.Build()).Msg("started")
	var err error
	select {
	case <-ctx.Done():
	case err = <-d.listenerErrors:
		d.log.Error().Err(err).Msg("listener failed; stopping")
	}
	d.stop()
	d.log.Info().Int("running", d.ingress.Running()).Msg("stopped")
	return err
}

// listen binds the listeners in turn and starts to serve on each. It returns an error if
// an address cannot be bound.
func (d *Daemon) listen() error {
	s := d.settings.Load()
	peerMux := http.NewServeMux()
	for _, service := range []func() (string, http.Handler){d.members.Handler, d.limiter.Handler, d.targetLimits.service.Handler, d.suspects.reports.Handler, d.recallHandler} {
		prefix, handler := service()
		peerMux.Handle(prefix, handler)
	}
	metricsMux := http.NewServeMux()
	metricsMux.Handle("GET /metrics", telemetry.Handler(d.metrics, map[string]*telemetry.Histogram{"ingress.latency": d.latency}))
	locateVMs := func(_, region, _ string) []string { return locate(d.members.View(), region) }
	ttl := func() time.Duration { return min(locateTTL, d.settings.Load().Bounds.LocateTTL.Duration) }
	for _, l := range []listenerConfig{
		{"peers", s.Listen.Peers, d.capacity.PeerConns, d.tunnels.Handler(peerMux)},
		{"locate", s.Listen.Locate, d.capacity.LocateConns, platform.ResolveHandler(locateVMs, ttl, d.log)},
		{"ready", s.Listen.Ready, d.capacity.OtherConns, platform.ReadyHandler(d.ready)},
		{"callers", s.Listen.Callers, 0, d.ingress},
		{"metrics", s.Listen.Metrics, d.capacity.OtherConns, metricsMux},
		{"operators", s.Listen.Operators, d.capacity.OtherConns, d.operatorsHandler()},
	} {
		if l.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		server, tracker := d.newServer(l)
		go func() {
			if err := server.Serve(tracker.Listener(listener)); !errors.Is(err, http.ErrServerClosed) {
				d.listenerErrors <- err
			}
		}()
	}
	return nil
}

// listenerConfig describes a listener.
type listenerConfig struct {
	name, address string
	// maxConns is the largest number of connections; that of the callers' is in Daemon.conns.
	maxConns int
	handler  http.Handler
}

// newServer returns the server for a listener, and the tracker of its connections.
func (d *Daemon) newServer(l listenerConfig) (*http.Server, *conntrack.Tracker) {
	server := &http.Server{Handler: l.handler, ReadHeaderTimeout: headerTimeout, ErrorLog: d.serverLog(l.address)}
	tracker := d.conns
	if l.handler == d.ingress { // MaxHeaderBytes and closeIdle follow the configuration
		server.ConnContext = conntrack.ConnContext
		d.callers = server
	} else {
		tracker = d.newTracker(l.name, conntrack.Config{MaxConns: l.maxConns, MaxHeaderBytes: func() int { return maxCallHeaderBytes }})
		server.Handler = d.capacity.LimitBodies(l.handler, maxCallBodyBytes)
		server.MaxHeaderBytes, server.IdleTimeout = maxCallHeaderBytes, callerIdleTimeout
		server.ReadTimeout, server.WriteTimeout = callTimeout, callTimeout
		d.servers = append(d.servers, server)
	}
	server.ConnState = tracker.ConnState
	return server, tracker
}

// newTracker returns a tracker of the connections of a listener.
func (d *Daemon) newTracker(name string, c conntrack.Config) *conntrack.Tracker {
	c.Name, c.Headers, c.Metrics, c.Log = name, d.capacity.Headers, d.metrics, d.log
	return conntrack.NewTracker(c)
}

// maxHeaderBytes returns the largest size of a caller's header.
func (d *Daemon) maxHeaderBytes() int {
	return cmp.Or(d.Snapshot().CallerLimits.MaxHeaderBytes, defaultMaxHeaderBytes)
}

// serverLog returns a logger for the errors of an http.Server, among them panics of handlers, which close
// the connection without an answer.
func (d *Daemon) serverLog(address string) *log.Logger {
	return log.New(serverErrors{d.log.With().Str("listener", address).Logger()}, "", 0)
}

// serverErrors writes each error as one log line.
type serverErrors struct{ log zerolog.Logger }

// Write implements io.Writer.
func (s serverErrors) Write(text []byte) (int, error) {
	s.log.Error().Str("error", string(bytes.TrimSpace(text))).Msg("HTTP server error")
	return len(text), nil
}
