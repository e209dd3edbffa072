// Package table is a stand-in for the platform's transactional table. It
// speaks the calls of the DynamoDB protocol that package dynamo makes, keeps
// everything in memory, and fails on demand.
package table

import (
	"bytes"
	"net"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"

	"crocusramp.dev/crocusramp/pkg/standin/fault"
	"crocusramp.dev/crocusramp/pkg/standin/internal/admin"
)

// key names a row.
type key struct{ partition, sort string }

// row is a stored item.
type row struct {
	revision int64
	value    []byte
}

// Server is the table service.
type Server struct {
	faults *fault.Injector

	mu     sync.Mutex
	rows   map[key]row
	tokens map[string]transaction
	counts Counts
	since  time.Time
}

// Counts is how many calls the table executed since it was last asked with
// POST /counts.
type Counts struct {
	Reads        int64 `json:"reads"`
	Transactions int64 `json:"transactions"`
	// Writes counts the items written by transactions that took effect.
	Writes int64 `json:"writes"`
	// Seconds is the time in which they were counted.
	Seconds float64 `json:"seconds"`
}

// New returns an empty table.
func New() *Server {
	return &Server{
		faults: fault.NewInjector(),
		rows:   map[key]row{},
		tokens: map[string]transaction{},
		since:  time.Now(),
	}
}

// Faults returns the injector that makes the table fail.
func (s *Server) Faults() *fault.Injector { return s.faults }

// Handler returns the service with its admin endpoints /fault and /counts.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{$}", s.serveCall)
	outer := http.NewServeMux()
	outer.HandleFunc("/counts", s.serveCounts)
	outer.Handle("/", s.faults.Wrap(mux))
	return outer
}

// Serve answers connections of l until it is closed.
func (s *Server) Serve(l net.Listener) error {
	return (&http.Server{Handler: s.Handler()}).Serve(l)
}

// Counts returns the calls so far; reset starts counting anew.
func (s *Server) Counts(reset bool) Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Seconds = time.Since(s.since).Seconds()
	if reset {
		s.counts, s.since = Counts{}, time.Now()
	}
	return c
}

func (s *Server) serveCounts(w http.ResponseWriter, r *http.Request) {
	admin.Answer(w, s.Counts(r.Method == http.MethodPost))
}

func (s *Server) get(k key) (row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	r, ok := s.rows[k]
	return r, ok
}

// list returns the rows of a partition after a sort key, in order.
func (s *Server) list(partition, after string, limit int) (found []storedItem, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	for k, r := range s.rows {
		if k.partition == partition && k.sort > after {
			found = append(found, storedItem{k, r})
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].key.sort < found[j].key.sort })
	if limit > 0 && len(found) > limit {
		return found[:limit], true
	}
	return found, false
}

// storedItem is a row with its key.
type storedItem struct {
	key key
	row row
}

// transaction is a list of conditional writes.
type transaction []write

// write is one conditional write.
type write struct {
	key key
	// ifRevision is the revision that the row must have; 0 demands that it
	// does not exist.
	ifRevision int64
	remove     bool
	row        row
}

func (w write) equal(o write) bool {
	return w.key == o.key && w.ifRevision == o.ifRevision && w.remove == o.remove &&
		w.row.revision == o.row.revision && bytes.Equal(w.row.value, o.row.value)
}

// apply executes t, or returns the indexes of the writes whose condition
// failed. A transaction whose token took effect before is not applied again.
func (s *Server) apply(token string, t transaction) (failed []int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Transactions++
	if earlier, ok := s.tokens[token]; ok && token != "" {
		if !slices.EqualFunc(earlier, t, write.equal) {
			return nil, errTokenMismatch
		}
		return nil, nil
	}
	for i, w := range t {
		if s.rows[w.key].revision != w.ifRevision {
			failed = append(failed, i)
		}
	}
	if len(failed) > 0 {
		return failed, nil
	}
	for _, w := range t {
		if w.remove {
			delete(s.rows, w.key)
		} else {
			s.rows[w.key] = w.row
		}
	}
	s.counts.Writes += int64(len(t))
	if token != "" {
		s.tokens[token] = t
	}
	return nil, nil
}
