package target

import "time"

// maxReportAge is how old an observed limit may be that is reported to the other VMs: several
// times the longest time between two heartbeats.
const maxReportAge = 10 * time.Second

// Limit is how many requests a target takes from all VMs together, by its own answers.
type Limit struct {
	// Rate is in requests a second. It means nothing unless Named.
	Rate  float64
	Named bool
}

// Report is a target's limit as another VM observed it.
type Report struct {
	Limit
	// Earliest and Latest bound when the VM did.
	Earliest, Latest time.Time
}

// limitState is a target's limit as this VM knows it.
type limitState struct {
	Limit
	at int64 // instant at which the target had this limit
	// observed says that an answer to this VM told it, and changed at which instant an answer
	// first did.
	observed bool
	changed  int64
}

// LimitNamed takes in that the target named a limit at now. It reports whether that changed
// the limit.
func (l *Live) LimitNamed(rate float64, now time.Time) bool {
	return l.observeLimit(Limit{Rate: rate, Named: true}, now, now)
}

// LimitUnnamed takes in an answer without a limit to a request that was sent at sent. It
// reports whether that ended a limit: one that the target named later than sent goes on.
func (l *Live) LimitUnnamed(sent, now time.Time) bool {
	if b := l.limit.Load(); b == nil || !b.Named {
		return false
	}
	return l.observeLimit(Limit{}, sent, now)
}

// LimitUnclear notes an answer that names a limit which can't be read. It reports whether that
// is the first one.
func (l *Live) LimitUnclear() bool { return !l.unclear.Swap(true) }

// observeLimit takes in what an answer tells, which was true at some moment since at.
func (l *Live) observeLimit(limit Limit, at, now time.Time) (changed bool) {
	for {
		old := l.limit.Load()
		next := &limitState{Limit: limit, at: instant(at), observed: true, changed: instant(now)}
		switch {
		case old == nil && !limit.Named, old != nil && old.at > instant(at):
			return false
		case old != nil && old.observed && old.Limit == limit:
			next.changed = old.changed
		}
		if l.limit.CompareAndSwap(old, next) {
			return old == nil || old.Limit != limit
		}
	}
}

// LimitReported takes in what another VM observed. It returns whether that changed the limit.
// Where it is not certain which observation is newer, the target counts as limited.
func (l *Live) LimitReported(r Report) bool {
	at := instant(r.Earliest)
	if r.Named {
		at = instant(r.Latest)
	}
	for {
		old := l.limit.Load()
		if old == nil && !r.Named || old != nil && old.at >= at {
			return false
		}
		if l.limit.CompareAndSwap(old, &limitState{Limit: r.Limit, at: at}) {
			return old == nil || old.Limit != r.Limit
		}
	}
}

// Limit returns the limit in force. It does not age: a target without traffic says nothing, and
// is not to get all of it at once later.
func (l *Live) Limit() Limit {
	if b := l.limit.Load(); b != nil {
		return b.Limit
	}
	return Limit{}
}

// LimitObserved returns the limit that the target's answers told this VM, for how long they have
// and how old the last one is; ok is false where there is none to report.
func (l *Live) LimitObserved(now time.Time) (limit Limit, lasts, age time.Duration, ok bool) {
	b := l.limit.Load()
	if b == nil || !b.observed || instant(now)-b.at > int64(maxReportAge) {
		return Limit{}, 0, 0, false
	}
	return b.Limit, time.Duration(instant(now) - b.changed), time.Duration(instant(now) - b.at), true
}

// minUsableSlots keeps a target that names a limit of 0 in its region's capacity: it is asked now
// and then, and a region of such targets is better than none.
const minUsableSlots = 0.01

// usableSlots is how many slots the requests keep that the target takes: by Little's law, those
// of its limit where it names one.
func (l *Live) usableSlots() float64 {
	slots := float64(l.Slots)
	if named := l.Limit(); named.Named && l.Service() > 0 {
		return min(slots, max(minUsableSlots, named.Rate*l.Service().Seconds()))
	}
	return slots
}
