package target

import (
	"math/rand/v2"
	"time"
)

// maxBackoffSpread bounds by how much a VM prolongs the time in which a target wants nothing, so that
// not all VMs come back to it at the same moment.
const maxBackoffSpread = 500 * time.Millisecond

// SetLeaving takes in that the target says it leaves. It holds for this incarnation whatever the
// platform's list says. It reports whether that was not known.
func (l *Live) SetLeaving() bool { return !l.leaving.Swap(true) }

// Leaving reports whether the target has said that it leaves.
func (l *Live) Leaving() bool { return l.leaving.Load() }

// BackOff takes in at now that the target wants nothing from this VM for d. Of several words the one
// that lasts longest holds.
func (l *Live) BackOff(d time.Duration, now time.Time) {
	if d <= 0 {
		return
	}
	until := instant(now.Add(d + rand.N(min(d, maxBackoffSpread)+1)))
	for {
		old := l.backoffUntil.Load()
		if (old != 0 && until <= old) || l.backoffUntil.CompareAndSwap(old, until) {
			return
		}
	}
}

// BackoffLeft is how much longer the target wants nothing from this VM; 0 where it does not say so.
func (l *Live) BackoffLeft(now time.Time) time.Duration {
	until := l.backoffUntil.Load()
	if until == 0 {
		return 0
	}
	return max(0, time.Duration(until-instant(now)))
}

// TakesWork reports whether requests may be sent to the target now, as far as its health and its
// own words go. What it takes while it is cold or limited is counted by those who send.
func (l *Live) TakesWork(now time.Time) bool {
	return l.Sound() && !l.Leaving() && l.BackoffLeft(now) == 0
}

// inherit takes over what the target has said of itself under an entry that differs otherwise.
func (l *Live) inherit(from *Live) {
	l.leaving.Store(from.leaving.Load())
	l.backoffUntil.Store(from.backoffUntil.Load())
}
