// Package quarantine finds the requests that crash the targets that run them, and keeps them from
// being sent again.
//
// When a target dies, all its running requests fail, and most of them are harmless. So a first
// death only makes a request suspect. A further death counts if the request was sent again
// after a death was known of it, and that target died too. Such a death counts half if another
// suspect was sent to the same target and was running when it died. Twice the score is needed while
// other targets die that the request was not sent to, as when a region fails. A suspect that a
// target answers is cleared: a request that crashes targets crashes every one that runs it, whereas
// a popular request merely happens to run on most targets that die.
//
// A request with which several targets died is on probation regardless of its score: it is sent
// only as a trial, one at a time in the whole fleet. Where trials are used, a quarantine ends with
// a trial as well.
package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"crocusramp.dev/crocusramp/pkg/clock"
)

// BaseHash is the hash of what is known of a request before its body is read: account, route,
// method, URI and body length.
type BaseHash [sha256.Size]byte

// Fingerprint identifies a request by its BaseHash and the part of its body that had been read when
// its target died.
type Fingerprint struct {
	BaseHash BaseHash
	// PrefixBytes is how much of the body had been read, and PrefixHash is the hash of that prefix.
	PrefixBytes int
	PrefixHash  [sha256.Size]byte
}

// NewFingerprint returns the fingerprint of a request whose body has been read up to prefix.
func NewFingerprint(b BaseHash, prefix []byte) Fingerprint {
	return Fingerprint{BaseHash: b, PrefixBytes: len(prefix), PrefixHash: sha256.Sum256(prefix)}
}

// shortIDBytes is the length of a shortID.
const shortIDBytes = 16

// shortID is a compact identifier of a fingerprint.
type shortID [shortIDBytes]byte

func (f *Fingerprint) shortID() (s shortID) {
	h := sha256.New()
	h.Write(f.BaseHash[:])
	h.Write(f.PrefixHash[:])
	copy(s[:], h.Sum(nil))
	return s
}

// String returns the name of the fingerprint in logs and in the platform's store.
func (f Fingerprint) String() string {
	s := f.shortID()
	return hex.EncodeToString(s[:])
}

// Death is the death of a target that ran a request.
type Death struct {
	// ID is unique; a death that is reported twice counts once.
	ID     string
	Target string
	// Prior is how many deaths were known of the request when it was sent.
	Prior int
	// Age is how long ago the target died.
	Age time.Duration
}

// Case is the state of a suspect.
type Case struct {
	Fingerprint
	Deaths []Death
	// Trials is how many trials of the request were sent.
	Trials int
	Assessment
}

// Assessment is what the known deaths mean for a request.
type Assessment struct {
	// Deaths is how many target deaths count against the request.
	Deaths int
	// Confirmed reports that the deaths are enough to quarantine the request, even if it is not
	// quarantined at present because a trial is due.
	Confirmed bool
	// Quarantined reports that the request must not be sent.
	Quarantined bool
	// Probation reports that the request may be sent only as a trial.
	Probation bool
	// RetryAfter is the time until the quarantine ends.
	RetryAfter time.Duration
}

const (
	// threshold is the score at which a request is quarantined; during a mass failure it is
	// massThreshold.
	threshold     = 2.0
	massThreshold = 4.0
	// massDeaths is how many unrelated targets must die to make a mass failure.
	massDeaths = 2
	// ambiguousScore is the score of a death that another suspect may have caused.
	ambiguousScore = 0.5
	// sameEventWindow is the largest time between two deaths of one target that count as the same
	// event.
	sameEventWindow = 5 * time.Second
	// massWindow is the largest time between a suspect's last death and the deaths of other targets
	// that count towards a mass failure.
	massWindow = 30 * time.Second
	// maxDeaths is the largest number of deaths kept of one fingerprint, maxVariants the largest
	// number of fingerprints with one BaseHash.
	maxDeaths   = 8
	maxVariants = 8
	// sharedDeaths is how many targets must die with a request before its case must be shared with
	// all VMs and later processes.
	sharedDeaths = 2
	// probationDeaths is how many targets must die with a request before it is sent only as a
	// trial. The platform's rules count the retries after this number of deaths.
	probationDeaths = 3
	// maxEvents is the largest number of recent target deaths kept.
	maxEvents = 64
)

// The defaults of Config.
const (
	defaultSize      = 1024
	defaultDuration  = 10 * time.Minute
	defaultRetention = time.Hour
)

// Config holds a List's settings.
type Config struct {
	// Size is the largest number of BaseHashes remembered, at about 8 KiB each at most; the least
	// recently used one is dropped. Default 1024.
	Size int
	// Duration is how long a request is quarantined after its last death. Default 10 min.
	Duration time.Duration
	// Retention is how long a suspect is remembered after its last death. A remembered suspect that
	// was quarantined before is quarantined again at its next death. Default 1 h.
	Retention time.Duration
	// MaxTrials is the largest number of trials of a request that was quarantined or is on
	// probation. After the last trial the request is quarantined for as long as it is remembered.
	// Default 0: there are no trials, and a request is free after Duration.
	MaxTrials int
	// Backoff is the factor by which each trial lengthens Duration. Default 1.
	Backoff int
	// MaxAnswered is how many answered requests are remembered, for 15 to 30 s, at about 50 B each.
	// The first death after an answer does not make a request suspect. Default 0.
	MaxAnswered int
	Clock       clock.Clock
}

// List holds the suspect requests. It is safe for concurrent use.
type List struct {
	config Config
	mu     sync.Mutex
	state  *state
	// used is set once any death has been recorded.
	used atomic.Bool
}

// NewList returns a List. Zero settings get their defaults.
func NewList(c Config) *List {
	if c.Size == 0 {
		c.Size = defaultSize
	}
	if c.Duration == 0 {
		c.Duration = defaultDuration
	}
	if c.Retention == 0 {
		c.Retention = defaultRetention
	}
	if c.Backoff == 0 {
		c.Backoff = 1
	}
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	suspects, err := lru.New[BaseHash, []*suspect](c.Size)
	if err != nil {
		panic(err) // only a size below 1 fails
	}
	return &List{config: c, state: &state{suspects: suspects, answered: answeredRequests{capacity: c.MaxAnswered}}}
}

// Empty reports whether no request was ever suspect. It takes no lock.
func (l *List) Empty() bool { return !l.used.Load() }

// Prefix returns how much of a body must be read to assess a request. known is false if there is no
// suspect with this BaseHash.
func (l *List) Prefix(b BaseHash) (n int, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, v := range l.state.variants(b) {
		if !v.cleared() {
			n, known = max(n, v.fingerprint.PrefixBytes), true
		}
	}
	return n, known
}

// Assess returns what is known of a request whose body begins with prefix.
func (l *List) Assess(b BaseHash, prefix []byte) Assessment {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.assess(b, prefix, l.config.Clock.Now(), &l.config)
}

// Clear clears a suspect that a target has answered. The deaths known so far do not count again.
func (l *List) Clear(b BaseHash, prefix []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.clear(func(v *suspect) bool { return v.fingerprint.BaseHash == b && v.matches(prefix) }, b)
}

// RecordAnswer records that a target answered a request. It reports whether the request was
// suspect.
func (l *List) RecordAnswer(f Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.answered.add(f.shortID(), l.config.Clock.Now())
	return l.state.clear(func(v *suspect) bool { return v.fingerprint == f }, f.BaseHash)
}

// RecordDeath records that a target died while it ran the request. It reports whether the death is
// new and makes the request suspect.
func (l *List) RecordDeath(f Fingerprint, d Death) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Clock.Now()
	l.used.Store(true)
	if !l.state.recordDeath(f, d, now, l.config.Retention) {
		return false
	}
	if d.Prior == 0 && l.state.answered.excuse(f.shortID(), now) {
		l.state.find(f).last().cleared = true
		return false
	}
	return true
}

// Find returns the case of a fingerprint; ok is false if it is not suspect.
func (l *List) Find(f Fingerprint) (c Case, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v := l.state.find(f); v != nil {
		c = l.state.describe(v, l.config.Clock.Now(), &l.config)
	}
	return c, c.Assessment.Deaths > 0
}

// Restore adds a case that was stored outside the process; its deaths count from now. A request
// that this List has cleared stays cleared.
func (l *List) Restore(c Case) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Clock.Now()
	l.used.Store(true)
	for _, d := range c.Deaths {
		d.Age = 0
		l.state.recordDeath(c.Fingerprint, d, now, l.config.Retention)
	}
	if v := l.state.find(c.Fingerprint); v != nil && !v.cleared() {
		v.confirmed = v.confirmed || c.Confirmed || c.Trials > 0
		v.recordTrials(c.Trials, now)
	}
}

// RecordTrials records the total number of trials of a request. If it exceeds the known number, the
// last trial counts from now.
func (l *List) RecordTrials(f Fingerprint, trials int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v := l.state.find(f); v != nil {
		v.recordTrials(trials, l.config.Clock.Now())
	}
}

// Restricted reports whether the request is quarantined or on probation.
func (a Assessment) Restricted() bool { return a.Quarantined || a.Probation }

// MustBeShared reports whether the case must be shared with all VMs and later processes.
func (c *Case) MustBeShared() bool { return c.Restricted() || len(c.Deaths) >= sharedDeaths }

// Cases returns the cases that must be shared with all VMs and those whose latest death is younger
// than maxAge, sorted by the latest death, the most recent first.
func (l *List) Cases(maxAge time.Duration) []Case {
	if l.Empty() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Clock.Now()
	var out []Case
	for _, variants := range l.state.suspects.Values() {
		for _, v := range variants {
			if c := l.state.describe(v, now, &l.config); len(c.Deaths) > 0 && (c.MustBeShared() || c.age() < maxAge) {
				out = append(out, c)
			}
		}
	}
	slices.SortFunc(out, func(a, b Case) int { return int(min(max(a.age()-b.age(), -1), 1)) })
	return out
}

// age returns the age of the latest death.
func (c *Case) age() time.Duration {
	youngest := c.Deaths[0].Age
	for _, d := range c.Deaths {
		youngest = min(youngest, d.Age)
	}
	return youngest
}
