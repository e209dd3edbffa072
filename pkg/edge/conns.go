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

// callerConns knows which of the callers' connections carry a request and which are idle.
// It closes those that were idle for longer than the configuration allows; net/http's own
// limit is fixed when a server starts.
type callerConns struct {
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
	active    map[net.Conn]struct{}
}

func newCallerConns() *callerConns {
	return &callerConns{idleSince: map[net.Conn]time.Time{}, active: map[net.Conn]struct{}{}}
}

// track is a server's ConnState hook.
func (cc *callerConns) track(c net.Conn, s http.ConnState) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	delete(cc.idleSince, c)
	delete(cc.active, c)
	switch s {
	case http.StateIdle:
		cc.idleSince[c] = time.Now()
	case http.StateActive:
		cc.active[c] = struct{}{}
	}
}

// busy is how many connections carry a request whose answer has not left.
func (cc *callerConns) busy() int {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return len(cc.active)
}

// closeOlder closes what was idle for longer than limit at now.
func (cc *callerConns) closeOlder(limit time.Duration, now time.Time) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	for c, since := range cc.idleSince {
		if now.Sub(since) > limit {
			delete(cc.idleSince, c)
			_ = c.Close() // the caller may have closed it
		}
	}
}

// closeIdle closes callers' idle connections until ctx ends.
func (d *Daemon) closeIdle(ctx context.Context) {
	every(ctx, idlePeriod, func() {
		if limit := d.Snapshot().CallerLimits.IdleTimeout; limit > 0 {
			d.conns.closeOlder(limit, time.Now())
		}
	})
}
