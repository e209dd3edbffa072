package dispatch

import "time"

const (
	// latencyWeight is the weight of a new sample in a moving average.
	latencyWeight = 0.05
	// defaultLatency is assumed before the first sample.
	defaultLatency = 50 * time.Millisecond
	// minRequestCost and maxRequestCost bound a request's cost in the queue.
	minRequestCost = 1.0 / 16
	maxRequestCost = 64
)

// movingAverage is an exponential moving average of latencies; 0 before the first sample.
type movingAverage time.Duration

func (a *movingAverage) add(latency time.Duration) {
	if *a == 0 {
		*a = movingAverage(latency)
		return
	}
	*a += movingAverage(latencyWeight * float64(latency-time.Duration(*a)))
}

// observeLatency adds the latency of a good response to the averages of the pool and of
// the route.
func (p *pool) observeLatency(route string, latency time.Duration) {
	p.latency.add(latency)
	a := p.routeLatency[route]
	if a == nil {
		a = new(movingAverage)
		p.routeLatency[route] = a
	}
	a.add(latency)
}

// meanLatency returns the moving average over the pool's responses, or defaultLatency
// before the first.
func (p *pool) meanLatency() time.Duration {
	if p.latency == 0 {
		return defaultLatency
	}
	return time.Duration(p.latency)
}

// cost returns the latency of the route relative to the latency of the pool, within
// minRequestCost and maxRequestCost; 1 if either is unknown.
func (p *pool) cost(route string) float64 {
	a := p.routeLatency[route]
	if a == nil || *a == 0 || p.latency == 0 {
		return 1
	}
	return min(max(float64(*a)/float64(p.latency), minRequestCost), maxRequestCost)
}

// normalizedLatency divides a latency by the relative cost of the route, so that
// targets that run different routes can be compared.
func (p *pool) normalizedLatency(route string, latency time.Duration) time.Duration {
	return time.Duration(float64(latency) / p.cost(route))
}
