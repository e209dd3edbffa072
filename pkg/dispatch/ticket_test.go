package dispatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
)

// TestEveryWaiterIsDecided runs random requests through a pool that queues, hands over and
// expires them, and checks after each step that every request that has left the queue was
// either granted or refused.
func TestEveryWaiterIsDecided(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		f.view.Peers = append(f.view.Peers, peerVM(1, "east", 2), peerVM(2, "west", 2))
		c := f.schedulerConfig().withDefaults()
		c.QueueCapacity = 3
		p := newPool(c, c.Pools[0], newLinks(c.MaxLinkRequests, c.Regions), 1)
		now := clock.Time(0)
		in := func() inputs {
			return inputs{now: now, config: f.config, members: f.view, holding: f.holding}
		}
		var active []*assignment
		waiting := map[*waiter]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				r := f.request(rapid.StringN(0, 1, -1).Draw(t, "id"))
				r.Account = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account")
				r.HandedOver = rapid.Bool().Draw(t, "handed over")
				wait := time.Duration(rapid.IntRange(1, 5000).Draw(t, "deadline")) * time.Millisecond
				a, w, refusal := p.acquire(in(), &request{Request: r, deadline: now.Add(wait)})
				results := 0
				for _, set := range []bool{a != nil, w != nil, refusal != nil} {
					if set {
						results++
					}
				}
				if results != 1 {
					t.Fatalf("assignment %v, waiter %v, refusal %v, want exactly one of them", a, w, refusal)
				}
				if a != nil {
					active = append(active, a)
				}
				if w != nil {
					waiting[w] = true
				}
			},
			"release": func(t *rapid.T) {
				if len(active) == 0 {
					return
				}
				a := active[0]
				active = active[1:]
				p.release(in(), a, rapid.SampledFrom([]Result{done, {Status: 503}, {Shed: true, Status: 503}}).Draw(t, "result"))
				p.serveQueue(in())
			},
			"tick": func(*rapid.T) { p.tick(in()) },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
			},
			"drain": func(t *rapid.T) {
				var drains map[string]*config.Drain
				if rapid.Bool().Draw(t, "drained") {
					drains = map[string]*config.Drain{"d": {Name: "d", Kind: config.DrainRegion, Subject: "east"}}
				}
				f.change(drains, f.view.Peers...)
			},
			"": func(t *rapid.T) {
				for w := range waiting {
					if w.entry.Queued() != (w.assignment == nil && w.refusal == nil) || w.assignment != nil && w.refusal != nil {
						t.Fatalf("queued %v, assignment %v, refusal %v", w.entry.Queued(), w.assignment, w.refusal)
					}
					if !w.entry.Queued() {
						delete(waiting, w)
						if w.assignment != nil {
							active = append(active, w.assignment)
						}
					}
				}
			},
		})
	})
}
