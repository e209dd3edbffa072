package telemetry

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

const (
	// histogramMin and histogramMax are the bounds of the recorded latencies, in microseconds.
	histogramMin = 1
	histogramMax = 10 * 60 * 1_000_000
	// histogramDigits is the number of significant digits: 2 give a precision of 1 %.
	histogramDigits = 2
)

// quantiles are the percentiles that are exported for each histogram.
var quantiles = []float64{50, 90, 99, 99.9}

// Histogram records latencies in microseconds. It is safe for concurrent use.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// NewHistogram returns an empty Histogram.
func NewHistogram() *Histogram {
	return &Histogram{h: hdrhistogram.New(histogramMin, histogramMax, histogramDigits)}
}

// RegisterQuantiles registers the median and the 99th percentile, in microseconds, as gauges, so
// that they are also in the registry's JSON output.
func (h *Histogram) RegisterQuantiles(name string, r metrics.Registry) {
	for suffix, percent := range map[string]float64{"_p50_us": 50, "_p99_us": 99} {
		metrics.NewRegisteredFunctionalGauge(name+suffix, r, func() int64 { return h.Quantile(percent) })
	}
}

// Record adds a latency in microseconds. Values out of range are clamped.
func (h *Histogram) Record(microseconds int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(min(max(microseconds, histogramMin), histogramMax))
}

// Quantile returns the given percentile of the latencies, in microseconds.
func (h *Histogram) Quantile(percent float64) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.h.ValueAtQuantile(percent)
}

// Count returns the number of recorded latencies.
func (h *Histogram) Count() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.h.TotalCount()
}

// Handler returns a handler that serves the registry and the histograms in the Prometheus text
// format or, with ?format=json, the registry as JSON.
func Handler(r metrics.Registry, histograms map[string]*Histogram) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Query().Get("format") == "json" {
			w.Header().Set("Content-Type", "application/json")
			metrics.WriteJSONOnce(r, w)
			return
		}
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		out := bufio.NewWriter(w)
		writeRegistry(out, r)
		writeHistograms(out, histograms)
		_ = out.Flush()
	})
}

func writeRegistry(w io.Writer, r metrics.Registry) {
	all := map[string]any{}
	var names []string
	r.Each(func(name string, m any) {
		all[name] = m
		names = append(names, name)
	})
	slices.Sort(names)
	for _, name := range names {
		writeMetric(w, metricName(name), all[name])
	}
}

func writeMetric(w io.Writer, name string, m any) {
	switch m := m.(type) {
	case metrics.Counter:
		fmt.Fprintf(w, "# TYPE %s counter\n%s %d\n", name, name, m.Count())
	case metrics.Gauge:
		fmt.Fprintf(w, "# TYPE %s gauge\n%s %d\n", name, name, m.Value())
	case metrics.GaugeFloat64:
		fmt.Fprintf(w, "# TYPE %s gauge\n%s %g\n", name, name, m.Value())
	case metrics.Meter:
		fmt.Fprintf(w, "# TYPE %s counter\n%s %d\n", name, name, m.Count())
	case metrics.Timer:
		s := m.Snapshot()
		writeSummary(w, name, s.Count(), func(q float64) float64 { return s.Percentile(q/100) / 1e9 })
	case metrics.Histogram:
		s := m.Snapshot()
		writeSummary(w, name, s.Count(), func(q float64) float64 { return s.Percentile(q / 100) })
	}
}

func writeHistograms(w io.Writer, histograms map[string]*Histogram) {
	names := make([]string, 0, len(histograms))
	for name := range histograms {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		h := histograms[name]
		writeSummary(w, metricName(name)+"_seconds", h.Count(), func(q float64) float64 { return float64(h.Quantile(q)) / 1e6 })
	}
}

// writeSummary writes a summary with the quantiles and the count.
func writeSummary(w io.Writer, name string, count int64, quantile func(percent float64) float64) {
	fmt.Fprintf(w, "# TYPE %s summary\n", name)
	for _, q := range quantiles {
		fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, q/100, quantile(q))
	}
	fmt.Fprintf(w, "%s_count %d\n", name, count)
}

// metricName turns a registry name into a valid name in the text format.
func metricName(name string) string {
	return "crocusramp_" + strings.Map(func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '_':
			return r
		default:
			return '_'
		}
	}, name)
}
