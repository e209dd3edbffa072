package claim

import (
	"crypto/sha256"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	"crocusramp.dev/crocusramp/pkg/clock"
)

// The defaults of SessionConfig.
const (
	defaultMaxUsed    = 200_000
	defaultMaxAnswers = 1024
)

// SessionConfig holds what a Session works with.
type SessionConfig struct {
	VM          string
	Incarnation string
	Clock       clock.Clock
	// MaxUsed is how many requests are remembered, about 150 bytes each; when
	// it is reached no further one runs until some expire. Default 200000.
	MaxUsed int
	// MaxAnswers is how many answers are kept to be given again; of the others
	// only the status is known. Default 1024.
	MaxAnswers int
}

// Session remembers the requests with ticketed keys that this process ran. It
// is safe for concurrent use.
type Session struct {
	config SessionConfig
	issuer *issuer

	mu sync.Mutex
	// used never forgets a request whose ticket has not expired.
	used map[[sha256.Size]byte]*entry
	// expiry holds the used requests roughly in order of their tickets' end.
	expiry  []expiring
	answers *lru.Cache[[sha256.Size]byte, Answer]
}

type entry struct {
	state  State
	status int
}

type expiring struct {
	id [sha256.Size]byte
	at clock.Time
}

// NewSession returns a Session with a new secret.
func NewSession(c SessionConfig) *Session {
	if c.MaxUsed == 0 {
		c.MaxUsed = defaultMaxUsed
	}
	if c.MaxAnswers == 0 {
		c.MaxAnswers = defaultMaxAnswers
	}
	answers, err := lru.New[[sha256.Size]byte, Answer](c.MaxAnswers)
	if err != nil {
		panic(err) // only a size below 1 fails
	}
	return &Session{
		config:  c,
		issuer:  newIssuer(c.VM, c.Incarnation),
		used:    map[[sha256.Size]byte]*entry{},
		answers: answers,
	}
}

// Issue returns a ticket for the account's requests.
func (s *Session) Issue(account string) string {
	return s.issuer.issue(account, s.config.Clock.Now().Add(TicketTTL))
}

// Verdict says what may be done with a ticketed request.
type Verdict uint8

const (
	// Run means that the request was not seen before and is remembered now.
	Run Verdict = iota
	// Seen means that it was; the record tells how far it came.
	Seen
	// Forged means that this process did not issue the ticket to the account.
	// No request runs under it.
	Forged
	// Expired means that the request may have run and been forgotten.
	Expired
	// Full means that no further request can be remembered now.
	Full
)

// Begin decides whether the request runs.
func (s *Session) Begin(id ID, t *Ticket) (Verdict, *Record) {
	if !s.issuer.genuine(t, id.Account) {
		return Forged, nil
	}
	now := s.config.Clock.Now()
	h := hashID(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetLocked(now)
	if e, ok := s.used[h]; ok {
		return Seen, s.recordLocked(h, e)
	}
	if !now.Before(t.Expires) {
		return Expired, nil
	}
	if len(s.used) >= s.config.MaxUsed {
		return Full, nil
	}
	s.used[h] = &entry{state: Running}
	s.expiry = append(s.expiry, expiring{h, t.Expires})
	return Run, nil
}

// Known reports whether the request was begun and not released.
func (s *Session) Known(id ID) bool {
	h := hashID(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.used[h]
	return ok
}

// forgetLocked drops requests whose tickets have expired. Later ones that were
// issued earlier wait behind those before them, which does no harm.
func (s *Session) forgetLocked(now clock.Time) {
	for len(s.expiry) > 0 && !now.Before(s.expiry[0].at) {
		delete(s.used, s.expiry[0].id)
		s.expiry = s.expiry[1:]
	}
}

func (s *Session) recordLocked(h [sha256.Size]byte, e *entry) *Record {
	r := &Record{VM: s.config.VM, Incarnation: s.config.Incarnation, State: e.state, Answer: Answer{Status: e.status}}
	if a, ok := s.answers.Get(h); ok {
		r.Answer = a
	}
	return r
}

// Finish remembers how the request ended.
func (s *Session) Finish(id ID, state State, a Answer) {
	h := hashID(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.used[h]
	if !ok {
		return // the ticket expired meanwhile
	}
	if state == Released {
		// The place in expiry stays; dropping it twice does no harm.
		delete(s.used, h)
		return
	}
	e.state, e.status = state, a.Status
	if a.Kept {
		s.answers.Add(h, a)
	}
}
