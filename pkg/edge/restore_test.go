package edge

import (
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/storage"
	"crocusramp.dev/crocusramp/platform"
)

func registration(id, incarnation string, left bool) Registration {
	return Registration{ID: id, PeerAddress: id + ":1", Incarnation: incarnation, Left: left, version: storage.Version{Era: 1, Number: 5}}
}

// TestRosterAfterRestore checks which registrations hold after a restore of the store, and which
// are written again.
func TestRosterAfterRestore(t *testing.T) {
	left, live := true, false
	for _, tt := range []struct {
		name            string
		history         []Registration // of the VM, as this VM saw it
		swept           bool           // its row was removed
		restored        []Registration
		wantLeft        bool
		wantRewrite     bool
		wantIncarnation string
	}{
		{"unchanged", []Registration{registration("a", "1", live)}, false, []Registration{registration("a", "1", live)}, live, false, "1"},
		{"joined since the copy", []Registration{registration("a", "1", live)}, false, nil, live, true, "1"},
		{"left since the copy", []Registration{registration("a", "1", live), registration("a", "1", left)}, false, []Registration{registration("a", "1", live)}, left, true, "1"},
		{"restarted and left since the copy", []Registration{registration("a", "1", live), registration("a", "2", left)}, false, []Registration{registration("a", "1", live)}, left, true, "2"},
		{"restarted since the copy", []Registration{registration("a", "1", left), registration("a", "2", live)}, false, []Registration{registration("a", "1", left)}, left, false, "1"},
		{"left, and started after the restore", []Registration{registration("a", "1", left)}, false, []Registration{registration("a", "2", live)}, live, false, "2"},
		{"removed since the copy", []Registration{registration("a", "1", left)}, true, []Registration{registration("a", "1", live)}, left, true, "1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := newRoster("self")
			for _, v := range tt.history {
				r.set(v)
			}
			if tt.swept {
				r.remove("a")
			}
			lost := r.restore(tt.restored)
			got := r.vms["a"]
			if got.Left != tt.wantLeft || got.Incarnation != tt.wantIncarnation || (len(lost) == 1) != tt.wantRewrite {
				t.Errorf("registrations %+v, lost %+v", r.vms, lost)
			}
			if tt.restored == nil && got.version != (storage.Version{}) {
				t.Errorf("the lost row has version %v", got.version)
			}
		})
	}
}

// TestLateRowOfEarlierProcess guards against a row of a VM's earlier process that the store applies after that of the
// later one: the VMs took the running process for one that had left, and never shared the limits with it again (QUOTA).
func TestLateRowOfEarlierProcess(t *testing.T) {
	joined := func(incarnation string, at float64, left bool) Registration {
		v := registration("a", incarnation, left)
		v.RegisteredAt = at
		return v
	}
	for _, tt := range []struct {
		name     string
		rows     []Registration
		outdated bool // the last one
		wantLeft bool
	}{
		{"left, after the next process has joined", []Registration{joined("1", 10, false), joined("1", 10, true), joined("2", 20, false), joined("1", 10, true)}, true, false},
		{"left", []Registration{joined("1", 10, false), joined("2", 20, false), joined("2", 20, true)}, false, true},
		{"left, the next process has not written", []Registration{joined("1", 10, false), joined("1", 10, true)}, false, true},
		{"joined, after it has left", []Registration{joined("1", 10, false), joined("1", 10, true), joined("1", 10, false)}, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := newRoster("self")
			outdated := false
			for _, v := range tt.rows {
				outdated = r.set(v)
			}
			if got := r.vms["a"]; outdated != tt.outdated || got.Left != tt.wantLeft {
				t.Errorf("outdated %v, registration %+v", outdated, got)
			}
			r.set(joined("3", 30, false))
			if got := r.vms["a"]; got.Left || got.Incarnation != "3" {
				t.Errorf("registration %+v after the next process has joined", got)
			}
		})
	}
}

// TestHeldEvacuations checks that a restored store ends or begins an evacuation only after the time in
// which operators write lost rows again, and not if they do.
func TestHeldEvacuations(t *testing.T) {
	now := time.Now()
	e := newEvacuations()
	e.set("lost", true, 1)
	e.set("written again", true, 2)
	e.set("ended", true, 3)
	e.set("ended", false, 4)
	for domain, on := range map[string]bool{"lost": false, "written again": false, "ended": true} {
		if !e.hold(domain, on, 3, now) {
			t.Errorf("%s is not held", domain)
		}
	}
	if e.hold("never evacuated", false, 0, now) {
		t.Error("an unchanged domain is held")
	}
	e.set("written again", true, 5)
	if due := e.expire(now.Add(restoredRowHold - 1)); len(due) != 0 {
		t.Errorf("in force too early: %v", due)
	}
	if diff := cmp.Diff(map[string]bool{"lost": false, "ended": true}, e.expire(now.Add(restoredRowHold))); diff != "" {
		t.Errorf("in force after the hold (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"ended", "written again"}, e.list(), cmpopts.SortSlices(func(a, b string) bool { return a < b })); diff != "" {
		t.Errorf("evacuated (-want +got):\n%s", diff)
	}
}

// restoreTo returns the store's rows as after a restore from the copy rows, and applies them to the VMs.
func (f *fakeStore) restoreTo(rows map[string]platform.Row, vms ...*suspects) {
	before := f.all()
	f.mu.Lock()
	f.version.Era++
	f.rows = map[string]platform.Row{}
	for key, r := range rows {
		r.Version.Era = f.version.Era
		f.rows[key] = r
	}
	f.mu.Unlock()
	for _, vm := range vms {
		vm.beginEra()
		for _, c := range before {
			if _, ok := rows[c.Key]; !ok {
				vm.apply(platform.Change{Row: platform.Row{Table: fleetTable, Key: c.Key, Version: f.version, Removed: true}}, true)
			}
		}
		for _, c := range f.all() {
			vm.apply(c, true)
		}
	}
}

// TestRestoreKeepsSuspects checks that suspects whose rows were lost stay suspect and are written
// again, and that those that were cleared since the copy are removed again.
func TestRestoreKeepsSuspects(t *testing.T) {
	store, c := &fakeStore{rows: map[string]platform.Row{}}, clock.NewFake(1)
	vm := newTestSuspects(store, c)
	vm.reportTwoDeaths()
	vm.syncOnce(t)
	withSuspect := store.rows
	store.restoreTo(nil, vm)
	if a := vm.list.Assess(poison.BaseHash, []byte("poison")); !a.Quarantined {
		t.Errorf("after the restore: %+v", a)
	}
	vm.syncOnce(t)
	if len(store.rows) != 1 {
		t.Errorf("%d rows, want the suspect's", len(store.rows))
	}
	vm.list.RecordAnswer(poison)
	vm.Clear(poison)
	vm.syncOnce(t)
	store.restoreTo(withSuspect, vm)
	vm.syncOnce(t)
	if len(store.rows) != 0 {
		t.Error("a cleared suspect is in the store again")
	}
}

// TestRestoreGrantsNoMoreTrials lets two VMs compete for trials while the store forgets those that it
// granted: a trial of the lost seconds stays granted, and both VMs get the maximum together.
func TestRestoreGrantsNoMoreTrials(t *testing.T) {
	store, c := &fakeStore{rows: map[string]platform.Row{}}, clock.NewFake(1)
	a, b := newTestSuspects(store, c), newTestSuspects(store, c)
	a.reportTwoDeaths()
	a.syncOnce(t)
	saved := store.rows
	store.rows = map[string]platform.Row{}
	for key, r := range saved {
		store.rows[key] = r
	}
	for _, change := range store.all() {
		b.apply(change, false)
	}
	granted := 0
	try := func(vm *suspects) {
		if vm.Try(t.Context(), poison) {
			granted++
		}
	}
	c.Advance(quarantineTime)
	try(a)
	if granted != 1 {
		t.Fatalf("%d trials granted before the restore, want 1", granted)
	}
	for range 3 {
		store.restoreTo(saved, a, b)
		try(b) // b has not heard of the trial
		if granted != 1 {
			t.Fatal("a trial was granted right after a restore")
		}
		for _, k := range a.list.Cases(0) { // as heartbeats report it
			b.reports.Merge(k, "a")
		}
		a.syncOnce(t)
		c.Advance(restoreTrialHold)
	}
	for range 5 {
		c.Advance(quarantineTime * quarantineBackoff * quarantineBackoff)
		for _, change := range store.all() {
			a.apply(change, false)
			b.apply(change, false)
		}
		try(b)
		try(a)
	}
	if granted != maxTrials {
		t.Errorf("%d trials granted, want %d", granted, maxTrials)
	}
	if cases := a.list.Cases(0); len(cases) != 1 || cases[0].Trials != maxTrials {
		t.Errorf("cases %+v", cases)
	}
}

// trialMutant names a mechanism that trialRun leaves out.
type trialMutant string

const (
	trialMutantNone    trialMutant = ""
	trialMutantNoHold  trialMutant = "trials are granted right after a restore"
	trialMutantNoWords trialMutant = "neither heartbeats nor rows tell of trials after a restore"
)

// trialRun lets VMs compete for trials in random order with copies and restores of the store. It returns
// how many were granted. After each restore, heartbeats and rows reach all VMs within the hold.
func trialRun(t *testing.T, seed uint64, m trialMutant) (granted int) {
	r := rand.New(rand.NewPCG(seed, 0))
	store, c := &fakeStore{rows: map[string]platform.Row{}}, clock.NewFake(1)
	vms := []*suspects{newTestSuspects(store, c), newTestSuspects(store, c), newTestSuspects(store, c)}
	feed := func(vm *suspects) {
		for _, change := range store.all() {
			vm.apply(change, false)
		}
	}
	exchange := func() {
		for _, from := range vms {
			for _, to := range vms {
				for _, k := range from.list.Cases(0) {
					if to != from {
						to.reports.Merge(k, "peer")
					}
				}
			}
		}
		for _, vm := range vms {
			for _, k := range vm.missingRows() {
				_ = vm.writeRow(t.Context(), k.Case, k.version) // another VM may have written it
			}
		}
		for _, vm := range vms {
			feed(vm)
		}
	}
	vms[0].reportTwoDeaths()
	vms[0].syncOnce(t)
	exchange()
	copies := []map[string]platform.Row{maps.Clone(store.rows)}
	told := true // of what was known before the last restore
	var holdEnds clock.Time
	for range 80 {
		vm := vms[r.IntN(len(vms))]
		switch r.IntN(7) {
		case 0, 1:
			if vm.Try(t.Context(), poison) {
				granted++
			}
		case 2:
			copies = append(copies, maps.Clone(store.rows))
		case 3:
			store.restoreTo(copies[max(0, len(copies)-1-r.IntN(2))], vms...)
			told, holdEnds = false, c.Now().Add(restoreTrialHold)
			if m == trialMutantNoHold {
				for _, vm := range vms {
					vm.trialsFrom = 0
				}
			}
		case 4:
			feed(vm)
		default:
			d := time.Duration(r.IntN(9000)) * time.Millisecond
			if !told && c.Now().Add(d) >= holdEnds && m != trialMutantNoWords {
				exchange()
				told = true
			}
			c.Advance(d)
		}
	}
	return granted
}

// TestRestoresGrantNoMoreTrials checks random interleavings of trials, copies and restores, and that the
// check fails without each mechanism.
func TestRestoresGrantNoMoreTrials(t *testing.T) {
	for seed := range uint64(modelSeeds) {
		if n := trialRun(t, seed, trialMutantNone); n > maxTrials {
			t.Fatalf("seed %d: %d trials were granted, at most %d may be", seed, n, maxTrials)
		}
	}
	for _, m := range []trialMutant{trialMutantNoHold, trialMutantNoWords} {
		found := false
		for seed := uint64(0); seed < modelSeeds && !found; seed++ {
			found = trialRun(t, seed, m) > maxTrials
		}
		if !found {
			t.Errorf("%s: nothing is found", m)
		}
	}
}

// TestRecalledEvacuationThatTheStoreLists guards against a domain that is in use again although the store
// lists its evacuation: a peer told of it while the restored row was held back.
func TestRecalledEvacuationThatTheStoreLists(t *testing.T) {
	e, now := newEvacuations(), time.Unix(100, 0)
	e.set("fd-a", true, 7)
	e.set("fd-a", false, 8)
	if !e.hold("fd-a", true, 7, now) {
		t.Fatal("the row of an evacuation that had ended is not held back")
	}
	if !e.recall("fd-a", now) {
		t.Error("a peer's word does not evacuate the domain")
	}
	if ended := e.expire(now.Add(2 * restoredRowHold)); len(ended) > 0 {
		t.Errorf("the state changes to %v once the hold has ended", ended)
	}
}
