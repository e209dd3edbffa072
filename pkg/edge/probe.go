package edge

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"crocusramp.dev/crocusramp/pkg/reach"
	"crocusramp.dev/crocusramp/pkg/target"
	"crocusramp.dev/crocusramp/platform"
)

const (
	// probePeriod is the mean time between two probes of a suspect target. Probes are
	// not sent more often because each is charged.
	probePeriod = 700 * time.Millisecond
	// probeTimeout bounds a probe, including a wait for a slot of the target.
	probeTimeout = 1500 * time.Millisecond
	// probeBodyBytes is the most that is read of a probe's response body.
	probeBodyBytes = 4 << 10
)

// probeSuspects periodically probes the health endpoints of the suspect targets, until ctx
// ends.
func (d *Daemon) probeSuspects(ctx context.Context) {
	for {
		for _, l := range d.targets.Suspects(time.Now()) {
			d.loop.Go(ctx, func(ctx context.Context) { d.probe(ctx, l) })
		}
		select {
		case <-time.After(probePeriod/2 + rand.N(probePeriod)):
		case <-ctx.Done():
			return
		}
	}
}

// probe sends one health request to a target and clears its suspect state if the target is
// healthy and is still the expected instance.
func (d *Daemon) probe(ctx context.Context, l *target.Live) {
	state := d.state.Load()
	if state == nil || state.Services[l.Pool] == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if announced := l.Limit(); announced.Limited && !d.targetLimits.Admit(ctx, l, announced, 0).Admitted {
		return
	}
	req := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: l.Address, Path: state.Services[l.Pool].HealthPath},
		Host: l.Address, Header: http.Header{}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	resp, _, failure := d.reach.Do(ctx, req, l, reach.Options{})
	if failure != nil {
		d.log.Debug().Err(failure).Str("target", l.ID).Msg("probe failed")
		return
	}
	_, copyErr := io.Copy(io.Discard, io.LimitReader(resp, probeBodyBytes))
	resp.Close()
	info := platform.Headers{}.FromTarget(resp.StatusCode, resp.Header)
	if info.Limit.Limited && info.InstanceID == l.ID {
		l.RecordLimit(info.Limit.Rate, time.Now())
	}
	if fromThisTarget := info.InstanceID == l.ID || (info.InstanceID == "" && !info.OtherInstance); fromThisTarget {
		if info.Leaving && l.SetLeaving() {
			d.log.Info().Str("target", l.ID).Msg("target announced that it is leaving")
		}
		l.BackOff(info.RetryAfter, time.Now())
	}
	// A target without a free slot refuses the probe without an instance ID.
	full := info.NotRun && !info.OtherInstance && info.InstanceID == ""
	switch {
	case copyErr != nil:
		return
	case info.InstanceID != "" && info.InstanceID != l.ID:
		l.SetReplaced()
		d.log.Info().Str("target", l.ID).Str("now", info.InstanceID).Msg("another target now uses the address")
	case resp.StatusCode == http.StatusOK || full:
		l.ClearSuspicion(info.ColdFor, time.Now())
		d.log.Info().Str("target", l.ID).Dur("cold_for_ms", info.ColdFor).Msg("target is no longer suspect")
	}
}
