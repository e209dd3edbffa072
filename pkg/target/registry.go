package target

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/storage"
)

const (
	// removalHold is how long targets that are missing from the list are kept if the
	// list was unreadable before. The platform guarantees that live targets are listed
	// again about 2 s after the list becomes readable.
	removalHold = 2 * time.Second
	// tombstoneTTL is how long the incarnation of a removed entry is remembered: an
	// entry that returns unchanged is the same process and has not restarted.
	tombstoneTTL = 30 * time.Second
	// OutdatedHold is how long a listed entry that is older than what is known of its target is ignored. The
	// platform no longer lists it by then if its target is silent, and a target that has published since may
	// have changed nothing but the sequence number, which this VM is not told.
	OutdatedHold = 5 * time.Second
	// massRemovalFraction is the fraction of all targets above which a removal at once may be
	// entries that expired in the list, rather than targets that ended.
	massRemovalFraction = 0.25
	// outageFraction is the fraction above which a removal at once is taken for an outage
	// of the list that this VM did not notice: no planned work removes so many targets.
	outageFraction = 0.6
	// minMassRemoval is the smallest number of targets that counts as a mass removal.
	minMassRemoval = 3
	// minHeldFraction is the fraction of a region's capacity up to which held targets get no
	// requests, because the other targets can carry the load.
	minHeldFraction = 0.5
)

// firstSequence is the sequence number of the first entry that a target publishes.
const firstSequence = 1

// Entry is the description that a target publishes in the platform's list.
type Entry struct {
	Target
	// Pool is the service that the target belongs to.
	Pool string
	// Draining targets accept no new requests.
	Draining bool
	// StartedAt is the start time of the target in Unix milliseconds; 0 if unknown.
	StartedAt int64
	// Sequence counts what the target has published since its start.
	Sequence int64
	// ColdFor is how much longer the target is slow, as of the writing of the entry.
	ColdFor time.Duration
}

// Snapshot is an immutable view of the usable targets.
type Snapshot struct {
	// Pools holds the usable targets by pool and region, in order of ID.
	Pools map[string]map[string][]*Live
	// Version is the version of the list that the snapshot was made from.
	Version storage.Version
}

// record is one entry of the list.
type record struct {
	live *Live
	// sequence is the sequence number of the entry's last known state.
	sequence int64
	draining bool
	// removedAt is when the entry disappeared from the list; zero while it is listed.
	removedAt time.Time
	// hold is how long after removedAt the entry is kept.
	hold time.Duration
	// expired is set if the entry may have expired rather than been removed. It is false while it is listed.
	expired bool
	// firstRead is set if the entry was listed when this VM read the list for the first time, and no peer has told
	// of its return since.
	firstRead bool
}

// tombstone is the remembered incarnation of a removed entry.
type tombstone struct {
	live      *Live
	sequence  int64
	draining  bool
	removedAt time.Time
	expired   bool // as in record
}

// Registry builds snapshots from the platform's list of targets. It does no I/O and
// reads no clock.
type Registry struct {
	mu           sync.Mutex
	regions      map[string]string // region by failure domain
	processStart time.Time
	records      map[string]*record
	tombstones   map[string]tombstone
	// outdated holds the listed entries that are older than what is known of their targets, by ID.
	outdated map[string]outdatedEntry
	// returned holds the IDs of the targets that await a health check since their entry returned.
	returned map[string]bool
	services map[string]*config.Service
	// evacuated holds the failure domains that get no requests.
	evacuated map[string]bool
	version   storage.Version
	// readableSince is when the list became readable again after its last outage.
	readableSince time.Time
	snapshot      atomic.Pointer[Snapshot]
}

// NewRegistry returns an empty registry. regions maps each failure domain to its
// region; processStart is the start of this process.
func NewRegistry(regions map[string]string, processStart time.Time) *Registry {
	r := &Registry{regions: regions, processStart: processStart, records: map[string]*record{}, tombstones: map[string]tombstone{}, outdated: map[string]outdatedEntry{}, returned: map[string]bool{}, evacuated: map[string]bool{}}
	r.snapshot.Store(&Snapshot{})
	return r
}

// Admits reports whether requests may be sent to the incarnation at now.
func (s *Snapshot) Admits(l *Live, now time.Time) bool {
	return l.AcceptsRequests(now) && slices.Contains(s.Pools[l.Pool][l.Region], l)
}

// Snapshot returns the latest snapshot. It is never nil.
func (r *Registry) Snapshot() *Snapshot { return r.snapshot.Load() }

// Change is what an entry of the list has changed.
type Change uint8

const (
	// Updated is an entry of a target that is in the list already.
	Updated Change = iota
	// Added is the first entry of an incarnation.
	Added
	// Returned is an entry of an incarnation whose entry had been removed from the list.
	Returned
	// Outdated is an entry that was written before the known state of the target. It changes nothing.
	Outdated
)

// String returns the change's name in the log.
func (c Change) String() string {
	switch c {
	case Updated:
		return "updated"
	case Added:
		return "added"
	case Returned:
		return "returned"
	default:
		return "outdated"
	}
}

// Upsert adds or updates an entry. firstRead is true for entries that were listed when
// this VM read the list for the first time; how long ago those targets started is
// unknown. An entry that its target wrote before the known state changes nothing: the
// list's store may apply a write seconds after later ones.
func (r *Registry) Upsert(e Entry, firstRead bool, now time.Time) (*Live, Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.upsert(e, e.olderThan, firstRead, now)
}

func (r *Registry) upsert(e Entry, isOutdated func(startedAt, sequence int64) bool, firstRead bool, now time.Time) (*Live, Change) {
	delete(r.outdated, e.ID)
	if known, live := r.latest(e.ID); live != nil && isOutdated(known.StartedAt, known.Sequence) {
		if !known.Removed && known.StartedAt == e.StartedAt && known.Sequence == e.Sequence {
			return live, Updated
		}
		r.outdated[e.ID] = outdatedEntry{Entry: e, readAt: now}
		return live, Outdated
	}
	return r.apply(e, firstRead, now)
}

// apply applies an entry whatever is known of its target.
func (r *Registry) apply(e Entry, firstRead bool, now time.Time) (*Live, Change) {
	rec, change := r.records[e.ID], Updated
	switch {
	case rec == nil || !rec.live.matches(&e):
		rec, change = r.addRecord(e, firstRead)
		rec.firstRead = firstRead
		if s := r.services[e.Pool]; change == Added && s != nil && !firstRead {
			rec.live.SetCold(s.ColdStart, now)
		}
	case !rec.removedAt.IsZero():
		change = Returned
		r.confirmReturn(rec.live, rec.expired)
	}
	rec.draining, rec.sequence = e.Draining, e.Sequence
	rec.removedAt, rec.expired = time.Time{}, false
	rec.live.SetCold(e.ColdFor, now)
	return rec.live, change
}

// latest returns the latest known state of a target that is listed or was removed recently. live is nil if there
// is none.
func (r *Registry) latest(id string) (State, *Live) {
	if rec := r.records[id]; rec != nil {
		return rec.state(id), rec.live
	}
	if t, ok := r.tombstones[id]; ok {
		return t.state(id), t.live
	}
	return State{}, nil
}

// olderThan reports whether the target wrote e before the entry with the given incarnation and sequence
// number. It returns false if their order is unknown.
func (e *Entry) olderThan(startedAt, sequence int64) bool {
	switch {
	case startedAt == 0 || e.StartedAt == 0:
		return false
	case startedAt != e.StartedAt:
		return e.StartedAt < startedAt
	default:
		return e.Sequence != 0 && e.Sequence < sequence
	}
}

// addRecord adds the record of an entry.
func (r *Registry) addRecord(e Entry, firstRead bool) (*record, Change) {
	previous := r.records[e.ID]
	rec := &record{}
	r.records[e.ID] = rec
	if t, ok := r.tombstones[e.ID]; ok && t.live.matches(&e) && e.StartedAt != 0 {
		delete(r.tombstones, e.ID)
		rec.live = t.live
		r.confirmReturn(t.live, t.expired)
		return rec, Returned
	}
	rec.live = r.newLive(e)
	switch {
	case previous != nil && previous.live.StartedAt == e.StartedAt:
		rec.live.copyAnnouncements(previous.live)
	case !firstRead && e.Sequence > firstSequence:
		r.confirmReturn(rec.live, false) // this VM may have missed that the target has left
	}
	return rec, Added
}

// confirmReturn makes a target whose entry has returned await a health check unless the entry may have expired: a write
// that was applied late lists targets that have left.
func (r *Registry) confirmReturn(l *Live, expired bool) {
	if !expired {
		l.SetSuspect()
		r.returned[l.ID] = true
	}
}

// deleteRecord deletes a record and remembers its incarnation for tombstoneTTL.
func (r *Registry) deleteRecord(id string, now time.Time) *Live {
	rec := r.records[id]
	delete(r.records, id)
	delete(r.outdated, id)
	delete(r.returned, id)
	r.tombstones[id] = tombstone{rec.live, rec.sequence, rec.draining, now, rec.expired}
	return rec.live
}

// matches reports whether the entry describes this incarnation.
func (l *Live) matches(e *Entry) bool {
	return l.StartedAt == e.StartedAt && l.Address == e.Address && l.Pool == e.Pool && l.FailureDomain == e.FailureDomain && l.Slots == e.Slots
}

func (r *Registry) newLive(e Entry) *Live {
	t := e.Target
	t.Region = r.regions[e.FailureDomain]
	return &Live{Target: t, Pool: e.Pool, StartedAt: e.StartedAt, Hash: xxhash.Sum64String(e.ID), processStart: instant(r.processStart)}
}

// Removal is the result of Remove for the targets whose entries disappeared from the list.
type Removal struct {
	// Removed targets are no longer used.
	Removed []*Live
	// Held targets are kept for a while, because their entries may only have expired.
	Held []*Live
	// HeldUntil is when the held targets are removed too.
	HeldUntil time.Time
}

// Remove handles entries that disappeared from the list. afterOutage is true if the list
// was unreadable just before; drainTime is how long a target continues to serve after it has
// left the list.
func (r *Registry) Remove(ids []string, afterOutage bool, drainTime time.Duration, now time.Time) Removal {
	r.mu.Lock()
	defer r.mu.Unlock()
	if afterOutage {
		r.readableSince = now
	}
	hold, expired := time.Duration(0), afterOutage
	switch {
	case now.Sub(r.readableSince) < removalHold && !r.readableSince.IsZero():
		hold, expired = r.readableSince.Add(removalHold).Sub(now), true
	case len(ids) >= minMassRemoval && float64(len(ids)) > outageFraction*float64(len(r.records)):
		hold, expired = removalHold, true
	case len(ids) >= minMassRemoval && float64(len(ids)) > massRemovalFraction*float64(len(r.records)):
		// Entries that only expired are listed again before the time by which a
		// target that has left must get no more requests.
		hold = drainTime / 2
	}
	out := Removal{HeldUntil: now.Add(hold)}
	for _, id := range ids {
		delete(r.outdated, id)
		rec := r.records[id]
		if rec == nil {
			continue
		}
		rec.expired = expired && !rec.draining
		if hold <= 0 || rec.draining {
			out.Removed = append(out.Removed, r.deleteRecord(id, now))
			continue
		}
		rec.removedAt, rec.hold = now, hold
		out.Held = append(out.Held, rec.live)
	}
	return out
}

// Expire removes the entries whose hold has ended and returns their targets.
func (r *Registry) Expire(now time.Time) []*Live {
	r.mu.Lock()
	defer r.mu.Unlock()
	var gone []*Live
	for id, rec := range r.records {
		if !rec.removedAt.IsZero() && now.Sub(rec.removedAt) >= rec.hold {
			gone = append(gone, r.deleteRecord(id, now))
		}
	}
	for id, t := range r.tombstones {
		if now.Sub(t.removedAt) > tombstoneTTL {
			delete(r.tombstones, id)
		}
	}
	return gone
}

// SetServices sets the services of the configuration.
func (r *Registry) SetServices(s map[string]*config.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.services = s
}

// Evacuate sets whether a failure domain gets no requests. Its targets count as cold
// when it returns to use, because they may be.
func (r *Registry) Evacuate(domain string, on bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if on {
		r.evacuated[domain] = true
		return
	}
	if !r.evacuated[domain] {
		return
	}
	delete(r.evacuated, domain)
	for _, rec := range r.records {
		if rec.live.FailureDomain != domain {
			continue
		}
		if s := r.services[rec.live.Pool]; s != nil {
			rec.live.SetCold(s.ColdStart, now)
		}
	}
}

// Publish makes a new snapshot of the present state, as of a version of the list.
func (r *Registry) Publish(version storage.Version) *Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = storage.Latest(r.version, version)
	s := &Snapshot{Pools: map[string]map[string][]*Live{}, Version: r.version}
	heldInUse := r.heldInUse()
	for _, rec := range r.records {
		l := rec.live
		if rec.draining || l.Region == "" || r.evacuated[l.FailureDomain] {
			continue
		}
		if !rec.removedAt.IsZero() && !heldInUse[poolRegion{l.Pool, l.Region}] {
			continue
		}
		regions := s.Pools[l.Pool]
		if regions == nil {
			regions = map[string][]*Live{}
			s.Pools[l.Pool] = regions
		}
		regions[l.Region] = append(regions[l.Region], l)
	}
	for _, regions := range s.Pools {
		for _, list := range regions {
			slices.SortFunc(list, func(a, b *Live) int { return strings.Compare(a.ID, b.ID) })
		}
	}
	r.snapshot.Store(s)
	return s
}

type poolRegion struct{ pool, region string }

// heldInUse returns the pools and regions in which held targets are more than minHeldFraction of
// the capacity, so that the others cannot carry the load without them.
func (r *Registry) heldInUse() map[poolRegion]bool {
	held, total := map[poolRegion]int{}, map[poolRegion]int{}
	for _, rec := range r.records {
		at := poolRegion{rec.live.Pool, rec.live.Region}
		total[at] += rec.live.Slots
		if !rec.removedAt.IsZero() {
			held[at] += rec.live.Slots
		}
	}
	inUse := map[poolRegion]bool{}
	for at, slots := range held {
		inUse[at] = float64(slots) > minHeldFraction*float64(total[at])
	}
	return inUse
}

// UsableSlots returns the capacity, in slots, of the targets that are healthy and not leaving: all of
// it, and the part that they accept requests for at now, given their backoffs and limits.
func UsableSlots(list []*Live, now time.Time) (total, available float64) {
	for _, l := range list {
		if !l.Healthy() || l.Leaving() {
			continue
		}
		total += float64(l.Slots)
		if l.BackoffRemaining(now) == 0 {
			available += l.usableSlots()
		}
	}
	return total, available
}

// All returns the listed targets.
func (r *Registry) All() []*Live {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*Live, 0, len(r.records))
	for _, rec := range r.records {
		out = append(out, rec.live)
	}
	return out
}

// Find returns the incarnation of a target that started at startedAt (Unix milliseconds), or
// nil if it is not listed.
func (r *Registry) Find(id string, startedAt int64) *Live {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec := r.records[id]; rec != nil && rec.live.StartedAt == startedAt {
		return rec.live
	}
	return nil
}

// Suspects returns the listed targets that are suspect and whose health may be checked at now.
func (r *Registry) Suspects(now time.Time) []*Live {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*Live
	for _, rec := range r.records {
		if l := rec.live; l.Suspect() && !l.Replaced() && !l.Leaving() && l.BackoffRemaining(now) == 0 && !rec.draining {
			out = append(out, rec.live)
		}
	}
	return out
}
