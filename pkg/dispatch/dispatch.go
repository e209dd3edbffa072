// Package dispatch decides where an admitted request runs. It queues requests by
// priority and fair share, and grants each of them either a permit for a target of
// this VM's region or a peer to which the request is handed over.
package dispatch

import (
	"context"
	"time"

	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/outcome"
	"crocusramp.dev/crocusramp/pkg/target"
)

// Request holds the properties of a request that the decision depends on.
type Request struct {
	ID string
	// Account is the client account; empty on open routes.
	Account string
	// Weight is the account's fair-share weight.
	Weight int
	Route  *config.Route
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// HandedOver is set if a peer handed the request over to this VM. Such a request
	// is never handed over again.
	HandedOver bool
	// TriedTargets holds the IDs of the targets that failed or refused an earlier attempt.
	TriedTargets []string
}

// Result describes how a granted request ended.
type Result struct {
	Outcome outcome.Outcome
	// Status is the HTTP status of the response; 0 if there was none.
	Status int
	// Latency is the time from the grant to the end of the response.
	Latency time.Duration
	// Shed reports that the target refused the request without running it.
	Shed bool
	// Canceled reports that the caller left before the response was complete. This
	// is no evidence about the target's health.
	Canceled bool
}

// Grant is the right to send one request. Exactly one of Target and Peer is
// set. The caller must call Release once, when the request has ended.
type Grant struct {
	// Target runs the request; the grant holds a permit for it.
	Target *target.Target
	// Peer is the VM to which the request is handed over; it dispatches the request.
	Peer    *member.Peer
	Release func(Result)
}

// Dispatcher grants each request a target or a peer. Its methods are safe for
// concurrent use.
type Dispatcher interface {
	// Acquire returns either a grant or a refusal. It waits for at most the maximum
	// queue wait of the request's priority and never past its deadline. The outcome
	// of a refusal is always outcome.NotRun.
	Acquire(ctx context.Context, r *Request) (*Grant, *outcome.Refusal)
}
