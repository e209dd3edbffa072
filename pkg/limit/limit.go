// Package limit admits requests within each client account's rate and burst
// over the whole fleet. Every VM holds a share of each limit in escrow; shares
// move between VMs by loans that end before the lender uses them again.
package limit

import (
	"context"
	"time"
)

// Decision is the answer to one admission.
type Decision struct {
	Admitted bool
	// RetryAfter is when a refused caller may try again.
	RetryAfter time.Duration
}

// Limiter admits requests. Admit is safe for concurrent use; the usual case
// costs no allocation and no message.
type Limiter interface {
	// Admit counts one request of the account. It may ask a peer for tokens,
	// but returns as soon as the answer is certain and before ctx ends.
	Admit(ctx context.Context, account string) Decision
}
