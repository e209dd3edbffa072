// Package operator serves the operators' API: typed remote procedure calls
// that change the configuration and show the state of the fleet.
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

// PathPrefix begins the path of every call, followed by service and method.
const PathPrefix = "/twirp/"

// maxBody bounds the body of a call.
const maxBody = 1 << 20

// Feed is what the API needs of feed.Feed.
type Feed interface {
	Ready() bool
	Snapshot() config.Snapshot
	Propose(ctx context.Context, build feed.Build, expected int64) (int64, error)
	History(ctx context.Context, before int64, limit int) ([]config.Change, error)
}

// StatusSource reports the state of the fleet.
type StatusSource interface {
	Status(ctx context.Context) (*operatorpb.StatusResponse, error)
}

// Config holds what a Server needs.
type Config struct {
	Feed Feed
	// Status answers status calls; nil makes them unavailable.
	Status StatusSource
	Log    zerolog.Logger
	// Places are the names that routes, shifts and drains may speak of; the
	// zero value accepts any.
	Places Places
	// Metrics receives the count of calls and errors by method; nil drops them.
	Metrics metrics.Registry
}

// Server implements all services of the operators' API.
type Server struct {
	cfg Config
	mux *http.ServeMux
}

// NewServer returns a Server.
func NewServer(cfg Config) *Server {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	s := &Server{cfg: cfg, mux: http.NewServeMux()}
	hooks := twirp.WithServerHooks(s.hooks())
	w := writer{cfg: cfg}
	for _, service := range []operatorpb.TwirpServer{
		operatorpb.NewAccountsServer(&accounts{w}, hooks),
		operatorpb.NewLimitsServer(&limits{w}, hooks),
		operatorpb.NewKeysServer(&keyring{w}, hooks),
		operatorpb.NewRoutesServer(&routes{w}, hooks),
		operatorpb.NewShiftsServer(&shifts{w}, hooks),
		operatorpb.NewDrainsServer(&drains{w}, hooks),
		operatorpb.NewConfigurationServer(&configuration{w}, hooks),
		operatorpb.NewOperationsServer(&operations{w}, hooks),
	} {
		s.mux.Handle(service.PathPrefix(), service)
	}
	return s
}

// Handler returns the handler of all services below PathPrefix.
func (s *Server) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		s.mux.ServeHTTP(w, r)
	})
}

// hooks count calls and log those that failed for a cause on this side.
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

func (s *Server) count(prefix string, ctx context.Context) {
	metrics.GetOrRegisterCounter(prefix+method(ctx), s.cfg.Metrics).Inc(1)
}

func method(ctx context.Context) string {
	service, _ := twirp.ServiceName(ctx)
	name, ok := twirp.MethodName(ctx)
	if !ok {
		return "unrouted"
	}
	return service + "." + name
}
