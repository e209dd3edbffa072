package feed

import (
	"errors"
	"fmt"
	"math"
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
)

// never is earlier than any time of a clock. It leaves room for subtraction
// without overflow.
const never = clock.Time(math.MinInt64 / 2)

// errGap reports changes that do not directly follow the current version.
var errGap = errors.New("changes are missing")

// entry is a change and its encoded form.
type entry struct {
	change config.Change
	data   []byte
}

// update is what a VM received from the store or a peer.
type update struct {
	// snapshot is a whole configuration; nil if there is none.
	snapshot *config.Config
	// entries are consecutive changes, oldest first.
	entries []entry
	// version is the newest version that the source had.
	version int64
	// readAt and agreedAt are as in state; never if unknown.
	readAt, agreedAt clock.Time
}

// state is the configuration of a VM and when it was known to be the newest. It
// is immutable; the control loop replaces it.
type state struct {
	// config is nil until the store or a peer has responded once.
	config *config.Config
	// readAt is a time at which config included every accepted change, as shown
	// by a read of the store on this VM or on the VM that config came from.
	readAt clock.Time
	// agreedAt is a time at which config included every accepted change, as
	// shown by the agreement of all VMs that none of them can reach the store.
	agreedAt clock.Time
	// tail holds the most recent changes, up to the version of config.
	tail      []entry
	tailBytes int
	// superseded is closed once a state with a newer version is published.
	superseded chan struct{}
}

func newState() *state {
	return &state{readAt: never, agreedAt: never, superseded: make(chan struct{})}
}

// version returns the version of the configuration, or noVersion if there is none.
func (s *state) version() int64 {
	if s.config == nil {
		return noVersion
	}
	return s.config.Version
}

// knownNewestAt returns the latest time at which the configuration is known to
// have included every accepted change.
func (s *state) knownNewestAt() clock.Time { return max(s.readAt, s.agreedAt) }

// age returns the time since the version was last known to be the newest. It is
// very large if it never was.
func (s *state) age(now clock.Time) time.Duration { return now.Sub(s.knownNewestAt()) }

// withUpdate returns the state after the update. The version never decreases.
// On an error, the returned state holds the changes that could be applied.
func (s *state) withUpdate(u update) (*state, error) {
	next := *s
	if u.snapshot != nil && u.snapshot.Version > s.version() {
		next.config = u.snapshot
		next.tail, next.tailBytes = nil, 0
	}
	err := next.apply(u.entries)
	if next.version() != s.version() {
		next.superseded = make(chan struct{})
	}
	if next.config == nil || next.config.Version < u.version {
		return &next, err
	}
	next.readAt = max(next.readAt, u.readAt)
	next.agreedAt = max(next.agreedAt, u.agreedAt)
	return &next, err
}

// apply applies the entries that are newer than the current version.
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
		s.appendTail(e)
	}
	return nil
}

// appendTail appends to the tail and drops the oldest entries beyond its bounds.
func (s *state) appendTail(e entry) {
	s.tail = append(s.tail, e)
	s.tailBytes += len(e.data)
	for len(s.tail) > maxTailEntries || s.tailBytes > maxTailBytes {
		s.tailBytes -= len(s.tail[0].data)
		s.tail = s.tail[1:]
	}
}

// entriesAfter returns the entries after version have. It returns false if the
// tail does not reach back to that version.
func (s *state) entriesAfter(have int64) ([]entry, bool) {
	missing := s.version() - have
	if missing <= 0 {
		return nil, true
	}
	if have == noVersion || missing > int64(len(s.tail)) {
		return nil, false
	}
	return s.tail[int64(len(s.tail))-missing:], true
}
