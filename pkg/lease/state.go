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

// partition holds one item for each slot, sorted by zero-padded index.
const partition = "slot"

// Row is the value of a slot's item in the table.
type Row struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	// Counter grows with each write that the incarnation attempts.
	Counter int64 `json:"counter"`
	// Region is the home region of the slot.
	Region string `json:"region"`
	// Released rows have no holder; VM and Incarnation name the last one.
	Released bool `json:"released,omitempty"`
	// Idle released rows had no request running under them.
	Idle bool `json:"idle,omitempty"`
}

func key(index int) storage.Key {
	return storage.Key{Partition: partition, Sort: fmt.Sprintf("%06d", index)}
}

// terms are the fixed parameters of the state machine.
type terms struct {
	self     member.Peer
	slots    int
	regions  []string
	duration time.Duration
	margin   time.Duration
	// patience is how long a vacant slot is left to the VM that it is
	// assigned to before any VM takes it.
	patience time.Duration
	// retire ends the granting of permits of a slot and reports whether none
	// is in use; nil is never.
	retire func(index int) bool
}

func (t *terms) region(index int) string {
	if len(t.regions) == 0 {
		return t.self.Region
	}
	return t.regions[index%len(t.regions)]
}

// heldSlot is a slot that this VM may use.
type heldSlot struct {
	since   clock.Time
	until   clock.Time
	renewed clock.Time
	created bool
	idle    bool
}

// seenRow is the last known item of a slot.
type seenRow struct {
	revision int64
	row      Row
	// since is when a read that showed this revision had ended. The holder
	// wrote the revision before it, so its lease began before it.
	since clock.Time
}

// attempt is a write whose effect may not be known yet.
type attempt struct {
	counter int64
	sent    clock.Time
	created bool
	idle    bool
}

// state decides which slots to take, renew and give up. It has no clock and
// does no I/O: the runner tells it what was read and how writes ended.
type state struct {
	terms
	counter int64
	rows    map[int]seenRow
	held    map[int]heldSlot
	// giving holds the slots that this VM no longer uses but whose row still
	// names it.
	giving   map[int]bool
	vacant   map[int]clock.Time
	attempts map[int][]attempt
	stopping bool
}

func newState(t terms) *state {
	return &state{
		terms:    t,
		rows:     map[int]seenRow{},
		held:     map[int]heldSlot{},
		giving:   map[int]bool{},
		vacant:   map[int]clock.Time{},
		attempts: map[int][]attempt{},
	}
}

// observe takes in a complete read of the partition that ended at end.
func (s *state) observe(items []storage.Item, end clock.Time) {
	present := map[string]storage.Item{}
	for _, item := range items {
		present[item.Sort] = item
	}
	for index := range s.slots {
		item, ok := present[key(index).Sort]
		if !ok {
			s.lose(index)
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
		// A row that cannot be read is one that someone else holds until it
		// has been unchanged for a lease.
		_ = json.Unmarshal(item.Value, &seen.row)
		s.rows[index] = seen
	}
	if !s.mine(seen.row) {
		s.lose(index)
		return
	}
	s.confirm(index, seen.row.Counter, end)
}

func (s *state) mine(r Row) bool {
	return !r.Released && r.Incarnation == s.self.Incarnation
}

// lose forgets a slot whose row names another holder or none.
func (s *state) lose(index int) {
	delete(s.held, index)
	delete(s.giving, index)
}

// confirm notes that the attempt with this counter took effect. The lease runs
// from before the write was sent.
func (s *state) confirm(index int, counter int64, now clock.Time) {
	i := slices.IndexFunc(s.attempts[index], func(a attempt) bool { return a.counter == counter })
	if i < 0 {
		return
	}
	a := s.attempts[index][i]
	s.attempts[index] = slices.Delete(s.attempts[index], 0, i+1)
	if s.giving[index] {
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

// written takes in the result of a transaction that plan returned.
func (s *state) written(writes []storage.Write, err error, now clock.Time) {
	if err != nil {
		return // Reading back settles it; a write that failed changed nothing.
	}
	for _, w := range writes {
		index, row := decode(w)
		s.rows[index] = seenRow{revision: w.IfRevision + 1, row: row, since: now}
		if !s.mine(row) {
			s.lose(index)
			continue
		}
		s.confirm(index, row.Counter, now)
	}
}

func decode(w storage.Write) (int, Row) {
	index, err := strconv.Atoi(w.Sort)
	if err != nil {
		panic(fmt.Sprintf("lease: own key does not decode: %v", err))
	}
	var row Row
	if err := json.Unmarshal(w.Value, &row); err != nil {
		panic(fmt.Sprintf("lease: own row does not decode: %v", err))
	}
	return index, row
}

// plan returns the writes of the next transaction, or none: it gives up slots
// first, then renews, then takes. The slots that it gives up are out of use
// from now on.
func (s *state) plan(view *member.View, readStart, now clock.Time) []storage.Write {
	s.noteVacant(view, readStart)
	if s.stopping {
		s.giveAll()
	} else {
		s.chooseGiven(view)
	}
	if writes := s.releases(); len(writes) > 0 || s.stopping {
		return writes
	}
	if writes := s.renewals(now); len(writes) > 0 {
		return writes
	}
	return s.takeovers(view, now)
}

func (s *state) releases() []storage.Write {
	var writes []storage.Write
	for index := range s.slots {
		if s.giving[index] {
			writes = append(writes, s.write(index, true))
		}
	}
	return limitWrites(writes)
}

// renewals renews everything that is held as soon as one slot is due, to keep
// all in one transaction.
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
			writes = append(writes, s.attemptWrite(index, now))
		}
	}
	return limitWrites(writes)
}

func (s *state) takeovers(view *member.View, now clock.Time) []storage.Write {
	var writes []storage.Write
	assigned := s.assign(view)
	for index := range s.slots {
		since, vacant := s.vacant[index]
		overdue := !now.Before(since.Add(s.patience))
		mine := view.Complete && assigned[index] == s.self.Incarnation
		if vacant && (mine || overdue) || s.orphaned(index) {
			writes = append(writes, s.attemptWrite(index, now))
		}
	}
	return limitWrites(writes)
}

// orphaned reports whether the row names this VM though it does not hold the
// slot: a write of which nothing is known any more took effect.
func (s *state) orphaned(index int) bool {
	_, held := s.held[index]
	return s.mine(s.rows[index].row) && !held && !s.giving[index]
}

// attemptWrite makes the write by which this VM takes or renews a slot.
func (s *state) attemptWrite(index int, now clock.Time) storage.Write {
	w := s.write(index, false)
	s.attempts[index] = append(s.attempts[index], attempt{
		counter: s.counter, sent: now, created: w.IfRevision == 0, idle: s.rows[index].row.Released && s.rows[index].row.Idle,
	})
	return w
}

func (s *state) write(index int, released bool) storage.Write {
	s.counter++
	row := Row{
		VM: s.self.ID, Incarnation: s.self.Incarnation, Counter: s.counter,
		Region: s.region(index), Released: released,
	}
	row.Idle = released && s.retire != nil && s.retire(index)
	value, err := json.Marshal(row)
	if err != nil {
		panic(fmt.Sprintf("lease: row does not encode: %v", err))
	}
	return storage.Write{Key: key(index), IfRevision: s.rows[index].revision, Value: value}
}

func limitWrites(w []storage.Write) []storage.Write {
	return w[:min(len(w), storage.MaxTransactWrites)]
}

// stop gives up every slot and takes none from now on.
func (s *state) stop() {
	s.stopping = true
	s.giveAll()
}

func (s *state) giveAll() {
	for index, seen := range s.rows {
		if s.mine(seen.row) {
			s.giving[index] = true
		}
	}
	clear(s.held)
}

// holding lists the slots in use, in order of index.
func (s *state) holding() []Slot {
	var slots []Slot
	for index := range s.slots {
		if h, ok := s.held[index]; ok {
			slots = append(slots, Slot{
				Index: index, Region: s.region(index), Since: h.since, Until: h.until, New: h.created, Idle: h.idle,
			})
		}
	}
	return slots
}
