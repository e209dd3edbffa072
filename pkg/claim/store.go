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
	// partitionPrefix is followed by the first byte of the hashed ID, which
	// spreads the claims over 256 partitions.
	partitionPrefix = "claim/"
	// maxRecent bounds the records kept in memory, answers of a few KiB each.
	maxRecent = 1024
	// maxSteps bounds the writes of one claim.
	maxSteps = 6
	// The result of a request is recorded while its caller waits no longer.
	recordAttempts = 4
	recordTimeout  = 4 * time.Second
	recordDelay    = 200 * time.Millisecond
)

// StoreConfig holds what a Store works with.
type StoreConfig struct {
	Table       storage.Table
	VM          string
	Incarnation string
}

// Store claims plain keys in the platform's table. It is safe for concurrent
// use.
type Store struct {
	config  StoreConfig
	batcher *batcher
	// recent holds what this process claimed last and has not released, so
	// that a re-send needs no table.
	recent *lru.Cache[storage.Key, Record]
	// delay separates the attempts to record a result; it doubles.
	delay time.Duration
	// recording counts the results that are being written.
	recording sync.WaitGroup
}

// NewStore returns a Store.
func NewStore(c StoreConfig) *Store {
	recent, err := lru.New[storage.Key, Record](maxRecent)
	if err != nil {
		panic(err) // only a size below 1 fails
	}
	return &Store{config: c, batcher: &batcher{table: c.Table}, recent: recent, delay: recordDelay}
}

// Claim is a claimed request. Finish is called once.
type Claim struct {
	store    *Store
	key      storage.Key
	revision int64
	record   Record
}

// Claim claims the request for this process. Exactly one result is set: the
// claim, the record of who claimed it before, or ErrUnavailable.
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
	revision, maybe := int64(0), false
	for range maxSteps {
		err := s.batcher.write(ctx, storage.Write{Key: c.key, IfRevision: revision, Value: c.record.encode()})
		if err == nil {
			return s.own(c, revision+1), nil, nil
		}
		if errors.Is(err, storage.ErrUnavailable) {
			break
		}
		maybe = maybe || errors.Is(err, storage.ErrIndeterminate)
		v, readErr := s.settle(ctx, c.key, c.record.Token)
		if readErr != nil && errors.Is(err, errConflict) {
			// Somebody claimed it, and who it was cannot be read.
			return nil, &Record{State: Running}, nil
		}
		if readErr != nil {
			break
		}
		switch v.kind {
		case owned:
			return s.own(c, v.revision), nil, nil
		case taken:
			return nil, v.record, nil
		case free:
			revision = v.revision
		}
	}
	if maybe {
		// The write may still take effect, and nothing will run for it.
		s.record(func(ctx context.Context) bool { return s.abandon(ctx, c) })
	}
	return nil, nil, ErrUnavailable
}

// own notes that the claim is this process's.
func (s *Store) own(c *Claim, revision int64) *Claim {
	c.revision = revision
	s.recent.Add(c.key, c.record)
	return c
}

// Recent returns the record of a request that this process claimed lately and
// did not release, or nil. It asks no table.
func (s *Store) Recent(id ID) *Record {
	r, ok := s.recent.Get(itemKey(id))
	if !ok {
		return nil
	}
	return &r
}

// verdictKind says what a read of the claim means to a claimer.
type verdictKind uint8

const (
	// free claims may be written at the verdict's revision.
	free verdictKind = iota
	// owned claims carry the reader's token.
	owned
	// taken claims belong to another claimer.
	taken
)

type verdict struct {
	kind     verdictKind
	revision int64
	record   *Record
}

// settle reads the claim back and judges it.
func (s *Store) settle(ctx context.Context, key storage.Key, token string) (verdict, error) {
	item, err := s.config.Table.Get(ctx, key)
	if errors.Is(err, storage.ErrNotFound) {
		return verdict{kind: free}, nil
	}
	if err != nil {
		return verdict{}, err
	}
	return judge(item, token)
}

// judge decides what an item of the table means to the claimer with token.
func judge(item storage.Item, token string) (verdict, error) {
	r := &Record{}
	if err := json.Unmarshal(item.Value, r); err != nil {
		return verdict{}, fmt.Errorf("claim %s: %w", item.Sort, err)
	}
	switch {
	case r.State == Released:
		return verdict{kind: free, revision: item.Revision}, nil
	case r.Token == token:
		return verdict{kind: owned, revision: item.Revision, record: r}, nil
	default:
		return verdict{kind: taken, revision: item.Revision, record: r}, nil
	}
}

// Finish records, in the background, how the request ended. The item of a
// Released claim stays: deleted and created again it would have its old
// revision back, and a late release of the first claim could free the second.
func (c *Claim) Finish(state State, a Answer) {
	c.record.State, c.record.Answer = state, a
	if state == Released {
		c.store.recent.Remove(c.key)
	} else {
		c.store.recent.Add(c.key, c.record)
	}
	c.store.record(c.write)
}

// write reports whether there is no more to do.
func (c *Claim) write(ctx context.Context) bool {
	err := c.store.batcher.write(ctx, storage.Write{Key: c.key, IfRevision: c.revision, Value: c.record.encode()})
	// A conflict means that an earlier attempt took effect after all.
	return err == nil || errors.Is(err, errConflict)
}

// abandon releases a claim whose write's answer was lost, if it took effect.
func (s *Store) abandon(ctx context.Context, c *Claim) bool {
	v, err := s.settle(ctx, c.key, c.record.Token)
	if err != nil || v.kind == free {
		return false // it may still take effect; look again
	}
	if v.kind == taken {
		return true
	}
	released := *c
	released.revision, released.record.State = v.revision, Released
	return released.write(ctx)
}

// record runs f until it reports success or its attempts are used up.
func (s *Store) record(f func(ctx context.Context) bool) {
	s.recording.Add(1)
	go func() {
		defer s.recording.Done()
		for i := range recordAttempts {
			ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
			done := f(ctx)
			cancel()
			if done {
				return
			}
			time.Sleep(s.delay << i)
		}
	}()
}

// Wait returns when all results have been recorded or given up.
func (s *Store) Wait() { s.recording.Wait() }

// itemKey hashes the ID: account names and keys may hold any character.
func itemKey(id ID) storage.Key {
	h := hashID(id)
	text := hex.EncodeToString(h[:])
	return storage.Key{Partition: partitionPrefix + text[:2], Sort: text}
}

// hashID hashes the parts with their lengths, so that no two IDs join up to
// the same bytes.
func hashID(id ID) [sha256.Size]byte {
	return sha256.Sum256(fmt.Appendf(nil, "%d:%s,%d:%s,%d:%s",
		len(id.Account), id.Account, len(id.Route), id.Route, len(id.Key), id.Key))
}
