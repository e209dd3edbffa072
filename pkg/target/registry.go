package target

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusramp.dev/crocusramp/pkg/config"
)

const (
	// removalHold is how long targets that vanished from the list are kept where
	// the list had been unreadable. The platform promises that live targets are
	// back about 2 s after the list's return.
	removalHold = 2 * time.Second
	// gravePeriod is how long the incarnation of a vanished entry is remembered: one
	// that comes back unchanged has not started anew.
	gravePeriod = 30 * time.Second
	// massRemoval is the part of all targets whose removal at once may be a
	// lapse of the list rather than their end.
	massRemoval = 0.25
	// lapsedPart is the part whose removal at once is taken for a lapse that this VM
	// did not notice: no planned work takes so many away.
	lapsedPart = 0.6
	// minMassRemoval is the least number that counts as a mass.
	minMassRemoval = 3
	// heldPart is the part of a region's capacity up to which kept targets get
	// nothing, as the others can do without them.
	heldPart = 0.5
)

// Entry is what a target says of itself in the platform's list.
type Entry struct {
	Target
	// Pool is the service that it belongs to.
	Pool string
	// Draining targets take no new work.
	Draining bool
	// Born is the Unix millisecond of its start; 0 is unknown.
	Born int64
	// ColdFor is how much longer it is slow, when it wrote the entry.
	ColdFor time.Duration
}

// Snapshot is an immutable picture of the targets that may be used.
type Snapshot struct {
	// Pools holds the usable targets by pool and region, in order of ID.
	Pools map[string]map[string][]*Live
	// Version is the list's version that the picture was made from.
	Version int64
}

// record is one entry of the list.
type record struct {
	live     *Live
	draining bool
	// removedAt is when the entry vanished; zero while it is there.
	removedAt time.Time
	hold      time.Duration
}

// grave is an incarnation whose entry vanished.
type grave struct {
	live *Live
	at   time.Time
}

// Registry folds the platform's list of targets into snapshots. It has no I/O
// and no clock.
type Registry struct {
	mu       sync.Mutex
	regions  map[string]string // region by failure domain
	started  time.Time
	records  map[string]*record
	graves   map[string]grave
	services map[string]*config.Service
	// evacuated holds the failure domains that get nothing.
	evacuated map[string]bool
	version   int64
	// returned is when the list could be read again.
	returned time.Time
	snapshot atomic.Pointer[Snapshot]
}

// NewRegistry returns an empty registry. regions names the region of each
// failure domain; started is when this process did.
func NewRegistry(regions map[string]string, started time.Time) *Registry {
	r := &Registry{regions: regions, started: started, records: map[string]*record{}, graves: map[string]grave{}, evacuated: map[string]bool{}}
	r.snapshot.Store(&Snapshot{})
	return r
}

// Admits reports whether requests may be sent to an incarnation at now.
func (s *Snapshot) Admits(l *Live, now time.Time) bool {
	return l.TakesWork(now) && slices.Contains(s.Pools[l.Pool][l.Region], l)
}

// Snapshot returns the present picture. It is never nil.
func (r *Registry) Snapshot() *Snapshot { return r.snapshot.Load() }

// Upsert takes in an entry. first says that it was there when this VM read the
// list for the first time: then nothing is known of when it started. It returns
// the incarnation and whether it is new.
func (r *Registry) Upsert(e Entry, first bool, now time.Time) (live *Live, fresh bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[e.ID]
	if rec == nil || !rec.live.same(&e) {
		rec, fresh = r.enter(e)
		if !fresh {
			rec.live.SetCold(e.ColdFor, now)
			rec.draining = e.Draining
			return rec.live, false
		}
		if s := r.services[e.Pool]; s != nil && !first {
			rec.live.SetCold(s.ColdStart, now)
		}
	}
	rec.draining = e.Draining
	rec.removedAt = time.Time{}
	rec.live.SetCold(e.ColdFor, now)
	return rec.live, fresh
}

// enter makes the record of an entry; fresh is false for an incarnation whose
// entry had vanished.
func (r *Registry) enter(e Entry) (rec *record, fresh bool) {
	before := r.records[e.ID]
	rec = &record{}
	r.records[e.ID] = rec
	if g, ok := r.graves[e.ID]; ok && g.live.same(&e) && e.Born != 0 {
		delete(r.graves, e.ID)
		rec.live = g.live
		return rec, false
	}
	rec.live = r.newLive(e)
	if before != nil && before.live.Born == e.Born {
		rec.live.inherit(before.live)
	}
	return rec, true
}

// bury forgets a record and remembers its incarnation.
func (r *Registry) bury(id string, now time.Time) *Live {
	l := r.records[id].live
	delete(r.records, id)
	r.graves[id] = grave{l, now}
	return l
}

// same reports whether the entry is of this incarnation.
func (l *Live) same(e *Entry) bool {
	return l.Born == e.Born && l.Address == e.Address && l.Pool == e.Pool && l.FailureDomain == e.FailureDomain && l.Slots == e.Slots
}

func (r *Registry) newLive(e Entry) *Live {
	t := e.Target
	t.Region = r.regions[e.FailureDomain]
	return &Live{Target: t, Pool: e.Pool, Born: e.Born, Hash: xxhash.Sum64String(e.ID), since: instant(r.started)}
}

// Removal is what became of entries that vanished from the list.
type Removal struct {
	// Gone targets are used no more.
	Gone []*Live
	// Held targets are used for a while, since the list may have lapsed.
	Held []*Live
	// Until is when those that are held are gone too.
	Until time.Time
}

// Remove takes in that entries vanished. returned says that the list could not
// be read just before; drain is how long a target serves on after it left the
// list.
func (r *Registry) Remove(ids []string, returned bool, drain time.Duration, now time.Time) Removal {
	r.mu.Lock()
	defer r.mu.Unlock()
	if returned {
		r.returned = now
	}
	hold := time.Duration(0)
	switch {
	case now.Sub(r.returned) < removalHold && !r.returned.IsZero():
		hold = r.returned.Add(removalHold).Sub(now)
	case len(ids) >= minMassRemoval && float64(len(ids)) > lapsedPart*float64(len(r.records)):
		hold = removalHold
	case len(ids) >= minMassRemoval && float64(len(ids)) > massRemoval*float64(len(r.records)):
		// A lapse ends sooner than the time in which a target that has left
		// must get nothing.
		hold = drain / 2
	}
	out := Removal{Until: now.Add(hold)}
	for _, id := range ids {
		rec := r.records[id]
		if rec == nil {
			continue
		}
		if hold <= 0 || rec.draining {
			out.Gone = append(out.Gone, r.bury(id, now))
			continue
		}
		rec.removedAt, rec.hold = now, hold
		out.Held = append(out.Held, rec.live)
	}
	return out
}

// Expire drops the entries whose hold has ended and returns them.
func (r *Registry) Expire(now time.Time) []*Live {
	r.mu.Lock()
	defer r.mu.Unlock()
	var gone []*Live
	for id, rec := range r.records {
		if !rec.removedAt.IsZero() && now.Sub(rec.removedAt) >= rec.hold {
			gone = append(gone, r.bury(id, now))
		}
	}
	for id, g := range r.graves {
		if now.Sub(g.at) > gravePeriod {
			delete(r.graves, id)
		}
	}
	return gone
}

// SetServices takes in the configuration's services.
func (r *Registry) SetServices(s map[string]*config.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.services = s
}

// Evacuate sets whether a failure domain gets nothing. Its targets may be cold
// when it is taken back.
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

// Publish makes a new snapshot of what was taken in, as of a version of the list.
func (r *Registry) Publish(version int64) *Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = max(r.version, version)
	s := &Snapshot{Pools: map[string]map[string][]*Live{}, Version: r.version}
	lapsed := r.lapsed()
	for _, rec := range r.records {
		l := rec.live
		if rec.draining || l.Region == "" || r.evacuated[l.FailureDomain] {
			continue
		}
		if !rec.removedAt.IsZero() && !lapsed[poolRegion{l.Pool, l.Region}] {
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

// lapsed tells where so many targets vanished together that the rest cannot do
// without them.
func (r *Registry) lapsed() map[poolRegion]bool {
	held, all := map[poolRegion]int{}, map[poolRegion]int{}
	for _, rec := range r.records {
		at := poolRegion{rec.live.Pool, rec.live.Region}
		all[at] += rec.live.Slots
		if !rec.removedAt.IsZero() {
			held[at] += rec.live.Slots
		}
	}
	out := map[poolRegion]bool{}
	for at, slots := range held {
		out[at] = float64(slots) > heldPart*float64(all[at])
	}
	return out
}

// UsableSlots is the capacity of the targets that are neither suspect nor leave: all of it, and what
// they take of it at now.
func UsableSlots(list []*Live, now time.Time) (all, wanted float64) {
	for _, l := range list {
		if !l.Sound() || l.Leaving() {
			continue
		}
		all += float64(l.Slots)
		if l.BackoffLeft(now) == 0 {
			wanted += l.usableSlots()
		}
	}
	return all, wanted
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

// Find returns a listed incarnation of a target, or nil.
func (r *Registry) Find(id string, born int64) *Live {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec := r.records[id]; rec != nil && rec.live.Born == born {
		return rec.live
	}
	return nil
}

// Suspects returns the listed targets that are suspect and may be asked at now whether they are
// well.
func (r *Registry) Suspects(now time.Time) []*Live {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*Live
	for _, rec := range r.records {
		if l := rec.live; l.Suspect() && !l.Replaced() && !l.Leaving() && l.BackoffLeft(now) == 0 && !rec.draining {
			out = append(out, rec.live)
		}
	}
	return out
}
