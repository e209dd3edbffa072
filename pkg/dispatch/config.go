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

// Config is what a Scheduler works with.
type Config struct {
	Pools   []target.Pool
	Self    member.Peer
	Members member.Source
	Slots   lease.Holder
	Config  config.Source
	Clock   clock.Clock
	Log     zerolog.Logger
	// Metrics may be nil.
	Metrics metrics.Registry

	// Regions lists every region of the fleet in the order in which the lease
	// slots are assigned to them; default the regions of the pools by name.
	// It must be the same on all VMs and for the holder of the slots.
	Regions []string
	// RegionCost is the one-way time from this VM to each other region.
	// Regions that are absent cost DefaultRegionCost.
	RegionCost map[string]time.Duration
	// LinkRequests is how many requests the VMs of this region together may
	// have handed over to one other region at a time, a bound on the shared
	// bandwidth; default 512. Each VM has an equal part.
	LinkRequests int
	// QueueCapacity is how many requests one priority class of a pool may
	// have waiting on this VM; default 256.
	QueueCapacity int
	// QueueFraction is the part of a request's remaining time that it may
	// wait, by class; default 0.6, 0.4 and 0.4.
	QueueFraction [3]float64
	// QueueBound is the longest wait by class, whatever the request's
	// deadline; default 4 s, 2 s and 2 s.
	QueueBound [3]time.Duration
	// HandedOverBound is how long a request from another VM may wait here;
	// default 100 ms. Without a wait, a VM's heartbeat that is a second old
	// gets most of the requests of a failed region refused.
	HandedOverBound time.Duration
	// MaxHoldDown bounds how long the permits of a slot that was not released
	// by its last holder stay unused, while that holder's requests may still
	// run; default 30 s. A route with a longer timeout can then overload a
	// target for the rest of it.
	MaxHoldDown time.Duration
	// TickInterval is how often queues are looked through for requests that
	// can go elsewhere; default 50 ms.
	TickInterval time.Duration
	// PollInterval is how often a target's load and health are asked for;
	// default 1 s. Negative asks for neither.
	PollInterval time.Duration
	// HTTP asks for load and health; default a client of its own with one
	// connection to a target at a time.
	HTTP *http.Client
	// Seed makes random choices reproducible; 0 takes one from Self.
	Seed uint64
}

const (
	// DefaultRegionCost is the one-way time to a region that the settings
	// say nothing of.
	DefaultRegionCost = 20 * time.Millisecond
	// zoneCost is the one-way time between VMs of one region.
	zoneCost = time.Millisecond

	defaultLinkRequests    = 512
	defaultQueueCapacity   = 256
	defaultHandedOverBound = 100 * time.Millisecond
	defaultMaxHoldDown     = 30 * time.Second
	defaultTickInterval    = 50 * time.Millisecond
	defaultPollInterval    = time.Second
)

var (
	defaultQueueFraction = [3]float64{queue.High: 0.6, queue.Normal: 0.4, queue.Low: 0.4}
	defaultQueueBound    = [3]time.Duration{
		queue.High: 4 * time.Second, queue.Normal: 2 * time.Second, queue.Low: 2 * time.Second,
	}
)

// withDefaults returns c with its zero values replaced.
func (c Config) withDefaults() Config {
	if len(c.Regions) == 0 {
		c.Regions = permit.Regions(c.Pools)
	}
	setDefault(&c.LinkRequests, defaultLinkRequests)
	setDefault(&c.QueueCapacity, defaultQueueCapacity)
	setDefault(&c.QueueFraction, defaultQueueFraction)
	setDefault(&c.QueueBound, defaultQueueBound)
	setDefault(&c.HandedOverBound, defaultHandedOverBound)
	setDefault(&c.MaxHoldDown, defaultMaxHoldDown)
	setDefault(&c.TickInterval, defaultTickInterval)
	setDefault(&c.PollInterval, defaultPollInterval)
	if c.HTTP == nil {
		c.HTTP = newPollClient()
	}
	return c
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}
