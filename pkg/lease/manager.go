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
	defaultSlots    = 16
	defaultDuration = 15 * time.Minute
	defaultPoll     = time.Second
	// marginDivisor makes the default margin 1/50 of the lease: clocks may
	// differ in speed by 2 %.
	marginDivisor = 50
	// patiencePolls is how many polls a vacant slot is left to the VM that it
	// is assigned to.
	patiencePolls = 5
	// maxBackoffPolls bounds the pause after failures of the table.
	maxBackoffPolls = 8
	// maxReleasePause bounds the pause between attempts to release.
	maxReleasePause = 200 * time.Millisecond
	// callTimeout bounds one call of the table.
	callTimeout = 5 * time.Second
)

// ErrNotReleased reports that slots may still name this VM as their holder;
// they become free when its lease ends.
var ErrNotReleased = errors.New("slots not released")

// errNotDecided reports that the loop or the context ended before a decision.
var errNotDecided = errors.New("control loop did not answer")

// Config says what a Manager works on.
type Config struct {
	Table   storage.Table
	Loop    *control.Loop
	Clock   clock.Clock
	Members member.Source
	// Self identifies this VM. Its Incarnation must be unique to this run of
	// the process: two holders of one incarnation would share slots.
	Self member.Peer
	// Slots is the number of slots of the fleet; default 16. All VMs must have
	// the same number.
	Slots int
	// Regions are the home regions of the slots, in turn; none means that all
	// slots are at home everywhere. All VMs must have the same list.
	Regions []string
	// Duration is how long a lease runs; default 15 min. Leases must outlast
	// outages of the table; the share of a VM that is cut off or frozen is
	// stranded for as long.
	Duration time.Duration
	// Margin is the most that two clocks may drift apart in a Duration;
	// default Duration/50.
	Margin time.Duration
	// Poll is how often the rows are read; default 1 s.
	Poll time.Duration
	// Retire ends the granting of permits of a slot that is given up and
	// reports whether none of them is in use. The next holder waits for the
	// requests of this one where it reports false, or is nil.
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
	if c.Poll == 0 {
		c.Poll = defaultPoll
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
}

// SlotStatus tells who holds a slot, as far as this VM knows.
type SlotStatus struct {
	Index  int
	Region string
	// VM and Incarnation are empty where the slot has no holder.
	VM          string
	Incarnation string
	// Held reports that this VM uses the slot.
	Held bool
	// Remaining is the time until this VM's lease ends; 0 for other holders.
	Remaining time.Duration
}

// Manager takes, renews and hands over slots. It implements Holder.
type Manager struct {
	cfg     Config
	holding atomic.Pointer[Holding]
	status  atomic.Pointer[[]SlotStatus]

	// The fields below are used on the control loop only.
	state   *state
	busy    bool
	skip    int // polls left out after failures
	backoff int // polls to leave out after the next failure

	takeovers, conflicts, failures metrics.Counter
	held                           metrics.Gauge
}

// NewManager returns a Manager that holds nothing until Start.
func NewManager(cfg Config) *Manager {
	cfg.setDefaults()
	m := &Manager{
		cfg: cfg,
		state: newState(terms{
			self: cfg.Self, slots: cfg.Slots, regions: cfg.Regions,
			duration: cfg.Duration, margin: cfg.Margin, patience: patiencePolls * cfg.Poll, retire: cfg.Retire,
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

// Start polls the table until ctx ends. It returns at once.
func (m *Manager) Start(ctx context.Context) {
	m.cfg.Loop.Every(ctx, m.cfg.Poll, func() { m.poll(ctx) })
}

// Holding returns the slots that this VM holds.
func (m *Manager) Holding() *Holding { return m.holding.Load() }

// Status tells who holds which slot, in order of index.
func (m *Manager) Status() []SlotStatus { return *m.status.Load() }

// poll starts one round of read, decision and write, unless one is under way.
func (m *Manager) poll(ctx context.Context) {
	if m.busy || m.state.stopping {
		return
	}
	if m.skip > 0 {
		m.skip--
		return
	}
	m.busy = true
	m.cfg.Loop.Go(ctx, func(ctx context.Context) {
		err := m.round(ctx)
		m.cfg.Loop.Post(func() { m.finish(err) })
	})
}

func (m *Manager) finish(err error) {
	m.busy = false
	if err == nil {
		m.backoff = 0
		return
	}
	m.failures.Inc(1)
	m.cfg.Log.Warn().Err(err).Msg("slots could not be read or written")
	m.backoff = min(max(1, 2*m.backoff), maxBackoffPolls)
	m.skip = m.backoff
}

// round reads the rows and writes what the state machine plans. It runs off
// the loop and enters it for each step of the state machine.
func (m *Manager) round(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	start := m.cfg.Clock.Now()
	items, err := m.list(ctx)
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
	m.cfg.Loop.Call(ctx, func() { m.settle(writes, err) })
	if err != nil {
		return fmt.Errorf("write slots: %w", err)
	}
	return nil
}

func (m *Manager) list(ctx context.Context) ([]storage.Item, error) {
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

// decide runs on the loop. Slots that are given up are out of the published
// holding before the writes that say so are sent.
func (m *Manager) decide(items []storage.Item, start, end clock.Time) []storage.Write {
	m.state.observe(items, end)
	writes := m.state.plan(m.cfg.Members.View(), start, m.cfg.Clock.Now())
	m.publish()
	return writes
}

// settle runs on the loop.
func (m *Manager) settle(writes []storage.Write, err error) {
	var conflict *storage.ConflictError
	if errors.As(err, &conflict) {
		m.conflicts.Inc(1)
	}
	m.state.written(writes, err, m.cfg.Clock.Now())
	m.publish()
}

// publish makes the state visible to other goroutines.
func (m *Manager) publish() {
	old := m.holding.Load()
	next := &Holding{Total: m.cfg.Slots, Slots: m.state.holding(), Generation: old.Generation}
	if !sameSet(old.Slots, next.Slots) {
		next.Generation++
		m.takeovers.Inc(1)
		m.cfg.Log.Info().Int("held", len(next.Slots)).Msg("set of held slots changed")
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

func sameSet(a, b []Slot) bool {
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

// Release gives all slots up, so that other VMs take them at once. It stops
// using them before it writes and tries again until ctx ends; its error is
// ErrNotReleased.
func (m *Manager) Release(ctx context.Context) error {
	m.cfg.Loop.Call(ctx, func() {
		m.state.stop()
		m.publish()
	})
	for {
		err := m.round(ctx)
		remaining := m.remaining(ctx)
		if err == nil && remaining == 0 {
			return nil
		}
		if remaining < 0 && ctx.Err() == nil {
			return fmt.Errorf("%w: control loop has ended", ErrNotReleased)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrNotReleased, ctx.Err())
		case <-time.After(min(m.cfg.Poll, maxReleasePause)):
		}
	}
}

// remaining is the number of slots whose release is not confirmed, or -1 where
// the loop or ctx has ended.
func (m *Manager) remaining(ctx context.Context) int {
	// The loop may run the function after Call has returned.
	n := make(chan int, 1)
	if !m.cfg.Loop.Call(ctx, func() { n <- len(m.state.giving) }) {
		return -1
	}
	return <-n
}
