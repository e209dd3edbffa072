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
	// endTimeout bounds finding out whether a target's process has ended: three round trips
	// between the farthest regions.
	endTimeout = 350 * time.Millisecond
	// maxJudgedBody is how much of a body tells requests apart.
	maxJudgedBody = 8 << 20
	// trialRetry is when the caller may come back of a request that another VM tries now.
	trialRetry = time.Second
)

// base hashes what is known of the request before its body is read. What differs between the
// attempts of a caller is not part of it: the ID, the deadline, the object.
func (c *call) base() quarantine.Base {
	if c.baseHash != (quarantine.Base{}) {
		return c.baseHash
	}
	account := ""
	if c.account != nil {
		account = c.account.Name
	}
	c.baseHash = sha256.Sum256(fmt.Appendf(nil, "%q %q %q %q %d", account, c.r.Method, c.r.Host, c.r.RequestURI, c.r.ContentLength))
	return c.baseHash
}

// bodyHash hashes the first maxJudgedBody bytes that are written to it.
type bodyHash struct {
	hash.Hash
	bytes int
}

func newBodyHash() *bodyHash { return &bodyHash{Hash: sha256.New()} }

func (h *bodyHash) Write(p []byte) (int, error) {
	judged := p[:min(len(p), maxJudgedBody-h.bytes)]
	h.bytes += len(judged)
	h.Hash.Write(judged) // never fails
	return len(p), nil
}

// fingerprint identifies the request with as much of its body as was read. No body may be under way
// to a target.
func (c *call) fingerprint() quarantine.Fingerprint {
	if c.streamHash == nil {
		return quarantine.NewFingerprint(c.base(), c.body)
	}
	f := quarantine.Fingerprint{Base: c.base(), PrefixBytes: c.streamHash.bytes}
	c.streamHash.Sum(f.PrefixHash[:0])
	return f
}

// judgedBytes is how much of the body has to be read to judge the request.
func (c *call) judgedBytes() int {
	if c.s.cfg.Quarantine.Empty() {
		return 0
	}
	n, _ := c.s.cfg.Quarantine.Prefix(c.base())
	return min(n, maxJudgedBody)
}

// judgement returns what is known of the request.
func (c *call) judgement() quarantine.Judgement {
	list := c.s.cfg.Quarantine
	if list.Empty() {
		return quarantine.Judgement{}
	}
	prefix := c.body
	if c.stream != nil {
		prefix = c.head
	}
	j := list.Judge(c.base(), prefix)
	c.prior = j.Deaths
	return j
}

// keepBack refuses a request that is quarantined.
func (c *call) keepBack(ctx context.Context) *answer {
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
	if j := c.judgement(); j.Quarantined && !c.trial {
		return c.refuseQuarantined(j.RetryAfter)
	}
	return nil
}

// judge decides, just before the request is sent, whether it may be.
func (c *call) judge(ctx context.Context) *answer {
	j := c.judgement()
	switch {
	case c.trial:
		return nil
	case j.Quarantined:
		return c.refuseQuarantined(j.RetryAfter)
	case !j.Probation:
		return nil
	}
	f := c.fingerprint()
	c.suspect = f.String()
	if !c.s.cfg.Suspects.Try(ctx, f) {
		return c.refuseQuarantined(trialRetry)
	}
	c.trial = true
	c.s.counters.trials.Inc(1)
	c.s.cfg.Log.Warn().Str("request", c.info.ID).Str("fingerprint", c.suspect).Int("deaths", j.Deaths).Msg("request is sent as a trial")
	return nil
}

// refuseQuarantined answers a request that is kept back.
func (c *call) refuseQuarantined(retry time.Duration) *answer {
	c.suspect = c.fingerprint().String()
	c.s.counters.quarantined.Inc(1)
	if c.mayHaveRun {
		return refuse(http.StatusBadGateway, outcome.ReasonQuarantined, 0, "targets died while they ran this request; it may have run")
	}
	return refuse(http.StatusServiceUnavailable, outcome.ReasonQuarantined, retry, "targets died while they ran this request; it was not sent again")
}

// hasEnded finds out whether a target's process has ended: a connection may break and an answer be
// lost while the target goes on.
func (s *Server) hasEnded(l *target.Live) bool {
	if l.Ended() {
		return true
	}
	ended, _, _ := s.ends.Do(l.Incarnation(), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
		defer cancel()
		ended := s.cfg.Client.Refuses(ctx, l.Address)
		if ended && l.SetEnded() {
			s.counters.ends.Inc(1)
		}
		return ended, nil
	})
	return ended.(bool)
}

// diedWith takes in that a target ended while it ran the request.
func (c *call) diedWith(l *target.Live) {
	f := c.fingerprint()
	c.suspect = f.String()
	suspect := c.s.cfg.Suspects.Report(f, quarantine.Death{ID: l.Incarnation(), Target: l.ID, Prior: c.prior})
	c.s.cfg.Log.Warn().Str("request", c.info.ID).Str("fingerprint", c.suspect).Str("target", l.ID).Int("prior", c.prior).
		Int("running", l.Running()).Bool("suspect", suspect).Msg("target died while it ran a request")
}

// answered takes in that a target answered the request. No body may be under way to the target.
func (c *call) answered() {
	if c.streamed && !c.bodyRead.Load() {
		return
	}
	f := c.fingerprint()
	if c.s.cfg.Quarantine.Answered(f) {
		c.s.cfg.Log.Info().Str("request", c.info.ID).Stringer("fingerprint", f).Bool("trial", c.trial).Msg("a target answered a suspect request")
		c.s.cfg.Suspects.Acquit(f)
	}
}
