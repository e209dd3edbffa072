package feed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/storage"
)

const (
	// logPartition holds one row for each version. Rows are created and never changed.
	logPartition = "config"
	// pointerPartition holds the row that names the newest snapshot.
	pointerPartition = "config-snapshot"
	pointerSort      = "latest"
	// pageSize is the number of rows that one List call asks for.
	pageSize = 100
)

// store reads and writes the log of changes in the platform's table, and the
// snapshots in its object store.
type store struct {
	table   storage.Table
	objects storage.Objects
}

// snapshotPointer is the value of the row that names the newest snapshot.
type snapshotPointer struct {
	Version int64  `json:"version"`
	Object  string `json:"object"`
}

func rowKey(version int64) storage.Key {
	return storage.Key{Partition: logPartition, Sort: fmt.Sprintf("%020d", version)}
}

func objectName(version int64) string { return fmt.Sprintf("config/%020d.json", version) }

// create appends the change to the log. The row of its version must not exist,
// so that each version holds at most one change.
func (s *store) create(ctx context.Context, e entry) error {
	return s.table.Transact(ctx, []storage.Write{{Key: rowKey(e.change.Version), Value: e.data}})
}

// get reads the change with the given version.
func (s *store) get(ctx context.Context, version int64) (entry, error) {
	item, err := s.table.Get(ctx, rowKey(version))
	if err != nil {
		return entry{}, fmt.Errorf("read version %d: %w", version, err)
	}
	return decodeRow(item)
}

// changesAfter reads all changes after a version. It reads until a page is
// empty, because a table may return fewer rows than asked for.
func (s *store) changesAfter(ctx context.Context, version int64) ([]entry, error) {
	var entries []entry
	for {
		items, err := s.table.List(ctx, logPartition, rowKey(version).Sort, pageSize)
		if err != nil {
			return nil, fmt.Errorf("list changes after %d: %w", version, err)
		}
		if len(items) == 0 {
			return entries, nil
		}
		for _, item := range items {
			e, err := decodeRow(item)
			if err != nil {
				return nil, err
			}
			entries = append(entries, e)
			version = e.change.Version
		}
	}
}

func decodeRow(item storage.Item) (entry, error) {
	ch, err := config.DecodeChange(item.Value)
	if err != nil {
		return entry{}, fmt.Errorf("row %s: %w", item.Sort, err)
	}
	if rowKey(ch.Version).Sort != item.Sort {
		return entry{}, fmt.Errorf("row %s holds version %d: %w", item.Sort, ch.Version, config.ErrFormat)
	}
	return entry{change: ch, data: item.Value}, nil
}

// loadSnapshot returns the newest snapshot, or the empty configuration if there
// is none or it cannot be read from the object store: the log holds every
// change, so a snapshot only saves time.
func (s *store) loadSnapshot(ctx context.Context) (*config.Config, error) {
	p, _, err := s.readPointer(ctx)
	if err != nil {
		return nil, err
	}
	if p.Version == 0 {
		return config.Empty(), nil
	}
	data, err := s.objects.Get(ctx, p.Object)
	if err != nil {
		return config.Empty(), nil
	}
	c, err := config.Decode(data)
	if err != nil || c.Version != p.Version {
		return config.Empty(), nil
	}
	return c, nil
}

// readPointer reads the snapshot pointer and its revision, which is 0 if there
// is no row.
func (s *store) readPointer(ctx context.Context) (snapshotPointer, int64, error) {
	item, err := s.table.Get(ctx, storage.Key{Partition: pointerPartition, Sort: pointerSort})
	if errors.Is(err, storage.ErrNotFound) {
		return snapshotPointer{}, 0, nil
	}
	if err != nil {
		return snapshotPointer{}, 0, fmt.Errorf("read snapshot pointer: %w", err)
	}
	var p snapshotPointer
	if err := json.Unmarshal(item.Value, &p); err != nil {
		return snapshotPointer{}, 0, fmt.Errorf("snapshot pointer: %w", err)
	}
	return p, item.Revision, nil
}

// writeSnapshot stores the configuration as an object and points to it, unless
// the pointer names the same or a newer version.
func (s *store) writeSnapshot(ctx context.Context, c *config.Config) error {
	data, err := c.Encode()
	if err != nil {
		return fmt.Errorf("encode version %d: %w", c.Version, err)
	}
	if err := s.objects.Put(ctx, objectName(c.Version), data); err != nil {
		return fmt.Errorf("put %s: %w", objectName(c.Version), err)
	}
	for {
		err := s.advancePointer(ctx, c.Version)
		var conflict *storage.ConflictError
		if !errors.As(err, &conflict) || ctx.Err() != nil {
			return err
		}
	}
}

// advancePointer makes the pointer name the snapshot of a version, unless it names the same or a newer
// one. Error: *storage.ConflictError if another VM has changed it meanwhile.
func (s *store) advancePointer(ctx context.Context, version int64) error {
	p, revision, err := s.readPointer(ctx)
	if err != nil || p.Version >= version {
		return err
	}
	value, err := json.Marshal(snapshotPointer{Version: version, Object: objectName(version)})
	if err != nil {
		return err
	}
	return s.table.Transact(ctx, []storage.Write{{
		Key:        storage.Key{Partition: pointerPartition, Sort: pointerSort},
		IfRevision: revision,
		Value:      value,
	}})
}
