// Package quarantine finds the requests that kill the targets that run them
// and keeps them from being sent again.
//
// A target that dies takes all its running requests with it, and most of them
// are innocent. So a first death only makes a request suspect. It counts again
// if it was sent anew, after a death was known of it, and its target died too.
// Such a death counts by half where another suspect died on the same target at
// that time, and twice the score is needed while other targets die that the
// request had nothing to do with, as when a region fails. A suspect that a
// target answers is cleared: what kills targets kills each that runs it, while
// a popular request is there whenever a target dies.
package quarantine

import (
	"crypto/sha256"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"crocusramp.dev/crocusramp/pkg/clock"
)

// Base is the hash of what is known of a request before its body is read:
// account, route, method, URI and body length.
type Base [sha256.Size]byte

// Fingerprint identifies the content of a request as far as it was read when
// its target died.
type Fingerprint struct {
	Base Base
	// PrefixBytes is how much of the body was read, PrefixHash its hash.
	PrefixBytes int
	PrefixHash  [sha256.Size]byte
}

// NewFingerprint returns the fingerprint of a request of which prefix was read.
func NewFingerprint(b Base, prefix []byte) Fingerprint {
	return Fingerprint{Base: b, PrefixBytes: len(prefix), PrefixHash: sha256.Sum256(prefix)}
}

// Death is the death of a target that ran a request.
type Death struct {
	// ID is unique; a death that is reported twice counts once.
	ID     string
	Target string
	// Prior is how many deaths were known of the request when it was sent.
	Prior int
}

// Judgement is what is known of a request.
type Judgement struct {
	// Deaths is how many targets died with it.
	Deaths int
	// Quarantined requests must not be sent.
	Quarantined bool
	// RetryAfter is the time to the end of the quarantine.
	RetryAfter time.Duration
}

const (
	// threshold is the score at which a request is quarantined,
	// massThreshold the one while unrelated targets die.
	threshold     = 2.0
	massThreshold = 4.0
	// massDeaths is how many unrelated targets make up a mass failure.
	massDeaths = 2
	// sharedScore is what a death counts that another suspect may have caused.
	sharedScore = 0.5
	// sharedWindow is how close two deaths on one target are the same event.
	sharedWindow = 5 * time.Second
	// massWindow is how long a death of a target counts towards a mass failure.
	massWindow = 30 * time.Second
	// maxDeaths bounds what is kept of one fingerprint, maxVariants the
	// fingerprints with one base.
	maxDeaths   = 8
	maxVariants = 8
	// maxEvents bounds the list of the latest deaths of any target.
	maxEvents = 64
)

// The defaults of Config.
const (
	defaultSize     = 1024
	defaultDuration = 10 * time.Minute
	defaultMemory   = time.Hour
)

// Config holds a List's settings.
type Config struct {
	// Size is how many bases are remembered; the longest unused is forgotten.
	// Default 1024, at most about 8 KiB each.
	Size int
	// Duration is how long a request is quarantined after its last death.
	// Default 10 min.
	Duration time.Duration
	// Memory is how long a suspect is remembered after its last death. One
	// that was quarantined and kills again is quarantined at once. Default 1 h.
	Memory time.Duration
	Clock  clock.Clock
}

// List holds the suspects. It is safe for concurrent use.
type List struct {
	config Config
	mu     sync.Mutex
	state  *state
	// used is set once anything is suspect.
	used atomic.Bool
}

// NewList returns a List with defaults in place of zero settings.
func NewList(c Config) *List {
	if c.Size == 0 {
		c.Size = defaultSize
	}
	if c.Duration == 0 {
		c.Duration = defaultDuration
	}
	if c.Memory == 0 {
		c.Memory = defaultMemory
	}
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	suspects, err := lru.New[Base, []*suspect](c.Size)
	if err != nil {
		panic(err) // only a size below 1 fails
	}
	return &List{config: c, state: &state{suspects: suspects}}
}

// Empty reports whether nothing was ever suspect, without a lock.
func (l *List) Empty() bool { return !l.used.Load() }

// Prefix returns how much of a body has to be read to judge a request, and
// false where nothing is known of its base.
func (l *List) Prefix(b Base) (n int, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, v := range l.state.variants(b) {
		n, known = max(n, v.fingerprint.PrefixBytes), true
	}
	return n, known
}

// Judge tells what is known of a request whose body begins with prefix.
func (l *List) Judge(b Base, prefix []byte) Judgement {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.judge(b, prefix, l.config.Clock.Now(), &l.config)
}

// Clear forgets a suspect that a target has answered.
func (l *List) Clear(b Base, prefix []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.clear(b, prefix)
}

// Note records that a target died while it ran the request. It reports whether
// the death was not known before.
func (l *List) Note(f Fingerprint, d Death) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used.Store(true)
	return l.state.note(f, d, l.config.Clock.Now(), l.config.Memory)
}
