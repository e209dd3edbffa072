package dispatch

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/lease"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/permit"
	"crocusramp.dev/crocusramp/pkg/queue"
	"crocusramp.dev/crocusramp/pkg/target"
)

// Config holds the settings and dependencies of a Scheduler.
type Config struct {
	Pools   []target.Pool
	Self    member.Peer
	Members member.Source
	// LeaseSlots publishes the lease slots that this VM holds.
	LeaseSlots lease.Holder
	Config     config.Source
	Clock      clock.Clock
	Log        zerolog.Logger
	// Metrics may be nil.
	Metrics metrics.Registry

	// Regions lists every region of the fleet in the order in which the lease
	// slots are assigned to them; default the regions of the pools, sorted by name.
	// It must be the same on all VMs and in the configuration of the lease manager.
	Regions []string
	// RegionCost is the one-way time from this VM to each other region.
	// The default for a missing region is DefaultRegionCost.
	RegionCost map[string]time.Duration
	// MaxLinkRequests bounds the requests in flight that all VMs of this region
	// together have handed over to one other region; default 512. It limits the use of
	// the shared bandwidth. Each VM has an equal share.
	MaxLinkRequests int
	// QueueCapacity is how many requests of one priority class of a pool may
	// wait on this VM; default 256.
	QueueCapacity int
	// MaxQueueWaitFraction is the fraction of its remaining time that a request
	// may wait, by class; default 0.6, 0.4 and 0.4.
	MaxQueueWaitFraction [3]float64
	// MaxQueueWait is the longest wait by class, regardless of the request's
	// deadline; default 4 s, 2 s and 2 s.
	MaxQueueWait [3]time.Duration
	// MaxHandedOverWait is how long a request from another VM may wait here;
	// default 100 ms. Heartbeats are up to a second old: without a wait, most
	// requests of a failed region would be refused, because peers rely on
	// outdated numbers of free permits.
	MaxHandedOverWait time.Duration
	// MaxHoldDown bounds how long the permits of a lease slot stay unused after a
	// takeover while requests of the former holder may still run; default 30 s.
	// Requests of a route with a longer timeout may run on after that, so that the
	// target can be overloaded until they time out.
	MaxHoldDown time.Duration
	// TickInterval is how often the queues are checked for requests that can be
	// handed over; default 50 ms.
	TickInterval time.Duration
	// PollInterval is how often a target's load and health are polled;
	// default 1 s. A negative value disables polling.
	PollInterval time.Duration
	// PollClient polls load and health. The default opens at most one connection to a
	// target at a time.
	PollClient *http.Client
	// Seed makes random choices reproducible; 0 derives the seed from Self.
	Seed uint64
}

const (
	// DefaultRegionCost is the one-way time to a region that RegionCost does not list.
	DefaultRegionCost = 20 * time.Millisecond
	// sameRegionCost is the one-way time between VMs of one region.
	sameRegionCost = time.Millisecond

	defaultMaxLinkRequests   = 512
	defaultQueueCapacity     = 256
	defaultMaxHandedOverWait = 100 * time.Millisecond
	defaultMaxHoldDown       = 30 * time.Second
	defaultTickInterval      = 50 * time.Millisecond
	defaultPollInterval      = time.Second
)

var (
	defaultMaxQueueWaitFraction = [3]float64{queue.High: 0.6, queue.Normal: 0.4, queue.Low: 0.4}
	defaultMaxQueueWait         = [3]time.Duration{
		queue.High: 4 * time.Second, queue.Normal: 2 * time.Second, queue.Low: 2 * time.Second,
	}
)

// withDefaults returns a copy of c in which defaults replace zero values.
func (c Config) withDefaults() Config {
	if len(c.Regions) == 0 {
		c.Regions = permit.Regions(c.Pools)
	}
	setDefault(&c.MaxLinkRequests, defaultMaxLinkRequests)
	setDefault(&c.QueueCapacity, defaultQueueCapacity)
	setDefault(&c.MaxQueueWaitFraction, defaultMaxQueueWaitFraction)
	setDefault(&c.MaxQueueWait, defaultMaxQueueWait)
	setDefault(&c.MaxHandedOverWait, defaultMaxHandedOverWait)
	setDefault(&c.MaxHoldDown, defaultMaxHoldDown)
	setDefault(&c.TickInterval, defaultTickInterval)
	setDefault(&c.PollInterval, defaultPollInterval)
	if c.PollClient == nil {
		c.PollClient = newPollClient()
	}
	return c
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}
