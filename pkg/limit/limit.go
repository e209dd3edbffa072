// Package limit admits requests within each client account's rate and burst over the whole fleet.
// Every VM owns a share of each limit as a local token bucket. VMs lend shares to each other; a
// lender does not use a share again before the loan has ended. Each account has a home VM: it
// borrows the idle shares of the other VMs and lends them to the VMs that need them.
package limit

import (
	"context"
	"time"
)

// Decision is the result of one admission.
type Decision struct {
	Admitted bool
	// RetryAfter is when a refused caller may try again.
	RetryAfter time.Duration
}

// Limiter admits requests. Admit is safe for concurrent use; in the usual case it neither allocates
// memory nor contacts another VM.
type Limiter interface {
	// Admit counts one request of the account. It may request tokens from a peer, but returns as
	// soon as the decision is certain and before ctx ends.
	Admit(ctx context.Context, account string) Decision
}
