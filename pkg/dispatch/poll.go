package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"crocusramp.dev/crocusramp/pkg/health"
)

const (
	// pollTimeout bounds one question to a target.
	pollTimeout = time.Second
	// maxReportBytes bounds a target's answer.
	maxReportBytes = 4096

	loadPath   = "/load"
	healthPath = "/healthz"
)

// newPollClient returns a client that keeps no connection open, since those
// would take from what the target accepts, and that uses no proxy.
func newPollClient() *http.Client {
	return &http.Client{Timeout: pollTimeout, Transport: &http.Transport{DisableKeepAlives: true, MaxConnsPerHost: 1}}
}

// errNoReport reports that a target has no load endpoint.
var errNoReport = errors.New("target has no load endpoint")

// startPolling asks each target of this region for its load and health,
// spread over the interval.
func (s *Scheduler) startPolling(ctx context.Context) {
	for _, p := range s.pools {
		for _, b := range p.pool.local {
			go s.poll(ctx, p, b)
		}
	}
}

func (s *Scheduler) poll(ctx context.Context, p *lockedPool, b *backend) {
	interval := s.config.PollInterval
	timer := time.NewTimer(rand.N(interval))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		s.pollOnce(ctx, p, b)
		// The jitter keeps the VMs of a fleet from asking in step.
		timer.Reset(interval*9/10 + rand.N(interval/5+1))
	}
}

// pollOnce takes in one report of a target for which this VM holds permits. A
// target that cannot be asked is left as it was: only requests tell whether it
// can be reached.
func (s *Scheduler) pollOnce(ctx context.Context, p *lockedPool, b *backend) {
	p.mu.Lock()
	held := b.held
	p.mu.Unlock()
	if held == 0 {
		return
	}
	r, err := s.report(ctx, b.Address, b.Slots)
	if err != nil {
		if ctx.Err() == nil {
			s.config.Log.Debug().Err(err).Str("target", b.ID).Msg("load report failed")
		}
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	b.health.ApplyReport(s.config.Clock.Now(), r)
}

// report asks the target for its load and its health.
func (s *Scheduler) report(ctx context.Context, address string, slots int) (health.Report, error) {
	r := health.Report{Slots: slots, State: health.StateOK}
	status, body, err := s.get(ctx, address, loadPath)
	if err != nil {
		return r, err
	}
	if status == http.StatusOK {
		if r, err = health.ParseReport(body, slots); err != nil {
			return r, err
		}
	}
	healthStatus, _, err := s.get(ctx, address, healthPath)
	if err != nil {
		return r, err
	}
	r.Unhealthy = healthStatus >= http.StatusInternalServerError
	if status != http.StatusOK && !r.Unhealthy {
		return r, fmt.Errorf("%s%s: status %d: %w", address, loadPath, status, errNoReport)
	}
	return r, nil
}

func (s *Scheduler) get(ctx context.Context, address, path string) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, nil, err
	}
	resp, err := s.config.HTTP.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	return resp.StatusCode, body, err
}
