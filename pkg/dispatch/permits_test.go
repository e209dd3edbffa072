package dispatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/health"
	"crocusramp.dev/crocusramp/pkg/lease"
	"crocusramp.dev/crocusramp/pkg/permit"
	"crocusramp.dev/crocusramp/pkg/target"
)

// runningRequest is a request that runs in the property test. It ends by its deadline.
type runningRequest struct {
	vm         int
	assignment *assignment
	deadline   clock.Time
}

// endSlowStart records good responses until no target is limited by its slow start.
func (p *pool) endSlowStart() {
	for _, t := range p.localTargets {
		for range 1000 {
			t.health.RecordOutcome(0, health.Sample{Kind: health.Good, Latency: time.Millisecond, Running: t.Slots})
		}
	}
}

// TestTargetsNeverExceedTheirSlots checks that over all VMs no target runs more requests
// than it has slots, and that no VM needs more connections than the target accepts. The
// VMs grant and end requests while lease slots expire and are taken over.
func TestTargetsNeverExceedTheirSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const vms, slots, tgts = 3, 4, 2
		f := newFleet()
		timeout := f.config.Routes["lookup"].Timeout
		now := clock.Time(0)
		list := []target.Pool{{Name: "registru", Targets: targets("east", tgts, rapid.IntRange(1, 9).Draw(t, "target slots"))}}
		pools := make([]*pool, vms)
		owner := make([]int, slots)
		held := make([]lease.Slot, slots)
		for i := range pools {
			c := f.schedulerConfig().withDefaults()
			c.Regions = []string{"east"}
			pools[i] = newPool(c, list[0], newLinks(1, c.Regions), uint64(i))
			pools[i].endSlowStart()
		}
		for i := range slots {
			owner[i] = rapid.IntRange(0, vms-1).Draw(t, "owner")
			held[i] = lease.Slot{Index: i, Region: "east", Until: forever, Settled: true}
		}
		// expired holds expired slots that a VM still lists because it was paused.
		expired := map[[2]int]lease.Slot{}
		in := func(vm int) inputs {
			h := &lease.Holding{Total: slots}
			for i, o := range owner {
				if o == vm {
					h.Slots = append(h.Slots, held[i])
				} else if old, ok := expired[[2]int{vm, i}]; ok {
					h.Slots = append(h.Slots, old)
				}
			}
			return inputs{now: now, config: f.config, members: f.view, holding: h}
		}
		var active []runningRequest
		end := func(i int) {
			r := active[i]
			active = append(active[:i], active[i+1:]...)
			pools[r.vm].release(in(r.vm), r.assignment, done)
		}
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				vm := rapid.IntRange(0, vms-1).Draw(t, "vm")
				deadline := now.Add(timeout)
				for range rapid.IntRange(1, 8).Draw(t, "requests") {
					a, w, _ := pools[vm].acquire(in(vm), &request{Request: f.request(""), deadline: deadline})
					if w != nil {
						pools[vm].abandon(now, w)
					}
					if a != nil {
						active = append(active, runningRequest{vm, a, deadline})
					}
				}
			},
			"end": func(t *rapid.T) {
				if len(active) > 0 {
					end(rapid.IntRange(0, len(active)-1).Draw(t, "request"))
				}
			},
			"take over": func(t *rapid.T) {
				i := rapid.IntRange(0, slots-1).Draw(t, "slot")
				old := held[i]
				old.Until = now
				expired[[2]int{owner[i], i}] = old
				owner[i] = rapid.IntRange(0, vms-1).Draw(t, "owner")
				held[i].Since, held[i].Settled = now, false
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second)
				for i := len(active) - 1; i >= 0; i-- {
					if !now.Before(active[i].deadline) {
						end(i)
					}
				}
			},
			"": func(t *rapid.T) {
				total := map[string]int{}
				for vm, p := range pools {
					for _, local := range p.localTargets {
						total[local.ID] += local.running
						if n := total[local.ID]; n > local.Slots {
							t.Fatalf("target %s runs %d requests, more than its %d slots", local.ID, n, local.Slots)
						}
						if limit := max(local.running, permit.Connections(local.Target, local.held)); limit > local.Connections {
							t.Fatalf("VM %d needs %d connections to one target, more than the target accepts", vm, limit)
						}
					}
				}
			},
		})
	})
}

// TestConnectionSharesStayWithinLimit checks that the VMs' shares of the connections to a
// target add up to at most its limit, in both reference fleets.
func TestConnectionSharesStayWithinLimit(t *testing.T) {
	for _, z := range []size{agencySize, studioSize} {
		s := newSim(z, policyFull, 1)
		s.tick()
		for _, id := range s.ids {
			sum := 0
			for _, vm := range s.vms {
				for _, local := range vm.pool.localTargets {
					if local.ID == id {
						sum += permit.Connections(local.Target, local.held)
					}
				}
			}
			if limit := s.targets[id].Connections; sum > limit {
				t.Errorf("target %s: the VMs' shares add up to %d connections, more than the limit of %d", id, sum, limit)
			}
		}
	}
}
