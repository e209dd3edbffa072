package lease

import (
	"context"
	"sort"
	"sync"

	"crocusramp.dev/crocusramp/pkg/storage"
)

// memoryTable is an in-memory storage.Table with fault injection.
type memoryTable struct {
	mu    sync.Mutex
	items map[storage.Key]storage.Item
	// down makes every call fail without effect.
	down bool
	// loseResponses makes writes take effect and then return storage.ErrIndeterminate.
	loseResponses bool
	transacts     int
}

func newMemoryTable() *memoryTable {
	return &memoryTable{items: map[storage.Key]storage.Item{}}
}

func (t *memoryTable) set(f func(*memoryTable)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t)
}

func (t *memoryTable) Get(_ context.Context, key storage.Key) (storage.Item, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return storage.Item{}, storage.ErrUnavailable
	}
	item, ok := t.items[key]
	if !ok {
		return storage.Item{}, storage.ErrNotFound
	}
	return item, nil
}

func (t *memoryTable) List(_ context.Context, partition, after string, limit int) ([]storage.Item, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, storage.ErrUnavailable
	}
	var items []storage.Item
	for k, item := range t.items {
		if k.Partition == partition && k.Sort > after {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Sort < items[j].Sort })
	return items[:min(len(items), limit)], nil
}

func (t *memoryTable) Transact(_ context.Context, writes []storage.Write) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return storage.ErrUnavailable
	}
	return t.apply(writes)
}

func (t *memoryTable) apply(writes []storage.Write) error {
	t.transacts++
	var failed []int
	for i, w := range writes {
		if t.items[w.Key].Revision != w.IfRevision {
			failed = append(failed, i)
		}
	}
	if len(failed) > 0 {
		return &storage.ConflictError{Failed: failed}
	}
	for _, w := range writes {
		t.items[w.Key] = storage.Item{Key: w.Key, Revision: w.IfRevision + 1, Value: w.Value}
	}
	if t.loseResponses {
		return storage.ErrIndeterminate
	}
	return nil
}
