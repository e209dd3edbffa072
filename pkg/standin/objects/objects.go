// Package objects is a stand-in for the platform's object store. It speaks
// the calls of the S3 protocol that the objects adapter makes, keeps
// everything in memory, and fails on demand.
package objects

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"

	"crocusramp.dev/crocusramp/pkg/standin/fault"
	"crocusramp.dev/crocusramp/pkg/standin/internal/admin"
)

// maxObjectBytes bounds one object.
const maxObjectBytes = 256 << 20

// Server is the object store.
type Server struct {
	faults *fault.Injector

	mu      sync.Mutex
	objects map[string][]byte
}

// New returns an empty object store.
func New() *Server {
	return &Server{faults: fault.NewInjector(), objects: map[string][]byte{}}
}

// Faults returns the injector that makes the store fail.
func (s *Server) Faults() *fault.Injector { return s.faults }

// Handler returns the service with its admin endpoint /fault.
func (s *Server) Handler() http.Handler {
	return s.faults.Wrap(http.HandlerFunc(s.serve))
}

// Serve answers connections of l until it is closed.
func (s *Server) Serve(l net.Listener) error {
	return (&http.Server{Handler: s.Handler()}).Serve(l)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	bucket, name, ok := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if !ok || bucket == "" || name == "" {
		writeError(w, http.StatusBadRequest, "InvalidRequest", "only objects in a bucket are served")
		return
	}
	switch r.Method {
	case http.MethodGet:
		s.get(w, r.URL.Path)
	case http.MethodPut:
		s.put(w, r)
	default:
		writeError(w, http.StatusMethodNotAllowed, "MethodNotAllowed", "only GET and PUT are served")
	}
}

func (s *Server) get(w http.ResponseWriter, path string) {
	if s.faults.ThrottleRead() {
		writeThrottled(w)
		return
	}
	s.mu.Lock()
	data, ok := s.objects[path]
	s.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, "NoSuchKey", "the object does not exist")
		return
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	_, _ = w.Write(data) // the client may have left
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.Header.Get("X-Amz-Content-Sha256"), "STREAMING") {
		writeError(w, http.StatusNotImplemented, "NotImplemented", "chunked signatures are not supported")
		return
	}
	if s.faults.ThrottleWrite(1) {
		writeThrottled(w)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "IncompleteBody", err.Error())
		return
	}
	s.mu.Lock()
	s.objects[r.URL.Path] = data
	s.mu.Unlock()
	if s.faults.LoseAnswer() {
		admin.Drop(w)
		return
	}
	w.Header().Set("ETag", `"stand-in"`)
}

func writeThrottled(w http.ResponseWriter) {
	writeError(w, http.StatusTooManyRequests, "SlowDown", "reduce the request rate")
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	fmt.Fprintf(w, "<Error><Code>%s</Code><Message>%s</Message></Error>", code, message)
}
