package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// idlePeriod is how often idle connections are looked at.
const idlePeriod = time.Second

// idleConns closes callers' connections that were idle for longer than the
// configuration allows. net/http's own limit is fixed when a server starts.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConns() *idleConns { return &idleConns{since: map[net.Conn]time.Time{}} }

// track is a server's ConnState hook.
func (i *idleConns) track(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s == http.StateIdle {
		i.since[c] = time.Now()
		return
	}
	delete(i.since, c)
}

// closeOlder closes what was idle for longer than limit at now.
func (i *idleConns) closeOlder(limit time.Duration, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.since {
		if now.Sub(since) > limit {
			delete(i.since, c)
			_ = c.Close() // the caller may have closed it
		}
	}
}

// closeIdle closes callers' idle connections until ctx ends.
func (d *Daemon) closeIdle(ctx context.Context) {
	every(ctx, idlePeriod, func() {
		if limit := d.Snapshot().CallerLimits.IdleTimeout; limit > 0 {
			d.idle.closeOlder(limit, time.Now())
		}
	})
}
