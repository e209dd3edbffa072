package entry

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/protobuf/proto"

	peerpb "crocusramp.dev/crocusramp/api/peer/v1"
	"crocusramp.dev/crocusramp/pkg/claim"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/dispatch"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/outcome"
)

const (
	peerPrefix = "/requests/"
	runPrefix  = peerPrefix + "run"
	rpcPrefix  = peerPrefix + "rpc"
	// maxReportBytes bounds a report of targets that died.
	maxReportBytes = 1 << 20
)

// sendToPeer hands the call over to the granted peer, which dispatches it.
func (s *Server) sendToPeer(ctx context.Context, c *call, g *dispatch.Grant) *answer {
	started := time.Now()
	a := s.handOver(ctx, c, g.Peer, "")
	s.releaseGrant(g, a, started, false)
	return a
}

// handOver sends the call to a peer. ticket is the call's idempotency key if the peer
// must run the call because it issued the ticket, and empty otherwise.
func (s *Server) handOver(ctx context.Context, c *call, p *member.Peer, ticket string) *answer {
	ctx, span := s.config.Tracer.Start(ctx, "forward.peer", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("vm", p.ID)))
	defer span.End()
	u := *c.r.URL
	if u.RawPath != "" {
		u.RawPath = runPrefix + u.RawPath
	}
	u.Path = runPrefix + u.Path
	req := newOutgoingRequest(ctx, c, p.PeerAddress, &u)
	req.Header.Set(headerHandOver, s.handOverHeader(c, ticket))
	watched, stop := s.watchPeer(ctx, p.Incarnation)
	a, err := exchange(watched, s.peerClient, c, req, p.PeerAddress, true)
	stop()
	if err != nil {
		if errors.Is(context.Cause(watched), errPeerSilent) {
			err.ContextEnded, err.Err = false, errPeerSilent
		}
		a = failureAnswer(err)
		a.notSent = !err.Wrote
		return a
	}
	return peerAnswer(a)
}

func (s *Server) handOverHeader(c *call, ticket string) string {
	b, err := proto.Marshal(&peerpb.HandOver{
		RequestId: c.id,
		Account:   c.accountName(),
		Route:     c.route.Name,
		TimeoutMs: c.remainingMS(),
		Tried:     c.triedTargets,
		Ticket:    ticket,
		FromVm:    s.config.Members.View().Self.ID,
	})
	if err != nil {
		panic(err) // fails only for invalid UTF-8, and names come from JSON
	}
	return base64.StdEncoding.EncodeToString(b)
}

// peerAnswer converts a peer's response to the answer that it contains: the target's
// response or a refusal.
func peerAnswer(a *answer) *answer {
	switch a.outcome {
	case outcome.Done.String():
		return a
	case outcome.NotRun.String(), outcome.Unknown.String():
		return peerRefusal(a)
	default:
		a.closeStream()
		return &answer{refusal: &outcome.Refusal{Outcome: outcome.Unknown, Reason: outcome.ReasonTargetFailed,
			Status: http.StatusBadGateway, Detail: "The VM that ran the request gave no outcome."}}
	}
}

func peerRefusal(a *answer) *answer {
	a.closeStream()
	r := &outcome.Refusal{Outcome: outcome.Unknown, Status: a.status}
	if a.outcome == outcome.NotRun.String() {
		r.Outcome = outcome.NotRun
	}
	var body refusalBody
	if err := json.Unmarshal(a.head, &body); err != nil {
		body.Reason, body.Detail = outcome.ReasonTargetFailed, "The VM that ran the request refused it."
	}
	r.Reason, r.Detail = body.Reason, body.Detail
	r.RetryAfter = time.Duration(body.RetryAfterMS) * time.Millisecond
	return &answer{refusal: r, transient: isTransient(r.Reason), deathID: a.deathID}
}

// isTransient reports whether a request that a peer refused for this reason may succeed
// elsewhere.
func isTransient(r outcome.Reason) bool {
	switch r {
	case outcome.ReasonNoCapacity, outcome.ReasonQueueTimeout, outcome.ReasonTargetFailed,
		outcome.ReasonStopping, outcome.ReasonNotReady, outcome.ReasonNoRoute:
		return true
	default:
		return false
	}
}

func (s *Server) peerRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(runPrefix+"/", s.serveHandedOver)
	prefix, reports := s.deathReports.Handler()
	mux.Handle(prefix, s.config.Capacity.LimitBodies(reports, maxReportBytes))
	return mux
}

// serveHandedOver handles a request that a peer admitted and handed over.
func (s *Server) serveHandedOver(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	h, err := parseHandOver(r)
	if err != nil {
		s.refuse(w, r, newRequestID(), badRequest("The hand-over header is missing or malformed."))
		return
	}
	if !s.inFlight.begin() {
		id := claim.ID{Account: h.GetAccount(), Route: h.GetRoute(), Key: h.GetTicket()}
		s.refuse(w, r, h.GetRequestId(), s.correctOutcomeOf(id, stoppingRefusal()))
		return
	}
	defer s.inFlight.end()
	if !s.ready.Load() {
		s.refuse(w, r, h.GetRequestId(), notReadyRefusal())
		return
	}
	c, refusal := s.newHandedOverCall(w, r, h, arrived)
	if refusal != nil {
		s.refuse(w, r, h.GetRequestId(), refusal)
		return
	}
	ctx := traceContext.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	defer c.memory.Release()
	ctx, span := s.config.Tracer.Start(ctx, "peer.request", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	s.runAndDeliver(ctx, c)
}

func parseHandOver(r *http.Request) (*peerpb.HandOver, error) {
	b, err := base64.StdEncoding.DecodeString(r.Header.Get(headerHandOver))
	if err != nil {
		return nil, err
	}
	h := &peerpb.HandOver{}
	if err := proto.Unmarshal(b, h); err != nil {
		return nil, err
	}
	if !validRequestID(h.GetRequestId()) {
		return nil, strconv.ErrSyntax
	}
	return h, nil
}

// newHandedOverCall returns the call for a request that a peer admitted.
func (s *Server) newHandedOverCall(w http.ResponseWriter, r *http.Request, h *peerpb.HandOver, arrived time.Time) (*call, *outcome.Refusal) {
	snapshot := s.config.Config.Snapshot()
	route := snapshot.Routes[h.GetRoute()]
	if route == nil {
		return nil, outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonNoRoute, targetFailedRetryAfter,
			"This VM does not know the route yet.")
	}
	request := *r
	request.URL = withoutRunPrefix(r.URL)
	c := &call{
		id:           h.GetRequestId(),
		responseID:   h.GetRequestId(),
		route:        route,
		account:      accountByName(snapshot, h.GetAccount()),
		deadline:     arrived.Add(time.Duration(h.GetTimeoutMs()) * time.Millisecond),
		handedOver:   true,
		key:          h.GetTicket(),
		triedTargets: h.GetTried(),
		w:            w,
		r:            &request,
		header:       r.Header.Clone(),
		memory:       s.config.Capacity.NewUse(),
	}
	c.body = newBody(w, r, s.config.Limits.MaxBodyBytes, c.memory)
	removeHopByHop(c.header)
	return c, nil
}

// accountByName returns the named account. An account that is not in this VM's snapshot yet
// gets the default weight.
func accountByName(snapshot config.Snapshot, name string) *config.Account {
	if name == "" {
		return nil
	}
	if account := snapshot.Accounts[name]; account != nil {
		return account
	}
	return &config.Account{Name: name, Weight: 1}
}

func withoutRunPrefix(u *url.URL) *url.URL {
	stripped := *u
	stripped.Path = strings.TrimPrefix(u.Path, runPrefix)
	stripped.RawPath = strings.TrimPrefix(u.RawPath, runPrefix)
	return &stripped
}
