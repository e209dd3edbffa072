package target

import (
	"time"
)

// limitNews is how old a target's word may be that is told to the other VMs: several times the
// longest time between two heartbeats.
const limitNews = 10 * time.Second

// Limit is what a target says of the requests that it takes from all VMs together.
type Limit struct {
	// Rate is in requests a second. It means nothing unless Named.
	Rate  float64
	Named bool
}

// Report is a target's word on its limit as another VM heard it.
type Report struct {
	Limit
	// Earliest and Latest bound when the VM heard it.
	Earliest, Latest time.Time
}

// belief is what a VM holds of a target's limit.
type belief struct {
	Limit
	at int64 // instant of the word, or before it
	// heard says that the target told this VM itself; changed is the instant at which that
	// was something new.
	heard   bool
	changed int64
}

// LimitNamed takes in that the target named a limit at now. It reports whether that changed
// the limit.
func (l *Live) LimitNamed(rate float64, now time.Time) bool {
	return l.hear(Limit{Rate: rate, Named: true}, now, now)
}

// LimitUnnamed takes in an answer without a limit to a request that was sent at sent. It
// reports whether that ended a limit: one that the target named later than sent goes on.
func (l *Live) LimitUnnamed(sent, now time.Time) bool {
	if b := l.limit.Load(); b == nil || !b.Named {
		return false
	}
	return l.hear(Limit{}, sent, now)
}

// LimitUnclear notes an answer whose word on the limit says nothing. It reports whether that is
// the first one.
func (l *Live) LimitUnclear() bool { return !l.unclear.Swap(true) }

// hear takes in the target's own word, which was true at some moment since at.
func (l *Live) hear(word Limit, at, now time.Time) (changed bool) {
	for {
		old := l.limit.Load()
		next := &belief{Limit: word, at: instant(at), heard: true, changed: instant(now)}
		switch {
		case old == nil && !word.Named, old != nil && old.at > instant(at):
			return false
		case old != nil && old.heard && old.Limit == word:
			next.changed = old.changed
		}
		if l.limit.CompareAndSwap(old, next) {
			return old == nil || old.Limit != word
		}
	}
}

// LimitReported takes in what another VM heard. It reports whether that changed the limit.
// Where it is not certain which word is newer, the target counts as limited.
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
		if l.limit.CompareAndSwap(old, &belief{Limit: r.Limit, at: at}) {
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

// LimitHeard returns the target's last word to this VM itself, for how long it has been that
// and how old it is; ok is false where there is none worth telling.
func (l *Live) LimitHeard(now time.Time) (word Limit, lasts, age time.Duration, ok bool) {
	b := l.limit.Load()
	if b == nil || !b.heard || instant(now)-b.at > int64(limitNews) {
		return Limit{}, 0, 0, false
	}
	return b.Limit, time.Duration(instant(now) - b.changed), time.Duration(instant(now) - b.at), true
}

// usableSlots is how many slots the requests keep that the target takes: by Little's law, those
// of its limit where it names one.
func (l *Live) usableSlots() float64 {
	slots := float64(l.Slots)
	if named := l.Limit(); named.Named && l.Service() > 0 {
		return min(slots, named.Rate*l.Service().Seconds())
	}
	return slots
}
