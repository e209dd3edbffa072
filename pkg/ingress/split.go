package ingress

import (
	"slices"
	"sync"

	"crocusramp.dev/crocusramp/pkg/config"
)

const (
	// splitSlack and splitSlackFraction bound how far the number of requests of a pool may be from
	// its share. Within these bounds an object stays in its home pool, where it is warm.
	splitSlack         = 2.0
	splitSlackFraction = 0.01
)

// splitter divides a route's requests among pools in proportion to their weights. Apart from the
// slack, the division is exact on each VM and therefore over the fleet.
type splitter struct {
	parts []config.WeightedPool
	total float64 // of the weights

	mu     sync.Mutex
	count  float64
	counts []float64
}

func newSplitter(parts []config.WeightedPool) *splitter {
	s := &splitter{parts: parts, counts: make([]float64, len(parts))}
	for _, p := range parts {
		s.total += max(0, p.Weight)
	}
	return s
}

func (s *splitter) sameParts(parts []config.WeightedPool) bool { return slices.Equal(s.parts, parts) }

// choose returns the pool for a request that concerns an object.
func (s *splitter) choose(object uint64) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	furthest, maxDeficit := 0, -1.0
	for i, p := range s.parts {
		if deficit := s.count*s.share(p) - s.counts[i]; deficit > maxDeficit {
			furthest, maxDeficit = i, deficit
		}
	}
	chosen := furthest
	home := s.homePool(object)
	slack := splitSlack + splitSlackFraction*s.count
	if s.counts[home]+1-s.count*s.share(s.parts[home]) <= slack && maxDeficit <= slack {
		chosen = home
	}
	s.counts[chosen]++
	return s.parts[chosen].Pool
}

func (s *splitter) share(p config.WeightedPool) float64 {
	if s.total <= 0 {
		return 1 / float64(len(s.parts))
	}
	return max(0, p.Weight) / s.total
}

// homePool returns the index of the pool that the object's hash selects.
func (s *splitter) homePool(object uint64) int {
	const bits = 32
	u := float64(object>>bits) / (1 << bits)
	for i, p := range s.parts {
		if u -= s.share(p); u < 0 {
			return i
		}
	}
	return len(s.parts) - 1
}
