package feed

import (
	"sync"
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
)

// contact remembers how this VM's attempts to reach the store ended. It is
// safe for concurrent use.
type contact struct {
	mu sync.Mutex
	attempts
}

// attempts is what a contact remembers.
type attempts struct {
	// attempt is the start of the newest attempt that has ended, ok whether it was answered.
	attempt clock.Time
	ok      bool
	// answer is when the store last answered.
	answer clock.Time
}

func newContact() *contact { return &contact{attempts: attempts{attempt: never, answer: never}} }

// answered notes an attempt begun at start that was answered at now.
func (c *contact) answered(start, now clock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answer = max(c.answer, now)
	c.end(start, true)
}

// failed notes an attempt begun at start that was not answered.
func (c *contact) failed(start clock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end(start, false)
}

func (c *contact) end(start clock.Time, ok bool) {
	if start >= c.attempt {
		c.attempt, c.ok = start, ok
	}
}

// newestStatus reports whether the newest attempt of two contacts was answered, and when the
// store last answered one.
func newestStatus(a, b *contact) (ok bool, last clock.Time) {
	first, second := a.copy(), b.copy()
	if second.attempt > first.attempt {
		first, second = second, first
	}
	return first.ok, max(first.answer, second.answer)
}

func (c *contact) copy() attempts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempts
}

// unreachable reports whether the newest attempt failed and was begun within
// the given time.
func (c *contact) unreachable(now clock.Time, within time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempt != never && !c.ok && now.Sub(c.attempt) <= within
}
