package target

import (
	"math/rand/v2"
	"time"
)

// maxBackoffJitter bounds the random delay that a VM adds to a target's backoff, so that the VMs do
// not all return to the target at the same moment.
const maxBackoffJitter = 500 * time.Millisecond

// SetLeaving records that the target has announced that it is leaving. The announcement holds for
// this incarnation regardless of the target's state in the platform's list of targets. SetLeaving
// reports whether the announcement is new.
func (l *Live) SetLeaving() bool { return !l.leaving.Swap(true) }

// Leaving reports whether the target has announced that it is leaving.
func (l *Live) Leaving() bool { return l.leaving.Load() }

// BackOff records that at now the target asked this VM to send it nothing for d. If there are several
// such requests, the one that ends last applies.
func (l *Live) BackOff(d time.Duration, now time.Time) {
	if d <= 0 {
		return
	}
	until := instant(now.Add(d + rand.N(min(d, maxBackoffJitter)+1)))
	for {
		old := l.backoffUntil.Load()
		if (old != 0 && until <= old) || l.backoffUntil.CompareAndSwap(old, until) {
			return
		}
	}
}

// BackoffRemaining returns how much longer this VM must not send to the target, 0 if it may send.
func (l *Live) BackoffRemaining(now time.Time) time.Duration {
	until := l.backoffUntil.Load()
	if until == 0 {
		return 0
	}
	return max(0, time.Duration(until-instant(now)))
}

// AcceptsRequests reports whether requests may be sent to the target now, judging by its health and
// by what it has announced. Senders enforce the lower rate of a cold or limited target themselves.
func (l *Live) AcceptsRequests(now time.Time) bool {
	return l.Healthy() && !l.Leaving() && l.BackoffRemaining(now) == 0
}

// copyAnnouncements copies what the target has announced from another Live of the same process,
// whose entry differed in other fields.
func (l *Live) copyAnnouncements(from *Live) {
	l.leaving.Store(from.leaving.Load())
	l.backoffUntil.Store(from.backoffUntil.Load())
}
