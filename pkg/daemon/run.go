package daemon

import (
	"context"
	"errors"
	"time"

	"crocusramp.dev/crocusramp/pkg/telemetry"
)

// Run serves until ctx ends or a listener fails, then shuts down gracefully. It
// returns an error only if a listener failed.
func (d *Daemon) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	loopEnded := make(chan struct{})
	go func() { d.loop.Run(background); close(loopEnded) }()
	failed := make(chan error, 3)
	// The peer listener serves first because a VM that holds a slot must never
	// refuse connections on it.
	go serve(d.servers.peers, d.listeners.peers, d.servers.peers.TLSConfig, failed)
	d.start(background)
	go serve(d.servers.operators, d.listeners.operators, d.servers.operators.TLSConfig, failed)
	go serve(d.servers.callers, d.listeners.callers, nil, failed)
	d.log.Info().Str("incarnation", d.self.Incarnation).
		Stringer("callers", d.listeners.callers.Addr()).
		Stringer("operators", d.listeners.operators.Addr()).
		Stringer("peers", d.listeners.peers.Addr()).Str("build", telemetry.Build()).Msg("started")

	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
		d.log.Error().Err(err).Msg("listener failed; stopping")
	}
	d.stop()
	cancel()
	<-loopEnded
	_ = d.servers.peers.Close()
	d.dialer.Close()
	d.log.Info().Msg("stopped")
	return err
}

// start starts all components and returns immediately.
func (d *Daemon) start(ctx context.Context) {
	d.members.Start(ctx)
	d.feed.Start(ctx)
	d.leases.Start(ctx)
	d.limiter.Start(ctx)
	d.scheduler.Start(ctx)
	d.loop.Go(ctx, d.acceptCallersWhenReady)
}

// acceptCallersWhenReady accepts callers once this VM can serve them as well as
// its peers do. An earlier request would be refused because of a route or a rate
// that this VM has not received yet.
func (d *Daemon) acceptCallersWhenReady(ctx context.Context) {
	started := time.Now()
	for !d.canAcceptCallers(time.Since(started)) {
		select {
		case <-time.After(pollPeriod):
		case <-ctx.Done():
			return
		}
	}
	d.entry.SetReady(true)
	d.log.Info().Dur("after_ms", time.Since(started)).Msg("accepting callers")
}

// canAcceptCallers reports whether the VM has a fresh configuration, the
// platform's list of VMs, a first heartbeat from each peer, and a slot. A VM that
// finds no free slot, as in a fleet with more VMs than slots, accepts callers
// after slotWaitTimeout and asks its peers for admission.
func (d *Daemon) canAcceptCallers(waited time.Duration) bool {
	if !d.feed.Ready() || !d.feed.Snapshot().Fresh {
		return false
	}
	if waited > slotWaitTimeout {
		return true
	}
	view := d.members.View()
	if !view.Complete || len(d.leases.Holding().Slots) == 0 {
		return false
	}
	for _, p := range view.Peers {
		if p.StateProbedAt == 0 {
			return false
		}
	}
	return true
}

// stop waits for the requests in flight to end and releases the shares and slots
// of this VM. The peer listener stays open until the slots are released, since
// peers take a refused connection to mean that this VM no longer uses them.
func (d *Daemon) stop() {
	started := time.Now()
	d.stopping.Store(true)
	d.log.Info().Msg("stopping; waiting for callers to move to other VMs")
	d.waitForQuietPeriod(d.settings.Stop.Notice.Duration)

	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Stop.Grace.Duration)
	defer cancel()
	if err := d.entry.Shutdown(ctx); err != nil {
		d.log.Warn().Err(err).Msg("requests were still in flight, or their results not yet recorded, at the end of stop.grace")
	}
	// The last responses are delivered under their own timeout, since ctx may
	// have ended.
	delivery, cancelDelivery := context.WithTimeout(context.Background(), deliveryTimeout)
	defer cancelDelivery()
	if err := d.servers.callers.Shutdown(delivery); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		d.log.Warn().Err(err).Msg("failed to shut down the callers' server")
	}
	_ = d.servers.callers.Close()
	d.releaseSharesAndSlots()
	// Shutdown lets operators' calls in flight complete.
	_ = d.servers.operators.Shutdown(ctx)
	_ = d.servers.operators.Close()
	_ = d.flush(ctx)
	d.log.Info().Dur("took_ms", time.Since(started)).Msg("callers' and operators' servers are closed")
}

// releaseSharesAndSlots returns borrowed shares of limits to their owners and
// releases this VM's slots.
func (d *Daemon) releaseSharesAndSlots() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	d.limiter.Release(ctx)
	if err := d.leases.Release(ctx); err != nil {
		d.log.Warn().Err(err).Msg("could not confirm that all slots are released; peers take over the others once the peer port refuses connections")
	}
}

// waitForQuietPeriod returns once no request has arrived for quietPeriod, or
// after limit.
func (d *Daemon) waitForQuietPeriod(limit time.Duration) {
	end := time.Now().Add(limit)
	lastCount, lastArrival := d.arrivals.Load(), time.Now()
	for time.Now().Before(end) && time.Since(lastArrival) < quietPeriod {
		time.Sleep(pollPeriod)
		if n := d.arrivals.Load(); n != lastCount {
			lastCount, lastArrival = n, time.Now()
		}
	}
}
