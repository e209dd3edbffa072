package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	lru "github.com/hashicorp/golang-lru/v2"

	"crocusramp.dev/crocusramp/pkg/storage"
)

const (
	// partitionPrefix is followed by the first byte of the hashed ID, in hex. This distributes the
	// claims over 256 partitions.
	partitionPrefix = "claim/"
	// maxRecent is the largest number of records in memory, with responses of a few KiB each.
	maxRecent = 1024
	// maxClaimWrites is the largest number of writes for one claim.
	maxClaimWrites = 6
	// The result of a request is recorded in the background; its caller does not wait for that.
	recordAttempts = 4
	recordTimeout  = 4 * time.Second
	recordDelay    = 200 * time.Millisecond
)

// StoreConfig configures a Store.
type StoreConfig struct {
	Table       storage.Table
	VM          string
	Incarnation string
}

// Store claims plain keys in the platform's table. It is safe for concurrent use.
type Store struct {
	config  StoreConfig
	batcher *batcher
	// recent holds the latest claims of this process that it has not released, so that their
	// retries are answered without the table.
	recent *lru.Cache[storage.Key, Record]
	// retryDelay is the time between the first two attempts to record a result; it doubles with each
	// attempt.
	retryDelay time.Duration
	// background tracks the background writes in flight.
	background sync.WaitGroup
}

// NewStore returns a Store that has claimed nothing yet.
func NewStore(c StoreConfig) *Store {
	recent, err := lru.New[storage.Key, Record](maxRecent)
	if err != nil {
		panic(err) // only a size below 1 fails
	}
	return &Store{config: c, batcher: &batcher{table: c.Table}, recent: recent, retryDelay: recordDelay}
}

// Claim is a request claimed by this process. Finish must be called exactly once.
type Claim struct {
	store    *Store
	key      storage.Key
	revision int64
	record   Record
}

// Claim claims the request for this process. Exactly one result is set: the claim, the record of
// an earlier claim, or ErrUnavailable.
func (s *Store) Claim(ctx context.Context, id ID) (*Claim, *Record, error) {
	c := &Claim{store: s, key: itemKey(id), record: Record{
		Token:       uuid.NewString(),
		VM:          s.config.VM,
		Incarnation: s.config.Incarnation,
		State:       Running,
	}}
	if r := s.Recent(id); r != nil {
		return nil, r, nil
	}
	revision, mayHaveWritten := int64(0), false
	for range maxClaimWrites {
		err := s.batcher.write(ctx, storage.Write{Key: c.key, IfRevision: revision, Value: c.record.encode()})
		if err == nil {
			return s.addOwned(c, revision+1), nil, nil
		}
		if errors.Is(err, storage.ErrUnavailable) {
			break
		}
		mayHaveWritten = mayHaveWritten || errors.Is(err, storage.ErrIndeterminate)
		read, readErr := s.readBack(ctx, c.key, c.record.Token)
		if readErr != nil && errors.Is(err, errConflict) {
			// Another claimer owns the request, but its record cannot be read.
			return nil, &Record{State: Running}, nil
		}
		if readErr != nil {
			break
		}
		switch read.ownership {
		case owned:
			return s.addOwned(c, read.revision), nil, nil
		case taken:
			return nil, read.record, nil
		case free:
			revision = read.revision
		}
	}
	if mayHaveWritten {
		// A write may still take effect, although the request will not run: release the claim.
		s.retryInBackground(func(ctx context.Context) bool { return s.abandon(ctx, c) })
	}
	return nil, nil, ErrUnavailable
}

// addOwned completes a claim that this process owns and adds it to recent.
func (s *Store) addOwned(c *Claim, revision int64) *Claim {
	c.revision = revision
	s.recent.Add(c.key, c.record)
	return c
}

// Recent returns the record of a request that this process claimed recently and did not release,
// or nil. It does not access the table.
func (s *Store) Recent(id ID) *Record {
	r, ok := s.recent.Get(itemKey(id))
	if !ok {
		return nil
	}
	return &r
}

// ownership is whether a claimer owns a request, according to the claim's item in the table.
type ownership uint8

const (
	// free means that nobody owns the request. It can be claimed by a write at the read revision.
	free ownership = iota
	// owned means that the item holds the claimer's token.
	owned
	// taken means that another claimer owns the request.
	taken
)

// readResult is the result of reading a claim back from the table.
type readResult struct {
	ownership ownership
	revision  int64
	record    *Record
}

// readBack reads the claim's item and determines who owns the request.
func (s *Store) readBack(ctx context.Context, key storage.Key, token string) (readResult, error) {
	item, err := s.config.Table.Get(ctx, key)
	if errors.Is(err, storage.ErrNotFound) {
		return readResult{ownership: free}, nil
	}
	if err != nil {
		return readResult{}, err
	}
	return classify(item, token)
}

// classify determines who owns the claim in item, for the claimer with the token.
func classify(item storage.Item, token string) (readResult, error) {
	r := &Record{}
	if err := json.Unmarshal(item.Value, r); err != nil {
		return readResult{}, fmt.Errorf("claim %s: %w", item.Sort, err)
	}
	switch {
	case r.State == Released:
		return readResult{ownership: free, revision: item.Revision}, nil
	case r.Token == token:
		return readResult{ownership: owned, revision: item.Revision, record: r}, nil
	default:
		return readResult{ownership: taken, revision: item.Revision, record: r}, nil
	}
}

// Finish records the final state of the request in the background. The item of a Released claim is
// not deleted: an item that is deleted and created again has its old revision, and so a late release
// of the first claim could release the second one.
func (c *Claim) Finish(state State, response Response) {
	c.record.State, c.record.Response = state, response
	if state == Released {
		c.store.recent.Remove(c.key)
	} else {
		c.store.recent.Add(c.key, c.record)
	}
	c.store.retryInBackground(c.write)
}

// write writes the record once and reports whether no retry is needed.
func (c *Claim) write(ctx context.Context) bool {
	err := c.store.batcher.write(ctx, storage.Write{Key: c.key, IfRevision: c.revision, Value: c.record.encode()})
	// A conflict means that an earlier attempt took effect although its response was lost.
	return err == nil || errors.Is(err, errConflict)
}

// abandon releases a claim that will not run, if its write took effect although the response was
// lost. It reports whether no retry is needed.
func (s *Store) abandon(ctx context.Context, c *Claim) bool {
	read, err := s.readBack(ctx, c.key, c.record.Token)
	if err != nil || read.ownership == free {
		return false // the write may still take effect; read again later
	}
	if read.ownership == taken {
		return true
	}
	released := *c
	released.revision, released.record.State = read.revision, Released
	return released.write(ctx)
}

// retryInBackground runs f in the background, at most recordAttempts times, until it returns true.
func (s *Store) retryInBackground(f func(ctx context.Context) bool) {
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		for i := range recordAttempts {
			ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
			done := f(ctx)
			cancel()
			if done {
				return
			}
			time.Sleep(s.retryDelay << i)
		}
	}()
}

// Wait returns once no background write is in flight: each has succeeded or run out of attempts.
func (s *Store) Wait() { s.background.Wait() }

// itemKey returns the table key of a claim. It hashes the ID because account names and idempotency
// keys may contain any character.
func itemKey(id ID) storage.Key {
	h := hashID(id)
	text := hex.EncodeToString(h[:])
	return storage.Key{Partition: partitionPrefix + text[:2], Sort: text}
}

// hashID hashes the parts of the ID with their lengths, so that different IDs never hash the same
// bytes.
func hashID(id ID) [sha256.Size]byte {
	return sha256.Sum256(fmt.Appendf(nil, "%d:%s,%d:%s,%d:%s",
		len(id.Account), id.Account, len(id.Route), id.Route, len(id.Key), id.Key))
}
