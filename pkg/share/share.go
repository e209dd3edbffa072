// Package share decides what part of a bound that all VMs share, such as a client account's rate, one VM may
// use. All VMs use equal parts: 1 of as many as are registered. VMs read the registrations at different times, or
// not at all while the store rejects their calls, so they count differently for a while. The parts in use
// sum to no more than the bound all the same:
//
//   - A VM that joins uses no part before each other VM has told in a heartbeat that it divides by as many VMs,
//     or is dead, or has not answered for JoinWait. It still joins if its process restarts within that time.
//   - A VM that is told a count by one that has read later registrations divides by that count at once, if it is
//     larger than its own.
//   - A VM divides by fewer VMs only ShrinkDelay after some have left, and only while it knows that it has read the
//     latest registrations.
//
// There are two exceptions. A VM that answers no heartbeats for JoinWait, but still serves, uses its part beside those
// that joined meanwhile. A VM that was killed while it joined, and starts again after JoinWait, uses its part until
// its first heartbeats have reached VMs that have not read of it.
//
// The package does no I/O and reads no clock.
package share

import (
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/storage"
)

const (
	// ShrinkDelay is how long a VM goes on dividing by a count that includes VMs which have left: loans from
	// their parts may be in use for that long.
	ShrinkDelay = 4 * time.Second
	// JoinWait is how long a VM that joins waits for VMs that do not answer heartbeats.
	JoinWait = 4 * time.Second
)

// Report is what a VM tells others of how it divides bounds.
type Report struct {
	// Count is the number of VMs that it divides by; 0 if it uses no part because it has not read the
	// registrations, or does not tell.
	Count int
	// Version is the version of the newest registration that Count is based on.
	Version storage.Version
}

// Peer is what a VM knows of another.
type Peer struct {
	Report
	// Answered is set if the peer has ever answered a heartbeat, and Dead if it is known that its process has
	// ended: the next one reads the registrations before it uses a part.
	Answered, Dead bool
}

// Registration is a VM's row in the store.
type Registration struct {
	ID   string
	Left bool
	// Version is that of the last change of the row; zero if it has not been read from the store. With a row
	// a VM has read all earlier ones, but when it writes its own it may lack some.
	Version storage.Version
}

// Part is the part of each bound that a VM may use.
type Part struct {
	// Count is the number of parts. It is 0 until the registrations have been read.
	Count int
	// Usable is set if the VM may use one of them, and Since is when that began.
	Usable bool
	Since  clock.Time
}

// Divider decides for one VM. The now passed to its methods must never decrease.
type Divider struct {
	self string
	part Part
	told Report
	rows []Registration
	read bool
	// vms is the number of rows of VMs that have not left, and version that of the newest row. registered is
	// set if the VM's own row is among them and has been read from the store.
	vms        int
	version    storage.Version
	registered bool
	// counted is the number of VMs to divide by according to the rows. countsLeft is set while it includes all
	// VMs that had left when the VM started.
	counted    int
	countsLeft bool
	// shrunkAt is when vms fell below counted; 0 while it is not below.
	shrunkAt clock.Time
	// joinedAt is when the VM first read its own registration; 0 until then.
	joinedAt clock.Time
}

// New returns a Divider of a VM whose process started at started.
func New(self string, started clock.Time) *Divider {
	return &Divider{self: self, part: Part{Since: started}}
}

// RegisteredBefore records that the VM was registered for an age when its process started. Others count it already
// unless it was about to join. It must be called before the first Decide.
func (d *Divider) RegisteredBefore(age time.Duration) { d.part.Usable = age >= JoinWait }

// Read applies the rows of all VMs as read from the store.
func (d *Divider) Read(rows []Registration, now clock.Time) {
	d.rows, d.vms, d.version, d.registered = rows, 0, storage.Version{}, false
	for _, r := range rows {
		d.version = storage.Latest(d.version, r.Version)
		if !r.Left {
			d.vms++
			d.registered = d.registered || r.ID == d.self && r.Version != (storage.Version{})
		}
	}
	if !d.read {
		// The others may still divide by a count that includes the VMs that have left.
		d.read, d.counted, d.countsLeft = true, len(rows), d.vms < len(rows)
	}
	if d.joinedAt == 0 && d.registered {
		d.joinedAt = now
	}
}

// Hear applies what another VM tells.
func (d *Divider) Hear(r Report) {
	if r.Count > 0 && !r.Version.Before(d.told.Version) {
		d.told = r
	}
}

// Report returns what the VM tells others.
func (d *Divider) Report() Report { return Report{Count: d.part.Count, Version: d.version} }

// Decide returns the part that the VM may use at now. peer returns what the VM knows of another one. current is
// set if the VM knows that it has read the latest registrations.
func (d *Divider) Decide(peer func(id string) Peer, current bool, now clock.Time) Part {
	if !d.read {
		return Part{}
	}
	if d.countsLeft {
		d.learnCount(peer)
	}
	d.updateCounted(current, now)
	d.part.Count = max(1, d.counted)
	if d.version.Before(d.told.Version) {
		d.part.Count = max(1, d.vms, d.told.Count)
	}
	if d.registered && !d.part.Usable && d.acknowledged(peer, now) {
		d.part.Usable, d.part.Since = true, now
	}
	out := d.part
	out.Usable = out.Usable && d.registered
	return out
}

// learnCount lowers the count of a VM that has just started to what another VM would divide by if it had read
// the same rows: of the VMs that it has read of as having left, it counts those that have left recently.
func (d *Divider) learnCount(peer func(id string) Peer) {
	for _, r := range d.rows {
		p := peer(r.ID)
		if r.Left || r.ID == d.self || p.Count == 0 || p.Dead {
			continue
		}
		count := p.Count
		for _, row := range d.rows {
			if p.Version.Before(row.Version) {
				count++
			}
		}
		d.counted = max(d.vms, min(d.counted, count))
	}
}

// updateCounted brings counted to the number of VMs. It grows at once when a VM joins.
func (d *Divider) updateCounted(current bool, now clock.Time) {
	if d.vms >= d.counted {
		d.counted, d.countsLeft, d.shrunkAt = d.vms, false, 0
		return
	}
	if d.shrunkAt == 0 {
		d.shrunkAt = now
	}
	if current && now.Sub(d.shrunkAt) >= ShrinkDelay {
		d.counted, d.countsLeft, d.shrunkAt = d.vms, false, 0
	}
}

// acknowledged reports whether all other VMs divide by a count that includes this one.
func (d *Divider) acknowledged(peer func(id string) Peer, now clock.Time) bool {
	for _, r := range d.rows {
		if r.Left || r.ID == d.self {
			continue
		}
		p := peer(r.ID)
		switch {
		case p.Dead:
		case !p.Answered:
			if now.Sub(d.joinedAt) < JoinWait {
				return false
			}
		case p.Count > 0 && p.Count < d.vms:
			return false
		}
	}
	return true
}
