package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"crocusramp.dev/crocusramp/pkg/capacity"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/outcome"
)

// defaultTimeout is the timeout of routes that set none.
const defaultTimeout = 30 * time.Second

// call is the state of one request in flight.
type call struct {
	// id is the unique request ID that targets receive and echo.
	id string
	// responseID is the request ID in the response: the caller's own one, or id if
	// the caller sent no valid one.
	responseID string
	account    *config.Account
	route      *config.Route
	deadline   time.Time
	// handedOver is set if a peer admitted the request and handed it over.
	handedOver bool
	// key is the idempotency key of an at-most-once request; it may be empty.
	key string
	// tried holds the IDs of the targets that failed or refused the request.
	triedTargets []string
	// watch is nil for open routes, and for calls from peers because the VM that
	// admitted the request watches the key.
	watch *keyWatch
	// priorDeaths is how many targets are known to have died while they ran this
	// request.
	priorDeaths int
	// header is sent to targets.
	header http.Header
	body   *body
	// memory is what the request has taken of the VM's memory.
	memory *capacity.Use
	w      http.ResponseWriter
	r      *http.Request
}

func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// atMostOnce reports whether the request must not run twice.
func (c *call) atMostOnce() bool { return c.route.Mode != config.ModeIdempotent }

// remainingMS returns the time to the deadline in whole milliseconds.
func (c *call) remainingMS() int64 { return max(time.Until(c.deadline).Milliseconds(), 0) }

// newCall returns the call for a caller's request, with a new request ID. It drops
// headers that targets must not receive and a malformed request ID of the caller.
func (s *Server) newCall(w http.ResponseWriter, r *http.Request) *call {
	c := &call{id: newRequestID(), w: w, r: r}
	c.responseID = c.id
	c.header = targetHeader(r.Header)
	if id := r.Header.Get(headerRequestID); validRequestID(id) {
		c.responseID = id
		c.header.Set(headerCallerRequestID, id)
	}
	return c
}

// prepare validates, routes, authenticates and admits the call.
func (s *Server) prepare(ctx context.Context, c *call, arrived time.Time) *outcome.Refusal {
	if refusal := checkRequest(c.r, &s.config.Limits); refusal != nil {
		return refusal
	}
	snapshot := s.config.Config.Snapshot()
	c.route = s.config.Match(snapshot.Config, c.r.Method, c.r.URL.EscapedPath())
	if c.route == nil && !snapshot.Fresh {
		return staleRefusal() // the route may be newer
	}
	if c.route == nil {
		return outcome.Refuse(http.StatusNotFound, outcome.ReasonNoRoute, 0, "No route matches the path.")
	}
	timeout, refusal := requestTimeout(c.r.Header, c.route, &s.config.Limits)
	if refusal != nil {
		return refusal
	}
	c.deadline = arrived.Add(timeout)
	if c.atMostOnce() {
		if c.key, refusal = idempotencyKey(c.r.Header); refusal != nil {
			return refusal
		}
	}
	if refusal := s.authenticate(c, snapshot); refusal != nil {
		return refusal
	}
	return s.admit(ctx, c)
}

// authenticate sets the call's client account. It caches nothing between requests, so
// a withdrawn key is rejected on open connections too.
func (s *Server) authenticate(c *call, snapshot config.Snapshot) *outcome.Refusal {
	if c.route.Open {
		return nil
	}
	if !snapshot.Fresh {
		return staleRefusal()
	}
	account, refusal := s.config.Authenticate(snapshot, c.r.Header.Get("Authorization"))
	if refusal != nil {
		return refusal
	}
	c.account = account
	c.watch = s.newKeyWatch(c, snapshot.Version)
	return nil
}

// staleRetryAfter is the Retry-After of a VM whose configuration may be stale.
const staleRetryAfter = 2 * time.Second

func staleRefusal() *outcome.Refusal {
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

// requestTimeout returns the smallest of the caller's, the route's and the VM's
// timeouts.
func requestTimeout(h http.Header, route *config.Route, l *Limits) (time.Duration, *outcome.Refusal) {
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	timeout = min(timeout, l.MaxTimeout)
	value := h.Get(headerTimeout)
	if value == "" {
		return timeout, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 {
		return 0, badRequest(headerTimeout + " must be a positive number of milliseconds.")
	}
	if ms > timeout.Milliseconds() {
		return timeout, nil
	}
	return time.Duration(ms) * time.Millisecond, nil
}
