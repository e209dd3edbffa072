package ingress

import (
	"net/http"
	"testing"
	"time"
)

// startNow makes the server one that has just started and knows nothing yet.
func (w *world) startNow() (known chan struct{}) {
	known = make(chan struct{})
	w.server.cfg.Known = known
	w.server.started = time.Now()
	return known
}

// TestStartingVMHoldsRequests: a fleet starts anew and its callers are all there already.
func TestStartingVMHoldsRequests(t *testing.T) {
	t.Run("until the configuration is known", func(t *testing.T) {
		w := newWorld(t)
		w.add("t1", "fd-e", good)
		state := w.state
		w.state = nil
		known := w.startNow()
		time.AfterFunc(startHold/5, func() { w.state = state; close(known) })
		w.expect(http.StatusOK, http.MethodGet, "/safe/a")
	})
	t.Run("until there is a token", func(t *testing.T) {
		w := newWorld(t)
		w.add("t1", "fd-e", good)
		close(w.startNow())
		w.limiter[testAccount] = time.Now().Add(startHold / 5)
		w.expect(http.StatusOK, http.MethodGet, "/safe/a")
	})
	t.Run("for a while only", func(t *testing.T) {
		w := newWorld(t)
		w.state = nil
		w.startNow()
		resp, _ := w.expect(http.StatusServiceUnavailable, http.MethodGet, "/safe/a")
		if resp.Header.Get(hRetryAfter) == "" {
			t.Error("the caller is not told when to come back")
		}
	})
	t.Run("for a part of the caller's patience", func(t *testing.T) {
		w := newWorld(t)
		w.state = nil
		w.startNow()
		begin := time.Now()
		w.expect(http.StatusServiceUnavailable, http.MethodGet, "/safe/a", func(r *http.Request) { r.Header.Set(hPatience, "200") })
		if held := time.Since(begin); held >= startHold {
			t.Errorf("held for %v", held)
		}
	})
	t.Run("not for an account that is over its rate later", func(t *testing.T) {
		w := newWorld(t)
		w.limiter[testAccount] = time.Time{}
		w.expect(http.StatusTooManyRequests, http.MethodGet, "/safe/a")
		if n := w.server.counters.held.Count(); n != 0 {
			t.Errorf("%d requests were held", n)
		}
	})
}
