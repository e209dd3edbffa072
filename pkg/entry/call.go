package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/outcome"
)

// defaultTimeout bounds requests of routes that set no timeout.
const defaultTimeout = 30 * time.Second

// call is one request on its way through this VM.
type call struct {
	// id is unique; targets see it and echo it.
	id string
	// shownID is the caller's own request id, or id.
	shownID  string
	account  *config.Account
	route    *config.Route
	deadline time.Time
	// handedOver calls came from a peer.
	handedOver bool
	// key is the idempotency key of an at-most-once request; it may be empty.
	key   string
	tried []string
	// watch is nil for open routes and calls from peers, whose first VM watches.
	watch *keyWatch
	// prior is how many targets are known to have died with the request.
	prior  int
	header http.Header
	body   *body
	w      http.ResponseWriter
	r      *http.Request
}

func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// once reports whether the request must not run twice.
func (c *call) once() bool { return c.route.Mode != config.ModeIdempotent }

// remaining is the time to the deadline in whole milliseconds.
func (c *call) remaining() int64 { return max(time.Until(c.deadline).Milliseconds(), 0) }

// newCall checks what the caller sent, before anything else looks at it.
func (s *Server) newCall(w http.ResponseWriter, r *http.Request) *call {
	c := &call{id: newRequestID(), w: w, r: r}
	c.shownID = c.id
	c.header = targetHeader(r.Header)
	if id := r.Header.Get(headerRequestID); acceptableID(id) {
		c.shownID = id
		c.header.Set(headerCallerRequestID, id)
	}
	return c
}

// prepare routes, authenticates and admits the call.
func (s *Server) prepare(ctx context.Context, c *call, arrived time.Time) *outcome.Refusal {
	if refusal := checkRequest(c.r, &s.config.Limits); refusal != nil {
		return refusal
	}
	snapshot := s.config.Config.Snapshot()
	c.route = s.config.Match(snapshot.Config, c.r.Method, c.r.URL.Path)
	if c.route == nil && !snapshot.Fresh {
		return stale() // the route may be newer
	}
	if c.route == nil {
		return outcome.Refuse(http.StatusNotFound, outcome.ReasonNoRoute, 0, "No route matches the path.")
	}
	timeout, refusal := requestTimeout(c.r.Header, c.route, &s.config.Limits)
	if refusal != nil {
		return refusal
	}
	c.deadline = arrived.Add(timeout)
	if c.once() {
		if c.key, refusal = idempotencyKey(c.r.Header); refusal != nil {
			return refusal
		}
	}
	if refusal := s.authenticate(c, snapshot); refusal != nil {
		return refusal
	}
	return s.admit(ctx, c)
}

// authenticate sets the call's client account. Nothing is remembered from one
// request to the next, so a withdrawn key ends on open connections too.
func (s *Server) authenticate(c *call, snapshot config.Snapshot) *outcome.Refusal {
	if c.route.Open {
		return nil
	}
	if !snapshot.Fresh {
		return stale()
	}
	account, refusal := s.config.Authenticate(snapshot, c.r.Header.Get("Authorization"))
	if refusal != nil {
		return refusal
	}
	c.account = account
	c.watch = s.newKeyWatch(c, snapshot.Version)
	return nil
}

// staleRetryAfter is when a caller may ask a VM again that has lost touch with
// the configuration.
const staleRetryAfter = 2 * time.Second

func stale() *outcome.Refusal {
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonStale, staleRetryAfter,
		"This VM cannot tell whether keys are still valid.")
}

func (s *Server) admit(ctx context.Context, c *call) *outcome.Refusal {
	if c.account == nil {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	d := s.config.Limiter.Admit(ctx, c.account.Name)
	if d.Admitted {
		return nil
	}
	return outcome.Refuse(http.StatusTooManyRequests, outcome.ReasonRateLimited, d.RetryAfter,
		"The client account is over its rate.")
}

// requestTimeout is the least of what the caller, the route and the VM allow.
func requestTimeout(h http.Header, route *config.Route, l *Limits) (time.Duration, *outcome.Refusal) {
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	timeout = min(timeout, l.MaxTimeout)
	text := h.Get(headerTimeout)
	if text == "" {
		return timeout, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return 0, badRequest(headerTimeout + " must be a positive number of milliseconds.")
	}
	if ms > timeout.Milliseconds() {
		return timeout, nil
	}
	return time.Duration(ms) * time.Millisecond, nil
}
