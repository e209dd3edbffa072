package limit

import (
	"time"

	peerpb "crocusramp.dev/crocusramp/api/peer/v1"
	"crocusramp.dev/crocusramp/pkg/clock"
)

// serve answers a peer's request as the lender.
func (b *book) serve(r *peerpb.AccountRequest, peer string, now clock.Time) *peerpb.AccountResponse {
	for _, x := range r.Returns {
		b.takeBack(x.Id, peer, finite(x.Tokens), now)
	}
	out := &peerpb.AccountResponse{Account: b.name, Demand: b.demand.smoothed}
	d := relendDuration
	if r.Collect {
		d = collectDuration
	}
	out.ExtendedUs = d.Microseconds()
	b.advance(now)
	// Only the home lends on, and it recalls by not extending.
	keep := b.home
	if r.Collect {
		b.light = r.Load < lightLoad || (b.light && r.Load < heavyLoad)
		keep = !b.recalls(now)
	}
	for _, id := range r.Extend {
		if keep && b.extend(id, peer, d, now) {
			out.Extended = append(out.Extended, id)
		}
	}
	if r.Collect && !b.home {
		b.grantIdle(out, peer, now)
	}
	if want := (share{finite(r.Rate), finite(r.Capacity)}); want.rate > 0 && b.home {
		b.grantShare(out, want, peer, now)
	}
	if n := finite(r.Tokens); n >= 1 {
		b.grantTokens(out, n, finite(r.Spare), time.Duration(r.TokensUs)*time.Microsecond, peer, now)
	}
	return out
}

// idle is the part of its own share that the VM has no use for.
func (b *book) idle(now clock.Time) share {
	own := b.own(now)
	kept := b.want
	if b.light && own.capacity*lightShare >= 1 {
		kept = share{max(kept.rate, own.rate*lightShare), max(kept.capacity, own.capacity*lightShare)}
	}
	return own.minus(kept).positive()
}

// lentToHome is what the VM lent for collection.
func (b *book) lentToHome() share {
	var sum share
	for _, x := range b.lent {
		if x.kind == collected {
			sum = sum.plus(x.share)
		}
	}
	return sum
}

// recalls reports whether the VM lent more than it can spare.
func (b *book) recalls(now clock.Time) bool {
	return b.lentToHome().rate > b.idle(now).rate+b.own(now).rate*minLendFraction
}

func (b *book) grantIdle(out *peerpb.AccountResponse, peer string, now clock.Time) {
	own := b.own(now)
	more := b.idle(now).minus(b.lentToHome()).positive()
	if more.capacity <= own.capacity*minLendFraction || more.rate <= own.rate*minLendFraction {
		return
	}
	tokens := b.tokens * more.capacity / max(more.capacity, b.net.capacity)
	if g, ok := b.lend(b.nextID(), peer, collected, more, tokens, collectDuration, now); ok {
		out.Grants = append(out.Grants, g.message())
	}
}

// grantShare lends on what was collected, but keeps enough for the VMs that
// ask for single tokens.
func (b *book) grantShare(out *peerpb.AccountResponse, want share, peer string, now clock.Time) {
	free := b.lendable(now.Add(relendDuration + relendDuration/driftDivisor))
	reserve := share{b.limit.rate*homeReserve + b.demand.smoothed, b.limit.capacity * homeBurst}
	free = free.minus(reserve).positive()
	want = share{min(want.rate, free.rate), min(want.capacity, free.capacity)}
	if want.rate <= 0 || want.capacity <= 0 {
		return
	}
	tokens := b.tokens * want.capacity / max(want.capacity, b.net.capacity)
	if g, ok := b.lend(b.nextID(), peer, relent, want, tokens, relendDuration, now); ok {
		out.Grants = append(out.Grants, g.message())
	}
}

func (b *book) grantTokens(out *peerpb.AccountResponse, n, spare float64, d time.Duration, peer string, now clock.Time) {
	d = max(0, min(tokenDuration, d))
	g, ok := b.lendTokens(b.nextID(), peer, n, spare, d, now)
	if ok {
		out.Grants = append(out.Grants, g.message())
		return
	}
	wait := b.wait(1 + b.spare(spare))
	if wait == 0 {
		wait = noShareRetry
	}
	out.RetryAfterUs = wait.Microseconds()
}

func (g grant) message() *peerpb.Loan {
	return &peerpb.Loan{
		Id: g.id, Rate: g.share.rate, Capacity: g.share.capacity, Tokens: g.tokens,
		DurationUs: g.duration.Microseconds(),
	}
}

// finite returns x, or 0 where no limit can have that value: one such value
// would spread to every sum.
func finite(x float64) float64 {
	if x >= 0 && x <= maxAmount {
		return x
	}
	return 0
}
