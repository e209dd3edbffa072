// Package dispatch decides where an admitted request runs: it queues by
// priority and fair share, takes a permit and names a target, or the peer that
// the request is handed over to.
package dispatch

import (
	"context"
	"time"

	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/outcome"
	"crocusramp.dev/crocusramp/pkg/target"
)

// Request is what a decision depends on.
type Request struct {
	ID string
	// Account is empty on open routes.
	Account string
	// Weight is the account's fair-share weight.
	Weight int
	Route  *config.Route
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// HandedOver requests came from a peer and are never handed over again.
	HandedOver bool
	// Tried holds the IDs of targets that failed this request before.
	Tried []string
}

// Result is how a request that was granted a target ended.
type Result struct {
	Outcome outcome.Outcome
	// Status is the target's HTTP status; 0 where it sent none.
	Status int
	// Latency is the time from the grant to the end of the answer.
	Latency time.Duration
	// Shed reports that the target refused before running the request.
	Shed bool
	// Canceled reports that the caller went away before the answer, which
	// says nothing of the target.
	Canceled bool
}

// Grant is the right to send one request. Exactly one of Target and Peer is
// set. Release must be called once.
type Grant struct {
	// Target is where the request runs, under a permit that the grant holds.
	Target *target.Target
	// Peer is the VM that dispatches the request in our place.
	Peer    *member.Peer
	Release func(Result)
}

// Dispatcher grants requests their place. Its methods are safe for concurrent
// use by traffic goroutines.
type Dispatcher interface {
	// Acquire waits no longer than a short queue bound and never past the
	// request's deadline. A refusal is always outcome.NotRun.
	Acquire(ctx context.Context, r *Request) (*Grant, *outcome.Refusal)
}
