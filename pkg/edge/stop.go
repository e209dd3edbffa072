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
	d.log.Info().Int64("running", d.ingress.Running()).Dur("grace_ms", grace).Msg("stopping: new callers are sent elsewhere")
	time.Sleep(min(stopNotice, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(grace-stopReserve))
	defer cancel()
	if err := d.callers.Shutdown(ctx); err != nil {
		d.log.Warn().Err(err).Int64("running", d.ingress.Running()).Msg("requests were still running at the end of the grace")
	}
	release, cancelRelease := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancelRelease()
	d.limiter.Release(release)
	d.unregister(release)
	d.client.Close()
	d.store.Close()
}

// unregister removes this VM's row, so that a VM that does not come back leaves
// its part of the bounds to the others.
func (d *Daemon) unregister(ctx context.Context) {
	row := platform.Row{Table: fleetTable, Key: d.fleet.self.ID}
	if _, err := d.store.Transact(ctx, platform.Transaction{Remove: []platform.Row{row}}); err != nil {
		d.log.Warn().Err(err).Msg("this VM's row stays; its part of the limits rests until it returns")
	}
}
