// Package feed brings the configuration to every VM. The platform's table
// holds a log with one row for each version; one VM of each failure domain
// relays it to the others, and each VM knows how old its version may be.
package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/control"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/peer"
	"crocusramp.dev/crocusramp/pkg/storage"
)

const (
	// noVersion is the version of a VM that has no configuration.
	noVersion int64 = -1
	// maxTailEntries and maxTailBytes bound the changes kept for peers that
	// are behind; a peer further behind gets a whole snapshot.
	maxTailEntries = 512
	maxTailBytes   = 1 << 20
	// maxReads is how many reads of the store run at once, so that a slow
	// store does not lower the rate of reads.
	maxReads = 4

	defaultFreshness   = 3 * time.Second
	defaultPoll        = 500 * time.Millisecond
	defaultReadTimeout = 700 * time.Millisecond
	defaultSnapshots   = 256
	defaultRelayLease  = 5 * time.Second
	defaultPullWait    = 500 * time.Millisecond
	defaultPeerTimeout = time.Second

	// patienceMin and patienceMax bound, as parts of the freshness bound, how
	// old a read may be before a VM reads the store itself. Two levels of
	// followers below a relay reach half of the bound.
	patienceMin = 0.55
	patienceMax = 0.65
	// consultAfter is the part of the freshness bound after which a VM asks
	// all others.
	consultAfter = 0.6

	// stepsPerPoll is how often in a poll period the duties are looked at.
	stepsPerPoll = 2
	// renewalsPerLease is how often in its term a lease is renewed.
	renewalsPerLease = 3
)

// Config holds what a Feed needs.
type Config struct {
	Table   storage.Table
	Objects storage.Objects
	// Loop owns the feed's state.
	Loop    *control.Loop
	Clock   clock.Clock
	Members member.Source
	Self    member.Peer
	Peers   *peer.Dialer
	Log     zerolog.Logger
	// Metrics receives the feed's metrics; nil drops them.
	Metrics metrics.Registry

	// Freshness is the longest time since the configuration was known to be
	// the newest for which keyed routes are served; default 3 s.
	Freshness time.Duration
	// Poll is the period in which the store is read; default 500 ms.
	Poll time.Duration
	// ReadTimeout bounds a periodic read of the store; default 700 ms. A
	// store slower than that counts as unreachable.
	ReadTimeout time.Duration
	// RelayLease is how long a failure domain waits for a relay that is gone
	// before another VM takes over; default 5 s. Until then its VMs read the
	// store themselves.
	RelayLease time.Duration
	// PullWait is how long a relay holds a call while nothing changes;
	// default 500 ms. A longer one ages the other VMs' configuration, a
	// shorter one costs messages.
	PullWait time.Duration
	// PeerTimeout bounds a call to a peer, besides PullWait; default 1 s.
	PeerTimeout time.Duration
	// SnapshotEvery is the number of changes between two snapshots in the
	// object store; default 256. A booting VM reads up to that many rows.
	SnapshotEvery int64
}

func (c Config) withDefaults() Config {
	setDefault(&c.Freshness, defaultFreshness)
	setDefault(&c.Poll, defaultPoll)
	setDefault(&c.ReadTimeout, defaultReadTimeout)
	setDefault(&c.SnapshotEvery, defaultSnapshots)
	setDefault(&c.RelayLease, defaultRelayLease)
	setDefault(&c.PullWait, defaultPullWait)
	setDefault(&c.PeerTimeout, defaultPeerTimeout)
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return c
}

// fraction returns a part of d.
func fraction(d time.Duration, part float64) time.Duration {
	return time.Duration(float64(d) * part)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Feed holds the configuration of one VM.
type Feed struct {
	cfg   Config
	store store
	// state is written by the loop alone.
	state atomic.Pointer[state]
	// proposing admits one proposal at a time, so that operators of one VM
	// do not race each other for a version.
	proposing chan struct{}
	contact   *contact
	// leaseContact is of the relay's lease. It says nothing on whether changes can be
	// accepted, so agreement does not rest on it.
	leaseContact *contact
	meters       meters

	// relay is the lease of this failure domain as last seen. It is written
	// by the loop alone.
	relay atomic.Pointer[observation]
	// patience is how old a read of the store may be before this VM reads
	// itself; it differs from VM to VM, so that not all do so at once.
	patience time.Duration

	// The loop owns the rest.
	reads        int
	nextRead     clock.Time
	campaigning  bool
	nextCampaign clock.Time
	consulting   bool
}

// New returns a Feed that Start must start.
func New(cfg Config) *Feed {
	f := &Feed{
		cfg:       cfg.withDefaults(),
		store:     store{table: cfg.Table, objects: cfg.Objects},
		proposing: make(chan struct{}, 1),
		contact:   newContact(), leaseContact: newContact(),
	}
	f.meters = newMeters(f.cfg.Metrics)
	f.state.Store(newState())
	f.relay.Store(&observation{})
	_ = f.cfg.Metrics.Register("feed.age_ms", metrics.NewFunctionalGauge(func() int64 {
		return f.Status().Age.Milliseconds()
	}))
	f.patience = fraction(f.cfg.Freshness, patienceMin+rand.Float64()*(patienceMax-patienceMin))
	return f
}

// Start begins to follow the configuration until ctx ends.
func (f *Feed) Start(ctx context.Context) {
	f.nextRead, f.nextCampaign = f.cfg.Clock.Now(), f.cfg.Clock.Now()
	f.cfg.Loop.Every(ctx, f.cfg.Poll/stepsPerPoll, func() { f.step(ctx) })
	f.cfg.Loop.Go(ctx, f.follow)
}

// isRelay reports whether this VM relays for its failure domain.
func (f *Feed) isRelay() bool {
	o := f.relay.Load()
	return o.known && o.revision > 0 && o.row.Incarnation == f.cfg.Self.Incarnation
}

// step starts the work that is due, on the loop.
func (f *Feed) step(ctx context.Context) {
	now, s := f.cfg.Clock.Now(), f.state.Load()
	o := f.relay.Load()
	d := decide(situation{
		now:          now,
		relay:        f.isRelay(),
		relayKnown:   o.known && o.revision > 0,
		readAge:      now.Sub(s.read),
		age:          s.age(now),
		patience:     f.patience,
		freshness:    f.cfg.Freshness,
		nextRead:     f.nextRead,
		nextCampaign: f.nextCampaign,
	})
	if d.read {
		f.nextRead = now.Add(f.cfg.Poll)
		f.read(ctx)
	}
	if d.campaign && !f.campaigning {
		f.nextCampaign = now.Add(f.cfg.RelayLease / renewalsPerLease)
		f.startCampaign(ctx, *o)
	}
	if d.consult && !f.consulting {
		f.startConsult(ctx)
	}
}

// startCampaign runs a campaign beside the loop.
func (f *Feed) startCampaign(ctx context.Context, o observation) {
	f.campaigning = true
	f.cfg.Loop.Go(ctx, func(ctx context.Context) {
		o, err := f.campaign(ctx, o)
		f.cfg.Loop.Post(func() {
			f.campaigning = false
			if err != nil {
				f.cfg.Log.Debug().Err(err).Msg("relay lease not renewed")
			}
			f.setRelay(o)
		})
	})
}

// setRelay publishes who relays, on the loop.
func (f *Feed) setRelay(o observation) {
	before := f.relay.Load()
	f.relay.Store(&o)
	if before.row.Incarnation != o.row.Incarnation {
		f.cfg.Log.Info().Str("relay", o.row.ID).Str("failure_domain", f.cfg.Self.FailureDomain).Msg("configuration relay")
	}
}

// Snapshot returns the configuration in force. It is the empty one until
// Ready. It costs an atomic load and a reading of the clock.
func (f *Feed) Snapshot() config.Snapshot {
	s := f.state.Load()
	if s.config == nil {
		return config.Snapshot{Config: empty}
	}
	return config.Snapshot{Config: s.config, Fresh: s.age(f.cfg.Clock.Now()) <= f.cfg.Freshness}
}

var empty = config.Empty()

// Ready reports whether the VM has a configuration, fresh or not.
func (f *Feed) Ready() bool { return f.state.Load().config != nil }

// read starts a read of the log, on the loop.
func (f *Feed) read(ctx context.Context) {
	if f.reads >= maxReads {
		return
	}
	f.reads++
	f.cfg.Loop.Go(ctx, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, f.cfg.ReadTimeout)
		defer cancel()
		u, err := f.fetch(ctx)
		f.cfg.Loop.Post(func() {
			f.reads--
			f.readDone(u, err)
		})
	})
}

// readDone takes the result of a read, on the loop.
func (f *Feed) readDone(u update, err error) {
	if err != nil {
		f.meters.readErrors.Inc(1)
		f.cfg.Log.Debug().Err(err).Msg("configuration read failed")
		return
	}
	f.take(u)
}

// fetch reads what is new in the store since the version at hand.
func (f *Feed) fetch(ctx context.Context) (update, error) {
	f.meters.reads.Inc(1)
	start := f.cfg.Clock.Now()
	u := update{read: start, agreed: never, version: f.state.Load().version()}
	if u.version == noVersion {
		c, err := f.store.boot(ctx)
		if err != nil {
			f.contact.failed(start)
			return update{}, err
		}
		u.snapshot, u.version = c, c.Version
	}
	entries, err := f.store.after(ctx, u.version)
	if err != nil {
		f.contact.failed(start)
		return update{}, err
	}
	f.contact.answered(start, f.cfg.Clock.Now())
	u.entries = entries
	if n := len(entries); n > 0 {
		u.version = entries[n-1].change.Version
	}
	return u, nil
}

// take applies an update and publishes the state, on the loop.
func (f *Feed) take(u update) {
	s := f.state.Load()
	next, err := s.with(u)
	if err != nil && !errors.Is(err, errGap) {
		f.cfg.Log.Error().Err(err).Int64("version", next.version()).Msg("configuration change not applied")
	}
	f.state.Store(next)
	if next.version() == s.version() {
		return
	}
	close(s.newer)
	f.meters.version.Update(next.version())
	f.cfg.Log.Info().Int64("from", s.version()).Int64("version", next.version()).Msg("configuration in force")
}

// Status is what a VM knows of its configuration.
type Status struct {
	// Version is -1 where the VM has no configuration.
	Version int64
	// Age is how long ago, at the least, the version was known to be the
	// newest. It is negative where it never was.
	Age   time.Duration
	Fresh bool
	// Relay is the ID of the VM that relays to this one, or its own.
	Relay string
	// StoreReachable reports whether the newest attempt to read the store
	// was answered.
	StoreReachable bool
	// SinceStore is the time since the store last answered; negative where
	// it never did.
	SinceStore time.Duration
}

// Status returns the present status.
func (f *Feed) Status() Status {
	now := f.cfg.Clock.Now()
	s := f.state.Load()
	reachable, last := newestStatus(f.contact, f.leaseContact)
	return Status{
		Version:        s.version(),
		Age:            since(now, s.known()),
		Fresh:          s.age(now) <= f.cfg.Freshness,
		Relay:          f.relay.Load().row.ID,
		StoreReachable: reachable,
		SinceStore:     since(now, last),
	}
}

func since(now, t clock.Time) time.Duration {
	if t == never {
		return -1
	}
	return now.Sub(t)
}
