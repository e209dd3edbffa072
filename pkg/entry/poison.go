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

// deathSeparator parts the target in a death's ID from what makes it unique.
const deathSeparator = "@"

func newDeath(target string) string { return target + deathSeparator + uuid.NewString() }

// base hashes what is known of the call before its body is read.
func (c *call) base() quarantine.Base {
	return sha256.Sum256(fmt.Appendf(nil, "%q %q %q %q %d",
		c.accountName(), c.route.Name, c.r.Method, c.r.URL.RequestURI(), c.r.ContentLength))
}

// checkQuarantine refuses the call if it is known to kill targets. The body is
// read only as far as that of a suspect was that is like the call otherwise.
func (s *Server) checkQuarantine(c *call) *outcome.Refusal {
	if s.quarantine.Empty() {
		return nil
	}
	base := c.base()
	n, known := s.quarantine.Prefix(base)
	if !known {
		return nil
	}
	j := s.quarantine.Assess(base, c.body.peek(min(n, replayBytes)))
	c.prior = j.Deaths
	if !j.Quarantined {
		return nil
	}
	// Not "not run": targets have begun to run the same request.
	return &outcome.Refusal{Outcome: outcome.Unknown, Reason: outcome.ReasonQuarantined,
		Status: http.StatusUnprocessableEntity, RetryAfter: j.RetryAfter,
		Detail: "Targets died while they ran this request. It was not sent again."}
}

// clear forgets the suspicion of a call that a target answered whole.
func (s *Server) clear(c *call) {
	if c.prior > 0 {
		s.quarantine.Clear(c.base(), c.body.peek(0))
	}
}

// noteDeath remembers that a target died with the call, and tells the peers if
// this VM saw it.
func (s *Server) noteDeath(c *call, a *answer) {
	target, _, _ := strings.Cut(a.death, deathSeparator)
	f := quarantine.NewFingerprint(c.base(), c.body.peek(0))
	if !s.deaths.Report(f, quarantine.Death{ID: a.death, Target: target, Prior: c.prior}) {
		return
	}
	s.config.Log.Warn().Str("target", target).Str("request", c.id).Int("prior", c.prior).
		Msg("target died while it ran a request")
}
