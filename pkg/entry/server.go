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
	// MaxHeaderBytes bounds the request line and header together; a longer one
	// is refused. Default 32 KiB.
	MaxHeaderBytes int
	// MaxBodyBytes bounds a request's body; a longer one is refused, or cut off
	// where its length was not declared. Default 64 MiB.
	MaxBodyBytes int64
	// MaxTimeout bounds the time from arrival to answer, whatever the caller
	// and the route say. Default 5 min.
	MaxTimeout time.Duration
	// LocateTTL is how long callers may keep a locate answer. Default 10 s.
	LocateTTL time.Duration
}

// The defaults of Limits.
const (
	defaultMaxHeaderBytes = 32 << 10
	defaultMaxBodyBytes   = 64 << 20
	defaultMaxTimeout     = 5 * time.Minute
	defaultLocateTTL      = 10 * time.Second
)

// Config holds what a Server works with.
type Config struct {
	Config config.Source
	// Authenticate finds the client account that an Authorization header's key
	// belongs to.
	Authenticate func(s config.Snapshot, header string) (*config.Account, *outcome.Refusal)
	Limiter      limit.Limiter
	Dispatcher   dispatch.Dispatcher
	Members      member.Source
	// Match finds the route of a request, or nil.
	Match func(c *config.Config, method, path string) *config.Route
	// Homes names the VMs that hold most of an account's share. Nil means none.
	Homes func(account string) []string
	// RegionOf finds the region nearest to a caller's address. Nil means that
	// callers are near the VM that they ask.
	RegionOf func(netip.Addr) (region string, ok bool)
	Peers    *peer.Dialer
	// Table keeps the claims of at-most-once requests.
	Table   storage.Table
	Clock   clock.Clock
	Log     zerolog.Logger
	Metrics metrics.Registry
	// Latency receives the time from each request's arrival to the end of its
	// answer. Nil drops it.
	Latency func(time.Duration)
	Tracer  trace.Tracer
	Limits  Limits
	// RequireEcho tells whether the targets of a pool must echo the request
	// id. Nil means that none must.
	RequireEcho func(pool string) bool
	// Forward holds the settings of the connections to targets.
	Forward forward.Config
	// Retry bounds the retries.
	Retry retry.Config
	// Quarantine keeps back requests that kill targets. Its clock is Clock.
	Quarantine quarantine.Config
}

// Server is the request path of one VM.
type Server struct {
	config Config
	client *forward.Client
	// peerClient keeps the connections to other VMs.
	peerClient *forward.Client
	running    *gate
	// abandoned ends when requests that still run get their final answer.
	abandoned  context.Context
	abandon    context.CancelFunc
	ready      atomic.Bool
	callers    http.Handler
	peers      http.Handler
	meters     *meters
	budget     *retry.Budget
	quarantine *quarantine.List
	deaths     *deathreport.Service
	session    *claim.Session
	// claims is nil without a table.
	claims *claim.Store
}

// NewServer returns a Server that is not ready yet: SetReady opens it.
func NewServer(c Config) *Server {
	c = withDefaults(c)
	s := &Server{
		config:     c,
		client:     forward.NewClient(c.Forward),
		peerClient: newPeerClient(c.Peers),
		running:    newGate(),
		meters:     newMeters(c.Metrics, c.Latency),
		budget:     retry.NewBudget(c.Retry),
	}
	s.abandoned, s.abandon = context.WithCancel(context.Background())
	c.Quarantine.Clock = c.Clock
	s.quarantine = quarantine.NewList(c.Quarantine)
	s.deaths = deathreport.New(deathreport.Config{List: s.quarantine, Members: c.Members, Peers: c.Peers, Log: c.Log, PathPrefix: rpcPrefix})
	self := c.Members.View().Self
	s.session = claim.NewSession(claim.SessionConfig{VM: self.ID, Incarnation: self.Incarnation, Clock: c.Clock})
	if c.Table != nil {
		s.claims = claim.NewStore(claim.StoreConfig{Table: c.Table, VM: self.ID, Incarnation: self.Incarnation})
	}
	s.callers = s.callerRoutes()
	s.peers = s.peerRoutes()
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

// newPeerClient returns a client that connects as the dialer does.
func newPeerClient(d *peer.Dialer) *forward.Client {
	if d == nil {
		d = peer.NewDialer(nil)
	}
	return forward.NewClient(forward.Config{Dial: d.DialContext})
}

// Callers returns the handler of the callers' listener.
func (s *Server) Callers() http.Handler { return s.callers }

// Peers returns the handler of what other VMs send, and the path prefix under
// which the peer listener serves it.
func (s *Server) Peers() (prefix string, h http.Handler) { return peerPrefix, s.peers }

// SetReady opens the server to requests, or closes it.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Ready reports whether the server takes requests.
func (s *Server) Ready() bool { return s.ready.Load() && !s.running.closed() }

// finalAnswersTime bounds delivering the final answers of requests that outlast a
// shutdown.
const finalAnswersTime = 500 * time.Millisecond

// Shutdown refuses new requests and waits for those that run. Where ctx ends first, they
// get their final answer and ctx's error is returned.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.client.Close()
	defer s.peerClient.Close()
	err := s.running.close(ctx)
	if err == nil {
		return s.recordClaims(ctx)
	}
	s.abandon()
	final, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalAnswersTime)
	defer cancel()
	return errors.Join(err, s.running.close(final), s.recordClaims(final))
}

// recordClaims waits until the results of at-most-once requests are recorded.
func (s *Server) recordClaims(ctx context.Context) error {
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

// routeError answers what echo itself refuses.
func (s *Server) routeError(c *echo.Context, _ error) {
	s.refuse(c.Response(), c.Request(), newRequestID(), outcome.Refuse(http.StatusNotFound,
		outcome.ReasonNoRoute, 0, "No route matches the path."))
}
