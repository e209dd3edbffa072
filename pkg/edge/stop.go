package edge

import (
	"context"
	"sync"
	"time"

	"crocusramp.dev/crocusramp/platform"
)

const (
	// stopNotice is how long a stopping VM still takes requests: callers keep
	// look-ups and connections for locateTTL, some for longer. The platform excuses no cut
	// of a request that was sent later than 3 s after SIGTERM.
	stopNotice = 2900 * time.Millisecond
	// abandonAfter is the part of the grace after which requests that still run get a
	// final answer. The platform excuses what is cut in the last sixth.
	abandonAfter = 0.9
	// exitAfter is the part of the grace after which the process exits whatever is still
	// being delivered. One that is killed at the end of the grace has stopped ungracefully.
	exitAfter = 0.95
	// quietPeriod is how long a stopping VM that runs nothing waits for callers that are
	// still on their way.
	quietPeriod = 200 * time.Millisecond
	// maxQuietPeriods bounds that wait where callers keep coming; they are answered at
	// once, so that none waits long to be accepted.
	maxQuietPeriods = 3
	// deliveryPoll is how often a VM that exits looks whether all answers are delivered.
	deliveryPoll = 5 * time.Millisecond
	// releaseTimeout bounds handing back borrowed parts of limits and the VM's row.
	releaseTimeout = 400 * time.Millisecond
)

// stop answers every request that has come, and takes new ones to the end only to refuse
// them: http.Server.Shutdown would drop those that it reads meanwhile.
func (d *Daemon) stop() {
	started := time.Now()
	grace := d.settings.Load().Bounds.Grace.Duration
	after := func(part float64) time.Time { return started.Add(time.Duration(part * float64(grace))) }
	d.leaving.Store(true)
	for _, l := range d.limiters() {
		l.StopLending()
	}
	refuseAt := started.Add(min(stopNotice, grace/2))
	d.ingress.Stop(refuseAt)
	d.log.Info().Int("running", d.ingress.Running()).Dur("grace_ms", grace).Msg("stopping: new callers are sent elsewhere")
	time.Sleep(time.Until(refuseAt))

	running, cancelRunning := context.WithDeadline(context.Background(), after(abandonAfter))
	defer cancelRunning()
	d.releaseLimits(running)
	d.awaitQuiet(running)
	if n := d.ingress.Running(); n > 0 {
		d.log.Warn().Int("running", n).Msg("requests outlast the grace: they get their final answer")
		d.ingress.LogRunning("outlasts the grace")
		d.ingress.Abandon()
	}
	delivery, cancelDelivery := context.WithDeadline(context.Background(), after(exitAfter))
	defer cancelDelivery()
	d.unregister(delivery)
	d.awaitDelivery(delivery)
	d.ingress.LogRunning("cut at the end of the grace")
	if err := d.callers.Close(); err != nil {
		d.log.Warn().Err(err).Msg("closing the callers' connections failed")
	}
	d.client.Close()
	d.store.Close()
	d.sendSpans(delivery)
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

// awaitDelivery waits until every answer has left.
func (d *Daemon) awaitDelivery(ctx context.Context) {
	ticker := time.NewTicker(deliveryPoll)
	defer ticker.Stop()
	for d.conns.busy() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// sendSpans sends the last spans to the collector.
func (d *Daemon) sendSpans(ctx context.Context) {
	if err := d.shutdownTracer(ctx); err != nil {
		d.log.Warn().Err(err).Msg("spans are lost")
	}
}

// releaseLimits hands back what this VM borrowed of limits. It admits nothing any more.
func (d *Daemon) releaseLimits(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	var released sync.WaitGroup
	for _, l := range d.limiters() {
		released.Go(func() { l.Release(ctx) })
	}
	released.Wait()
}

// unregister marks this VM's row, so that a VM that does not come back leaves
// its part of the bounds to the others.
func (d *Daemon) unregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	left := d.fleet.self
	left.Left = true
	if _, err := d.store.Transact(ctx, platform.Transaction{Writes: []platform.Row{left.row()}}); err != nil {
		d.log.Warn().Err(err).Msg("this VM's row stays; its part of the limits rests until it returns")
	}
}
