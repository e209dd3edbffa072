package limit

import (
	"maps"
	"slices"

	peerpb "crocusramp.dev/crocusramp/api/peer/v1"
	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/member"
)

// collectRequest builds the periodic request of a home to a peer: it extends its loans and requests
// more. A VM that is no longer the home returns what it still holds. It returns nil if there is
// nothing to request or return.
func (b *budget) collectRequest(peer string, now clock.Time) *peerpb.AccountRequest {
	b.advance(now)
	r := &peerpb.AccountRequest{Account: b.name, Collect: b.home}
	if b.home {
		r.Load = b.fleetLoad()
	}
	for i := len(b.borrowed) - 1; i >= 0; i-- {
		x := b.borrowed[i]
		switch {
		case x.peer != peer || x.kind != collectLoan:
		case b.home && !x.recalled:
			r.Extend = append(r.Extend, x.id)
		default:
			if tokens, ok := b.returnLoan(x.id, peer, now); ok {
				r.Returns = append(r.Returns, &peerpb.LoanReturn{Id: x.id, Tokens: tokens})
			}
		}
	}
	if !b.home && len(r.Returns) == 0 {
		return nil
	}
	return r
}

// handleCollectResponse applies the response to collectRequest. A loan that the lender did not
// extend is returned with the next request; again reports that there is one.
func (b *budget) handleCollectResponse(q *peerpb.AccountRequest, r *peerpb.AccountResponse, peer string, sent, now clock.Time) (again bool) {
	b.applyResponse(collectLoan, r, peer, sent, now)
	if b.peerDemand == nil {
		b.peerDemand = map[string]float64{}
	}
	b.peerDemand[peer] = validAmount(r.Demand)
	for i := range b.borrowed {
		x := &b.borrowed[i]
		if x.peer == peer && slices.Contains(q.Extend, x.id) && !slices.Contains(r.Extended, x.id) {
			x.recalled, again = true, true
		}
	}
	return again
}

// fleetLoad returns the demand that the peers reported at the last collection plus this VM's own,
// as a fraction of the rate.
func (b *budget) fleetLoad() float64 {
	demand := b.demand.smoothed
	for _, d := range b.peerDemand {
		demand += d
	}
	return demand / max(b.limit.rate, 1)
}

// dropStaleDemand removes the demand of VMs that are not live.
func (b *budget) dropStaleDemand(view *member.View) {
	maps.DeleteFunc(b.peerDemand, func(incarnation string, _ float64) bool {
		return !slices.ContainsFunc(view.Peers, func(p member.Peer) bool {
			return p.Incarnation == incarnation && p.State == member.Live
		})
	})
}

// shareRequest builds the periodic request of a VM to the home for a share that covers the demand
// beyond that of its own slots. It returns nil if there is nothing to request or return.
func (b *budget) shareRequest(home string, now clock.Time) *peerpb.AccountRequest {
	b.advance(now)
	b.updateWant(now)
	if b.home {
		return nil
	}
	own := b.own(now)
	extra := b.want.minus(own).positive()
	r := &peerpb.AccountRequest{Account: b.name}
	var have share
	for i := len(b.borrowed) - 1; i >= 0; i-- {
		x := b.borrowed[i]
		if x.peer != home || x.kind != demandLoan {
			continue
		}
		if x.share.rate+have.rate > extra.rate*(1+hysteresis) {
			if tokens, ok := b.returnLoan(x.id, home, now); ok {
				r.Returns = append(r.Returns, &peerpb.LoanReturn{Id: x.id, Tokens: tokens})
			}
			continue
		}
		have = have.plus(x.share)
		r.Extend = append(r.Extend, x.id)
	}
	if missing := extra.minus(have); missing.rate > b.want.rate*hysteresis/2 {
		r.Rate, r.Capacity = missing.rate, max(0, missing.capacity)
	}
	if len(r.Returns)+len(r.Extend) == 0 && r.Rate == 0 {
		return nil
	}
	return r
}

// updateWant sets the share that the VM wants for itself: enough rate for its demand and a part of
// the burst. It wants none if that part is too small to be useful, as the tokens are then more
// useful in the home's bucket.
func (b *budget) updateWant(now clock.Time) {
	b.demand.roll(now)
	var want share
	if b.limit.rate > 0 && !b.home {
		want.rate = min(b.demand.smoothed, b.limit.rate) * localRate
		want.capacity = localBurst * b.limit.capacity * want.rate / b.limit.rate
	}
	if want.capacity < minLocalBurst || want.rate < minLocalRate {
		want = share{}
	}
	low, high := b.want.rate*(1-hysteresis), b.want.rate*(1+hysteresis)
	if want.rate == 0 || want.rate < low || want.rate > high || want.rate > b.limit.rate {
		b.want = want
	}
}
