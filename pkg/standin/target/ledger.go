package target

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"crocusramp.dev/crocusramp/pkg/standin/internal/admin"
)

// maxEntries bounds the number of requests that a ledger keeps.
const maxEntries = 1 << 20

// Ending is how a request ended on the target.
type Ending string

// The values of Ending. EndingTruncated, EndingCrossed and EndingLost result
// from the faults Truncate, Cross and LoseResponses.
const (
	EndingRunning   Ending = "running"
	EndingDone      Ending = "done"
	EndingCancelled Ending = "cancelled"
	EndingTruncated Ending = "truncated"
	EndingCrossed   Ending = "crossed"
	EndingLost      Ending = "lost"
	EndingCrashed   Ending = "crashed"
)

// Entry describes one request that ran on the target.
type Entry struct {
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Account        string `json:"account,omitempty"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	// At is when the request started running.
	At     time.Time `json:"at"`
	Ending Ending    `json:"ending"`
}

// Record is the content of a ledger.
type Record struct {
	Target string `json:"target"`
	Slots  int    `json:"slots"`
	// PeakRunning is the highest number of requests that ran at the same time.
	PeakRunning int `json:"peak_running"`
	// Shed counts the requests that were shed because all slots were in use.
	Shed int `json:"shed"`
	// KeysSeen counts the requests that contained a client account key.
	KeysSeen int `json:"keys_seen"`
	// Dropped counts the requests that ran after the ledger was full.
	Dropped int `json:"dropped,omitempty"`
	// Entries holds the requests that ran, in the order in which they started.
	Entries []Entry `json:"entries"`
	// IdempotencyKeys counts how often a request with each idempotency key ran.
	IdempotencyKeys map[string]int `json:"idempotency_keys"`
}

// Ledger records the requests that reach a target. It is safe for concurrent
// use.
type Ledger struct {
	mu     sync.Mutex
	record Record
}

func newLedger(target string, slots int) *Ledger {
	return &Ledger{record: Record{Target: target, Slots: slots, Entries: []Entry{}, IdempotencyKeys: map[string]int{}}}
}

// Record returns a copy of the ledger.
func (l *Ledger) Record() Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record
	r.Entries = slices.Clone(r.Entries)
	r.IdempotencyKeys = maps.Clone(r.IdempotencyKeys)
	return r
}

// start records a request that starts as one of running concurrent requests. It
// returns the index of the request's entry, or -1 if the ledger is full.
func (l *Ledger) start(e Entry, running int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record.PeakRunning = max(l.record.PeakRunning, running)
	if e.IdempotencyKey != "" {
		l.record.IdempotencyKeys[e.IdempotencyKey]++
	}
	if len(l.record.Entries) == maxEntries {
		l.record.Dropped++
		return -1
	}
	l.record.Entries = append(l.record.Entries, e)
	return len(l.record.Entries) - 1
}

func (l *Ledger) end(index int, ending Ending) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if index >= 0 {
		l.record.Entries[index].Ending = ending
	}
}

func (l *Ledger) countShed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record.Shed++
}

func (l *Ledger) countKeySeen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record.KeysSeen++
}

func (l *Ledger) serve(w http.ResponseWriter, _ *http.Request) {
	admin.WriteJSON(w, l.Record())
}
