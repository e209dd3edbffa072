// Package member keeps the view that a VM has of its peers.
package member

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
	// FreePermits is its count of free permits at the last heartbeat.
	FreePermits int
}

// View is an immutable picture of the fleet. Readers never change it.
type View struct {
	Self Peer
	// Peers holds the other VMs in order of ID.
	Peers []Peer
	// Complete reports that the platform's list was read at least once.
	Complete bool
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

// Source publishes views. View never returns nil and costs one atomic load.
type Source interface {
	View() *View
}
