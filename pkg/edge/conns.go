package edge

import (
	"cmp"
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
		d.conns.CloseExpired(cmp.Or(d.Snapshot().CallerLimits.IdleTimeout, callerIdleTimeout), time.Now())
	})
}
