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
	"crocusramp.dev/crocusramp/pkg/outcome"
)

const (
	// pollTimeout bounds one HTTP request of a poll.
	pollTimeout = time.Second
	// maxReportBytes bounds the response that is read; the rest is ignored.
	maxReportBytes = 4096

	loadPath   = "/load"
	healthPath = "/healthz"
)

// newPollClient returns a client that uses no proxy and keeps no connection open, since
// idle connections would count towards the connections that the target accepts.
func newPollClient() *http.Client {
	return &http.Client{Timeout: pollTimeout, Transport: &http.Transport{DisableKeepAlives: true, MaxConnsPerHost: 1}}
}

// errNoReport is returned if the load endpoint responds with a status other than 200 and
// the health endpoint does not show the target as unhealthy.
var errNoReport = errors.New("target returned no load report")

// startPolling starts a goroutine for each target of this region that polls its load and
// health. The first polls are spread over the interval.
func (s *Scheduler) startPolling(ctx context.Context) {
	for _, p := range s.pools {
		for _, t := range p.pool.localTargets {
			go s.poll(ctx, p, t)
		}
	}
}

func (s *Scheduler) poll(ctx context.Context, p *lockedPool, t *localTarget) {
	interval := s.config.PollInterval
	timer := time.NewTimer(rand.N(interval))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		s.pollOnce(ctx, p, t)
		// The jitter keeps the VMs of the fleet from polling a target at the same time.
		timer.Reset(interval*9/10 + rand.N(interval/5+1))
	}
}

// pollOnce polls a target for which this VM holds permits and applies its report. A
// failed poll changes nothing: only requests determine whether the target is reachable.
func (s *Scheduler) pollOnce(ctx context.Context, p *lockedPool, t *localTarget) {
	p.mu.Lock()
	held := t.held
	p.mu.Unlock()
	if held == 0 {
		return
	}
	r, err := s.fetchReport(ctx, t.Address, t.Slots)
	if err != nil {
		if ctx.Err() == nil {
			s.config.Log.Debug().Err(err).Str("target", t.ID).Msg("polling the load and health of the target failed")
		}
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t.health.ApplyReport(s.config.Clock.Now(), r)
}

// fetchReport polls the target's load and health. A target without a load endpoint yields a
// report only if it is unhealthy.
func (s *Scheduler) fetchReport(ctx context.Context, address string, slots int) (health.Report, error) {
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
	resp, err := s.config.PollClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if !outcome.ValidStatus(resp) {
		return 0, nil, fmt.Errorf("invalid status %q", resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	return resp.StatusCode, body, err
}
