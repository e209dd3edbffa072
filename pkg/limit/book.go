package limit

import (
	"time"

	peerpb "crocusramp.dev/crocusramp/api/peer/v1"
	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/lease"
)

const (
	// askAhead is how much of its demand a VM asks the home for at once.
	askAhead = 100 * time.Millisecond
	// failedAskPause is how long a VM refuses without asking again after the
	// home did not answer.
	failedAskPause = 100 * time.Millisecond
	// maxDeny bounds how long a VM relies on the home's word that there are no
	// tokens.
	maxDeny = 50 * time.Millisecond
	// noShareRetry is the RetryAfter where no token is in sight.
	noShareRetry = time.Second
	// minLendFraction is the smallest part of its own share that a VM lends
	// to the home.
	minLendFraction = 0.01
)

// book decides for one client account on one VM: whom to admit, when to ask
// for tokens, what to lend. It is pure; the caller supplies now, locks it, and
// carries its messages.
type book struct {
	ledger
	name   string
	limit  share
	demand meter
	// home reports that this VM is the account's home.
	home bool
	// asking is set while a request for tokens is under way.
	asking    bool
	denyUntil clock.Time
	roundTrip time.Duration
	nextID    func() uint64
}

// step says what follows a decision.
type step uint8

const (
	stepAdmit   step = iota // the request is admitted
	stepRefuse              // it is refused
	stepAsk                 // the caller asks the home, then decides again
	stepRefill              // it is admitted, and the caller asks the home
	stepWaitAsk             // the caller waits for the ask under way
)

// setShares makes the book follow the held slots and the account's limit. A
// slot that had a holder before counts only once that holder's loans ended.
func (b *book) setShares(a *config.Account, h *lease.Holding, now clock.Time) {
	b.limit = share{}
	if a != nil && a.Rate > 0 && a.Burst > 0 {
		b.limit = share{a.Rate, a.Burst}
	}
	n := float64(max(1, h.Total))
	each := share{b.limit.rate / n, b.limit.capacity / n}
	parts := make([]part, len(h.Slots))
	for i, s := range h.Slots {
		parts[i] = part{share: each, from: s.Since, until: s.Until}
		if !s.New {
			parts[i].from = s.Since.Add(settleTime)
		}
	}
	b.setParts(parts, now)
}

// admit decides on one request. retry says whether it waited for tokens
// already.
func (b *book) admit(retry bool, now clock.Time) step {
	if !retry {
		b.demand.add(now)
	}
	admitted := b.take(now)
	switch {
	case b.home:
		if admitted {
			return stepAdmit
		}
		return stepRefuse
	case admitted && (b.asking || b.tokens >= b.lowWater() || now.Before(b.denyUntil)):
		return stepAdmit
	case admitted:
		return stepRefill
	case b.asking:
		return stepWaitAsk
	case now.Before(b.denyUntil):
		return stepRefuse
	}
	return stepAsk
}

// lowWater is the number of tokens below which a VM asks for more: what it
// spends while it waits for the answer.
func (b *book) lowWater() float64 { return b.demand.rate() * b.roundTrip.Seconds() }

// retryAfter is when a refused request may come back.
func (b *book) retryAfter(now clock.Time) time.Duration {
	if now.Before(b.denyUntil) {
		return b.denyUntil.Sub(now)
	}
	if d := b.wait(1); d > 0 {
		return d
	}
	return noShareRetry
}

// ask makes the request for tokens that goes to the home. Loans whose tokens
// are spent go back with it.
func (b *book) ask(now clock.Time) *peerpb.AccountRequest {
	b.asking = true
	ahead := b.demand.rate() * (askAhead + b.roundTrip).Seconds()
	return &peerpb.AccountRequest{
		Account: b.name,
		Returns: b.returnSpent(now),
		Tokens:  max(1, ahead-b.tokens),
	}
}

// returnSpent stops using the token loans that the bucket has no use for.
func (b *book) returnSpent(now clock.Time) []*peerpb.LoanReturn {
	b.advance(now)
	var spent []*peerpb.LoanReturn
	for i := len(b.borrowed) - 1; i >= 0; i-- {
		x := b.borrowed[i]
		if x.tokensOnly && b.tokens <= b.net.capacity-x.share.capacity {
			b.giveBack(x.id, x.peer, now)
			spent = append(spent, &peerpb.LoanReturn{Id: x.id})
		}
	}
	return spent
}

// asked takes in the answer to ask, which was sent at sent; nil says that
// there was none.
func (b *book) asked(r *peerpb.AccountResponse, peer string, sent, now clock.Time) {
	b.asking = false
	if r == nil {
		b.denyUntil = now.Add(failedAskPause)
		return
	}
	b.roundTrip += (now.Sub(sent) - b.roundTrip) / 4
	b.accept(r, peer, sent, now)
	if len(r.Grants) == 0 {
		b.denyUntil = now.Add(min(maxDeny, time.Duration(r.RetryAfterUs)*time.Microsecond))
	}
}

// accept adds what a response grants and extends.
func (b *book) accept(r *peerpb.AccountResponse, peer string, sent, now clock.Time) {
	for _, id := range r.Extended {
		b.extended(id, peer, time.Duration(r.ExtendedUs)*time.Microsecond, sent, now)
	}
	for _, g := range r.Grants {
		b.borrow(grant{
			id:       g.Id,
			share:    share{g.Rate, g.Capacity},
			tokens:   g.Tokens,
			duration: time.Duration(g.DurationUs) * time.Microsecond,
		}, peer, sent, now)
	}
}

// collect makes the periodic request to a peer: the home extends its loans and
// asks for more, any other VM returns what it still has from a time as home.
// It is nil where there is nothing to say.
func (b *book) collect(peer string, now clock.Time) *peerpb.AccountRequest {
	b.advance(now)
	r := &peerpb.AccountRequest{Account: b.name, Collect: b.home}
	for i := len(b.borrowed) - 1; i >= 0; i-- {
		x := b.borrowed[i]
		switch {
		case x.peer != peer || x.tokensOnly:
		case b.home:
			r.Extend = append(r.Extend, x.id)
		default:
			tokens, _ := b.giveBack(x.id, peer, now)
			r.Returns = append(r.Returns, &peerpb.LoanReturn{Id: x.id, Tokens: tokens})
		}
	}
	if !b.home && len(r.Returns) == 0 {
		return nil
	}
	return r
}

// serve answers a peer's request as the lender.
func (b *book) serve(r *peerpb.AccountRequest, peer string, now clock.Time) *peerpb.AccountResponse {
	for _, x := range r.Returns {
		b.takeBack(x.Id, peer, x.Tokens, now)
	}
	out := &peerpb.AccountResponse{Account: b.name, ExtendedUs: collectDuration.Microseconds()}
	for _, id := range r.Extend {
		if b.extend(id, peer, collectDuration, now) {
			out.Extended = append(out.Extended, id)
		}
	}
	if r.Collect && !b.home {
		b.grantIdle(out, peer, now)
	}
	if r.Tokens >= 1 {
		b.grantTokens(out, r.Tokens, peer, now)
	}
	return out
}

func (b *book) grantIdle(out *peerpb.AccountResponse, peer string, now clock.Time) {
	b.advance(now)
	own := b.own(now)
	idle := b.lendable(now.Add(collectDuration + collectDuration/driftDivisor))
	if idle.capacity <= own.capacity*minLendFraction || idle.rate <= own.rate*minLendFraction {
		return
	}
	if g, ok := b.lend(b.nextID(), peer, idle, b.tokens, collectDuration, now); ok {
		out.Grants = append(out.Grants, g.message())
	}
}

func (b *book) grantTokens(out *peerpb.AccountResponse, n float64, peer string, now clock.Time) {
	g, ok := b.lendTokens(b.nextID(), peer, n, now)
	if ok {
		out.Grants = append(out.Grants, g.message())
		return
	}
	wait := b.wait(1)
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

// summary describes the book for status.
func (b *book) summary(name string) Share {
	s := Share{Account: name, Rate: b.net.rate, Burst: b.net.capacity, Tokens: b.tokens}
	for _, x := range b.lent {
		s.Lent += x.share.rate
	}
	for _, x := range b.borrowed {
		s.Borrowed += x.share.rate
	}
	return s
}
