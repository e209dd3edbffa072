package edge

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/deathreport"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/quarantine"
	"crocusramp.dev/crocusramp/platform"
)

// fakeStore holds rows; writes fail while it is away.
type fakeStore struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	version int64
	away    bool
	writes  int
}

func (f *fakeStore) Transact(_ context.Context, t platform.Transaction) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	if f.away {
		return 0, errors.New("away")
	}
	for _, e := range t.Expect {
		if current := f.rows[e.Key]; current.Version != e.Version {
			return 0, &platform.ConflictError{Current: []platform.Row{current}}
		}
	}
	f.version++
	for _, r := range t.Writes {
		r.Version = f.version
		f.rows[r.Key] = r
	}
	for _, r := range t.Remove {
		delete(f.rows, r.Key)
	}
	return f.version, nil
}

// all returns the rows as a process reads them at its start.
func (f *fakeStore) all() (out []platform.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.rows {
		out = append(out, platform.Change{Row: r})
	}
	return out
}

type noPeers struct{}

func (noPeers) View() *member.View { return &member.View{} }

func newTestSuspects(store *fakeStore, c *clock.Fake) *suspects {
	list := quarantine.NewList(quarantine.Config{Size: maxSuspects, Memory: suspectMemory, Duration: quarantineTime, Backoff: quarantineBackoff, MaxTrials: maxTrials, Answered: maxAnswered, Clock: c})
	return &suspects{
		list: list, store: store, clock: c, log: zerolog.Nop(), first: func() bool { return true },
		reports:   deathreport.New(deathreport.Config{List: list, Members: noPeers{}, Log: zerolog.Nop()}),
		witnessed: make(chan struct{}, 1), rows: map[string]*suspectRow{}, since: map[string]clock.Time{}, own: map[string]bool{},
		asked: map[string]clock.Time{}, heard: map[string]clock.Time{},
	}
}

// writeMissing does once what keep does again and again.
func (s *suspects) writeMissing(t *testing.T) {
	t.Helper()
	for _, c := range s.missing() {
		if err := s.write(t.Context(), c.Case, c.version); err != nil {
			t.Fatal(err)
		}
	}
	s.removeRows(t.Context())
}

var poison = quarantine.NewFingerprint(quarantine.Base{1}, []byte("poison"))

func (s *suspects) twoDeaths() {
	s.Report(poison, quarantine.Death{ID: "a@1", Target: "a"})
	s.Report(poison, quarantine.Death{ID: "b@1", Target: "b", Prior: 1})
}

// TestRestartedFleetKnowsWhatCrashesTargets guards against processes that start and send what the
// ones before them knew to crash targets.
func TestRestartedFleetKnowsWhatCrashesTargets(t *testing.T) {
	store, c := &fakeStore{rows: map[string]platform.Row{}}, clock.NewFake(1)
	before := newTestSuspects(store, c)
	before.twoDeaths()
	before.writeMissing(t)
	after := newTestSuspects(store, c)
	for _, row := range store.all() {
		if !after.apply(row) {
			t.Errorf("%s is no suspect's row", row.Key)
		}
	}
	if j := after.list.Judge(poison.Base, []byte("poison")); !j.Quarantined {
		t.Errorf("after the restart: %+v", j)
	}
}

// TestRestartedFleetKnowsTwoDeaths guards against a fleet that is killed between the deaths that one
// request causes and begins to count anew.
func TestRestartedFleetKnowsTwoDeaths(t *testing.T) {
	store, c := &fakeStore{rows: map[string]platform.Row{}}, clock.NewFake(1)
	before := newTestSuspects(store, c)
	before.Report(poison, quarantine.Death{ID: "a@1", Target: "a"})
	before.Report(poison, quarantine.Death{ID: "b@1", Target: "b"})
	before.writeMissing(t)
	after := newTestSuspects(store, c)
	for _, row := range store.all() {
		after.apply(row)
	}
	j := after.list.Judge(poison.Base, []byte("poison"))
	if j.KeptBack() || j.Deaths != 2 {
		t.Fatalf("after the restart: %+v", j)
	}
	after.Report(poison, quarantine.Death{ID: "c@1", Target: "c", Prior: j.Deaths})
	if j := after.list.Judge(poison.Base, []byte("poison")); !j.Quarantined {
		t.Errorf("after the third death: %+v", j)
	}
}

// TestRowTellsAllDeaths guards against a row that was written early and a fleet that restarts with
// less than its VMs knew.
func TestRowTellsAllDeaths(t *testing.T) {
	store, c := &fakeStore{rows: map[string]platform.Row{}}, clock.NewFake(1)
	before := newTestSuspects(store, c)
	for _, id := range []string{"a", "b", "c"} {
		before.Report(poison, quarantine.Death{ID: id + "@1", Target: id})
		before.writeMissing(t)
	}
	after := newTestSuspects(store, c)
	for _, row := range store.all() {
		after.apply(row)
	}
	if j := after.list.Judge(poison.Base, []byte("poison")); j.Deaths != 3 || !j.KeptBack() {
		t.Errorf("after the restart: %+v", j)
	}
	if writes := store.writes; writes != 2 {
		t.Errorf("%d writes", writes)
	}
	before.writeMissing(t)
	if store.writes != 2 {
		t.Error("written again with nothing new")
	}
}

// TestTrialsOfAFleet has many VMs and their restarts ask for trials: of all of them maxTrials are
// granted.
func TestTrialsOfAFleet(t *testing.T) {
	store, c := &fakeStore{rows: map[string]platform.Row{}}, clock.NewFake(1)
	witness := newTestSuspects(store, c)
	witness.twoDeaths()
	witness.writeMissing(t)
	granted := 0
	for range 6 {
		var vms []*suspects
		for range 5 {
			vm := newTestSuspects(store, c)
			for _, row := range store.all() {
				vm.apply(row)
			}
			vms = append(vms, vm)
		}
		c.Advance(time.Hour / 8)
		for _, vm := range vms {
			if vm.Try(t.Context(), poison) {
				granted++
			}
		}
	}
	if granted != maxTrials {
		t.Errorf("%d trials", granted)
	}
}

// TestRowOutlivesAFloodOfSuspects guards against a row that is removed, and its request freed on all
// VMs, as one VM has had to forget it among many others.
func TestRowOutlivesAFloodOfSuspects(t *testing.T) {
	store, c := &fakeStore{rows: map[string]platform.Row{}}, clock.NewFake(1)
	s := newTestSuspects(store, c)
	s.twoDeaths()
	s.writeMissing(t)
	for i := range 4 * maxSuspects {
		f := quarantine.NewFingerprint(quarantine.Base{2, byte(i), byte(i >> 8)}, nil)
		s.Report(f, quarantine.Death{ID: "c@1", Target: "c"})
	}
	s.writeMissing(t)
	if _, known := s.list.Find(poison); len(store.all()) != 1 || !known {
		t.Errorf("%d rows, known %v", len(store.all()), known)
	}
	c.Advance(suspectMemory + time.Second)
	for range 3 { // it must not come back either
		c.Advance(witnessDelay)
		s.writeMissing(t)
		if n := len(store.all()); n != 0 {
			t.Errorf("%d rows are left for ever", n)
		}
	}
}

// TestNoTrialWithoutTheStore: where the store cannot decide among the VMs, none sends.
func TestNoTrialWithoutTheStore(t *testing.T) {
	store, c := &fakeStore{rows: map[string]platform.Row{}, away: true}, clock.NewFake(1)
	s := newTestSuspects(store, c)
	s.twoDeaths()
	for range 3 {
		if s.Try(t.Context(), poison) {
			t.Error("a trial was granted")
		}
	}
	if store.writes != 1 {
		t.Errorf("the store was asked %d times for as many requests", store.writes)
	}
	store.away = false
	c.Advance(askPause)
	if !s.Try(t.Context(), poison) {
		t.Error("no trial when the store is back")
	}
}

// TestAcquittedRequestIsFreeEverywhere: the row of a request that a target has answered goes, and
// with it what other VMs hold against the request.
func TestAcquittedRequestIsFreeEverywhere(t *testing.T) {
	store, c := &fakeStore{rows: map[string]platform.Row{}}, clock.NewFake(1)
	one, other := newTestSuspects(store, c), newTestSuspects(store, c)
	one.twoDeaths()
	one.writeMissing(t)
	rows := store.all()
	other.apply(rows[0])
	one.list.Answered(poison)
	one.Acquit(poison)
	one.writeMissing(t)
	if left := store.all(); len(left) != 0 {
		t.Fatalf("%d rows are left", len(left))
	}
	rows[0].Removed = true
	other.apply(rows[0])
	if j := other.list.Judge(poison.Base, []byte("poison")); j != (quarantine.Judgement{}) {
		t.Errorf("the other VM: %+v", j)
	}
}

// TestSuspectsAreWrittenByOneVM: a VM that only heard of the deaths leaves the row to the one that
// saw them, for a while.
func TestSuspectsAreWrittenByOneVM(t *testing.T) {
	store, c := &fakeStore{rows: map[string]platform.Row{}}, clock.NewFake(1)
	s := newTestSuspects(store, c)
	for _, d := range []quarantine.Death{{ID: "a@1", Target: "a"}, {ID: "b@1", Target: "b", Prior: 1}} {
		s.reports.TakeIn(quarantine.Case{Fingerprint: poison, Deaths: []quarantine.Death{d}}, "vm-2")
	}
	s.writeMissing(t)
	if store.writes != 0 {
		t.Error("written at once")
	}
	c.Advance(witnessDelay)
	s.writeMissing(t)
	if len(store.all()) != 1 {
		t.Error("not written")
	}
}
