package feed

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/control"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/peer"
	"crocusramp.dev/crocusramp/pkg/storage"
)

// fakeStore is an in-memory table and object store that can inject faults.
type fakeStore struct {
	mu      sync.Mutex
	items   map[storage.Key]storage.Item
	objects map[string][]byte
	reads   int
	writes  int
	// down makes every call fail without effect.
	down bool
	// downAfter makes the store go down after that many writes; 0 never does.
	downAfter int
	// failGets is the number of reads of single rows that fail next.
	failGets int
	// loseResponses is the number of next successful writes whose response is
	// lost.
	loseResponses int
	// dropWrites is the number of next writes that have no effect; the caller
	// still gets an unknown outcome.
	dropWrites int
	// delayWrites is the number of next writes that are held back, with an
	// unknown outcome. They are applied after the next write that is not held
	// back, if their condition still holds.
	delayWrites   int
	delayedWrites []storage.Write
	// beforeWrite and afterWrite run before a write and after it took effect,
	// without holding the lock.
	beforeWrite, afterWrite func()
}

func newFakeStore() *fakeStore {
	return &fakeStore{items: map[storage.Key]storage.Item{}, objects: map[string][]byte{}}
}

func (s *fakeStore) set(edit func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	edit(s)
}

func (s *fakeStore) Get(_ context.Context, key storage.Key) (storage.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down || s.failGets > 0 {
		s.failGets = max(0, s.failGets-1)
		return storage.Item{}, storage.ErrUnavailable
	}
	item, ok := s.items[key]
	if !ok {
		return storage.Item{}, storage.ErrNotFound
	}
	return item, nil
}

func (s *fakeStore) List(_ context.Context, partition, after string, limit int) ([]storage.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return nil, storage.ErrUnavailable
	}
	var found []storage.Item
	for key, item := range s.items {
		if key.Partition == partition && key.Sort > after {
			found = append(found, item)
		}
	}
	slices.SortFunc(found, func(a, b storage.Item) int {
		if a.Sort < b.Sort {
			return -1
		}
		return 1
	})
	return found[:min(limit, len(found))], nil
}

func (s *fakeStore) Transact(_ context.Context, writes []storage.Write) error {
	s.mu.Lock()
	before, after := s.beforeWrite, s.afterWrite
	s.mu.Unlock()
	if before != nil {
		before()
	}
	err := s.transact(writes)
	if after != nil {
		after()
	}
	return err
}

func (s *fakeStore) transact(writes []storage.Write) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.downAfter > 0 && s.writes > s.downAfter {
		s.down = true
	}
	if s.down {
		return storage.ErrUnavailable
	}
	if s.dropWrites > 0 {
		s.dropWrites--
		return storage.ErrIndeterminate
	}
	if s.delayWrites > 0 {
		s.delayWrites--
		s.delayedWrites = append(s.delayedWrites, writes...)
		return storage.ErrIndeterminate
	}
	err := s.commit(writes)
	for _, w := range s.delayedWrites {
		_ = s.commit([]storage.Write{w})
	}
	s.delayedWrites = nil
	if err == nil && s.loseResponses > 0 {
		s.loseResponses--
		return storage.ErrIndeterminate
	}
	return err
}

func (s *fakeStore) commit(writes []storage.Write) error {
	var failed []int
	for i, w := range writes {
		if s.items[w.Key].Revision != w.IfRevision {
			failed = append(failed, i)
		}
	}
	if failed != nil {
		return &storage.ConflictError{Failed: failed}
	}
	for _, w := range writes {
		if w.Delete {
			delete(s.items, w.Key)
			continue
		}
		s.items[w.Key] = storage.Item{Key: w.Key, Revision: w.IfRevision + 1, Value: slices.Clone(w.Value)}
	}
	return nil
}

// rows returns the changes of the log in order of version.
func (s *fakeStore) rows(t *testing.T) []config.Change {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range maps.Keys(s.items) {
		if key.Partition == logPartition {
			keys = append(keys, key.Sort)
		}
	}
	slices.Sort(keys)
	var changes []config.Change
	for i, sort := range keys {
		e, err := decodeRow(s.items[storage.Key{Partition: logPartition, Sort: sort}])
		if err != nil {
			t.Fatal(err)
		}
		if e.change.Version != int64(i+1) {
			t.Fatalf("row %d holds version %d", i, e.change.Version)
		}
		changes = append(changes, e.change)
	}
	return changes
}

// objectStore makes a fakeStore a storage.Objects.
type objectStore struct{ *fakeStore }

func (s objectStore) Get(_ context.Context, name string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[name]
	if s.down {
		return nil, storage.ErrUnavailable
	}
	if !ok {
		return nil, storage.ErrNotFound
	}
	return data, nil
}

func (s objectStore) Put(_ context.Context, name string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return storage.ErrUnavailable
	}
	s.objects[name] = data
	return nil
}

// noPeers is a member.Source without any peer.
type noPeers struct{}

func (noPeers) View() *member.View { return &member.View{} }

// newFeed returns a feed whose loop runs until the test ends. The feed is not
// started: tests call its methods directly, or Start.
func newFeed(t testing.TB, cfg Config) *Feed {
	ctx, cancel := context.WithCancel(context.Background())
	cfg.Loop = control.NewLoop()
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	if cfg.Members == nil {
		cfg.Members = noPeers{}
	}
	cfg.PeerDialer = peer.NewDialer(nil)
	cfg.Log = zerolog.Nop()
	ended := make(chan struct{})
	go func() { cfg.Loop.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended; cfg.PeerDialer.Close() })
	return New(cfg)
}

// eventually polls until ok holds. The timeout of 30 s is far longer than any
// successful wait.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within 30 s: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}
