package entry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"crocusramp.dev/crocusramp/pkg/claim"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/outcome"
)

const (
	maxIdempotencyKeyBytes = 512
	// Of a response with a larger body or header, only the status is recorded.
	maxRecordedBodyBytes   = 8 << 10
	maxRecordedHeaderBytes = 4 << 10
	// claimTimeout bounds the time to claim a request in the table.
	claimTimeout = 2 * time.Second
	// runningRetryAfter is the Retry-After for a request that is still running.
	runningRetryAfter = time.Second
	claimsRetryAfter  = 2 * time.Second
)

// headerReplayed marks a response that was recorded when the request ran.
const headerReplayed = "Idempotency-Replayed"

// idempotencyKey returns the idempotency key in a header; it may be empty.
func idempotencyKey(h http.Header) (string, *outcome.Refusal) {
	values := h.Values(headerIdempotencyKey)
	if len(values) == 0 || len(values) == 1 && values[0] == "" {
		return "", nil
	}
	if len(values) > 1 || len(values[0]) > maxIdempotencyKeyBytes || !printable(values[0]) {
		return "", badRequest(fmt.Sprintf("%s must be one value of at most %d printable ASCII characters.",
			headerIdempotencyKey, maxIdempotencyKeyBytes))
	}
	return values[0], nil
}

// runAtMostOnce runs the call unless a call with the same idempotency key may have run
// before.
func (s *Server) runAtMostOnce(ctx context.Context, c *call) *answer {
	t, ticketed := claim.ParseTicket(c.key)
	self := &s.config.Members.View().Self
	switch {
	case !ticketed:
		return s.runClaimed(ctx, c)
	case t == nil:
		return &answer{refusal: badRequest("The ticket in the idempotency key is malformed.")}
	case t.VM == self.ID && t.Incarnation == self.Incarnation:
		return s.runTicketed(ctx, c, t)
	case c.handedOver:
		return &answer{refusal: ticketUnavailable(0)}
	default:
		return s.handOverTicketed(ctx, c, t)
	}
}

// correctOutcome changes the outcome "not run" to "unknown" if this VM has recorded that an
// earlier request with the same idempotency key may have run. It does not check what other
// VMs ran: "not run" covers only the current request.
func (s *Server) correctOutcome(c *call, refusal *outcome.Refusal) *outcome.Refusal {
	if c.key == "" || c.account == nil {
		return refusal
	}
	return s.correctOutcomeOf(c.claimID(), refusal)
}

// correctOutcomeOf is correctOutcome for a request that is identified by its claim ID.
func (s *Server) correctOutcomeOf(id claim.ID, refusal *outcome.Refusal) *outcome.Refusal {
	if refusal.Outcome != outcome.NotRun {
		return refusal
	}
	if !s.session.Known(id) && (s.claims == nil || s.claims.Recent(id) == nil) {
		return refusal
	}
	changed := *refusal
	changed.Outcome = outcome.Unknown
	return &changed
}

// identify sets the route, client account and idempotency key of a call that prepare has
// not processed. It leaves key empty if the request has no valid key or is not
// authenticated.
func (s *Server) identify(c *call) {
	key, refusal := idempotencyKey(c.r.Header)
	if key == "" || refusal != nil {
		return
	}
	snapshot := s.config.Config.Snapshot()
	c.route = s.config.Match(snapshot.Config, c.r.Method, c.r.URL.EscapedPath())
	if c.route == nil || s.authenticate(c, snapshot) != nil {
		return
	}
	c.key = key
}

// claimID returns the ID of the call's claim.
func (c *call) claimID() claim.ID {
	return claim.ID{Account: c.accountName(), Route: c.route.Name, Key: c.key}
}

// runClaimed claims the call in the table and then runs it.
func (s *Server) runClaimed(ctx context.Context, c *call) *answer {
	if s.claims == nil {
		return &answer{refusal: claimsUnavailable()}
	}
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claimed, record, err := s.claims.Claim(claimCtx, c.claimID())
	switch {
	case err != nil:
		return &answer{refusal: claimsUnavailable()}
	case record != nil:
		return s.fromRecord(record)
	}
	a := s.runWithRetries(ctx, c)
	a.recordWhenComplete(func(state claim.State, response claim.Response) {
		if c.route.Open {
			// Any caller may send the same key, but only one may see the response.
			response = claim.Response{Status: response.Status}
		}
		claimed.Finish(state, response)
	})
	return a
}

// runTicketed runs a call whose ticket this process issued.
func (s *Server) runTicketed(ctx context.Context, c *call, t *claim.Ticket) *answer {
	verdict, record := s.session.Begin(c.claimID(), t)
	switch verdict {
	case claim.Run:
	case claim.Duplicate:
		return s.fromRecord(record)
	case claim.Forged:
		return &answer{refusal: badRequest("The ticket was not issued to this client account.")}
	case claim.Full:
		return &answer{refusal: claimsUnavailable()}
	default:
		return &answer{refusal: ticketUnavailable(0)}
	}
	a := s.runWithRetries(ctx, c)
	id := c.claimID()
	a.recordWhenComplete(func(state claim.State, response claim.Response) { s.session.Finish(id, state, response) })
	return a
}

// handOverTicketed hands the call over to the VM that issued its ticket.
func (s *Server) handOverTicketed(ctx context.Context, c *call, t *claim.Ticket) *answer {
	p := ticketIssuer(s.config.Members.View(), t)
	if p == nil || p.State == member.Gone {
		return &answer{refusal: ticketUnavailable(0)}
	}
	a := s.handOver(ctx, c, p, c.key)
	if a.refusal != nil && a.notSent {
		// An earlier request with the same key may have run there.
		return &answer{refusal: ticketUnavailable(runningRetryAfter)}
	}
	return a
}

func ticketIssuer(view *member.View, t *claim.Ticket) *member.Peer {
	for i := range view.Peers {
		if p := &view.Peers[i]; p.ID == t.VM && p.Incarnation == t.Incarnation {
			return p
		}
	}
	return nil
}

// recordWhenComplete calls record with the state and the response to record:
// immediately, or at the end of a streamed response.
func (a *answer) recordWhenComplete(record func(claim.State, claim.Response)) {
	if a.stream != nil {
		a.recordEnd = record
		return
	}
	record(a.toRecord())
}

// toRecord returns the state and the response to record for an answer that is not
// streamed.
func (a *answer) toRecord() (claim.State, claim.Response) {
	if a.refusal != nil {
		if a.refusal.Outcome == outcome.NotRun {
			return claim.Released, claim.Response{}
		}
		return claim.Incomplete, claim.Response{}
	}
	response := claim.Response{Status: a.status}
	if len(a.head) > maxRecordedBodyBytes || headerFieldBytes(a.header) > maxRecordedHeaderBytes {
		return claim.Done, response
	}
	response.Stored, response.Header, response.Body = true, a.header.Clone(), a.head
	response.Header.Del(headerRequestID)
	return claim.Done, response
}

// fromRecord returns the answer to a call whose idempotency key was used before.
func (s *Server) fromRecord(r *claim.Record) *answer {
	switch {
	case r.State == claim.Done && r.Response.Stored:
		h := r.Response.Header.Clone()
		if h == nil {
			h = http.Header{}
		}
		h.Set(headerReplayed, "true")
		return &answer{status: r.Response.Status, header: h, head: r.Response.Body}
	case r.State == claim.Done:
		return duplicateAnswer(0, fmt.Sprintf("The request ran and was answered with status %d; the answer was not kept.", r.Response.Status))
	case r.State == claim.Running && !s.config.Members.View().Gone(r.Incarnation):
		return duplicateAnswer(runningRetryAfter, "A request with this idempotency key is running.")
	default:
		return duplicateAnswer(0, "A request with this idempotency key may have run; its answer is lost.")
	}
}

func duplicateAnswer(retryAfter time.Duration, detail string) *answer {
	return &answer{refusal: &outcome.Refusal{Outcome: outcome.Unknown, Reason: outcome.ReasonDuplicate,
		Status: http.StatusConflict, RetryAfter: retryAfter, Detail: detail}}
}

func ticketUnavailable(retryAfter time.Duration) *outcome.Refusal {
	return &outcome.Refusal{Outcome: outcome.Unknown, Reason: outcome.ReasonDuplicate, Status: http.StatusConflict,
		RetryAfter: retryAfter, Detail: "Only the VM that issued the ticket knows whether the request ran, and it cannot be asked."}
}

func claimsUnavailable() *outcome.Refusal {
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonClaimsDown, claimsRetryAfter,
		"The request cannot be claimed now; use a key that begins with a ticket from "+locatePath+".")
}
