package ingress

import (
	"net/http"
	"testing"
	"time"
)

// withHeader adds a header to a target's responses.
func withHeader(name, value string, handle http.HandlerFunc) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(name, value)
		handle(rw, r)
	}
}

// TestLeavingTargetsGetNoRequests guards against requests to a target that has announced in a
// response that it is leaving, even if the list of targets does not show it.
func TestLeavingTargetsGetNoRequests(t *testing.T) {
	for name, handle := range map[string]http.HandlerFunc{"answers": respondOK, "refuses": shed} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t)
			leaving := w.add("i-leaving", "fd-e", withHeader(hLeaving, "1", handle))
			w.expect(map[string]int{"answers": 200, "refuses": 503}[name], "GET", "/safe/x")
			resp, _ := w.expect(http.StatusServiceUnavailable, "GET", "/safe/x")
			if leaving.requests() != 1 || resp.Header.Get(hRetryAfter) == "" {
				t.Errorf("the leaving target got %d requests, want 1; retry after %q", leaving.requests(), resp.Header.Get(hRetryAfter))
			}
			w.add("i-other", "fd-e", respondOK)
			w.expect(http.StatusOK, "GET", "/safe/x")
		})
	}
}

// TestAvailabilityOfAnotherInstanceIsIgnored guards against a target that counts as leaving or
// backing off because another target at its address said so.
func TestAvailabilityOfAnotherInstanceIsIgnored(t *testing.T) {
	w := newFixture(t)
	w.addRaw("i-gone", "fd-e", fixedResponse("HTTP/1.1 421 X\r\nTest-Id: %s\r\nTest-Leaving: 1\r\nTest-Backoff: 5s\r\nContent-Length: 0\r\n\r\n"))
	w.expect(http.StatusServiceUnavailable, "GET", "/safe/x")
	for _, l := range w.targets.All() {
		if l.Leaving() || l.BackoffRemaining(time.Now()) > 0 {
			t.Errorf("%s: leaving %v, backoff %v", l.ID, l.Leaving(), l.BackoffRemaining(time.Now()))
		}
	}
}

// TestBackoffIsObserved guards against requests to a target during the backoff that it asked for,
// whether first attempts, retries or spills.
func TestBackoffIsObserved(t *testing.T) {
	w := newFixture(t)
	const backoff = 600 * time.Millisecond
	east := w.add("i-east", "fd-e", withHeader(hBackoff, backoff.String(), shed))
	west := w.add("i-west", "fd-w", withHeader(hBackoff, backoff.String(), shed))
	object := objectIn(w, "east")
	since := time.Now()
	w.expect(http.StatusServiceUnavailable, "GET", "/safe/x", func(r *http.Request) { r.Header.Set(hObject, object) })
	for range 20 {
		resp, _ := w.expect(http.StatusServiceUnavailable, "GET", "/safe/x", func(r *http.Request) { r.Header.Set(hObject, object) })
		after, err := time.ParseDuration(resp.Header.Get(hRetryAfter))
		if least := backoff - time.Since(since); err != nil || after < least {
			t.Errorf("retry after %v, %v; the targets' backoff lasts %v more", after, err, least)
		}
	}
	if east.requests() > 1 || west.requests() > 1 {
		t.Errorf("the targets got %d and %d requests, want at most 1 each", east.requests(), west.requests())
	}
	if n := len(w.targets.Suspects(time.Now().Add(time.Hour))); n != 0 {
		t.Errorf("%d targets are suspect, want none", n)
	}
	before := east.requests()
	time.Sleep(2 * backoff)
	w.expect(http.StatusServiceUnavailable, "GET", "/safe/x", func(r *http.Request) { r.Header.Set(hObject, object) })
	if east.requests() == before {
		t.Error("the target gets no requests after its backoff")
	}
}
