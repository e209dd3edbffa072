package entry

import (
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// TestTraceHasASpanForEachHop checks that the spans of a request that is handed over form
// one chain from the caller's span to the traceparent that the target receives.
func TestTraceHasASpanForEachHop(t *testing.T) {
	const traceID, callerSpan = "0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"
	recorder := tracetest.NewSpanRecorder()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder))
	traced := func(c *Config) { c.Tracer = provider.Tracer("test") }
	first, second := startVM(t, "vm-1", traced), startVM(t, "vm-2", traced)
	first.dispatcher.handOverTo(second.peer())
	seen := make(chan string, 1)
	second.addTarget(t, "t1", func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header.Get("Traceparent")
		w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
		w.WriteHeader(http.StatusNoContent)
	})
	got := first.send(t, "GET", "/lookup/x", "", "Traceparent", "00-"+traceID+"-"+callerSpan+"-01")
	if got.status != http.StatusNoContent {
		t.Fatalf("got %d %s", got.status, got.body)
	}
	atTarget := <-seen
	first.callers.Close()
	second.peers.Close()

	byParent := map[string]sdktrace.ReadOnlySpan{}
	for _, s := range recorder.Ended() {
		byParent[s.Parent().SpanID().String()] = s
	}
	var chain []string
	last := callerSpan
	for s, ok := byParent[last]; ok; s, ok = byParent[last] {
		if s.SpanContext().TraceID().String() != traceID {
			t.Errorf("span %s has trace ID %s", s.Name(), s.SpanContext().TraceID())
		}
		chain = append(chain, s.Name())
		last = s.SpanContext().SpanID().String()
	}
	if diff := cmp.Diff([]string{"entry.request", "forward.peer", "peer.request", "forward.target"}, chain); diff != "" {
		t.Error(diff)
	}
	if !strings.HasPrefix(atTarget, "00-"+traceID+"-"+last) {
		t.Errorf("the target got traceparent %q, want span %s", atTarget, last)
	}
}
