package limit

import (
	"maps"
	"slices"

	peerpb "crocusramp.dev/crocusramp/api/peer/v1"
	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/member"
)

// collect makes the periodic request of a home to a peer: it extends its loans
// and asks for more. A VM that is home no longer returns what it still has. It
// is nil where there is nothing to say.
func (b *book) collect(peer string, now clock.Time) *peerpb.AccountRequest {
	b.advance(now)
	r := &peerpb.AccountRequest{Account: b.name, Collect: b.home}
	if b.home {
		r.Load = b.fleetLoad()
	}
	for i := len(b.borrowed) - 1; i >= 0; i-- {
		x := b.borrowed[i]
		switch {
		case x.peer != peer || x.kind != collected:
		case b.home && !x.recalled:
			r.Extend = append(r.Extend, x.id)
		default:
			if tokens, ok := b.giveBack(x.id, peer, now); ok {
				r.Returns = append(r.Returns, &peerpb.LoanReturn{Id: x.id, Tokens: tokens})
			}
		}
	}
	if !b.home && len(r.Returns) == 0 {
		return nil
	}
	return r
}

// collectedFrom takes in the answer to collect. A loan that the lender did not
// extend goes back with the next request; again reports that there is one.
func (b *book) collectedFrom(q *peerpb.AccountRequest, r *peerpb.AccountResponse, peer string, sent, now clock.Time) (again bool) {
	b.accept(collected, r, peer, sent, now)
	if b.reports == nil {
		b.reports = map[string]float64{}
	}
	b.reports[peer] = finite(r.Demand)
	for i := range b.borrowed {
		x := &b.borrowed[i]
		if x.peer == peer && slices.Contains(q.Extend, x.id) && !slices.Contains(r.Extended, x.id) {
			x.recalled, again = true, true
		}
	}
	return again
}

// fleetLoad is the demand that the peers reported at the last collection, and
// this VM's own, as a part of the rate.
func (b *book) fleetLoad() float64 {
	demand := b.demand.smoothed
	for _, d := range b.reports {
		demand += d
	}
	return demand / max(b.limit.rate, 1)
}

// forgetReports drops the reports of VMs that are not live.
func (b *book) forgetReports(view *member.View) {
	maps.DeleteFunc(b.reports, func(incarnation string, _ float64) bool {
		return !slices.ContainsFunc(view.Peers, func(p member.Peer) bool {
			return p.Incarnation == incarnation && p.State == member.Live
		})
	})
}

// relend makes the periodic request of a VM to the home: for a share that
// covers the demand beyond that of its slots. It is nil where there is nothing
// to say.
func (b *book) relend(home string, now clock.Time) *peerpb.AccountRequest {
	b.advance(now)
	b.plan(now)
	if b.home {
		return nil
	}
	own := b.own(now)
	extra := b.want.minus(own).positive()
	r := &peerpb.AccountRequest{Account: b.name}
	var have share
	for i := len(b.borrowed) - 1; i >= 0; i-- {
		x := b.borrowed[i]
		if x.peer != home || x.kind != relent {
			continue
		}
		if x.share.rate+have.rate > extra.rate*(1+hysteresis) {
			if tokens, ok := b.giveBack(x.id, home, now); ok {
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

// plan sets the share that the VM wants for itself: enough rate for its demand
// and a part of the burst, unless that part is too small to be of use; then
// the tokens are better together at the home.
func (b *book) plan(now clock.Time) {
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
