package entry

import (
	"net/http"
	"strings"

	"crocusramp.dev/crocusramp/pkg/forward"
)

// Headers of the callers' API and of the requests to targets.
const (
	headerRequestID       = "X-Request-Id"
	headerCallerRequestID = "X-Caller-Request-Id"
	headerTimeout         = "X-Request-Timeout-Ms"
	headerDeadline        = "X-Request-Deadline-Ms"
	headerAccount         = "X-Client-Account"
	headerIdempotencyKey  = "Idempotency-Key"
	headerShed            = "X-Shed"
	shedNotRun            = "not-run"
	headerRetryAfter      = "Retry-After"
	// headerInternal is the prefix of the headers that VMs send each other.
	headerInternal   = "X-Crocusramp-"
	headerHandOver   = headerInternal + "Hand-Over"
	headerOutcome    = headerInternal + "Outcome"
	headerTargetDied = headerInternal + "Target-Died"
)

// notForwarded lists the headers of callers that are not forwarded to targets: they
// contain the key, are set by this VM, or could make the target run another request
// than the one that was routed.
var notForwarded = []string{
	"Authorization", "Expect", headerRequestID, headerCallerRequestID,
	headerTimeout, headerDeadline, headerAccount,
	"X-Http-Method-Override", "X-Http-Method", "X-Method-Override",
	"X-Original-Url", "X-Rewrite-Url",
}

// removeHopByHop deletes the hop-by-hop headers, including those that VMs send each
// other.
func removeHopByHop(h http.Header) {
	forward.RemoveHopByHop(h)
	for name := range h {
		if strings.HasPrefix(name, headerInternal) {
			delete(h, name)
		}
	}
}

// targetHeader returns the part of a caller's header that is forwarded to targets.
func targetHeader(from http.Header) http.Header {
	h := from.Clone()
	removeHopByHop(h)
	for _, name := range notForwarded {
		h.Del(name)
	}
	return h
}
