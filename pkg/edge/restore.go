package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/storage"
	"crocusramp.dev/crocusramp/platform"
)

// The platform's store may be restored from a copy that is some seconds old. Operators and targets
// then write their rows again, and so does the fleet. Until then, the latest known state stays in
// force; each kind of row has its own order (docs/DESIGN.md, "A store that is restored from a copy").

const (
	// restoredRowHold is how long the known state of a row stays in force that the restored store
	// contradicts: the platform's time for lost rows to be written again.
	restoredRowHold = 2 * time.Second
	// rewriteDelay is how long the lost registration of a VM is left to that VM. Then the other VMs
	// take turns of rewriteTurn to write it again, at most maxRewriteTurns. A turn is longer than
	// the delay with which a feed tells the others of the write.
	rewriteDelay    = time.Second
	rewriteTurn     = time.Second
	maxRewriteTurns = 10
	// rewriteSpread is how far the VMs' writes of a turn are spread.
	rewriteSpread = 300 * time.Millisecond
	// eraSettleTime is how long after a restore VMs that start ask their peers for later changes
	// than those in the store.
	eraSettleTime = 15 * time.Second
	// settleTurn is the time for which each live VM waits for those before it to record the era as settled.
	settleTurn = 2 * time.Second
	// maxRetired bounds the remembered incarnations of VMs.
	maxRetired = 4096
)

// evacuations holds the evacuated failure domains, and the changes that the restored store made to
// them and that are not in force yet. It is safe for concurrent use.
type evacuations struct {
	// known is set once the operators' table has been read.
	known atomic.Bool
	mu    sync.Mutex
	on    map[string]bool
	// rows holds the number of the row that last evacuated each domain. A restored row with another
	// number was written since.
	rows map[string]int64
	held map[string]heldEvacuation
}

// heldEvacuation is a failure domain's state in the store that is put in force at until.
type heldEvacuation struct {
	on    bool
	until time.Time
}

func newEvacuations() *evacuations {
	return &evacuations{on: map[string]bool{}, rows: map[string]int64{}, held: map[string]heldEvacuation{}}
}

// set records a state that was written after the last restore, by the row with the given number.
func (e *evacuations) set(domain string, on bool, row int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.held, domain)
	e.on[domain] = on
	if on {
		e.rows[domain] = row
	}
}

// hold records a state of the restored store. It reports whether the state may be older than the known
// one, which then stays in force for restoredRowHold.
func (e *evacuations) hold(domain string, on bool, row int64, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.on[domain] == on || (on && e.rows[domain] != row) {
		delete(e.held, domain)
		return false
	}
	e.held[domain] = heldEvacuation{on, now.Add(restoredRowHold)}
	return true
}

// recall records that a peer knows a domain to be evacuated. It reports whether the domain is evacuated
// only from now on, for restoredRowHold unless the store lists it.
func (e *evacuations) recall(domain string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.on[domain] {
		return false
	}
	e.on[domain] = true
	if e.held[domain].on { // the store lists it, too
		delete(e.held, domain)
		return true
	}
	e.held[domain] = heldEvacuation{false, now.Add(restoredRowHold)}
	return true
}

// extend restarts the holds after another restore.
func (e *evacuations) extend(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for domain, h := range e.held {
		h.until = now.Add(restoredRowHold)
		e.held[domain] = h
	}
}

// expire returns the states whose hold has ended. They are in force from now on.
func (e *evacuations) expire(now time.Time) map[string]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	due := map[string]bool{}
	for domain, h := range e.held {
		if !now.Before(h.until) {
			due[domain] = h.on
			e.on[domain] = h.on
			delete(e.held, domain)
		}
	}
	return due
}

// list returns the evacuated failure domains.
func (e *evacuations) list() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for domain, on := range e.on {
		if on {
			out = append(out, domain)
		}
	}
	return out
}

// roster holds the registrations of all VMs as the fleet's table lists them. Only one goroutine may use
// it.
type roster struct {
	self string // ID of this VM
	vms  map[string]Registration
	// retired holds the incarnations that have left or were replaced, because a restored store may
	// list them again.
	retired map[string]bool
}

func newRoster(self string) *roster {
	return &roster{self: self, vms: map[string]Registration{}, retired: map[string]bool{}}
}

// remove applies the removal of a row.
func (r *roster) remove(id string) { delete(r.vms, id) }

// set applies a row and remembers the processes that ended by the change. A VM that knew less may have
// written the row of a process again that has left or was replaced; set then keeps what is known of the VM
// and reports that it must be written again.
func (r *roster) set(v Registration) (outdated bool) {
	old := r.vms[v.ID]
	if v.leftBefore(&old) {
		r.retired[v.Incarnation] = true
		old.version = v.version
		r.vms[v.ID] = old
		return true
	}
	if !v.Left && r.retired[v.Incarnation] {
		outdated = true
		if old.Incarnation != "" && !r.retired[old.Incarnation] {
			old.version = v.version
			v = old
		} else {
			v.Left = true
		}
	}
	if len(r.retired) >= maxRetired {
		clear(r.retired)
	}
	if old.Incarnation != "" && old.Incarnation != v.Incarnation {
		r.retired[old.Incarnation] = true
	}
	if v.Left && v.Incarnation != "" {
		r.retired[v.Incarnation] = true
	}
	r.vms[v.ID] = v
	return outdated
}

// leftBefore reports whether v says that an earlier process of the VM than that of w has left. The store may apply
// that row after w.
func (v *Registration) leftBefore(w *Registration) bool {
	return v.Left && !w.Left && v.Incarnation != w.Incarnation && v.RegisteredAt < w.RegisteredAt
}

// restore replaces the registrations by those of a restored store, except for what is known to be
// later. It returns the registrations of other VMs that must be written again, each with the version
// of the row that it replaces. This VM's own registration is not kept if it was lost.
func (r *roster) restore(rows []Registration) (lost []Registration) {
	known := r.vms
	delete(known, r.self)
	r.vms = map[string]Registration{}
	for _, v := range rows {
		if r.retired[v.Incarnation] && !v.Left {
			k, ok := known[v.ID]
			if !ok { // its row had been removed
				k = v
				k.Left = true
			}
			k.version = v.version
			v = k
			lost = append(lost, v)
		}
		r.vms[v.ID] = v
	}
	for id, v := range known {
		if _, ok := r.vms[id]; !ok {
			v.version = storage.Version{}
			r.vms[id] = v
			lost = append(lost, v)
		}
	}
	return lost
}

// setRegistrations applies changed registrations. It reports whether this VM must write its own again.
func (d *Daemon) setRegistrations(ctx context.Context, rows []Registration) (own bool) {
	var outdated []Registration
	for _, v := range rows {
		if !d.roster.set(v) {
			continue
		}
		known := d.roster.vms[v.ID]
		d.log.Warn().Str("vm", v.ID).Str("incarnation", v.Incarnation).Bool("left", v.Left).Str("known_incarnation", known.Incarnation).Bool("known_left", known.Left).
			Stringer("row", v.version).Msg("ignoring an outdated registration")
		outdated = append(outdated, known)
		own = own || (v.Left && v.ID == d.fleet.self.ID)
	}
	d.rewriteLater(ctx, outdated)
	return own
}

// restoreRegistrations applies the registrations of a restored store and has the lost ones written
// again.
func (d *Daemon) restoreRegistrations(ctx context.Context, rows []Registration, version storage.Version) {
	lost := d.roster.restore(rows)
	d.log.Warn().Stringer("row", version).Int("vms", len(d.roster.vms)).Int("lost", len(lost)).Msg("registrations after the restore of the store")
	d.rewriteLater(ctx, lost)
	d.settleLater(ctx, version.Era)
}

// rewriteLater has lost registrations of other VMs written again in the background.
func (d *Daemon) rewriteLater(ctx context.Context, lost []Registration) {
	if len(lost) > 0 {
		d.loop.Go(ctx, func(ctx context.Context) { d.rewriteRegistrations(ctx, lost) })
	}
}

// rewriteRegistrations writes the lost registrations of other VMs that nobody has written again. For
// each of them the live VMs have an order in which they try.
func (d *Daemon) rewriteRegistrations(ctx context.Context, lost []Registration) {
	started := time.Now()
	all, written := len(lost), 0
	wait := rewriteDelay + rand.N(rewriteSpread)
	for turn := 0; turn < maxRewriteTurns; turn++ {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		wait = rewriteTurn
		lost = slices.DeleteFunc(lost, func(v Registration) bool { return v.ID == d.fleet.self.ID || !d.fleet.hasRow(v) })
		if len(lost) == 0 {
			break
		}
		for _, v := range lost {
			if d.rewriteRank(v.ID) <= turn && d.rewriteRegistration(ctx, v) {
				written++
			}
		}
	}
	d.rowsRewritten.Inc(int64(written))
	d.log.Info().Int("lost", all).Int("written", written).Int("not_written", len(lost)).Dur("after_ms", time.Since(started)).Msg("lost registrations are written again")
}

// rewriteRank returns this VM's rank among the live VMs that may write the row of a VM again.
func (d *Daemon) rewriteRank(id string) int {
	view := d.members.View()
	var live []Registration
	for i := range view.Peers {
		if p := &view.Peers[i]; p.State == member.Live && p.ID != id {
			live = append(live, Registration{ID: p.ID})
		}
	}
	return d.fleet.rankFor(xxhash.Sum64String(id), live)
}

// rewriteRegistration writes the lost registration of another VM unless its row has changed. It reports
// whether it did.
func (d *Daemon) rewriteRegistration(ctx context.Context, v Registration) bool {
	row := v.row()
	expected := platform.Row{Table: fleetTable, Key: row.Key, Version: v.version}
	if _, err := d.store.Transact(ctx, platform.Transaction{Expect: []platform.Row{expected}, Writes: []platform.Row{row}}); err != nil {
		d.log.Info().Err(err).Str("vm", v.ID).Msg("did not write the lost registration of another VM again")
		return false
	}
	return true
}

// settleLater records in this VM's row, eraSettleTime from now, that the fleet knows nothing that the
// store of the era lacks. The live VMs take turns of settleTurn, in order of ID, until one has done so.
func (d *Daemon) settleLater(ctx context.Context, era int64) {
	d.loop.Go(ctx, func(ctx context.Context) {
		wait := eraSettleTime
		for turn := 0; ; turn++ {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return
			}
			wait = settleTurn
			if d.store.Era() != era || d.leaving.Load() || d.settledEra.Load() >= era {
				return
			}
			if liveRank(d.members.View()) <= turn && d.settleEra(ctx, era) {
				return
			}
		}
	})
}

// settleEra records the era as settled. It reports whether it did. The write is conditional because a
// delayed one must not replace the row that this VM writes when it stops.
func (d *Daemon) settleEra(ctx context.Context, era int64) bool {
	v := d.registration()
	v.SettledEra = era
	expected := platform.Row{Table: fleetTable, Key: v.ID, Version: d.fleet.ownRow().version}
	if _, err := d.store.Transact(ctx, platform.Transaction{Expect: []platform.Row{expected}, Writes: []platform.Row{v.row()}}); err != nil {
		d.log.Warn().Err(err).Int64("era", era).Msg("failed to record the store's era as settled")
		return false
	}
	d.settledEra.Store(max(d.settledEra.Load(), era))
	d.log.Info().Int64("era", era).Msg("recorded the store's era as settled")
	return true
}

// registration returns this VM's registration as it is written now.
func (d *Daemon) registration() Registration {
	v := d.fleet.self
	v.SettledEra = d.settledEra.Load()
	if at := d.registeredAt.Load(); at != nil {
		v.RegisteredAt = *at
	}
	return v
}
