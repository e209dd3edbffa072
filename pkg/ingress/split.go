package ingress

import (
	"slices"
	"sync"

	"crocusramp.dev/crocusramp/pkg/config"
)

const (
	// splitSlack and splitPart bound how far a pool's count may be from its
	// part: an object's own pool is kept within them, since it is warm there.
	splitSlack = 2.0
	splitPart  = 0.01
)

// splitter divides a route's requests among pools in proportion to their
// weights, on this VM exactly but for the slack; so does the fleet as a whole.
type splitter struct {
	parts []config.Part
	total float64 // of the weights

	mu     sync.Mutex
	count  float64
	counts []float64
}

func newSplitter(parts []config.Part) *splitter {
	s := &splitter{parts: parts, counts: make([]float64, len(parts))}
	for _, p := range parts {
		s.total += max(0, p.Weight)
	}
	return s
}

func (s *splitter) same(parts []config.Part) bool { return slices.Equal(s.parts, parts) }

// choose returns the pool of a request for an object.
func (s *splitter) choose(object uint64) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	most, behind := 0, -1.0
	for i, p := range s.parts {
		if lack := s.count*s.share(p) - s.counts[i]; lack > behind {
			most, behind = i, lack
		}
	}
	chosen := most
	own := s.own(object)
	slack := splitSlack + splitPart*s.count
	if s.counts[own]+1-s.count*s.share(s.parts[own]) <= slack && behind <= slack {
		chosen = own
	}
	s.counts[chosen]++
	return s.parts[chosen].Pool
}

func (s *splitter) share(p config.Part) float64 {
	if s.total <= 0 {
		return 1 / float64(len(s.parts))
	}
	return max(0, p.Weight) / s.total
}

// own is the pool that the object's hash chooses.
func (s *splitter) own(object uint64) int {
	const bits = 32
	u := float64(object>>bits) / (1 << bits)
	for i, p := range s.parts {
		if u -= s.share(p); u < 0 {
			return i
		}
	}
	return len(s.parts) - 1
}
