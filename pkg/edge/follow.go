package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/ingress"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/storage"
	"crocusramp.dev/crocusramp/pkg/target"
	"crocusramp.dev/crocusramp/platform"
)

// follow keeps what the platform's tables say.
func (d *Daemon) follow(ctx context.Context) {
	watch := func(table string, apply func(platform.Update)) *platform.Watcher {
		w := platform.NewWatcher(d.store, table, d.log, apply)
		d.loop.Go(ctx, w.Run)
		return w
	}
	operators := watch(platform.OperatorTable, d.applyOperator)
	targets := watch(platform.TargetTable, d.applyTargets(ctx))
	watch(fleetTable, d.applyFleet(ctx))
	d.loop.Go(ctx, func(ctx context.Context) { d.compare(ctx, operators, targets) })
}

const (
	// comparePeriod is how often this VM's versions are compared with its peers'.
	comparePeriod = 500 * time.Millisecond
	// behindFor is how long a peer may know more before this VM asks the store anew:
	// longer than feeds gather changes.
	behindFor = 1500 * time.Millisecond
)

// behind tells for how long another VM has known more.
type behind struct{ since time.Time }

// kick reports whether that is long enough; it then begins anew.
func (b *behind) kick(own, newest int64, now time.Time) bool {
	switch {
	case own >= newest:
		b.since = time.Time{}
	case b.since.IsZero():
		b.since = now
	case now.Sub(b.since) > behindFor:
		b.since = time.Time{}
		return true
	}
	return false
}

// compare kicks a feed where a live peer knows more for some time: the store may have
// taken this VM's call and never answer it.
func (d *Daemon) compare(ctx context.Context, operators, targets *platform.Watcher) {
	var config, list behind
	every(ctx, comparePeriod, func() {
		newestConfig, newestList := newest(d.members.View())
		if config.kick(d.Snapshot().Version, newestConfig, time.Now()) {
			d.log.Warn().Int64("config", d.Snapshot().Version).Int64("peers", newestConfig).Msg("a peer has a newer configuration; the store is asked anew")
			operators.Kick()
		}
		if known := d.listKnown.Load(); list.kick(known, newestList, time.Now()) {
			d.log.Warn().Int64("list", known).Int64("peers", newestList).Msg("a peer has a newer list of targets; the store is asked anew")
			targets.Kick()
		}
	})
}

// newest returns the newest versions that live peers told.
func newest(view *member.View) (config, list int64) {
	for i := range view.Peers {
		if p := &view.Peers[i]; p.State == member.Live {
			config, list = max(config, p.ConfigVersion), max(list, p.ListVersion)
		}
	}
	return config, list
}

// applyOperator takes in what operators wrote.
func (d *Daemon) applyOperator(u platform.Update) {
	changed := false
	for _, c := range u.Changes {
		if domain, ok := platform.EvacuatedDomain(c.Key); ok {
			d.targets.Evacuate(domain, !c.Removed, time.Now())
			d.log.Info().Str("failure_domain", domain).Bool("evacuated", !c.Removed).Int64("row", c.Version).Msg("evacuation")
			changed = true
			continue
		}
		if platform.IsConfig(c.Key) && !c.Removed {
			changed = d.applyConfig(c) || changed
		}
	}
	if changed {
		d.targets.Publish(0)
	}
	d.learn()
}

// learn closes known where all that requests need has been read.
func (d *Daemon) learn() {
	if d.state.Load() != nil && d.targetsRead.Load() && d.fleetRead.Load() {
		d.knownOnce.Do(func() { close(d.known) })
	}
}

// applyConfig puts a configuration in force. Versions never go back.
func (d *Daemon) applyConfig(c platform.Change) bool {
	next, err := platform.DecodeConfig(c.Value)
	if err != nil {
		d.log.Error().Err(err).Int64("row", c.Version).Msg("the configuration cannot be read; the one before stays in force")
		return false
	}
	old := d.state.Load()
	if old != nil && next.Version <= old.Version {
		d.log.Warn().Int64("config", next.Version).Int64("in_force", old.Version).Msg("an older configuration is passed over")
		return false
	}
	d.targets.SetServices(next.Services)
	d.state.Store(ingress.NewState(next, old))
	d.log.Info().Int64("config", next.Version).Int64("row", c.Version).Int("routes", len(next.Routes)).
		Int("accounts", len(next.Accounts)).Msg("configuration in force")
	d.logLimits(next, old)
	return true
}

// logLimits tells which client accounts' limits a configuration changes.
func (d *Daemon) logLimits(next *config.Config, old *ingress.State) {
	for name, a := range next.Accounts {
		if old != nil {
			if b := old.Accounts[name]; b != nil && b.Rate == a.Rate && b.Burst == a.Burst {
				continue
			}
		}
		d.log.Info().Int64("config", next.Version).Str("account", name).Float64("rate", a.Rate).Float64("burst", a.Burst).Msg("limit in force")
	}
}

// applyTargets takes in what targets wrote.
func (d *Daemon) applyTargets(ctx context.Context) func(platform.Update) {
	first := true
	return func(u platform.Update) {
		now := time.Now()
		var removed []string
		returned := false
		for _, c := range latest(u.Changes) {
			if c.Removed {
				removed = append(removed, c.Key)
				returned = returned || c.Returned
				continue
			}
			d.applyTarget(c, first, now)
		}
		if len(removed) > 0 {
			d.removeTargets(ctx, removed, returned, now)
		}
		if len(u.Changes) > 0 || first {
			d.targets.Publish(u.Version)
		}
		d.noteList(u)
		if first {
			first = false
			d.targetsRead.Store(true)
			d.learn()
		}
	}
}

// latest returns the last change of each key. An entry that lapsed and came back while
// the store could not be asked arrives as both, in one answer.
func latest(changes []platform.Change) []platform.Change {
	last := map[string]int{}
	for i, c := range changes {
		last[c.Key] = i
	}
	out := make([]platform.Change, 0, len(last))
	for i, c := range changes {
		if last[c.Key] == i {
			out = append(out, c)
		}
	}
	return out
}

// noteList keeps up to which version the list is known, and its newest change.
func (d *Daemon) noteList(u platform.Update) {
	for _, c := range u.Changes {
		// A removal that was found by reading the whole table has no version.
		if !c.Removed || !u.Full {
			d.listNewest.Store(max(d.listNewest.Load(), c.Version))
		}
	}
	d.listKnown.Store(u.Version)
}

func (d *Daemon) applyTarget(c platform.Change, first bool, now time.Time) {
	e, err := platform.DecodeTarget(c.Key, c.Value)
	if err != nil {
		d.log.Warn().Err(err).Str("target", c.Key).Int64("row", c.Version).Msg("an entry is passed over")
		return
	}
	l, fresh := d.targets.Upsert(e, first, now)
	d.log.Info().Str("target", e.ID).Str("pool", e.Pool).Str("address", e.Address).Bool("draining", e.Draining).
		Bool("new", fresh).Bool("cold", l.Cold(now)).Dur("cold_for_ms", e.ColdFor).Int64("row", c.Version).Msg("target")
}

func (d *Daemon) removeTargets(ctx context.Context, ids []string, returned bool, now time.Time) {
	r := d.targets.Remove(ids, returned, d.settings.Load().Bounds.Drain.Duration, now)
	for _, l := range r.Gone {
		d.dropTarget(l)
	}
	if len(r.Held) == 0 {
		return
	}
	d.log.Warn().Int("targets", len(r.Held)).Bool("store_was_away", returned).Dur("for_ms", r.Until.Sub(now)).
		Msg("targets vanished from the list together; they are used for a while")
	time.AfterFunc(time.Until(r.Until), func() {
		if ctx.Err() != nil {
			return
		}
		for _, l := range d.targets.Expire(time.Now()) {
			d.dropTarget(l)
		}
		d.targets.Publish(0)
	})
}

func (d *Daemon) dropTarget(l *target.Live) {
	d.client.Drop(l.Address)
	d.log.Info().Str("target", l.ID).Str("address", l.Address).Int("running", l.Running()).Msg("target gone")
}

// applyFleet takes in which VMs are registered, and registers this one.
func (d *Daemon) applyFleet(ctx context.Context) func(platform.Update) {
	first := true
	return func(u platform.Update) {
		for _, c := range u.Changes {
			if d.suspects.apply(c) {
				continue
			}
			if c.Removed {
				delete(d.vms, c.Key)
				continue
			}
			v, err := decodeRegistration(c.Row)
			if err != nil || v.ID != c.Key {
				d.log.Warn().Err(err).Str("vm", c.Key).Msg("a registration is passed over")
				continue
			}
			d.vms[c.Key] = v
		}
		if !d.vms[d.fleet.self.ID].same(d.fleet.self) && !d.leaving.Load() {
			d.register(ctx)
		}
		d.fleet.set(sorted(d.vms), d.clock.Now())
		if len(u.Changes) > 0 {
			d.log.Info().Int("vms", len(list(&d.fleet.vms))).Int("sharing", d.fleet.count()).Int64("row", u.Version).Msg("registered VMs")
		}
		if first {
			first = false
			d.fleetRead.Store(true)
			d.learn()
			d.loop.Go(ctx, d.settle)
		}
	}
}

// settle waits until no other VM may use what an earlier process of this VM
// lent.
func (d *Daemon) settle(ctx context.Context) {
	if d.fleet.settled.Load() {
		return
	}
	started := time.Now()
	vms, err := d.fleet.VMs(ctx)
	settled := err == nil && d.awaitSettled(ctx, vms)
	d.fleet.endWait(settled, d.clock.Now())
	d.log.Info().Bool("settled", settled).Int("vms", len(vms)).Dur("after_ms", time.Since(started)).Msg("own part of the limits")
}

// awaitSettled waits for all that divides bounds.
func (d *Daemon) awaitSettled(ctx context.Context, vms []storage.VM) bool {
	var waits sync.WaitGroup
	var late atomic.Bool
	for _, l := range d.limiters() {
		waits.Go(func() {
			if !l.AwaitSettled(ctx, vms) {
				late.Store(true)
			}
		})
	}
	waits.Wait()
	return !late.Load()
}

// decodeRegistration reads a row of the fleet's table.
func decodeRegistration(row platform.Row) (Registration, error) {
	v := Registration{version: row.Version}
	err := json.Unmarshal(row.Value, &v)
	return v, err
}

// row is the registration in the fleet's table.
func (v Registration) row() platform.Row {
	value, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("edge: encode registration: %v", err))
	}
	return platform.Row{Table: fleetTable, Key: v.ID, Value: value}
}

// sweepFleet removes the rows of VMs that stopped and have not come back, until ctx ends.
func (d *Daemon) sweepFleet(ctx context.Context) {
	every(ctx, sweepPeriod, func() {
		var t platform.Transaction
		for _, v := range d.fleet.stale(d.clock.Now()) {
			t.Expect = append(t.Expect, platform.Row{Table: fleetTable, Key: v.ID, Version: v.version})
			t.Remove = append(t.Remove, platform.Row{Table: fleetTable, Key: v.ID})
		}
		if len(t.Remove) == 0 {
			return
		}
		if _, err := d.store.Transact(ctx, t); err != nil {
			d.log.Warn().Err(err).Int("vms", len(t.Remove)).Msg("removing the rows of VMs that left failed")
			return
		}
		d.log.Info().Int("vms", len(t.Remove)).Msg("removed the rows of VMs that left")
	})
}

// register writes this VM's row. A failure is settled by the next update.
func (d *Daemon) register(ctx context.Context) {
	row := d.fleet.self.row()
	var err error
	for attempt := 0; ctx.Err() == nil && attempt < registerAttempts; attempt++ {
		_, err = d.store.Transact(ctx, platform.Transaction{Writes: []platform.Row{row}})
		if err == nil {
			d.vms[d.fleet.self.ID] = d.fleet.self
			return
		}
		d.log.Warn().Err(err).Msg("registering this VM failed")
		select {
		case <-time.After(registerPause):
		case <-ctx.Done():
		}
	}
}

const (
	// registerAttempts and registerPause bound how long the fleet's table is not
	// followed while this VM cannot register.
	registerAttempts = 5
	registerPause    = 200 * time.Millisecond
	// sweepPeriod is how often rows are looked for that VMs have left behind.
	sweepPeriod = 10 * time.Second
)
