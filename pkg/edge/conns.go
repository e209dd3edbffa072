package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// idlePeriod is how often idle connections are checked against the limit.
const idlePeriod = time.Second

// callerConns tracks which caller connections carry a request and which are idle, and
// closes those that are idle for longer than the configuration allows. net/http's own
// IdleTimeout cannot follow the configuration because it is fixed when a server starts.
type callerConns struct {
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
	active    map[net.Conn]struct{}
}

func newCallerConns() *callerConns {
	return &callerConns{idleSince: map[net.Conn]time.Time{}, active: map[net.Conn]struct{}{}}
}

// track is the http.Server.ConnState hook.
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

// activeCount returns the number of connections with a request whose response is not
// completely sent.
func (cc *callerConns) activeCount() int {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return len(cc.active)
}

// closeExpired closes the connections that have been idle for longer than limit at now.
func (cc *callerConns) closeExpired(limit time.Duration, now time.Time) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	for c, since := range cc.idleSince {
		if now.Sub(since) > limit {
			delete(cc.idleSince, c)
			_ = c.Close() // fails if the caller has already closed it
		}
	}
}

// closeIdle periodically closes callers' connections that exceed the configured idle
// timeout, until ctx ends.
func (d *Daemon) closeIdle(ctx context.Context) {
	every(ctx, idlePeriod, func() {
		if limit := d.Snapshot().CallerLimits.IdleTimeout; limit > 0 {
			d.conns.closeExpired(limit, time.Now())
		}
	})
}
