package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/ingress"
	"crocusramp.dev/crocusramp/pkg/storage"
	"crocusramp.dev/crocusramp/pkg/target"
	"crocusramp.dev/crocusramp/platform"
)

// watchTables starts watchers of the operators', the targets' and the fleet's table. They run
// until ctx ends.
func (d *Daemon) watchTables(ctx context.Context) {
	follow := func(t *tableState, table string, apply func(platform.Update)) {
		t.watcher = platform.NewWatcher(d.store, table, d.log, func(u platform.Update) {
			apply(u)
			t.record(u, d.clock.Now())
		})
		t.watcher.Wait = d.feedWait
	}
	follow(&d.operators, platform.OperatorTable, d.applyOperator)
	follow(&d.list, platform.TargetTable, d.applyTargets(ctx))
	follow(&d.fleetRows, fleetTable, d.applyFleet(ctx))
	for _, t := range d.tables() {
		d.loop.Go(ctx, t.watcher.Run)
	}
	d.loop.Go(ctx, d.comparePeers)
}

// refreshWatchers makes all watchers read their tables again.
func (d *Daemon) refreshWatchers() {
	for _, t := range d.tables() {
		t.watcher.Refresh()
	}
}

// applyOperator applies changes of the operators' table: configurations and evacuations.
func (d *Daemon) applyOperator(u platform.Update) {
	now := time.Now()
	changed, first := false, !d.evacuations.known.Load()
	if first {
		d.awaitRecall()
	}
	if u.Restored {
		d.evacuations.extend(now)
		time.AfterFunc(restoredRowHold, d.applyHeldEvacuations)
	}
	for _, c := range u.Changes {
		if domain, ok := platform.EvacuatedDomain(c.Key); ok {
			changed = d.applyEvacuation(domain, c, u.Restored, now) || changed
			continue
		}
		switch {
		case !platform.IsConfig(c.Key):
		case c.Removed:
			d.log.Warn().Int64("config", d.Snapshot().Version).Stringer("row", c.Version).Msg("the configuration is no longer in the store; keeping the one in force")
		default:
			changed = d.applyConfig(c.Value, c.Version) || changed
		}
	}
	d.evacuations.known.Store(true)
	if changed {
		d.targets.Publish(storage.Version{})
	}
	d.markLoaded()
}

// applyEvacuation applies the row of a failure domain's evacuation. It reports whether the domain was
// or is no longer evacuated now.
func (d *Daemon) applyEvacuation(domain string, c platform.Change, restored bool, now time.Time) bool {
	on := !c.Removed
	if restored && d.evacuations.hold(domain, on, c.Version.Number, now) {
		d.log.Warn().Str("failure_domain", domain).Bool("evacuated", !on).Stringer("row", c.Version).Dur("for_ms", restoredRowHold).
			Msg("the restored store has another state of an evacuation; keeping the known one for now")
		return false
	}
	d.evacuations.set(domain, on, c.Version.Number)
	d.targets.Evacuate(domain, on, now)
	d.log.Info().Str("failure_domain", domain).Bool("evacuated", on).Stringer("row", c.Version).Msg("evacuation of a failure domain changed")
	return true
}

// applyHeldEvacuations puts the store's state of evacuations in force whose hold has ended.
func (d *Daemon) applyHeldEvacuations() {
	now := time.Now()
	for domain, on := range d.evacuations.expire(now) {
		d.targets.Evacuate(domain, on, now)
		d.log.Info().Str("failure_domain", domain).Bool("evacuated", on).Msg("evacuation of a failure domain changed as in the restored store")
	}
	d.targets.Publish(storage.Version{})
}

// markLoaded closes loaded once the configuration, the targets and the VMs have been read.
func (d *Daemon) markLoaded() {
	if d.state.Load() != nil && d.targetsRead.Load() && d.fleetRead.Load() {
		d.loadedOnce.Do(func() { close(d.loaded) })
	}
}

// applyConfig puts a configuration in force if it can be decoded and its version is newer than
// the present one's. One of the same version replaces it only if its row is newer: operators may give a
// version out again that a restore of the store has lost. applyConfig reports whether it did so.
func (d *Daemon) applyConfig(value []byte, row storage.Version) bool {
	d.configMu.Lock()
	defer d.configMu.Unlock()
	next, err := platform.DecodeConfig(value)
	if err != nil {
		d.log.Error().Err(err).Stringer("row", row).Msg("cannot decode the configuration; keeping the previous one")
		return false
	}
	old := d.state.Load()
	if old != nil && next.Version == old.Version && bytes.Equal(value, *d.configSource.Load()) {
		d.configRow = storage.Latest(d.configRow, row)
		return false
	}
	if old != nil && !replacesConfig(next.Version, old.Version, row, d.configRow) {
		d.log.Warn().Int64("config", next.Version).Int64("in_force", old.Version).Msg("ignoring a configuration that is not newer than the one in force")
		return false
	}
	d.targets.SetServices(next.Services)
	d.configSource.Store(&value)
	d.configRow = row
	d.state.Store(ingress.NewState(next, old))
	d.configOutdatedSince.Store(nil)
	d.log.Info().Int64("config", next.Version).Stringer("row", row).Int("routes", len(next.Routes)).
		Int("accounts", len(next.Accounts)).Msg("configuration in force")
	d.logLimits(next, old)
	return true
}

// replacesConfig reports whether a configuration with other contents replaces the one in force.
func replacesConfig(next, inForce int64, row, inForceRow storage.Version) bool {
	return next > inForce || (next == inForce && inForceRow.Before(row))
}

// logLimits logs the client accounts whose limits a configuration changes.
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

// applyTargets returns a function that applies changes of the targets' table.
func (d *Daemon) applyTargets(ctx context.Context) func(platform.Update) {
	first := true
	return func(u platform.Update) {
		now := time.Now()
		c := d.targetChanges(u)
		outdated := d.applyEntries(c.entries, u.Restored, first, now)
		if len(c.removed) > 0 {
			d.removeTargets(ctx, c.removed, c.afterOutage, now)
		}
		outdated += d.applyEntries(c.returned, u.Restored, first, now)
		if outdated > 0 {
			d.entriesOutdated.Inc(int64(outdated))
			time.AfterFunc(target.OutdatedHold, func() { d.acceptOutdated(ctx) })
		}
		if first {
			d.awaitRecall()
			d.recallMu.Lock()
			d.applyRecalledTargets(d.recalledTargets, now)
			d.recallMu.Unlock()
		}
		if len(u.Changes) > 0 || first {
			d.targets.Publish(u.Version)
		}
		if first {
			first = false
			d.targetsRead.Store(true)
			d.markLoaded()
		}
	}
}

// targetChanges are the changes of an update of the targets' table in the order in which they are applied:
// entries, the IDs of removed ones, and the entries that followed the removal of their predecessor.
type targetChanges struct {
	entries, returned []targetEntry
	removed           []string
	// afterOutage is set if removed entries may have expired while this VM could not read the store.
	afterOutage bool
}

// targetEntry is a valid entry of the targets' table.
type targetEntry struct {
	target.Entry
	row storage.Version
}

// targetChanges decodes an update of the targets' table. Invalid entries name no target: they change nothing,
// except that a read of the whole table cannot tell them from the removal of the entry before.
func (d *Daemon) targetChanges(u platform.Update) targetChanges {
	out := targetChanges{afterOutage: u.Restored}
	lastRemoval := map[string]int{} // by ID
	for i, c := range u.Changes {
		if c.Removed {
			lastRemoval[c.Key] = i
			out.afterOutage = out.afterOutage || c.AfterOutage
		}
	}
	expired := map[string]bool{} // entries that were written again after an outage
	for i, c := range u.Changes {
		if c.Removed {
			continue
		}
		e, err := platform.DecodeTarget(c.Key, c.Value)
		if err != nil {
			d.log.Warn().Err(err).Str("target", c.Key).Stringer("row", c.Version).Msg("ignoring an invalid target entry")
			if u.Full {
				lastRemoval[c.Key] = i
			}
			continue
		}
		removal, removed := lastRemoval[c.Key]
		switch {
		case !removed || i < removal:
			out.entries = append(out.entries, targetEntry{e, c.Version})
		default:
			out.returned = append(out.returned, targetEntry{e, c.Version})
			expired[c.Key] = u.Changes[removal].AfterOutage
		}
	}
	for id := range lastRemoval {
		if !expired[id] {
			out.removed = append(out.removed, id)
		}
	}
	return out
}

// applyEntries applies entries of the targets' table. restored is true if they were read after the store had been
// restored from a copy, firstRead if this VM has never read the table before. applyEntries returns the number of
// outdated entries.
func (d *Daemon) applyEntries(entries []targetEntry, restored, firstRead bool, now time.Time) (outdated int) {
	for _, e := range entries {
		var l *target.Live
		var change target.Change
		if restored {
			l, change = d.targets.UpsertRestored(e.Entry, now)
		} else {
			l, change = d.targets.Upsert(e.Entry, firstRead, now)
		}
		line := d.log.Info().Str("target", e.ID).Str("pool", e.Pool).Str("address", e.Address).Bool("draining", e.Draining).
			Int64("started_at", e.StartedAt).Int64("sequence", e.Sequence).Stringer("change", change).Bool("restored", restored).Stringer("row", e.row)
		if change == target.Outdated {
			outdated++
			known := d.targets.State(e.ID)
			line = line.Int64("known_started_at", known.StartedAt).Int64("known_sequence", known.Sequence).Bool("known_draining", known.Draining).Bool("known_removed", known.Removed)
		}
		line.Bool("suspect", l.Suspect()).Bool("cold", l.Cold(now)).Dur("cold_for_ms", e.ColdFor).Msg("target entry")
	}
	return outdated
}

// acceptOutdated applies the outdated entries that are still listed after target.OutdatedHold.
func (d *Daemon) acceptOutdated(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	accepted := d.targets.AcceptOutdated(time.Now())
	for _, l := range accepted {
		d.log.Warn().Str("target", l.ID).Int64("started_at", l.StartedAt).Dur("after_ms", target.OutdatedHold).
			Msg("an outdated target entry is still listed; using it once the target passes a health check")
	}
	if len(accepted) > 0 {
		d.targets.Publish(storage.Version{})
	}
}

func (d *Daemon) removeTargets(ctx context.Context, ids []string, afterOutage bool, now time.Time) {
	r := d.targets.Remove(ids, afterOutage, d.settings.Load().Bounds.Drain.Duration, now)
	for _, l := range r.Removed {
		d.dropTarget(l)
	}
	if len(r.Held) == 0 {
		return
	}
	d.log.Warn().Int("targets", len(r.Held)).Bool("store_was_away", afterOutage).Dur("for_ms", r.HeldUntil.Sub(now)).
		Msg("targets disappeared from the list in large numbers or soon after a store outage; keeping them in use for now")
	time.AfterFunc(time.Until(r.HeldUntil), func() {
		if ctx.Err() != nil {
			return
		}
		for _, l := range d.targets.Expire(time.Now()) {
			d.dropTarget(l)
		}
		d.targets.Publish(storage.Version{})
	})
}

func (d *Daemon) dropTarget(l *target.Live) {
	d.reach.CloseIdle(l)
	d.log.Info().Str("target", l.ID).Str("address", l.Address).Int("running", l.Running()).Msg("target removed")
}

// applyFleet returns a function that applies changes of the fleet's table, and registers this
// VM when its row is missing or outdated.
func (d *Daemon) applyFleet(ctx context.Context) func(platform.Update) {
	first := true
	return func(u platform.Update) {
		if u.Restored {
			d.suspects.beginEra()
		}
		var rows []Registration
		for _, c := range u.Changes {
			if d.suspects.apply(c, u.Restored) {
				continue
			}
			if c.Removed {
				if !u.Restored {
					d.roster.remove(c.Key)
				}
				continue
			}
			v, err := decodeRegistration(c.Row)
			if err == nil && v.ID != c.Key {
				err = fmt.Errorf("the row names VM %q", v.ID)
			}
			if err != nil {
				d.log.Warn().Err(err).Str("vm", c.Key).Msg("ignoring an invalid VM registration")
				continue
			}
			d.settledEra.Store(max(d.settledEra.Load(), v.SettledEra))
			rows = append(rows, v)
		}
		if first {
			if i := slices.IndexFunc(rows, func(v Registration) bool { return v.ID == d.fleet.self.ID && !v.Left }); i >= 0 {
				d.registeredAt.Store(&rows[i].RegisteredAt)
				d.fleet.registeredBefore(time.Duration((u.Clock - rows[i].RegisteredAt) * float64(time.Second)))
			}
			d.beginRecall(ctx, rows, u.Version.Era)
		}
		rewrite := false
		if u.Restored {
			d.restoreRegistrations(ctx, rows, u.Version)
		} else {
			rewrite = d.setRegistrations(ctx, rows)
		}
		if (rewrite || !d.roster.vms[d.fleet.self.ID].equal(d.fleet.self)) && !d.leaving.Load() {
			d.register(ctx, u.Clock)
		}
		d.fleet.setRows(sorted(d.roster.vms), d.clock.Now())
		if len(u.Changes) > 0 {
			d.log.Info().Int("vms", len(loadRegistrations(&d.fleet.vms))).Int("sharing", d.fleet.sharingCount()).Stringer("row", u.Version).Msg("registered VMs")
		}
		if first {
			first = false
			d.fleetRead.Store(true)
			d.markLoaded()
			d.loop.Go(ctx, d.awaitOwnShare)
		}
	}
}

// awaitOwnShare waits until no other VM uses a loan from an earlier process of this VM, or until
// the wait fails. This VM then uses its whole share of the limits.
func (d *Daemon) awaitOwnShare(ctx context.Context) {
	if d.fleet.settled.Load() {
		return
	}
	started := time.Now()
	vms, err := d.fleet.VMs(ctx)
	settled := err == nil && d.awaitSettled(ctx, vms)
	d.fleet.endLoanWait(settled, d.clock.Now())
	d.log.Info().Err(err).Bool("settled", settled).Int("vms", len(vms)).Dur("after_ms", time.Since(started)).Msg("the wait for loans of an earlier process of this VM has ended")
}

// awaitSettled waits for all limiters concurrently. It reports whether the loans of earlier
// processes have ended in all of them.
func (d *Daemon) awaitSettled(ctx context.Context, vms []storage.VM) bool {
	var waits sync.WaitGroup
	var unsettled atomic.Bool
	for _, l := range d.limiters() {
		waits.Go(func() {
			if !l.AwaitLoansEnded(ctx, vms) {
				unsettled.Store(true)
			}
		})
	}
	waits.Wait()
	return !unsettled.Load()
}

// decodeRegistration decodes a VM's row of the fleet's table.
func decodeRegistration(row platform.Row) (Registration, error) {
	v := Registration{version: row.Version}
	err := json.Unmarshal(row.Value, &v)
	return v, err
}

// row encodes the registration as a row of the fleet's table.
func (v Registration) row() platform.Row {
	value, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("edge: encode registration: %v", err))
	}
	return platform.Row{Table: fleetTable, Key: v.ID, Value: value}
}

// sweepFleet periodically removes the rows of VMs that left and have not come back, until ctx
// ends.
func (d *Daemon) sweepFleet(ctx context.Context) {
	every(ctx, sweepPeriod, func() {
		var t platform.Transaction
		for _, v := range d.fleet.expiredRows(d.clock.Now()) {
			t.Expect = append(t.Expect, platform.Row{Table: fleetTable, Key: v.ID, Version: v.version})
			t.Remove = append(t.Remove, platform.Row{Table: fleetTable, Key: v.ID})
		}
		if len(t.Remove) == 0 {
			return
		}
		if _, err := d.store.Transact(ctx, t); err != nil {
			d.log.Warn().Err(err).Int("vms", len(t.Remove)).Msg("failed to remove the rows of VMs that left")
			return
		}
		d.log.Info().Int("vms", len(t.Remove)).Msg("removed the rows of VMs that left")
	})
}

// register writes this VM's row, with a few retries. If all fail, the next update of the fleet's
// table triggers another call. storeClock is the store's clock now, in seconds.
func (d *Daemon) register(ctx context.Context, storeClock float64) {
	storeClock += (registerAttempts * registerPause).Seconds() // at the latest
	d.registeredAt.Store(&storeClock)
	row := d.registration().row()
	var err error
	for attempt := 0; ctx.Err() == nil && attempt < registerAttempts; attempt++ {
		_, err = d.store.Transact(ctx, platform.Transaction{Writes: []platform.Row{row}})
		if err == nil {
			d.roster.set(d.fleet.self)
			return
		}
		d.log.Warn().Err(err).Msg("failed to register this VM")
		select {
		case <-time.After(registerPause):
		case <-ctx.Done():
		}
	}
}

const (
	// registerAttempts and registerPause bound how long a failing registration blocks the
	// watcher of the fleet's table.
	registerAttempts = 5
	registerPause    = 200 * time.Millisecond
	// sweepPeriod is how often the rows of VMs that left are checked for removal.
	sweepPeriod = 10 * time.Second
)
