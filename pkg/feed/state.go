package feed

import (
	"errors"
	"fmt"
	"math"
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
)

// never is earlier than any instant of a clock, with room for subtraction.
const never = clock.Time(math.MinInt64 / 2)

// errGap reports changes that do not follow on the version at hand.
var errGap = errors.New("changes are missing")

// entry is a change with its encoding.
type entry struct {
	change config.Change
	data   []byte
}

// update is what a VM learned from the store or a peer.
type update struct {
	// snapshot is a whole configuration; nil if there is none.
	snapshot *config.Config
	// entries are consecutive changes, the oldest first.
	entries []entry
	// version is the newest that the source knew.
	version int64
	// read and agreed are as in state, or never.
	read, agreed clock.Time
}

// state is the configuration of a VM and what is known of its age. It is
// immutable; the control loop makes the next one.
type state struct {
	// config is nil until the store or a peer has answered once.
	config *config.Config
	// read is an instant at which no accepted change was missing from config,
	// by a read of the store here or on the VM that it came from.
	read clock.Time
	// agreed is the same by agreement of all VMs that none reaches the store.
	agreed clock.Time
	// tail holds the newest changes up to the version of config.
	tail      []entry
	tailBytes int
	// newer is closed once a state with a newer version is published.
	newer chan struct{}
}

func newState() *state {
	return &state{read: never, agreed: never, newer: make(chan struct{})}
}

// version returns the version at hand, noVersion if there is none.
func (s *state) version() int64 {
	if s.config == nil {
		return noVersion
	}
	return s.config.Version
}

// known returns the newest instant at which no accepted change was missing.
func (s *state) known() clock.Time { return max(s.read, s.agreed) }

// age returns how long ago, at the least, the version was known to be the
// newest. It is very large if it never was.
func (s *state) age(now clock.Time) time.Duration { return now.Sub(s.known()) }

// with returns the state after the update. The version never falls. On an
// error the state returned holds what could be applied.
func (s *state) with(u update) (*state, error) {
	next := *s
	if u.snapshot != nil && u.snapshot.Version > s.version() {
		next.config = u.snapshot
		next.tail, next.tailBytes = nil, 0
	}
	err := next.apply(u.entries)
	if next.version() != s.version() {
		next.newer = make(chan struct{})
	}
	if next.config == nil || next.config.Version < u.version {
		return &next, err
	}
	next.read = max(next.read, u.read)
	next.agreed = max(next.agreed, u.agreed)
	return &next, err
}

// apply appends the entries that are newer than the version at hand.
func (s *state) apply(entries []entry) error {
	for _, e := range entries {
		if e.change.Version <= s.version() {
			continue
		}
		if s.config == nil || e.change.Version > s.config.Version+1 {
			return fmt.Errorf("version %d after %d: %w", e.change.Version, s.version(), errGap)
		}
		next, err := s.config.Apply(e.change)
		if err != nil {
			return fmt.Errorf("apply version %d: %w", e.change.Version, err)
		}
		s.config = next
		s.push(e)
	}
	return nil
}

// push appends to the tail and drops the oldest entries beyond its bounds.
func (s *state) push(e entry) {
	s.tail = append(s.tail, e)
	s.tailBytes += len(e.data)
	for len(s.tail) > maxTailEntries || s.tailBytes > maxTailBytes {
		s.tailBytes -= len(s.tail[0].data)
		s.tail = s.tail[1:]
	}
}

// since returns the entries after version have. It reports false where the
// tail does not reach back so far.
func (s *state) since(have int64) ([]entry, bool) {
	missing := s.version() - have
	if missing <= 0 {
		return nil, true
	}
	if have == noVersion || missing > int64(len(s.tail)) {
		return nil, false
	}
	return s.tail[int64(len(s.tail))-missing:], true
}
