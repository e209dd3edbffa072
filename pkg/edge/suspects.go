package edge

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	peerpb "crocusramp.dev/crocusramp/api/peer/v1"
	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/deathreport"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/quarantine"
	"crocusramp.dev/crocusramp/pkg/quarantine/codec"
	"crocusramp.dev/crocusramp/pkg/storage"
	"crocusramp.dev/crocusramp/platform"
)

const (
	// quarantineTime is how long a request that crashes targets is blocked before one trial: longer
	// than a target is cold after its start. Each trial multiplies the time by quarantineBackoff.
	quarantineTime    = 10 * time.Second
	quarantineBackoff = 6
	// suspectRetention is how long a suspect is kept after its last target death or trial.
	suspectRetention = time.Hour
	// maxTrials is the most trials of a request. The platform allows three retries after the third
	// target has died, from all VMs and processes together.
	maxTrials = 2
	// maxSuspects bounds the tracked requests that were running when targets died. maxAnswered
	// bounds the tracked requests that targets answered recently: some tens of seconds of a VM's
	// requests.
	maxSuspects = 256
	maxAnswered = 4096
	// maxReportedSuspects is the most suspects that a heartbeat response reports, those with the most
	// deaths first. A suspect with a single death is only reported up to maxReportedAge after it:
	// several times the longest time between two heartbeats.
	maxReportedSuspects = 16
	maxReportedAge      = 10 * time.Second
	// maxSuspectRows bounds the rows of suspects in the store.
	maxSuspectRows = 64
	// rowSyncPeriod is how often the suspects are compared with their rows in the store. A VM that
	// saw one of a suspect's deaths itself writes a missing or outdated row in its next pass. The
	// other VMs wait for witnessDelay first, and each for witnessStep longer than the live VM with
	// the next lower ID, up to maxWitnessDelay: a VM that saw the death may be killed before it
	// has written the row.
	rowSyncPeriod   = 500 * time.Millisecond
	witnessDelay    = 500 * time.Millisecond
	witnessStep     = 250 * time.Millisecond
	maxWitnessDelay = 2 * time.Second
	// trialTimeout bounds a trial's write to the store. trialAskInterval is the least time between two
	// such writes for a suspect.
	trialTimeout     = time.Second
	trialAskInterval = time.Second
	// restoreTrialHold is how long after a restore of the store no trials are asked for. By then the
	// trials of the lost seconds are known from heartbeats and rows that are written again.
	restoreTrialHold = 6 * time.Second

	suspectPrefix = "suspect-"
)

// suspectStore is the part of the platform's store that suspects use.
type suspectStore interface {
	Transact(ctx context.Context, t platform.Transaction) (storage.Version, error)
}

// suspects shares the requests that crash targets among all VMs: by immediate reports, by heartbeats
// for VMs that a report did not reach, and by rows in the store, which outlive the processes. A request
// gets a row if it ran on several targets when they died. It implements ingress.Suspects.
type suspects struct {
	list    *quarantine.List
	reports *deathreport.Service
	members member.Source
	store   suspectStore
	clock   clock.Clock
	log     zerolog.Logger
	// isCoordinator reports whether this VM is the one that removes expired rows.
	isCoordinator func() bool
	// wakeups triggers an immediate pass of syncRows.
	wakeups chan struct{}

	mu   sync.Mutex
	rows map[string]*suspectRow // by key
	// missingSince is when this VM first found a suspect's row missing or outdated, by key.
	missingSince map[string]clock.Time
	// sawDeath holds the suspects with a death that this VM saw itself, by key.
	sawDeath map[string]quarantine.Fingerprint
	// trialAskedAt is when this VM last asked for a trial of each suspect, by key.
	trialAskedAt map[string]clock.Time
	// trialsFrom is when trials may be asked for again after a restore of the store; 0 if it was not
	// restored.
	trialsFrom clock.Time
	// lastHeartbeat is when the last applied heartbeat of each VM was sent, by VM ID. Only the
	// balance goroutine uses it.
	lastHeartbeat map[string]clock.Time
	// reportedCases holds the suspects that this VM's heartbeats report.
	reportedCases atomic.Pointer[[]quarantine.Case]
}

// suspectRow is this VM's copy of a suspect's row in the store.
type suspectRow struct {
	quarantine.Case
	version storage.Version
	// readAt is when this VM read this version of the row.
	readAt clock.Time
	// cleared is set when a target has answered the request, so the row must be removed.
	cleared bool
}

func newSuspects(d *Daemon) *suspects {
	return &suspects{
		list: d.quarantine, members: d.members, store: d.store, clock: d.clock, log: d.log, isCoordinator: d.fleet.isCoordinator,
		reports: deathreport.New(deathreport.Config{List: d.quarantine, Members: d.members, PeerDialer: d.dialer, Log: d.log}),
		wakeups: make(chan struct{}, 1), rows: map[string]*suspectRow{}, missingSince: map[string]clock.Time{}, sawDeath: map[string]quarantine.Fingerprint{},
		trialAskedAt: map[string]clock.Time{}, lastHeartbeat: map[string]clock.Time{},
	}
}

func suspectKey(f quarantine.Fingerprint) string { return suspectPrefix + f.String() }

// encodeSuspectRow encodes a case as a row of the fleet's table.
func encodeSuspectRow(c quarantine.Case) platform.Row {
	value, err := proto.Marshal(codec.Encode(c))
	if err != nil {
		panic(fmt.Sprintf("edge: encode suspect: %v", err))
	}
	return platform.Row{Table: fleetTable, Key: suspectKey(c.Fingerprint), Value: value}
}

// beginEra is called after a restore of the store, before its rows are applied.
func (s *suspects) beginEra() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trialsFrom = s.clock.Now().Add(restoreTrialHold)
	s.wake() // rows that could not be written before the restore
}

// apply applies a change of the fleet's table. It reports whether the row is a suspect's. restored
// is true for the rows of a store that was restored from a copy: a row that it lacks was lost rather
// than removed, and a row that it has may have been removed before.
func (s *suspects) apply(change platform.Change, restored bool) bool {
	if !strings.HasPrefix(change.Key, suspectPrefix) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.rows[change.Key]
	if change.Removed {
		delete(s.rows, change.Key)
		if old != nil && restored { // no VM need wait for one that saw the deaths
			s.missingSince[change.Key] = s.clock.Now().Add(-witnessDelay)
			s.wake()
		}
		if old != nil && !restored {
			s.list.RecordAnswer(old.Fingerprint)
			s.log.Info().Str("fingerprint", old.String()).Stringer("row", change.Version).Msg("request is no longer suspect")
		}
		return true
	}
	s.applyRow(change.Row)
	if row := s.rows[change.Key]; restored && row != nil {
		_, suspect := s.list.Find(row.Fingerprint)
		row.cleared = row.cleared || !suspect
	}
	return true
}

// applyRow stores a row unless a newer version is known, and restores its case in the list. The
// caller holds mu.
func (s *suspects) applyRow(row platform.Row) {
	var encoded peerpb.Suspect
	err := proto.Unmarshal(row.Value, &encoded)
	c, decodeErr := codec.Decode(&encoded)
	if err != nil || decodeErr != nil || suspectKey(c.Fingerprint) != row.Key {
		s.log.Warn().Err(errors.Join(err, decodeErr)).Str("row", row.Key).Msg("ignoring an invalid row of a suspect request")
		return
	}
	next := &suspectRow{Case: c, version: row.Version, readAt: s.clock.Now()}
	if old := s.rows[row.Key]; old != nil {
		if row.Version.Before(old.version) {
			return
		}
		next.cleared = old.cleared
	}
	s.rows[row.Key] = next
	s.list.Restore(next.Case)
	current, _ := s.list.Find(next.Fingerprint)
	s.log.Warn().Str("fingerprint", next.String()).Bool("kept_back", current.Restricted()).Int("trials", next.Trials).Stringer("row", row.Version).
		Strs("targets", targetsOf(next.Case)).Msg("suspect request is recorded in the store for all VMs")
}

// targetsOf returns the targets that died while they ran a request.
func targetsOf(c quarantine.Case) []string {
	var out []string
	for _, d := range c.Deaths {
		out = append(out, d.Target)
	}
	return out
}

// Report implements ingress.Suspects. If the request is now restricted, its row is written to the store
// at once.
func (s *suspects) Report(f quarantine.Fingerprint, d quarantine.Death) bool {
	suspect := s.reports.Report(f, d)
	c, ok := s.list.Find(f)
	if !ok {
		return suspect
	}
	// Also after a first death: another VM may report the second one.
	s.mu.Lock()
	s.sawDeath[suspectKey(f)] = f
	s.mu.Unlock()
	if c.Restricted() { // most other suspects are soon answered, so their rows can wait
		s.wake()
	}
	return suspect
}

// wake triggers an immediate pass of syncRows.
func (s *suspects) wake() {
	select {
	case s.wakeups <- struct{}{}:
	default:
	}
}

// Try implements ingress.Suspects. The VMs compete for a trial by a conditional write of the row: the
// trial is granted to the VM whose write finds the row at the version that the VM has recorded.
func (s *suspects) Try(ctx context.Context, f quarantine.Fingerprint) bool {
	c, ok := s.list.Find(f)
	if !ok {
		return false
	}
	key, now := suspectKey(f), s.clock.Now()
	s.mu.Lock()
	var version storage.Version
	if row := s.rows[key]; row != nil {
		version, c.Trials = row.version, max(c.Trials, row.Trials)
	}
	askedAt, asked := s.trialAskedAt[key]
	ask := c.Trials < maxTrials && now >= s.trialsFrom && (!asked || now.Sub(askedAt) >= trialAskInterval)
	if ask {
		s.trialAskedAt[key] = now
	}
	s.mu.Unlock()
	if !ask {
		return false
	}
	c.Trials++
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	err := s.writeRow(ctx, c, version)
	s.log.Info().Err(err).Stringer("fingerprint", f).Int("trial", c.Trials).Bool("granted", err == nil).Msg("asked for a trial of a suspect request")
	return err == nil
}

// writeRow writes a case's row if the row still has the given version (zero if there must be none). After
// a conflict it applies the current row.
func (s *suspects) writeRow(ctx context.Context, c quarantine.Case, version storage.Version) error {
	row := encodeSuspectRow(c)
	expected := platform.Row{Table: fleetTable, Key: row.Key, Version: version}
	newVersion, err := s.store.Transact(ctx, platform.Transaction{Expect: []platform.Row{expected}, Writes: []platform.Row{row}})
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		row.Version = newVersion
		s.applyRow(row)
	case errors.As(err, &conflict):
		for _, current := range conflict.Current {
			if current.Key == row.Key && !current.Removed && current.Value != nil {
				s.applyRow(current)
			}
		}
	}
	return err
}

// Clear implements ingress.Suspects. It marks the request's row for removal.
func (s *suspects) Clear(f quarantine.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if row := s.rows[suspectKey(f)]; row != nil {
		row.cleared = true
		s.wake()
	}
}

// exchangeReports applies the suspects that other VMs' heartbeats reported, and updates those that this
// VM's heartbeats report.
func (s *suspects) exchangeReports(view *member.View) {
	s.applyReported(view)
	cases := s.list.Cases(maxReportedAge)
	slices.SortStableFunc(cases, func(a, b quarantine.Case) int { return cmp.Compare(len(b.Deaths), len(a.Deaths)) })
	cases = cases[:min(len(cases), maxReportedSuspects)]
	s.reportedCases.Store(&cases)
}

// applyReported applies the suspects in other VMs' heartbeats, each heartbeat once.
func (s *suspects) applyReported(view *member.View) {
	for i := range view.Peers {
		p := &view.Peers[i]
		if len(p.Suspects) == 0 || s.lastHeartbeat[p.ID] == p.StateProbedAt {
			continue
		}
		s.lastHeartbeat[p.ID] = p.StateProbedAt
		for _, c := range p.Suspects {
			s.reports.Merge(c, p.ID)
		}
	}
}

// syncRows writes missing and outdated rows of suspects to the store and removes those that are no
// longer needed. It runs every rowSyncPeriod and after wake, until ctx ends.
func (s *suspects) syncRows(ctx context.Context) {
	ticker := time.NewTicker(rowSyncPeriod)
	defer ticker.Stop()
	for {
		for _, c := range s.missingRows() {
			if err := s.writeRow(ctx, c.Case, c.version); err != nil {
				s.log.Warn().Err(err).Str("fingerprint", c.String()).Msg("failed to write the row of a suspect request")
			}
		}
		s.removeRows(ctx)
		select {
		case <-ticker.C:
		case <-s.wakeups:
		case <-ctx.Done():
			return
		}
	}
}

// isOutdated reports whether the row lacks a death that this VM has recorded, or does not mark the
// case as confirmed although it is.
func (r *suspectRow) isOutdated(c *quarantine.Case) bool {
	return len(c.Deaths) > len(r.Deaths) || (c.Confirmed && !r.Confirmed)
}

// lacksTrials reports whether the row lacks trials that this VM has recorded, as after a restore of
// the store.
func (r *suspectRow) lacksTrials(c *quarantine.Case) bool { return c.Trials > r.Trials }

// witnessWait returns how long a row must be missing before this VM writes it although it saw none of
// the suspect's deaths.
func (s *suspects) witnessWait() time.Duration {
	return min(witnessDelay+time.Duration(liveRank(s.members.View()))*witnessStep, maxWitnessDelay)
}

// missingRows returns the cases whose rows this VM must write now, each with the version of the row
// that it replaces.
func (s *suspects) missingRows() (out []suspectRow) {
	cases := s.list.Cases(0)
	now, wait := s.clock.Now(), s.witnessWait()
	s.mu.Lock()
	defer s.mu.Unlock()
	since := map[string]clock.Time{}
	for _, c := range cases {
		key := suspectKey(c.Fingerprint)
		row := s.rows[key]
		if row != nil && !row.isOutdated(&c) && !(s.trialsFrom != 0 && row.lacksTrials(&c)) {
			continue
		}
		since[key] = now
		if at, ok := s.missingSince[key]; ok {
			since[key] = at
		}
		if _, saw := s.sawDeath[key]; !saw && now.Sub(since[key]) < wait {
			continue
		}
		switch {
		case row != nil:
			out = append(out, suspectRow{Case: c, version: row.version})
		case len(s.rows)+len(out) < maxSuspectRows:
			out = append(out, suspectRow{Case: c})
		}
	}
	s.missingSince = since
	maps.DeleteFunc(s.sawDeath, func(_ string, f quarantine.Fingerprint) bool {
		_, suspect := s.list.Find(f)
		return !suspect
	})
	if len(cases) == 0 {
		clear(s.trialAskedAt)
	}
	return out
}

// removeRows removes the rows of requests that a target has answered and, on the coordinator, rows
// that have not changed for suspectRetention, at most maxRowRemovals. If the list has dropped a case
// that still has a row, because it holds a limited number of suspects, removeRows restores the case.
func (s *suspects) removeRows(ctx context.Context) {
	coordinator, now := s.isCoordinator(), s.clock.Now()
	s.mu.Lock()
	var t platform.Transaction
	for key, row := range s.rows {
		expired := now.Sub(row.readAt) > suspectRetention
		if _, known := s.list.Find(row.Fingerprint); !known && !expired && !row.cleared {
			s.list.Restore(row.Case)
		}
		if (row.cleared || (expired && coordinator)) && len(t.Remove) < maxRowRemovals {
			t.Expect = append(t.Expect, platform.Row{Table: fleetTable, Key: key, Version: row.version})
			t.Remove = append(t.Remove, platform.Row{Table: fleetTable, Key: key})
		}
	}
	s.mu.Unlock()
	if len(t.Remove) == 0 {
		return
	}
	if _, err := s.store.Transact(ctx, t); err != nil {
		s.log.Warn().Err(err).Int("rows", len(t.Remove)).Msg("failed to remove the rows of suspect requests")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range t.Remove {
		delete(s.rows, r.Key)
	}
}
