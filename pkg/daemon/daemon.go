// Package daemon builds the components of one VM and runs them from binding
// the listeners to the graceful shutdown.
package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v5"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"

	"crocusramp.dev/crocusramp/pkg/capacity"
	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/conntrack"
	"crocusramp.dev/crocusramp/pkg/control"
	"crocusramp.dev/crocusramp/pkg/dispatch"
	"crocusramp.dev/crocusramp/pkg/entry"
	"crocusramp.dev/crocusramp/pkg/feed"
	"crocusramp.dev/crocusramp/pkg/keys"
	"crocusramp.dev/crocusramp/pkg/lease"
	"crocusramp.dev/crocusramp/pkg/limit"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/operator"
	"crocusramp.dev/crocusramp/pkg/peer"
	"crocusramp.dev/crocusramp/pkg/route"
	"crocusramp.dev/crocusramp/pkg/settings"
	"crocusramp.dev/crocusramp/pkg/storage"
	"crocusramp.dev/crocusramp/pkg/storage/directory"
	"crocusramp.dev/crocusramp/pkg/telemetry"
	"crocusramp.dev/crocusramp/platform"
)

const (
	// idleTimeout is how long connections of callers and peers may stay idle
	// before they are closed.
	idleTimeout = 2 * time.Minute
	// quietPeriod is the time without a new request after which a stopping VM
	// ends its notice period early.
	quietPeriod = time.Second
	// deliveryTimeout bounds the delivery of the last responses while stopping.
	deliveryTimeout = 500 * time.Millisecond
	// releaseTimeout bounds the release of slots while stopping. Peers take over
	// slots that were not released once this VM's peer port refuses connections.
	releaseTimeout = 3 * time.Second
	// slotWaitTimeout is how long a starting VM waits for its first slot and for
	// heartbeats from its peers before it accepts callers without them.
	slotWaitTimeout = 10 * time.Second
	// operatorsTimeout bounds how long a request of an operator may take to arrive, and how long its response
	// may take.
	operatorsTimeout = 30 * time.Second
	// maxOperatorHeaderBytes and maxCallBodyBytes bound the requests of operators and the calls of peers.
	maxOperatorHeaderBytes = 16 << 10
	maxCallBodyBytes       = 4 << 20
	// handOverHeaderBytes is what a peer adds to the header of a request that it hands over.
	handOverHeaderBytes = 16 << 10
	// pollPeriod is the interval at which waits check their condition.
	pollPeriod = 10 * time.Millisecond
)

// Daemon is one VM of the fleet.
type Daemon struct {
	settings *settings.Settings
	self     member.Peer
	log      zerolog.Logger
	registry metrics.Registry
	latency  *telemetry.Histogram
	tracer   trace.Tracer
	flush    func(context.Context) error

	loop           *control.Loop
	dialer         *peer.Dialer
	table          storage.Table
	members        *member.Prober
	leases         *lease.Manager
	feed           *feed.Feed
	limiter        *limit.Service
	countedLimiter *countingLimiter
	scheduler      *dispatch.Scheduler
	entry          *entry.Server
	operators      *operator.Server

	// capacity is what clients may occupy of this VM.
	capacity  *capacity.Plan
	listeners *listeners
	servers   servers
	// cancel ends the control loop at once.
	cancel   context.CancelFunc
	stopping atomic.Bool
	// arrivals counts callers' requests. A stopping VM waits until it no longer
	// rises.
	arrivals atomic.Int64
}

type servers struct {
	callers, operators, peers *http.Server
}

// New binds the listeners and builds all components; Run starts them. Errors
// caused by the settings wrap settings.ErrInvalid.
func New(ctx context.Context, s *settings.Settings, log zerolog.Logger) (*Daemon, error) {
	d := &Daemon{settings: s, log: log, registry: metrics.NewRegistry(), latency: telemetry.NewHistogram(), loop: control.NewLoop()}
	d.latency.RegisterQuantiles("entry.latency", d.registry)
	var err error
	if d.listeners, err = listen(s); err != nil {
		return nil, err
	}
	d.capacity = capacity.NewPlan(s.Limits.MemoryMB, s.Limits.Descriptors)
	d.trackConnections()
	d.listeners.peers = countPeerBytes(d.listeners.peers, d.registry)
	s.Advertise.Callers = advertised(s.Advertise.Callers, d.listeners.callers)
	s.Advertise.Peers = advertised(s.Advertise.Peers, d.listeners.peers)
	if err := d.build(ctx); err != nil {
		d.listeners.close()
		return nil, err
	}
	return d, nil
}

// Metrics returns the registry that /metrics exports.
func (d *Daemon) Metrics() metrics.Registry { return d.registry }

// PeerAddress returns the host:port at which peers reach this VM.
func (d *Daemon) PeerAddress() string { return d.self.PeerAddress }

func (d *Daemon) build(ctx context.Context) error {
	s := d.settings
	var err error
	d.tracer, d.flush, err = telemetry.NewTracer(ctx, telemetry.TraceConfig{
		Endpoint: s.Traces.Endpoint, SamplePercent: s.Traces.SamplePercent, VM: s.VM.ID,
	})
	if err != nil {
		return fmt.Errorf("%w: traces.endpoint: %w", settings.ErrInvalid, err)
	}
	d.self = member.Peer{
		ID:            s.VM.ID,
		Incarnation:   uuid.NewString(),
		Region:        s.VM.Region,
		FailureDomain: s.VM.FailureDomain,
		PeerAddress:   s.Advertise.Peers,
		CallerAddress: s.Advertise.Callers,
	}
	if err := d.buildServers(); err != nil {
		return err
	}
	d.buildControl()
	d.buildTraffic()
	return nil
}

// buildControl builds the components that the control loop runs.
func (d *Daemon) buildControl() {
	s := d.settings
	store := platform.NewStore(platform.StoreConfig{
		Address: s.Platform.Store.Address, ReadsPerSecond: s.Platform.Store.ReadsPerSecond,
		WritesPerSecond: s.Platform.Store.WritesPerSecond, Metrics: d.registry, Log: d.log,
	})
	store.OnRestore(func(era int64) {
		d.log.Error().Int64("era", era).Msg("the platform's store was restored from a copy: slots, claims and configuration changes of the lost seconds are gone and may be assigned again; check them")
	})
	d.table = platform.NewTable(store)
	d.members = member.NewProber(member.Config{
		Self: d.self, Directory: directory.New(s.Platform.Directory.URL), PeerDialer: d.dialer,
		Loop: d.loop, Clock: clock.System{}, Log: d.log, UpdateSelf: d.describeSelf,
		ListPeriod: s.Platform.Directory.Poll.Duration,
	})
	d.leases = lease.NewManager(lease.Config{
		Table: d.table, Loop: d.loop, Clock: clock.System{}, Members: d.members, Self: d.self,
		Slots: s.Slots, Regions: s.Regions,
		Duration: s.Lease.Duration.Duration, Margin: s.Lease.Margin.Duration, PollInterval: s.Lease.Poll.Duration,
		Retire: func(slot int) bool { return d.scheduler.Retire(slot) },
		Log:    d.log, Metrics: d.registry,
	})
	d.feed = feed.New(feed.Config{
		Table: d.table, Objects: platform.NewObjects(store), Loop: d.loop, Clock: clock.System{}, Members: d.members,
		Self: d.self, PeerDialer: d.dialer, Log: d.log, Metrics: d.registry,
		MaxAge: s.Feed.FreshFor.Duration, PollInterval: s.Feed.Poll.Duration,
		RelayLease: s.Feed.RelayLease.Duration,
	})
}

// buildTraffic builds the components that handle requests.
func (d *Daemon) buildTraffic() {
	s := d.settings
	d.limiter = limit.NewService(limit.Config{
		Config: d.feed, Slots: d.leases, Members: d.members, PeerDialer: d.dialer,
		Clock: clock.System{}, Loop: d.loop, Log: d.log, Metrics: d.registry,
	})
	d.countedLimiter = &countingLimiter{Limiter: d.limiter}
	costs := map[string]time.Duration{}
	for region, cost := range s.RegionCost {
		costs[region] = cost.Duration
	}
	d.scheduler = dispatch.NewScheduler(dispatch.Config{
		Pools: s.TargetPools(), Self: d.self, Members: d.members, LeaseSlots: d.leases, Config: d.feed,
		Clock: clock.System{}, Log: d.log, Metrics: d.registry, Regions: s.Regions, RegionCost: costs,
	})
	requireEcho := map[string]bool{}
	for _, p := range s.Pools {
		requireEcho[p.Name] = p.RequireEcho
	}
	blocks, err := s.BlockTable()
	if err != nil {
		panic(fmt.Sprintf("daemon: settings were not validated: %v", err))
	}
	d.entry = entry.NewServer(entry.Config{
		Config: d.feed, Authenticate: keys.Authenticate, Limiter: d.countedLimiter, Dispatcher: d.scheduler,
		Members: d.members, Match: route.Match, Homes: d.limiter.Homes, RegionOf: blocks.Lookup, PeerDialer: d.dialer, Table: d.table,
		Clock: clock.System{}, Log: d.log, Metrics: d.registry, Tracer: d.tracer,
		Latency: func(l time.Duration) { d.latency.Record(l.Microseconds()) },
		Limits: entry.Limits{
			MaxHeaderBytes: s.Callers.MaxHeaderBytes, MaxBodyBytes: s.Callers.MaxBodyBytes,
			MaxTimeout: s.Callers.MaxDeadline.Duration, LocateTTL: s.Callers.LocateTTL.Duration,
		},
		Capacity:    d.capacity,
		RequireEcho: func(pool string) bool { return requireEcho[pool] },
	})
	d.operators = operator.NewServer(operator.Config{
		Feed: d.feed, Status: d, KnownNames: knownNames(s), Log: d.log, Metrics: d.registry,
	})
	d.servers.callers.Handler = d.callersHandler()
	d.servers.operators.Handler = d.operatorsHandler()
	d.servers.peers.Handler = d.peersHandler()
}

func (d *Daemon) buildServers() error {
	s := d.settings
	operatorsTLS, err := serverTLS(s.TLS.Operators)
	if err != nil {
		return err
	}
	d.servers.operators.TLSConfig = operatorsTLS
	d.servers.operators.ReadTimeout, d.servers.operators.WriteTimeout = operatorsTimeout, operatorsTimeout
	if s.TLS.Peers.Enabled() {
		d.servers.peers.TLSConfig, err = peer.Credentials(s.TLS.Peers).TLSConfig()
		if err != nil {
			return fmt.Errorf("%w: tls.peers: %w", settings.ErrInvalid, err)
		}
	}
	d.dialer = peer.NewDialer(d.servers.peers.TLSConfig)
	return nil
}

// trackConnections creates the servers and bounds the connections of their listeners.
func (d *Daemon) trackConnections() {
	callers, limits := d.settings.Callers, d.capacity
	for _, l := range []struct {
		server   **http.Server
		listener *net.Listener
		config   conntrack.Config
		max      int // bytes of a header
	}{
		{&d.servers.callers, &d.listeners.callers, conntrack.Config{Name: "callers", MaxConns: limits.CallerConns, Sockets: limits.Sockets, SocketsPerConn: capacity.SocketsPerConn}, callers.MaxHeaderBytes},
		{&d.servers.operators, &d.listeners.operators, conntrack.Config{Name: "operators", MaxConns: limits.OtherConns}, maxOperatorHeaderBytes},
		{&d.servers.peers, &d.listeners.peers, conntrack.Config{Name: "peers", MaxConns: limits.PeerConns}, callers.MaxHeaderBytes + handOverHeaderBytes},
	} {
		c := l.config
		c.MaxHeaderBytes = func() int { return l.max }
		c.Headers, c.Metrics, c.Log = limits.Headers, d.registry, d.log
		tracker := conntrack.NewTracker(c)
		*l.listener = tracker.Listener(*l.listener)
		*l.server = &http.Server{
			ReadHeaderTimeout: callers.HeaderTimeout.Duration, IdleTimeout: idleTimeout, MaxHeaderBytes: l.max,
			ConnState: tracker.ConnState, ConnContext: conntrack.ConnContext,
		}
	}
}

// describeSelf sets the fields of p that this VM reports about itself in
// heartbeats.
func (d *Daemon) describeSelf(p *member.Peer) {
	c := d.feed.Snapshot()
	vm := d.settings.VM
	if d.stopping.Load() || c.Drained(config.DrainVM, vm.ID, vm.Region, vm.FailureDomain) {
		p.State = member.Leaving
	}
	p.ConfigVersion = c.Version
	p.FreePermits = d.scheduler.FreePermits()
	p.SlotsHeld = len(d.leases.Holding().Slots)
	p.Pools = d.scheduler.PoolLoads()
}

func (d *Daemon) callersHandler() http.Handler {
	next := d.entry.CallersHandler()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", d.readyz)
	mux.HandleFunc("GET /healthz", healthz)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		d.arrivals.Add(1)
		if d.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
	return mux
}

func (d *Daemon) operatorsHandler() http.Handler {
	var api http.Handler = d.operators.Handler()
	if hashes := d.settings.Operators.TokenHashes; len(hashes) > 0 {
		api = operator.RequireToken(hashes)(api)
	}
	e := echo.New()
	e.GET("/healthz", echo.WrapHandler(http.HandlerFunc(healthz)))
	e.GET("/readyz", echo.WrapHandler(http.HandlerFunc(d.readyz)))
	e.GET("/metrics", echo.WrapHandler(telemetry.Handler(d.registry, map[string]*telemetry.Histogram{"entry.latency": d.latency})))
	e.Any("/twirp/*", echo.WrapHandler(d.capacity.LimitBodies(api, maxCallBodyBytes)))
	return e
}

func (d *Daemon) peersHandler() http.Handler {
	mux := http.NewServeMux()
	for _, service := range []func() (string, http.Handler){
		d.members.Handler, d.feed.Handler, d.limiter.Handler,
	} {
		prefix, handler := service()
		mux.Handle(prefix, d.capacity.LimitBodies(handler, maxCallBodyBytes))
	}
	mux.Handle(d.entry.PeersHandler())
	return mux
}
