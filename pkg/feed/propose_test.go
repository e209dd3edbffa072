package feed

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/storage"
)

// createAccount returns a BuildFunc that creates an account.
func createAccount(name string) BuildFunc {
	return func(*config.Config) (config.Change, error) {
		a := config.Account{Name: name, Rate: 1, Burst: 1, Weight: 1}
		return config.Change{Action: config.Action{Account: config.Create(name, a)}}, nil
	}
}

// setRate returns a BuildFunc that sets the rate of an account and keeps its
// other fields.
func setRate(name string, rate float64) BuildFunc {
	return func(c *config.Config) (config.Change, error) {
		a := config.Account{Name: name, Burst: 1, Weight: 1}
		if current := c.Accounts[name]; current != nil {
			a = *current
		}
		a.Rate = rate
		return config.Change{Action: config.Action{Account: config.Update(name, a)}}, nil
	}
}

func newStoreFeed(t testing.TB, s *fakeStore) *Feed {
	return newFeed(t, Config{Table: s, Objects: objectStore{s}})
}

func mustPropose(t testing.TB, f *Feed, b BuildFunc) int64 {
	t.Helper()
	v, err := f.Propose(context.Background(), b, 0)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func TestProposeInForceWhereAccepted(t *testing.T) {
	f := newStoreFeed(t, newFakeStore())
	if f.Ready() {
		t.Error("ready without a configuration")
	}
	v := mustPropose(t, f, createAccount("a"))
	s := f.Snapshot()
	if v != 1 || s.Version != 1 || s.Accounts["a"] == nil || !s.Fresh || !f.Ready() {
		t.Errorf("version %d, snapshot %+v", v, s)
	}
}

// Operators propose changes on different VMs concurrently. Every accepted change
// must be in the log exactly once, at the version reported for it.
func TestProposeRace(t *testing.T) {
	const vms, changes = 4, 10
	s := newFakeStore()
	var wg sync.WaitGroup
	accepted := make([]map[int64]string, vms)
	feeds := make([]*Feed, vms)
	for i := range vms {
		feeds[i] = newStoreFeed(t, s)
		accepted[i] = map[int64]string{}
		wg.Go(func() {
			for j := range changes {
				name := fmt.Sprintf("a%d-%d", i, j)
				v, err := feeds[i].Propose(context.Background(), createAccount(name), 0)
				var conflict *ConflictError
				if errors.As(err, &conflict) {
					continue
				}
				if err != nil {
					t.Errorf("%s: %v", name, err)
					continue
				}
				accepted[i][v] = name
			}
		})
	}
	wg.Wait()
	rows := s.rows(t)
	total := 0
	for i := range vms {
		total += len(accepted[i])
		for v, name := range accepted[i] {
			if got := rows[v-1].Action.Account.Name; got != name {
				t.Errorf("version %d accepted as %s holds %s", v, name, got)
			}
		}
		if c, err := feeds[i].catchUp(context.Background()); err != nil || c.Version != int64(len(rows)) {
			t.Errorf("vm %d cannot replay the log: %v", i, err)
		}
	}
	if total != len(rows) || total == 0 {
		t.Errorf("%d changes accepted, %d rows", total, len(rows))
	}
}

// Two operators change the same entity based on the same version: one succeeds,
// the other gets a conflict that names the current version.
func TestProposeConflict(t *testing.T) {
	s := newFakeStore()
	f, g := newStoreFeed(t, s), newStoreFeed(t, s)
	mustPropose(t, f, createAccount("a"))
	s.set(func(s *fakeStore) {
		s.beforeWrite = func() {
			s.set(func(s *fakeStore) { s.beforeWrite = nil })
			mustPropose(t, g, setRate("a", 5))
		}
	})
	_, err := f.Propose(context.Background(), setRate("a", 7), 0)
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Current != 2 {
		t.Fatalf("error %v", err)
	}
	if rate := f.Snapshot().Accounts["a"].Rate; rate != 5 {
		t.Errorf("rate %g", rate)
	}
}

// A concurrent change of another entity causes no conflict: the change is rebased.
func TestProposeRebases(t *testing.T) {
	s := newFakeStore()
	f, g := newStoreFeed(t, s), newStoreFeed(t, s)
	mustPropose(t, f, createAccount("a"))
	s.set(func(s *fakeStore) {
		s.beforeWrite = func() {
			s.set(func(s *fakeStore) { s.beforeWrite = nil })
			mustPropose(t, g, createAccount("b"))
		}
	})
	if v := mustPropose(t, f, setRate("a", 7)); v != 3 {
		t.Errorf("version %d", v)
	}
}

func TestProposeExpectedVersion(t *testing.T) {
	s := newFakeStore()
	f, g := newStoreFeed(t, s), newStoreFeed(t, s)
	mustPropose(t, f, createAccount("a"))
	mustPropose(t, g, createAccount("b"))
	_, err := f.Propose(context.Background(), setRate("a", 2), 1)
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Current != 2 {
		t.Errorf("expected 1: %v", err)
	}
	if v, err := f.Propose(context.Background(), setRate("a", 2), 2); err != nil || v != 3 {
		t.Errorf("expected 2: version %d, %v", v, err)
	}
}

func TestProposeInvalid(t *testing.T) {
	s := newFakeStore()
	f := newStoreFeed(t, s)
	if _, err := f.Propose(context.Background(), setRate("a", 2), 0); !errors.Is(err, config.ErrNotFound) {
		t.Errorf("error %v", err)
	}
	if len(s.rows(t)) != 0 {
		t.Error("a refused change is in the log")
	}
}

// The response to a write is lost, and the write took effect, had no effect or
// takes effect late. The change is accepted exactly once.
func TestProposeLostResponse(t *testing.T) {
	for name, fault := range map[string]func(*fakeStore){
		"after effect":  func(s *fakeStore) { s.loseResponses = 1 },
		"before effect": func(s *fakeStore) { s.dropWrites = 2 },
		"late effect":   func(s *fakeStore) { s.delayWrites = 1 },
		"all together":  func(s *fakeStore) { s.dropWrites, s.delayWrites, s.loseResponses = 1, 2, 1 },
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeStore()
			f := newStoreFeed(t, s)
			s.set(fault)
			if v := mustPropose(t, f, createAccount("a")); v != 1 {
				t.Errorf("version %d", v)
			}
			if v := mustPropose(t, f, createAccount("b")); v != 2 {
				t.Errorf("second version %d", v)
			}
			if rows := s.rows(t); len(rows) != 2 {
				t.Errorf("%d rows", len(rows))
			}
		})
	}
}

// The response to a write is lost while another VM takes the version.
func TestProposeLostResponseAndRace(t *testing.T) {
	s := newFakeStore()
	f, g := newStoreFeed(t, s), newStoreFeed(t, s)
	mustPropose(t, f, createAccount("a"))
	s.set(func(s *fakeStore) {
		s.beforeWrite = func() {
			s.set(func(s *fakeStore) { s.beforeWrite = nil })
			mustPropose(t, g, createAccount("b"))
			s.set(func(s *fakeStore) { s.dropWrites = 1 })
		}
	})
	if v := mustPropose(t, f, createAccount("c")); v != 3 {
		t.Errorf("version %d", v)
	}
	if rows := s.rows(t); len(rows) != 3 {
		t.Errorf("%d rows", len(rows))
	}
}

// If the store goes down after a lost response, the outcome is unknown and the
// error reports that. If it is down from the start, nothing is changed.
func TestProposeStoreDown(t *testing.T) {
	s := newFakeStore()
	f := newStoreFeed(t, s)
	mustPropose(t, f, createAccount("a"))
	s.set(func(s *fakeStore) { s.loseResponses = 1 })
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	writes := 0
	s.set(func(s *fakeStore) {
		s.beforeWrite = func() {
			if writes++; writes == 2 {
				s.set(func(s *fakeStore) { s.down = true })
			}
		}
	})
	_, err := f.Propose(ctx, createAccount("b"), 0)
	var unknown *OutcomeUnknownError
	if !errors.As(err, &unknown) || unknown.Version != 2 {
		t.Fatalf("lost response, then down: %v", err)
	}
	_, err = f.Propose(context.Background(), createAccount("c"), 0)
	if !errors.Is(err, storage.ErrUnavailable) || errors.As(err, &unknown) {
		t.Errorf("down: %v", err)
	}
	s.set(func(s *fakeStore) { s.down, s.beforeWrite = false, nil })
	if v := mustPropose(t, f, createAccount("d")); v != 3 {
		t.Errorf("version %d after the outage", v)
	}
}

// The response to a write is lost, another VM adds the next version, and only
// then does the first VM find its change in the log. It must not claim to have
// had the newest version at a time when the second change was already accepted.
func TestProposeLostResponseAge(t *testing.T) {
	s := newFakeStore()
	f, g := newStoreFeed(t, s), newStoreFeed(t, s)
	mustPropose(t, f, createAccount("a"))
	second := never
	s.set(func(s *fakeStore) {
		s.loseResponses = 1
		s.afterWrite = func() {
			s.set(func(s *fakeStore) { s.afterWrite = nil })
			mustPropose(t, g, createAccount("c"))
			second = f.cfg.Clock.Now()
		}
	})
	if v := mustPropose(t, f, createAccount("b")); v != 2 {
		t.Fatalf("version %d", v)
	}
	if st := f.state.Load(); second == never || (st.version() < 3 && st.knownNewestAt() >= second) {
		t.Errorf("at version %d it claims to include all changes until %d, but version 3 was accepted by %d", st.version(), st.knownNewestAt(), second)
	}
}
