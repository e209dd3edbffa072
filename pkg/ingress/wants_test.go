package ingress

import (
	"net/http"
	"testing"
	"time"
)

// saying makes a target answer with a header.
func saying(name, value string, handle http.HandlerFunc) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(name, value)
		handle(rw, r)
	}
}

// TestTargetsThatSayTheyLeave guards against requests to a target that has said in an answer that
// it leaves, whatever the list says of it.
func TestTargetsThatSayTheyLeave(t *testing.T) {
	for name, handle := range map[string]http.HandlerFunc{"answers": good, "refuses": shed} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			leaving := w.add("i-leaving", "fd-e", saying(hLeaving, "1", handle))
			w.expect(map[string]int{"answers": 200, "refuses": 503}[name], "GET", "/safe/x")
			resp, _ := w.expect(http.StatusServiceUnavailable, "GET", "/safe/x")
			if leaving.requests() != 1 || resp.Header.Get(hRetryAfter) == "" {
				t.Errorf("it got %d requests; come back after %q", leaving.requests(), resp.Header.Get(hRetryAfter))
			}
			w.add("i-other", "fd-e", good)
			w.expect(http.StatusOK, "GET", "/safe/x")
		})
	}
}

// TestLeavingWordOfAnotherInstance: what another target at the address says is not this one's word.
func TestLeavingWordOfAnotherInstance(t *testing.T) {
	w := newWorld(t)
	w.raw("i-gone", "fd-e", answering("HTTP/1.1 421 X\r\nTest-Id: %s\r\nTest-Leaving: 1\r\nTest-Rest: 5s\r\nContent-Length: 0\r\n\r\n"))
	w.expect(http.StatusServiceUnavailable, "GET", "/safe/x")
	for _, l := range w.targets.All() {
		if l.Leaving() || l.BackoffLeft(time.Now()) > 0 {
			t.Errorf("%s leaves %v, rests %v", l.ID, l.Leaving(), l.BackoffLeft(time.Now()))
		}
	}
}

// TestTargetsThatWantNothingForATime guards against requests to a target between its word and the
// end of the time that it named, on any way: first sends, repeats, spills.
func TestTargetsThatWantNothingForATime(t *testing.T) {
	w := newWorld(t)
	const rest = 600 * time.Millisecond
	east := w.add("i-east", "fd-e", saying(hRetry, rest.String(), shed))
	west := w.add("i-west", "fd-w", saying(hRetry, rest.String(), shed))
	object := objectIn(w, "east")
	since := time.Now()
	w.expect(http.StatusServiceUnavailable, "GET", "/safe/x", func(r *http.Request) { r.Header.Set(hObject, object) })
	for range 20 {
		resp, _ := w.expect(http.StatusServiceUnavailable, "GET", "/safe/x", func(r *http.Request) { r.Header.Set(hObject, object) })
		after, err := time.ParseDuration(resp.Header.Get(hRetryAfter))
		if least := rest - time.Since(since); err != nil || after < least {
			t.Errorf("come back after %v, %v; the targets want nothing for %v", after, err, least)
		}
	}
	if east.requests() > 1 || west.requests() > 1 {
		t.Errorf("%d and %d requests", east.requests(), west.requests())
	}
	if n := len(w.targets.Suspects(time.Now().Add(time.Hour))); n != 0 {
		t.Errorf("%d of them are suspect", n)
	}
	before := east.requests()
	time.Sleep(2 * rest)
	w.expect(http.StatusServiceUnavailable, "GET", "/safe/x", func(r *http.Request) { r.Header.Set(hObject, object) })
	if east.requests() == before {
		t.Error("it gets nothing after its time is over")
	}
}
