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

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/lease"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/placement"
	"crocusramp.dev/crocusramp/pkg/retry"
	"crocusramp.dev/crocusramp/pkg/settings"
	"crocusramp.dev/crocusramp/pkg/share"
	"crocusramp.dev/crocusramp/pkg/storage"
	"crocusramp.dev/crocusramp/pkg/target"
	"crocusramp.dev/crocusramp/platform"
)

const (
	// coldReserve is the number of requests of a cold target's bound that stay unused, to
	// allow for requests that arrive later than they were sent.
	coldReserve = 1.5
	// farFuture is the expiry of a registered VM's share of the limits: it never expires
	// while the process runs.
	farFuture = clock.Time(math.MaxInt64)
)

// Registration is a VM's row in the fleet's table.
type Registration struct {
	ID          string `json:"id"`
	PeerAddress string `json:"peer_address"`
	// Left is set by a VM that stops. Its row stays for a while, because VMs that start in
	// the meantime must take into account that it may come back.
	Left bool `json:"left,omitempty"`
	// Incarnation identifies the process that wrote the row.
	Incarnation string `json:"incarnation,omitempty"`
	// SettledEra is the newest era of the store that the VM knew to be settled: from then on, the
	// store lacks nothing that the fleet knows.
	SettledEra int64 `json:"settled_era,omitempty"`
	// RegisteredAt is the store's clock when the VM last joined, in seconds; 0 is unknown.
	RegisteredAt float64 `json:"registered_at,omitempty"`
	// version is the version of the row in the store. It is zero for a row that was lost in a
	// restore of the store.
	version storage.Version
}

// equal compares what two registrations tell of the VM. It ignores the incarnation, because a process
// that replaces a crashed one need not write the row again.
func (v Registration) equal(w Registration) bool {
	return v.ID == w.ID && v.PeerAddress == w.PeerAddress && v.Left == w.Left
}

const (
	// slotsPerVM is the number of slots in a VM's share of the limits: one that it keeps, so
	// that it can admit requests as soon as it has started, and one that it lends.
	slotsPerVM = 2
	// maxFleetWithKeptSlots is the fleet size up to which each VM keeps one slot. In a larger
	// fleet half of a share is less than one token of many accounts' bursts: if the VM kept
	// it, the slot would admit nothing there and could not be lent to another VM. The rule
	// must not depend on settings that operators change, because a restarted VM must not use
	// at once what its earlier process may have lent.
	maxFleetWithKeptSlots = 32
)

// registry holds the registered VMs. Each has a fixed, equal share of every fleet-wide limit,
// whether it runs or not, so that a VM that is partitioned from the others never uses more
// than its own share. It implements storage.Directory and lease.Holder.
type registry struct {
	self    Registration
	started clock.Time
	// settled is set when no loan that an earlier process of this VM granted is in use any
	// more. loanWaitEnded is set when the wait for that is over, whether it succeeded or not.
	settled, loanWaitEnded atomic.Bool
	// registered is set while this VM is among those that share the limits.
	registered atomic.Bool
	mu         sync.Mutex     // serializes setRows
	divider    *share.Divider // guarded by mu
	// told holds what registered VMs have told of their parts in their own heartbeats, by ID. Guarded by mu.
	told map[string]share.Report
	// peer returns what is known of another VM's part, and current whether this VM has read the latest
	// registrations. Both are set before the first call of setRows.
	peer    func(id string) share.Peer
	current func() bool
	// leftAt is when this VM first saw each stopped VM's row marked as left. Guarded by mu.
	leftAt map[string]clock.Time
	// rows holds all registrations, vms those of VMs that have not left. Both are nil until
	// the table has been read.
	rows, vms atomic.Pointer[[]Registration]
	holding   atomic.Pointer[lease.Holding]
	// lendable is the variant of holding for limits of which no VM keeps a slot.
	lendable atomic.Pointer[lease.Holding]
	settings *atomic.Pointer[settings.Edge]
}

func newRegistry(self Registration, started clock.Time, firstStart bool, s *atomic.Pointer[settings.Edge]) *registry {
	r := &registry{
		self: self, started: started, settings: s, leftAt: map[string]clock.Time{}, divider: share.New(self.ID, started), told: map[string]share.Report{},
		peer: func(string) share.Peer { return share.Peer{Answered: true} }, current: func() bool { return true },
	}
	r.settled.Store(firstStart)
	r.holding.Store(&lease.Holding{Total: slotsPerVM})
	r.lendable.Store(&lease.Holding{Total: slotsPerVM})
	return r
}

// leftRowRetention is how long the row of a stopped VM is kept in case it comes back.
const leftRowRetention = 30 * time.Second

// registeredBefore records that this VM was registered for an age when its process started.
func (r *registry) registeredBefore(age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.divider.RegisteredBefore(age)
}

// hear applies what another VM has answered of its part.
func (r *registry) hear(report share.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.divider.Hear(report)
}

// hearFrom applies what another VM tells of its part in a heartbeat of its own.
func (r *registry) hearFrom(id string, report share.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.divider.Hear(report)
	if report.Count > 0 && slices.ContainsFunc(loadRegistrations(&r.rows), func(v Registration) bool { return v.ID == id }) {
		r.told[id] = report
	}
}

// peerShare returns what is known of another VM's part. The caller holds mu.
func (r *registry) peerShare(id string) share.Peer {
	p := r.peer(id)
	if told, ok := r.told[id]; ok && !told.Version.Before(p.Version) {
		p.Report, p.Answered = told, true
	}
	return p
}

// report returns what this VM tells others of its part.
func (r *registry) report() share.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.divider.Report()
}

// setRows applies the registrations, sorted by ID. It is also called periodically while
// nothing changes, because the part of this VM may change with time and by what others tell.
func (r *registry) setRows(rows []Registration, now clock.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	vms := r.activeVMs(rows, now)
	index := slices.IndexFunc(vms, func(v Registration) bool { return v.ID == r.self.ID })
	if len(r.told) > len(rows) { // some are no longer registered
		clear(r.told)
	}
	read := make([]share.Registration, len(rows))
	for i, v := range rows {
		read[i] = share.Registration{ID: v.ID, Left: v.Left, Version: v.version}
	}
	r.divider.Read(read, now)
	part := r.divider.Decide(r.peerShare, r.current(), now)
	// Deferred, so that registered is only set after the VM's share is published.
	defer r.registered.Store(part.Usable)
	defer r.vms.Store(&vms)
	defer r.rows.Store(&rows)
	old := r.holding.Load()
	settled := r.settled.Load()
	keeps := part.Count <= maxFleetWithKeptSlots
	lends := settled || r.loanWaitEnded.Load()
	var slots []lease.Slot
	if part.Usable && (keeps || lends) {
		slots = append(slots, lease.Slot{Index: slotsPerVM * index, Since: part.Since, Until: farFuture, Settled: keeps || settled, Kept: keeps})
	}
	if part.Usable && lends {
		slots = append(slots, lease.Slot{Index: slotsPerVM*index + 1, Since: part.Since, Until: farFuture, Settled: settled})
	}
	total := slotsPerVM * part.Count
	if old.Total == total && len(slots) == len(old.Slots) {
		return
	}
	next := &lease.Holding{Total: total, Slots: slots, Generation: old.Generation + 1}
	r.holding.Store(next)
	r.lendable.Store(lendable(next))
}

// lendable returns a copy of a holding without kept slots. It is used for the limits of
// targets: they are so small that a kept slot would hold less than one request.
func lendable(h *lease.Holding) *lease.Holding {
	out := &lease.Holding{Total: h.Total, Generation: h.Generation}
	if len(h.Slots) < slotsPerVM { // an earlier process may have lent them
		return out
	}
	settled := h.Slots[slotsPerVM-1].Settled
	for _, s := range h.Slots {
		s.Kept, s.Settled = false, settled
		out.Slots = append(out.Slots, s)
	}
	return out
}

// lendableHolder is a lease.Holder for limits of which no VM keeps a slot.
type lendableHolder struct{ r *registry }

func (a lendableHolder) Holding() *lease.Holding { return a.r.lendable.Load() }

// activeVMs returns the rows of VMs that have not left, and records in leftAt when the others
// were first seen to have left.
func (r *registry) activeVMs(rows []Registration, now clock.Time) []Registration {
	var vms []Registration
	left := map[string]clock.Time{}
	for _, v := range rows {
		if !v.Left {
			vms = append(vms, v)
			continue
		}
		left[v.ID] = now
		if since, ok := r.leftAt[v.ID]; ok {
			left[v.ID] = since
		}
	}
	r.leftAt = left
	return vms
}

// maxRowRemovals is how many rows a transaction removes at most; each removal has a condition.
const maxRowRemovals = platform.MaxTransactionRows / 2

// expiredRows returns the rows of VMs that left at least leftRowRetention ago, at most
// maxRowRemovals. It returns none unless this VM is the coordinator, which removes them.
func (r *registry) expiredRows(now clock.Time) []Registration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isCoordinator() {
		return nil
	}
	var out []Registration
	for _, v := range loadRegistrations(&r.rows) {
		if since, ok := r.leftAt[v.ID]; ok && v.version.Number != 0 && now.Sub(since) >= leftRowRetention {
			out = append(out, v)
		}
	}
	return out[:min(len(out), maxRowRemovals)]
}

// hasRow reports whether the registration is still the known one of its VM.
func (r *registry) hasRow(v Registration) bool { return slices.Contains(loadRegistrations(&r.rows), v) }

// ownRow returns this VM's registration as last read, or none.
func (r *registry) ownRow() Registration {
	for _, v := range loadRegistrations(&r.rows) {
		if v.ID == r.self.ID {
			return v
		}
	}
	return Registration{}
}

// isCoordinator reports whether this VM does the work that only one VM of the fleet should do.
// That is the registered VM with the lowest ID.
func (r *registry) isCoordinator() bool {
	vms := loadRegistrations(&r.vms)
	return len(vms) > 0 && vms[0].ID == r.self.ID
}

// liveRank returns how many live VMs have a lower ID than this one.
func liveRank(v *member.View) (rank int) {
	for i := range v.Peers {
		if p := &v.Peers[i]; p.State == member.Live && p.MissedHeartbeats == 0 && p.ID < v.Self.ID {
			rank++
		}
	}
	return rank
}

// loadRegistrations returns the stored registrations, or none until they have been read.
func loadRegistrations(p *atomic.Pointer[[]Registration]) []Registration {
	if rows := p.Load(); rows != nil {
		return *rows
	}
	return nil
}

// refresh reapplies the known rows.
func (r *registry) refresh(now clock.Time) {
	if rows := r.rows.Load(); rows != nil {
		r.setRows(*rows, now)
	}
}

// endLoanWait lets this VM use its whole share. If settled is false, loans of an earlier
// process may still be in use, and the slots are marked so that they are used only after
// these loans have expired.
func (r *registry) endLoanWait(settled bool, now clock.Time) {
	r.settled.Store(settled)
	r.loanWaitEnded.Store(true)
	r.refresh(now)
}

// Holding returns this VM's share of the limits.
func (r *registry) Holding() *lease.Holding { return r.holding.Load() }

// VMs returns the registered VMs that have not left.
func (r *registry) VMs(context.Context) ([]storage.VM, error) {
	vms := loadRegistrations(&r.vms)
	if len(vms) == 0 {
		return nil, storage.ErrUnavailable
	}
	out := make([]storage.VM, len(vms))
	for i, v := range vms {
		out[i] = storage.VM{ID: v.ID, PeerAddress: v.PeerAddress, State: storage.VMLive}
	}
	return out, nil
}

// sharingCount returns the number of VMs that share the limits. It is 0 while that is unknown
// or this VM is not one of them.
func (r *registry) sharingCount() int {
	if !r.registered.Load() {
		return 0
	}
	return r.shareCount()
}

// shareCount returns the number of shares that limits are divided into.
func (r *registry) shareCount() int { return r.holding.Load().Total / slotsPerVM }

// ColdInterval implements ingress.Fleet. It returns the least time between this VM's requests
// to a cold target, and false if this VM must not use the target. A VM may send
// floor(1 s/interval)+1 requests within a second, up to one more than its share of the rate.
// The number of VMs that use a cold target is therefore limited to the number of requests
// that the bound allows beyond the rate.
func (r *registry) ColdInterval(l *target.Live, rate float64) (time.Duration, bool) {
	b := r.settings.Load().Bounds
	users := int(rate*(b.ColdFactor-1) + b.ColdSlack - coldReserve)
	if rate <= 0 {
		return 0, false
	}
	users = min(users, r.sharingCount())
	if r.shareCount() > len(loadRegistrations(&r.rows)) {
		return 0, false // others have read of VMs that this one cannot rank
	}
	if users < 1 || r.rankFor(l.Hash, r.sharingVMs()) >= users {
		return 0, false
	}
	return time.Duration(float64(users) / rate * float64(time.Second)), true
}

// sharingVMs returns the VMs among which the limits are divided. These include VMs that have
// left until the share count has shrunk.
func (r *registry) sharingVMs() []Registration {
	if vms := loadRegistrations(&r.vms); r.shareCount() <= len(vms) {
		return vms
	}
	return loadRegistrations(&r.rows)
}

// rankFor returns this VM's rank for the target with the given hash, by rendezvous hashing.
// The VMs with the lowest ranks use the target while it is cold.
func (r *registry) rankFor(hash uint64, vms []Registration) int {
	own, rank := placement.Score(r.self.ID, hash), 0
	for _, v := range vms {
		if v.ID != r.self.ID && placement.Score(v.ID, hash) > own {
			rank++
		}
	}
	return rank
}

// startTokensFraction is the fraction of an account's allowed overage that a start of all VMs
// uses. Two such starts fit into one window.
const startTokensFraction = 0.4

// startTokens returns how many requests of an account are admitted beyond its limit when all
// VMs restart. All callers then return at the same time. Most of them would be refused
// wrongly if the buckets started empty because an earlier process may have used the tokens.
func (r *registry) startTokens(a *config.Account) float64 {
	b := r.settings.Load().Bounds
	return startTokensFraction * (b.QuotaOverage*(a.Rate*b.QuotaWindow.Seconds()+a.Burst) + b.QuotaSlack)
}

// RetryLimit implements ingress.Fleet.
func (r *registry) RetryLimit() retry.PoolLimit {
	b := r.settings.Load().Bounds
	return retry.PoolLimit{Ratio: b.RetryRatio, Floor: b.RetryFloor, Window: b.RetryWindow.Duration, VMs: r.sharingCount()}
}

// sorted returns the registrations sorted by ID.
func sorted(vms map[string]Registration) []Registration {
	return slices.SortedFunc(maps.Values(vms), func(a, b Registration) int { return strings.Compare(a.ID, b.ID) })
}

// maxLocated is the most VMs that a look-up returns.
const maxLocated = 64

// locate returns the addresses of the VMs that a caller in the region should use: the live VMs
// of that region, else all live VMs, else this VM. VMs that are cut off from the targets are left out
// as long as at least half of the VMs remain.
func locate(v *member.View, region string) []string {
	var near, far located
	consider := func(p *member.Peer) {
		if p.State != member.Live || p.MissedHeartbeats > 0 || p.CallerAddress == "" {
			return
		}
		if p.Region == region {
			near.add(p)
			return
		}
		far.add(p)
	}
	consider(&v.Self)
	for i := range v.Peers {
		consider(&v.Peers[i])
	}
	out := near.addresses()
	// VMs elsewhere serve at fewer hops than near ones that all need peers, if they are enough.
	farAreEnough := len(far.connected) >= len(near.cutOff)+len(far.cutOff)
	if len(out) == 0 || (len(near.connected) == 0 && farAreEnough) {
		out = far.addresses()
	}
	if len(out) == 0 {
		out = []string{v.Self.CallerAddress}
	}
	return out[:min(len(out), maxLocated)]
}

// located are the VMs of which a look-up may return some.
type located struct{ connected, cutOff []string }

func (l *located) add(p *member.Peer) {
	if p.CutOff {
		l.cutOff = append(l.cutOff, p.CallerAddress)
		return
	}
	l.connected = append(l.connected, p.CallerAddress)
}

// addresses returns the VMs that are not cut off, or all if those are less than half: they would get
// more than twice their usual callers, while the others serve theirs through peers.
func (l *located) addresses() []string {
	if len(l.connected) >= len(l.cutOff) {
		return l.connected
	}
	return append(slices.Clone(l.connected), l.cutOff...)
}
