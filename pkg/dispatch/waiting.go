package dispatch

import (
	"math"
	"net/http"
	"slices"
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/health"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/outcome"
	"crocusramp.dev/crocusramp/pkg/queue"
)

// wait queues the request, or refuses it where that has no use.
func (p *pool) wait(in inputs, r *request) (*lent, *ticket, *outcome.Refusal) {
	bound := p.queueBound(in.now, r)
	if bound <= 0 {
		return nil, nil, refuseLate()
	}
	if r.HandedOver && p.unreachable(in.now) || p.hopeless(in, r) {
		return nil, nil, p.refuseStranded(in.now)
	}
	t := &ticket{request: r, decided: make(chan struct{})}
	e := &entry{Account: r.Account, Weight: r.Weight, Class: r.class, Cost: p.cost(r.Route.Name),
		Expires: in.now.Add(bound), Value: t}
	dropped := p.queue.Push(e)
	if dropped == e {
		return nil, nil, p.refuse(outcome.ReasonNoCapacity, p.retryAfter(in.now), "The queue of the pool is full.")
	}
	p.counts.queued++
	if dropped != nil {
		d := dropped.Value
		d.refusal = p.refuse(outcome.ReasonNoCapacity, p.retryAfter(in.now), "The queue of the pool is full.")
		close(d.decided)
	}
	t.entry = e
	return nil, t, nil
}

// queueBound returns how long the request may wait.
func (p *pool) queueBound(now clock.Time, r *request) time.Duration {
	remaining := r.deadline.Sub(now)
	fraction := p.settings.QueueFraction[r.class]
	bound := min(time.Duration(float64(remaining)*fraction), p.settings.QueueBound[r.class])
	if r.HandedOver {
		bound = min(bound, p.settings.HandedOverBound)
	}
	return bound
}

// serve grants what can be granted to the waiting requests. It must be called
// after every event that can free a permit, here or in a peer.
func (p *pool) serve(in inputs) {
	p.update(in)
	for p.queue.Len() > 0 {
		if p.queue.LenClass(queue.Low) == p.queue.Len() && !p.roomForLow(in.now) {
			p.spill(in)
			return
		}
		b := p.pick(in.now, p.queue.Peek().Value.request.Tried)
		if b == nil {
			// Only targets that failed the request may be left.
			b = p.pick(in.now, nil)
		}
		if b == nil {
			p.spill(in)
			return
		}
		e, expired := p.queue.Pop(in.now)
		p.expire(in.now, expired)
		if e == nil {
			return
		}
		e.Value.lent = p.lend(in.now, b, e.Value.request)
		close(e.Value.decided)
	}
}

// roomForLow reports whether enough permits are free for a request of the low
// class, which leaves some to more urgent ones as long as there are such.
func (p *pool) roomForLow(now clock.Time) bool {
	if !p.urgent || now.Sub(p.lastUrgent) > lowReserveTime {
		return true
	}
	free := 0
	for _, b := range p.local {
		free += max(0, min(b.free(), b.allowed(now, p.believing)-b.running))
	}
	return lowReserve*free > p.capacity(now)
}

// spill hands waiting requests to peers, in the order of the queue, while the
// peers have room and are nearer than the end of the wait here.
func (p *pool) spill(in inputs) {
	for e := p.queue.Peek(); e != nil; e = p.queue.Peek() {
		if !in.now.Before(e.Expires) {
			p.queue.Remove(e)
			p.expire(in.now, []*entry{e})
			continue
		}
		l := p.overflow(in, e.Value.request, p.drainTime(in.now))
		if l == nil {
			return
		}
		// Pop takes out what Peek showed, since that has not expired.
		e, _ = p.queue.Pop(in.now)
		e.Value.lent = l
		close(e.Value.decided)
	}
}

// tick serves the queue and moves waiting requests elsewhere: where nothing
// can run here any more all of them, else as many as peers have room for.
func (p *pool) tick(in inputs) {
	p.serve(in)
	p.believing = p.believeDown(in.now)
	for _, e := range p.queue.Entries() {
		t := e.Value
		if !in.now.Before(e.Expires) {
			p.queue.Remove(e)
			p.expire(in.now, []*entry{e})
			continue
		}
		if l := p.overflow(in, t.request, p.drainTime(in.now)); l != nil {
			p.queue.Remove(e)
			t.lent = l
			close(t.decided)
			continue
		}
		if p.hopeless(in, t.request) {
			p.queue.Remove(e)
			t.refusal = p.refuseStranded(in.now)
			close(t.decided)
		}
	}
}

// drainTime estimates how long the queue would take to empty.
func (p *pool) drainTime(now clock.Time) time.Duration {
	return p.usualLatency() * time.Duration(p.queue.Len()) / time.Duration(max(1, p.capacity(now)))
}

// believeDown tells whether targets that claim to be down are believed.
func (p *pool) believeDown(now clock.Time) bool {
	down := 0
	for _, b := range p.local {
		if b.health.ReportedDown(now) {
			down++
		}
	}
	return health.TrustDownReports(down, len(p.local))
}

// stranded reports whether no target here will take a request before lease
// slots, drains or the targets' own drains change.
func (p *pool) stranded(now clock.Time) bool {
	for _, b := range p.local {
		if b.held > 0 && !b.drained && !b.health.ReportedDraining(now) {
			return false
		}
	}
	return true
}

// hopeless reports whether the request can run neither here nor at any peer
// before something changes, so that it need not wait.
func (p *pool) hopeless(in inputs, r *request) bool {
	if !p.stranded(in.now) {
		return false
	}
	peer := p.peers.choose(math.MaxInt64, p.peers.permits, func(peer *member.Peer) bool {
		return p.openIn[peer.Region] && !p.drainedVMs[peer.ID] && !slices.Contains(r.refusedBy, peer.Incarnation)
	})
	return peer == nil
}

// unreachable reports whether nothing can run here now for more than a moment.
func (p *pool) unreachable(now clock.Time) bool {
	for _, b := range p.local {
		if b.held > 0 && !b.drained && !b.health.ReportedDraining(now) && !b.health.Ejected() {
			return false
		}
	}
	return true
}

func (p *pool) refuseStranded(now clock.Time) *outcome.Refusal {
	return p.refuse(outcome.ReasonNoCapacity, p.retryAfter(now), "No target of the pool can be reached.")
}

func (p *pool) expire(now clock.Time, expired []*entry) {
	for _, e := range expired {
		e.Value.refusal = p.refuseExpired(now)
		close(e.Value.decided)
	}
}

// abandon takes a ticket out of the queue. It reports false where the ticket
// has been decided already.
func (p *pool) abandon(now clock.Time, t *ticket) bool {
	if !t.entry.Queued() {
		return false
	}
	p.queue.Remove(t.entry)
	t.refusal = p.refuseExpired(now)
	return true
}

func (p *pool) refuseExpired(now clock.Time) *outcome.Refusal {
	p.counts.expired++
	return p.refuse(outcome.ReasonQueueTimeout, p.retryAfter(now), "No permit of the pool came free in time.")
}

func (p *pool) refuse(reason outcome.Reason, retryAfter time.Duration, detail string) *outcome.Refusal {
	p.counts.refused++
	return outcome.Refuse(http.StatusServiceUnavailable, reason, retryAfter, detail)
}

func refuseLate() *outcome.Refusal {
	return outcome.Refuse(http.StatusGatewayTimeout, outcome.ReasonDeadline, 0, "The deadline passed before the request could be sent.")
}

// retryAfter estimates when the queue will have been served.
func (p *pool) retryAfter(now clock.Time) time.Duration {
	wait := p.usualLatency() * time.Duration(p.queue.Len()+1) / time.Duration(max(1, p.capacity(now)))
	return min(max(wait, leastRetryAfter), mostRetryAfter)
}
