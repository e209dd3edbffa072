package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"crocusramp.dev/crocusramp/pkg/outcome"
)

// stoppingRetryAfter is the Retry-After of a VM that is stopping. It is short because
// the caller can use another VM at once.
const stoppingRetryAfter = time.Second

// refusalBody is the JSON form of a refusal in the callers' API.
type refusalBody struct {
	Outcome      string         `json:"outcome"`
	Reason       outcome.Reason `json:"reason"`
	Detail       string         `json:"detail"`
	RequestID    string         `json:"request_id"`
	RetryAfterMS int64          `json:"retry_after_ms,omitempty"`
}

func newRequestID() string { return uuid.NewString() }

// refuse responds with a refusal.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, requestID string, refusal *outcome.Refusal) {
	s.meters.countRefusal(refusal.Reason)
	body, err := json.Marshal(refusalBody{
		Outcome:      refusal.Outcome.String(),
		Reason:       refusal.Reason,
		Detail:       refusal.Detail,
		RequestID:    requestID,
		RetryAfterMS: refusal.RetryAfter.Milliseconds(),
	})
	if err != nil {
		panic(err) // strings and integers always have a JSON form
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)+1))
	h.Set("Cache-Control", "no-store")
	h.Set(headerRequestID, requestID)
	h.Set(headerOutcome, refusal.Outcome.String())
	if refusal.RetryAfter > 0 {
		h.Set(headerRetryAfter, retrySeconds(refusal.RetryAfter))
	}
	if refusal.Reason == outcome.ReasonStopping {
		h.Set("Connection", "close")
	}
	respond(w, r, refusal.Status, append(body, '\n'))
}

// retrySeconds rounds up, so that no caller retries too early.
func retrySeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

func stoppingRefusal() *outcome.Refusal {
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonStopping,
		stoppingRetryAfter, "This VM is stopping; ask another one.")
}

// abortedByShutdown returns the refusal of a request that was aborted because this VM is
// stopping.
func abortedByShutdown(r *outcome.Refusal) *outcome.Refusal {
	if r.Outcome == outcome.NotRun {
		return stoppingRefusal()
	}
	return &outcome.Refusal{Outcome: r.Outcome, Status: http.StatusBadGateway, Reason: outcome.ReasonStopping,
		Detail: "This VM is stopping; the request may have run."}
}

func notReadyRefusal() *outcome.Refusal {
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonNotReady,
		stoppingRetryAfter, "This VM has not started up yet.")
}

// overloadedRetryAfter is the retry time of callers whose request there is no memory for.
const overloadedRetryAfter = time.Second

func overloadedRefusal() *outcome.Refusal {
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonOverloaded,
		overloadedRetryAfter, "This VM has too little memory for the request.")
}

func badRequest(detail string) *outcome.Refusal {
	return outcome.Refuse(http.StatusBadRequest, outcome.ReasonBadRequest, 0, detail)
}
