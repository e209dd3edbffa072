package member

import (
	"slices"
	"strings"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/storage"
)

const (
	// silentAfter is the number of unanswered heartbeats that make a peer Silent.
	silentAfter = 3
	// goneAfter is the number of refused connections in a row that prove a
	// peer's death. One more than needed, against a listener that is just
	// being set up.
	goneAfter = 2
)

// ProbeResult is how a heartbeat ended.
type ProbeResult uint8

const (
	// ProbeAnswered means that the peer named its incarnation.
	ProbeAnswered ProbeResult = iota
	// ProbeRefused means that no process listens on the peer's port.
	ProbeRefused
	// ProbeFailed is every other failure; it says nothing about the peer.
	ProbeFailed
)

// Probe is the result of one heartbeat to the VM with the given ID.
type Probe struct {
	ID     string
	Result ProbeResult
	// Sent is when the heartbeat was sent.
	Sent clock.Time
	// Peer is what the peer said of itself, where it answered.
	Peer Peer
}

type entry struct {
	peer     Peer
	refused  int
	failed   int
	listed   storage.VMState
	probedAt clock.Time
}

// roster folds lists and heartbeats into views. It has no clock and no I/O.
type roster struct {
	self     Peer
	entries  map[string]*entry
	complete bool
	listed   clock.Time
}

func newRoster(self Peer) *roster {
	return &roster{self: self, entries: map[string]*entry{}}
}

// applyList takes over the platform's list, read at started.
func (r *roster) applyList(vms []storage.VM, started clock.Time) {
	r.complete, r.listed = true, started
	present := map[string]bool{}
	for _, vm := range vms {
		if vm.ID == r.self.ID {
			continue
		}
		present[vm.ID] = true
		e := r.entries[vm.ID]
		if e == nil {
			e = &entry{peer: Peer{ID: vm.ID, State: Silent}}
			r.entries[vm.ID] = e
		}
		e.peer.PeerAddress = vm.PeerAddress
		e.listed = vm.State
		if vm.State == storage.VMLeaving && e.peer.State == Live {
			e.peer.State = Leaving
		}
	}
	for id := range r.entries {
		if !present[id] {
			delete(r.entries, id)
		}
	}
}

// applyProbe takes over the result of a heartbeat. Results that were overtaken
// by a later heartbeat are ignored.
func (r *roster) applyProbe(p Probe) {
	e := r.entries[p.ID]
	if e == nil || p.Sent < e.probedAt {
		return
	}
	e.probedAt = p.Sent
	switch p.Result {
	case ProbeAnswered:
		e.answered(p)
	case ProbeRefused:
		e.failed = 0
		e.refused++
		e.peer.Missed++
		if e.refused >= goneAfter {
			e.peer.State, e.peer.Seen = Gone, p.Sent
		}
	case ProbeFailed:
		e.refused = 0
		e.failed++
		e.peer.Missed++
		if e.failed >= silentAfter && e.peer.State != Gone {
			e.peer.State, e.peer.Seen = Silent, p.Sent
		}
	}
}

func (e *entry) answered(p Probe) {
	address := e.peer.PeerAddress
	e.refused, e.failed = 0, 0
	e.peer = p.Peer
	e.peer.ID, e.peer.PeerAddress, e.peer.Seen = p.ID, address, p.Sent
	if e.listed == storage.VMLeaving && e.peer.State == Live {
		e.peer.State = Leaving
	}
}

// view returns the present picture.
func (r *roster) view() *View {
	v := &View{Self: r.self, Complete: r.complete, Listed: r.listed}
	for _, e := range r.entries {
		v.Peers = append(v.Peers, e.peer)
	}
	slices.SortFunc(v.Peers, func(a, b Peer) int { return strings.Compare(a.ID, b.ID) })
	return v
}
