// Package feed distributes the configuration to every VM. The platform's table
// holds a log with one row for each version. One VM of each failure domain
// reads the log and relays it to the others. Each VM tracks how long ago its
// version was known to be the newest.
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
	// maxTailEntries and maxTailBytes bound the recent changes that are kept for
	// peers with an older version; a peer further behind gets a whole snapshot.
	maxTailEntries = 512
	maxTailBytes   = 1 << 20
	// maxConcurrentReads is how many reads of the store may be in flight at
	// once, so that a slow store does not lower the rate of reads.
	maxConcurrentReads = 4

	defaultMaxAge        = 3 * time.Second
	defaultPollInterval  = 500 * time.Millisecond
	defaultReadTimeout   = 700 * time.Millisecond
	defaultSnapshotEvery = 256
	defaultRelayLease    = 5 * time.Second
	defaultPullWait      = 500 * time.Millisecond
	defaultPeerTimeout   = time.Second

	// fallbackAgeMin and fallbackAgeMax bound a VM's fallbackAge, as fractions
	// of the freshness bound. They are above one half because a relay's read can
	// be half the bound old when it reaches followers two levels below the relay.
	fallbackAgeMin = 0.55
	fallbackAgeMax = 0.65
	// consultAge is the age of the configuration, as a fraction of the
	// freshness bound, above which a VM consults all peers.
	consultAge = 0.6

	// stepsPerPoll is how many times per poll interval the VM checks what work is due.
	stepsPerPoll = 2
	// renewalsPerLease is how many times per lease duration the lease is renewed.
	renewalsPerLease = 3
)

// Config holds the dependencies and settings of a Feed.
type Config struct {
	Table   storage.Table
	Objects storage.Objects
	// Loop owns the feed's state.
	Loop       *control.Loop
	Clock      clock.Clock
	Members    member.Source
	Self       member.Peer
	PeerDialer *peer.Dialer
	Log        zerolog.Logger
	// Metrics receives the feed's metrics; nil drops them.
	Metrics metrics.Registry

	// MaxAge bounds the age of a fresh configuration: the time since it was
	// known to be the newest. Keyed routes are served only while the
	// configuration is fresh. Default 3 s.
	MaxAge time.Duration
	// PollInterval is the interval between periodic reads of the store; default 500 ms.
	PollInterval time.Duration
	// ReadTimeout bounds a periodic read of the store; default 700 ms. A
	// store slower than that counts as unreachable.
	ReadTimeout time.Duration
	// RelayLease is the duration of a relay's lease: after a relay dies, another
	// VM of the failure domain takes over when this time has passed. Until then
	// its VMs read the store themselves. Default 5 s.
	RelayLease time.Duration
	// PullWait is how long a pull (a long poll) waits for a new version; default
	// 500 ms. A longer wait lets the followers' configuration age more, a shorter
	// one costs more messages.
	PullWait time.Duration
	// PeerTimeout bounds a call to a peer, in addition to PullWait; default 1 s.
	PeerTimeout time.Duration
	// SnapshotEvery is the number of changes between two snapshots in the
	// object store; default 256. A starting VM reads up to that many rows.
	SnapshotEvery int64
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxAge, defaultMaxAge)
	setDefault(&c.PollInterval, defaultPollInterval)
	setDefault(&c.ReadTimeout, defaultReadTimeout)
	setDefault(&c.SnapshotEvery, defaultSnapshotEvery)
	setDefault(&c.RelayLease, defaultRelayLease)
	setDefault(&c.PullWait, defaultPullWait)
	setDefault(&c.PeerTimeout, defaultPeerTimeout)
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return c
}

// fraction returns d multiplied by part.
func fraction(d time.Duration, part float64) time.Duration {
	return time.Duration(float64(d) * part)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Feed keeps the configuration of one VM up to date.
type Feed struct {
	cfg   Config
	store store
	// state is written only by the loop.
	state atomic.Pointer[state]
	// proposalSem admits one proposal at a time, so that the operators of one
	// VM do not compete with each other for a version.
	proposalSem chan struct{}
	// logReachability covers the reads and writes of the log.
	logReachability *reachability
	// leaseReachability covers the relay lease. It does not show whether
	// changes can be accepted, so agreement does not depend on it.
	leaseReachability *reachability
	meters            meters

	// relay is the lease of this failure domain as last seen. It is written
	// only by the loop.
	relay atomic.Pointer[observation]
	// fallbackAge is the age of the last known read of the store above which
	// this VM reads the store itself. It is random for each VM, so that they do
	// not all read at once.
	fallbackAge time.Duration

	// The fields below are used only on the loop.
	readsInFlight int
	nextRead      clock.Time
	campaigning   bool
	nextCampaign  clock.Time
	consulting    bool
}

// New returns a Feed. Call Start to run it.
func New(cfg Config) *Feed {
	f := &Feed{
		cfg:             cfg.withDefaults(),
		store:           store{table: cfg.Table, objects: cfg.Objects},
		proposalSem:     make(chan struct{}, 1),
		logReachability: newReachability(), leaseReachability: newReachability(),
	}
	f.meters = newMeters(f.cfg.Metrics)
	f.state.Store(newState())
	f.relay.Store(&observation{})
	_ = f.cfg.Metrics.Register("feed.age_ms", metrics.NewFunctionalGauge(func() int64 {
		return f.Status().Age.Milliseconds()
	}))
	f.fallbackAge = fraction(f.cfg.MaxAge, fallbackAgeMin+rand.Float64()*(fallbackAgeMax-fallbackAgeMin))
	return f
}

// Start follows the configuration in the background until ctx ends.
func (f *Feed) Start(ctx context.Context) {
	f.nextRead, f.nextCampaign = f.cfg.Clock.Now(), f.cfg.Clock.Now()
	f.cfg.Loop.Every(ctx, f.cfg.PollInterval/stepsPerPoll, func() { f.step(ctx) })
	f.cfg.Loop.Go(ctx, f.follow)
}

// isRelay reports whether this VM is the relay of its failure domain.
func (f *Feed) isRelay() bool {
	o := f.relay.Load()
	return o.observed && o.revision > 0 && o.row.Incarnation == f.cfg.Self.Incarnation
}

// step starts the work that is due. It runs on the loop.
func (f *Feed) step(ctx context.Context) {
	now, s := f.cfg.Clock.Now(), f.state.Load()
	o := f.relay.Load()
	d := currentDuties(dutyInputs{
		now:          now,
		isRelay:      f.isRelay(),
		relayKnown:   o.observed && o.revision > 0,
		readAge:      now.Sub(s.readAt),
		age:          s.age(now),
		fallbackAge:  f.fallbackAge,
		maxAge:       f.cfg.MaxAge,
		nextRead:     f.nextRead,
		nextCampaign: f.nextCampaign,
	})
	if d.read {
		f.nextRead = now.Add(f.cfg.PollInterval)
		f.startRead(ctx)
	}
	if d.campaign && !f.campaigning {
		f.nextCampaign = now.Add(f.cfg.RelayLease / renewalsPerLease)
		f.startCampaign(ctx, *o)
	}
	if d.consult && !f.consulting {
		f.startConsultation(ctx)
	}
}

// startCampaign runs campaign on another goroutine and posts its result to the loop.
func (f *Feed) startCampaign(ctx context.Context, o observation) {
	f.campaigning = true
	f.cfg.Loop.Go(ctx, func(ctx context.Context) {
		o, err := f.campaign(ctx, o)
		f.cfg.Loop.Post(func() {
			f.campaigning = false
			if err != nil {
				f.cfg.Log.Debug().Err(err).Msg("failed to acquire or renew the relay lease")
			}
			f.setRelay(o)
		})
	})
}

// setRelay publishes which VM is the relay. It runs on the loop.
func (f *Feed) setRelay(o observation) {
	before := f.relay.Load()
	f.relay.Store(&o)
	if before.row.Incarnation != o.row.Incarnation {
		f.cfg.Log.Info().Str("relay", o.row.ID).Str("failure_domain", f.cfg.Self.FailureDomain).Msg("configuration relay changed")
	}
}

// Snapshot returns the configuration in force, or the empty configuration
// until Ready. It costs an atomic load and a reading of the clock.
func (f *Feed) Snapshot() config.Snapshot {
	s := f.state.Load()
	if s.config == nil {
		return config.Snapshot{Config: emptyConfig}
	}
	return config.Snapshot{Config: s.config, Fresh: s.age(f.cfg.Clock.Now()) <= f.cfg.MaxAge}
}

var emptyConfig = config.Empty()

// Ready reports whether the VM has a configuration, fresh or not.
func (f *Feed) Ready() bool { return f.state.Load().config != nil }

// startRead starts a read of the log, unless maxConcurrentReads are in flight.
// It runs on the loop.
func (f *Feed) startRead(ctx context.Context) {
	if f.readsInFlight >= maxConcurrentReads {
		return
	}
	f.readsInFlight++
	f.cfg.Loop.Go(ctx, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, f.cfg.ReadTimeout)
		defer cancel()
		u, err := f.fetch(ctx)
		f.cfg.Loop.Post(func() {
			f.readsInFlight--
			f.finishRead(u, err)
		})
	})
}

// finishRead applies the result of a read. It runs on the loop.
func (f *Feed) finishRead(u update, err error) {
	if err != nil {
		f.meters.readErrors.Inc(1)
		f.cfg.Log.Debug().Err(err).Msg("failed to read the configuration from the store")
		return
	}
	f.applyUpdate(u)
}

// fetch reads the changes in the store that are newer than the current version.
func (f *Feed) fetch(ctx context.Context) (update, error) {
	f.meters.reads.Inc(1)
	start := f.cfg.Clock.Now()
	u := update{readAt: start, agreedAt: never, version: f.state.Load().version()}
	if u.version == noVersion {
		c, err := f.store.loadSnapshot(ctx)
		if err != nil {
			f.logReachability.recordFailure(start)
			return update{}, err
		}
		u.snapshot, u.version = c, c.Version
	}
	entries, err := f.store.changesAfter(ctx, u.version)
	if err != nil {
		f.logReachability.recordFailure(start)
		return update{}, err
	}
	f.logReachability.recordResponse(start, f.cfg.Clock.Now())
	u.entries = entries
	if n := len(entries); n > 0 {
		u.version = entries[n-1].change.Version
	}
	return u, nil
}

// applyUpdate applies an update and publishes the new state. It runs on the loop.
func (f *Feed) applyUpdate(u update) {
	s := f.state.Load()
	next, err := s.withUpdate(u)
	if err != nil && !errors.Is(err, errGap) {
		f.cfg.Log.Error().Err(err).Int64("version", next.version()).Msg("failed to apply a configuration change")
	}
	f.state.Store(next)
	if next.version() == s.version() {
		return
	}
	close(s.superseded)
	f.meters.version.Update(next.version())
	f.cfg.Log.Info().Int64("from", s.version()).Int64("version", next.version()).Msg("configuration in force")
}

// Status describes a VM's configuration and its access to the store.
type Status struct {
	// Version is -1 if the VM has no configuration.
	Version int64
	// Age is the time since the version was last known to be the newest. It is
	// negative if it never was.
	Age   time.Duration
	Fresh bool
	// Relay is the ID of the relay of this VM's failure domain, which may be the VM itself.
	Relay string
	// StoreReachable reports whether the store responded to the newest attempt
	// to read it.
	StoreReachable bool
	// SinceStoreResponse is the time since the store last responded; negative if it
	// never did.
	SinceStoreResponse time.Duration
}

// Status returns the current status.
func (f *Feed) Status() Status {
	now := f.cfg.Clock.Now()
	s := f.state.Load()
	reachable, last := combinedStatus(f.logReachability, f.leaseReachability)
	return Status{
		Version:            s.version(),
		Age:                elapsed(now, s.knownNewestAt()),
		Fresh:              s.age(now) <= f.cfg.MaxAge,
		Relay:              f.relay.Load().row.ID,
		StoreReachable:     reachable,
		SinceStoreResponse: elapsed(now, last),
	}
}

// elapsed returns the time from t to now, or -1 if t is never.
func elapsed(now, t clock.Time) time.Duration {
	if t == never {
		return -1
	}
	return now.Sub(t)
}
