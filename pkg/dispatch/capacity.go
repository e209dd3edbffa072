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

// localTarget is a target of this VM's region with the permits that this VM holds for it.
type localTarget struct {
	target.Target
	// slots are the lease slots that this VM may use or under which its requests
	// still run.
	slots []slotPermits
	// held is the number of permits of the lease slots that this VM may use.
	held    int
	running int
	// drained reports whether an operator drains the target.
	drained bool
	health  health.Tracker
}

// slotPermits counts the permits that one lease slot carries for a target and the
// requests that run under them.
type slotPermits struct {
	slot    int
	permits int
	running int
}

// freePermits returns how many held permits are not in use.
func (t *localTarget) freePermits() int {
	n := 0
	for _, s := range t.slots {
		n += max(0, s.permits-s.running)
	}
	return n
}

// takePermit marks a permit as in use and returns its lease slot. There must be a free
// permit.
func (t *localTarget) takePermit() int {
	for i := range t.slots {
		s := &t.slots[i]
		if s.running < s.permits {
			s.running++
			t.running++
			return s.slot
		}
	}
	panic("dispatch: took a permit of a target without a free one")
}

// returnPermit returns a permit of the lease slot after its request has ended.
func (t *localTarget) returnPermit(slot int) {
	t.running--
	for i := range t.slots {
		if t.slots[i].slot == slot {
			t.slots[i].running--
			return
		}
	}
	panic("dispatch: returned a permit of an unknown lease slot")
}

// setUsableSlots sets the lease slots whose permits may be granted. A slot that is no
// longer usable stays in the list, without permits, until its requests have ended.
func (t *localTarget) setUsableSlots(usable []int, slotRegions []string) {
	counts := permit.Assign(t.Target, slotRegions)
	kept := make([]slotPermits, 0, len(usable))
	for _, s := range t.slots {
		if s.running > 0 && !slices.Contains(usable, s.slot) {
			kept = append(kept, slotPermits{slot: s.slot, running: s.running})
		}
	}
	t.held = 0
	for _, slot := range usable {
		s := slotPermits{slot: slot, permits: counts[slot]}
		for _, old := range t.slots {
			if old.slot == slot {
				s.running = old.running
			}
		}
		t.held += s.permits
		kept = append(kept, s)
	}
	t.slots = kept
}

// allowed returns how many requests of this VM may run on the target now.
func (t *localTarget) allowed(now clock.Time, trustDownReports bool) int {
	if t.drained || t.health.ReportedDraining(now) || trustDownReports && t.health.ReportedDown(now) {
		return 0
	}
	held := t.health.ReportedLimit(now, t.held, permit.Limit(t.Target))
	return t.health.Allowed(now, held, t.running)
}

// usableSlots appends to dst the lease slots of the holding whose permits may be
// granted. Such a slot is valid, belongs to the region in the holding and in
// slotRegions, and was not retired since this VM took it. If requests of a former
// holder may still run under it, holdDown must have passed since the takeover.
func usableSlots(dst []int, h *lease.Holding, slotRegions []string, region string, now clock.Time, holdDown time.Duration, retired map[int]clock.Time) []int {
	for _, s := range h.Slots {
		if !s.Valid(now) || s.Region != region || s.Index >= len(slotRegions) || slotRegions[s.Index] != region {
			continue
		}
		if !s.Settled && !s.Idle && now.Sub(s.Since) < holdDown {
			continue
		}
		if at, ok := retired[s.Index]; ok && s.Since <= at {
			continue
		}
		dst = append(dst, s.Index)
	}
	return dst
}

// longestTimeout returns the longest timeout of the routes to a pool. A request that
// the former holder of a lease slot granted just before it lost the slot can run for
// that long.
func longestTimeout(cfg *config.Config, pool string) time.Duration {
	var longest time.Duration
	for _, r := range cfg.Routes {
		if r.Pool == pool {
			longest = max(longest, r.Timeout)
		}
	}
	return longest
}

// drained reports whether a drain of an operator keeps new requests from the target.
func drained(cfg *config.Config, t target.Target) bool {
	return cfg.Drained(config.DrainTarget, t.ID, t.Region, t.FailureDomain)
}

// drainedVMs returns the IDs of the VMs that operators drain.
func drainedVMs(cfg *config.Config) map[string]bool {
	ids := map[string]bool{}
	for _, d := range cfg.Drains {
		if d.Kind == config.DrainVM {
			ids[d.Subject] = true
		}
	}
	return ids
}
