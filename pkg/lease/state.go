package lease

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/storage"
)

// partition is the partition of the table with one item for each slot, sorted by
// zero-padded index.
const partition = "slot"

// Row is the value of a slot's item in the table, encoded as JSON.
type Row struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	// Counter grows with each write that the incarnation attempts.
	Counter int64 `json:"counter"`
	// Region is the home region of the slot.
	Region string `json:"region"`
	// Released is set if the slot has no holder; VM and Incarnation then name the last one.
	Released bool `json:"released,omitempty"`
	// Idle is set in a released row if no request ran under the slot at the release.
	Idle bool `json:"idle,omitempty"`
}

func slotKey(index int) storage.Key {
	return storage.Key{Partition: partition, Sort: fmt.Sprintf("%06d", index)}
}

// params are the fixed parameters of the state machine.
type params struct {
	self     member.Peer
	slots    int
	regions  []string
	duration time.Duration
	margin   time.Duration
	// takeoverDelay is how long a vacant slot is reserved for the VM to which it is
	// assigned, before any VM may acquire it.
	takeoverDelay time.Duration
	// retire stops the granting of permits of a slot and reports whether none is in use;
	// a nil function counts as false.
	retire func(index int) bool
}

func (p *params) region(index int) string {
	if len(p.regions) == 0 {
		return p.self.Region
	}
	return p.regions[index%len(p.regions)]
}

// heldSlot is a slot that this VM may use until its lease ends.
type heldSlot struct {
	since   clock.Time
	until   clock.Time
	renewed clock.Time
	// created is set if the slot had no row before this VM acquired it; idle is set if its
	// last holder marked it idle.
	created bool
	idle    bool
}

// seenRow is the last known row of a slot.
type seenRow struct {
	revision int64
	row      Row
	// since is when the first read that returned this revision had ended. The holder
	// wrote the revision earlier, so its lease began earlier.
	since clock.Time
}

// attempt is a write that acquires or renews a slot and whose outcome may be unknown.
type attempt struct {
	counter int64
	sent    clock.Time
	created bool
	idle    bool
}

// state is the state machine that decides which slots to acquire, renew and release. It
// reads no clock and does no I/O: the caller passes the times, the rows that were read
// and the results of writes.
type state struct {
	params
	counter int64
	rows    map[int]seenRow
	held    map[int]heldSlot
	// releasing holds the slots that this VM no longer uses but whose rows still name it
	// as the holder.
	releasing map[int]bool
	// vacant maps the slots that may be acquired to the start of the read that first
	// found them vacant.
	vacant   map[int]clock.Time
	attempts map[int][]attempt
	stopping bool
}

func newState(p params) *state {
	return &state{
		params:    p,
		rows:      map[int]seenRow{},
		held:      map[int]heldSlot{},
		releasing: map[int]bool{},
		vacant:    map[int]clock.Time{},
		attempts:  map[int][]attempt{},
	}
}

// observe applies a complete read of the partition that ended at end.
func (s *state) observe(items []storage.Item, end clock.Time) {
	present := map[string]storage.Item{}
	for _, item := range items {
		present[item.Sort] = item
	}
	for index := range s.slots {
		item, ok := present[slotKey(index).Sort]
		if !ok {
			s.dropSlot(index)
			delete(s.rows, index)
			continue
		}
		s.observeRow(index, item, end)
	}
}

func (s *state) observeRow(index int, item storage.Item, end clock.Time) {
	seen, known := s.rows[index]
	if known && item.Revision < seen.revision {
		return
	}
	if !known || item.Revision != seen.revision {
		seen = seenRow{revision: item.Revision, since: end}
		// A row that cannot be decoded counts as held by another VM until it has been
		// unchanged for the duration of a lease.
		_ = json.Unmarshal(item.Value, &seen.row)
		s.rows[index] = seen
	}
	if !s.isOwn(seen.row) {
		s.dropSlot(index)
		return
	}
	s.confirm(index, seen.row.Counter, end)
}

func (s *state) isOwn(r Row) bool {
	return !r.Released && r.Incarnation == s.self.Incarnation
}

// dropSlot ends the use of a slot whose row names another holder or none.
func (s *state) dropSlot(index int) {
	delete(s.held, index)
	delete(s.releasing, index)
}

// confirm records that the attempt with this counter took effect. The lease starts when
// the write was sent: if it started at the response, it could end after other VMs have
// found the slot vacant.
func (s *state) confirm(index int, counter int64, now clock.Time) {
	i := slices.IndexFunc(s.attempts[index], func(a attempt) bool { return a.counter == counter })
	if i < 0 {
		return
	}
	a := s.attempts[index][i]
	s.attempts[index] = slices.Delete(s.attempts[index], 0, i+1)
	if s.releasing[index] {
		return
	}
	h, ok := s.held[index]
	if !ok {
		h = heldSlot{since: now, created: a.created, idle: a.idle}
	}
	h.renewed = a.sent
	h.until = a.sent.Add(s.duration - s.margin)
	s.held[index] = h
}

// recordResult applies the result of a transaction with writes that plan returned.
func (s *state) recordResult(writes []storage.Write, err error, now clock.Time) {
	if err != nil {
		return // The next read shows whether the writes took effect; a failed write changed nothing.
	}
	for _, w := range writes {
		index, row := decodeWrite(w)
		s.rows[index] = seenRow{revision: w.IfRevision + 1, row: row, since: now}
		if !s.isOwn(row) {
			s.dropSlot(index)
			continue
		}
		s.confirm(index, row.Counter, now)
	}
}

func decodeWrite(w storage.Write) (int, Row) {
	index, err := strconv.Atoi(w.Sort)
	if err != nil {
		panic(fmt.Sprintf("lease: cannot decode the key of an own write: %v", err))
	}
	var row Row
	if err := json.Unmarshal(w.Value, &row); err != nil {
		panic(fmt.Sprintf("lease: cannot decode the row of an own write: %v", err))
	}
	return index, row
}

// plan returns the writes of the next transaction, or none. Releases come first, then
// renewals, then acquisitions. The slots that it releases are no longer used from now on.
func (s *state) plan(view *member.View, readStart, now clock.Time) []storage.Write {
	s.updateVacant(view, readStart)
	if s.stopping {
		s.releaseAll()
	} else {
		s.chooseReleases(view)
	}
	if writes := s.releases(); len(writes) > 0 || s.stopping {
		return writes
	}
	if writes := s.renewals(now); len(writes) > 0 {
		return writes
	}
	return s.acquisitions(view, now)
}

func (s *state) releases() []storage.Write {
	var writes []storage.Write
	for index := range s.slots {
		if s.releasing[index] {
			writes = append(writes, s.newWrite(index, true))
		}
	}
	return limitWrites(writes)
}

// renewals returns the renewals of all held slots as soon as one of them is due, so that
// they stay in one transaction.
func (s *state) renewals(now clock.Time) []storage.Write {
	due := false
	var writes []storage.Write
	for index := range s.slots {
		if h, ok := s.held[index]; ok && !now.Before(h.renewed.Add(s.duration/3)) {
			due = true
		}
	}
	if !due {
		return nil
	}
	for index := range s.slots {
		if _, ok := s.held[index]; ok {
			writes = append(writes, s.acquireWrite(index, now))
		}
	}
	return limitWrites(writes)
}

func (s *state) acquisitions(view *member.View, now clock.Time) []storage.Write {
	var writes []storage.Write
	assigned := s.assign(view)
	for index := range s.slots {
		since, vacant := s.vacant[index]
		overdue := !now.Before(since.Add(s.takeoverDelay))
		assignedToSelf := view.Complete && assigned[index] == s.self.Incarnation
		if vacant && (assignedToSelf || overdue) || s.orphaned(index) {
			writes = append(writes, s.acquireWrite(index, now))
		}
	}
	return limitWrites(writes)
}

// orphaned reports whether the row names this incarnation although it does not hold the
// slot. This happens if a write took effect that is no longer in attempts.
func (s *state) orphaned(index int) bool {
	_, held := s.held[index]
	return s.isOwn(s.rows[index].row) && !held && !s.releasing[index]
}

// acquireWrite returns a write that acquires or renews a slot, and records it in attempts.
func (s *state) acquireWrite(index int, now clock.Time) storage.Write {
	w := s.newWrite(index, false)
	s.attempts[index] = append(s.attempts[index], attempt{
		counter: s.counter, sent: now, created: w.IfRevision == 0, idle: s.rows[index].row.Released && s.rows[index].row.Idle,
	})
	return w
}

func (s *state) newWrite(index int, released bool) storage.Write {
	s.counter++
	row := Row{
		VM: s.self.ID, Incarnation: s.self.Incarnation, Counter: s.counter,
		Region: s.region(index), Released: released,
	}
	row.Idle = released && s.retire != nil && s.retire(index)
	value, err := json.Marshal(row)
	if err != nil {
		panic(fmt.Sprintf("lease: cannot encode a row: %v", err))
	}
	return storage.Write{Key: slotKey(index), IfRevision: s.rows[index].revision, Value: value}
}

func limitWrites(w []storage.Write) []storage.Write {
	return w[:min(len(w), storage.MaxTransactWrites)]
}

// stop starts the release of all slots. No slot is acquired from then on.
func (s *state) stop() {
	s.stopping = true
	s.releaseAll()
}

func (s *state) releaseAll() {
	for index, seen := range s.rows {
		if s.isOwn(seen.row) {
			s.releasing[index] = true
		}
	}
	clear(s.held)
}

// holding returns the held slots in order of index.
func (s *state) holding() []Slot {
	var slots []Slot
	for index := range s.slots {
		if h, ok := s.held[index]; ok {
			slots = append(slots, Slot{
				Index: index, Region: s.region(index), Since: h.since, Until: h.until, Settled: h.created, Idle: h.idle,
			})
		}
	}
	return slots
}
