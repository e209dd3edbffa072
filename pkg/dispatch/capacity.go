package dispatch

import (
	"slices"
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/health"
	"crocusramp.dev/crocusramp/pkg/lease"
	"crocusramp.dev/crocusramp/pkg/permit"
	"crocusramp.dev/crocusramp/pkg/target"
)

// backend is a target of this VM's region with the permits for it.
type backend struct {
	target.Target
	// slots are the lease slots that this VM holds or still has requests
	// running under.
	slots   []slotPermits
	held    int
	running int
	drained bool
	health  health.Tracker
}

// slotPermits are the permits that one lease slot carries for a target.
type slotPermits struct {
	slot    int
	permits int
	running int
}

// free returns how many held permits are not in use.
func (b *backend) free() int {
	n := 0
	for _, s := range b.slots {
		n += max(0, s.permits-s.running)
	}
	return n
}

// take uses a permit and returns its lease slot.
func (b *backend) take() int {
	for i := range b.slots {
		s := &b.slots[i]
		if s.running < s.permits {
			s.running++
			b.running++
			return s.slot
		}
	}
	panic("dispatch: no free permit to take")
}

// put gives back a permit of the lease slot.
func (b *backend) put(slot int) {
	b.running--
	for i := range b.slots {
		if b.slots[i].slot == slot {
			b.slots[i].running--
			return
		}
	}
	panic("dispatch: permit of an unknown lease slot")
}

// hold sets the lease slots whose permits may be granted.
func (b *backend) hold(usable []int, layout []string) {
	counts := permit.Assign(b.Target, layout)
	kept := make([]slotPermits, 0, len(usable))
	for _, s := range b.slots {
		if s.running > 0 && !slices.Contains(usable, s.slot) {
			kept = append(kept, slotPermits{slot: s.slot, running: s.running})
		}
	}
	b.held = 0
	for _, slot := range usable {
		s := slotPermits{slot: slot, permits: counts[slot]}
		for _, old := range b.slots {
			if old.slot == slot {
				s.running = old.running
			}
		}
		b.held += s.permits
		kept = append(kept, s)
	}
	b.slots = kept
}

// allowed returns how many requests may run on the backend now.
func (b *backend) allowed(now clock.Time, believeDown bool) int {
	if b.drained || b.health.ReportedDraining(now) || believeDown && b.health.ReportedDown(now) {
		return 0
	}
	held := b.health.ReportedLimit(now, b.held, permit.Limit(b.Target))
	return b.health.Allowed(now, held, b.running)
}

// usableSlots appends to dst the lease slots of the holding whose permits may
// be granted: valid, of this region by the agreed layout, not retired, and past
// the time in which requests of a former holder may still run.
func usableSlots(dst []int, h *lease.Holding, layout []string, region string, now clock.Time, holdDown time.Duration, retired map[int]clock.Time) []int {
	for _, s := range h.Slots {
		if !s.Valid(now) || s.Region != region || s.Index >= len(layout) || layout[s.Index] != region {
			continue
		}
		if !s.New && !s.Idle && now.Sub(s.Since) < holdDown {
			continue
		}
		if at, ok := retired[s.Index]; ok && s.Since <= at {
			continue
		}
		dst = append(dst, s.Index)
	}
	return dst
}

// longestTimeout returns the longest timeout of the routes to a pool: as long
// may a request run that was granted at the last moment.
func longestTimeout(cfg *config.Config, pool string) time.Duration {
	var longest time.Duration
	for _, r := range cfg.Routes {
		if r.Pool == pool {
			longest = max(longest, r.Timeout)
		}
	}
	return longest
}

// drained reports whether an operator keeps new work from the target.
func drained(cfg *config.Config, t target.Target) bool {
	return cfg.Drained(config.DrainTarget, t.ID, t.Region, t.FailureDomain)
}

// drainedVMs returns the IDs of the VMs that operators keep new work from.
func drainedVMs(cfg *config.Config) map[string]bool {
	ids := map[string]bool{}
	for _, d := range cfg.Drains {
		if d.Kind == config.DrainVM {
			ids[d.Subject] = true
		}
	}
	return ids
}
