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
	// headerRequestID carries the id that the answer must echo.
	headerRequestID = "X-Request-Id"
	// headerShed marks refusals of requests that did not run.
	headerShed = "X-Shed"
	shedNotRun = "not-run"
	// keyPrefix begins every client account key.
	keyPrefix = "crk_"
	// bodyChunkBytes is how much of a body is read at a time.
	bodyChunkBytes = 32 << 10
)

// answer is the JSON body of an answer.
type answer struct {
	Target    string      `json:"target"`
	RequestID string      `json:"request_id"`
	Account   string      `json:"account"`
	Method    string      `json:"method"`
	Path      string      `json:"path"`
	BodyBytes int64       `json:"body_bytes"`
	Headers   http.Header `json:"headers"`
}

// run is one request that holds a slot.
type run struct {
	entry   int
	service time.Duration
	ignore  bool // keep running when the caller has gone
	marker  string
	answer  answerFault
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	current, ok := s.take(r)
	if !ok {
		s.ledger.shed()
		w.Header().Set(headerShed, shedNotRun)
		echo(w, r.Header.Get(headerRequestID))
		http.Error(w, "all slots are taken", http.StatusServiceUnavailable)
		return
	}
	ending := EndingCrashed // where a panic or a crash ends the request
	release := sync.OnceFunc(s.release)
	defer func() {
		s.ledger.end(current.entry, ending)
		release()
	}()
	scan := newScanner(current.marker)
	scan.header(r)
	size, err := scan.body(r.Body)
	if scan.keySeen {
		s.ledger.keySeen()
	}
	if scan.markerSeen {
		s.Crash()
		admin.Drop(w)
		return
	}
	if err != nil || !s.work(r, current) {
		ending = EndingCancelled
		admin.Drop(w)
		return
	}
	if s.isCrashed() {
		admin.Drop(w)
		return
	}
	// The slot is free before the caller has the answer: its next request may
	// arrive at once.
	release()
	ending = s.answer(w, r, current.answer, size)
}

// take claims a slot.
func (s *Server) take(r *http.Request) (run, bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.config.Slots && !s.faults.Overcommit {
		return run{}, false
	}
	s.running++
	c := run{
		service: s.serviceTime() + time.Duration(s.faults.Delay),
		ignore:  s.faults.IgnoreCancel,
		marker:  s.faults.CrashMarker,
		answer:  s.nextAnswerFault(r.Header.Get(headerRequestID)),
	}
	s.started++
	s.note(now)
	c.entry = s.ledger.start(Entry{
		RequestID:      r.Header.Get(headerRequestID),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Account:        r.Header.Get(s.config.AccountHeader),
		Method:         r.Method,
		Path:           r.URL.Path,
		At:             now,
		Ending:         EndingRunning,
	}, s.running)
	return c, true
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.note(time.Now())
}

// work takes the request's service time. It reports false where the caller
// went away before.
func (s *Server) work(r *http.Request, c run) bool {
	timer := time.NewTimer(c.service)
	defer timer.Stop()
	if c.ignore {
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

// echo names the request that is answered.
func echo(w http.ResponseWriter, id string) {
	if id != "" {
		w.Header().Set(headerRequestID, id)
	}
}

// answer writes the answer with what is wrong with it.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, f answerFault, size int64) Ending {
	if f.lose {
		admin.Drop(w)
		return EndingLost
	}
	id, ending := r.Header.Get(headerRequestID), EndingDone
	if f.crossID != "" {
		id, ending = f.crossID, EndingCrossed
	}
	body, err := json.Marshal(answer{
		Target: s.config.Name, RequestID: id, Account: r.Header.Get(s.config.AccountHeader),
		Method: r.Method, Path: r.URL.Path, BodyBytes: size, Headers: r.Header,
	})
	if err != nil {
		panic(err) // strings and numbers always marshal
	}
	body = append(body, '\n')
	if !f.noEcho {
		echo(w, id)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if f.truncate {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		admin.Drop(w)
		return EndingTruncated
	}
	_, _ = w.Write(body) // the caller may have left
	return ending
}

// scanner looks for the key prefix and the crash marker in a request.
type scanner struct {
	marker              string
	keySeen, markerSeen bool
}

func newScanner(marker string) *scanner { return &scanner{marker: marker} }

func (s *scanner) text(data []byte) {
	s.keySeen = s.keySeen || bytes.Contains(data, []byte(keyPrefix))
	s.markerSeen = s.markerSeen || s.marker != "" && bytes.Contains(data, []byte(s.marker))
}

func (s *scanner) header(r *http.Request) {
	s.text([]byte(r.URL.RequestURI()))
	for name, values := range r.Header {
		s.text([]byte(name + ": " + strings.Join(values, ", ")))
	}
}

// body reads a whole body. Chunks overlap, so that nothing hides at their ends.
func (s *scanner) body(body io.Reader) (size int64, err error) {
	overlap := max(len(keyPrefix), len(s.marker))
	buffer := make([]byte, overlap+bodyChunkBytes)
	kept := 0
	for {
		n, err := body.Read(buffer[kept:])
		size += int64(n)
		s.text(buffer[:kept+n])
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
