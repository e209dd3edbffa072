// Package member maintains a VM's view of its peers by heartbeats. A heartbeat is a call (probe) of
// a peer, which responds with its state.
package member

import (
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/quarantine"
	"crocusramp.dev/crocusramp/pkg/share"
	"crocusramp.dev/crocusramp/pkg/storage"
	"crocusramp.dev/crocusramp/pkg/target"
)

// State is the state of a peer as seen by this VM.
type State uint8

const (
	// Live peers answer heartbeats and accept requests.
	Live State = iota
	// Leaving peers complete their requests and accept no new ones.
	Leaving
	// Silent peers do not answer heartbeats; they may be frozen, partitioned or dead.
	Silent
	// Gone peers are known to be dead: their port refused connections, or the
	// platform removed them from its list. Silence never proves that.
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

// Peer is one incarnation (process) of the daemon on one VM.
type Peer struct {
	ID            string
	Incarnation   string
	Region        string
	FailureDomain string
	// PeerAddress is the host:port that other VMs use.
	PeerAddress string
	// CallerAddress is the host:port that callers use.
	CallerAddress string
	State         State
	// ConfigVersion is the version of its configuration in force at the last heartbeat.
	ConfigVersion int64
	// ListVersion is the version of the newest change of the list of targets that it
	// knew of at the last heartbeat, itself or by the word of others.
	ListVersion storage.Version
	// StoreEra is the newest era of the platform's store that it knew at the last heartbeat: how often the
	// store was restored from a copy.
	StoreEra int64
	// KnownSinceEra is the era since which it had followed the store at the last heartbeat, itself or by the
	// word of others. It is 0 also for builds that do not tell, and the largest number until it has read
	// the store.
	KnownSinceEra int64
	// OperatorsVersion and FleetVersion are the same for the operators' and the fleet's table.
	OperatorsVersion, FleetVersion storage.Version
	// Share is what it told of its part of the bounds that all VMs share at the last heartbeat.
	Share share.Report
	// StoreSilenceEnd is when the store responded to it again after calls had timed out. It is zero if
	// that has not happened.
	StoreSilenceEnd time.Time
	// PollsBriefly is set if its polls of all tables were short and answered at the last heartbeat.
	PollsBriefly bool
	// CutOff is set if it reached no target itself at the last heartbeat. Without it, a peer may still
	// connect through others because it has lost its links repeatedly.
	CutOff bool
	// CarriesTunnels is set if it carried connections to targets for other VMs at the last heartbeat.
	CarriesTunnels bool
	// CarriesUntil is when a Leaving peer stops carrying new connections. It is zero for all others.
	CarriesUntil time.Time
	// FreePermits is its count of free permits at the last heartbeat.
	FreePermits int
	// SlotsHeld is its number of slots at the last heartbeat.
	SlotsHeld int
	// Pools is its load in each pool at the last heartbeat.
	Pools []PoolLoad
	// Limits are the limits of targets that it had observed at the last heartbeat.
	Limits []TargetLimit
	// OutdatedTargets is what it had read at the last heartbeat of targets whose entry in the platform's list is
	// older.
	OutdatedTargets []target.State
	// Suspects are the requests during which, as it knew at the last heartbeat, a target
	// died recently or several targets died. The ages of the deaths are as of then.
	Suspects []quarantine.Case
	// StateProbedAt is when the heartbeat that last confirmed or changed State was sent.
	StateProbedAt clock.Time
	// MissedHeartbeats is the number of consecutive heartbeats that it did not answer.
	MissedHeartbeats int
}

// Carries reports whether the peer carries new connections to targets for other VMs at now.
func (p *Peer) Carries(now time.Time) bool {
	return p.CarriesTunnels && (p.State == Live || p.State == Leaving && now.Before(p.CarriesUntil))
}

// PoolLoad is a VM's load in a pool of targets in its own region.
type PoolLoad struct {
	Pool string
	// Permits is how many requests the VM may run at once in the pool.
	Permits int
	Running int
	Queued  int
	// Demand is how many slots the requests of its callers need, in any region.
	Demand float64
	// LargeResponses is true for requests with large responses, which are counted apart.
	LargeResponses bool
	// BoundTo is the only region in which these requests may run; empty means any region.
	BoundTo string
}

// TargetLimit is a rate limit that a target announced for the requests of all VMs together, as
// one VM observed it.
type TargetLimit struct {
	Target string
	// StartedAt is when the target started, in Unix milliseconds; 0 if unknown.
	StartedAt int64
	// Limited is false if the target no longer announces a limit.
	Limited bool
	// Rate is in requests per second.
	Rate float64
	// Earliest and Latest bound the time at which the VM observed the limit.
	Earliest, Latest time.Time
}

// View is a snapshot of the fleet. It must not be modified.
type View struct {
	Self Peer
	// Peers holds the other VMs in order of ID.
	Peers []Peer
	// Complete is set once the platform's list has been read.
	Complete bool
	// ListReadAt is when the last successful read of the platform's list began.
	ListReadAt clock.Time
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

// Dead reports whether there is proof, newer than since, that the given incarnation
// of a VM has ended: its port refused connections, another incarnation answered
// there, or the platform's list no longer contains the VM.
//
// Proof that is older than the caller's information about the incarnation does not
// count, because the incarnation may have started after it.
func (v *View) Dead(id, incarnation string, since clock.Time) bool {
	if id == v.Self.ID {
		return incarnation != v.Self.Incarnation
	}
	for i := range v.Peers {
		p := &v.Peers[i]
		if p.ID != id {
			continue
		}
		if p.StateProbedAt <= since {
			return false
		}
		return p.State == Gone || (p.State != Silent && p.Incarnation != incarnation)
	}
	return v.Complete && v.ListReadAt > since
}

// Source provides views. View never returns nil and costs one atomic load.
type Source interface {
	View() *View
}
