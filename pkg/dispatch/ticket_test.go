package dispatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
)

// TestEveryTicketIsDecided runs random requests through a pool that queues,
// hands over and expires, and checks after each step that whatever has left
// the queue has been granted or refused, exactly one of the two.
func TestEveryTicketIsDecided(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		f.view.Peers = append(f.view.Peers, peerVM(1, "east", 2), peerVM(2, "west", 2))
		c := f.schedulerConfig().withDefaults()
		c.QueueCapacity = 3
		p := newPool(c, c.Pools[0], newLinks(c.LinkRequests, c.Regions), 1)
		now := clock.Time(0)
		in := func() inputs {
			return inputs{now: now, config: f.config, members: f.view, holding: f.holding}
		}
		var active []*lent
		waiting := map[*ticket]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				r := f.request(rapid.StringN(0, 1, -1).Draw(t, "id"))
				r.Account = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account")
				r.HandedOver = rapid.Bool().Draw(t, "handed over")
				wait := time.Duration(rapid.IntRange(1, 5000).Draw(t, "deadline")) * time.Millisecond
				l, ticket, refusal := p.acquire(in(), &request{Request: r, deadline: now.Add(wait)})
				results := 0
				for _, set := range []bool{l != nil, ticket != nil, refusal != nil} {
					if set {
						results++
					}
				}
				if results != 1 {
					t.Fatalf("decision %v, %v, %v", l, ticket, refusal)
				}
				if l != nil {
					active = append(active, l)
				}
				if ticket != nil {
					waiting[ticket] = true
				}
			},
			"release": func(t *rapid.T) {
				if len(active) == 0 {
					return
				}
				l := active[0]
				active = active[1:]
				p.release(in(), l, rapid.SampledFrom([]Result{done, {Status: 503}, {Shed: true, Status: 503}}).Draw(t, "result"))
				p.serve(in())
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
				for ticket := range waiting {
					if ticket.entry.Queued() != (ticket.lent == nil && ticket.refusal == nil) || ticket.lent != nil && ticket.refusal != nil {
						t.Fatalf("queued %v, lent %v, refusal %v", ticket.entry.Queued(), ticket.lent, ticket.refusal)
					}
					if !ticket.entry.Queued() {
						delete(waiting, ticket)
						if ticket.lent != nil {
							active = append(active, ticket.lent)
						}
					}
				}
			},
		})
	})
}
