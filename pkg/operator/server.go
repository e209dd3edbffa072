// Package operator serves the operators' API: remote procedure calls (Twirp) that change the
// configuration and report the state of the fleet.
package operator

import (
	"context"
	"net/http"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"

	operatorpb "crocusramp.dev/crocusramp/api/operator/v1"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/feed"
)

// PathPrefix starts the path of every call. The service and method follow it.
const PathPrefix = "/twirp/"

// maxBodyBytes is the largest size of a request body.
const maxBodyBytes = 1 << 20

// Feed reads and changes the configuration. It is the part of feed.Feed that the API uses.
type Feed interface {
	Ready() bool
	Snapshot() config.Snapshot
	Propose(ctx context.Context, build feed.BuildFunc, expected int64) (int64, error)
	History(ctx context.Context, before int64, limit int) ([]config.Change, error)
}

// StatusSource reports the state of the fleet.
type StatusSource interface {
	Status(ctx context.Context) (*operatorpb.StatusResponse, error)
}

// Config configures a Server. Feed is required.
type Config struct {
	Feed Feed
	// Status is the source for status calls. If it is nil, they return an unavailable error.
	Status StatusSource
	Log    zerolog.Logger
	// KnownNames lists the names that routes, shifts and drains may refer to. The zero value accepts
	// any name.
	KnownNames KnownNames
	// Metrics receives the counters of calls and errors by method; nil discards them.
	Metrics metrics.Registry
}

// Server implements all services of the operators' API.
type Server struct {
	cfg Config
	mux *http.ServeMux
}

// NewServer returns a Server with all services.
func NewServer(cfg Config) *Server {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	s := &Server{cfg: cfg, mux: http.NewServeMux()}
	hooks := twirp.WithServerHooks(s.hooks())
	base := baseService{cfg: cfg}
	for _, service := range []operatorpb.TwirpServer{
		operatorpb.NewAccountsServer(&accounts{base}, hooks),
		operatorpb.NewLimitsServer(&limits{base}, hooks),
		operatorpb.NewKeysServer(&accountKeys{base}, hooks),
		operatorpb.NewRoutesServer(&routes{base}, hooks),
		operatorpb.NewShiftsServer(&shifts{base}, hooks),
		operatorpb.NewDrainsServer(&drains{base}, hooks),
		operatorpb.NewConfigurationServer(&configuration{base}, hooks),
		operatorpb.NewOperationsServer(&operations{base}, hooks),
	} {
		s.mux.Handle(service.PathPrefix(), service)
	}
	return s
}

// Handler returns the HTTP handler for all services. They are at paths below PathPrefix.
func (s *Server) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		s.mux.ServeHTTP(w, r)
	})
}

// hooks returns hooks that count calls and errors, and log the calls that failed with a server error
// (HTTP status 500 or above).
func (s *Server) hooks() *twirp.ServerHooks {
	return &twirp.ServerHooks{
		RequestRouted: func(ctx context.Context) (context.Context, error) {
			s.count("operator.calls.", ctx)
			return ctx, nil
		},
		Error: func(ctx context.Context, err twirp.Error) context.Context {
			s.count("operator.errors.", ctx)
			if status := twirp.ServerHTTPStatusFromErrorCode(err.Code()); status >= http.StatusInternalServerError {
				s.cfg.Log.Warn().Str("method", method(ctx)).Str("code", string(err.Code())).Err(err).Msg("operator call failed")
			}
			return ctx
		},
	}
}

// count increments the counter for the call's method.
func (s *Server) count(prefix string, ctx context.Context) {
	metrics.GetOrRegisterCounter(prefix+method(ctx), s.cfg.Metrics).Inc(1)
}

// method returns the call's service and method, or "unrouted" if no method matches the path.
func method(ctx context.Context) string {
	service, _ := twirp.ServiceName(ctx)
	name, ok := twirp.MethodName(ctx)
	if !ok {
		return "unrouted"
	}
	return service + "." + name
}
