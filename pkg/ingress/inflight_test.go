package ingress

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// TestRunningRequestsAreLogged guards against a stop that cuts requests without a log line: a
// request is otherwise logged only at its end.
func TestRunningRequestsAreLogged(t *testing.T) {
	w := newFixture(t)
	var out bytes.Buffer
	w.server.cfg.Log = zerolog.New(&out)
	arrived, release := make(chan struct{}), make(chan struct{})
	w.add("i-1", "fd-e", func(rw http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-release
		respondOK(rw, r)
	})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _, _ = w.send(http.MethodGet, "/safe/x", "")
	}()
	<-arrived
	if got := w.server.Running(); got != 1 {
		t.Errorf("%d requests in flight, want 1", got)
	}
	w.server.LogRunning("cut")
	close(release)
	<-ended
	for _, want := range []string{`"stage":"awaiting_target"`, `"target":"i-1"`, `"reused":false`, `"path":"/safe/x"`, `"message":"cut"`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("log %s does not contain %s", out.String(), want)
		}
	}
}
