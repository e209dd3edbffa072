package telemetry

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

func TestLoggerLimitsRepeatedEvents(t *testing.T) {
	now := time.Unix(0, 0)
	hook := &rateLimitHook{now: func() time.Time { return now }, counts: map[eventKey]*eventCount{}}
	var out bytes.Buffer
	log := zerolog.New(&out).Hook(hook)
	for range rateLimitEvents + 3 {
		log.Info().Msg("the same")
	}
	log.Info().Msg("another")
	if got := strings.Count(out.String(), "\n"); got != rateLimitEvents+1 {
		t.Fatalf("%d lines, want %d:\n%s", got, rateLimitEvents+1, out.String())
	}
	now = now.Add(rateLimitPeriod)
	out.Reset()
	log.Info().Msg("the same")
	if !strings.Contains(out.String(), `"repeats_dropped":3`) {
		t.Errorf("the number of dropped events is missing in %s", out.String())
	}
}

func TestNewLoggerRefusesUnknownLevel(t *testing.T) {
	if _, err := NewLogger(&bytes.Buffer{}, LogConfig{Level: "loud"}); err == nil {
		t.Error("level \"loud\" was accepted")
	}
}

func TestHandlerFormats(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("entry.requests", r).Inc(3)
	h := NewHistogram()
	h.Record(2_000)
	h.RegisterQuantiles("entry.latency", r)
	handler := Handler(r, map[string]*Histogram{"entry.latency": h})

	text := httptest.NewRecorder()
	handler.ServeHTTP(text, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		"# TYPE crocusramp_entry_requests counter\ncrocusramp_entry_requests 3\n",
		"crocusramp_entry_latency_seconds_count 1\n",
	} {
		if !strings.Contains(text.Body.String(), want) {
			t.Errorf("%q is missing in\n%s", want, text.Body.String())
		}
	}
	asJSON := httptest.NewRecorder()
	handler.ServeHTTP(asJSON, httptest.NewRequest("GET", "/metrics?format=json", nil))
	for _, want := range []string{`"entry.requests":{"count":3}`, `"entry.latency_p99_us":{"value":20`} {
		if !strings.Contains(asJSON.Body.String(), want) {
			t.Errorf("%s is missing in %s", want, asJSON.Body.String())
		}
	}
}

func TestTracerIsOffWithoutEndpoint(t *testing.T) {
	tracer, flush, err := NewTracer(context.Background(), TraceConfig{})
	if err != nil {
		t.Fatal(err)
	}
	if _, span := tracer.Start(context.Background(), "x"); span.IsRecording() {
		t.Error("a span is recorded although no endpoint is set")
	}
	if err := flush(context.Background()); err != nil {
		t.Error(err)
	}
}
