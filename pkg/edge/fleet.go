package edge

import (
	"context"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/lease"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/retry"
	"crocusramp.dev/crocusramp/pkg/settings"
	"crocusramp.dev/crocusramp/pkg/storage"
	"crocusramp.dev/crocusramp/pkg/target"
)

const (
	// coldReserve is the part of a cold target's bound, in requests, that is
	// left for requests which arrive later than they were sent.
	coldReserve = 1.5
	// farFuture is when a registered VM's part of the limits ends: never while
	// its process runs.
	farFuture = clock.Time(math.MaxInt64)
)

// Registration is what a VM writes of itself into the fleet's table.
type Registration struct {
	ID          string `json:"id"`
	PeerAddress string `json:"peer_address"`
	// Left is set by a VM that stops. Its row stays for a while: VMs that start meanwhile
	// must know that it may come back.
	Left bool `json:"left,omitempty"`
	// version is the row's in the store.
	version int64
}

// same reports whether two registrations say the same.
func (v Registration) same(w Registration) bool {
	return v.ID == w.ID && v.PeerAddress == w.PeerAddress && v.Left == w.Left
}

const (
	// slotsPerVM is how many numbered slots a VM's part of the limits has: one that it
	// keeps, so that it admits requests as soon as it has started, and one that it lends.
	slotsPerVM = 2
	// maxKeepers is the size of the fleet up to which VMs keep one. In larger ones half of
	// a part is less than a token of many accounts' bursts: kept, it admits nothing on any
	// VM and helps no other. What operators change must not decide this, since the next
	// process of a VM must not use at once what the one before may have lent.
	maxKeepers = 32
)

// registry knows which VMs are registered. Each has a fixed and equal part of
// every bound that holds for the fleet, whether it runs or not, so that a VM that
// is cut off from the others never uses more than its own. It implements
// storage.Directory and lease.Holder.
type registry struct {
	self    Registration
	started clock.Time
	// settled says that nothing of the slot that is lent can still be lent by an
	// earlier process of the VM; waited, that this was asked for in vain.
	settled, waited atomic.Bool
	// registered says that this VM is among those that share the bounds.
	registered atomic.Bool
	mu         sync.Mutex // serializes set
	// shrunk is when fewer VMs were registered than the parts are made for; zero
	// while they are as many.
	shrunk clock.Time
	// left is when the VMs that stopped were first seen to have; serialized by mu.
	left map[string]clock.Time
	// rows are all registrations, vms those of VMs that have not left; nil until they are
	// known.
	rows, vms atomic.Pointer[[]Registration]
	holding   atomic.Pointer[lease.Holding]
	// lendable is holding for bounds of which no VM keeps a part.
	lendable atomic.Pointer[lease.Holding]
	settings *atomic.Pointer[settings.Edge]
}

func newRegistry(self Registration, started clock.Time, firstStart bool, s *atomic.Pointer[settings.Edge]) *registry {
	r := &registry{self: self, started: started, settings: s, left: map[string]clock.Time{}}
	r.settled.Store(firstStart)
	r.holding.Store(&lease.Holding{Total: slotsPerVM})
	r.lendable.Store(&lease.Holding{Total: slotsPerVM})
	return r
}

// shrinkDelay is how long the parts stay as they are after a VM has left: loans
// of what it held may run that long.
const shrinkDelay = 4 * time.Second

// leftPeriod is after which time the row of a VM that stopped is removed: it has not come back.
const leftPeriod = 30 * time.Second

// total is the number of parts that a bound is divided into at now. It follows a
// VM that comes at once, and one that leaves after shrinkDelay. A VM that has just started
// counts those that have left, too.
func (r *registry) total(vms, left int, now clock.Time) int {
	old := r.parts()
	if r.rows.Load() == nil {
		old = vms + left
	}
	if vms >= old {
		r.shrunk = 0
		return max(1, vms)
	}
	if r.shrunk == 0 {
		r.shrunk = now
	}
	if now.Sub(r.shrunk) < shrinkDelay {
		return old
	}
	r.shrunk = 0
	return max(1, vms)
}

// set takes over the rows of VMs, in order of ID. It is called again now and
// then while nothing changes.
func (r *registry) set(rows []Registration, now clock.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	vms := r.present(rows, now)
	at := slices.IndexFunc(vms, func(v Registration) bool { return v.ID == r.self.ID })
	// After the parts: a VM that is registered has one.
	defer r.registered.Store(at >= 0)
	defer r.vms.Store(&vms)
	defer r.rows.Store(&rows)
	old := r.holding.Load()
	settled := r.settled.Load()
	parts := r.total(len(vms), len(rows)-len(vms), now)
	keeps := parts <= maxKeepers
	lends := settled || r.waited.Load()
	var slots []lease.Slot
	if at >= 0 && (keeps || lends) {
		slots = append(slots, lease.Slot{Index: slotsPerVM * at, Since: r.started, Until: farFuture, New: keeps || settled, Kept: keeps})
	}
	if at >= 0 && lends {
		slots = append(slots, lease.Slot{Index: slotsPerVM*at + 1, Since: r.started, Until: farFuture, New: settled})
	}
	total := slotsPerVM * parts
	if old.Total == total && len(slots) == len(old.Slots) {
		return
	}
	next := &lease.Holding{Total: total, Slots: slots, Generation: old.Generation + 1}
	r.holding.Store(next)
	r.lendable.Store(lendable(next))
}

// lendable returns a holding of which all is lent. The limits of targets are small: a kept
// part of one would hold less than a request.
func lendable(h *lease.Holding) *lease.Holding {
	out := &lease.Holding{Total: h.Total, Generation: h.Generation}
	if len(h.Slots) < slotsPerVM { // the earlier process may have lent them
		return out
	}
	settled := h.Slots[slotsPerVM-1].New
	for _, s := range h.Slots {
		s.Kept, s.New = false, settled
		out.Slots = append(out.Slots, s)
	}
	return out
}

// allLent is what this VM holds of bounds of which no VM keeps a part. It implements
// lease.Holder.
type allLent struct{ r *registry }

func (a allLent) Holding() *lease.Holding { return a.r.lendable.Load() }

// present returns the rows of VMs that have not left, and notes since when the others have.
func (r *registry) present(rows []Registration, now clock.Time) []Registration {
	var vms []Registration
	left := map[string]clock.Time{}
	for _, v := range rows {
		if !v.Left {
			vms = append(vms, v)
			continue
		}
		left[v.ID] = now
		if since, ok := r.left[v.ID]; ok {
			left[v.ID] = since
		}
	}
	r.left = left
	return vms
}

// stale returns the rows that this VM should remove: one of the VMs does it.
func (r *registry) stale(now clock.Time) []Registration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.first() {
		return nil
	}
	var out []Registration
	for _, v := range list(&r.rows) {
		if since, ok := r.left[v.ID]; ok && now.Sub(since) >= leftPeriod {
			out = append(out, v)
		}
	}
	return out
}

// first reports whether this VM is the one that does what one VM has to do.
func (r *registry) first() bool {
	vms := list(&r.vms)
	return len(vms) > 0 && vms[0].ID == r.self.ID
}

// list returns registrations, or none while they are not known.
func list(p *atomic.Pointer[[]Registration]) []Registration {
	if l := p.Load(); l != nil {
		return *l
	}
	return nil
}

// refresh makes the parts follow VMs that left some time ago.
func (r *registry) refresh(now clock.Time) {
	if rows := r.rows.Load(); rows != nil {
		r.set(*rows, now)
	}
}

// endWait lets this VM use its own part: at once where that is settled, else
// when every loan of an earlier process has ended.
func (r *registry) endWait(settled bool, now clock.Time) {
	r.settled.Store(settled)
	r.waited.Store(true)
	r.refresh(now)
}

// Holding returns this VM's part of the limits.
func (r *registry) Holding() *lease.Holding { return r.holding.Load() }

// VMs returns the registered VMs.
func (r *registry) VMs(context.Context) ([]storage.VM, error) {
	vms := list(&r.vms)
	if len(vms) == 0 {
		return nil, storage.ErrUnavailable
	}
	out := make([]storage.VM, len(vms))
	for i, v := range vms {
		out[i] = storage.VM{ID: v.ID, PeerAddress: v.PeerAddress, State: storage.VMLive}
	}
	return out, nil
}

// count is the number of VMs that share the bounds; 0 while it is not known, or this VM is
// not one of them.
func (r *registry) count() int {
	if !r.registered.Load() {
		return 0
	}
	return r.parts()
}

// parts is the number of parts that limits are divided into.
func (r *registry) parts() int { return r.holding.Load().Total / slotsPerVM }

// ColdInterval implements ingress.Fleet. A VM may send floor(1 s/interval)+1
// requests within a second, so only as many VMs use a cold target as the bound
// leaves room for beyond the rate.
func (r *registry) ColdInterval(l *target.Live, rate float64) (time.Duration, bool) {
	b := r.settings.Load().Bounds
	users := int(rate*(b.ColdFactor-1) + b.ColdSlack - coldReserve)
	if rate <= 0 {
		return 0, false
	}
	users = min(users, r.count())
	if users < 1 || r.rankFor(l.Hash, r.sharing()) >= users {
		return 0, false
	}
	return time.Duration(float64(users) / rate * float64(time.Second)), true
}

// sharing returns the VMs among which the bounds are divided.
func (r *registry) sharing() []Registration {
	if vms := list(&r.vms); r.parts() <= len(vms) {
		return vms
	}
	return list(&r.rows)
}

// rankFor is this VM's place among those that may use a cold target.
func (r *registry) rankFor(hash uint64, vms []Registration) int {
	score := func(id string) uint64 { return (xxhash.Sum64String(id) ^ hash) * 0x9e3779b97f4a7c15 }
	own, rank := score(r.self.ID), 0
	for _, v := range vms {
		if v.ID != r.self.ID && score(v.ID) > own {
			rank++
		}
	}
	return rank
}

// startPart is the part of what an account may have beyond its limit that a
// start of all VMs uses: two such starts fit into one window.
const startPart = 0.4

// startTokens is how many requests of an account are admitted beyond its limit when
// all VMs start anew. Callers come back all at once then, and refusing them for
// tokens that an earlier process may have used is a wrongful refusal for most.
func (r *registry) startTokens(a *config.Account) float64 {
	b := r.settings.Load().Bounds
	return startPart * (b.QuotaOverage*(a.Rate*b.QuotaWindow.Seconds()+a.Burst) + b.QuotaSlack)
}

// RepeatLimit implements ingress.Fleet.
func (r *registry) RepeatLimit() retry.PoolLimit {
	b := r.settings.Load().Bounds
	return retry.PoolLimit{Ratio: b.RepeatRatio, Floor: b.RepeatFloor, Window: b.RepeatWindow.Duration, VMs: r.count()}
}

// sorted returns registrations in order of ID.
func sorted(vms map[string]Registration) []Registration {
	return slices.SortedFunc(maps.Values(vms), func(a, b Registration) int { return strings.Compare(a.ID, b.ID) })
}

// maxLocated is how many VMs an answer names.
const maxLocated = 64

// locate names the VMs that a caller in a region uses: those of its region that
// take work, else all that do.
func locate(v *member.View, region string) []string {
	var near, far []string
	consider := func(p *member.Peer) {
		if p.State != member.Live || p.Missed > 0 || p.CallerAddress == "" {
			return
		}
		if p.Region == region {
			near = append(near, p.CallerAddress)
			return
		}
		far = append(far, p.CallerAddress)
	}
	consider(&v.Self)
	for i := range v.Peers {
		consider(&v.Peers[i])
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		near = []string{v.Self.CallerAddress}
	}
	return near[:min(len(near), maxLocated)]
}
