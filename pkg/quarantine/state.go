package quarantine

import (
	"crypto/sha256"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"crocusramp.dev/crocusramp/pkg/clock"
)

// state is the pure part of a List: its methods take the time and do no I/O.
type state struct {
	suspects *lru.Cache[Base, []*suspect]
	// events are the latest deaths of targets, the oldest first.
	events []event
}

// suspect is a request that was running when a target died.
type suspect struct {
	fingerprint Fingerprint
	deaths      []seen
}

// seen is a death and when it was noted here.
type seen struct {
	Death
	at clock.Time
}

// event is the death of a target together with a request that it ran.
type event struct {
	target string
	at     clock.Time
	// again reports that the request had been sent as a suspect.
	again       bool
	fingerprint Fingerprint
}

func (s *state) variants(b Base) []*suspect {
	v, _ := s.suspects.Get(b)
	return v
}

// judge returns the worst of what is known of the fingerprints that match.
func (s *state) judge(b Base, prefix []byte, now clock.Time, c *Config) Judgement {
	var worst Judgement
	for _, v := range s.variants(b) {
		n := v.fingerprint.PrefixBytes
		if n > len(prefix) || sha256.Sum256(prefix[:n]) != v.fingerprint.PrefixHash {
			continue
		}
		j := s.judgeSuspect(v, now, c)
		worst.Deaths = max(worst.Deaths, j.Deaths)
		worst.Quarantined = worst.Quarantined || j.Quarantined
		worst.RetryAfter = max(worst.RetryAfter, j.RetryAfter)
	}
	return worst
}

func (s *state) judgeSuspect(v *suspect, now clock.Time, c *Config) Judgement {
	last := v.deaths[len(v.deaths)-1].at
	if now.Sub(last) > c.Memory {
		return Judgement{}
	}
	j := Judgement{Deaths: len(v.deaths)}
	left := last.Add(c.Duration).Sub(now)
	if left > 0 && s.score(v) >= s.needed(v, last) {
		j.Quarantined, j.RetryAfter = true, left
	}
	return j
}

// score adds up the deaths that speak against the suspect. Reports may arrive
// in any order or not at all, so the first death counts also where only later
// ones are known.
func (s *state) score(v *suspect) float64 {
	score := 1.0
	for _, d := range v.deaths {
		switch {
		case d.Prior == 0:
			// It was running already when its first target died.
		case s.shared(v, d):
			score += sharedScore
		default:
			score++
		}
	}
	return score
}

// shared reports whether another suspect was sent to the same target and died
// there at that time.
func (s *state) shared(v *suspect, d seen) bool {
	for _, e := range s.events {
		if e.again && e.target == d.Target && within(e.at, d.at, sharedWindow) && e.fingerprint != v.fingerprint {
			return true
		}
	}
	return false
}

// needed is the score that quarantines the suspect.
func (s *state) needed(v *suspect, at clock.Time) float64 {
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

func (s *state) note(f Fingerprint, d Death, now clock.Time, memory time.Duration) bool {
	variants := slices.Clone(s.variants(f.Base))
	i := slices.IndexFunc(variants, func(v *suspect) bool { return v.fingerprint == f })
	if i < 0 {
		variants = append(variants, &suspect{fingerprint: f})
		if len(variants) > maxVariants {
			variants = variants[1:]
		}
		i = len(variants) - 1
	}
	v := variants[i]
	if slices.ContainsFunc(v.deaths, func(k seen) bool { return k.ID == d.ID }) {
		return false
	}
	if n := len(v.deaths); n > 0 && now.Sub(v.deaths[n-1].at) > memory {
		v.deaths = nil
	}
	v.deaths = append(v.deaths, seen{d, now})
	if len(v.deaths) > maxDeaths {
		v.deaths = v.deaths[1:]
	}
	s.suspects.Add(f.Base, variants)
	s.events = append(s.events, event{target: d.Target, at: now, again: d.Prior > 0, fingerprint: f})
	if len(s.events) > maxEvents {
		s.events = s.events[1:]
	}
	return true
}
