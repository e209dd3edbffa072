// Package target is a stand-in for a target: an HTTP server that runs a bounded
// number of requests at once, sheds the rest, keeps a ledger of what reached
// it, and misbehaves on demand.
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

// Distribution is how service times are spread about their mean.
type Distribution string

// The distributions of service times.
const (
	Fixed       Distribution = "fixed"
	Exponential Distribution = "exponential"
)

// State is what a target reports of itself.
type State string

// The states of a target.
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
	// Name is what the target calls itself in its answers.
	Name string
	// Slots is how many requests run at once; 0 means 9. More are shed.
	Slots int
	// ServiceTime is the mean time that a request runs for.
	ServiceTime time.Duration
	// Distribution spreads the service times; empty means Fixed.
	Distribution Distribution
	// Seed starts the generator of service times.
	Seed uint64
	// ColdRequests is how many requests run ColdFactor times as long after a start.
	ColdRequests int
	ColdFactor   float64
	// ReportLag is how old the answers of /load and /healthz are.
	ReportLag time.Duration
	// AccountHeader names the client account; empty means X-Client-Account.
	AccountHeader string
	// RestartAfter is when a crashed target listens again; 0 means never.
	RestartAfter time.Duration
}

// Server is a target.
type Server struct {
	config Config
	ledger *Ledger

	mu       sync.Mutex
	faults   Faults
	random   *rand.Rand
	started  int // requests since the last start
	running  int
	crashed  bool
	lastID   string
	reports  []report
	listener *http.Server
	closed   bool
	wake     chan struct{} // closed when closed or crashed changes
}

// New returns a target that runs no request yet.
func New(config Config) *Server {
	if config.Slots == 0 {
		config.Slots = defaultSlots
	}
	if config.AccountHeader == "" {
		config.AccountHeader = defaultAccountHeader
	}
	s := &Server{
		config: config,
		ledger: newLedger(config.Name, config.Slots),
		random: rand.New(rand.NewPCG(config.Seed, config.Seed)),
		wake:   make(chan struct{}),
	}
	s.note(time.Now())
	return s
}

// Ledger returns the record of the requests that reached the target.
func (s *Server) Ledger() *Ledger { return s.ledger }

// Handler returns the target: its own endpoints are /load, /healthz, /ledger
// and /fault; every other path is a request to run.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/load", s.serveLoad)
	mux.HandleFunc("/healthz", s.serveHealth)
	mux.HandleFunc("/ledger", s.ledger.serve)
	mux.Handle(fault.Path, admin.Document(s.Faults, s.SetFaults))
	mux.HandleFunc("/", s.serveRequest)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isCrashed() && r.URL.Path != fault.Path && r.URL.Path != "/ledger" {
			admin.Drop(w)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// Serve answers connections of l until Close. After a crash it listens again
// on l's address once the target restarts.
func (s *Server) Serve(l net.Listener) error {
	address := l.Addr().String()
	for {
		server, wake := s.startListener()
		if server == nil {
			l.Close()
			return nil
		}
		err := server.Serve(l)
		if !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		for s.isCrashed() {
			<-wake
			_, wake = s.state()
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
	s.signal()
	if s.listener != nil {
		return s.listener.Close()
	}
	return nil
}

// Crash closes the listener and every connection: requests that run are lost.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed || s.closed {
		return
	}
	s.crashed = true
	s.signal()
	if s.listener != nil {
		s.listener.Close() // the error concerns a listener that is gone anyway
	}
	if s.config.RestartAfter > 0 {
		time.AfterFunc(s.config.RestartAfter, s.Restart)
	}
}

// Restart starts a crashed target again, cold.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.crashed {
		return
	}
	s.crashed, s.started = false, 0
	s.signal()
}

// signal wakes Serve; s.mu is held.
func (s *Server) signal() {
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *Server) isCrashed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed
}

func (s *Server) state() (closed bool, wake chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed, s.wake
}

// startListener returns the server of the next life, or nil once closed.
func (s *Server) startListener() (*http.Server, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, nil
	}
	s.listener = &http.Server{Handler: s.Handler()}
	return s.listener, s.wake
}

// serviceTime draws how long the next request runs; s.mu is held.
func (s *Server) serviceTime() time.Duration {
	d := float64(s.config.ServiceTime)
	if s.config.Distribution == Exponential {
		d *= s.random.ExpFloat64()
	}
	if s.started < s.config.ColdRequests {
		d *= s.config.ColdFactor
	}
	return time.Duration(d)
}
