package fault

import "time"

// tokenBucket limits calls to a rate. It holds at most the tokens of one second.
type tokenBucket struct {
	rate    float64 // per second; 0 means unlimited
	tokens  float64
	updated time.Time
}

func newTokenBucket(rate float64, now time.Time) tokenBucket {
	return tokenBucket{rate: rate, tokens: rate, updated: now}
}

// take takes n tokens and reports true if the bucket holds as many. Otherwise it
// takes none.
func (b *tokenBucket) take(n int, now time.Time) bool {
	if b.rate <= 0 {
		return true
	}
	b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.updated).Seconds())
	b.updated = now
	if b.tokens < float64(n) {
		return false
	}
	b.tokens -= float64(n)
	return true
}
