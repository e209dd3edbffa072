package feed

import (
	"sync"
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
)

// reachability records whether this VM's attempts to reach the store
// succeeded. It is safe for concurrent use.
type reachability struct {
	mu sync.Mutex
	attemptRecord
}

// attemptRecord is the state of a reachability.
type attemptRecord struct {
	// lastAttempt is the start of the newest attempt that has ended; reachable
	// reports whether the store responded to it.
	lastAttempt clock.Time
	reachable   bool
	// lastResponse is when the store last responded.
	lastResponse clock.Time
}

func newReachability() *reachability {
	return &reachability{attemptRecord: attemptRecord{lastAttempt: never, lastResponse: never}}
}

// recordResponse records an attempt that began at start and got a response at now.
func (r *reachability) recordResponse(start, now clock.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastResponse = max(r.lastResponse, now)
	r.recordAttempt(start, true)
}

// recordFailure records an attempt that began at start and got no response.
func (r *reachability) recordFailure(start clock.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordAttempt(start, false)
}

func (r *reachability) recordAttempt(start clock.Time, ok bool) {
	if start >= r.lastAttempt {
		r.lastAttempt, r.reachable = start, ok
	}
}

// combinedStatus reports whether the newest attempt in a and b got a response,
// and when the store last responded to either.
func combinedStatus(a, b *reachability) (ok bool, last clock.Time) {
	first, second := a.load(), b.load()
	if second.lastAttempt > first.lastAttempt {
		first, second = second, first
	}
	return first.reachable, max(first.lastResponse, second.lastResponse)
}

func (r *reachability) load() attemptRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attemptRecord
}

// unreachable reports whether the newest attempt failed and began at most
// within before now.
func (r *reachability) unreachable(now clock.Time, within time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastAttempt != never && !r.reachable && now.Sub(r.lastAttempt) <= within
}
