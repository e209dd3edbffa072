// Package outcome defines the outcomes of requests and the reasons for refusals.
package outcome

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Outcome reports whether a request ran on a target.
type Outcome uint8

const (
	// Unknown means that a target may have run the request.
	Unknown Outcome = iota
	// NotRun means that no target has run the request or ever will.
	NotRun
	// Done means that a target ran the request and its response is complete.
	Done
)

// String returns the outcome's name in the callers' API.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not_run"
	case Done:
		return "done"
	default:
		return "unknown"
	}
}

// Statuses of HTTP have three digits; the first is the class, from 1 to 5.
const (
	statusDigits = 3
	minStatus    = 100
	maxStatus    = 599
)

// ValidStatus reports whether a response has a status of HTTP. net/http also reads signed numbers and those of no
// class.
func ValidStatus(r *http.Response) bool {
	text, _, _ := strings.Cut(r.Status, " ")
	return len(text) == statusDigits && strings.Trim(text, "0123456789") == "" && r.StatusCode >= minStatus && r.StatusCode <= maxStatus
}

// PromisesNotRun reports whether callers take an HTTP status for a promise that the request has not run and
// never will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Reason is a stable, machine-readable cause of a refusal.
type Reason string

// The reasons of the callers' API.
const (
	ReasonUnauthenticated Reason = "unauthenticated"
	ReasonForbidden       Reason = "forbidden"
	ReasonNoRoute         Reason = "no_route"
	ReasonRateLimited     Reason = "rate_limited"
	ReasonNoCapacity      Reason = "no_capacity"
	ReasonQueueTimeout    Reason = "queue_timeout"
	ReasonStale           Reason = "configuration_stale"
	ReasonNotReady        Reason = "not_ready"
	ReasonStopping        Reason = "stopping"
	ReasonOverloaded      Reason = "overloaded"
	ReasonBadRequest      Reason = "bad_request"
	ReasonTooLarge        Reason = "too_large"
	ReasonDuplicate       Reason = "duplicate"
	ReasonClaimsDown      Reason = "claims_unavailable"
	ReasonQuarantined     Reason = "quarantined"
	ReasonTargetFailed    Reason = "target_failed"
	ReasonDeadline        Reason = "deadline_exceeded"
)

// Refusal is the final answer to a request for which there is no target's response to deliver.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	// Status is the HTTP status code of the answer.
	Status int
	// RetryAfter is how long the caller should wait before it retries; 0 if no time is given.
	RetryAfter time.Duration
	// Detail is one sentence for humans. It never contains a key.
	Detail string
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Detail)
}

// Refuse returns the Refusal of a request that no target has received.
func Refuse(status int, reason Reason, retryAfter time.Duration, detail string) *Refusal {
	return &Refusal{Outcome: NotRun, Reason: reason, Status: status, RetryAfter: retryAfter, Detail: detail}
}
