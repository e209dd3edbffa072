package claim

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"crocusramp.dev/crocusramp/pkg/storage"
)

const (
	// maxInFlight is how many transactions of a batcher run at once.
	maxInFlight = 4
	// maxCollisions is how often a write is submitted again after its
	// transaction collided with another one.
	maxCollisions   = 8
	collisionDelay  = 5 * time.Millisecond
	transactTimeout = 3 * time.Second
)

// batcher combines concurrent writes into transactions (group commit): while
// some are under way, the others gather.
type batcher struct {
	table storage.Table

	mu       sync.Mutex
	queue    []*pending
	inFlight int
}

// pending is a write that waits for its result.
type pending struct {
	ctx        context.Context
	write      storage.Write
	collisions int
	result     chan error
}

// write submits w and waits for its result: nil, errConflict, or the table's
// ErrUnavailable or ErrIndeterminate. Where ctx ends first the result is
// ErrIndeterminate.
func (b *batcher) write(ctx context.Context, w storage.Write) error {
	p := &pending{ctx: ctx, write: w, result: make(chan error, 1)}
	b.mu.Lock()
	b.queue = append(b.queue, p)
	b.startLocked()
	b.mu.Unlock()
	select {
	case err := <-p.result:
		return err
	case <-ctx.Done():
		return storage.ErrIndeterminate
	}
}

// startLocked starts a transaction for queued writes, if one more may run.
func (b *batcher) startLocked() {
	if len(b.queue) == 0 || b.inFlight >= maxInFlight {
		return
	}
	batch, rest := split(b.queue)
	b.queue = rest
	if len(batch) == 0 {
		return
	}
	b.inFlight++
	go b.run(batch)
}

// split takes the writes of the next transaction, which may not hold two
// writes of one item. Writes that nobody waits for any more are dropped.
func split(queue []*pending) (batch, rest []*pending) {
	taken := make(map[storage.Key]bool)
	for i, p := range queue {
		if len(batch) == storage.MaxTransactWrites {
			return batch, append(rest, queue[i:]...)
		}
		if p.ctx.Err() != nil {
			continue
		}
		if taken[p.write.Key] {
			rest = append(rest, p)
			continue
		}
		taken[p.write.Key] = true
		batch = append(batch, p)
	}
	return batch, rest
}

func (b *batcher) run(batch []*pending) {
	again := b.transact(batch)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
	b.queue = append(again, b.queue...)
	b.startLocked()
}

// transact runs one transaction, reports the results that are final and
// returns the writes that have to be submitted again.
func (b *batcher) transact(batch []*pending) (again []*pending) {
	ctx, cancel := context.WithTimeout(context.Background(), transactTimeout)
	defer cancel()
	writes := make([]storage.Write, len(batch))
	for i, p := range batch {
		writes[i] = p.write
	}
	err := b.table.Transact(ctx, writes)
	var conflict *storage.ConflictError
	if errors.As(err, &conflict) {
		return collide(batch, conflict.Failed)
	}
	if err != nil && !errors.Is(err, storage.ErrUnavailable) {
		err = storage.ErrIndeterminate
	}
	for _, p := range batch {
		p.result <- err
	}
	return nil
}

// collide reports the failed conditions and keeps the other writes. Where
// none is named, the transaction met another one and all are tried again.
func collide(batch []*pending, failed []int) (again []*pending) {
	conflicted := make(map[int]bool, len(failed))
	for _, i := range failed {
		conflicted[i] = true
	}
	for i, p := range batch {
		if conflicted[i] {
			p.result <- errConflict
			continue
		}
		if len(failed) == 0 {
			p.collisions++
		}
		if p.collisions > maxCollisions {
			p.result <- storage.ErrUnavailable
			continue
		}
		again = append(again, p)
	}
	if len(failed) == 0 {
		time.Sleep(rand.N(collisionDelay))
	}
	return again
}
