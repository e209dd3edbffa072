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
//
// A request with which several targets died is on probation whatever its score:
// it is sent only as a trial, one at a time in the whole fleet. A quarantine ends
// with a trial, too, where trials are used.
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

// shortBytes is the length of a fingerprint's name.
const shortBytes = 16

// short identifies a fingerprint in little space.
type short [shortBytes]byte

func (f *Fingerprint) short() (s short) {
	h := sha256.New()
	h.Write(f.Base[:])
	h.Write(f.PrefixHash[:])
	copy(s[:], h.Sum(nil))
	return s
}

// String names the fingerprint in logs and in the platform's store.
func (f Fingerprint) String() string {
	s := f.short()
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

// Case is what is known of a suspect.
type Case struct {
	Fingerprint
	Deaths []Death
	// Trials is how often it was sent on probation.
	Trials int
	Judgement
}

// Judgement is what is known of a request.
type Judgement struct {
	// Deaths is how many targets died with it.
	Deaths int
	// Convicted says that the deaths quarantine it, now or before a trial.
	Convicted bool
	// Quarantined requests must not be sent.
	Quarantined bool
	// Probation says that the request may be sent only as a trial.
	Probation bool
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
	// knownDeaths is how many targets die with a request before all VMs and later processes must
	// know of it.
	knownDeaths = 2
	// probationDeaths is how many targets die with a request before it is sent only on trial.
	// The platform's rules count the retries that come after as many.
	probationDeaths = 3
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
	// MaxTrials is how often a request is tried that was quarantined or is on
	// probation; after the last trial it is quarantined for as long as it is
	// remembered. Default 0: there are no trials, and a request is free after Duration.
	MaxTrials int
	// Backoff is the factor by which each trial prolongs Duration. Default 1.
	Backoff int
	// Answered is how many answered requests are remembered, for 15 to 30 s; the first
	// death after an answer does not make a request suspect. Default 0, about 50 B each.
	Answered int
	Clock    clock.Clock
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
	if c.Backoff == 0 {
		c.Backoff = 1
	}
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	suspects, err := lru.New[Base, []*suspect](c.Size)
	if err != nil {
		panic(err) // only a size below 1 fails
	}
	return &List{config: c, state: &state{suspects: suspects, answered: answered{capacity: c.Answered}}}
}

// Empty reports whether nothing was ever suspect, without a lock.
func (l *List) Empty() bool { return !l.used.Load() }

// Prefix returns how much of a body has to be read to judge a request, and
// false where nothing is known of its base.
func (l *List) Prefix(b Base) (n int, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, v := range l.state.variants(b) {
		if !v.cleared() {
			n, known = max(n, v.fingerprint.PrefixBytes), true
		}
	}
	return n, known
}

// Judge tells what is known of a request whose body begins with prefix.
func (l *List) Judge(b Base, prefix []byte) Judgement {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.judge(b, prefix, l.config.Clock.Now(), &l.config)
}

// Clear ends the suspicion of a request that a target has answered. The deaths that are known of
// it do not count again.
func (l *List) Clear(b Base, prefix []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.clear(func(v *suspect) bool { return v.fingerprint.Base == b && v.matches(prefix) }, b)
}

// Answered notes that a target answered a request. It reports whether the request was suspect.
func (l *List) Answered(f Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.answered.add(f.short(), l.config.Clock.Now())
	return l.state.clear(func(v *suspect) bool { return v.fingerprint == f }, f.Base)
}

// Note records that a target died while it ran the request. It reports whether
// the death was not known before and makes the request suspect.
func (l *List) Note(f Fingerprint, d Death) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Clock.Now()
	l.used.Store(true)
	if !l.state.note(f, d, now, l.config.Memory) {
		return false
	}
	if d.Prior == 0 && l.state.answered.excuse(f.short(), now) {
		l.state.find(f).last().cleared = true
		return false
	}
	return true
}

// Find returns the case of a fingerprint; ok is false where it is not suspect.
func (l *List) Find(f Fingerprint) (c Case, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v := l.state.find(f); v != nil {
		c = l.state.describe(v, l.config.Clock.Now(), &l.config)
	}
	return c, c.Judgement.Deaths > 0
}

// Restore takes in a case that was kept outside the processes; its deaths count as of now. A
// request that this List has cleared stays so.
func (l *List) Restore(c Case) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Clock.Now()
	l.used.Store(true)
	for _, d := range c.Deaths {
		d.Age = 0
		l.state.note(c.Fingerprint, d, now, l.config.Memory)
	}
	if v := l.state.find(c.Fingerprint); v != nil && !v.cleared() {
		v.convicted = v.convicted || c.Convicted || c.Trials > 0
		v.tried(c.Trials, now)
	}
}

// Tried notes that a request has been tried so many times; the last trial is new.
func (l *List) Tried(f Fingerprint, trials int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v := l.state.find(f); v != nil {
		v.tried(trials, l.config.Clock.Now())
	}
}

// KeptBack reports whether the request is not sent as others are.
func (j Judgement) KeptBack() bool { return j.Quarantined || j.Probation }

// Known reports whether all VMs and later processes must know of the case.
func (c *Case) Known() bool { return c.KeptBack() || len(c.Deaths) >= knownDeaths }

// Cases returns the cases that all VMs must know, and those whose latest death is younger than
// maxAge; those with the latest deaths first.
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
			if c := l.state.describe(v, now, &l.config); len(c.Deaths) > 0 && (c.Known() || c.age() < maxAge) {
				out = append(out, c)
			}
		}
	}
	slices.SortFunc(out, func(a, b Case) int { return int(min(max(a.age()-b.age(), -1), 1)) })
	return out
}

// age is that of the latest death.
func (c *Case) age() time.Duration {
	youngest := c.Deaths[0].Age
	for _, d := range c.Deaths {
		youngest = min(youngest, d.Age)
	}
	return youngest
}
