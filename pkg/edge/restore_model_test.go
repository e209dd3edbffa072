package edge

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"crocusramp.dev/crocusramp/pkg/storage"
	"crocusramp.dev/crocusramp/pkg/target"
)

// The model below runs the state of several VMs against a store that is restored from copies at random
// moments, and compares it with what operators, targets and VMs did.

// modelConfig is a configuration of the model. Operators write them in the order of written; after a
// restore they may give a lost version out again.
type modelConfig struct{ version, written int64 }

// modelRow is a row of the model's store: a target's entry, an evacuation, a registration or the
// configuration.
type modelRow struct {
	config       *modelConfig
	entry        *target.Entry
	evacuated    string
	registration *Registration
	version      storage.Version
}

type modelStore struct {
	rows    map[string]modelRow
	version storage.Version
	// changedAt is the version of the last change of each key in this era.
	changedAt map[string]int64
}

func (s *modelStore) put(key string, r modelRow) {
	s.version.Number++
	r.version = s.version
	if r.registration != nil {
		v := *r.registration
		v.version = s.version
		r.registration = &v
	}
	s.rows[key] = r
	s.changedAt[key] = s.version.Number
}

func (s *modelStore) remove(key string) {
	s.version.Number++
	delete(s.rows, key)
	s.changedAt[key] = s.version.Number
}

type modelCopy struct {
	rows   map[string]modelRow
	number int64
}

func (s *modelStore) copy() modelCopy { return modelCopy{maps.Clone(s.rows), s.version.Number} }

func (s *modelStore) restore(c modelCopy) {
	s.rows, s.changedAt = maps.Clone(c.rows), map[string]int64{}
	s.version = storage.Version{Era: s.version.Era + 1, Number: c.number}
	for key, r := range s.rows {
		r.version.Era = s.version.Era
		if r.registration != nil {
			v := *r.registration
			v.version = r.version
			r.registration = &v
		}
		s.rows[key] = r
	}
}

// modelVM is a VM's view of the store.
type modelVM struct {
	self        Registration
	cut         bool
	seen        storage.Version
	started     bool
	roster      *roster
	targets     *target.Registry
	evacuations *evacuations
	lost        []Registration
	config      modelConfig
	configRow   storage.Version
	known       map[string]bool // keys of rows that it has read
	// gone holds the targets that it knows to have left.
	gone map[string]bool
	// evacuatedUntil is until when a domain that was evacuated before a restore must stay so.
	evacuatedUntil map[string]time.Time
}

// mutant names a mechanism that the model leaves out.
type mutant string

const (
	mutantNone            mutant = ""
	mutantPlainEntries    mutant = "entries of the restored store replace known ones"
	mutantPlainRoster     mutant = "registrations of the restored store replace known ones"
	mutantNoRewrite       mutant = "lost registrations are not written again"
	mutantPlainEvacuation mutant = "evacuations of the restored store are in force at once"
	mutantLateEvacuation  mutant = "evacuations that were written after the restore are held back, too"
	mutantPlainConfig     mutant = "the configuration of the restored store replaces the known one"
	mutantDroppedConfig   mutant = "a configuration of a version that is given out again is dropped"
	mutantBareNumbers     mutant = "versions are compared without their era"
)

type model struct {
	rand    *rand.Rand
	mutant  mutant
	store   *modelStore
	copies  []modelCopy
	vms     []*modelVM
	now     time.Time
	entries map[string]*target.Entry // what targets last published
	// published holds the sequence number of each target's last entry before it left.
	published map[string]int64
	// left holds the keys of targets that have left, and evacuated the operators' evacuations.
	left      map[string]bool
	evacuated map[string]bool
	config    modelConfig // what operators last wrote
	// endedRows holds the numbers of the rows of evacuations that have ended. A row with such a number
	// may come from a copy.
	endedRows map[string]map[int64]bool
	next      int
	failed    error // the first violation that a VM's sync has found
}

// modelSeeds is the number of random runs of a test.
const modelSeeds = 400

var modelDomains = []string{"fd-a", "fd-b"}

func newModel(seed uint64, m mutant) *model {
	w := &model{
		rand: rand.New(rand.NewPCG(seed, 0)), mutant: m, now: time.Now(), entries: map[string]*target.Entry{}, published: map[string]int64{}, left: map[string]bool{}, evacuated: map[string]bool{}, endedRows: map[string]map[int64]bool{},
		store: &modelStore{rows: map[string]modelRow{}, changedAt: map[string]int64{}},
	}
	for range 5 {
		w.addTarget()
	}
	w.configure()
	for i := range 3 {
		w.vms = append(w.vms, w.startVM(fmt.Sprint("vm-", i)))
	}
	w.copies = append(w.copies, w.store.copy())
	return w
}

func (w *model) startVM(id string) *modelVM {
	w.next++
	v := &modelVM{
		self: Registration{ID: id, PeerAddress: id + ":1", Incarnation: fmt.Sprint("process-", w.next)}, roster: newRoster(id), known: map[string]bool{}, gone: map[string]bool{}, evacuatedUntil: map[string]time.Time{},
		targets: target.NewRegistry(map[string]string{"fd-a": "east", "fd-b": "east"}, w.now), evacuations: newEvacuations(),
	}
	w.sync(v)
	return v
}

func (w *model) addTarget() {
	w.next++
	id := fmt.Sprint("target-", w.next)
	w.entries[id] = &target.Entry{
		Target: target.Target{ID: id, Address: id, FailureDomain: modelDomains[w.next%2], Slots: 1}, Pool: "s", StartedAt: int64(w.next), Sequence: 1,
	}
	w.publish(id)
}

func (w *model) publish(id string) {
	e := *w.entries[id]
	if !w.left[id] {
		w.published[id] = e.Sequence
	}
	w.store.put(id, modelRow{entry: &e})
}

// configure writes the next configuration. It may bear the version of one that a restore has lost; earlier
// copies are then not restored any more, because they may hold the lost one.
func (w *model) configure() {
	again := w.configLost() && w.rand.IntN(2) == 0
	if !again {
		w.config.version++
	}
	w.config.written++
	c := w.config
	w.store.put(configKey, modelRow{config: &c})
	if again {
		w.copies = []modelCopy{w.store.copy()}
	}
}

// configLost reports whether the store lacks the newest configuration.
func (w *model) configLost() bool {
	r, ok := w.store.rows[configKey]
	return ok && *r.config != w.config
}

// applyConfig applies the configuration as Daemon.applyConfig does.
func (w *model) applyConfig(v *modelVM, c modelConfig, row storage.Version) error {
	if c == v.config {
		v.configRow = storage.Latest(v.configRow, row)
		return nil
	}
	replaces := replacesConfig(c.version, v.config.version, row, v.configRow)
	switch w.mutant {
	case mutantPlainConfig:
		replaces = true
	case mutantDroppedConfig:
		replaces = c.version > v.config.version
	}
	if !replaces {
		return nil
	}
	if c.written < v.config.written {
		return fmt.Errorf("%s goes back from configuration %+v to %+v", v.self.ID, v.config, c)
	}
	v.config, v.configRow = c, row
	return nil
}

const configKey = "config"

func (w *model) setEvacuated(domain string, on bool) {
	key := "evacuate/" + domain
	if r, ok := w.store.rows[key]; ok && !on {
		if w.endedRows[domain] == nil {
			w.endedRows[domain] = map[int64]bool{}
		}
		w.endedRows[domain][r.version.Number] = true
	}
	w.evacuated[domain] = on
	if on {
		w.store.put(key, modelRow{evacuated: domain})
	} else if _, ok := w.store.rows[key]; ok {
		w.store.remove(key)
	}
}

// sync brings a VM up to date with the store, as a watcher does.
func (w *model) sync(v *modelVM) {
	if v.cut {
		return
	}
	restored := v.started && w.store.version.Era != v.seen.Era
	if restored {
		v.evacuations.extend(w.now)
		for _, domain := range v.evacuations.list() {
			v.evacuatedUntil[domain] = w.now.Add(restoredRowHold)
		}
	}
	if w.mutant == mutantBareNumbers {
		restored = false
		if w.store.version.Number < v.seen.Number { // a stale read
			return
		}
	}
	full := !v.started || restored
	var rows []Registration
	keys := slices.Sorted(maps.Keys(w.store.rows))
	slices.SortFunc(keys, func(a, b string) int { return w.store.rows[a].version.Compare(w.store.rows[b].version) })
	for _, key := range keys {
		r := w.store.rows[key]
		if !full && w.store.changedAt[key] <= v.seen.Number {
			continue
		}
		v.known[key] = true
		switch {
		case r.entry != nil && restored && w.mutant != mutantPlainEntries:
			v.targets.UpsertRestored(*r.entry, w.now)
		case r.entry != nil:
			v.targets.Upsert(*r.entry, full && !restored, w.now)
		case r.registration != nil && !restored:
			if v.roster.set(*r.registration) {
				v.lost = append(v.lost, v.roster.vms[key])
			}
		case r.config != nil:
			w.failed = cmp.Or(w.failed, w.applyConfig(v, *r.config, r.version))
		case r.registration != nil:
			rows = append(rows, *r.registration)
		default:
			w.applyEvacuation(v, r.evacuated, true, r.version.Number, restored)
		}
	}
	for key := range v.known {
		if _, ok := w.store.rows[key]; ok || (!full && w.store.changedAt[key] <= v.seen.Number) {
			continue
		}
		delete(v.known, key)
		switch domain, evacuation := cutEvacuation(key); {
		case evacuation:
			w.applyEvacuation(v, domain, false, 0, restored)
		case w.entries[key] != nil:
			v.targets.Remove([]string{key}, restored, time.Second, w.now)
		case !restored:
			v.roster.remove(key)
		}
	}
	switch {
	case restored && w.mutant == mutantPlainRoster:
		v.roster.vms = map[string]Registration{}
		for _, r := range rows {
			v.roster.vms[r.ID] = r
		}
	case restored:
		v.lost = v.roster.restore(rows)
	}
	v.seen, v.started = w.store.version, true
	if !v.roster.vms[v.self.ID].equal(v.self) {
		w.store.put(v.self.ID, modelRow{registration: &v.self})
		v.roster.set(v.self)
	}
}

func cutEvacuation(key string) (string, bool) {
	for _, d := range modelDomains {
		if key == "evacuate/"+d {
			return d, true
		}
	}
	return "", false
}

func (w *model) applyEvacuation(v *modelVM, domain string, on bool, row int64, restored bool) {
	if w.mutant == mutantLateEvacuation && on {
		v.evacuations.rows[domain] = row
	}
	if restored && w.mutant != mutantPlainEvacuation && v.evacuations.hold(domain, on, row, w.now) {
		return
	}
	if !restored { // the operators have changed it since
		delete(v.evacuatedUntil, domain)
	}
	v.evacuations.set(domain, on, row)
	v.targets.Evacuate(domain, on, w.now)
}

// expire applies what has become due.
func (w *model) expire(v *modelVM) {
	v.targets.Expire(w.now)
	for domain, on := range v.evacuations.expire(w.now) {
		v.targets.Evacuate(domain, on, w.now)
	}
}

// rewrite writes the lost registrations of other VMs again.
func (w *model) rewrite(v *modelVM) {
	if v.cut || w.mutant == mutantNoRewrite {
		return
	}
	for _, r := range v.lost {
		if r.ID != v.self.ID && v.roster.vms[r.ID] == r && w.store.rows[r.ID].version.Number == r.version.Number && v.seen.Era == w.store.version.Era {
			w.store.put(r.ID, modelRow{registration: &r})
		}
	}
	v.lost = nil
}

func (v *modelVM) used(now time.Time) map[string]bool {
	out := map[string]bool{}
	for _, byRegion := range v.targets.Publish(storage.Version{}).Pools {
		for _, l := range byRegion["east"] {
			out[l.ID] = true
		}
	}
	return out
}

// check reports a target that a VM uses again although it knew that the target had left, or uses although
// its domain was evacuated before a restore, or is evacuated in the store that the VM has read.
func (w *model) check(v *modelVM) error {
	if w.failed != nil {
		return w.failed
	}
	if r := w.store.rows[configKey]; v.seen == w.store.version && *r.config == w.config && v.config != w.config {
		return fmt.Errorf("%s has configuration %+v in force, want %+v", v.self.ID, v.config, w.config)
	}
	used := v.used(w.now)
	for id := range w.left {
		if v.gone[id] && used[id] {
			return fmt.Errorf("%s uses %s again, which has left", v.self.ID, id)
		}
	}
	for id := range used {
		if domain := w.entries[id].FailureDomain; w.evacuated[domain] && w.now.Before(v.evacuatedUntil[domain]) {
			return fmt.Errorf("%s uses %s, whose domain was evacuated before the restore", v.self.ID, id)
		}
	}
	for id := range used {
		domain := w.entries[id].FailureDomain
		r, listed := w.store.rows["evacuate/"+domain]
		if listed && v.seen == w.store.version && w.evacuated[domain] && !w.endedRows[domain][r.version.Number] {
			return fmt.Errorf("%s uses %s, whose domain is evacuated", v.self.ID, id)
		}
	}
	for _, s := range v.targets.States() {
		// A VM that removed an earlier entry, which had lapsed, does not know that the target has left.
		if w.left[s.ID] && (s.Draining || s.Removed) && s.Sequence >= w.published[s.ID] {
			v.gone[s.ID] = true
		}
	}
	return nil
}

// step does something at random.
func (w *model) step() {
	w.now = w.now.Add(time.Duration(w.rand.IntN(300)) * time.Millisecond)
	ids := slices.Sorted(maps.Keys(w.entries))
	id := ids[w.rand.IntN(len(ids))]
	v := w.vms[1+w.rand.IntN(len(w.vms)-1)] // the first VM is never cut off and does not stop
	switch w.rand.IntN(11) {
	case 0:
		w.addTarget()
	case 1, 2: // a target drains, or its entry is removed
		if w.left[id] || len(w.left) >= len(w.entries)-2 {
			return
		}
		w.left[id] = true
		if w.rand.IntN(2) == 0 {
			w.entries[id].Draining = true
			w.entries[id].Sequence++
			w.publish(id)
		} else {
			w.store.remove(id)
		}
	case 3:
		w.setEvacuated(modelDomains[0], w.rand.IntN(2) == 0)
	case 4:
		v.cut = !v.cut
	case 5: // a VM stops and another process of it may start
		i := slices.Index(w.vms, v)
		if v.cut || len(w.vms) < 3 {
			return
		}
		left := v.self
		left.Left = true
		w.store.put(v.self.ID, modelRow{registration: &left})
		w.vms = slices.Delete(w.vms, i, i+1)
		if w.rand.IntN(2) == 0 {
			w.sync(w.vms[0])
			w.vms = append(w.vms, w.startVM(v.self.ID))
		}
	case 6:
		w.next++
		w.vms = append(w.vms, w.startVM(fmt.Sprint("vm-", w.next)))
	case 7:
		w.copies = append(w.copies, w.store.copy())
	case 8:
		w.sync(w.vms[0])
		w.store.restore(w.copies[max(0, len(w.copies)-1-w.rand.IntN(2))])
	case 9:
		w.writeAgain()
	case 10:
		w.configure()
	}
}

// writeAgain has operators and targets write again what was lost.
func (w *model) writeAgain() {
	if w.configLost() {
		c := w.config
		w.store.put(configKey, modelRow{config: &c})
	}
	for _, domain := range modelDomains {
		w.setEvacuated(domain, w.evacuated[domain])
	}
	for id, e := range w.entries {
		e.Sequence++
		if !w.left[id] || (e.Draining && w.rand.IntN(2) == 0) {
			w.publish(id)
		}
	}
}

// run returns the first violation.
func (w *model) run() error {
	for range 60 {
		w.step()
		for i, v := range w.vms {
			if i == 0 || w.rand.IntN(3) > 0 {
				w.sync(v)
				w.expire(v)
			}
			if w.rand.IntN(3) == 0 {
				w.rewrite(v)
			}
			if err := w.check(v); err != nil {
				return err
			}
		}
	}
	return w.settle()
}

// settle ends all faults, lets everything be written again, and compares the VMs' views with what
// really is.
func (w *model) settle() error {
	w.writeAgain()
	for range 4 {
		for _, v := range w.vms {
			v.cut = false
			w.sync(v)
			w.rewrite(v)
		}
	}
	w.now = w.now.Add(10 * time.Second)
	running := map[string]bool{}
	for _, v := range w.vms {
		running[v.self.ID] = true
	}
	for _, v := range w.vms {
		w.sync(v)
		w.expire(v)
		if err := w.check(v); err != nil {
			return err
		}
		for id, r := range v.roster.vms {
			if !r.Left && !running[id] {
				return fmt.Errorf("%s counts %s, which has left", v.self.ID, id)
			}
		}
		used := v.used(w.now)
		for id := range running {
			if r, ok := v.roster.vms[id]; !ok || r.Left {
				return fmt.Errorf("%s does not count %s", v.self.ID, id)
			}
		}
		for id, e := range w.entries {
			if want := !w.left[id] && !w.evacuated[e.FailureDomain]; used[id] != want && want {
				return fmt.Errorf("%s does not use %s", v.self.ID, id)
			} else if used[id] != want && w.evacuated[e.FailureDomain] {
				return fmt.Errorf("%s uses %s, whose domain is evacuated", v.self.ID, id)
			}
		}
	}
	return nil
}

// TestRestoreModel checks random interleavings of changes, copies, restores, cuts and restarts.
func TestRestoreModel(t *testing.T) {
	for seed := range uint64(modelSeeds) {
		if err := newModel(seed, mutantNone).run(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// TestRestoreModelFindsMutants checks that the model fails without each mechanism.
func TestRestoreModelFindsMutants(t *testing.T) {
	for _, m := range []mutant{mutantPlainEntries, mutantPlainRoster, mutantNoRewrite, mutantPlainEvacuation, mutantLateEvacuation, mutantPlainConfig, mutantDroppedConfig, mutantBareNumbers} {
		t.Run(string(m), func(t *testing.T) {
			for seed := range uint64(modelSeeds) {
				if err := newModel(seed, m).run(); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("the model finds nothing")
		})
	}
}
