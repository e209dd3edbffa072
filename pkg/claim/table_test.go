package claim

import (
	"context"
	"slices"
	"sync"

	"crocusramp.dev/crocusramp/pkg/storage"
)

// fault is the fault of one transaction.
type fault int

const (
	none fault = iota
	down       // the table is unavailable
	// lostBefore loses the response to a transaction that does not take effect, lostAfter to one
	// that does.
	lostBefore
	lostAfter
	// late loses the response and applies the transaction only at the next call.
	late
	// collision fails the transaction without naming a failed condition.
	collision
	numFaults
)

// fakeTable is an in-memory table with the faults that a test sets.
type fakeTable struct {
	mu    sync.Mutex
	items map[storage.Key]storage.Item
	// faults are the faults of the next transactions. failingGets holds, in order, whether each of
	// the next reads fails.
	faults      []fault
	failingGets []bool
	// delayed holds the transactions to apply at the next call.
	delayed          [][]storage.Write
	transactionSizes []int
}

func newFakeTable() *fakeTable { return &fakeTable{items: map[storage.Key]storage.Item{}} }

func (f *fakeTable) Get(_ context.Context, key storage.Key) (storage.Item, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var fail bool
	if fail, f.failingGets = popFirst(f.failingGets); fail {
		return storage.Item{}, storage.ErrUnavailable
	}
	item, ok := f.items[key]
	if !ok {
		return storage.Item{}, storage.ErrNotFound
	}
	return item, nil
}

func (f *fakeTable) List(context.Context, string, string, int) ([]storage.Item, error) {
	return nil, storage.ErrUnavailable
}

func (f *fakeTable) Transact(_ context.Context, writes []storage.Write) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyDelayedLocked()
	f.transactionSizes = append(f.transactionSizes, len(writes))
	var next fault
	next, f.faults = popFirst(f.faults)
	switch next {
	case down:
		return storage.ErrUnavailable
	case lostBefore:
		return storage.ErrIndeterminate
	case late:
		f.delayed = append(f.delayed, slices.Clone(writes))
		return storage.ErrIndeterminate
	case collision:
		return &storage.ConflictError{}
	}
	err := f.applyLocked(writes)
	if next == lostAfter {
		return storage.ErrIndeterminate
	}
	return err
}

// popFirst returns the first element of s, or the zero value if s is empty, and the rest.
func popFirst[T any](s []T) (first T, rest []T) {
	if len(s) == 0 {
		return first, nil
	}
	return s[0], s[1:]
}

func (f *fakeTable) applyDelayedLocked() {
	for _, writes := range f.delayed {
		_ = f.applyLocked(writes) // its response was lost, so its error is not reported
	}
	f.delayed = nil
}

func (f *fakeTable) applyLocked(writes []storage.Write) error {
	var failed []int
	for i, w := range writes {
		if f.items[w.Key].Revision != w.IfRevision {
			failed = append(failed, i)
		}
	}
	if failed != nil {
		return &storage.ConflictError{Failed: failed}
	}
	for _, w := range writes {
		f.items[w.Key] = storage.Item{Key: w.Key, Revision: w.IfRevision + 1, Value: w.Value}
	}
	return nil
}
