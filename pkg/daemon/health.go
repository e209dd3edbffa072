package daemon

import (
	"encoding/json"
	"net/http"
)

// readiness is the body of /readyz.
type readiness struct {
	Ready bool `json:"ready"`
	// Missing lists what the daemon still waits for, or why it accepts no
	// requests.
	Missing []string `json:"missing,omitempty"`
}

// healthz responds with 200 as long as the process serves HTTP.
func healthz(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]bool{"alive": true})
}

// readyz responds with 200 if this VM can serve requests with a key, and with
// 503 and the reasons otherwise.
func (d *Daemon) readyz(w http.ResponseWriter, _ *http.Request) {
	state := readiness{Missing: d.missing()}
	state.Ready = len(state.Missing) == 0
	status := http.StatusOK
	if !state.Ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, state)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// missing returns the reasons why the daemon cannot serve requests with a key.
func (d *Daemon) missing() []string {
	var missing []string
	if d.stopping.Load() {
		missing = append(missing, "the VM is stopping")
	}
	if !d.feed.Ready() {
		missing = append(missing, "no configuration yet")
	} else if !d.feed.Snapshot().Fresh {
		missing = append(missing, "the configuration may be stale")
	}
	if !d.members.View().Complete {
		missing = append(missing, "the platform's list of VMs was not read yet")
	}
	if len(missing) == 0 && !d.entry.Ready() {
		missing = append(missing, "no slot, or no heartbeat from a peer yet")
	}
	return missing
}
