package edge

import (
	"cmp"
	"context"
	"errors"
	"fmt"
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
	"crocusramp.dev/crocusramp/platform"
)

const (
	// quarantineTime is how long a request is kept back that crashes targets, before it is tried
	// once: longer than a target is cold after its start. Each trial prolongs it quarantineBackoff
	// times.
	quarantineTime    = 10 * time.Second
	quarantineBackoff = 6
	// suspectMemory is how long a request is remembered after its last death or trial.
	suspectMemory = time.Hour
	// maxTrials is how often it is tried. The platform allows three retries after the third target
	// has ended, from all VMs and processes together.
	maxTrials = 2
	// maxSuspects bounds the requests that were running when targets died, maxAnswered those that
	// targets answered lately: some tens of seconds of a VM's requests.
	maxSuspects = 256
	maxAnswered = 4096
	// maxReportedSuspects bounds how many suspects a heartbeat's answer reports, those of the most
	// deaths first, and reportedAge the age of a death that is the only one: several times the
	// longest time between two heartbeats.
	maxReportedSuspects = 16
	reportedAge         = 10 * time.Second
	// maxSuspectRows bounds the rows of suspects in the store.
	maxSuspectRows = 64
	// keepPeriod is how often it is looked which suspects the store lacks, and witnessDelay how long
	// the VMs leave it to the one that saw the latest death.
	keepPeriod   = 500 * time.Millisecond
	witnessDelay = 2 * time.Second
	// tryTimeout bounds a trial's write to the store, and askPause the number of these writes.
	tryTimeout = time.Second
	askPause   = time.Second

	suspectPrefix = "suspect-"
)

// suspectStore is the part of the platform's store that suspects use.
type suspectStore interface {
	Transact(ctx context.Context, t platform.Transaction) (int64, error)
}

// suspects keeps the requests that crash targets known to all VMs: at once by reports, to those
// that were not reached by heartbeats, and beyond the processes by a row for each request with which
// several targets died. It implements ingress.Suspects.
type suspects struct {
	list    *quarantine.List
	reports *deathreport.Service
	store   suspectStore
	clock   clock.Clock
	log     zerolog.Logger
	// first reports whether this VM is the one that removes rows of requests that are forgotten.
	first func() bool
	// witnessed wakes keep after a death that this VM saw.
	witnessed chan struct{}

	mu   sync.Mutex
	rows map[string]*suspectRow // by key
	// since is when each suspect first had to have a row that it lacks.
	since map[string]clock.Time
	own   map[string]bool // suspects of whose deaths this VM saw one
	// asked is when a trial of each suspect was last asked for.
	asked map[string]clock.Time
	// heard is when the heartbeat of each VM was sent that was taken in last. The balancing
	// goroutine owns it.
	heard map[string]clock.Time
	// reported is what heartbeats tell.
	reported atomic.Pointer[[]quarantine.Case]
}

// suspectRow is a suspect's row as this VM knows it.
type suspectRow struct {
	quarantine.Case
	version int64
	// since is when this VM read this version of it.
	since clock.Time
	// acquitted says that the row is to be removed.
	acquitted bool
}

func newSuspects(d *Daemon) *suspects {
	return &suspects{
		list: d.quarantine, store: d.store, clock: d.clock, log: d.log, first: d.fleet.first,
		reports:   deathreport.New(deathreport.Config{List: d.quarantine, Members: d.members, Peers: d.dialer, Log: d.log}),
		witnessed: make(chan struct{}, 1), rows: map[string]*suspectRow{}, since: map[string]clock.Time{}, own: map[string]bool{},
		asked: map[string]clock.Time{}, heard: map[string]clock.Time{},
	}
}

func suspectKey(f quarantine.Fingerprint) string { return suspectPrefix + f.String() }

// suspectRowOf is a case in the fleet's table.
func suspectRowOf(c quarantine.Case) platform.Row {
	value, err := proto.Marshal(codec.Encode(c))
	if err != nil {
		panic(fmt.Sprintf("edge: encode suspect: %v", err))
	}
	return platform.Row{Table: fleetTable, Key: suspectKey(c.Fingerprint), Value: value}
}

// apply takes in a change of the fleet's table. It reports whether the row is a suspect's.
func (s *suspects) apply(change platform.Change) bool {
	if !strings.HasPrefix(change.Key, suspectPrefix) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.rows[change.Key]
	if change.Removed {
		delete(s.rows, change.Key)
		if old != nil {
			s.list.Answered(old.Fingerprint)
			s.log.Info().Str("fingerprint", old.String()).Int64("row", change.Version).Msg("request is not suspect any more")
		}
		return true
	}
	s.adopt(change.Row)
	return true
}

// adopt takes in a row. The caller holds mu.
func (s *suspects) adopt(row platform.Row) {
	var kept peerpb.Suspect
	err := proto.Unmarshal(row.Value, &kept)
	c, decodeErr := codec.Decode(&kept)
	if err != nil || decodeErr != nil || suspectKey(c.Fingerprint) != row.Key {
		s.log.Warn().Err(errors.Join(err, decodeErr)).Str("row", row.Key).Msg("a suspect's row is passed over")
		return
	}
	next := &suspectRow{Case: c, version: row.Version, since: s.clock.Now()}
	if old := s.rows[row.Key]; old != nil {
		if old.version > row.Version {
			return
		}
		next.acquitted = old.acquitted
	}
	s.rows[row.Key] = next
	s.list.Restore(next.Case)
	now, _ := s.list.Find(next.Fingerprint)
	s.log.Warn().Str("fingerprint", next.String()).Bool("kept_back", now.KeptBack()).Int("trials", next.Trials).Int64("row", row.Version).
		Strs("targets", targetsOf(next.Case)).Msg("request is suspect on all VMs")
}

// targetsOf lists the targets that died with a request.
func targetsOf(c quarantine.Case) []string {
	var out []string
	for _, d := range c.Deaths {
		out = append(out, d.Target)
	}
	return out
}

// Report implements ingress.Suspects.
func (s *suspects) Report(f quarantine.Fingerprint, d quarantine.Death) bool {
	suspect := s.reports.Report(f, d)
	c, ok := s.list.Find(f)
	if !ok || !c.Known() {
		return suspect
	}
	s.mu.Lock()
	s.own[suspectKey(f)] = true
	s.mu.Unlock()
	if c.KeptBack() { // the others, mostly innocent, are soon answered
		s.wake()
	}
	return suspect
}

// wake makes keep look at once.
func (s *suspects) wake() {
	select {
	case s.witnessed <- struct{}{}:
	default:
	}
}

// Try implements ingress.Suspects. The row in the store decides among the VMs: a trial is the one
// whose write finds the row as this VM knows it.
func (s *suspects) Try(ctx context.Context, f quarantine.Fingerprint) bool {
	c, ok := s.list.Find(f)
	if !ok {
		return false
	}
	key, now := suspectKey(f), s.clock.Now()
	s.mu.Lock()
	version := int64(0)
	if row := s.rows[key]; row != nil {
		version, c.Trials = row.version, max(c.Trials, row.Trials)
	}
	at, asked := s.asked[key]
	ask := c.Trials < maxTrials && (!asked || now.Sub(at) >= askPause)
	if ask {
		s.asked[key] = now
	}
	s.mu.Unlock()
	if !ask {
		return false
	}
	c.Trials++
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	err := s.write(ctx, c, version)
	s.log.Info().Err(err).Stringer("fingerprint", f).Int("trial", c.Trials).Bool("granted", err == nil).Msg("a trial is asked for")
	return err == nil
}

// write writes a case's row where the row still has a version.
func (s *suspects) write(ctx context.Context, c quarantine.Case, version int64) error {
	row := suspectRowOf(c)
	expected := platform.Row{Table: fleetTable, Key: row.Key, Version: version}
	now, err := s.store.Transact(ctx, platform.Transaction{Expect: []platform.Row{expected}, Writes: []platform.Row{row}})
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		row.Version = now
		s.adopt(row)
	case errors.As(err, &conflict):
		for _, current := range conflict.Current {
			if current.Key == row.Key && !current.Removed && current.Value != nil {
				s.adopt(current)
			}
		}
	}
	return err
}

// Acquit implements ingress.Suspects.
func (s *suspects) Acquit(f quarantine.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if row := s.rows[suspectKey(f)]; row != nil {
		row.acquitted = true
		s.wake()
	}
}

// exchange takes in what the other VMs' heartbeats told, and renews what this VM's tell.
func (s *suspects) exchange(view *member.View) {
	s.hear(view)
	cases := s.list.Cases(reportedAge)
	slices.SortStableFunc(cases, func(a, b quarantine.Case) int { return cmp.Compare(len(b.Deaths), len(a.Deaths)) })
	cases = cases[:min(len(cases), maxReportedSuspects)]
	s.reported.Store(&cases)
}

// hear takes in what the other VMs' heartbeats told.
func (s *suspects) hear(view *member.View) {
	for i := range view.Peers {
		p := &view.Peers[i]
		if len(p.Suspects) == 0 || s.heard[p.ID] == p.Seen {
			continue
		}
		s.heard[p.ID] = p.Seen
		for _, c := range p.Suspects {
			s.reports.TakeIn(c, p.ID)
		}
	}
}

// keep makes the rows in the store those of the cases that all VMs must know, until ctx ends.
func (s *suspects) keep(ctx context.Context) {
	ticker := time.NewTicker(keepPeriod)
	defer ticker.Stop()
	for {
		for _, c := range s.missing() {
			if err := s.write(ctx, c.Case, c.version); err != nil {
				s.log.Warn().Err(err).Str("fingerprint", c.String()).Msg("a suspect was not written to the store")
			}
		}
		s.removeRows(ctx)
		select {
		case <-ticker.C:
		case <-s.witnessed:
		case <-ctx.Done():
			return
		}
	}
}

// behind reports whether the row lacks what this VM knows of the case.
func (r *suspectRow) behind(c *quarantine.Case) bool {
	return len(c.Deaths) > len(r.Deaths) || (c.Convicted && !r.Convicted)
}

// missing returns the cases that this VM is to write, each with the version of the row that it
// takes the place of.
func (s *suspects) missing() (out []suspectRow) {
	cases := s.list.Cases(0)
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	since := map[string]clock.Time{}
	for _, c := range cases {
		key := suspectKey(c.Fingerprint)
		row := s.rows[key]
		if row != nil && !row.behind(&c) {
			continue
		}
		since[key] = now
		if at, ok := s.since[key]; ok {
			since[key] = at
		}
		if !s.own[key] && now.Sub(since[key]) < witnessDelay {
			continue
		}
		switch {
		case row != nil:
			out = append(out, suspectRow{Case: c, version: row.version})
		case len(s.rows)+len(out) < maxSuspectRows:
			out = append(out, suspectRow{Case: c})
		}
	}
	s.since = since
	if len(cases) == 0 {
		clear(s.own)
		clear(s.asked)
	}
	return out
}

// removeRows removes the rows of requests that a target has answered, and on one VM those whose
// time is over. A request that this VM has forgotten sooner, among many others, it learns anew.
func (s *suspects) removeRows(ctx context.Context) {
	first, now := s.first(), s.clock.Now()
	s.mu.Lock()
	var t platform.Transaction
	for key, row := range s.rows {
		over := now.Sub(row.since) > suspectMemory
		if _, known := s.list.Find(row.Fingerprint); !known && !over && !row.acquitted {
			s.list.Restore(row.Case)
		}
		if row.acquitted || (over && first) {
			t.Expect = append(t.Expect, platform.Row{Table: fleetTable, Key: key, Version: row.version})
			t.Remove = append(t.Remove, platform.Row{Table: fleetTable, Key: key})
		}
	}
	s.mu.Unlock()
	if len(t.Remove) == 0 {
		return
	}
	if _, err := s.store.Transact(ctx, t); err != nil {
		s.log.Warn().Err(err).Int("rows", len(t.Remove)).Msg("removing the rows of suspects failed")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range t.Remove {
		delete(s.rows, r.Key)
	}
}
