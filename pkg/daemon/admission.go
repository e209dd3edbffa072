package daemon

import (
	"context"
	"sync"
	"sync/atomic"

	"crocusramp.dev/crocusramp/pkg/limit"
)

// admissionCounts holds how many requests of a client account this VM admitted
// and refused.
type admissionCounts struct {
	admitted, refused atomic.Int64
}

// countingLimiter counts the decisions of a Limiter per client account. Status
// reports the counts.
type countingLimiter struct {
	limit.Limiter
	accounts sync.Map // string to *admissionCounts
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

func (l *countingLimiter) counts(account string) *admissionCounts {
	if c, ok := l.accounts.Load(account); ok {
		return c.(*admissionCounts)
	}
	c, _ := l.accounts.LoadOrStore(account, &admissionCounts{})
	return c.(*admissionCounts)
}
