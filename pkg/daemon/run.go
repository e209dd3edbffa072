package daemon

import (
	"context"
	"errors"
	"time"
)

// Run serves until ctx ends, then shuts down gracefully. It returns an error
// only where a listener failed while serving.
func (d *Daemon) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	loopEnded := make(chan struct{})
	go func() { d.loop.Run(background); close(loopEnded) }()
	failed := make(chan error, 3)
	// The peer listener serves first: a VM that holds a slot must never refuse
	// connections there.
	go serve(d.servers.peers, d.listeners.peers, d.servers.peers.TLSConfig, failed)
	d.start(background)
	go serve(d.servers.operators, d.listeners.operators, d.servers.operators.TLSConfig, failed)
	go serve(d.servers.callers, d.listeners.callers, nil, failed)
	d.log.Info().Str("incarnation", d.self.Incarnation).
		Stringer("callers", d.listeners.callers.Addr()).
		Stringer("operators", d.listeners.operators.Addr()).
		Stringer("peers", d.listeners.peers.Addr()).Msg("started")

	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
		d.log.Error().Err(err).Msg("a listener failed")
	}
	d.stop()
	cancel()
	<-loopEnded
	_ = d.servers.peers.Close()
	d.dialer.Close()
	d.log.Info().Msg("stopped")
	return err
}

// start sets every part going; it returns at once.
func (d *Daemon) start(ctx context.Context) {
	d.members.Start(ctx)
	d.feed.Start(ctx)
	d.leases.Start(ctx)
	d.limiter.Start(ctx)
	d.scheduler.Start(ctx)
	d.loop.Go(ctx, d.openWhenReady)
}

// openWhenReady lets callers in once this VM can serve them as well as the
// others do. Before, it would refuse requests for a route or a rate that it
// does not know yet.
func (d *Daemon) openWhenReady(ctx context.Context) {
	started := time.Now()
	for !d.mayOpen(time.Since(started)) {
		select {
		case <-time.After(pollPeriod):
		case <-ctx.Done():
			return
		}
	}
	d.entry.SetReady(true)
	d.log.Info().Dur("after_ms", time.Since(started)).Msg("open to callers")
}

// mayOpen reports whether the VM has a fresh configuration, the platform's
// list with the first heartbeat of each peer, and a slot. A VM that finds no
// free slot, as in a fleet larger than its slots, opens after slotPatience and
// asks its peers for admission.
func (d *Daemon) mayOpen(waited time.Duration) bool {
	if !d.feed.Ready() || !d.feed.Snapshot().Fresh {
		return false
	}
	if waited > slotPatience {
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

// stop lets every request in flight end and gives back what this VM holds.
// The peer listener stays open until the slots are released, since a refused
// connection there means to the others that this VM uses nothing any more.
func (d *Daemon) stop() {
	started := time.Now()
	d.leaving.Store(true)
	d.log.Info().Msg("stopping: new callers are sent elsewhere")
	d.waitQuiet(d.settings.Stop.Notice.Duration)

	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Stop.Grace.Duration)
	defer cancel()
	if err := d.entry.Shutdown(ctx); err != nil {
		d.log.Warn().Err(err).Msg("requests were still running at the end of stop.grace")
	}
	// The last answers leave although ctx may have ended.
	delivery, cancelDelivery := context.WithTimeout(context.Background(), deliveryTimeout)
	defer cancelDelivery()
	if err := d.servers.callers.Shutdown(delivery); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		d.log.Warn().Err(err).Msg("closing the callers' listener failed")
	}
	_ = d.servers.callers.Close()
	d.release()
	// An operator's call that has begun gets its answer.
	_ = d.servers.operators.Shutdown(ctx)
	_ = d.servers.operators.Close()
	_ = d.flush(ctx)
	d.log.Info().Dur("took_ms", time.Since(started)).Msg("nothing is running any more")
}

// release gives shares and slots back.
func (d *Daemon) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	d.limiter.Release(ctx)
	if err := d.leases.Release(ctx); err != nil {
		d.log.Warn().Err(err).Msg("slots were not released; peers take them over by the closed port")
	}
}

// waitQuiet returns after a quiet period without new requests, at the latest
// after limit.
func (d *Daemon) waitQuiet(limit time.Duration) {
	end := time.Now().Add(limit)
	last, since := d.arrivals.Load(), time.Now()
	for time.Now().Before(end) && time.Since(since) < quietPeriod {
		time.Sleep(pollPeriod)
		if n := d.arrivals.Load(); n != last {
			last, since = n, time.Now()
		}
	}
}
