// Package edge wires one VM on a platform that holds the configuration and the
// list of targets: it follows both, keeps in touch with the other VMs, answers
// which VMs to use and carries callers' requests.
package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/control"
	"crocusramp.dev/crocusramp/pkg/forward"
	"crocusramp.dev/crocusramp/pkg/ingress"
	"crocusramp.dev/crocusramp/pkg/limit"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/peer"
	"crocusramp.dev/crocusramp/pkg/settings"
	"crocusramp.dev/crocusramp/pkg/target"
	"crocusramp.dev/crocusramp/pkg/telemetry"
	"crocusramp.dev/crocusramp/platform"
)

const (
	// fleetTable holds a row for each VM.
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
	// freshIdle is how long a connection may have been idle that carries a
	// request which must not run twice.
	freshIdle = 3 * time.Second
	// callersIdle bounds idle connections until a configuration is known.
	callersIdle = 75 * time.Second
	// headerTimeout bounds the time in which a caller sends its header.
	headerTimeout = 10 * time.Second
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
	client  *forward.Client
	ingress *ingress.Server
	state   atomic.Pointer[ingress.State]
	parts   atomic.Pointer[parts]
	self    member.Peer
	regions []string
	tracing func(context.Context) error

	vms     map[string]Registration // owned by the fleet table's watcher
	leaving atomic.Bool
	servers []*http.Server
	callers *http.Server
	idle    *idleConns
}

// New builds a VM's parts; Run starts them.
func New(ctx context.Context, path string, s *settings.Edge, log zerolog.Logger) (*Daemon, error) {
	d := &Daemon{path: path, log: log, metrics: metrics.NewRegistry(), latency: telemetry.NewHistogram(), clock: clock.System{}, loop: control.NewLoop(), vms: map[string]Registration{}, idle: newIdleConns()}
	d.settings.Store(s)
	d.regions = regionNames(s.FailureDomains)
	tracer, flush, err := telemetry.NewTracer(ctx, telemetry.TraceConfig{
		Endpoint: s.Traces.Endpoint, SamplePercent: s.Traces.SamplePercent, VM: s.VM.ID,
	})
	if err != nil {
		return nil, fmt.Errorf("%w: traces.endpoint: %w", settings.ErrInvalid, err)
	}
	d.tracing = flush
	d.self = member.Peer{
		ID: s.VM.ID, Incarnation: uuid.NewString(), Region: s.VM.Region, FailureDomain: s.VM.FailureDomain,
		PeerAddress: s.Listen.Peers, CallerAddress: s.Listen.Callers,
	}
	d.store = platform.NewStore(platform.StoreConfig{
		Address: s.Store.Address, ReadsPerSecond: s.Store.ReadsPerSecond / storeShare,
		WritesPerSecond: s.Store.WritesPerSecond / storeShare, Metrics: d.metrics,
	})
	d.dialer = peer.NewDialer(nil)
	d.fleet = newRegistry(Registration{ID: s.VM.ID, PeerAddress: s.Listen.Peers}, d.clock.Now(), s.FirstStart, &d.settings)
	d.members = member.NewProber(member.Config{
		Self: d.self, Directory: d.fleet, Dialer: d.dialer, Loop: d.loop, Clock: d.clock, Log: log,
		Local: d.describe, ListPeriod: listPeriod, MaxProbePeriod: maxProbePeriod,
	})
	d.limiter = limit.NewService(limit.Config{
		Config: d, Slots: d.fleet, Members: d.members, Peers: d.dialer, Clock: d.clock, Loop: d.loop, Log: log, Metrics: d.metrics,
		StartTokens: d.fleet.startTokens,
	})
	d.targets = target.NewRegistry(s.FailureDomains)
	d.client = forward.NewClient(forward.Config{
		DialTimeout: targetDialTimeout, IdleTimeout: targetIdle, FreshIdle: freshIdle, BufferBytes: targetBuffer,
		EchoHeader: platform.Headers{}.EchoHeader(), SkipCrossed: true, AllowUnframed: true, Dial: dialTarget,
	})
	d.ingress = ingress.NewServer(ingress.Config{
		Wire: platform.Headers{}, Region: s.VM.Region, State: d.state.Load, Targets: d.targets, Parts: d.partsOf, Limiter: d.limiter,
		Fleet: d.fleet, Client: d.client, Clock: d.clock, Log: log, Metrics: d.metrics, Tracer: tracer,
		Latency: func(t time.Duration) { d.latency.Record(t.Microseconds()) },
	})
	d.latency.RegisterQuantiles("ingress.latency", d.metrics)
	return d, nil
}

// dialTarget connects to a target. A target that falls silent is found out by
// bytes that stay unacknowledged and by keep-alive probes.
func dialTarget(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(targetUnacknowledged.Milliseconds()))
			})
			return errors.Join(err, failed)
		},
	}
	return d.DialContext(ctx, network, address)
}

// describe completes what heartbeats say of this VM.
func (d *Daemon) describe(p *member.Peer) {
	if !d.ready() {
		p.State = member.Leaving
	}
	if s := d.state.Load(); s != nil {
		p.ConfigVersion = s.Version
	}
	for pool, slots := range d.ingress.Demand() {
		p.Pools = append(p.Pools, member.PoolLoad{Pool: pool, Demand: slots})
	}
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

// Run serves until ctx ends, then stops gracefully.
func (d *Daemon) Run(ctx context.Context, reload <-chan struct{}) error {
	debug.SetGCPercent(gcPercent)
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 8)
	if err := d.listen(failed); err != nil {
		return err
	}
	go d.loop.Run(background)
	d.members.Start(background)
	d.limiter.Start(background)
	d.follow(background)
	d.loop.Go(background, d.probeSuspects)
	d.loop.Go(background, d.balance)
	d.loop.Go(background, d.closeIdle)
	d.loop.Go(background, func(ctx context.Context) { d.watchSettings(ctx, reload) })
	s := d.settings.Load()
	d.log.Info().Str("incarnation", d.self.Incarnation).Str("callers", s.Listen.Callers).Str("peers", s.Listen.Peers).
		Str("store", s.Store.Address).Bool("first_start", s.FirstStart).Msg("started")
	var err error
	select {
	case <-ctx.Done():
		d.stop()
	case err = <-failed:
		d.log.Error().Err(err).Msg("a listener failed")
	}
	_ = d.tracing(background)
	d.log.Info().Int64("running", d.ingress.Running()).Msg("stopped")
	return err
}

// listen binds every listener before any of them serves.
func (d *Daemon) listen(failed chan<- error) error {
	s := d.settings.Load()
	peers := http.NewServeMux()
	for _, service := range []func() (string, http.Handler){d.members.Handler, d.limiter.Handler} {
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
			server.ConnState = d.idle.track
			d.callers = server
		} else {
			d.servers = append(d.servers, server)
		}
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		}()
	}
	return nil
}

// follow keeps what the platform's tables say.
func (d *Daemon) follow(ctx context.Context) {
	watch := func(table string, apply func(platform.Update)) {
		w := &platform.Watcher{Store: d.store, Table: table, Log: d.log, Apply: apply}
		d.loop.Go(ctx, w.Run)
	}
	watch(platform.OperatorTable, d.applyOperator)
	watch(platform.TargetTable, d.applyTargets(ctx))
	watch(fleetTable, d.applyFleet(ctx))
}

// applyOperator takes in what operators wrote.
func (d *Daemon) applyOperator(u platform.Update) {
	changed := false
	for _, c := range u.Changes {
		if domain, ok := platform.EvacuatedDomain(c.Key); ok {
			d.targets.Evacuate(domain, !c.Removed, time.Now())
			d.log.Info().Str("failure_domain", domain).Bool("evacuated", !c.Removed).Int64("row", c.Version).Msg("evacuation")
			changed = true
			continue
		}
		if platform.IsConfig(c.Key) && !c.Removed {
			changed = d.applyConfig(c) || changed
		}
	}
	if changed {
		d.targets.Publish(0)
	}
}

// applyConfig puts a configuration in force. Versions never go back.
func (d *Daemon) applyConfig(c platform.Change) bool {
	next, err := platform.DecodeConfig(c.Value)
	if err != nil {
		d.log.Error().Err(err).Int64("row", c.Version).Msg("the configuration cannot be read; the one before stays in force")
		return false
	}
	old := d.state.Load()
	if old != nil && next.Version <= old.Version {
		d.log.Warn().Int64("config", next.Version).Int64("in_force", old.Version).Msg("an older configuration is passed over")
		return false
	}
	d.targets.SetServices(next.Services)
	d.state.Store(ingress.NewState(next, old))
	d.log.Info().Int64("config", next.Version).Int64("row", c.Version).Int("routes", len(next.Routes)).
		Int("accounts", len(next.Accounts)).Msg("configuration in force")
	d.logLimits(next, old)
	return true
}

// logLimits tells which client accounts' limits a configuration changes.
func (d *Daemon) logLimits(next *config.Config, old *ingress.State) {
	for name, a := range next.Accounts {
		if old != nil {
			if b := old.Accounts[name]; b != nil && b.Rate == a.Rate && b.Burst == a.Burst {
				continue
			}
		}
		d.log.Info().Int64("config", next.Version).Str("account", name).Float64("rate", a.Rate).Float64("burst", a.Burst).Msg("limit in force")
	}
}

// applyTargets takes in what targets wrote.
func (d *Daemon) applyTargets(ctx context.Context) func(platform.Update) {
	first := true
	return func(u platform.Update) {
		now := time.Now()
		var removed []string
		returned := false
		for _, c := range u.Changes {
			if c.Removed {
				removed = append(removed, c.Key)
				returned = returned || c.Returned
				continue
			}
			d.applyTarget(c, first, now)
		}
		if len(removed) > 0 {
			d.removeTargets(ctx, removed, returned, now)
		}
		if len(u.Changes) > 0 || first {
			d.targets.Publish(u.Version)
		}
		first = false
	}
}

func (d *Daemon) applyTarget(c platform.Change, first bool, now time.Time) {
	e, err := platform.DecodeTarget(c.Key, c.Value)
	if err != nil {
		d.log.Warn().Err(err).Str("target", c.Key).Int64("row", c.Version).Msg("an entry is passed over")
		return
	}
	l, fresh := d.targets.Upsert(e, first, now)
	d.log.Info().Str("target", e.ID).Str("pool", e.Pool).Str("address", e.Address).Bool("draining", e.Draining).
		Bool("new", fresh).Bool("cold", l.Cold(now)).Dur("cold_for_ms", e.ColdFor).Int64("row", c.Version).Msg("target")
}

func (d *Daemon) removeTargets(ctx context.Context, ids []string, returned bool, now time.Time) {
	r := d.targets.Remove(ids, returned, d.settings.Load().Bounds.Drain.Duration, now)
	for _, l := range r.Gone {
		d.dropTarget(l)
	}
	if len(r.Held) == 0 {
		return
	}
	d.log.Warn().Int("targets", len(r.Held)).Bool("store_was_away", returned).Dur("for_ms", r.Until.Sub(now)).
		Msg("targets vanished from the list together; they are used for a while")
	time.AfterFunc(time.Until(r.Until), func() {
		if ctx.Err() != nil {
			return
		}
		for _, l := range d.targets.Expire(time.Now()) {
			d.dropTarget(l)
		}
		d.targets.Publish(0)
	})
}

func (d *Daemon) dropTarget(l *target.Live) {
	d.client.Drop(l.Address)
	d.log.Info().Str("target", l.ID).Str("address", l.Address).Int("running", l.Running()).Msg("target gone")
}

// applyFleet takes in which VMs are registered, and registers this one.
func (d *Daemon) applyFleet(ctx context.Context) func(platform.Update) {
	first := true
	return func(u platform.Update) {
		for _, c := range u.Changes {
			if c.Removed {
				delete(d.vms, c.Key)
				continue
			}
			v, err := decodeRegistration(c.Value)
			if err != nil || v.ID != c.Key {
				d.log.Warn().Err(err).Str("vm", c.Key).Msg("a registration is passed over")
				continue
			}
			d.vms[c.Key] = v
		}
		if d.vms[d.fleet.self.ID] != d.fleet.self && !d.leaving.Load() {
			d.register(ctx)
		}
		d.fleet.set(sortedRegistrations(d.vms), d.clock.Now())
		if len(u.Changes) > 0 {
			d.log.Info().Int("vms", len(d.vms)).Int64("row", u.Version).Msg("registered VMs")
		}
		if first {
			first = false
			d.loop.Go(ctx, d.settle)
		}
	}
}

// settle waits until no other VM may use what an earlier process of this VM
// lent.
func (d *Daemon) settle(ctx context.Context) {
	if d.fleet.settled.Load() {
		return
	}
	started := time.Now()
	vms, err := d.fleet.VMs(ctx)
	settled := err == nil && d.limiter.AwaitSettled(ctx, vms)
	d.fleet.endWait(settled, d.clock.Now())
	d.log.Info().Bool("settled", settled).Int("vms", len(vms)).Dur("after_ms", time.Since(started)).Msg("own part of the limits")
}

// register writes this VM's row. A failure is settled by the next update.
func (d *Daemon) register(ctx context.Context) {
	value, err := json.Marshal(d.fleet.self)
	if err != nil {
		panic(fmt.Sprintf("edge: encode registration: %v", err))
	}
	row := platform.Row{Table: fleetTable, Key: d.fleet.self.ID, Value: value}
	for attempt := 0; ctx.Err() == nil && attempt < registerAttempts; attempt++ {
		_, err = d.store.Transact(ctx, platform.Transaction{Writes: []platform.Row{row}})
		if err == nil {
			d.vms[d.fleet.self.ID] = d.fleet.self
			return
		}
		d.log.Warn().Err(err).Msg("registering this VM failed")
		select {
		case <-time.After(registerPause):
		case <-ctx.Done():
		}
	}
}

const (
	// registerAttempts and registerPause bound how long the fleet's table is not
	// followed while this VM cannot register.
	registerAttempts = 5
	registerPause    = 200 * time.Millisecond
)
