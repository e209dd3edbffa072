package entry

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"strings"

	"github.com/google/uuid"

	"crocusramp.dev/crocusramp/pkg/outcome"
	"crocusramp.dev/crocusramp/pkg/quarantine"
)

// deathSeparator separates the target and the UUID in the ID of a death.
const deathSeparator = "@"

func newDeathID(target string) string { return target + deathSeparator + uuid.NewString() }

// baseHash returns the hash of what is known of the call before its body is read.
func (c *call) baseHash() quarantine.BaseHash {
	return sha256.Sum256(fmt.Appendf(nil, "%q %q %q %q %d",
		c.accountName(), c.route.Name, c.r.Method, c.r.URL.RequestURI(), c.r.ContentLength))
}

// checkQuarantine refuses the call if it is quarantined for crashing targets. If there
// are suspects with the same base hash, it reads as much of the body as had been read of
// theirs, and no more.
func (s *Server) checkQuarantine(c *call) *outcome.Refusal {
	if s.quarantine.Empty() {
		return nil
	}
	base := c.baseHash()
	n, known := s.quarantine.Prefix(base)
	if !known {
		return nil
	}
	assessment := s.quarantine.Assess(base, c.body.peek(min(n, maxReplayBytes)))
	c.priorDeaths = assessment.Deaths
	if !assessment.Quarantined {
		return nil
	}
	// The outcome is not NotRun because targets have begun to run the same request.
	return &outcome.Refusal{Outcome: outcome.Unknown, Reason: outcome.ReasonQuarantined,
		Status: http.StatusUnprocessableEntity, RetryAfter: assessment.RetryAfter,
		Detail: "Targets died while they ran this request. It was not sent again."}
}

// clearSuspect clears a suspect request after a target has answered it completely.
func (s *Server) clearSuspect(c *call) {
	if c.priorDeaths > 0 {
		s.quarantine.Clear(c.baseHash(), c.body.peek(0))
	}
}

// recordDeath records that a target died while it ran the call. If the death is new
// and makes the request suspect, it also reports the death to the peers.
func (s *Server) recordDeath(c *call, a *answer) {
	target, _, _ := strings.Cut(a.deathID, deathSeparator)
	f := quarantine.NewFingerprint(c.baseHash(), c.body.peek(0))
	if !s.deathReports.Report(f, quarantine.Death{ID: a.deathID, Target: target, Prior: c.priorDeaths}) {
		return
	}
	s.config.Log.Warn().Str("target", target).Str("request", c.id).Int("prior", c.priorDeaths).
		Msg("target died while it ran a request")
}
