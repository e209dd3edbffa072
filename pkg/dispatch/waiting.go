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

// enqueue queues the request, or refuses it if its deadline has passed, if no target can
// run it or if the queue is full.
func (p *pool) enqueue(in inputs, r *request) (*assignment, *waiter, *outcome.Refusal) {
	bound := p.maxWait(in.now, r)
	if bound <= 0 {
		return nil, nil, refuseDeadline()
	}
	if r.HandedOver && p.hasNoUsableTarget(in.now) || p.cannotRun(in, r) {
		return nil, nil, p.refuseNoTarget(in.now)
	}
	w := &waiter{request: r, decided: make(chan struct{})}
	e := &entry{Account: r.Account, Weight: r.Weight, Class: r.class, Cost: p.cost(r.Route.Name),
		Expires: in.now.Add(bound), Value: w}
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
	w.entry = e
	return nil, w, nil
}

// maxWait returns how long the request may wait.
func (p *pool) maxWait(now clock.Time, r *request) time.Duration {
	remaining := r.deadline.Sub(now)
	fraction := p.settings.MaxQueueWaitFraction[r.class]
	bound := min(time.Duration(float64(remaining)*fraction), p.settings.MaxQueueWait[r.class])
	if r.HandedOver {
		bound = min(bound, p.settings.MaxHandedOverWait)
	}
	return bound
}

// serveQueue grants free permits to the waiting requests and tries to hand over the rest.
// It must be called after every event that can free a permit on this VM or on a peer.
func (p *pool) serveQueue(in inputs) {
	p.update(in)
	for p.queue.Len() > 0 {
		if p.queue.LenClass(queue.Low) == p.queue.Len() && !p.hasRoomForLow(in.now) {
			p.handOverQueued(in)
			return
		}
		t := p.pick(in.now, p.queue.Peek().Value.request.TriedTargets)
		if t == nil {
			// If all targets with a free permit have been tried, use one of them again.
			t = p.pick(in.now, nil)
		}
		if t == nil {
			p.handOverQueued(in)
			return
		}
		e, expired := p.queue.Pop(in.now)
		p.expire(in.now, expired)
		if e == nil {
			return
		}
		e.Value.assignment = p.grantTarget(in.now, t, e.Value.request)
		close(e.Value.decided)
	}
}

// hasRoomForLow reports whether enough permits are free for a request of the low class.
// Such requests leave some permits to higher classes while these have requests.
func (p *pool) hasRoomForLow(now clock.Time) bool {
	if !p.seenUrgent || now.Sub(p.lastUrgent) > lowReserveTime {
		return true
	}
	free := 0
	for _, t := range p.localTargets {
		free += max(0, min(t.freePermits(), t.allowed(now, p.trustDownReports)-t.running))
	}
	return lowReserveDivisor*free > p.capacity(now)
}

// handOverQueued hands waiting requests over to peers in the order of the queue, until
// tryHandOver finds no peer for the first of them.
func (p *pool) handOverQueued(in inputs) {
	for e := p.queue.Peek(); e != nil; e = p.queue.Peek() {
		if !in.now.Before(e.Expires) {
			p.queue.Remove(e)
			p.expire(in.now, []*entry{e})
			continue
		}
		a := p.tryHandOver(in, e.Value.request, p.queueDrainTime(in.now))
		if a == nil {
			return
		}
		// Pop returns the entry that Peek returned, because it has not expired.
		e, _ = p.queue.Pop(in.now)
		e.Value.assignment = a
		close(e.Value.decided)
	}
}

// tick serves the queue and then tries to hand over each request that still waits. It
// refuses those that neither this VM nor a peer can run.
func (p *pool) tick(in inputs) {
	p.serveQueue(in)
	p.trustDownReports = p.shouldTrustDownReports(in.now)
	for _, e := range p.queue.Entries() {
		w := e.Value
		if !in.now.Before(e.Expires) {
			p.queue.Remove(e)
			p.expire(in.now, []*entry{e})
			continue
		}
		if a := p.tryHandOver(in, w.request, p.queueDrainTime(in.now)); a != nil {
			p.queue.Remove(e)
			w.assignment = a
			close(w.decided)
			continue
		}
		if p.cannotRun(in, w.request) {
			p.queue.Remove(e)
			w.refusal = p.refuseNoTarget(in.now)
			close(w.decided)
		}
	}
}

// queueDrainTime estimates how long the queue would take to empty.
func (p *pool) queueDrainTime(now clock.Time) time.Duration {
	return p.meanLatency() * time.Duration(p.queue.Len()) / time.Duration(max(1, p.capacity(now)))
}

// shouldTrustDownReports reports whether to believe targets that report to be down.
func (p *pool) shouldTrustDownReports(now clock.Time) bool {
	down := 0
	for _, t := range p.localTargets {
		if t.health.ReportedDown(now) {
			down++
		}
	}
	return health.TrustDownReports(down, len(p.localTargets))
}

// hasNoOpenTarget reports whether no local target will accept requests until lease slots,
// operators' drains or the targets' own draining states change.
func (p *pool) hasNoOpenTarget(now clock.Time) bool {
	for _, t := range p.localTargets {
		if t.held > 0 && !t.drained && !t.health.ReportedDraining(now) {
			return false
		}
	}
	return true
}

// cannotRun reports whether the request can run neither here nor at any peer until
// the lease slots, drains or peers change. Waiting is then useless.
func (p *pool) cannotRun(in inputs, r *request) bool {
	if !p.hasNoOpenTarget(in.now) {
		return false
	}
	peer := p.peers.choose(math.MaxInt64, p.peers.permits, func(peer *member.Peer) bool {
		return p.undrainedRegions[peer.Region] && !p.drainedVMs[peer.ID] && !slices.Contains(r.refusedBy, peer.Incarnation)
	})
	return peer == nil
}

// hasNoUsableTarget reports whether no local target will accept requests for some time.
// Unlike hasNoOpenTarget, it also counts ejected targets as not accepting requests.
func (p *pool) hasNoUsableTarget(now clock.Time) bool {
	for _, t := range p.localTargets {
		if t.held > 0 && !t.drained && !t.health.ReportedDraining(now) && !t.health.Ejected() {
			return false
		}
	}
	return true
}

func (p *pool) refuseNoTarget(now clock.Time) *outcome.Refusal {
	return p.refuse(outcome.ReasonNoCapacity, p.retryAfter(now), "No target of the pool can be reached.")
}

func (p *pool) expire(now clock.Time, expired []*entry) {
	for _, e := range expired {
		e.Value.refusal = p.refuseExpired(now)
		close(e.Value.decided)
	}
}

// abandon removes a request from the queue and refuses it. It returns false if the request
// has been decided already.
func (p *pool) abandon(now clock.Time, w *waiter) bool {
	if !w.entry.Queued() {
		return false
	}
	p.queue.Remove(w.entry)
	w.refusal = p.refuseExpired(now)
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

func refuseDeadline() *outcome.Refusal {
	return outcome.Refuse(http.StatusGatewayTimeout, outcome.ReasonDeadline, 0, "The deadline passed before the request could be sent.")
}

// retryAfter estimates how long the queue takes to empty, within minRetryAfter and
// maxRetryAfter.
func (p *pool) retryAfter(now clock.Time) time.Duration {
	wait := p.meanLatency() * time.Duration(p.queue.Len()+1) / time.Duration(max(1, p.capacity(now)))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
