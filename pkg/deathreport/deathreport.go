// Package deathreport reports target deaths to the other VMs of the fleet, with the requests that
// the targets ran, so that all VMs can identify the requests that crash targets.
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
	// sendTimeout is the timeout of one report to all peers.
	sendTimeout = 2 * time.Second
	// sendConcurrency limits the concurrent calls of one report.
	sendConcurrency = 16
	// minBatchDelay is the shortest delay for which deaths are batched, since the requests of one
	// target fail together. batchDelayPerPeer lengthens it in large fleets, where many targets may
	// die at once and each report is a call to every peer. Both are short compared with the time
	// after which callers retry.
	minBatchDelay     = 10 * time.Millisecond
	batchDelayPerPeer = time.Millisecond
	// maxPending is the largest number of deaths in one report. Peers learn of the others by
	// heartbeats.
	maxPending = 64
)

// Config holds the settings and dependencies of a Service.
type Config struct {
	List    *quarantine.List
	Members member.Source
	// PeerDialer connects to other VMs; nil if there are none.
	PeerDialer *peer.Dialer
	Log        zerolog.Logger
	// PathPrefix is the path under which peers serve the service. Default: twirp's own prefix.
	PathPrefix string
}

// Service reports the deaths that this VM observed and records those that other VMs observed. It
// implements the Request service of the peer protocol.
type Service struct {
	cfg Config

	mu            sync.Mutex
	pending       []*peerpb.Suspect
	sendScheduled bool
}

// New returns a Service.
func New(c Config) *Service {
	if c.PathPrefix == "" {
		c.PathPrefix = "/twirp"
	}
	return &Service{cfg: c}
}

// Handler returns the path prefix and the handler of the service.
func (s *Service) Handler() (string, http.Handler) {
	server := peerpb.NewRequestServer(s, twirp.WithServerPathPrefix(s.cfg.PathPrefix))
	return server.PathPrefix(), server
}

// Report records a death that this VM observed and reports it once to each peer in the background.
// Leaving and silent peers are included, as they may still send requests. A peer that the report
// does not reach learns of the death by heartbeats, or when the request crashes a target there.
// Report returns whether the death makes the request suspect.
func (s *Service) Report(f quarantine.Fingerprint, d quarantine.Death) bool {
	if !s.cfg.List.RecordDeath(f, d) {
		return false
	}
	if s.cfg.PeerDialer == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) >= maxPending {
		s.cfg.Log.Warn().Stringer("fingerprint", f).Str("target", d.Target).Msg("target death not reported to peers: too many pending reports")
		return true
	}
	s.pending = append(s.pending, codec.Encode(quarantine.Case{Fingerprint: f, Deaths: []quarantine.Death{d}}))
	if !s.sendScheduled {
		s.sendScheduled = true
		peers := len(s.cfg.Members.View().Peers)
		time.AfterFunc(max(minBatchDelay, time.Duration(peers)*batchDelayPerPeer), s.send)
	}
	return true
}

// send reports the pending deaths to the peers.
func (s *Service) send() {
	s.mu.Lock()
	request := &peerpb.ReportDeathsRequest{Suspects: s.pending}
	s.pending, s.sendScheduled = nil, false
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
			client := peerpb.NewRequestProtobufClient(s.cfg.PeerDialer.BaseURL(p.PeerAddress), s.cfg.PeerDialer.HTTPClient(), twirp.WithClientPathPrefix(s.cfg.PathPrefix))
			if _, err := client.ReportDeaths(ctx, request); err != nil {
				s.cfg.Log.Warn().Err(err).Str("vm", p.ID).Msg("failed to report target deaths to a peer")
			}
			return nil
		})
	}
	_ = g.Wait() // the functions always return nil
}

// ReportDeaths records deaths that a peer observed.
func (s *Service) ReportDeaths(_ context.Context, m *peerpb.ReportDeathsRequest) (*peerpb.ReportDeathsResponse, error) {
	for _, suspect := range m.GetSuspects() {
		c, err := codec.Decode(suspect)
		if err != nil {
			return nil, twirp.InvalidArgumentError("suspects", err.Error())
		}
		s.Merge(c, "report")
	}
	return &peerpb.ReportDeathsResponse{}, nil
}

// Merge records the deaths and trials that another VM reports for a request. source is where the
// report came from, for the log.
func (s *Service) Merge(c quarantine.Case, source string) {
	for _, d := range c.Deaths {
		if s.cfg.List.RecordDeath(c.Fingerprint, d) {
			s.cfg.Log.Info().Stringer("fingerprint", c.Fingerprint).Str("target", d.Target).Int("prior", d.Prior).
				Dur("age_ms", d.Age).Str("by", source).Msg("another VM saw a target die while it ran a request")
		}
	}
	s.cfg.List.RecordTrials(c.Fingerprint, c.Trials)
}
