package feed

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/control"
	"crocusramp.dev/crocusramp/pkg/peer"
	"crocusramp.dev/crocusramp/pkg/storage"
)

// proposalOutcome is the result of a proposal as reported to the operator.
type proposalOutcome int

const (
	accepted proposalOutcome = iota
	refused
	unknown
)

// TestProposeUnderFaults guards against proposals whose reported outcome differs
// from the log. Under any mix of lost responses, lost writes, delayed writes,
// outages and concurrent proposals, an accepted change is in the log exactly
// once, at its version; a refused one is not in the log and never will be; and
// every VM can replay the log.
func TestProposeUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := newFakeStore()
		var feeds []*Feed
		var ended []chan struct{}
		for range 3 {
			f, end := startFeed(ctx, s)
			feeds, ended = append(feeds, f), append(ended, end)
		}
		defer func() {
			cancel()
			for _, end := range ended {
				<-end
			}
		}()
		outcomes := map[string]proposalOutcome{}
		versions := map[string]int64{}
		for i := range rapid.IntRange(1, 12).Draw(t, "changes") {
			s.set(func(s *fakeStore) {
				s.loseResponses = rapid.IntRange(0, 2).Draw(t, "lose")
				s.dropWrites = rapid.IntRange(0, 2).Draw(t, "drop")
				s.delayWrites = rapid.IntRange(0, 2).Draw(t, "late")
				s.failGets = rapid.IntRange(0, 2).Draw(t, "failed reads")
				s.beforeWrite = nil
			})
			f := feeds[rapid.IntRange(0, 2).Draw(t, "vm")]
			rival := feeds[rapid.IntRange(0, 2).Draw(t, "rival")]
			name := fmt.Sprintf("a%d", i)
			if rapid.Bool().Draw(t, "race") && rival != f {
				rivalName := name + "-rival"
				s.set(func(s *fakeStore) {
					s.beforeWrite = func() {
						s.set(func(s *fakeStore) { s.beforeWrite = nil })
						outcomes[rivalName], versions[rivalName] = proposeAccount(rival, rivalName)
					}
				})
			}
			if rapid.IntRange(0, 4).Draw(t, "outage") == 0 {
				failAfter := rapid.IntRange(0, 3).Draw(t, "writes before")
				s.set(func(s *fakeStore) { s.downAfter = s.writes + failAfter })
			}
			outcomes[name], versions[name] = proposeAccount(f, name)
			s.set(func(s *fakeStore) { s.downAfter, s.failGets, s.down = 0, 0, false })
		}
		// Apply the delayed writes whose condition still holds.
		s.set(func(s *fakeStore) {
			for _, w := range s.delayedWrites {
				_ = s.commit([]storage.Write{w})
			}
			s.delayedWrites, s.loseResponses, s.dropWrites, s.delayWrites, s.beforeWrite = nil, 0, 0, 0, nil
		})
		checkLog(t, s, outcomes, versions)
		for i, f := range feeds {
			if c, err := f.catchUp(ctx); err != nil || len(c.Accounts) != len(loggedVersions(t, s)) {
				t.Fatalf("vm %d cannot replay the log: %v", i, err)
			}
		}
	})
}

func startFeed(ctx context.Context, s *fakeStore) (*Feed, chan struct{}) {
	loop := control.NewLoop()
	end := make(chan struct{})
	go func() { loop.Run(ctx); close(end) }()
	return New(Config{
		Table: s, Objects: objectStore{s}, Loop: loop, Clock: clock.System{},
		Members: noPeers{}, PeerDialer: peer.NewDialer(nil), Log: zerolog.Nop(),
	}), end
}

// proposeAccount proposes the creation of an account and returns the reported outcome.
func proposeAccount(f *Feed, name string) (proposalOutcome, int64) {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
	defer cancel()
	v, err := f.Propose(ctx, createAccount(name), 0)
	var u *OutcomeUnknownError
	switch {
	case err == nil:
		return accepted, v
	case errors.As(err, &u):
		return unknown, u.Version
	default:
		return refused, 0
	}
}

// loggedVersions returns the version of each account in the log.
func loggedVersions(t *rapid.T, s *fakeStore) map[string]int64 {
	found := map[string]int64{}
	for v := int64(1); ; v++ {
		item, err := s.Get(context.Background(), rowKey(v))
		if errors.Is(err, storage.ErrNotFound) {
			return found
		}
		e, decodeErr := decodeRow(item)
		if err != nil || decodeErr != nil {
			t.Fatal(err, decodeErr)
		}
		a := e.change.Action.Account
		if found[a.Name] != 0 || a.Op != config.OpCreate {
			t.Fatalf("%s is in the log twice", a.Name)
		}
		found[a.Name] = v
	}
}

// checkLog checks that the log matches the outcomes and versions reported to the operators.
func checkLog(t *rapid.T, s *fakeStore, outcomes map[string]proposalOutcome, versions map[string]int64) {
	found := loggedVersions(t, s)
	for name, reported := range outcomes {
		at, logged := found[name]
		switch {
		case reported == accepted && at != versions[name]:
			t.Fatalf("%s was accepted as version %d, the log has it at %d", name, versions[name], at)
		case reported == refused && logged:
			t.Fatalf("%s was refused as not run, the log has it at %d", name, at)
		case reported == unknown && logged && at != versions[name]:
			t.Fatalf("%s may have made version %d, the log has it at %d", name, versions[name], at)
		}
	}
}
