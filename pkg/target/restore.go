package target

import "time"

// State is what a VM knows of one incarnation of a target. VMs exchange states because the platform's
// list may go back to an earlier state.
type State struct {
	ID string
	// StartedAt identifies the incarnation: its start time in Unix milliseconds; 0 if unknown.
	StartedAt int64
	// Sequence is the sequence number of the last known entry of the incarnation.
	Sequence int64
	Draining bool
	// Removed reports that the entry has disappeared from the list.
	Removed bool
	// Unconfirmed reports that the entry has returned to the list and the target has not passed a health check
	// since.
	Unconfirmed bool
}

// UpsertRestored adds or updates an entry that was read after the list had gone back to an earlier
// state. Unlike for Upsert, the latest known entry is also outdated, because it may have been removed since.
// What is known stays in force until the target publishes again.
func (r *Registry) UpsertRestored(e Entry, now time.Time) (*Live, Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.upsert(e, e.notNewerThan, false, now)
}

// notNewerThan reports whether an entry with the given incarnation and sequence number is at least as new
// as e.
func (e *Entry) notNewerThan(startedAt, sequence int64) bool {
	if startedAt != e.StartedAt {
		return startedAt > e.StartedAt
	}
	return sequence >= e.Sequence
}

// State returns the latest known state of a target that is listed or was removed recently. It is zero if there is
// none.
func (r *Registry) State(id string) State {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, _ := r.latest(id)
	return state
}

// States returns the known states of all targets that are listed or were removed recently.
func (r *Registry) States() []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]State, 0, len(r.records)+len(r.tombstones))
	for id, t := range r.tombstones {
		if r.records[id] == nil {
			out = append(out, t.state(id))
		}
	}
	for id, rec := range r.records {
		out = append(out, rec.state(id))
	}
	return out
}

func (t *tombstone) state(id string) State {
	return State{ID: id, StartedAt: t.live.StartedAt, Sequence: t.sequence, Draining: t.draining, Removed: true}
}

func (rec *record) state(id string) State {
	return State{ID: id, StartedAt: rec.live.StartedAt, Sequence: rec.sequence, Draining: rec.draining}
}

// ApplyStates applies what another VM knows to the listed targets, where it is newer. It returns the
// incarnations that it removed.
func (r *Registry) ApplyStates(states []State, now time.Time) (removed []*Live) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range states {
		rec := r.records[s.ID]
		if rec == nil || s.StartedAt < rec.live.StartedAt || (s.StartedAt == rec.live.StartedAt && s.Sequence < rec.sequence) {
			continue
		}
		if s.Unconfirmed {
			rec.confirmLater()
			continue
		}
		if s.Removed || s.StartedAt > rec.live.StartedAt {
			listed := rec.entry()
			rec.sequence = max(rec.sequence, s.Sequence)
			removed = append(removed, r.deleteRecord(s.ID, now))
			r.outdated[s.ID] = outdatedEntry{Entry: listed, readAt: now, byPeer: true}
			continue
		}
		rec.sequence, rec.draining = s.Sequence, rec.draining || s.Draining
	}
	return removed
}
