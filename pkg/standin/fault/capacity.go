package fault

import "time"

// capacity is a token bucket that holds one second of its rate.
type capacity struct {
	rate   float64 // a second; 0 is unbounded
	tokens float64
	at     time.Time
}

func newCapacity(rate float64, now time.Time) capacity {
	return capacity{rate: rate, tokens: rate, at: now}
}

// take reports whether n more calls are within the rate.
func (c *capacity) take(n int, now time.Time) bool {
	if c.rate <= 0 {
		return true
	}
	c.tokens = min(c.rate, c.tokens+c.rate*now.Sub(c.at).Seconds())
	c.at = now
	if c.tokens < float64(n) {
		return false
	}
	c.tokens -= float64(n)
	return true
}
