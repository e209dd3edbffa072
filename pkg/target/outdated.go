package target

import "time"

// The platform's list may apply a write seconds after later ones. A target numbers what it publishes: by its
// start time, and by a sequence number since then. An entry that is older by these numbers than what is known of
// its target is ignored, but remembered while it is listed.

// outdatedEntry is a listed entry that is older than what is known of its target.
type outdatedEntry struct {
	Entry
	readAt time.Time
	// byPeer is set if another VM has told what is known of the target.
	byPeer bool
}

// Outdated returns what this VM has read itself of the targets whose entry in the list is older or has returned and
// awaits a health check, at most limit states. A VM that starts reads only that entry.
func (r *Registry) Outdated(limit int) []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []State
	for id, o := range r.outdated {
		if state, live := r.latest(id); live != nil && !o.byPeer {
			out = append(out, state)
		}
	}
	for id := range r.returned {
		rec := r.records[id]
		if rec == nil || !rec.live.Suspect() {
			delete(r.returned, id)
			continue
		}
		state := rec.state(id)
		state.Unconfirmed = true
		out = append(out, state)
	}
	return out[:min(len(out), limit)]
}

// confirmLater makes a target await a health check whose entry has returned according to another VM. One that has
// followed the list itself has seen the return.
func (rec *record) confirmLater() {
	if rec.firstRead {
		rec.firstRead = false
		rec.live.SetSuspect()
	}
}

// AcceptOutdated applies the entries of removed targets and of earlier incarnations that were outdated when they
// were read, and are listed for OutdatedHold since. Their targets get no requests before they pass a health check.
// It returns these targets.
func (r *Registry) AcceptOutdated(now time.Time) []*Live {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*Live
	for id, o := range r.outdated {
		if now.Sub(o.readAt) < OutdatedHold {
			continue
		}
		delete(r.outdated, id)
		if rec := r.records[id]; rec != nil && rec.live.StartedAt == o.StartedAt {
			continue // the target itself has published what is known
		}
		l, _ := r.apply(o.Entry, false, now)
		l.SetSuspect()
		out = append(out, l)
	}
	return out
}

// entry returns the entry that a record was last updated by.
func (rec *record) entry() Entry {
	return Entry{Target: rec.live.Target, Pool: rec.live.Pool, Draining: rec.draining, StartedAt: rec.live.StartedAt, Sequence: rec.sequence}
}
