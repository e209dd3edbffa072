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
	// Larger answers are not kept; of them a re-send learns the status.
	maxKeptBodyBytes   = 8 << 10
	maxKeptHeaderBytes = 4 << 10
	// claimTimeout bounds the wait for the table.
	claimTimeout = 2 * time.Second
	// runningRetryAfter is when the caller of a request that still runs may
	// ask for its answer.
	runningRetryAfter = time.Second
	claimsRetryAfter  = 2 * time.Second
)

// headerReplayed marks an answer that was recorded when the request ran.
const headerReplayed = "Idempotency-Replayed"

// idempotencyKey returns the call's key; it may be empty.
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

// runOnce runs the call unless one with its key ran before.
func (s *Server) runOnce(ctx context.Context, c *call) *answer {
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
		return &answer{refusal: lostTicket(0)}
	default:
		return s.passTicket(ctx, c, t)
	}
}

// truthful changes "not run" to "unknown" where this VM remembers that an
// earlier sending of the call may have run. What other VMs ran it cannot tell:
// "not run" speaks of the present sending alone.
func (s *Server) truthful(c *call, refusal *outcome.Refusal) *outcome.Refusal {
	if c.key == "" || c.account == nil {
		return refusal
	}
	return s.trueOf(c.onceID(), refusal)
}

func (s *Server) trueOf(id claim.ID, refusal *outcome.Refusal) *outcome.Refusal {
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

// identify finds out whose request with an idempotency key the call is, of
// which nothing was looked at yet.
func (s *Server) identify(c *call) {
	key, refusal := idempotencyKey(c.r.Header)
	if key == "" || refusal != nil {
		return
	}
	snapshot := s.config.Config.Snapshot()
	c.route = s.config.Match(snapshot.Config, c.r.Method, c.r.URL.Path)
	if c.route == nil || s.authenticate(c, snapshot) != nil {
		return
	}
	c.key = key
}

// onceID identifies the call to the claims.
func (c *call) onceID() claim.ID {
	return claim.ID{Account: c.accountName(), Route: c.route.Name, Key: c.key}
}

// runClaimed claims the call in the table before it runs.
func (s *Server) runClaimed(ctx context.Context, c *call) *answer {
	if s.claims == nil {
		return &answer{refusal: claimsDown()}
	}
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	owned, record, err := s.claims.Claim(claimCtx, c.onceID())
	switch {
	case err != nil:
		return &answer{refusal: claimsDown()}
	case record != nil:
		return s.recorded(record)
	}
	a := s.run(ctx, c)
	a.onEnd(func(state claim.State, kept claim.Answer) {
		if c.route.Open {
			// Anybody may send the same key; the answer is for one of them.
			kept = claim.Answer{Status: kept.Status}
		}
		owned.Finish(state, kept)
	})
	return a
}

// runTicketed runs the call under a ticket that this process issued.
func (s *Server) runTicketed(ctx context.Context, c *call, t *claim.Ticket) *answer {
	verdict, record := s.session.Begin(c.onceID(), t)
	switch verdict {
	case claim.Run:
	case claim.Seen:
		return s.recorded(record)
	case claim.Forged:
		return &answer{refusal: badRequest("The ticket was not issued to this client account.")}
	case claim.Full:
		return &answer{refusal: claimsDown()}
	default:
		return &answer{refusal: lostTicket(0)}
	}
	a := s.run(ctx, c)
	id := c.onceID()
	a.onEnd(func(state claim.State, kept claim.Answer) { s.session.Finish(id, state, kept) })
	return a
}

// passTicket has the call run on the VM that its ticket names.
func (s *Server) passTicket(ctx context.Context, c *call, t *claim.Ticket) *answer {
	p := findPeer(s.config.Members.View(), t)
	if p == nil || p.State == member.Gone {
		return &answer{refusal: lostTicket(0)}
	}
	a := s.handOver(ctx, c, p, c.key)
	if a.refusal != nil && a.unreached {
		// An earlier sending may have run there.
		return &answer{refusal: lostTicket(runningRetryAfter)}
	}
	return a
}

func findPeer(view *member.View, t *claim.Ticket) *member.Peer {
	for i := range view.Peers {
		if p := &view.Peers[i]; p.ID == t.VM && p.Incarnation == t.Incarnation {
			return p
		}
	}
	return nil
}

// onEnd calls finish with what is to be recorded: at once, or at the end of a
// streamed answer.
func (a *answer) onEnd(finish func(claim.State, claim.Answer)) {
	if a.stream != nil {
		a.finish = finish
		return
	}
	finish(a.toRecord())
}

// toRecord describes a whole answer or a refusal to the claims.
func (a *answer) toRecord() (claim.State, claim.Answer) {
	if a.refusal != nil {
		if a.refusal.Outcome == outcome.NotRun {
			return claim.Released, claim.Answer{}
		}
		return claim.Ended, claim.Answer{}
	}
	kept := claim.Answer{Status: a.status}
	if len(a.head) > maxKeptBodyBytes || fieldBytes(a.header) > maxKeptHeaderBytes {
		return claim.Done, kept
	}
	kept.Kept, kept.Header, kept.Body = true, a.header.Clone(), a.head
	kept.Header.Del(headerRequestID)
	return claim.Done, kept
}

// recorded answers a call whose key was seen before.
func (s *Server) recorded(r *claim.Record) *answer {
	switch {
	case r.State == claim.Done && r.Answer.Kept:
		h := r.Answer.Header.Clone()
		if h == nil {
			h = http.Header{}
		}
		h.Set(headerReplayed, "true")
		return &answer{status: r.Answer.Status, header: h, head: r.Answer.Body}
	case r.State == claim.Done:
		return duplicate(0, fmt.Sprintf("The request ran and was answered with status %d; the answer was not kept.", r.Answer.Status))
	case r.State == claim.Running && !s.config.Members.View().Gone(r.Incarnation):
		return duplicate(runningRetryAfter, "A request with this idempotency key is running.")
	default:
		return duplicate(0, "A request with this idempotency key may have run; its answer is lost.")
	}
}

func duplicate(retryAfter time.Duration, detail string) *answer {
	return &answer{refusal: &outcome.Refusal{Outcome: outcome.Unknown, Reason: outcome.ReasonDuplicate,
		Status: http.StatusConflict, RetryAfter: retryAfter, Detail: detail}}
}

func lostTicket(retryAfter time.Duration) *outcome.Refusal {
	return &outcome.Refusal{Outcome: outcome.Unknown, Reason: outcome.ReasonDuplicate, Status: http.StatusConflict,
		RetryAfter: retryAfter, Detail: "Only the VM that issued the ticket knows whether the request ran, and it cannot be asked."}
}

func claimsDown() *outcome.Refusal {
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonClaimsDown, claimsRetryAfter,
		"The request cannot be claimed now; use a key that begins with a ticket from "+locatePath+".")
}
