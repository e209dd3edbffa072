package member

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	peerpb "crocusramp.dev/crocusramp/api/peer/v1"
	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/control"
	"crocusramp.dev/crocusramp/pkg/peer"
	"crocusramp.dev/crocusramp/pkg/quarantine/codec"
	"crocusramp.dev/crocusramp/pkg/share"
	"crocusramp.dev/crocusramp/pkg/storage"
	"crocusramp.dev/crocusramp/pkg/target"
)

// Default timings.
const (
	DefaultListPeriod  = time.Second
	DefaultProbePeriod = time.Second
	// DefaultProbeTimeout allows two round trips between the most distant regions.
	DefaultProbeTimeout = time.Second
)

const (
	// ticksPerPeriod is how many times per probe period the prober checks which peers
	// are due.
	ticksPerPeriod = 10
	// maxProbesPerSecond bounds the heartbeats that a VM sends. Each is about 350 bytes
	// with the response. A VM with more peers than this number sends a heartbeat to each
	// peer less often than once a second.
	maxProbesPerSecond = 16
)

// Config configures a Prober. All fields without a default are required.
type Config struct {
	Self       Peer
	Directory  storage.Directory
	PeerDialer *peer.Dialer
	Loop       *control.Loop
	Clock      clock.Clock
	Log        zerolog.Logger
	// UpdateSelf sets the fields of Self that change, such as the state, the version of
	// the configuration and the free permits. It is called for each heartbeat, on
	// any goroutine.
	UpdateSelf func(*Peer)
	// Share, if set, returns this VM's part of the bounds that all VMs share, for the heartbeats that it sends.
	Share func() share.Report
	// OnShare, if set, is called with the ID of a VM that sends a heartbeat and what it tells of its part of
	// the bounds that all VMs share. It must not block.
	OnShare func(id string, r share.Report)
	// ListPeriod is how often the platform's list is read, 1 s if zero. A longer
	// period delays the discovery of new VMs.
	ListPeriod time.Duration
	// ProbePeriod is the time between two heartbeats to a peer, 1 s if zero. In a
	// large fleet the time is longer, as a VM sends at most 16 heartbeats per second.
	// A longer period delays the takeover of a dead peer's slots.
	ProbePeriod time.Duration
	// MaxProbePeriod bounds the time between two heartbeats to a peer in a large
	// fleet, even if a VM then sends more than 16 per second. 0 means no bound.
	MaxProbePeriod time.Duration
	// ProbeTimeout bounds the wait for the response to a heartbeat, 1 s if zero.
	ProbeTimeout time.Duration
}

// Prober maintains the view of the fleet by heartbeats. It implements Source.
type Prober struct {
	cfg      Config
	roster   *roster
	inFlight map[string]bool
	// nextProbe is when the next heartbeat to each peer is due. The loop owns it.
	nextProbe map[string]clock.Time
	view      atomic.Pointer[View]
}

// NewProber returns a Prober. It sends heartbeats after Start is called.
func NewProber(cfg Config) *Prober {
	if cfg.ListPeriod == 0 {
		cfg.ListPeriod = DefaultListPeriod
	}
	if cfg.ProbePeriod == 0 {
		cfg.ProbePeriod = DefaultProbePeriod
	}
	if cfg.ProbeTimeout == 0 {
		cfg.ProbeTimeout = DefaultProbeTimeout
	}
	if cfg.Share == nil {
		cfg.Share = func() share.Report { return share.Report{} }
	}
	if cfg.UpdateSelf == nil {
		cfg.UpdateSelf = func(*Peer) {}
	}
	p := &Prober{cfg: cfg, roster: newRoster(cfg.Self), inFlight: map[string]bool{}, nextProbe: map[string]clock.Time{}}
	// publish is not used here because UpdateSelf must not be called before Start.
	p.view.Store(p.roster.view())
	return p
}

// View returns the current view.
func (p *Prober) View() *View { return p.view.Load() }

// Start reads the platform's list and sends heartbeats until ctx ends.
func (p *Prober) Start(ctx context.Context) {
	p.cfg.Loop.Go(ctx, p.watchDirectory)
	p.cfg.Loop.Every(ctx, p.cfg.ProbePeriod/ticksPerPeriod, func() { p.probeDue(ctx) })
}

// watchDirectory reads the platform's list every ListPeriod, until ctx ends. It runs on its own
// goroutine.
func (p *Prober) watchDirectory(ctx context.Context) {
	ticker := time.NewTicker(p.cfg.ListPeriod)
	defer ticker.Stop()
	for {
		p.readDirectory(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// readDirectory reads the platform's list once and posts the result to the loop.
func (p *Prober) readDirectory(ctx context.Context) {
	started := p.cfg.Clock.Now()
	vms, err := p.cfg.Directory.VMs(ctx)
	if err != nil {
		p.cfg.Log.Debug().Err(err).Msg("failed to read the platform's list of VMs")
		return
	}
	p.cfg.Loop.Post(func() {
		p.roster.applyList(vms, started)
		p.publish()
	})
}

// probeDue starts a heartbeat to each peer that is due. It runs on the loop.
func (p *Prober) probeDue(ctx context.Context) {
	now := p.cfg.Clock.Now()
	for id, e := range p.roster.entries {
		if p.inFlight[id] || e.peer.PeerAddress == "" || now.Before(p.nextProbe[id]) {
			continue
		}
		p.inFlight[id] = true
		wait := p.period()
		if _, probed := p.nextProbe[id]; !probed {
			// Spreads the later heartbeats to different peers, but sends none of them sooner: a VM that starts
			// has much else to ask its peers.
			wait += rand.N(wait / 2)
		}
		p.nextProbe[id] = now.Add(wait)
		address := e.peer.PeerAddress
		p.cfg.Loop.Go(ctx, func(ctx context.Context) {
			result := p.probe(ctx, id, address)
			p.cfg.Loop.Post(func() { p.applyResult(ctx, result) })
		})
	}
}

// period returns the time between two heartbeats to a peer.
func (p *Prober) period() time.Duration {
	rateLimited := time.Duration(len(p.roster.entries)) * time.Second / maxProbesPerSecond
	if p.cfg.MaxProbePeriod > 0 {
		rateLimited = min(rateLimited, p.cfg.MaxProbePeriod)
	}
	return max(p.cfg.ProbePeriod, rateLimited)
}

// applyResult applies a heartbeat's result and publishes the new view. After a refused
// connection that is not yet proof of death, the peer is due again at the next tick, to
// confirm it. applyResult runs on the loop.
func (p *Prober) applyResult(ctx context.Context, result Probe) {
	delete(p.inFlight, result.ID)
	if ctx.Err() != nil {
		return
	}
	p.roster.applyProbe(result)
	p.publish()
	e := p.roster.entries[result.ID]
	if e == nil || (e.refused > 0 && e.refused < goneAfter) {
		delete(p.nextProbe, result.ID)
	}
}

// probe sends one heartbeat and waits for the response.
func (p *Prober) probe(ctx context.Context, id, address string) Probe {
	result := Probe{ID: id, Result: ProbeFailed, Sent: p.cfg.Clock.Now()}
	ctx, cancel := context.WithTimeout(ctx, p.cfg.ProbeTimeout)
	defer cancel()
	sent := time.Now()
	client := peerpb.NewMemberProtobufClient(p.cfg.PeerDialer.BaseURL(address), p.cfg.PeerDialer.HTTPClient())
	response, err := client.Hello(ctx, &peerpb.HelloRequest{Vm: p.cfg.Self.ID, Share: shareToProto(p.cfg.Share())})
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		result.Result = ProbeRefused
	case err == nil && response.GetSelf().GetId() == id:
		result.Result = ProbeAnswered
		result.Peer = fromProto(response.GetSelf(), sent, time.Now())
	}
	return result
}

// self returns this VM's own state for a heartbeat or view.
func (p *Prober) self() Peer {
	self := p.cfg.Self
	p.cfg.UpdateSelf(&self)
	return self
}

// publish publishes a new view. It runs on the loop.
func (p *Prober) publish() {
	p.roster.self = p.self()
	p.view.Store(p.roster.view())
}

// Handler returns the path prefix and handler of the Member service.
func (p *Prober) Handler() (string, http.Handler) {
	server := peerpb.NewMemberServer(p)
	return server.PathPrefix(), server
}

// Hello implements the Member service: it answers a heartbeat.
func (p *Prober) Hello(_ context.Context, r *peerpb.HelloRequest) (*peerpb.HelloResponse, error) {
	if p.cfg.OnShare != nil {
		p.cfg.OnShare(r.GetVm(), shareFromProto(r.GetShare()))
	}
	return &peerpb.HelloResponse{Self: toProto(p.self())}, nil
}

func shareToProto(r share.Report) *peerpb.Share {
	return &peerpb.Share{Count: int32(r.Count), Era: r.Version.Era, Version: r.Version.Number}
}

func shareFromProto(s *peerpb.Share) share.Report {
	return share.Report{Count: int(s.GetCount()), Version: storage.Version{Era: s.GetEra(), Number: s.GetVersion()}}
}

func toProto(p Peer) *peerpb.VMInfo {
	info := &peerpb.VMInfo{
		Id:            p.ID,
		Incarnation:   p.Incarnation,
		Region:        p.Region,
		FailureDomain: p.FailureDomain,
		PeerAddress:   p.PeerAddress,
		CallerAddress: p.CallerAddress,
		Leaving:       p.State == Leaving,
		ConfigVersion: p.ConfigVersion,
		FreePermits:   int32(p.FreePermits),
		SlotsHeld:     int32(p.SlotsHeld),
		ListVersion:   p.ListVersion.Number,
		ListEra:       p.ListVersion.Era,
		StoreEra:      p.StoreEra,
		KnownSinceEra: p.KnownSinceEra,

		OperatorsEra: p.OperatorsVersion.Era, OperatorsVersion: p.OperatorsVersion.Number,
		FleetEra: p.FleetVersion.Era, FleetVersion: p.FleetVersion.Number, PollsBriefly: p.PollsBriefly, Share: shareToProto(p.Share),

		CutOff: p.CutOff, CarriesTunnels: p.CarriesTunnels,
	}
	if !p.CarriesUntil.IsZero() {
		info.CarriesForUs = max(0, time.Until(p.CarriesUntil).Microseconds())
	}
	if !p.StoreSilenceEnd.IsZero() {
		info.StoreSilenceEndedUs = max(1, time.Since(p.StoreSilenceEnd).Microseconds())
	}
	for _, l := range p.Pools {
		info.Pools = append(info.Pools, &peerpb.PoolLoad{
			Pool: l.Pool, Permits: int32(l.Permits), Running: int32(l.Running), Queued: int32(l.Queued), Demand: l.Demand, BoundTo: l.BoundTo, LargeResponses: l.LargeResponses,
		})
	}
	for _, l := range p.Limits {
		info.Limits = append(info.Limits, &peerpb.TargetLimit{
			Target: l.Target, Born: l.StartedAt, Named: l.Limited, Rate: l.Rate, AgeUs: time.Since(l.Latest).Microseconds(),
		})
	}
	for _, c := range p.Suspects {
		info.Suspects = append(info.Suspects, codec.Encode(c))
	}
	for _, t := range p.OutdatedTargets {
		info.OutdatedTargets = append(info.OutdatedTargets, TargetStateToProto(t))
	}
	return info
}

// fromProto decodes the response to a heartbeat. The heartbeat was sent at sent and the response
// received at received, which bound the time of the observations in it.
func fromProto(i *peerpb.VMInfo, sent, received time.Time) Peer {
	p := Peer{
		ID:            i.GetId(),
		Incarnation:   i.GetIncarnation(),
		Region:        i.GetRegion(),
		FailureDomain: i.GetFailureDomain(),
		PeerAddress:   i.GetPeerAddress(),
		CallerAddress: i.GetCallerAddress(),
		ConfigVersion: i.GetConfigVersion(),
		FreePermits:   int(i.GetFreePermits()),
		SlotsHeld:     int(i.GetSlotsHeld()),
		ListVersion:   storage.Version{Era: i.GetListEra(), Number: i.GetListVersion()},
		StoreEra:      i.GetStoreEra(),
		KnownSinceEra: i.GetKnownSinceEra(),

		OperatorsVersion: storage.Version{Era: i.GetOperatorsEra(), Number: i.GetOperatorsVersion()},
		FleetVersion:     storage.Version{Era: i.GetFleetEra(), Number: i.GetFleetVersion()}, PollsBriefly: i.GetPollsBriefly(), Share: shareFromProto(i.GetShare()),

		CutOff: i.GetCutOff(), CarriesTunnels: i.GetCarriesTunnels(),
	}
	if i.GetLeaving() {
		p.State = Leaving
	}
	if i.GetCarriesForUs() > 0 {
		p.CarriesUntil = sent.Add(time.Duration(i.GetCarriesForUs()) * time.Microsecond)
	}
	if i.GetStoreSilenceEndedUs() > 0 {
		p.StoreSilenceEnd = received.Add(-time.Duration(i.GetStoreSilenceEndedUs()) * time.Microsecond)
	}
	for _, l := range i.GetPools() {
		p.Pools = append(p.Pools, PoolLoad{
			Pool: l.GetPool(), Permits: int(l.GetPermits()), Running: int(l.GetRunning()), Queued: int(l.GetQueued()), Demand: l.GetDemand(), BoundTo: l.GetBoundTo(), LargeResponses: l.GetLargeResponses(),
		})
	}
	for _, l := range i.GetLimits() {
		age := time.Duration(l.GetAgeUs()) * time.Microsecond
		p.Limits = append(p.Limits, TargetLimit{
			Target: l.GetTarget(), StartedAt: l.GetBorn(), Limited: l.GetNamed(), Rate: l.GetRate(),
			Earliest: sent.Add(-age), Latest: received.Add(-age),
		})
	}
	for _, s := range i.GetSuspects() {
		// A suspect that cannot be decoded comes from a later version of the daemon.
		if c, err := codec.Decode(s); err == nil {
			p.Suspects = append(p.Suspects, c)
		}
	}
	for _, t := range i.GetOutdatedTargets() {
		p.OutdatedTargets = append(p.OutdatedTargets, TargetStateFromProto(t))
	}
	return p
}

// TargetStateToProto encodes the state of a target for the peer protocol.
func TargetStateToProto(t target.State) *peerpb.TargetState {
	return &peerpb.TargetState{Id: t.ID, StartedAt: t.StartedAt, Sequence: t.Sequence, Draining: t.Draining, Removed: t.Removed, Unconfirmed: t.Unconfirmed}
}

// TargetStateFromProto decodes the state of a target.
func TargetStateFromProto(t *peerpb.TargetState) target.State {
	return target.State{ID: t.GetId(), StartedAt: t.GetStartedAt(), Sequence: t.GetSequence(), Draining: t.GetDraining(), Removed: t.GetRemoved(), Unconfirmed: t.GetUnconfirmed()}
}
