// Package deathreport tells the VMs of a fleet of targets that died while they ran requests, so that
// all of them know which requests crash targets.
package deathreport

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"
	"golang.org/x/sync/errgroup"

	peerpb "crocusramp.dev/crocusramp/api/peer/v1"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/peer"
	"crocusramp.dev/crocusramp/pkg/quarantine"
	"crocusramp.dev/crocusramp/pkg/quarantine/codec"
)

const (
	// sendTimeout bounds one report.
	sendTimeout = 2 * time.Second
	// sendConcurrency bounds the reports under way to peers.
	sendConcurrency = 16
	// minGatherTime is the least time for which reports are gathered: the requests of one target
	// fail together. gatherPerPeer prolongs it in large fleets, where many targets may die at
	// once and each report is a call to every peer. Both are short against the time in which
	// callers come back.
	minGatherTime = 10 * time.Millisecond
	gatherPerPeer = time.Millisecond
	// maxPending bounds what one report holds. The heartbeats make up for the rest.
	maxPending = 64
)

// Config sets up a Service.
type Config struct {
	List    *quarantine.List
	Members member.Source
	// Peers reaches other VMs; nil where there are none.
	Peers *peer.Dialer
	Log   zerolog.Logger
	// PathPrefix is the path below which peers serve the service, twirp's own if empty.
	PathPrefix string
}

// Service reports the deaths that this VM saw and takes in those that others did. It implements the
// Request service of the peer protocol.
type Service struct {
	cfg Config

	mu      sync.Mutex
	pending []*peerpb.Suspect
	sending bool
}

// New returns a Service.
func New(c Config) *Service {
	if c.PathPrefix == "" {
		c.PathPrefix = "/twirp"
	}
	return &Service{cfg: c}
}

// Handler returns the path prefix and handler of the service.
func (s *Service) Handler() (string, http.Handler) {
	server := peerpb.NewRequestServer(s, twirp.WithServerPathPrefix(s.cfg.PathPrefix))
	return server.PathPrefix(), server
}

// Report notes a death that this VM saw, and tells the peers in the background, each once: one that
// leaves or was silent for a while may send requests, too. One that is not reached learns it by
// heartbeats or when the request kills a target there. It reports
// whether the death makes the request suspect.
func (s *Service) Report(f quarantine.Fingerprint, d quarantine.Death) bool {
	if !s.cfg.List.Note(f, d) {
		return false
	}
	if s.cfg.Peers == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) >= maxPending {
		s.cfg.Log.Warn().Stringer("fingerprint", f).Str("target", d.Target).Msg("peers are not told of a target's death: too many at once")
		return true
	}
	s.pending = append(s.pending, codec.Encode(quarantine.Case{Fingerprint: f, Deaths: []quarantine.Death{d}}))
	if !s.sending {
		s.sending = true
		peers := len(s.cfg.Members.View().Peers)
		time.AfterFunc(max(minGatherTime, time.Duration(peers)*gatherPerPeer), s.send)
	}
	return true
}

// send tells the peers what is pending.
func (s *Service) send() {
	s.mu.Lock()
	request := &peerpb.ReportDeathsRequest{Suspects: s.pending}
	s.pending, s.sending = nil, false
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(sendConcurrency)
	for _, p := range s.cfg.Members.View().Peers {
		if p.State == member.Gone || p.PeerAddress == "" {
			continue
		}
		g.Go(func() error {
			client := peerpb.NewRequestProtobufClient(s.cfg.Peers.URL(p.PeerAddress), s.cfg.Peers.HTTP(), twirp.WithClientPathPrefix(s.cfg.PathPrefix))
			if _, err := client.ReportDeaths(ctx, request); err != nil {
				s.cfg.Log.Warn().Err(err).Str("vm", p.ID).Msg("peer was not told of a target's death")
			}
			return nil
		})
	}
	_ = g.Wait() // the functions return no errors
}

// ReportDeaths notes deaths that a peer saw.
func (s *Service) ReportDeaths(_ context.Context, m *peerpb.ReportDeathsRequest) (*peerpb.ReportDeathsResponse, error) {
	for _, suspect := range m.GetSuspects() {
		c, err := codec.Decode(suspect)
		if err != nil {
			return nil, twirp.InvalidArgumentError("suspects", err.Error())
		}
		s.TakeIn(c, "report")
	}
	return &peerpb.ReportDeathsResponse{}, nil
}

// TakeIn notes what another VM knows of a request; by says how it came.
func (s *Service) TakeIn(c quarantine.Case, by string) {
	for _, d := range c.Deaths {
		if s.cfg.List.Note(c.Fingerprint, d) {
			s.cfg.Log.Info().Stringer("fingerprint", c.Fingerprint).Str("target", d.Target).Int("prior", d.Prior).
				Dur("age_ms", d.Age).Str("by", by).Msg("another VM saw a target die while it ran a request")
		}
	}
	s.cfg.List.Tried(c.Fingerprint, c.Trials)
}
