package dispatch

import "time"

const (
	// latencyWeight is the part of a new sample in a moving average.
	latencyWeight = 0.05
	// unknownLatency stands in before the first sample.
	unknownLatency = 50 * time.Millisecond
	// leastCost and mostCost bound a request's cost in the queue.
	leastCost = 1.0 / 16
	mostCost  = 64
)

// average is a moving average of latencies; 0 before the first sample.
type average time.Duration

func (a *average) observe(latency time.Duration) {
	if *a == 0 {
		*a = average(latency)
		return
	}
	*a += average(latencyWeight * float64(latency-time.Duration(*a)))
}

// observe takes in the latency of a good answer.
func (p *pool) observe(route string, latency time.Duration) {
	p.latency.observe(latency)
	a := p.routes[route]
	if a == nil {
		a = new(average)
		p.routes[route] = a
	}
	a.observe(latency)
}

// usualLatency is the average over the pool's answers.
func (p *pool) usualLatency() time.Duration {
	if p.latency == 0 {
		return unknownLatency
	}
	return time.Duration(p.latency)
}

// cost is how much longer than usual the requests of a route take.
func (p *pool) cost(route string) float64 {
	a := p.routes[route]
	if a == nil || *a == 0 || p.latency == 0 {
		return 1
	}
	return min(max(float64(*a)/float64(p.latency), leastCost), mostCost)
}

// comparable is the latency of a route's answer as if it were a usual one, so
// that targets with other routes compare.
func (p *pool) comparable(route string, latency time.Duration) time.Duration {
	return time.Duration(float64(latency) / p.cost(route))
}
