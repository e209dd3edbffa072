package ingress

import (
	"context"
	"crypto/sha256"
	"fmt"
	"hash"
	"net/http"
	"time"

	"crocusramp.dev/crocusramp/pkg/outcome"
	"crocusramp.dev/crocusramp/pkg/quarantine"
	"crocusramp.dev/crocusramp/pkg/target"
)

const (
	// exitCheckTimeout bounds the check whether a target's process has exited: three round trips
	// between the farthest regions.
	exitCheckTimeout = 350 * time.Millisecond
	// maxHashedBody is how many bytes of a body are used to distinguish requests.
	maxHashedBody = 8 << 20
	// trialRetryAfter is the retry time of a request that another VM is sending as a trial.
	trialRetryAfter = time.Second
)

// base hashes what is known of the request before its body is read. It leaves out what differs
// between the attempts of a caller: the ID, the deadline, the object.
func (c *call) base() quarantine.BaseHash {
	if c.baseHash != (quarantine.BaseHash{}) {
		return c.baseHash
	}
	account := ""
	if c.account != nil {
		account = c.account.Name
	}
	c.baseHash = sha256.Sum256(fmt.Appendf(nil, "%q %q %q %q %d", account, c.r.Method, c.r.Host, c.r.RequestURI, c.r.ContentLength))
	return c.baseHash
}

// bodyHash hashes the first maxHashedBody bytes that are written to it.
type bodyHash struct {
	hash.Hash
	bytes int
}

func newBodyHash() *bodyHash { return &bodyHash{Hash: sha256.New()} }

func (h *bodyHash) Write(p []byte) (int, error) {
	hashed := p[:min(len(p), maxHashedBody-h.bytes)]
	h.bytes += len(hashed)
	h.Hash.Write(hashed) // never fails
	return len(p), nil
}

// fingerprint identifies the request by its base and as much of its body as was read. It must not
// be called while the body is being sent to a target.
func (c *call) fingerprint() quarantine.Fingerprint {
	if c.streamHash == nil {
		return quarantine.NewFingerprint(c.base(), c.body)
	}
	f := quarantine.Fingerprint{BaseHash: c.base(), PrefixBytes: c.streamHash.bytes}
	c.streamHash.Sum(f.PrefixHash[:0])
	return f
}

// bytesToAssess returns how much of the body must be read to check the request against the
// quarantine list.
func (c *call) bytesToAssess() int {
	if c.s.cfg.Quarantine.Empty() {
		return 0
	}
	n, _ := c.s.cfg.Quarantine.Prefix(c.base())
	return min(n, maxHashedBody)
}

// assess checks the request against the quarantine list and records the deaths that count against
// it.
func (c *call) assess() quarantine.Assessment {
	list := c.s.cfg.Quarantine
	if list.Empty() {
		return quarantine.Assessment{}
	}
	prefix := c.body
	if c.bodyStream != nil {
		prefix = c.streamHead
	}
	assessment := list.Assess(c.base(), prefix)
	c.priorDeaths = assessment.Deaths
	return assessment
}

// refuseIfQuarantined returns the refusal of a quarantined request, or nil.
func (c *call) refuseIfQuarantined(ctx context.Context) *answer {
	list := c.s.cfg.Quarantine
	if list.Empty() {
		return nil
	}
	if _, known := list.Prefix(c.base()); !known {
		return nil
	}
	if a := c.readBody(ctx); a != nil {
		return a
	}
	if assessment := c.assess(); assessment.Quarantined && !c.trial {
		return c.refuseQuarantined(assessment.RetryAfter)
	}
	return nil
}

// checkBeforeSend decides, just before an attempt, whether the request may be sent. A request on
// probation becomes a trial.
func (c *call) checkBeforeSend(ctx context.Context) *answer {
	assessment := c.assess()
	switch {
	case c.trial:
		return nil
	case assessment.Quarantined:
		return c.refuseQuarantined(assessment.RetryAfter)
	case !assessment.Probation:
		return nil
	}
	f := c.fingerprint()
	c.suspectFingerprint = f.String()
	if !c.s.cfg.Suspects.Try(ctx, f) {
		return c.refuseQuarantined(trialRetryAfter)
	}
	c.trial = true
	c.s.counters.trials.Inc(1)
	c.s.cfg.Log.Warn().Str("request", c.info.ID).Str("fingerprint", c.suspectFingerprint).Int("deaths", assessment.Deaths).Msg("sending a suspect request as a trial")
	return nil
}

// refuseQuarantined returns the answer to a quarantined request.
func (c *call) refuseQuarantined(retryAfter time.Duration) *answer {
	c.suspectFingerprint = c.fingerprint().String()
	c.s.counters.quarantined.Inc(1)
	return refuse(http.StatusServiceUnavailable, outcome.ReasonQuarantined, retryAfter, "targets died while they ran this request; it was not sent again")
}

// hasExited checks whether a target's process has exited: a connection may break and a response be
// lost while the target keeps running.
func (s *Server) hasExited(l *target.Live) bool {
	if l.Exited() {
		return true
	}
	exited, _, _ := s.exitChecks.Do(l.Incarnation(), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), exitCheckTimeout)
		defer cancel()
		exited := s.cfg.Client.Exited(ctx, l)
		if exited && l.SetExited() {
			s.counters.targetExits.Inc(1)
		}
		return exited, nil
	})
	return exited.(bool)
}

// reportDeath reports that a target exited while it ran the request.
func (c *call) reportDeath(l *target.Live) {
	f := c.fingerprint()
	c.suspectFingerprint = f.String()
	suspect := c.s.cfg.Suspects.Report(f, quarantine.Death{ID: l.Incarnation(), Target: l.ID, Prior: c.priorDeaths})
	c.s.cfg.Log.Warn().Str("request", c.info.ID).Str("fingerprint", c.suspectFingerprint).Str("target", l.ID).Int("prior", c.priorDeaths).
		Int("running", l.Running()).Bool("suspect", suspect).Msg("target died while it ran a request")
}

// reportAnswer reports that a target answered the request. It must not be called while the body is
// being sent to the target.
func (c *call) reportAnswer() {
	if c.streamed && !c.bodyComplete.Load() {
		return
	}
	f := c.fingerprint()
	if c.s.cfg.Quarantine.RecordAnswer(f) {
		c.s.cfg.Log.Info().Str("request", c.info.ID).Stringer("fingerprint", f).Bool("trial", c.trial).Msg("target answered a suspect request")
		c.s.cfg.Suspects.Clear(f)
	}
}
