package daemon

import (
	"context"
	"sync"
	"sync/atomic"

	"crocusramp.dev/crocusramp/pkg/limit"
)

// admissions counts a client account's decisions on this VM.
type admissions struct {
	admitted, refused atomic.Int64
}

// countingLimiter counts the decisions of a Limiter by client account, for
// status.
type countingLimiter struct {
	limit.Limiter
	accounts sync.Map // string to *admissions
}

// Admit implements limit.Limiter.
func (l *countingLimiter) Admit(ctx context.Context, account string) limit.Decision {
	d := l.Limiter.Admit(ctx, account)
	if counts := l.counts(account); d.Admitted {
		counts.admitted.Add(1)
	} else {
		counts.refused.Add(1)
	}
	return d
}

func (l *countingLimiter) counts(account string) *admissions {
	if c, ok := l.accounts.Load(account); ok {
		return c.(*admissions)
	}
	c, _ := l.accounts.LoadOrStore(account, &admissions{})
	return c.(*admissions)
}
