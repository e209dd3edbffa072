// Package member keeps the view that a VM has of its peers.
package member

import (
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/quarantine"
)

// State is what a VM knows of a peer.
type State uint8

const (
	// Live peers answer heartbeats and take work.
	Live State = iota
	// Leaving peers finish what they have and take no new work.
	Leaving
	// Silent peers do not answer; they may be frozen, cut off or dead.
	Silent
	// Gone peers are known to be dead: their port refused a connection, or
	// the platform removed them from its list. Silence is never proof of it.
	Gone
)

// String returns the state's name in the operators' API.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Leaving:
		return "leaving"
	case Silent:
		return "silent"
	default:
		return "gone"
	}
}

// Peer is one incarnation of the daemon on one VM.
type Peer struct {
	ID            string
	Incarnation   string
	Region        string
	FailureDomain string
	// PeerAddress is the host:port of its peer protocol.
	PeerAddress string
	// CallerAddress is the host:port that callers use.
	CallerAddress string
	State         State
	// ConfigVersion is the configuration in force there at the last heartbeat.
	ConfigVersion int64
	// ListVersion is the version of the newest change of the list of targets that it
	// knew then.
	ListVersion int64
	// FreePermits is its count of free permits at the last heartbeat.
	FreePermits int
	// SlotsHeld is its number of slots at the last heartbeat.
	SlotsHeld int
	// Pools is its part of each pool at the last heartbeat.
	Pools []PoolLoad
	// Limits are those that it had observed by then.
	Limits []TargetLimit
	// Suspects are the requests with which, as it knew then, targets died lately, or several. Their deaths'
	// ages are as of then.
	Suspects []quarantine.Case
	// Seen is when the last heartbeat that settled State was sent.
	Seen clock.Time
	// Missed is how many heartbeats in a row it did not answer.
	Missed int
}

// PoolLoad is a VM's part of a pool of targets in its own region.
type PoolLoad struct {
	Pool string
	// Permits is how many requests the VM may run at once.
	Permits int
	Running int
	Queued  int
	// Demand is how many slots the requests of its callers need, wherever they
	// run.
	Demand float64
	// BoundTo is the only region where those requests may run; empty means that they
	// may run anywhere.
	BoundTo string
}

// TargetLimit is a limit on the requests that a target takes from all VMs together, as a VM
// observed it.
type TargetLimit struct {
	Target string
	// Born is the Unix millisecond of the target's start; 0 is unknown.
	Born int64
	// Named is false where the target names no limit any more.
	Named bool
	// Rate is in requests a second.
	Rate float64
	// Earliest and Latest bound when the VM did.
	Earliest, Latest time.Time
}

// View is an immutable picture of the fleet. Readers never change it.
type View struct {
	Self Peer
	// Peers holds the other VMs in order of ID.
	Peers []Peer
	// Complete reports that the platform's list was read at least once.
	Complete bool
	// Listed is when the last successful read of the platform's list began.
	Listed clock.Time
}

// Gone reports whether the incarnation is known to be dead.
func (v *View) Gone(incarnation string) bool {
	for i := range v.Peers {
		if v.Peers[i].Incarnation == incarnation {
			return v.Peers[i].State == Gone
		}
	}
	return false
}

// Dead reports whether there is proof, gathered after since, that the given
// incarnation of a VM has ended: its port refused connections, another
// incarnation answered there, or the platform's list no longer has the VM.
//
// Proof older than the caller's own knowledge of the incarnation says nothing:
// the incarnation may have started between the two.
func (v *View) Dead(id, incarnation string, since clock.Time) bool {
	if id == v.Self.ID {
		return incarnation != v.Self.Incarnation
	}
	for i := range v.Peers {
		p := &v.Peers[i]
		if p.ID != id {
			continue
		}
		if p.Seen <= since {
			return false
		}
		return p.State == Gone || (p.State != Silent && p.Incarnation != incarnation)
	}
	return v.Complete && v.Listed > since
}

// Source publishes views. View never returns nil and costs one atomic load.
type Source interface {
	View() *View
}
