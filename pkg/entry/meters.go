package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"crocusramp.dev/crocusramp/pkg/outcome"
)

// meters are the request path's metrics. A nil registry discards them.
type meters struct {
	registry metrics.Registry
	requests metrics.Counter
	retries  metrics.Counter
	aborted  metrics.Counter
	latency  metrics.Timer
}

func newMeters(r metrics.Registry) *meters {
	if r == nil {
		r = metrics.NewRegistry()
	}
	return &meters{
		registry: r,
		requests: metrics.GetOrRegisterCounter("entry.requests", r),
		retries:  metrics.GetOrRegisterCounter("entry.retries", r),
		aborted:  metrics.GetOrRegisterCounter("entry.aborted", r),
		latency:  metrics.GetOrRegisterTimer("entry.latency", r),
	}
}

func (m *meters) refused(reason outcome.Reason) {
	metrics.GetOrRegisterCounter("entry.refused."+string(reason), m.registry).Inc(1)
}

func (m *meters) finished(start time.Time) { m.latency.UpdateSince(start) }
