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
	// headerInternal is the prefix of headers between VMs.
	headerInternal = "X-Crocusramp-"
	headerHandOver = headerInternal + "Hand-Over"
	headerOutcome  = headerInternal + "Outcome"
	headerDied     = headerInternal + "Target-Died"
)

// callerOnly are the headers that a target must not take from a caller: they
// hold the key, are set by this VM, or would make the target treat the request
// as another one than the one that was routed.
var callerOnly = []string{
	"Authorization", "Expect", headerRequestID, headerCallerRequestID,
	headerTimeout, headerDeadline, headerAccount,
	"X-Http-Method-Override", "X-Http-Method", "X-Method-Override",
	"X-Original-Url", "X-Rewrite-Url",
}

// removeHopByHop deletes the headers that end at this hop, those between VMs too.
func removeHopByHop(h http.Header) {
	forward.RemoveHopByHop(h)
	for name := range h {
		if strings.HasPrefix(name, headerInternal) {
			delete(h, name)
		}
	}
}

// targetHeader returns what a target sees of a caller's header.
func targetHeader(from http.Header) http.Header {
	h := from.Clone()
	removeHopByHop(h)
	for _, name := range callerOnly {
		h.Del(name)
	}
	return h
}
