package member

import (
	"slices"
	"strings"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/storage"
)

const (
	// silentAfter is the number of consecutive unanswered heartbeats that make a peer Silent.
	silentAfter = 3
	// goneAfter is the number of consecutive refused connections that prove a peer's
	// death. One would be enough, but the peer's listener may be just starting.
	goneAfter = 2
)

// ProbeResult is the outcome of a heartbeat.
type ProbeResult uint8

const (
	// ProbeAnswered means that the peer responded with its state.
	ProbeAnswered ProbeResult = iota
	// ProbeRefused means that no process listens on the peer's port.
	ProbeRefused
	// ProbeFailed is any other failure. It proves nothing about the peer.
	ProbeFailed
)

// Probe is the result of one heartbeat to the VM with the given ID.
type Probe struct {
	ID     string
	Result ProbeResult
	// Sent is when the heartbeat was sent.
	Sent clock.Time
	// Peer is the state that the peer responded with, if Result is ProbeAnswered.
	Peer Peer
}

// entry is this VM's view of one peer.
type entry struct {
	peer        Peer
	refused     int
	failed      int
	listedState storage.VMState
	probedAt    clock.Time
}

// roster combines the platform's list and heartbeat results into views. It reads no clock and
// does no I/O.
type roster struct {
	self       Peer
	entries    map[string]*entry
	complete   bool
	listReadAt clock.Time
}

func newRoster(self Peer) *roster {
	return &roster{self: self, entries: map[string]*entry{}}
}

// applyList applies the platform's list. The read of the list began at started.
func (r *roster) applyList(vms []storage.VM, started clock.Time) {
	r.complete, r.listReadAt = true, started
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
		e.listedState = vm.State
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

// applyProbe applies the result of a heartbeat. It ignores results that are older than
// the last applied one.
func (r *roster) applyProbe(p Probe) {
	e := r.entries[p.ID]
	if e == nil || p.Sent < e.probedAt {
		return
	}
	e.probedAt = p.Sent
	switch p.Result {
	case ProbeAnswered:
		e.applyResponse(p)
	case ProbeRefused:
		e.failed = 0
		e.refused++
		e.peer.MissedHeartbeats++
		if e.refused >= goneAfter {
			e.peer.State, e.peer.StateProbedAt = Gone, p.Sent
		}
	case ProbeFailed:
		e.refused = 0
		e.failed++
		e.peer.MissedHeartbeats++
		if e.failed >= silentAfter && e.peer.State != Gone {
			e.peer.State, e.peer.StateProbedAt = Silent, p.Sent
		}
	}
}

func (e *entry) applyResponse(p Probe) {
	address := e.peer.PeerAddress
	e.refused, e.failed = 0, 0
	e.peer = p.Peer
	e.peer.ID, e.peer.PeerAddress, e.peer.StateProbedAt = p.ID, address, p.Sent
	if e.listedState == storage.VMLeaving && e.peer.State == Live {
		e.peer.State = Leaving
	}
}

// view returns a snapshot with the peers sorted by ID.
func (r *roster) view() *View {
	v := &View{Self: r.self, Complete: r.complete, ListReadAt: r.listReadAt}
	for _, e := range r.entries {
		v.Peers = append(v.Peers, e.peer)
	}
	slices.SortFunc(v.Peers, func(a, b Peer) int { return strings.Compare(a.ID, b.ID) })
	return v
}
