package target

import "time"

// maxReportAge is the age up to which an observed limit is reported to the other VMs. It is several
// times the longest time between two heartbeats.
const maxReportAge = 10 * time.Second

// Limit is the request rate that a target accepts from all VMs together, according to its responses.
type Limit struct {
	// Rate is in requests per second. It is meaningless unless the target has set a limit.
	Rate float64
	// Limited reports whether the target has set a limit.
	Limited bool
}

// PeerLimit is a target's limit as another VM observed it.
type PeerLimit struct {
	Limit
	// Earliest and Latest bound the time of the observation.
	Earliest, Latest time.Time
}

// limitState is this VM's view of a target's limit.
type limitState struct {
	Limit
	observedAt int64 // instant at which the target had this limit
	// ownObservation is true if the limit comes from a response to this VM rather than from another
	// VM's report. unchangedSince is the instant of the first such response with this limit.
	ownObservation bool
	unchangedSince int64
}

// RecordLimit records a response that set a limit at observedAt. It reports whether the limit
// changed.
func (l *Live) RecordLimit(rate float64, observedAt time.Time) bool {
	return l.updateLimit(Limit{Rate: rate, Limited: true}, observedAt, observedAt)
}

// RecordNoLimit records a response without a limit to a request that was sent at sentAt. It reports
// whether that ended a limit. A limit that the target set later than sentAt stays in force.
func (l *Live) RecordNoLimit(sentAt, now time.Time) bool {
	if state := l.limit.Load(); state == nil || !state.Limited {
		return false
	}
	return l.updateLimit(Limit{}, sentAt, now)
}

// RecordInvalidLimit records a response whose limit is invalid. It reports whether that is the
// first one.
func (l *Live) RecordInvalidLimit() bool { return !l.invalidLimit.Swap(true) }

// updateLimit records the limit of a response. The target had this limit at some moment between at
// and now.
func (l *Live) updateLimit(limit Limit, at, now time.Time) (changed bool) {
	for {
		old := l.limit.Load()
		next := &limitState{Limit: limit, observedAt: instant(at), ownObservation: true, unchangedSince: instant(now)}
		switch {
		case old == nil && !limit.Limited, old != nil && old.observedAt > instant(at):
			return false
		case old != nil && old.ownObservation && old.Limit == limit:
			next.unchangedSince = old.unchangedSince
		}
		if l.limit.CompareAndSwap(old, next) {
			return old == nil || old.Limit != limit
		}
	}
}

// RecordPeerLimit records a limit that another VM observed. It reports whether the limit changed.
// If it is uncertain which observation is newer, the target counts as limited.
func (l *Live) RecordPeerLimit(r PeerLimit) bool {
	at := instant(r.Earliest)
	if r.Limited {
		at = instant(r.Latest)
	}
	for {
		old := l.limit.Load()
		if old == nil && !r.Limited || old != nil && old.observedAt >= at {
			return false
		}
		if l.limit.CompareAndSwap(old, &limitState{Limit: r.Limit, observedAt: at}) {
			return old == nil || old.Limit != r.Limit
		}
	}
}

// Limit returns the limit in force. It does not expire: a target without traffic sends no responses
// that could renew its limit, and must not get the full traffic at once later.
func (l *Live) Limit() Limit {
	if state := l.limit.Load(); state != nil {
		return state.Limit
	}
	return Limit{}
}

// ObservedLimit returns the limit that this VM observed in the target's responses, for how long it has
// been the same, and the age of the last observation; ok is false if there is none to report.
func (l *Live) ObservedLimit(now time.Time) (limit Limit, unchangedFor, age time.Duration, ok bool) {
	state := l.limit.Load()
	if state == nil || !state.ownObservation || instant(now)-state.observedAt > int64(maxReportAge) {
		return Limit{}, 0, 0, false
	}
	return state.Limit, time.Duration(instant(now) - state.unchangedSince), time.Duration(instant(now) - state.observedAt), true
}

// minUsableSlots keeps a target with a limit of 0 in its region's capacity: it still gets
// occasional requests, and a region of such targets is better than none.
const minUsableSlots = 0.01

// usableSlots returns the number of slots that the target can fill. If the target has set a limit, that
// is by Little's law the limit times the mean service time.
func (l *Live) usableSlots() float64 {
	slots := float64(l.Slots)
	if limit := l.Limit(); limit.Limited && l.ServiceTime() > 0 {
		return min(slots, max(minUsableSlots, limit.Rate*l.ServiceTime().Seconds()))
	}
	return slots
}
