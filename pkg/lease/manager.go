package lease

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/control"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/storage"
)

const (
	defaultSlots        = 16
	defaultDuration     = 15 * time.Minute
	defaultPollInterval = time.Second
	// marginDivisor makes the default margin 1/50 of the lease duration: the speeds of
	// two clocks may differ by 2 %.
	marginDivisor = 50
	// takeoverDelayPolls is the number of polls for which a vacant slot is reserved for
	// the VM to which it is assigned.
	takeoverDelayPolls = 5
	// maxBackoffPolls bounds the number of polls to skip after failed calls of the table.
	maxBackoffPolls = 8
	// maxReleasePause bounds the pause between two attempts of Release.
	maxReleasePause = 200 * time.Millisecond
	// callTimeout bounds the calls of the table in one poll.
	callTimeout = 5 * time.Second
)

// ErrNotReleased reports that rows of slots may still name this VM as their holder. Other
// VMs can acquire these slots when the leases have ended.
var ErrNotReleased = errors.New("the release of slots is not confirmed")

// errNotDecided reports that the control loop or the context ended before the decision.
var errNotDecided = errors.New("control loop or context ended")

// Config holds the settings and dependencies of a Manager.
type Config struct {
	Table   storage.Table
	Loop    *control.Loop
	Clock   clock.Clock
	Members member.Source
	// Self identifies this VM. Its Incarnation must be unique to this process: two
	// holders with the same incarnation would use the same slots at the same time.
	Self member.Peer
	// Slots is the number of slots of the fleet; default 16. It must be the same on all
	// VMs.
	Slots int
	// Regions are the home regions of the slots, assigned round robin. If it is empty,
	// each VM uses its own region as the home of all slots. It must be the same on all VMs.
	Regions []string
	// Duration is how long a lease runs; default 15 min. Leases must outlast outages of
	// the table. On the other hand, nobody can use the share of a VM that is partitioned
	// or frozen until its leases end.
	Duration time.Duration
	// Margin is the largest drift between two clocks during Duration; default
	// Duration/50.
	Margin time.Duration
	// PollInterval is how often the rows are read; default 1 s.
	PollInterval time.Duration
	// Retire stops the granting of permits of a slot that is being released and reports
	// whether none of them is in use. If it reports false or is nil, the next holder
	// waits until the requests of this VM have ended.
	Retire  func(slot int) bool
	Log     zerolog.Logger
	Metrics metrics.Registry
}

func (c *Config) setDefaults() {
	if c.Slots == 0 {
		c.Slots = defaultSlots
	}
	if c.Duration == 0 {
		c.Duration = defaultDuration
	}
	if c.Margin == 0 {
		c.Margin = c.Duration / marginDivisor
	}
	if c.PollInterval == 0 {
		c.PollInterval = defaultPollInterval
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
}

// SlotStatus is the state of a slot and its holder, according to this VM's last read.
type SlotStatus struct {
	Index  int
	Region string
	// VM and Incarnation are empty if the slot has no holder.
	VM          string
	Incarnation string
	// Held reports that this VM may use the slot while Remaining is above 0.
	Held bool
	// Remaining is the time until this VM's lease ends; 0 if it does not hold the slot.
	Remaining time.Duration
}

// Manager acquires, renews and releases this VM's slots. It implements Holder.
type Manager struct {
	cfg     Config
	holding atomic.Pointer[Holding]
	status  atomic.Pointer[[]SlotStatus]

	// The fields below may only be accessed on the control loop.
	state     *state
	polling   bool
	skipPolls int // number of polls to skip
	backoff   int // number of polls skipped after the last failure; 0 after a success

	takeovers, conflicts, failures metrics.Counter
	held                           metrics.Gauge
}

// NewManager returns a Manager that holds no slots until Start is called.
func NewManager(cfg Config) *Manager {
	cfg.setDefaults()
	m := &Manager{
		cfg: cfg,
		state: newState(params{
			self: cfg.Self, slots: cfg.Slots, regions: cfg.Regions,
			duration: cfg.Duration, margin: cfg.Margin, takeoverDelay: takeoverDelayPolls * cfg.PollInterval, retire: cfg.Retire,
		}),
		conflicts: metrics.GetOrRegisterCounter("lease.conflicts", cfg.Metrics),
		failures:  metrics.GetOrRegisterCounter("lease.failures", cfg.Metrics),
		takeovers: metrics.GetOrRegisterCounter("lease.takeovers", cfg.Metrics),
		held:      metrics.GetOrRegisterGauge("lease.held", cfg.Metrics),
	}
	m.holding.Store(&Holding{Total: cfg.Slots})
	m.status.Store(&[]SlotStatus{})
	return m
}

// Start starts to poll the table, until ctx ends. It returns immediately.
func (m *Manager) Start(ctx context.Context) {
	m.cfg.Loop.Every(ctx, m.cfg.PollInterval, func() { m.poll(ctx) })
}

// Holding returns the slots that this VM holds.
func (m *Manager) Holding() *Holding { return m.holding.Load() }

// Status returns the status of all slots, in order of index.
func (m *Manager) Status() []SlotStatus { return *m.status.Load() }

// poll starts one round of read, decision and write unless the previous one still runs.
func (m *Manager) poll(ctx context.Context) {
	if m.polling || m.state.stopping {
		return
	}
	if m.skipPolls > 0 {
		m.skipPolls--
		return
	}
	m.polling = true
	m.cfg.Loop.Go(ctx, func(ctx context.Context) {
		err := m.round(ctx)
		m.cfg.Loop.Post(func() { m.finishPoll(err) })
	})
}

func (m *Manager) finishPoll(err error) {
	m.polling = false
	if err == nil {
		m.backoff = 0
		return
	}
	m.failures.Inc(1)
	m.cfg.Log.Warn().Err(err).Msg("poll of the lease table failed")
	m.backoff = min(max(1, 2*m.backoff), maxBackoffPolls)
	m.skipPolls = m.backoff
}

// round reads the rows and writes what the state machine plans. It must not run on the
// control loop; it enters the loop for each step of the state machine.
func (m *Manager) round(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	start := m.cfg.Clock.Now()
	items, err := m.readRows(ctx)
	if err != nil {
		return fmt.Errorf("read slots: %w", err)
	}
	end := m.cfg.Clock.Now()
	planned := make(chan []storage.Write, 1)
	if !m.cfg.Loop.Call(ctx, func() { planned <- m.decide(items, start, end) }) {
		return fmt.Errorf("decide on slots: %w", errNotDecided)
	}
	writes := <-planned
	if len(writes) == 0 {
		return nil
	}
	err = m.cfg.Table.Transact(ctx, writes)
	m.cfg.Loop.Call(ctx, func() { m.recordWrites(writes, err) })
	if err != nil {
		return fmt.Errorf("write slots: %w", err)
	}
	return nil
}

func (m *Manager) readRows(ctx context.Context) ([]storage.Item, error) {
	var all []storage.Item
	after := ""
	for {
		items, err := m.cfg.Table.List(ctx, partition, after, m.cfg.Slots)
		if err != nil {
			return nil, err
		}
		all = append(all, items...)
		if len(items) < m.cfg.Slots || len(all) >= m.cfg.Slots {
			return all, nil
		}
		after = items[len(items)-1].Sort
	}
}

// decide applies the rows that were read and returns the planned writes. It publishes a
// holding without the slots that are being released before their release is written. It
// must run on the control loop.
func (m *Manager) decide(items []storage.Item, start, end clock.Time) []storage.Write {
	m.state.observe(items, end)
	writes := m.state.plan(m.cfg.Members.View(), start, m.cfg.Clock.Now())
	m.publish()
	return writes
}

// recordWrites applies the result of the writes. It must run on the control loop.
func (m *Manager) recordWrites(writes []storage.Write, err error) {
	var conflict *storage.ConflictError
	if errors.As(err, &conflict) {
		m.conflicts.Inc(1)
	}
	m.state.recordResult(writes, err, m.cfg.Clock.Now())
	m.publish()
}

// publish publishes the holding and the status to other goroutines.
func (m *Manager) publish() {
	old := m.holding.Load()
	next := &Holding{Total: m.cfg.Slots, Slots: m.state.holding(), Generation: old.Generation}
	if !sameIndexes(old.Slots, next.Slots) {
		next.Generation++
		m.takeovers.Inc(1)
		m.cfg.Log.Info().Int("held", len(next.Slots)).Msg("the set of held lease slots changed")
	}
	if !sameSlots(old.Slots, next.Slots) {
		m.holding.Store(next)
	}
	m.held.Update(int64(len(next.Slots)))
	status := m.slotStatus()
	m.status.Store(&status)
}

func (m *Manager) slotStatus() []SlotStatus {
	now := m.cfg.Clock.Now()
	list := make([]SlotStatus, m.cfg.Slots)
	for index := range list {
		s := SlotStatus{Index: index, Region: m.state.region(index)}
		if seen, ok := m.state.rows[index]; ok && !seen.row.Released {
			s.VM, s.Incarnation = seen.row.VM, seen.row.Incarnation
		}
		if h, ok := m.state.held[index]; ok {
			s.Held, s.Remaining = true, max(0, h.until.Sub(now))
		}
		list[index] = s
	}
	return list
}

func sameSlots(a, b []Slot) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func sameIndexes(a, b []Slot) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Index != b[i].Index {
			return false
		}
	}
	return true
}

// Release releases all slots, so that other VMs can acquire them immediately. It stops
// their use before it writes the release, and retries until ctx ends. Its error wraps
// ErrNotReleased.
func (m *Manager) Release(ctx context.Context) error {
	m.cfg.Loop.Call(ctx, func() {
		m.state.stop()
		m.publish()
	})
	for {
		err := m.round(ctx)
		unreleased := m.unreleased(ctx)
		if err == nil && unreleased == 0 {
			return nil
		}
		if unreleased < 0 && ctx.Err() == nil {
			return fmt.Errorf("%w: control loop has ended", ErrNotReleased)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrNotReleased, ctx.Err())
		case <-time.After(min(m.cfg.PollInterval, maxReleasePause)):
		}
	}
}

// unreleased returns the number of slots whose release is not confirmed, or -1 if the
// control loop or ctx has ended.
func (m *Manager) unreleased(ctx context.Context) int {
	// The channel is buffered because the loop may run the function after Call has returned.
	n := make(chan int, 1)
	if !m.cfg.Loop.Call(ctx, func() { n <- len(m.state.releasing) }) {
		return -1
	}
	return <-n
}
