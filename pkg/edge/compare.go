package edge

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	peerpb "crocusramp.dev/crocusramp/api/peer/v1"
	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/progress"
	"crocusramp.dev/crocusramp/pkg/share"
	"crocusramp.dev/crocusramp/pkg/storage"
	"crocusramp.dev/crocusramp/pkg/target"
	"crocusramp.dev/crocusramp/platform"
)

// The store may leave a long poll without a response although it has one, or has been restored from a copy
// since. A VM notices that by what its peers know. The polls of a few VMs are short, so that one of them times
// out soon after the store was silent, or else follows the changes of the table.

const (
	// comparePeriod is how often what this VM knows of the store is compared with what its peers know.
	comparePeriod = 200 * time.Millisecond
	// maxLag is how long a peer may know of a newer change, and a poll be pending, before this VM sends the poll
	// again. It is longer than the store takes to respond.
	maxLag = 500 * time.Millisecond
	// maxConfigLag is how long a peer may have a newer configuration before this VM asks for it. By then it would
	// have it from a poll that was sent again.
	maxConfigLag = 900 * time.Millisecond
	// shortPollers is the number of VMs whose polls are short.
	shortPollers = 2
	// shortPoll is how long such a poll waits for changes.
	shortPoll = time.Second
	// maxPollAge is how old the last response may be for a VM to tell that its polls are short.
	maxPollAge = 2500 * time.Millisecond
	// configTransferTimeout bounds the transfer of a configuration from a peer.
	configTransferTimeout = 8 * time.Second
	// maxReportedOutdated is the most targets with an outdated entry that a heartbeat response reports.
	maxReportedOutdated = 16
)

// tableState is what this VM knows of a table of the store.
type tableState struct {
	watcher *platform.Watcher
	// known is the version up to which the table has been read, newest that of the newest change to the
	// table itself, and heard the newest one that a peer knows of. nil is unknown.
	known, newest, heard atomic.Pointer[storage.Version]
	// readAt is when the store last responded, 0 for never.
	readAt atomic.Int64
	lag    lagTimer // only comparePeers uses it
}

// record records an update at now.
func (t *tableState) record(u platform.Update, now clock.Time) {
	for _, c := range u.Changes {
		// A removal that was detected by reading the whole table has no version.
		if c.Removed && u.Full {
			continue
		}
		newest := storage.Latest(loadVersion(&t.newest), c.Version)
		t.newest.Store(&newest)
	}
	t.known.Store(&u.Version)
	t.readAt.Store(int64(now))
}

// loadVersion returns a stored version, or zero if there is none.
func loadVersion(p *atomic.Pointer[storage.Version]) storage.Version {
	if v := p.Load(); v != nil {
		return *v
	}
	return storage.Version{}
}

// newestChange returns the version of the newest change that this VM knows of, itself or by the word of peers,
// or zero if it is unknown.
func (t *tableState) newestChange() storage.Version {
	return storage.Latest(loadVersion(&t.newest), loadVersion(&t.heard))
}

// polledWithin reports whether the store has responded to a poll of the table in the last d.
func (t *tableState) polledWithin(d time.Duration, now clock.Time) bool {
	readAt := clock.Time(t.readAt.Load())
	return readAt != 0 && now.Sub(readAt) < d
}

// compare records the newest change that peers know of. It sends the pending poll again, and reports that,
// if this VM has lagged behind for longer than maxLag.
func (t *tableState) compare(peers storage.Version, now time.Time) (repolled bool) {
	if newest := storage.Latest(loadVersion(&t.heard), peers); newest != loadVersion(&t.heard) {
		t.heard.Store(&newest)
	}
	return t.lag.exceeds(maxLag, t.lagsBehind(peers), now) && t.watcher.Repoll(maxLag)
}

// lagsBehind reports whether a change is newer than what has been read.
func (t *tableState) lagsBehind(change storage.Version) bool {
	known := t.known.Load()
	return known != nil && known.Before(change)
}

// lagTimer measures for how long a peer has known something newer than this VM.
type lagTimer struct{ since time.Time }

// exceeds reports whether this VM has lagged behind for longer than limit. It then restarts the timer.
func (t *lagTimer) exceeds(limit time.Duration, lags bool, now time.Time) bool {
	switch {
	case !lags:
		t.since = time.Time{}
	case t.since.IsZero():
		t.since = now
	case now.Sub(t.since) > limit:
		t.since = time.Time{}
		return true
	}
	return false
}

// comparePeers sends new requests to the store when peers know more of it, until ctx ends.
func (d *Daemon) comparePeers(ctx context.Context) {
	era, brief := int64(0), true
	var silenceEnd time.Time
	var configLag lagTimer
	every(ctx, comparePeriod, func() {
		view, now := d.members.View(), time.Now()
		newest := newestOfPeers(view)
		if newest.era > max(era, d.store.Era()) {
			era = newest.era
			d.log.Warn().Int64("era", d.store.Era()).Int64("peers", era).Msg("a peer knows of a later restore of the store; reading all tables again")
			d.refreshWatchers()
		}
		if newest.silenceEnd.After(silenceEnd) {
			silenceEnd = newest.silenceEnd
			if n := d.store.GiveUpCallsBefore(silenceEnd); n > 0 {
				d.log.Warn().Dur("ago_ms", now.Sub(silenceEnd)).Int("given_up", n).Msg("the store was silent to a peer; sending the calls from before again")
			}
		}
		wasBrief := brief
		var states []target.State
		for i := range view.Peers {
			d.fleet.hear(view.Peers[i].Share)
			states = append(states, view.Peers[i].OutdatedTargets...)
		}
		if d.targetsRead.Load() && d.applyRecalledTargets(states, now) {
			d.targets.Publish(storage.Version{})
		}
		brief = pollsBriefly(view)
		for i, t := range d.tables() {
			if brief && !wasBrief { // the pending poll is long
				t.watcher.Repoll(0)
			}
			if t.compare(newest.changes[i], now) {
				d.log.Warn().Str("table", t.watcher.Table).Stringer("known", t.known.Load()).Stringer("peers", newest.changes[i]).
					Msg("a peer knows a newer change of a table; sending the pending poll again")
			}
		}
		lags := d.Snapshot().Version < newest.config
		d.recordConfigLag(lags, now)
		if configLag.exceeds(maxConfigLag, lags && !d.operators.watcher.Receiving(), now) && d.recallsConfig.CompareAndSwap(false, true) {
			d.log.Warn().Int64("config", d.Snapshot().Version).Int64("peers", newest.config).Msg("peers have a newer configuration; asking them for it")
			d.loop.Go(ctx, func(ctx context.Context) {
				defer d.recallsConfig.Store(false)
				d.recallConfig(ctx, peersWithConfig(view, newest.config))
			})
		}
	})
}

// recordConfigLag records whether peers have a newer configuration.
func (d *Daemon) recordConfigLag(lags bool, now time.Time) {
	switch since := d.configOutdatedSince.Load(); {
	case !lags:
		d.configOutdatedSince.Store(nil)
	case since == nil:
		d.configOutdatedSince.Store(&now)
	}
}

// configLag returns for how long this VM has known that peers have a newer configuration, 0 if they have none.
func (d *Daemon) configLag() time.Duration {
	if since := d.configOutdatedSince.Load(); since != nil {
		return time.Since(*since)
	}
	return 0
}

// recallConfig asks peers for the configuration, because the store may be silent to this VM. It asks one after the
// other: together, their responses would take longer on a slow link than any of them may.
func (d *Daemon) recallConfig(ctx context.Context, peers []member.Peer) {
	for _, p := range peers {
		started := time.Now()
		config, err := d.askConfig(ctx, p)
		applied := len(config) > 0 && d.applyRecalledConfigs([][]byte{config})
		d.log.Info().Err(err).Str("vm", p.ID).Int("bytes", len(config)).Dur("ms", time.Since(started)).Bool("applied", applied).Msg("asked another VM for its configuration")
		if applied {
			d.targets.Publish(storage.Version{})
		}
		if err == nil || ctx.Err() != nil {
			return
		}
	}
}

// askConfig asks a peer for the configuration if it has a newer one than this VM. The peer must begin to respond in
// lateRecallTimeout.
func (d *Daemon) askConfig(parent context.Context, p member.Peer) ([]byte, error) {
	ctx := progress.WithTimeout(parent, lateRecallTimeout)
	defer ctx.Stop()
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { ctx.Extend(configTransferTimeout) }})
	client := peerpb.NewRecallProtobufClient(d.dialer.BaseURL(p.PeerAddress), d.dialer.HTTPClient())
	r, err := client.Recall(traced, &peerpb.RecallRequest{ConfigVersion: d.Snapshot().Version})
	return r.GetConfig(), err
}

// peersWithConfig returns some of the live peers that reported the configuration, in random order but those of this
// VM's region first.
func peersWithConfig(view *member.View, version int64) (peers []member.Peer) {
	for _, i := range rand.Perm(len(view.Peers)) {
		if p := view.Peers[i]; p.State == member.Live && p.ConfigVersion == version {
			peers = append(peers, p)
		}
	}
	slices.SortStableFunc(peers, func(a, b member.Peer) int {
		return cmp.Compare(distance(&view.Self, &a), distance(&view.Self, &b))
	})
	return peers[:min(len(peers), maxRecallPeers)]
}

// distance is 0 between VMs of one region and 1 between others.
func distance(a, b *member.Peer) int {
	if a.Region == b.Region {
		return 0
	}
	return 1
}

// newestKnown is the newest that live peers know of the store.
type newestKnown struct {
	config     int64
	changes    [tableCount]storage.Version // of the tables, in the order of Daemon.tables
	era        int64
	silenceEnd time.Time
}

func newestOfPeers(view *member.View) (n newestKnown) {
	for i := range view.Peers {
		p := &view.Peers[i]
		// A list of a later era tells of the restore, too; earlier builds tell nothing else.
		n.era = max(n.era, p.StoreEra, p.ListVersion.Era)
		if p.StoreSilenceEnd.After(n.silenceEnd) {
			n.silenceEnd = p.StoreSilenceEnd
		}
		if p.State != member.Live {
			continue
		}
		n.config = max(n.config, p.ConfigVersion)
		for i, v := range [tableCount]storage.Version{p.OperatorsVersion, p.ListVersion, p.FleetVersion} {
			n.changes[i] = storage.Latest(n.changes[i], v)
		}
	}
	return n
}

// tableCount is the number of tables that a VM follows.
const tableCount = 3

// tables returns the tables that this VM follows.
func (d *Daemon) tables() [tableCount]*tableState {
	return [tableCount]*tableState{&d.operators, &d.list, &d.fleetRows}
}

// pollsBriefly reports whether this VM's polls are short: unless enough live VMs with lower IDs tell that
// theirs are. VMs whose first heartbeat has not ended count too, or all VMs that start together would poll
// briefly.
func pollsBriefly(view *member.View) bool {
	others := 0
	for i := range view.Peers {
		p := &view.Peers[i]
		unasked := p.State == member.Silent && p.MissedHeartbeats == 0
		tells := p.State == member.Live && p.MissedHeartbeats == 0 && p.PollsBriefly
		if p.ID < view.Self.ID && (unasked || tells) {
			others++
		}
	}
	return others < shortPollers
}

// feedWait returns how long the next poll of a table waits for changes.
func (d *Daemon) feedWait() time.Duration {
	if pollsBriefly(d.members.View()) {
		return shortPoll
	}
	return platform.FeedWait
}

// fillStoreStatus adds to a heartbeat what this VM knows of the store.
func (d *Daemon) fillStoreStatus(p *member.Peer) {
	p.StoreEra, p.KnownSinceEra, p.StoreSilenceEnd = d.store.Era(), d.knownSinceEra.Load(), d.store.SilenceEnd()
	p.OperatorsVersion, p.ListVersion, p.FleetVersion = d.operators.newestChange(), d.list.newestChange(), d.fleetRows.newestChange()
	p.Share = d.fleet.report()
	p.OutdatedTargets = d.targets.Outdated(maxReportedOutdated)
	p.PollsBriefly = pollsBriefly(d.members.View())
	for _, t := range d.tables() {
		p.PollsBriefly = p.PollsBriefly && t.polledWithin(maxPollAge, d.clock.Now())
	}
}

// peerShare returns what this VM knows of another one's part of the bounds that all VMs share.
func (d *Daemon) peerShare(id string) share.Peer {
	view := d.members.View()
	i, ok := slices.BinarySearchFunc(view.Peers, id, func(p member.Peer, id string) int { return strings.Compare(p.ID, id) })
	if !ok {
		return share.Peer{}
	}
	p := &view.Peers[i]
	return share.Peer{Report: p.Share, Answered: p.Incarnation != "", Dead: p.State == member.Gone}
}

// registrationsAreCurrent reports whether this VM knows that it has read the latest registrations of VMs: the store
// has just said so, to it or to a VM whose polls are short.
func (d *Daemon) registrationsAreCurrent() bool {
	now := d.clock.Now()
	if d.fleetRows.polledWithin(maxPollAge, now) {
		return true
	}
	view := d.members.View()
	for i := range view.Peers {
		p := &view.Peers[i]
		if p.State == member.Live && p.PollsBriefly && now.Sub(p.StateProbedAt) < maxPollAge+maxProbePeriod && !d.fleetRows.lagsBehind(p.FleetVersion) {
			return true
		}
	}
	return false
}
