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
}

// UpsertRestored adds or updates an entry that was read after the list had gone back to an earlier
// state. It returns false, and changes nothing, if a later state of the target is known: a later
// incarnation, or a later entry of the same one. That entry stays in force until the target publishes
// again.
func (r *Registry) UpsertRestored(e Entry, now time.Time) (live *Live, applied bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec := r.records[e.ID]; rec != nil {
		if supersedes(rec.live.StartedAt, rec.sequence, &e) {
			return rec.live, false
		}
	} else if t, ok := r.tombstones[e.ID]; ok && supersedes(t.live.StartedAt, t.sequence, &e) {
		return t.live, false
	}
	l, _ := r.upsert(e, false, now)
	return l, true
}

// supersedes reports whether a known entry is at least as new as e.
func supersedes(startedAt, sequence int64, e *Entry) bool {
	if startedAt != e.StartedAt {
		return startedAt > e.StartedAt
	}
	return sequence >= e.Sequence
}

// States returns the known states of all targets that are listed or were removed recently.
func (r *Registry) States() []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]State, 0, len(r.records)+len(r.tombstones))
	for id, t := range r.tombstones {
		if r.records[id] == nil {
			out = append(out, State{ID: id, StartedAt: t.live.StartedAt, Sequence: t.sequence, Removed: true})
		}
	}
	for id, rec := range r.records {
		out = append(out, State{ID: id, StartedAt: rec.live.StartedAt, Sequence: rec.sequence, Draining: rec.draining})
	}
	return out
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
		if s.Removed || s.StartedAt > rec.live.StartedAt {
			rec.sequence = max(rec.sequence, s.Sequence)
			removed = append(removed, r.deleteRecord(s.ID, now))
			continue
		}
		rec.sequence, rec.draining = s.Sequence, rec.draining || s.Draining
	}
	return removed
}
