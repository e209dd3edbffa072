package feed

import "github.com/rcrowley/go-metrics"

// meters are the feed's metrics.
type meters struct {
	version         metrics.Gauge
	reads           metrics.Counter
	readErrors      metrics.Counter
	pulls           metrics.Counter
	pullErrors      metrics.Counter
	pushes          metrics.Counter
	conflicts       metrics.Counter
	unknownOutcomes metrics.Counter
}

func newMeters(r metrics.Registry) meters {
	return meters{
		version:         metrics.GetOrRegisterGauge("feed.version", r),
		reads:           metrics.GetOrRegisterCounter("feed.reads", r),
		readErrors:      metrics.GetOrRegisterCounter("feed.read_errors", r),
		pulls:           metrics.GetOrRegisterCounter("feed.pulls", r),
		pullErrors:      metrics.GetOrRegisterCounter("feed.pull_errors", r),
		pushes:          metrics.GetOrRegisterCounter("feed.pushes", r),
		conflicts:       metrics.GetOrRegisterCounter("feed.conflicts", r),
		unknownOutcomes: metrics.GetOrRegisterCounter("feed.unknown_outcomes", r),
	}
}
