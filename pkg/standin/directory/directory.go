// Package directory is a stand-in for the platform's list of VMs, which readers
// see with a lag.
package directory

import (
	"net"
	"net/http"
	"sync"
	"time"

	"crocusramp.dev/crocusramp/pkg/standin/fault"
	"crocusramp.dev/crocusramp/pkg/standin/internal/admin"
	"crocusramp.dev/crocusramp/pkg/storage"
)

// listVersion is a list of VMs and the time at which it was set.
type listVersion struct {
	at  time.Time
	vms []storage.VM
}

// Server serves the list of VMs.
type Server struct {
	faults *fault.Injector

	mu       sync.Mutex
	lag      time.Duration
	versions []listVersion
}

// New returns a server with an empty list and no lag.
func New() *Server { return &Server{faults: fault.NewInjector()} }

// Faults returns the injector of the server's faults.
func (s *Server) Faults() *fault.Injector { return s.faults }

// Set replaces the list. Readers see it once the lag has passed.
func (s *Server) Set(vms []storage.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = append(s.versions, listVersion{time.Now(), vms})
}

// SetLag sets how long readers see the previous list after Set.
func (s *Server) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

// Handler returns the HTTP handler: GET / returns the list, PUT / sets it,
// PUT /lag sets the lag, as in {"lag":"5s"}, and /fault sets the faults.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /{$}", s.serveList)
	outer := http.NewServeMux()
	outer.HandleFunc("PUT /{$}", s.serveSet)
	outer.HandleFunc("PUT /lag", s.serveLag)
	outer.Handle("/", s.faults.Wrap(mux))
	return outer
}

// Serve serves connections of l until l is closed.
func (s *Server) Serve(l net.Listener) error {
	return (&http.Server{Handler: s.Handler()}).Serve(l)
}

// list is the JSON body of the service.
type list struct {
	VMs []storage.VM `json:"vms"`
}

func (s *Server) serveList(w http.ResponseWriter, _ *http.Request) {
	admin.WriteJSON(w, list{s.visibleList(time.Now())})
}

// visibleList returns the newest list that was set at least the lag ago. The
// first list is visible immediately, since readers take an empty list to mean
// that VMs were removed.
func (s *Server) visibleList(now time.Time) []storage.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.versions) - 1; i >= 0; i-- {
		if v := s.versions[i]; i == 0 || now.Sub(v.at) >= s.lag {
			return v.vms
		}
	}
	return []storage.VM{}
}

func (s *Server) serveSet(w http.ResponseWriter, r *http.Request) {
	var l list
	if err := admin.Decode(r, &l); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(l.VMs)
	admin.WriteJSON(w, l)
}

func (s *Server) serveLag(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Lag fault.Duration `json:"lag"`
	}
	if err := admin.Decode(r, &body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetLag(time.Duration(body.Lag))
	admin.WriteJSON(w, body)
}
