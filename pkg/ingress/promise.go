package ingress

import (
	"net/http"

	"crocusramp.dev/crocusramp/pkg/outcome"
)

// classify returns what the head of a target's response proves about the request: NotRun if the target
// refused it, Done if the response may be delivered. A success that lacks the target's signature or also
// reports "not run" proves nothing.
func classify(status int, info ResponseInfo) outcome.Outcome {
	switch {
	case info.NotRun && status >= http.StatusBadRequest:
		return outcome.NotRun
	case success(status) && (info.NotRun || !info.Sealed):
		return outcome.Unknown
	}
	return outcome.Done
}

// withholdPromise replaces the status of an answer that promises "not run" unless that is known. All answers
// to callers pass through it before their first byte is sent.
func (c *call) withholdPromise(a *answer) {
	switch {
	case !outcome.PromisesNotRun(a.status):
	case !a.local: // a target's response is delivered only if the target may have run the request
		a.status = http.StatusBadGateway
		c.s.cfg.Wire.RemoveClaims(a.header)
	case c.mayHaveRun && a.reason == outcome.ReasonDeadline:
		*a = *refuse(http.StatusGatewayTimeout, a.reason, 0, "the target did not answer in time")
	case c.mayHaveRun:
		if a.reason == outcome.ReasonNoCapacity {
			a.reason = outcome.ReasonTargetFailed
		}
		*a = *refuse(http.StatusBadGateway, a.reason, 0, a.detail+"; the request may have run")
	}
}
