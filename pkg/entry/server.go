package entry

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"crocusramp.dev/crocusramp/pkg/capacity"
	"crocusramp.dev/crocusramp/pkg/claim"
	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/deathreport"
	"crocusramp.dev/crocusramp/pkg/dispatch"
	"crocusramp.dev/crocusramp/pkg/forward"
	"crocusramp.dev/crocusramp/pkg/limit"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/outcome"
	"crocusramp.dev/crocusramp/pkg/peer"
	"crocusramp.dev/crocusramp/pkg/quarantine"
	"crocusramp.dev/crocusramp/pkg/retry"
	"crocusramp.dev/crocusramp/pkg/storage"
)

// Limits bounds what a caller may send.
type Limits struct {
	// MaxHeaderBytes bounds the total size of the request line and the header. A
	// request that exceeds it is refused. Default 32 KiB.
	MaxHeaderBytes int
	// MaxBodyBytes bounds a request's body. A longer body is refused, or cut off
	// if its length was not declared. Default 64 MiB.
	MaxBodyBytes int64
	// MaxTimeout bounds the time from a request's arrival to its response, even if
	// the caller or the route sets a longer one. Default 5 min.
	MaxTimeout time.Duration
	// LocateTTL is how long callers may cache a response to /v1/locate.
	// Default 10 s.
	LocateTTL time.Duration
}

// The defaults of Limits.
const (
	defaultMaxHeaderBytes = 32 << 10
	defaultMaxBodyBytes   = 64 << 20
	defaultMaxTimeout     = 5 * time.Minute
	defaultLocateTTL      = 10 * time.Second
)

// Config holds the settings and dependencies of a Server.
type Config struct {
	Config config.Source
	// Authenticate returns the client account of the key in an Authorization
	// header.
	Authenticate func(s config.Snapshot, header string) (*config.Account, *outcome.Refusal)
	Limiter      limit.Limiter
	Dispatcher   dispatch.Dispatcher
	Members      member.Source
	// Match returns the route of a request, or nil if there is none.
	Match func(c *config.Config, method, path string) *config.Route
	// Homes returns the IDs of the VMs that are the most likely to hold tokens of an
	// account's rate limit, the likeliest first. Nil means that there are none.
	Homes func(account string) []string
	// RegionOf returns the region nearest to a caller's address. Nil means that
	// callers are nearest to the region of the VM that they ask.
	RegionOf   func(netip.Addr) (region string, ok bool)
	PeerDialer *peer.Dialer
	// Table stores the claims of at-most-once requests.
	Table   storage.Table
	Clock   clock.Clock
	Log     zerolog.Logger
	Metrics metrics.Registry
	// Latency is called with the time from each request's arrival to the end of
	// its response. It may be nil.
	Latency func(time.Duration)
	Tracer  trace.Tracer
	Limits  Limits
	// RequireEcho reports whether the targets of a pool must echo the request
	// ID. Nil means that none must.
	RequireEcho func(pool string) bool
	// Capacity bounds the memory of requests and responses. If it is nil, they are not bounded.
	Capacity *capacity.Plan
	// Forward holds the settings of the connections to targets.
	Forward forward.Config
	// Retry limits the retries.
	Retry retry.Config
	// Quarantine holds the settings of the quarantine for requests that crash
	// targets. Its Clock is replaced by Clock above.
	Quarantine quarantine.Config
}

// Server handles the requests of callers and of peers on one VM.
type Server struct {
	config Config
	client *forward.Client
	// peerClient sends requests to other VMs.
	peerClient *forward.Client
	inFlight   *inFlight
	// abortCtx is cancelled when a shutdown times out. It aborts the requests that
	// are still in flight.
	abortCtx       context.Context
	abort          context.CancelFunc
	ready          atomic.Bool
	callersHandler http.Handler
	peersHandler   http.Handler
	meters         *meters
	retryBudget    *retry.Budget
	quarantine     *quarantine.List
	deathReports   *deathreport.Service
	session        *claim.TicketStore
	// claims is nil if there is no table.
	claims *claim.Store
}

// NewServer returns a Server that refuses requests until SetReady is called.
func NewServer(c Config) *Server {
	c = withDefaults(c)
	s := &Server{
		config:      c,
		client:      forward.NewClient(c.Forward),
		peerClient:  newPeerClient(c.PeerDialer),
		inFlight:    newInFlight(),
		meters:      newMeters(c.Metrics, c.Latency),
		retryBudget: retry.NewBudget(c.Retry),
	}
	s.abortCtx, s.abort = context.WithCancel(context.Background())
	c.Quarantine.Clock = c.Clock
	s.quarantine = quarantine.NewList(c.Quarantine)
	s.deathReports = deathreport.New(deathreport.Config{List: s.quarantine, Members: c.Members, PeerDialer: c.PeerDialer, Log: c.Log, PathPrefix: rpcPrefix})
	self := c.Members.View().Self
	s.session = claim.NewTicketStore(claim.TicketStoreConfig{VM: self.ID, Incarnation: self.Incarnation, Clock: c.Clock})
	if c.Table != nil {
		s.claims = claim.NewStore(claim.StoreConfig{Table: c.Table, VM: self.ID, Incarnation: self.Incarnation})
	}
	s.callersHandler = s.callerRoutes()
	s.peersHandler = s.peerRoutes()
	return s
}

func withDefaults(c Config) Config {
	l := &c.Limits
	if l.MaxHeaderBytes == 0 {
		l.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if l.MaxBodyBytes == 0 {
		l.MaxBodyBytes = defaultMaxBodyBytes
	}
	if l.MaxTimeout == 0 {
		l.MaxTimeout = defaultMaxTimeout
	}
	if l.LocateTTL == 0 {
		l.LocateTTL = defaultLocateTTL
	}
	if c.Tracer == nil {
		c.Tracer = noop.NewTracerProvider().Tracer("entry")
	}
	if c.Homes == nil {
		c.Homes = func(string) []string { return nil }
	}
	if c.RequireEcho == nil {
		c.RequireEcho = func(string) bool { return false }
	}
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	return c
}

// newPeerClient returns a client that connects through the dialer.
func newPeerClient(d *peer.Dialer) *forward.Client {
	if d == nil {
		d = peer.NewDialer(nil)
	}
	return forward.NewClient(forward.Config{Dial: d.DialContext})
}

// CallersHandler returns the handler for the callers' listener.
func (s *Server) CallersHandler() http.Handler { return s.callersHandler }

// PeersHandler returns the handler for requests from other VMs and the path prefix under
// which the peer listener must serve it.
func (s *Server) PeersHandler() (prefix string, h http.Handler) { return peerPrefix, s.peersHandler }

// SetReady sets whether the server accepts requests.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Ready reports whether the server accepts requests.
func (s *Server) Ready() bool { return s.ready.Load() && !s.inFlight.isClosing() }

// finalAnswerTimeout bounds the time to answer the requests that are still in flight
// when a shutdown times out.
const finalAnswerTimeout = 500 * time.Millisecond

// Shutdown refuses new requests and waits for those in flight. If ctx ends first, it
// aborts them, delivers their final answers and returns ctx's error.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.client.Close()
	defer s.peerClient.Close()
	err := s.inFlight.close(ctx)
	if err == nil {
		return s.waitForClaims(ctx)
	}
	s.abort()
	finalCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalAnswerTimeout)
	defer cancel()
	return errors.Join(err, s.inFlight.close(finalCtx), s.waitForClaims(finalCtx))
}

// waitForClaims waits until the results of at-most-once requests are recorded.
func (s *Server) waitForClaims(ctx context.Context) error {
	if s.claims == nil {
		return nil
	}
	recorded := make(chan struct{})
	go func() {
		s.claims.Wait()
		close(recorded)
	}()
	select {
	case <-recorded:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Server) callerRoutes() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = s.routeError
	e.GET(locatePath, s.locate)
	e.Any("/*", func(c *echo.Context) error {
		s.serve(c.Response(), c.Request())
		return nil
	})
	return e
}

// routeError answers requests that echo itself rejects.
func (s *Server) routeError(c *echo.Context, _ error) {
	s.refuse(c.Response(), c.Request(), newRequestID(), outcome.Refuse(http.StatusNotFound,
		outcome.ReasonNoRoute, 0, "No route matches the path."))
}
