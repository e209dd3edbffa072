package claim

import (
	"crypto/sha256"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	"crocusramp.dev/crocusramp/pkg/clock"
)

// Defaults of TicketStoreConfig.
const (
	defaultMaxRequests  = 200_000
	defaultMaxResponses = 1024
)

// TicketStoreConfig configures a TicketStore.
type TicketStoreConfig struct {
	VM          string
	Incarnation string
	Clock       clock.Clock
	// MaxRequests is the largest number of requests in memory, at about 150 bytes each. At this
	// number no new request runs until some have expired. The default is 200000.
	MaxRequests int
	// MaxResponses is the largest number of responses that are kept to be replayed. Of the others
	// only the status is known. The default is 1024.
	MaxResponses int
}

// TicketStore issues tickets and records, in memory, the requests with ticketed keys that this
// process ran. It is safe for concurrent use.
type TicketStore struct {
	config TicketStoreConfig
	issuer *issuer

	mu sync.Mutex
	// requests holds every request that was begun and whose ticket has not expired, unless it was
	// released.
	requests map[[sha256.Size]byte]*request
	// expiry lists the requests roughly in the order in which their tickets expire.
	expiry    []expiringRequest
	responses *lru.Cache[[sha256.Size]byte, Response]
}

// request is the in-memory state of one request.
type request struct {
	state  State
	status int
}

// expiringRequest is a request and the time at which its ticket expires.
type expiringRequest struct {
	id      [sha256.Size]byte
	expires clock.Time
}

// NewTicketStore returns a TicketStore with a new secret.
func NewTicketStore(c TicketStoreConfig) *TicketStore {
	if c.MaxRequests == 0 {
		c.MaxRequests = defaultMaxRequests
	}
	if c.MaxResponses == 0 {
		c.MaxResponses = defaultMaxResponses
	}
	responses, err := lru.New[[sha256.Size]byte, Response](c.MaxResponses)
	if err != nil {
		panic(err) // only a size below 1 fails
	}
	return &TicketStore{
		config:    c,
		issuer:    newIssuer(c.VM, c.Incarnation),
		requests:  map[[sha256.Size]byte]*request{},
		responses: responses,
	}
}

// Issue returns a new ticket for requests of the account.
func (s *TicketStore) Issue(account string) string {
	return s.issuer.issue(account, s.config.Clock.Now().Add(TicketTTL))
}

// Decision is the result of Begin: whether a ticketed request may run.
type Decision uint8

const (
	// Run means that the request is new and is now recorded. The caller runs it.
	Run Decision = iota
	// Duplicate means that the request was recorded before; the Record holds its state.
	Duplicate
	// Forged means that this process did not issue the ticket to the account. The request must not
	// run.
	Forged
	// Expired means that the ticket has expired. The request may have run, and its record may have
	// been removed.
	Expired
	// Full means that there is no room to record another request now.
	Full
)

// Begin decides whether the request may run, and records it if so. The Record is set only
// if the request was recorded before.
func (s *TicketStore) Begin(id ID, t *Ticket) (Decision, *Record) {
	if !s.issuer.verify(t, id.Account) {
		return Forged, nil
	}
	now := s.config.Clock.Now()
	h := hashID(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpiredLocked(now)
	if recorded, ok := s.requests[h]; ok {
		return Duplicate, s.recordLocked(h, recorded)
	}
	if !now.Before(t.Expires) {
		return Expired, nil
	}
	if len(s.requests) >= s.config.MaxRequests {
		return Full, nil
	}
	s.requests[h] = &request{state: Running}
	s.expiry = append(s.expiry, expiringRequest{h, t.Expires})
	return Run, nil
}

// Known reports whether the request is recorded: it was begun and neither released nor removed
// after its ticket expired.
func (s *TicketStore) Known(id ID) bool {
	h := hashID(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.requests[h]
	return ok
}

// removeExpiredLocked removes the requests whose tickets have expired. An expired request that is
// listed behind one that has not expired is kept for longer, which is harmless.
func (s *TicketStore) removeExpiredLocked(now clock.Time) {
	for len(s.expiry) > 0 && !now.Before(s.expiry[0].expires) {
		delete(s.requests, s.expiry[0].id)
		s.expiry = s.expiry[1:]
	}
}

// recordLocked returns the Record of a request, with the response if it is still kept.
func (s *TicketStore) recordLocked(h [sha256.Size]byte, e *request) *Record {
	r := &Record{VM: s.config.VM, Incarnation: s.config.Incarnation, State: e.state, Response: Response{Status: e.status}}
	if a, ok := s.responses.Get(h); ok {
		r.Response = a
	}
	return r
}

// Finish records the final state of the request and its response.
func (s *TicketStore) Finish(id ID, state State, response Response) {
	h := hashID(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.requests[h]
	if !ok {
		return // the ticket has expired and the request was removed
	}
	if state == Released {
		// The entry in expiry stays. If the request is begun again it gets a second one; removing
		// a request twice is harmless.
		delete(s.requests, h)
		return
	}
	e.state, e.status = state, response.Status
	if response.Stored {
		s.responses.Add(h, response)
	}
}
