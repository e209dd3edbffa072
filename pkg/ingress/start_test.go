package ingress

import (
	"net/http"
	"testing"
	"time"
)

// restart makes the server look as if it had just started. It has read everything that it needs
// once the returned channel is closed.
func (w *fixture) restart() (ready chan struct{}) {
	ready = make(chan struct{})
	w.server.cfg.Ready = ready
	w.server.started = time.Now()
	return ready
}

// TestStartingVMHoldsRequests guards against refusals right after the start of a fleet, when all
// callers return at once. A starting VM holds requests that it will soon be able to serve.
func TestStartingVMHoldsRequests(t *testing.T) {
	t.Run("until the configuration is known", func(t *testing.T) {
		w := newFixture(t)
		w.add("t1", "fd-e", respondOK)
		state := w.state
		w.state = nil
		ready := w.restart()
		time.AfterFunc(startHold/5, func() { w.state = state; close(ready) })
		w.expect(http.StatusOK, http.MethodGet, "/safe/a")
	})
	t.Run("until there is a token", func(t *testing.T) {
		w := newFixture(t)
		w.add("t1", "fd-e", respondOK)
		close(w.restart())
		w.limiter[testAccount] = time.Now().Add(startHold / 5)
		w.expect(http.StatusOK, http.MethodGet, "/safe/a")
	})
	t.Run("for a while only", func(t *testing.T) {
		w := newFixture(t)
		w.state = nil
		w.restart()
		resp, _ := w.expect(http.StatusServiceUnavailable, http.MethodGet, "/safe/a")
		if resp.Header.Get(hRetryAfter) == "" {
			t.Error("the refusal has no retry time")
		}
	})
	t.Run("for a part of the caller's timeout", func(t *testing.T) {
		w := newFixture(t)
		w.state = nil
		w.restart()
		begin := time.Now()
		w.expect(http.StatusServiceUnavailable, http.MethodGet, "/safe/a", func(r *http.Request) { r.Header.Set(hTimeout, "200") })
		if held := time.Since(begin); held >= startHold {
			t.Errorf("the request was held for %v", held)
		}
	})
	t.Run("not for an account that exceeds its rate after the start", func(t *testing.T) {
		w := newFixture(t)
		w.limiter[testAccount] = time.Time{}
		w.expect(http.StatusTooManyRequests, http.MethodGet, "/safe/a")
		if n := w.server.counters.held.Count(); n != 0 {
			t.Errorf("%d requests were held", n)
		}
	})
}
