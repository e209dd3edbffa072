package feed

import (
	"context"
	"fmt"

	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/storage"
)

// History reads up to limit changes with versions below before from the log,
// newest first. If before is 0 or less, it starts at the version in force on
// this VM. Errors: storage.ErrUnavailable.
func (f *Feed) History(ctx context.Context, before int64, limit int) ([]config.Change, error) {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.ReadTimeout)
	defer cancel()
	if before <= 0 {
		before = f.state.Load().version() + 1
	}
	first := max(1, before-int64(limit))
	if first >= before {
		return nil, nil
	}
	items, err := f.cfg.Table.List(ctx, logPartition, rowKey(first-1).Sort, int(before-first))
	if err != nil {
		return nil, fmt.Errorf("%w: list changes below %d: %w", storage.ErrUnavailable, before, err)
	}
	changes := make([]config.Change, 0, len(items))
	for i := len(items) - 1; i >= 0; i-- {
		e, err := decodeRow(items[i])
		if err != nil {
			return nil, err
		}
		changes = append(changes, e.change)
	}
	return changes, nil
}
