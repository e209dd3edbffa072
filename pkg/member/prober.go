package member

import (
	"context"
	"errors"
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
	"crocusramp.dev/crocusramp/pkg/storage"
)

// Default timings.
const (
	DefaultListPeriod  = time.Second
	DefaultProbePeriod = time.Second
	// DefaultProbeTimeout covers two round trips between the farthest regions.
	DefaultProbeTimeout = time.Second
)

const (
	// ticksPerPeriod is how often in a period it is looked who is due.
	ticksPerPeriod = 10
	// maxProbesPerSecond bounds the heartbeats that a VM sends, about 350
	// bytes each with the answer; in fleets larger than this number each peer
	// is asked less often than once a second.
	maxProbesPerSecond = 16
)

// Config sets up a Prober. All fields without a default are required.
type Config struct {
	Self      Peer
	Directory storage.Directory
	Dialer    *peer.Dialer
	Loop      *control.Loop
	Clock     clock.Clock
	Log       zerolog.Logger
	// Local completes Self at each heartbeat with what changes: the state,
	// the configuration's version and the free permits. It runs on any
	// goroutine.
	Local func(*Peer)
	// ListPeriod is how often the platform's list is read, 1 s if zero. A
	// longer one delays the discovery of new VMs.
	ListPeriod time.Duration
	// ProbePeriod is how often each peer is asked, 1 s if zero; more peers than
	// 16 in each second are asked less often. A longer one delays the takeover
	// of a dead peer's slots.
	ProbePeriod time.Duration
	// MaxProbePeriod bounds the time between two heartbeats to a peer, whatever
	// the size of the fleet; 0 means no bound.
	MaxProbePeriod time.Duration
	// ProbeTimeout is how long a peer has to answer, 1 s if zero.
	ProbeTimeout time.Duration
}

// Prober keeps the view of the fleet by heartbeats. It implements Source.
type Prober struct {
	cfg    Config
	roster *roster
	busy   map[string]bool
	// due is when each peer is asked next. The loop owns it.
	due  map[string]clock.Time
	view atomic.Pointer[View]
}

// NewProber returns a Prober that Start sets going.
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
	if cfg.Local == nil {
		cfg.Local = func(*Peer) {}
	}
	p := &Prober{cfg: cfg, roster: newRoster(cfg.Self), busy: map[string]bool{}, due: map[string]clock.Time{}}
	// Local may not be ready to be called before Start.
	p.view.Store(p.roster.view())
	return p
}

// View returns the present view.
func (p *Prober) View() *View { return p.view.Load() }

// Start reads the platform's list and sends heartbeats until ctx ends.
func (p *Prober) Start(ctx context.Context) {
	p.cfg.Loop.Go(ctx, p.readLists)
	p.cfg.Loop.Every(ctx, p.cfg.ProbePeriod/ticksPerPeriod, func() { p.probeDue(ctx) })
}

// readLists runs on a goroutine of its own.
func (p *Prober) readLists(ctx context.Context) {
	ticker := time.NewTicker(p.cfg.ListPeriod)
	defer ticker.Stop()
	for {
		p.readList(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (p *Prober) readList(ctx context.Context) {
	started := p.cfg.Clock.Now()
	vms, err := p.cfg.Directory.VMs(ctx)
	if err != nil {
		p.cfg.Log.Debug().Err(err).Msg("reading the platform's list of VMs failed")
		return
	}
	p.cfg.Loop.Post(func() {
		p.roster.applyList(vms, started)
		p.publish()
	})
}

// probeDue asks the peers whose turn it is. It runs on the loop.
func (p *Prober) probeDue(ctx context.Context) {
	now := p.cfg.Clock.Now()
	for id, e := range p.roster.entries {
		if p.busy[id] || e.peer.PeerAddress == "" || now.Before(p.due[id]) {
			continue
		}
		p.busy[id] = true
		p.due[id] = now.Add(p.period())
		address := e.peer.PeerAddress
		p.cfg.Loop.Go(ctx, func(ctx context.Context) {
			result := p.probe(ctx, id, address)
			p.cfg.Loop.Post(func() { p.settle(ctx, result) })
		})
	}
}

// period returns the time until a peer is asked again.
func (p *Prober) period() time.Duration {
	spread := time.Duration(len(p.roster.entries)) * time.Second / maxProbesPerSecond
	if p.cfg.MaxProbePeriod > 0 {
		spread = min(spread, p.cfg.MaxProbePeriod)
	}
	return max(p.cfg.ProbePeriod, spread)
}

// settle takes over a heartbeat's result; one refusal is confirmed at the next
// tick. It runs on the loop.
func (p *Prober) settle(ctx context.Context, result Probe) {
	delete(p.busy, result.ID)
	if ctx.Err() != nil {
		return
	}
	p.roster.applyProbe(result)
	p.publish()
	e := p.roster.entries[result.ID]
	if e == nil || (e.refused > 0 && e.refused < goneAfter) {
		delete(p.due, result.ID)
	}
}

func (p *Prober) probe(ctx context.Context, id, address string) Probe {
	result := Probe{ID: id, Result: ProbeFailed, Sent: p.cfg.Clock.Now()}
	ctx, cancel := context.WithTimeout(ctx, p.cfg.ProbeTimeout)
	defer cancel()
	sent := time.Now()
	client := peerpb.NewMemberProtobufClient(p.cfg.Dialer.URL(address), p.cfg.Dialer.HTTP())
	answer, err := client.Hello(ctx, &peerpb.HelloRequest{})
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		result.Result = ProbeRefused
	case err == nil && answer.GetSelf().GetId() == id:
		result.Result = ProbeAnswered
		result.Peer = fromProto(answer.GetSelf(), sent, time.Now())
	}
	return result
}

func (p *Prober) self() Peer {
	self := p.cfg.Self
	p.cfg.Local(&self)
	return self
}

func (p *Prober) publish() {
	p.roster.self = p.self()
	p.view.Store(p.roster.view())
}

// Handler returns the path prefix and handler of the Member service.
func (p *Prober) Handler() (string, http.Handler) {
	server := peerpb.NewMemberServer(p)
	return server.PathPrefix(), server
}

// Hello implements the Member service.
func (p *Prober) Hello(context.Context, *peerpb.HelloRequest) (*peerpb.HelloResponse, error) {
	return &peerpb.HelloResponse{Self: toProto(p.self())}, nil
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
		ListVersion:   p.ListVersion,
	}
	for _, l := range p.Pools {
		info.Pools = append(info.Pools, &peerpb.PoolLoad{
			Pool: l.Pool, Permits: int32(l.Permits), Running: int32(l.Running), Queued: int32(l.Queued), Demand: l.Demand, BoundTo: l.BoundTo,
		})
	}
	for _, l := range p.Limits {
		info.Limits = append(info.Limits, &peerpb.TargetLimit{
			Target: l.Target, Born: l.Born, Named: l.Named, Rate: l.Rate, AgeUs: time.Since(l.Latest).Microseconds(),
		})
	}
	for _, c := range p.Suspects {
		info.Suspects = append(info.Suspects, codec.Encode(c))
	}
	return info
}

// fromProto reads a heartbeat's answer that came between two times.
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
		ListVersion:   i.GetListVersion(),
	}
	if i.GetLeaving() {
		p.State = Leaving
	}
	for _, l := range i.GetPools() {
		p.Pools = append(p.Pools, PoolLoad{
			Pool: l.GetPool(), Permits: int(l.GetPermits()), Running: int(l.GetRunning()), Queued: int(l.GetQueued()), Demand: l.GetDemand(), BoundTo: l.GetBoundTo(),
		})
	}
	for _, l := range i.GetLimits() {
		age := time.Duration(l.GetAgeUs()) * time.Microsecond
		p.Limits = append(p.Limits, TargetLimit{
			Target: l.GetTarget(), Born: l.GetBorn(), Named: l.GetNamed(), Rate: l.GetRate(),
			Earliest: sent.Add(-age), Latest: received.Add(-age),
		})
	}
	for _, s := range i.GetSuspects() {
		// One that can't be read is of a later version of the product.
		if c, err := codec.Decode(s); err == nil {
			p.Suspects = append(p.Suspects, c)
		}
	}
	return p
}
