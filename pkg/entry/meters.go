package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"crocusramp.dev/crocusramp/pkg/outcome"
)

// meters holds the metrics of a Server.
type meters struct {
	registry metrics.Registry
	requests metrics.Counter
	retries  metrics.Counter
	aborted  metrics.Counter
	latency  func(time.Duration)
}

func newMeters(r metrics.Registry, latency func(time.Duration)) *meters {
	if r == nil {
		r = metrics.NewRegistry()
	}
	if latency == nil {
		latency = func(time.Duration) {}
	}
	return &meters{
		registry: r,
		requests: metrics.GetOrRegisterCounter("entry.requests", r),
		retries:  metrics.GetOrRegisterCounter("entry.retries", r),
		aborted:  metrics.GetOrRegisterCounter("entry.aborted", r),
		latency:  latency,
	}
}

func (m *meters) countRefusal(reason outcome.Reason) {
	metrics.GetOrRegisterCounter("entry.refused."+string(reason), m.registry).Inc(1)
}

func (m *meters) recordLatency(start time.Time) { m.latency(time.Since(start)) }
