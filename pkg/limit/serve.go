package limit

import (
	"time"

	peerpb "crocusramp.dev/crocusramp/api/peer/v1"
	"crocusramp.dev/crocusramp/pkg/clock"
)

// serve handles a peer's request as the lender.
func (b *budget) serve(r *peerpb.AccountRequest, peer string, now clock.Time) *peerpb.AccountResponse {
	for _, x := range r.Returns {
		b.reclaim(x.Id, peer, validAmount(x.Tokens), now)
	}
	out := &peerpb.AccountResponse{Account: b.name, Demand: b.demand.smoothed}
	d := demandLoanDuration
	if r.Collect {
		d = collectDuration
	}
	out.ExtendedUs = d.Microseconds()
	b.advance(now)
	// Only the home lends borrowed shares to others; it recalls such a loan by not extending it.
	keep := b.home
	if r.Collect {
		b.underLowLoad = r.Load < lowLoad || (b.underLowLoad && r.Load < highLoad)
		keep = !b.overlent(now)
	}
	for _, id := range r.Extend {
		if keep && b.extend(id, peer, d, now) {
			out.Extended = append(out.Extended, id)
		}
	}
	if r.Collect && !b.home {
		b.grantIdle(out, peer, now)
	}
	if want := (share{validAmount(r.Rate), validAmount(r.Capacity)}); want.rate > 0 && b.home {
		b.grantShare(out, want, peer, now)
	}
	if n := validAmount(r.Tokens); n >= 1 {
		b.grantTokens(out, n, validAmount(r.Spare), time.Duration(r.TokensUs)*time.Microsecond, peer, now)
	}
	return out
}

// idle returns the part of its own share that the VM has no use for.
func (b *budget) idle(now clock.Time) share {
	own := b.own(now)
	kept := b.want
	if b.underLowLoad && own.capacity*lowLoadFraction >= 1 {
		kept = share{max(kept.rate, own.rate*lowLoadFraction), max(kept.capacity, own.capacity*lowLoadFraction)}
	}
	return own.minus(kept).positive()
}

// lentToHome returns the sum of the VM's loans to homes.
func (b *budget) lentToHome() share {
	var sum share
	for _, x := range b.lent {
		if x.kind == collectLoan {
			sum = sum.plus(x.share)
		}
	}
	return sum
}

// overlent reports whether the VM lent more to the home than it can spare.
func (b *budget) overlent(now clock.Time) bool {
	return b.lentToHome().rate > b.idle(now).rate+b.own(now).rate*minLendFraction
}

// grantIdle lends the idle share to the home, unless it is too small to be worth a loan.
func (b *budget) grantIdle(out *peerpb.AccountResponse, peer string, now clock.Time) {
	own := b.own(now)
	more := b.idle(now).minus(b.lentToHome()).positive()
	if more.capacity <= own.capacity*minLendFraction || more.rate <= own.rate*minLendFraction {
		return
	}
	tokens := b.tokens * more.capacity / max(more.capacity, b.net.capacity)
	if g, ok := b.lend(b.nextID(), peer, collectLoan, more, tokens, collectDuration, now); ok {
		out.Grants = append(out.Grants, g.message())
	}
}

// grantShare lends collected shares to a VM, but keeps enough for the VMs that request single
// tokens.
func (b *budget) grantShare(out *peerpb.AccountResponse, want share, peer string, now clock.Time) {
	free := b.lendable(now.Add(demandLoanDuration + demandLoanDuration/driftDivisor))
	reserve := share{b.limit.rate*homeReserve + b.demand.smoothed, b.limit.capacity * homeBurst}
	free = free.minus(reserve).positive()
	want = share{min(want.rate, free.rate), min(want.capacity, free.capacity)}
	if want.rate <= 0 || want.capacity <= 0 {
		return
	}
	tokens := b.tokens * want.capacity / max(want.capacity, b.net.capacity)
	if g, ok := b.lend(b.nextID(), peer, demandLoan, want, tokens, demandLoanDuration, now); ok {
		out.Grants = append(out.Grants, g.message())
	}
}

// grantTokens lends up to n tokens. If it has none to lend, it sets the time after which to ask
// again.
func (b *budget) grantTokens(out *peerpb.AccountResponse, n, reserve float64, d time.Duration, peer string, now clock.Time) {
	d = max(0, min(tokenDuration, d))
	g, ok := b.lendTokens(b.nextID(), peer, n, reserve, d, now)
	if ok {
		out.Grants = append(out.Grants, g.message())
		return
	}
	wait := b.timeUntil(1 + b.reservedTokens(reserve))
	if wait == 0 {
		wait = defaultRetryAfter
	}
	out.RetryAfterUs = wait.Microseconds()
}

func (g grant) message() *peerpb.Loan {
	return &peerpb.Loan{
		Id: g.id, Rate: g.share.rate, Capacity: g.share.capacity, Tokens: g.tokens,
		DurationUs: g.duration.Microseconds(),
	}
}

// validAmount returns x, or 0 if no limit can have that value, such as NaN. One such value from a
// peer would spread to every sum.
func validAmount(x float64) float64 {
	if x >= 0 && x <= maxAmount {
		return x
	}
	return 0
}
