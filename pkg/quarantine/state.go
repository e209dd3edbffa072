package quarantine

import (
	"crypto/sha256"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"crocusramp.dev/crocusramp/pkg/clock"
)

// state implements a List. Its methods take the time as a parameter and do no I/O.
type state struct {
	suspects *lru.Cache[BaseHash, []*suspect]
	// events are the most recent deaths of targets, the oldest first.
	events   []event
	answered answeredRequests
}

// suspect is a request that was running when a target died.
type suspect struct {
	fingerprint Fingerprint
	deaths      []datedDeath
	// confirmed reports that another process had enough deaths to quarantine it.
	confirmed bool
	trials    int
	lastTrial clock.Time // time of the last trial, if any
}

// recordTrials records the total number of trials of the suspect.
func (v *suspect) recordTrials(trials int, now clock.Time) {
	if trials > v.trials {
		v.trials, v.lastTrial = trials, now
	}
}

// datedDeath is a death and when it happened.
type datedDeath struct {
	Death
	at clock.Time
	// cleared reports that the death does not count any more.
	cleared bool
}

// targets returns how many targets died with the suspect. Below probationDeaths it returns the
// number of deaths, which is enough for the comparison.
func (v *suspect) targets() int {
	if len(v.deaths) < probationDeaths {
		return len(v.deaths)
	}
	targets := map[string]bool{}
	for _, d := range v.deaths {
		if !d.cleared {
			targets[d.Target] = true
		}
	}
	return len(targets)
}

// last returns the death that was recorded last.
func (v *suspect) last() *datedDeath { return &v.deaths[len(v.deaths)-1] }

// cleared reports whether no death counts against the suspect.
func (v *suspect) cleared() bool {
	return !slices.ContainsFunc(v.deaths, func(d datedDeath) bool { return !d.cleared })
}

// event is the death of a target and one of the requests that it ran.
type event struct {
	target string
	at     clock.Time
	// again reports that the request was already suspect when it was sent.
	again       bool
	fingerprint Fingerprint
}

func (s *state) variants(b BaseHash) []*suspect {
	v, _ := s.suspects.Get(b)
	return v
}

// find returns the suspect with a fingerprint, or nil.
func (s *state) find(f Fingerprint) *suspect {
	for _, v := range s.variants(f.BaseHash) {
		if v.fingerprint == f {
			return v
		}
	}
	return nil
}

// assess combines what is known of all suspects that match the request, and returns the most severe
// values.
func (s *state) assess(b BaseHash, prefix []byte, now clock.Time, c *Config) Assessment {
	var worst Assessment
	for _, v := range s.variants(b) {
		if !v.matches(prefix) {
			continue
		}
		a := s.assessSuspect(v, now, c)
		worst.Deaths = max(worst.Deaths, a.Deaths)
		worst.Quarantined = worst.Quarantined || a.Quarantined
		worst.Probation = worst.Probation || a.Probation
		worst.Confirmed = worst.Confirmed || a.Confirmed
		worst.RetryAfter = max(worst.RetryAfter, a.RetryAfter)
	}
	return worst
}

func (v *suspect) matches(prefix []byte) bool {
	n := v.fingerprint.PrefixBytes
	return n <= len(prefix) && sha256.Sum256(prefix[:n]) == v.fingerprint.PrefixHash
}

// clear clears the suspects with this BaseHash that match. It reports whether there were any.
func (s *state) clear(matches func(*suspect) bool, b BaseHash) (found bool) {
	for _, v := range s.variants(b) {
		if v.cleared() || !matches(v) {
			continue
		}
		found = true
		v.trials, v.confirmed = 0, false
		for i := range v.deaths {
			v.deaths[i].cleared = true
		}
	}
	return found
}

func (s *state) assessSuspect(v *suspect, now clock.Time, c *Config) Assessment {
	var last clock.Time
	a := Assessment{}
	for _, d := range v.deaths {
		if !d.cleared {
			a.Deaths++
			last = max(last, d.at)
		}
	}
	if a.Deaths == 0 || now.Sub(last) > c.Retention {
		return Assessment{}
	}
	a.Confirmed = s.confirms(v, last)
	trialRequired := c.MaxTrials > 0 && (a.Confirmed || v.targets() >= probationDeaths)
	duration := c.Duration
	if v.trials > 0 {
		last = max(last, v.lastTrial)
		for range v.trials {
			duration *= time.Duration(c.Backoff)
		}
	}
	if c.MaxTrials > 0 && v.trials >= c.MaxTrials {
		duration = c.Retention
	}
	left := last.Add(duration).Sub(now)
	switch {
	case left > 0 && (a.Confirmed || (trialRequired && v.trials > 0)):
		a.Quarantined, a.RetryAfter = true, left
	case trialRequired:
		a.Probation = true
	}
	return a
}

// confirms reports whether the deaths up to the last one are enough to quarantine a suspect.
func (s *state) confirms(v *suspect, last clock.Time) bool {
	if v.confirmed {
		return true
	}
	score := s.score(v)
	return score >= threshold && score >= s.requiredScore(v, last) // the first comparison is cheap and settles most cases
}

// describe returns the case of a suspect.
func (s *state) describe(v *suspect, now clock.Time, c *Config) Case {
	out := Case{Fingerprint: v.fingerprint, Trials: v.trials, Assessment: s.assessSuspect(v, now, c)}
	if out.Assessment.Deaths == 0 { // cleared or expired
		return out
	}
	for _, d := range v.deaths {
		if !d.cleared {
			d.Death.Age = now.Sub(d.at)
			out.Deaths = append(out.Deaths, d.Death)
		}
	}
	return out
}

// score sums the deaths that count against the suspect. Reports may arrive in any order or not at
// all, so the first death counts 1 even if only later ones are known.
func (s *state) score(v *suspect) float64 {
	score := 1.0
	for _, d := range v.deaths {
		switch {
		case d.cleared:
		case d.Prior == 0:
			// The request was already running when its first target died.
		case s.ambiguous(v, d):
			score += ambiguousScore
		default:
			score++
		}
	}
	return score
}

// ambiguous reports whether another suspect may have caused the death: it was sent to the same
// target and was running when the target died.
func (s *state) ambiguous(v *suspect, d datedDeath) bool {
	for _, e := range s.events {
		if e.again && e.target == d.Target && within(e.at, d.at, sameEventWindow) && e.fingerprint != v.fingerprint {
			return true
		}
	}
	return false
}

// requiredScore returns the score at which the suspect is quarantined.
func (s *state) requiredScore(v *suspect, at clock.Time) float64 {
	unrelated := map[string]bool{}
	for _, e := range s.events {
		if within(e.at, at, massWindow) {
			unrelated[e.target] = true
		}
	}
	for _, d := range v.deaths {
		delete(unrelated, d.Target)
	}
	if len(unrelated) >= massDeaths {
		return massThreshold
	}
	return threshold
}

func within(a, b clock.Time, d time.Duration) bool {
	return a.Sub(b) <= d && b.Sub(a) <= d
}

// recordDeath records a death and its event. It returns false if the death is known already or
// older than the retention.
func (s *state) recordDeath(f Fingerprint, d Death, now clock.Time, retention time.Duration) bool {
	variants := slices.Clone(s.variants(f.BaseHash))
	i := slices.IndexFunc(variants, func(v *suspect) bool { return v.fingerprint == f })
	if i < 0 {
		variants = append(variants, &suspect{fingerprint: f})
		if len(variants) > maxVariants {
			variants = variants[1:]
		}
		i = len(variants) - 1
	}
	v := variants[i]
	if slices.ContainsFunc(v.deaths, func(k datedDeath) bool { return k.ID == d.ID }) {
		return false
	}
	at := now.Add(-d.Age)
	if d.Age > retention {
		return false
	}
	if n := len(v.deaths); n > 0 && now.Sub(v.deaths[n-1].at) > retention {
		v.deaths, v.trials, v.confirmed = nil, 0, false
	}
	v.deaths = append(v.deaths, datedDeath{Death: d, at: at})
	if len(v.deaths) > maxDeaths {
		v.deaths = v.deaths[1:]
	}
	s.suspects.Add(f.BaseHash, variants)
	s.events = append(s.events, event{target: d.Target, at: at, again: d.Prior > 0, fingerprint: f})
	if len(s.events) > maxEvents {
		s.events = s.events[1:]
	}
	return true
}
