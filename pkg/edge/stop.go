package edge

import (
	"context"
	"time"

	"crocusramp.dev/crocusramp/platform"
)

const (
	// stopNotice is how long a stopping VM still takes requests: callers keep
	// look-ups and connections for locateTTL, some for longer.
	stopNotice = 2900 * time.Millisecond
	// stopReserve is the part of the grace that is left for closing. A process that
	// is killed at the end of the grace has stopped ungracefully.
	stopReserve = 900 * time.Millisecond
	// quietPeriod is how long a stopping VM that runs nothing waits for callers that are
	// still on their way.
	quietPeriod = 200 * time.Millisecond
	// maxQuietPeriods bounds that wait where callers keep coming; they are answered at
	// once, so that none waits long to be accepted.
	maxQuietPeriods = 3
	// releaseTimeout bounds handing back borrowed parts of limits and the VM's row.
	releaseTimeout = 400 * time.Millisecond
)

// stop lets every request in flight end.
func (d *Daemon) stop() {
	started := time.Now()
	grace := d.settings.Load().Bounds.Grace.Duration
	d.leaving.Store(true)
	d.limiter.StopLending()
	d.ingress.Close()
	d.log.Info().Int("running", d.ingress.Running()).Dur("grace_ms", grace).Msg("stopping: new callers are sent elsewhere")
	time.Sleep(min(stopNotice, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(grace-stopReserve))
	defer cancel()
	d.ingress.Refuse()
	d.awaitQuiet(ctx)
	if err := d.callers.Shutdown(ctx); err != nil {
		d.log.Warn().Err(err).Int("running", d.ingress.Running()).Msg("requests were still running at the end of the grace")
		d.ingress.LogRunning("still running at the end of the grace")
	}
	release, cancelRelease := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancelRelease()
	d.limiter.Release(release)
	d.unregister(release)
	d.client.Close()
	d.store.Close()
}

// awaitQuiet waits until no request runs and none has come for quietPeriod, or until the
// VM has run nothing for maxQuietPeriods of them: closing the listener resets the
// connections that it has not accepted yet.
func (d *Daemon) awaitQuiet(ctx context.Context) {
	const looks = 10
	ticker := time.NewTicker(quietPeriod / looks)
	defer ticker.Stop()
	before := d.ingress.Requests()
	for quiet, idle := 0, 0; quiet < looks && idle < maxQuietPeriods*looks; {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		quiet, idle = quiet+1, idle+1
		if d.ingress.Running() > 0 {
			quiet, idle = 0, 0
		}
		if now := d.ingress.Requests(); now != before {
			quiet, before = 0, now
		}
	}
}

// unregister removes this VM's row, so that a VM that does not come back leaves
// its part of the bounds to the others.
func (d *Daemon) unregister(ctx context.Context) {
	row := platform.Row{Table: fleetTable, Key: d.fleet.self.ID}
	if _, err := d.store.Transact(ctx, platform.Transaction{Remove: []platform.Row{row}}); err != nil {
		d.log.Warn().Err(err).Msg("this VM's row stays; its part of the limits rests until it returns")
	}
}
