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
	// maxInFlight is the largest number of concurrent transactions of a batcher.
	maxInFlight = 4
	// maxCollisions is how many times a write is retried after its transaction collided with a
	// concurrent one.
	maxCollisions   = 8
	collisionDelay  = 5 * time.Millisecond
	transactTimeout = 3 * time.Second
)

// batcher combines concurrent writes into transactions (group commit): while maxInFlight
// transactions are in flight, further writes are queued for the next one.
type batcher struct {
	table storage.Table

	mu       sync.Mutex
	queue    []*pendingWrite
	inFlight int
}

// pendingWrite is a queued write and the channel that receives its result.
type pendingWrite struct {
	ctx        context.Context
	write      storage.Write
	collisions int
	result     chan error
}

// write submits w and waits for its result: nil, errConflict, or the table's ErrUnavailable or
// ErrIndeterminate. If ctx ends first, the result is ErrIndeterminate.
func (b *batcher) write(ctx context.Context, w storage.Write) error {
	p := &pendingWrite{ctx: ctx, write: w, result: make(chan error, 1)}
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

// startLocked starts a transaction for queued writes unless maxInFlight are in flight.
func (b *batcher) startLocked() {
	if len(b.queue) == 0 || b.inFlight >= maxInFlight {
		return
	}
	batch, rest := nextBatch(b.queue)
	b.queue = rest
	if len(batch) == 0 {
		return
	}
	b.inFlight++
	go b.run(batch)
}

// nextBatch splits the queue into the writes of the next transaction and the rest. A transaction
// must not contain two writes of one item. Writes whose context has ended are dropped, because
// nothing waits for their results.
func nextBatch(queue []*pendingWrite) (batch, rest []*pendingWrite) {
	keys := make(map[storage.Key]bool)
	for i, p := range queue {
		if len(batch) == storage.MaxTransactWrites {
			return batch, append(rest, queue[i:]...)
		}
		if p.ctx.Err() != nil {
			continue
		}
		if keys[p.write.Key] {
			rest = append(rest, p)
			continue
		}
		keys[p.write.Key] = true
		batch = append(batch, p)
	}
	return batch, rest
}

func (b *batcher) run(batch []*pendingWrite) {
	retries := b.transact(batch)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
	b.queue = append(retries, b.queue...)
	b.startLocked()
}

// transact runs one transaction, reports the final results and returns the writes to retry.
func (b *batcher) transact(batch []*pendingWrite) (retries []*pendingWrite) {
	ctx, cancel := context.WithTimeout(context.Background(), transactTimeout)
	defer cancel()
	writes := make([]storage.Write, len(batch))
	for i, p := range batch {
		writes[i] = p.write
	}
	err := b.table.Transact(ctx, writes)
	var conflict *storage.ConflictError
	if errors.As(err, &conflict) {
		return handleConflict(batch, conflict.Failed)
	}
	if err != nil && !errors.Is(err, storage.ErrUnavailable) {
		err = storage.ErrIndeterminate
	}
	for _, p := range batch {
		p.result <- err
	}
	return nil
}

// handleConflict reports errConflict for the writes whose condition failed and returns the others
// for a retry. If failed is empty, the transaction collided with a concurrent one, and all its
// writes are retried.
func handleConflict(batch []*pendingWrite, failed []int) (retries []*pendingWrite) {
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
		retries = append(retries, p)
	}
	if len(failed) == 0 {
		time.Sleep(rand.N(collisionDelay))
	}
	return retries
}
