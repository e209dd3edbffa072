package entry

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/twitchtv/twirp"
	"golang.org/x/sync/errgroup"

	peerpb "crocusramp.dev/crocusramp/api/peer/v1"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/outcome"
	"crocusramp.dev/crocusramp/pkg/quarantine"
)

const (
	reportTimeout     = 2 * time.Second
	reportConcurrency = 16
	// deathSeparator parts the target in a death's ID from what makes it
	// unique.
	deathSeparator = "@"
)

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
	j := s.quarantine.Judge(base, c.body.peek(n))
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
	d := quarantine.Death{ID: a.death, Target: target, Prior: c.prior}
	if !s.quarantine.Note(f, d) {
		return
	}
	s.config.Log.Warn().Str("target", target).Str("request", c.id).Int("prior", c.prior).
		Msg("target died while it ran a request")
	if s.config.Peers != nil {
		go s.reportDeath(s.config.Members.View(), f, d)
	}
}

// reportDeath tells the live peers, each once. One that is not reached learns
// it when the request kills a target there.
func (s *Server) reportDeath(view *member.View, f quarantine.Fingerprint, d quarantine.Death) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(reportConcurrency)
	for _, p := range view.Peers {
		if p.State != member.Live {
			continue
		}
		g.Go(func() error {
			client := peerpb.NewRequestProtobufClient(s.config.Peers.URL(p.PeerAddress), s.config.Peers.HTTP(),
				twirp.WithClientPathPrefix(rpcPrefix))
			_, err := client.ReportDeath(ctx, &peerpb.ReportDeathRequest{
				Base:        f.Base[:],
				PrefixBytes: int32(f.PrefixBytes),
				PrefixHash:  f.PrefixHash[:],
				Target:      d.Target,
				DeathId:     d.ID,
				PriorDeaths: int32(d.Prior),
			})
			if err != nil {
				s.config.Log.Warn().Err(err).Str("vm", p.ID).Msg("peer was not told of a target's death")
			}
			return nil
		})
	}
	_ = g.Wait() // the functions return no errors
}

// deathReports takes what peers report.
type deathReports struct{ list *quarantine.List }

// ReportDeath notes a death that a peer saw.
func (r *deathReports) ReportDeath(_ context.Context, m *peerpb.ReportDeathRequest) (*peerpb.ReportDeathResponse, error) {
	f := quarantine.Fingerprint{PrefixBytes: int(m.GetPrefixBytes())}
	if copy(f.Base[:], m.GetBase()) != len(f.Base) || copy(f.PrefixHash[:], m.GetPrefixHash()) != len(f.PrefixHash) {
		return nil, twirp.InvalidArgumentError("base", "must be a SHA-256 hash, as prefix_hash")
	}
	if f.PrefixBytes < 0 || f.PrefixBytes > replayBytes {
		return nil, twirp.InvalidArgumentError("prefix_bytes", "is out of range")
	}
	if m.GetDeathId() == "" || m.GetTarget() == "" {
		return nil, twirp.RequiredArgumentError("death_id")
	}
	r.list.Note(f, quarantine.Death{ID: m.GetDeathId(), Target: m.GetTarget(), Prior: max(int(m.GetPriorDeaths()), 0)})
	return &peerpb.ReportDeathResponse{}, nil
}
