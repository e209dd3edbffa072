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

// running is a request of the property test, which ends by its deadline.
type running struct {
	vm       int
	lent     *lent
	deadline clock.Time
}

// warm ends the slow start of all targets.
func (p *pool) warm() {
	for _, b := range p.local {
		for range 1000 {
			b.health.RecordOutcome(0, health.Sample{Kind: health.Good, Latency: time.Millisecond, Running: b.Slots})
		}
	}
}

// TestTargetsNeverGetMoreThanTheirSlots lets VMs grant and end requests while
// their lease slots lapse and are taken over by others, and checks after each
// grant that over all VMs no target runs more than its slots, and no VM needs
// more than its part of the target's connections.
func TestTargetsNeverGetMoreThanTheirSlots(t *testing.T) {
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
			pools[i].warm()
		}
		for i := range slots {
			owner[i] = rapid.IntRange(0, vms-1).Draw(t, "owner")
			held[i] = lease.Slot{Index: i, Region: "east", Until: forever, New: true}
		}
		// lapsed holds what a VM that was paused still believes it has.
		lapsed := map[[2]int]lease.Slot{}
		in := func(vm int) inputs {
			h := &lease.Holding{Total: slots}
			for i, o := range owner {
				if o == vm {
					h.Slots = append(h.Slots, held[i])
				} else if old, ok := lapsed[[2]int{vm, i}]; ok {
					h.Slots = append(h.Slots, old)
				}
			}
			return inputs{now: now, config: f.config, members: f.view, holding: h}
		}
		var active []running
		end := func(i int) {
			r := active[i]
			active = append(active[:i], active[i+1:]...)
			pools[r.vm].release(in(r.vm), r.lent, done)
		}
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				vm := rapid.IntRange(0, vms-1).Draw(t, "vm")
				deadline := now.Add(timeout)
				for range rapid.IntRange(1, 8).Draw(t, "requests") {
					l, ticket, _ := pools[vm].acquire(in(vm), &request{Request: f.request(""), deadline: deadline})
					if ticket != nil {
						pools[vm].abandon(now, ticket)
					}
					if l != nil {
						active = append(active, running{vm, l, deadline})
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
				lapsed[[2]int{owner[i], i}] = old
				owner[i] = rapid.IntRange(0, vms-1).Draw(t, "owner")
				held[i].Since, held[i].New = now, false
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
					for _, b := range p.local {
						total[b.ID] += b.running
						if n := total[b.ID]; n > b.Slots {
							t.Fatalf("%s runs %d requests in %d slots", b.ID, n, b.Slots)
						}
						if limit := max(b.running, permit.Connections(b.Target, b.held)); limit > b.Connections {
							t.Fatalf("vm %d needs %d connections", vm, limit)
						}
					}
				}
			},
		})
	})
}

// TestSubsets checks that the VMs' parts of the connections to a target add up
// to its limit at most, at the sizes of the brief.
func TestSubsets(t *testing.T) {
	for _, z := range []size{agencySize, studioSize} {
		s := newSim(z, policyFull, 1)
		s.tick()
		for _, id := range s.ids {
			sum := 0
			for _, vm := range s.vms {
				for _, b := range vm.pool.local {
					if b.ID == id {
						sum += permit.Connections(b.Target, b.held)
					}
				}
			}
			if limit := s.targets[id].Connections; sum > limit {
				t.Errorf("%s: %d connections of %d", id, sum, limit)
			}
		}
	}
}
