package tunnel

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"crocusramp.dev/crocusramp/pkg/capacity"
)

const (
	// setupTimeout bounds the dial of a target and the write of the response.
	setupTimeout = 2 * time.Second
	// warnPeriod is the shortest time between two warnings about too many connections.
	warnPeriod = time.Second
)

// ServerConfig holds a Server's dependencies.
type ServerConfig struct {
	// Address returns the address of a listed target that accepts requests, or false. The server connects
	// to no other address.
	Address func(t Target) (string, bool)
	// Available reports whether this VM carries connections for others: not while it is itself cut off, and
	// not once it no longer accepts new work.
	Available func() bool
	// Dial connects to a target. Its connections should fail soon after the target stops responding.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// AckTimeout is the TCP_USER_TIMEOUT of Dial's connections, which is changed during exchanges with long
	// bodies or long waits; 0 leaves it as it is.
	AckTimeout time.Duration
	// MaxConns is the largest number of connections that are carried at once, including those that are
	// being set up.
	MaxConns int
	// Sockets, if set, is the budget of which each connection takes two.
	Sockets *capacity.Budget
	Metrics metrics.Registry
	Log     zerolog.Logger
}

// Server carries connections to targets for other VMs.
type Server struct {
	config   ServerConfig
	counters counters
	watch    watch

	mu       sync.Mutex
	closed   bool
	reserved int // carried connections and those that are being set up
	carried  map[*link]struct{}
	warnedAt time.Time
}

type counters struct {
	opened, declined, failed     metrics.Counter
	bytesToTarget, bytesToCaller metrics.Counter
}

// NewServer returns a Server.
func NewServer(c ServerConfig) *Server {
	s := &Server{config: c, carried: map[*link]struct{}{}, watch: watch{closeReset: true}}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("tunnel."+name, c.Metrics) }
	s.counters = counters{
		opened: counter("opened"), declined: counter("declined"), failed: counter("failed"),
		bytesToTarget: counter("bytes_to_target"), bytesToCaller: counter("bytes_to_caller"),
	}
	metrics.NewRegisteredFunctionalGauge("tunnel.open", c.Metrics, func() int64 { return int64(s.Open()) })
	return s
}

// Handler returns a handler that serves CONNECT requests and passes all others on to next. It must wrap
// an http.ServeMux, which matches the path only and finds none in CONNECT requests.
func (s *Server) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodConnect {
			s.connect(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Open returns the number of connections that are carried now.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.carried)
}

// Close closes all carried connections and declines further ones. It does not wait until the connections
// have been released.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	links := make([]*link, 0, len(s.carried))
	for l := range s.carried {
		links = append(links, l)
	}
	s.mu.Unlock()
	for _, l := range links {
		l.Close()
	}
}

// connect serves a CONNECT request.
func (s *Server) connect(w http.ResponseWriter, r *http.Request) {
	t, err := parseTarget(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.config.Available() || !s.reserve() {
		s.counters.declined.Inc(1)
		refuse(w, resultDeclined)
		return
	}
	target, failure := s.dial(r.Context(), t)
	if target == nil {
		s.release(nil)
		s.counters.failed.Inc(1)
		refuse(w, failure)
		return
	}
	l, early, err := s.accept(w, target)
	if err != nil {
		target.Close()
		s.release(l)
		s.counters.failed.Inc(1)
		s.config.Log.Debug().Err(err).Str("target", t.ID).Msg("tunnel not opened")
		return
	}
	s.counters.opened.Inc(1)
	s.config.Log.Debug().Str("target", t.ID).Str("vm", r.RemoteAddr).Msg("tunnel opened")
	s.watch.add(l.callerTCP, l)
	go func() {
		defer s.release(l)
		defer s.watch.remove(l.callerTCP)
		l.run(early)
	}()
}

// refuse answers a CONNECT request that opens no tunnel.
func refuse(w http.ResponseWriter, why result) {
	w.Header().Set(headerResult, string(why))
	w.WriteHeader(why.status())
}

// dial connects to a listed target. If it fails, it returns why.
func (s *Server) dial(ctx context.Context, t Target) (net.Conn, result) {
	address, ok := s.config.Address(t)
	if !ok {
		return nil, resultUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	c, err := s.config.Dial(ctx, "tcp", address)
	if err != nil {
		s.config.Log.Debug().Err(err).Str("target", t.ID).Msg("tunnel: connect to target")
		return nil, resultOf(err)
	}
	return c, resultOpened
}

// accept takes the caller's connection over from the HTTP server and answers the CONNECT request. It
// returns the bytes that arrived behind the request. If it fails, the link may be nil.
func (s *Server) accept(w http.ResponseWriter, target net.Conn) (l *link, early []byte, _ error) {
	caller, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		refuse(w, resultDeclined)
		return nil, nil, err
	}
	l, err = newLink(caller, target, s.config.AckTimeout, &s.counters)
	if err != nil {
		caller.Close()
		return nil, nil, err
	}
	// The link is recorded first, so that a caller that has the answer is counted.
	err = s.add(l)
	if err == nil {
		err = l.answer()
	}
	if err != nil {
		l.Close()
		return l, nil, err
	}
	return l, buffered(buffer.Reader), nil
}

// reserve counts a new connection unless there are too many.
func (s *Server) reserve() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if s.reserved < s.config.MaxConns && s.config.Sockets.Take(capacity.SocketsPerConn) {
		s.reserved++
		return true
	}
	if now := time.Now(); now.Sub(s.warnedAt) >= warnPeriod {
		s.warnedAt = now
		s.config.Log.Warn().Int("connections", s.reserved).Msg("tunnel declined: too many connections")
	}
	return false
}

// add records a connection that is to be carried. It fails after Close.
func (s *Server) add(l *link) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return http.ErrServerClosed
	}
	s.carried[l] = struct{}{}
	return nil
}

// release ends a reservation. l is nil if the connection was never carried.
func (s *Server) release(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserved--
	s.config.Sockets.Release(capacity.SocketsPerConn)
	delete(s.carried, l)
}
