package target

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"crocusramp.dev/crocusramp/pkg/standin/internal/admin"
)

const (
	// headerRequestID carries the request ID that the response must echo.
	headerRequestID = "X-Request-Id"
	// headerShed marks responses to requests that were shed without running.
	headerShed = "X-Shed"
	shedNotRun = "not-run"
	// keyPrefix is the prefix of every client account key.
	keyPrefix = "crk_"
	// bodyChunkBytes is the size of a single read from a body.
	bodyChunkBytes = 32 << 10
)

// responseBody is the JSON body of a response.
type responseBody struct {
	Target    string      `json:"target"`
	RequestID string      `json:"request_id"`
	Account   string      `json:"account"`
	Method    string      `json:"method"`
	Path      string      `json:"path"`
	BodyBytes int64       `json:"body_bytes"`
	Headers   http.Header `json:"headers"`
}

// runningRequest is a request that holds a slot.
type runningRequest struct {
	ledgerIndex  int
	serviceTime  time.Duration
	ignoreCancel bool // keep running after the caller has disconnected
	crashMarker  string
	fault        responseFault
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	req, ok := s.acquireSlot(r)
	if !ok {
		s.ledger.countShed()
		w.Header().Set(headerShed, shedNotRun)
		echoRequestID(w, r.Header.Get(headerRequestID))
		http.Error(w, "all slots are taken", http.StatusServiceUnavailable)
		return
	}
	ending := EndingCrashed // if a panic or a crash ends the request
	release := sync.OnceFunc(s.releaseSlot)
	defer func() {
		s.ledger.end(req.ledgerIndex, ending)
		release()
	}()
	requestScanner := newScanner(req.crashMarker)
	requestScanner.scanHeader(r)
	size, err := requestScanner.scanBody(r.Body)
	if requestScanner.keySeen {
		s.ledger.countKeySeen()
	}
	if requestScanner.markerSeen {
		s.Crash()
		admin.CloseConnection(w)
		return
	}
	if err != nil || !s.waitServiceTime(r, req) {
		ending = EndingCancelled
		admin.CloseConnection(w)
		return
	}
	if s.isCrashed() {
		admin.CloseConnection(w)
		return
	}
	// Release the slot before the caller has the response, since its next request
	// may follow immediately.
	release()
	ending = s.respond(w, r, req.fault, size)
}

// acquireSlot takes a slot for a request and records the request in the ledger.
// It reports false if the request must be shed.
func (s *Server) acquireSlot(r *http.Request) (runningRequest, bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.config.Slots && !s.faults.Overcommit {
		return runningRequest{}, false
	}
	s.running++
	req := runningRequest{
		serviceTime:  s.serviceTime() + time.Duration(s.faults.Delay),
		ignoreCancel: s.faults.IgnoreCancel,
		crashMarker:  s.faults.CrashMarker,
		fault:        s.nextResponseFault(r.Header.Get(headerRequestID)),
	}
	s.started++
	s.recordReport(now)
	req.ledgerIndex = s.ledger.start(Entry{
		RequestID:      r.Header.Get(headerRequestID),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Account:        r.Header.Get(s.config.AccountHeader),
		Method:         r.Method,
		Path:           r.URL.Path,
		At:             now,
		Ending:         EndingRunning,
	}, s.running)
	return req, true
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.recordReport(time.Now())
}

// waitServiceTime waits for the request's service time. It reports false if the
// caller disconnects earlier.
func (s *Server) waitServiceTime(r *http.Request, req runningRequest) bool {
	timer := time.NewTimer(req.serviceTime)
	defer timer.Stop()
	if req.ignoreCancel {
		<-timer.C
		return true
	}
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// echoRequestID sets the response header to the ID of its request.
func echoRequestID(w http.ResponseWriter, id string) {
	if id != "" {
		w.Header().Set(headerRequestID, id)
	}
}

// respond writes the response, with the faults in f, and returns how the request
// ended.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, f responseFault, size int64) Ending {
	if f.lose {
		admin.CloseConnection(w)
		return EndingLost
	}
	id, ending := r.Header.Get(headerRequestID), EndingDone
	if f.crossID != "" {
		id, ending = f.crossID, EndingCrossed
	}
	body, err := json.Marshal(responseBody{
		Target: s.config.Name, RequestID: id, Account: r.Header.Get(s.config.AccountHeader),
		Method: r.Method, Path: r.URL.Path, BodyBytes: size, Headers: r.Header,
	})
	if err != nil {
		panic(err) // strings and numbers always marshal
	}
	body = append(body, '\n')
	if !f.noEcho {
		echoRequestID(w, id)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if f.truncate {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		admin.CloseConnection(w)
		return EndingTruncated
	}
	_, _ = w.Write(body) // the caller may have disconnected
	return ending
}

// scanner searches a request for the key prefix and the crash marker.
type scanner struct {
	marker              string
	keySeen, markerSeen bool
}

func newScanner(marker string) *scanner { return &scanner{marker: marker} }

func (s *scanner) scan(data []byte) {
	s.keySeen = s.keySeen || bytes.Contains(data, []byte(keyPrefix))
	s.markerSeen = s.markerSeen || s.marker != "" && bytes.Contains(data, []byte(s.marker))
}

func (s *scanner) scanHeader(r *http.Request) {
	s.scan([]byte(r.URL.RequestURI()))
	for name, values := range r.Header {
		s.scan([]byte(name + ": " + strings.Join(values, ", ")))
	}
}

// scanBody reads a whole body and returns its size. Chunks overlap so that a match
// across two of them is found.
func (s *scanner) scanBody(body io.Reader) (size int64, err error) {
	overlap := max(len(keyPrefix), len(s.marker))
	buffer := make([]byte, overlap+bodyChunkBytes)
	kept := 0
	for {
		n, err := body.Read(buffer[kept:])
		size += int64(n)
		s.scan(buffer[:kept+n])
		if err == io.EOF {
			return size, nil
		}
		if err != nil {
			return size, err
		}
		tail := min(overlap, kept+n)
		copy(buffer, buffer[kept+n-tail:kept+n])
		kept = tail
	}
}
