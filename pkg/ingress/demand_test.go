package ingress

import (
	"testing"
	"time"
)

// TestSmallPoolDoesNotSpillForLargeOne sends the requests of a large pool, which never spill, beside those
// of a small one, whose targets are all full. Requests that leave their region run cold there, so the
// small pool must not use up what the large one may spill.
func TestSmallPoolDoesNotSpillForLargeOne(t *testing.T) {
	s, now := newSpillLimiter(), time.Now()
	spilled, small := 0, 0
	for range 10000 {
		now = now.Add(time.Millisecond)
		for range 9 {
			s.countRequest("large", now)
		}
		s.countRequest("small", now)
		small++
		if s.allows("small", now) {
			s.countSpilled("small", now)
			spilled++
		}
	}
	if limit := spillFraction * float64(small); float64(spilled) > limit || float64(spilled) < limit/2 {
		t.Errorf("%d of %d requests left their region, want at most %.0f and more than half of that", spilled, small, limit)
	}
}
