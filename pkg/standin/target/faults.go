package target

import (
	"net/http"
	"time"

	"crocusramp.dev/crocusramp/pkg/standin/fault"
	"crocusramp.dev/crocusramp/pkg/standin/internal/admin"
)

// Faults is what is wrong with a target. The zero value is a healthy one.
type Faults struct {
	// Draining makes the target report that it is leaving; it still runs
	// what it gets.
	Draining bool `json:"draining,omitempty"`
	// Unhealthy makes /healthz answer 503.
	Unhealthy bool `json:"unhealthy,omitempty"`
	// ReportRunning is what /load reports in place of the truth.
	ReportRunning *int `json:"report_running,omitempty"`
	// Overcommit runs requests above the slots in place of shedding them.
	Overcommit bool `json:"overcommit,omitempty"`
	// CrashMarker crashes the target on any request that holds it in its
	// path, query or body.
	CrashMarker string `json:"crash_marker,omitempty"`
	// Delay is added to the time of each request.
	Delay fault.Duration `json:"delay,omitempty"`
	// IgnoreCancel keeps requests running whose caller has gone.
	IgnoreCancel bool `json:"ignore_cancel,omitempty"`
	// Truncate is how many of the next answers break off half way.
	Truncate int `json:"truncate,omitempty"`
	// Cross is how many of the next answers carry another request's id.
	Cross int `json:"cross,omitempty"`
	// NoEcho leaves the request id out of the answers' headers.
	NoEcho bool `json:"no_echo,omitempty"`
	// LoseAnswers is how many of the next requests run without an answer.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// Crash crashes the target at once.
	Crash bool `json:"crash,omitempty"`
	// Restart starts a crashed target again.
	Restart bool `json:"restart,omitempty"`
}

// SetFaults replaces all faults.
func (s *Server) SetFaults(f Faults) {
	crash, restart := f.Crash, f.Restart
	f.Crash, f.Restart = false, false
	s.mu.Lock()
	s.faults = f
	s.note(time.Now())
	s.mu.Unlock()
	if crash {
		s.Crash()
	}
	if restart {
		s.Restart()
	}
}

// Faults returns the present faults; counts show what remains of them.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// answerFault is how the answer to one request goes wrong.
type answerFault struct {
	truncate, lose, noEcho bool
	// crossID replaces the request's id where it is not empty.
	crossID string
}

// nextAnswerFault uses up the counted faults; s.mu is held.
func (s *Server) nextAnswerFault(id string) answerFault {
	f := answerFault{noEcho: s.faults.NoEcho}
	switch {
	case s.faults.Truncate > 0:
		s.faults.Truncate--
		f.truncate = true
	case s.faults.LoseAnswers > 0:
		s.faults.LoseAnswers--
		f.lose = true
	case s.faults.Cross > 0:
		s.faults.Cross--
		f.crossID = s.lastID
		if f.crossID == "" || f.crossID == id {
			f.crossID = "another-request"
		}
	}
	s.lastID = id
	return f
}

// report is what /load and /healthz tell from an instant on.
type report struct {
	at      time.Time
	running int
	state   State
	healthy bool
}

// note records a change of what is reported; s.mu is held.
func (s *Server) note(now time.Time) {
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

// visible returns the report that is ReportLag old.
func (s *Server) visible(now time.Time) report {
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
	r := s.visible(time.Now())
	admin.Answer(w, struct {
		Running int   `json:"running"`
		Slots   int   `json:"slots"`
		State   State `json:"state"`
	}{r.running, s.config.Slots, r.state})
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if !s.visible(time.Now()).healthy {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n")) // the client may have left
}
