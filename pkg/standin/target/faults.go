package target

import (
	"net/http"
	"time"

	"crocusramp.dev/crocusramp/pkg/standin/fault"
	"crocusramp.dev/crocusramp/pkg/standin/internal/admin"
)

// Faults holds the faults of a target. The zero value is a healthy target.
type Faults struct {
	// Draining makes the target report that it is draining. It still runs the
	// requests that it receives.
	Draining bool `json:"draining,omitempty"`
	// Unhealthy makes /healthz respond with 503.
	Unhealthy bool `json:"unhealthy,omitempty"`
	// ReportRunning replaces the number of running requests that /load reports.
	ReportRunning *int `json:"report_running,omitempty"`
	// Overcommit runs requests above the slots instead of shedding them.
	Overcommit bool `json:"overcommit,omitempty"`
	// CrashMarker crashes the target on any request that contains it in its URI,
	// header or body.
	CrashMarker string `json:"crash_marker,omitempty"`
	// Delay is added to the service time of each request.
	Delay fault.Duration `json:"delay,omitempty"`
	// IgnoreCancel keeps requests running after their caller has disconnected.
	IgnoreCancel bool `json:"ignore_cancel,omitempty"`
	// Truncate is how many of the next responses are cut off half way.
	Truncate int `json:"truncate,omitempty"`
	// Cross is how many of the next responses carry another request's ID.
	Cross int `json:"cross,omitempty"`
	// NoEcho omits the request ID from the header of responses.
	NoEcho bool `json:"no_echo,omitempty"`
	// LoseResponses is how many of the next requests run without a response.
	LoseResponses int `json:"lose_answers,omitempty"`
	// Crash crashes the target immediately.
	Crash bool `json:"crash,omitempty"`
	// Restart restarts a crashed target.
	Restart bool `json:"restart,omitempty"`
}

// SetFaults replaces all faults. Crash and Restart are executed, not kept.
func (s *Server) SetFaults(f Faults) {
	crash, restart := f.Crash, f.Restart
	f.Crash, f.Restart = false, false
	s.mu.Lock()
	s.faults = f
	s.recordReport(time.Now())
	s.mu.Unlock()
	if crash {
		s.Crash()
	}
	if restart {
		s.Restart()
	}
}

// Faults returns the current faults. Fields that count responses hold how many
// remain.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// responseFault holds the faults of the response to one request.
type responseFault struct {
	truncate, lose, noEcho bool
	// crossID replaces the request's ID unless it is empty.
	crossID string
}

// nextResponseFault returns the faults of the response to request id. It
// decrements the counter of the fault that it applies; s.mu is held.
func (s *Server) nextResponseFault(id string) responseFault {
	f := responseFault{noEcho: s.faults.NoEcho}
	switch {
	case s.faults.Truncate > 0:
		s.faults.Truncate--
		f.truncate = true
	case s.faults.LoseResponses > 0:
		s.faults.LoseResponses--
		f.lose = true
	case s.faults.Cross > 0:
		s.faults.Cross--
		f.crossID = s.lastRequestID
		if f.crossID == "" || f.crossID == id {
			f.crossID = "another-request"
		}
	}
	s.lastRequestID = id
	return f
}

// report is the state that /load and /healthz return from a point in time on.
type report struct {
	at      time.Time
	running int
	state   State
	healthy bool
}

// recordReport appends a report of the current state; s.mu is held.
func (s *Server) recordReport(now time.Time) {
	r := report{at: now, running: s.running, state: StateOK, healthy: !s.faults.Unhealthy}
	switch {
	case s.faults.Draining:
		r.state = StateDraining
	case s.started < s.config.ColdRequests:
		r.state = StateCold
	}
	if s.faults.ReportRunning != nil {
		r.running = *s.faults.ReportRunning
	}
	s.reports = append(s.reports, r)
	// Keep one report that is old enough to be visible.
	for len(s.reports) > 1 && now.Sub(s.reports[1].at) >= s.config.ReportLag {
		s.reports = s.reports[1:]
	}
}

// visibleReport returns the newest report that is at least ReportLag old, or the
// oldest one if there is none.
func (s *Server) visibleReport(now time.Time) report {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.reports) - 1; i > 0; i-- {
		if now.Sub(s.reports[i].at) >= s.config.ReportLag {
			return s.reports[i]
		}
	}
	return s.reports[0]
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	r := s.visibleReport(time.Now())
	admin.WriteJSON(w, struct {
		Running int   `json:"running"`
		Slots   int   `json:"slots"`
		State   State `json:"state"`
	}{r.running, s.config.Slots, r.state})
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if !s.visibleReport(time.Now()).healthy {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n")) // the client may have disconnected
}
