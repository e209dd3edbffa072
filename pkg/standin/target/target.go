// Package target is a stand-in for a target: an HTTP server that runs a bounded
// number of requests concurrently, sheds the rest, keeps a ledger of the requests
// that reached it, and can inject faults.
package target

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"crocusramp.dev/crocusramp/pkg/standin/fault"
	"crocusramp.dev/crocusramp/pkg/standin/internal/admin"
)

// Distribution is the distribution of service times.
type Distribution string

// The values of Distribution.
const (
	Fixed       Distribution = "fixed"
	Exponential Distribution = "exponential"
)

// State is the state that a target reports on /load.
type State string

// The values of State.
const (
	StateOK       State = "ok"
	StateCold     State = "cold"
	StateDraining State = "draining"
)

const (
	defaultSlots         = 9
	defaultAccountHeader = "X-Client-Account"
)

// Config describes a target.
type Config struct {
	// Name identifies the target in its responses.
	Name string
	// Slots is how many requests run concurrently; 0 means 9. Others are shed.
	Slots int
	// ServiceTime is the mean service time of a request.
	ServiceTime time.Duration
	// Distribution is the distribution of service times; empty means Fixed.
	Distribution Distribution
	// Seed seeds the random generator of service times.
	Seed uint64
	// ColdRequests is how many requests after a start take ColdFactor times as
	// long.
	ColdRequests int
	ColdFactor   float64
	// ReportLag is the age of the state that /load and /healthz report.
	ReportLag time.Duration
	// AccountHeader is the header that holds the client account; empty means
	// X-Client-Account.
	AccountHeader string
	// RestartAfter is the time after a crash until the target listens again; 0
	// means never.
	RestartAfter time.Duration
}

// Server is a stand-in target.
type Server struct {
	config Config
	ledger *Ledger

	mu            sync.Mutex
	faults        Faults
	rng           *rand.Rand
	started       int // requests started since the last start of the target
	running       int
	crashed       bool
	lastRequestID string
	reports       []report
	httpServer    *http.Server
	closed        bool
	stateChanged  chan struct{} // closed and replaced when closed or crashed changes
}

// New returns a target.
func New(config Config) *Server {
	if config.Slots == 0 {
		config.Slots = defaultSlots
	}
	if config.AccountHeader == "" {
		config.AccountHeader = defaultAccountHeader
	}
	s := &Server{
		config:       config,
		ledger:       newLedger(config.Name, config.Slots),
		rng:          rand.New(rand.NewPCG(config.Seed, config.Seed)),
		stateChanged: make(chan struct{}),
	}
	s.recordReport(time.Now())
	return s
}

// Ledger returns the ledger of the requests that reached the target.
func (s *Server) Ledger() *Ledger { return s.ledger }

// Handler returns the HTTP handler. It serves /load, /healthz, /ledger and
// /fault, and runs every other path as a request.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/load", s.serveLoad)
	mux.HandleFunc("/healthz", s.serveHealth)
	mux.HandleFunc("/ledger", s.ledger.serve)
	mux.Handle(fault.Path, admin.DocumentHandler(s.Faults, s.SetFaults))
	mux.HandleFunc("/", s.serveRequest)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isCrashed() && r.URL.Path != fault.Path && r.URL.Path != "/ledger" {
			admin.CloseConnection(w)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// Serve serves connections of l until Close. After a crash it listens on l's
// address again once the target restarts.
func (s *Server) Serve(l net.Listener) error {
	address := l.Addr().String()
	for {
		server, stateChanged := s.newHTTPServer()
		if server == nil {
			l.Close()
			return nil
		}
		err := server.Serve(l)
		if !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		for s.isCrashed() {
			<-stateChanged
			_, stateChanged = s.state()
		}
		if closed, _ := s.state(); closed {
			return nil
		}
		if l, err = net.Listen("tcp", address); err != nil {
			return err
		}
	}
}

// Close ends Serve and closes all connections.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed, s.crashed = true, false
	s.notifyServe()
	if s.httpServer != nil {
		return s.httpServer.Close()
	}
	return nil
}

// Crash closes the listener and all connections. Running requests are lost.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed || s.closed {
		return
	}
	s.crashed = true
	s.notifyServe()
	if s.httpServer != nil {
		s.httpServer.Close() // a failure to close changes nothing for the callers
	}
	if s.config.RestartAfter > 0 {
		time.AfterFunc(s.config.RestartAfter, s.Restart)
	}
}

// Restart restarts a crashed target, which is cold again.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.crashed {
		return
	}
	s.crashed, s.started = false, 0
	s.notifyServe()
}

// notifyServe wakes up Serve; s.mu is held.
func (s *Server) notifyServe() {
	close(s.stateChanged)
	s.stateChanged = make(chan struct{})
}

func (s *Server) isCrashed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed
}

func (s *Server) state() (closed bool, stateChanged chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed, s.stateChanged
}

// newHTTPServer returns the HTTP server until the next crash, and the channel
// that reports the next state change. It returns nil if the target is closed.
func (s *Server) newHTTPServer() (*http.Server, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, nil
	}
	s.httpServer = &http.Server{Handler: s.Handler()}
	return s.httpServer, s.stateChanged
}

// serviceTime draws the service time of the next request; s.mu is held.
func (s *Server) serviceTime() time.Duration {
	d := float64(s.config.ServiceTime)
	if s.config.Distribution == Exponential {
		d *= s.rng.ExpFloat64()
	}
	if s.started < s.config.ColdRequests {
		d *= s.config.ColdFactor
	}
	return time.Duration(d)
}
