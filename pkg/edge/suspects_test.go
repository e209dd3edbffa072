package edge

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/deathreport"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/quarantine"
	"crocusramp.dev/crocusramp/pkg/storage"
	"crocusramp.dev/crocusramp/platform"
)

// fakeStore is an in-memory suspectStore. Writes fail while unavailable is set.
type fakeStore struct {
	mu          sync.Mutex
	rows        map[string]platform.Row
	version     storage.Version
	unavailable bool
	writes      int
}

func (f *fakeStore) Transact(_ context.Context, t platform.Transaction) (storage.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	if f.unavailable {
		return storage.Version{}, errors.New("store is unavailable")
	}
	if len(t.Expect)+len(t.Writes)+len(t.Remove) > platform.MaxTransactionRows {
		return storage.Version{}, platform.ErrRejected
	}
	for _, e := range t.Expect {
		if current := f.rows[e.Key]; current.Version != e.Version {
			return storage.Version{}, &platform.ConflictError{Current: []platform.Row{current}}
		}
	}
	f.version.Number++
	for _, r := range t.Writes {
		r.Version = f.version
		f.rows[r.Key] = r
	}
	for _, r := range t.Remove {
		delete(f.rows, r.Key)
	}
	return f.version, nil
}

// all returns all rows as changes, as a process reads them when it starts.
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
	list := quarantine.NewList(quarantine.Config{Size: maxSuspects, Retention: suspectRetention, Duration: quarantineTime, Backoff: quarantineBackoff, MaxTrials: maxTrials, MaxAnswered: maxAnswered, Clock: c})
	return &suspects{
		list: list, members: noPeers{}, store: store, clock: c, log: zerolog.Nop(), isCoordinator: func() bool { return true },
		reports: deathreport.New(deathreport.Config{List: list, Members: noPeers{}, Log: zerolog.Nop()}),
		wakeups: make(chan struct{}, 1), rows: map[string]*suspectRow{}, missingSince: map[string]clock.Time{}, sawDeath: map[string]quarantine.Fingerprint{},
		trialAskedAt: map[string]clock.Time{}, lastHeartbeat: map[string]clock.Time{},
	}
}

// syncOnce does a single pass of syncRows.
func (s *suspects) syncOnce(t *testing.T) {
	t.Helper()
	for _, c := range s.missingRows() {
		if err := s.writeRow(t.Context(), c.Case, c.version); err != nil {
			t.Fatal(err)
		}
	}
	s.removeRows(t.Context())
}

var poison = quarantine.NewFingerprint(quarantine.BaseHash{1}, []byte("poison"))

func (s *suspects) reportTwoDeaths() {
	s.Report(poison, quarantine.Death{ID: "a@1", Target: "a"})
	s.Report(poison, quarantine.Death{ID: "b@1", Target: "b", Prior: 1})
}

// TestRestartedFleetKnowsWhatCrashesTargets guards against restarted processes that send a request
// which the earlier processes knew to crash targets.
func TestRestartedFleetKnowsWhatCrashesTargets(t *testing.T) {
	store, c := &fakeStore{rows: map[string]platform.Row{}}, clock.NewFake(1)
	before := newTestSuspects(store, c)
	before.reportTwoDeaths()
	before.syncOnce(t)
	after := newTestSuspects(store, c)
	for _, row := range store.all() {
		if !after.apply(row, false) {
			t.Errorf("row %s is not recognized as a suspect's row", row.Key)
		}
	}
	if j := after.list.Assess(poison.BaseHash, []byte("poison")); !j.Quarantined {
		t.Errorf("after the restart: %+v", j)
	}
}

// TestRestartedFleetKnowsTwoDeaths guards against a fleet that is killed between two crashes caused by
// the same request and then counts its deaths from zero.
func TestRestartedFleetKnowsTwoDeaths(t *testing.T) {
	store, c := &fakeStore{rows: map[string]platform.Row{}}, clock.NewFake(1)
	before := newTestSuspects(store, c)
	before.Report(poison, quarantine.Death{ID: "a@1", Target: "a"})
	before.Report(poison, quarantine.Death{ID: "b@1", Target: "b"})
	before.syncOnce(t)
	after := newTestSuspects(store, c)
	for _, row := range store.all() {
		after.apply(row, false)
	}
	j := after.list.Assess(poison.BaseHash, []byte("poison"))
	if j.Restricted() || j.Deaths != 2 {
		t.Fatalf("after the restart: %+v", j)
	}
	after.Report(poison, quarantine.Death{ID: "c@1", Target: "c", Prior: j.Deaths})
	if j := after.list.Assess(poison.BaseHash, []byte("poison")); !j.Quarantined {
		t.Errorf("after the third death: %+v", j)
	}
}

// TestRowContainsAllDeaths guards against a row that is written after the first deaths and never updated,
// so that a restarted fleet has fewer deaths on record than before.
func TestRowContainsAllDeaths(t *testing.T) {
	store, c := &fakeStore{rows: map[string]platform.Row{}}, clock.NewFake(1)
	before := newTestSuspects(store, c)
	for _, id := range []string{"a", "b", "c"} {
		before.Report(poison, quarantine.Death{ID: id + "@1", Target: id})
		before.syncOnce(t)
	}
	after := newTestSuspects(store, c)
	for _, row := range store.all() {
		after.apply(row, false)
	}
	if j := after.list.Assess(poison.BaseHash, []byte("poison")); j.Deaths != 3 || !j.Restricted() {
		t.Errorf("after the restart: %+v", j)
	}
	if writes := store.writes; writes != 2 {
		t.Errorf("%d writes to the store, want 2", writes)
	}
	before.syncOnce(t)
	if store.writes != 2 {
		t.Error("the row was written again although nothing changed")
	}
}

// TestTrialsOfAFleet checks that exactly maxTrials trials are granted when many VMs ask for trials
// before and after restarts.
func TestTrialsOfAFleet(t *testing.T) {
	store, c := &fakeStore{rows: map[string]platform.Row{}}, clock.NewFake(1)
	witness := newTestSuspects(store, c)
	witness.reportTwoDeaths()
	witness.syncOnce(t)
	granted := 0
	for range 6 {
		var vms []*suspects
		for range 5 {
			vm := newTestSuspects(store, c)
			for _, row := range store.all() {
				vm.apply(row, false)
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
		t.Errorf("%d trials granted, want maxTrials", granted)
	}
}

// TestRowSurvivesEvictionFromTheList guards against a VM that removes the row of a request, and so
// unblocks it on all VMs, because many other suspects have evicted the request from its list.
func TestRowSurvivesEvictionFromTheList(t *testing.T) {
	store, c := &fakeStore{rows: map[string]platform.Row{}}, clock.NewFake(1)
	s := newTestSuspects(store, c)
	s.reportTwoDeaths()
	s.syncOnce(t)
	for i := range 4 * maxSuspects {
		f := quarantine.NewFingerprint(quarantine.BaseHash{2, byte(i), byte(i >> 8)}, nil)
		s.Report(f, quarantine.Death{ID: "c@1", Target: "c"})
	}
	s.syncOnce(t)
	if _, known := s.list.Find(poison); len(store.all()) != 1 || !known {
		t.Errorf("%d rows, suspect known: %v; want one row and a known suspect", len(store.all()), known)
	}
	c.Advance(suspectRetention + time.Second)
	for range 3 { // the removed row must not come back either
		c.Advance(witnessDelay)
		s.syncOnce(t)
		if n := len(store.all()); n != 0 {
			t.Errorf("%d expired rows are left", n)
		}
	}
}

// TestNoTrialWithoutTheStore checks that no VM is granted a trial while the store, which decides among
// the VMs, is unavailable.
func TestNoTrialWithoutTheStore(t *testing.T) {
	store, c := &fakeStore{rows: map[string]platform.Row{}, unavailable: true}, clock.NewFake(1)
	s := newTestSuspects(store, c)
	s.reportTwoDeaths()
	for range 3 {
		if s.Try(t.Context(), poison) {
			t.Error("a trial was granted while the store was unavailable")
		}
	}
	if store.writes != 1 {
		t.Errorf("%d writes to the store for three requests, want 1", store.writes)
	}
	store.unavailable = false
	c.Advance(trialAskInterval)
	if !s.Try(t.Context(), poison) {
		t.Error("no trial was granted when the store was available again")
	}
}

// TestAnsweredRequestIsClearedOnAllVMs checks that the row of a request is removed when a target has
// answered the request, and that the removal ends the suspicion on the other VMs.
func TestAnsweredRequestIsClearedOnAllVMs(t *testing.T) {
	store, c := &fakeStore{rows: map[string]platform.Row{}}, clock.NewFake(1)
	one, other := newTestSuspects(store, c), newTestSuspects(store, c)
	one.reportTwoDeaths()
	one.syncOnce(t)
	rows := store.all()
	other.apply(rows[0], false)
	one.list.RecordAnswer(poison)
	one.Clear(poison)
	one.syncOnce(t)
	if left := store.all(); len(left) != 0 {
		t.Fatalf("%d rows are left, want none", len(left))
	}
	rows[0].Removed = true
	other.apply(rows[0], false)
	if j := other.list.Assess(poison.BaseHash, []byte("poison")); j != (quarantine.Assessment{}) {
		t.Errorf("the other VM still assesses the request as %+v", j)
	}
}

// TestSuspectsAreWrittenByOneVM checks that a VM that learned of deaths from another VM waits for
// witnessDelay before it writes the row, so that usually only the VM that saw them writes it.
func TestSuspectsAreWrittenByOneVM(t *testing.T) {
	store, c := &fakeStore{rows: map[string]platform.Row{}}, clock.NewFake(1)
	s := newTestSuspects(store, c)
	for _, d := range []quarantine.Death{{ID: "a@1", Target: "a"}, {ID: "b@1", Target: "b", Prior: 1}} {
		s.reports.Merge(quarantine.Case{Fingerprint: poison, Deaths: []quarantine.Death{d}}, "vm-2")
	}
	s.syncOnce(t)
	if store.writes != 0 {
		t.Error("the row was written before witnessDelay")
	}
	c.Advance(witnessDelay)
	s.syncOnce(t)
	if len(store.all()) != 1 {
		t.Error("the row was not written after witnessDelay")
	}
}

// livePeers is a member.Source of a VM "vm-3" with live peers of the given IDs.
type livePeers []string

func (p livePeers) View() *member.View {
	v := &member.View{Self: member.Peer{ID: "vm-3"}}
	for _, id := range p {
		v.Peers = append(v.Peers, member.Peer{ID: id, State: member.Live})
	}
	return v
}

// TestSuspectOutlivesWitness guards against a suspect that is forgotten because the VM that saw the deaths
// is killed before it has written the row, and the others soon after it.
func TestSuspectOutlivesWitness(t *testing.T) {
	store, c := &fakeStore{rows: map[string]platform.Row{}}, clock.NewFake(1)
	s := newTestSuspects(store, c)
	for _, id := range []string{"a", "b", "c"} {
		s.reports.Merge(quarantine.Case{Fingerprint: poison, Deaths: []quarantine.Death{{ID: id + "@1", Target: id}}}, "killed")
	}
	s.syncOnce(t)
	c.Advance(2 * rowSyncPeriod)
	s.syncOnce(t)
	if len(store.all()) != 1 {
		t.Error("the row was not written in the pass after the one of the VM that saw the deaths")
	}
}

// TestLostSuspectIsWrittenAtOnce guards against a suspect that is forgotten because its row is lost in a
// restore of the store, and the VMs that know it are killed soon after that.
func TestLostSuspectIsWrittenAtOnce(t *testing.T) {
	store, c := &fakeStore{rows: map[string]platform.Row{}}, clock.NewFake(1)
	witness, s := newTestSuspects(store, c), newTestSuspects(store, c)
	witness.reportTwoDeaths()
	witness.syncOnce(t)
	for _, change := range store.all() {
		s.apply(change, false)
	}
	store.restoreTo(nil, s)
	select {
	case <-s.wakeups:
	default:
		t.Error("the restore triggers no pass")
	}
	s.syncOnce(t)
	if len(store.all()) != 1 {
		t.Error("the lost row was not written again at once")
	}
}

// TestWitnessWaits checks that the VMs that saw none of a suspect's deaths write its row one after another.
func TestWitnessWaits(t *testing.T) {
	s := newTestSuspects(&fakeStore{}, clock.NewFake(1))
	for _, tt := range []struct {
		peers livePeers
		want  time.Duration
	}{
		{livePeers{"vm-4", "vm-5"}, witnessDelay},
		{livePeers{"vm-1", "vm-2", "vm-4"}, witnessDelay + 2*witnessStep},
		{make(livePeers, 90), maxWitnessDelay},
	} {
		s.members = tt.peers
		if got := s.witnessWait(); got != tt.want {
			t.Errorf("%d peers: %v, want %v", len(tt.peers), got, tt.want)
		}
	}
}

// TestSimultaneousDeathsAreWrittenAtOnce guards against a row that waits for witnessDelay because two VMs
// saw one death each at the same time.
func TestSimultaneousDeathsAreWrittenAtOnce(t *testing.T) {
	store, c := &fakeStore{rows: map[string]platform.Row{}}, clock.NewFake(1)
	s := newTestSuspects(store, c)
	s.Report(poison, quarantine.Death{ID: "a@1", Target: "a"})
	s.reports.Merge(quarantine.Case{Fingerprint: poison, Deaths: []quarantine.Death{{ID: "b@1", Target: "b"}}}, "vm-2")
	s.syncOnce(t)
	if len(store.all()) != 1 {
		t.Error("the row was not written at once")
	}
}

// TestWitnessesAreForgotten checks that a VM forgets what it saw of requests that are no longer suspect.
func TestWitnessesAreForgotten(t *testing.T) {
	store, c := &fakeStore{rows: map[string]platform.Row{}}, clock.NewFake(1)
	s := newTestSuspects(store, c)
	s.Report(poison, quarantine.Death{ID: "a@1", Target: "a"})
	other := quarantine.NewFingerprint(quarantine.BaseHash{2}, nil)
	s.Report(other, quarantine.Death{ID: "a@1", Target: "a"})
	s.Report(other, quarantine.Death{ID: "b@1", Target: "b"})
	s.list.RecordAnswer(poison)
	s.syncOnce(t)
	if diff := cmp.Diff(map[string]quarantine.Fingerprint{suspectKey(other): other}, s.sawDeath); diff != "" {
		t.Errorf("suspects with a death that the VM saw (-want +got):\n%s", diff)
	}
}

// TestManySuspectRowsAreRemoved guards against rows that are never removed because their removal exceeds
// the store's limit of a transaction.
func TestManySuspectRowsAreRemoved(t *testing.T) {
	store, c := &fakeStore{rows: map[string]platform.Row{}}, clock.NewFake(1)
	vm := newTestSuspects(store, c)
	const requests = platform.MaxTransactionRows
	for i := range byte(requests) {
		f := quarantine.NewFingerprint(quarantine.BaseHash{1, i}, nil)
		row := encodeSuspectRow(quarantine.Case{Fingerprint: f, Deaths: []quarantine.Death{{ID: "a@1", Target: "a"}, {ID: "b@1", Target: "b", Prior: 1}}})
		store.version.Number++
		row.Version = store.version
		store.rows[row.Key] = row
		vm.apply(platform.Change{Row: row}, false)
		vm.Clear(f)
	}
	for range 3 {
		vm.removeRows(t.Context())
	}
	if n := len(store.rows); n != 0 {
		t.Errorf("%d of %d rows are still in the store", n, requests)
	}
}
