package ingress

import (
	"net/http"
	"testing"
	"time"
)

// TestRefusalsByOutdatedConfiguration guards against final refusals, and runs in regions that are no longer allowed, by
// a configuration that this VM knows to be outdated (HOME, CONFIG, DENIED).
func TestRefusalsByOutdatedConfiguration(t *testing.T) {
	for _, tt := range []struct {
		name, path string
		key        string
		lag        time.Duration
		status     int
	}{
		{"unknown route", "/none/x", testKey, 0, 404},
		{"unknown route, outdated", "/none/x", testKey, time.Millisecond, 503},
		{"unknown key", "/safe/x", "k9", 0, 401},
		{"unknown key, outdated", "/safe/x", "k9", time.Millisecond, 503},
		{"unknown key on an open route, outdated", "/open/x", "k9", time.Millisecond, 503},
		{"limited regions", "/east/x", testKey, maxRegionLag - 1, 200},
		{"limited regions, outdated", "/east/x", testKey, maxRegionLag, 503},
		{"all regions, outdated", "/safe/x", testKey, time.Hour, 200},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newFixture(t)
			w.server.cfg.ConfigLag = func() time.Duration { return tt.lag }
			f := w.add("i-1", "fd-e", respondOK)
			resp, _ := w.expect(tt.status, "GET", tt.path, func(r *http.Request) { r.Header.Set(hKey, tt.key) })
			if hasRetry := resp.Header.Get(hRetryAfter) != ""; hasRetry != (tt.status == http.StatusServiceUnavailable) {
				t.Errorf("has a retry time: %v", hasRetry)
			}
			if ran := f.requests() == 1; ran != (tt.status == http.StatusOK) {
				t.Errorf("ran: %v", ran)
			}
		})
	}
}
