package edge

import (
	"context"
	"time"
)

// idlePeriod is how often idle connections are checked against the limit.
const idlePeriod = time.Second

// closeIdle periodically closes callers' connections that exceed the configured idle
// timeout, until ctx ends. net/http's own IdleTimeout cannot follow the configuration because it is
// fixed when a server starts.
func (d *Daemon) closeIdle(ctx context.Context) {
	every(ctx, idlePeriod, func() {
		if limit := d.Snapshot().CallerLimits.IdleTimeout; limit > 0 {
			d.conns.CloseExpired(limit, time.Now())
		}
	})
}
