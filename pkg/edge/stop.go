package edge

import (
	"context"
	"sync"
	"time"

	"crocusramp.dev/crocusramp/platform"
)

const (
	// stopNotice is how long a stopping VM still accepts requests: callers cache look-ups
	// and keep connections for locateTTL, some for longer. The platform does not excuse the
	// abort of a request that was sent later than 3 s after SIGTERM, so the VM refuses new
	// requests before then.
	stopNotice = 2900 * time.Millisecond
	// carryFor is the fraction of the grace period for which a stopping VM carries new connections for
	// VMs that have no other path. The requests on them have the time to abandonAfter to finish.
	carryFor = 0.75
	// abandonAfter is the fraction of the grace period after which requests that still run
	// are aborted with a final response. The platform excuses requests that are aborted in
	// the last sixth of it.
	abandonAfter = 0.9
	// exitAfter is the fraction of the grace period after which the process exits even if
	// responses are still being sent. A process that the platform has to kill at the end of
	// the grace period counts as an ungraceful stop.
	exitAfter = 0.95
	// lateDelivery is the fraction of the rest of the grace period that responses get to be
	// sent if the process reaches that point late.
	lateDelivery = 0.5
	// quietPeriod is how long a stopping VM without running requests waits for requests
	// that are already in transit.
	quietPeriod = 200 * time.Millisecond
	// maxQuietPeriods bounds that wait if requests keep arriving. They are refused at once,
	// so no connection waits long to be accepted.
	maxQuietPeriods = 3
	// deliveryPoll is how often an exiting VM checks whether all responses are sent.
	deliveryPoll = 5 * time.Millisecond
	// releaseTimeout bounds the return of borrowed shares of limits, and the update of the VM's
	// row.
	releaseTimeout = 400 * time.Millisecond
)

// stop shuts the VM down gracefully. It completes the requests that have arrived. New
// requests are still accepted, but after stopNotice only to be refused: http.Server.Shutdown
// would drop requests that it reads during the shutdown.
func (d *Daemon) stop() {
	started := time.Now()
	grace := d.settings.Load().Bounds.Grace.Duration
	after := func(fraction float64) time.Time { return started.Add(time.Duration(fraction * float64(grace))) }
	carriesUntil := after(carryFor)
	d.carriesUntil.Store(&carriesUntil)
	d.leaving.Store(true)
	for _, l := range d.limiters() {
		l.StopLending()
	}
	refuseAt := started.Add(min(stopNotice, grace/2))
	d.ingress.Stop(refuseAt)
	d.log.Info().Int("running", d.ingress.Running()).Dur("grace_ms", grace).Msg("stopping; look-ups send new callers to other VMs")
	time.Sleep(time.Until(refuseAt))

	running, cancelRunning := context.WithDeadline(context.Background(), after(abandonAfter))
	defer cancelRunning()
	d.releaseLimits(running)
	d.awaitQuiet(running)
	if n := d.ingress.Running(); n > 0 {
		d.log.Warn().Int("running", n).Msg("requests are still in flight near the end of the grace period; sending a final response to those that are not being answered yet")
		d.ingress.LogRunning("request still in flight near the end of the grace period")
		d.ingress.Abandon()
	}
	delivery, cancelDelivery := context.WithDeadline(context.Background(), deliveryDeadline(started, time.Now(), grace))
	defer cancelDelivery()
	d.unregister(delivery)
	d.awaitDelivery(delivery)
	d.ingress.LogRunning("request cut off by the exit at the end of the grace period")
	if err := d.callers.Close(); err != nil {
		d.log.Warn().Err(err).Msg("failed to close the callers' connections")
	}
	d.tunnels.Close()
	d.client.Close()
	d.store.Close()
	d.sendSpans(delivery)
}

// deliveryDeadline returns when a VM that began to stop at started and sends its last responses
// from now on exits.
func deliveryDeadline(started, now time.Time, grace time.Duration) time.Time {
	deadline := started.Add(time.Duration(exitAfter * float64(grace)))
	late := now.Add(time.Duration(lateDelivery * float64(started.Add(grace).Sub(now))))
	if late.After(deadline) {
		return late
	}
	return deadline
}

// awaitQuiet waits until no request runs and none has arrived for quietPeriod. If requests keep arriving
// and being refused, it waits until none has run for maxQuietPeriods such periods. Connections through this
// VM count as running requests. It is needed because closing the listener resets the connections that it
// has not accepted yet.
func (d *Daemon) awaitQuiet(ctx context.Context) {
	const pollsPerPeriod = 10
	ticker := time.NewTicker(quietPeriod / pollsPerPeriod)
	defer ticker.Stop()
	lastRequests := d.ingress.Requests()
	for quietPolls, idlePolls := 0, 0; quietPolls < pollsPerPeriod && idlePolls < maxQuietPeriods*pollsPerPeriod; {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		quietPolls, idlePolls = quietPolls+1, idlePolls+1
		if d.ingress.Running() > 0 || d.tunnels.Open() > 0 {
			quietPolls, idlePolls = 0, 0
		}
		if now := d.ingress.Requests(); now != lastRequests {
			quietPolls, lastRequests = 0, now
		}
	}
}

// awaitDelivery waits until every request that has begun to arrive is answered and the idle connections
// are closed.
func (d *Daemon) awaitDelivery(ctx context.Context) {
	ticker := time.NewTicker(deliveryPoll)
	defer ticker.Stop()
	for d.conns.Drain() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// sendSpans sends the remaining spans to the collector.
func (d *Daemon) sendSpans(ctx context.Context) {
	if err := d.shutdownTracer(ctx); err != nil {
		d.log.Warn().Err(err).Msg("failed to send the remaining trace spans")
	}
}

// releaseLimits returns what this VM borrowed of the limits. The VM admits no request any
// more.
func (d *Daemon) releaseLimits(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	var released sync.WaitGroup
	for _, l := range d.limiters() {
		released.Go(func() { l.Release(ctx) })
	}
	released.Wait()
}

// unregister marks this VM's row as left, so that the other VMs get its share of the limits
// if it does not come back.
func (d *Daemon) unregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	left := d.registration()
	left.Left = true
	if _, err := d.store.Transact(ctx, platform.Transaction{Writes: []platform.Row{left.row()}}); err != nil {
		d.log.Warn().Err(err).Msg("failed to mark this VM as left; its share of the limits may stay unused until it returns")
	}
}
