package limit

import (
	"slices"
	"time"

	peerpb "crocusramp.dev/crocusramp/api/peer/v1"
	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/lease"
)

const (
	// initialRoundTrip is assumed until the first answer.
	initialRoundTrip = 25 * time.Millisecond
	// askTimeout and minAskTimeout bound a request for tokens.
	askTimeout    = 400 * time.Millisecond
	minAskTimeout = 50 * time.Millisecond
	// askAhead is how much of its demand a VM asks the home for at once.
	askAhead = 100 * time.Millisecond
	// maxAheadBurst is the largest part of the burst that is asked for ahead.
	maxAheadBurst = 0.05
	// failedAskPause is how long a VM refuses without asking again after the
	// home did not answer.
	failedAskPause = 100 * time.Millisecond
	// maxDeny bounds how long a VM relies on the home's word that there are no
	// tokens.
	maxDeny = 50 * time.Millisecond
	// maxAmount is the largest rate or burst; float64 counts single tokens up
	// to it.
	maxAmount = 1 << 52
	// noShareRetry is the RetryAfter where no token is in sight.
	noShareRetry = time.Second
	// minLendFraction is the smallest part of its own share that a VM lends
	// to the home.
	minLendFraction = 0.01
	// maxWaits is how often one admission waits for tokens.
	maxWaits = 2
	// maxAsksUnderWay bounds the concurrent requests for tokens.
	maxAsksUnderWay = 16
	// askSlack is added to the round trip for the length of a loan of tokens.
	askSlack = 2 * time.Millisecond
	// localRate is the share of the limit that a VM wants for itself, relative
	// to its demand.
	localRate = 1.0
	// localBurst is the part of the burst that VMs keep of their rate's share;
	// the rest comes together at the home.
	localBurst = 0.5
	// minLocalBurst and minLocalRate are the least that is worth having on a
	// VM: below, the estimate of its demand is too rough and its bucket too
	// small, and the tokens serve better together at the home.
	minLocalBurst = 2.0
	minLocalRate  = 32.0
	// hysteresis is the change of demand that moves shares.
	hysteresis = 0.25
	// homeReserve and homeBurst are the parts of the limit that the home does
	// not lend on.
	homeReserve = 0.05
	homeBurst   = 0.4
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
	// asks counts the requests for tokens under way, coming the tokens that
	// they asked for and waiting the admissions that wait for them.
	asks      int
	coming    float64
	waiting   int
	denyUntil clock.Time
	roundTrip time.Duration
	// want is the share that the VM would best have for its own demand.
	want   share
	nextID func() uint64
}

func newBook(name string, nextID func() uint64) *book {
	return &book{name: name, nextID: nextID, roundTrip: initialRoundTrip}
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
	if a != nil {
		b.limit = share{finite(a.Rate), finite(a.Burst)}
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

// admit decides on one request, which waited for tokens waits times before.
func (b *book) admit(waits int, now clock.Time) step {
	if waits == 0 {
		b.demand.add(now)
	} else {
		b.waiting--
	}
	admitted := b.take(now)
	switch {
	case b.home && admitted:
		return stepAdmit
	case b.home:
		return stepRefuse
	case admitted && b.asks == 0 && b.low() && !now.Before(b.denyUntil):
		return stepRefill
	case admitted:
		return stepAdmit
	case now.Before(b.denyUntil) || waits == maxWaits:
		return stepRefuse
	}
	b.waiting++
	if b.asks >= maxAsksUnderWay || (b.asks > 0 && b.coming >= float64(b.waiting)) {
		return stepWaitAsk
	}
	return stepAsk
}

// abandon ends a wait without a decision.
func (b *book) abandon() { b.waiting-- }

// low reports whether the VM asks for tokens ahead of demand: what it spends
// beyond its own rate while it waits for the answer is more than it has. Where
// that is less than a token, the tokens would mostly end unused; where it is
// much of the burst, others would miss them.
func (b *book) low() bool {
	spent := b.deficit() * b.roundTrip.Seconds()
	return spent >= 1 && b.tokens < spent && b.ahead() <= b.limit.capacity*maxAheadBurst
}

// ahead is how many tokens a VM asks for that is low.
func (b *book) ahead() float64 { return b.deficit() * (askAhead + b.roundTrip).Seconds() }

// deficit is the demand that the bucket's own rate does not cover.
func (b *book) deficit() float64 { return max(0, b.demand.rate()-b.net.rate) }

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
	r := &peerpb.AccountRequest{Account: b.name, Returns: b.returnSpent(now)}
	wait := b.roundTrip + b.roundTrip/8 + askSlack
	n := float64(b.waiting) - b.coming
	if b.low() {
		n += b.ahead() - b.tokens
		wait += askAhead
	}
	r.Tokens = max(1, n)
	b.asks++
	b.coming += r.Tokens
	r.TokensUs = wait.Microseconds()
	return r
}

// timeout is how long the VM waits for the answer to ask. A loan of tokens has
// ended by then, but a late answer still tells the length of the round trip.
func (b *book) timeout() time.Duration {
	return min(askTimeout, max(minAskTimeout, 4*b.roundTrip))
}

// returnSpent stops using the token loans that the bucket has no use for.
func (b *book) returnSpent(now clock.Time) []*peerpb.LoanReturn {
	b.advance(now)
	var spent []*peerpb.LoanReturn
	for i := len(b.borrowed) - 1; i >= 0; i-- {
		x := b.borrowed[i]
		if x.kind == tokensOnly && b.tokens <= b.net.capacity-x.share.capacity {
			b.giveBack(x.id, x.peer, now)
			spent = append(spent, &peerpb.LoanReturn{Id: x.id})
		}
	}
	return spent
}

// asked takes in the answer r to the request q, which was sent at sent; nil
// says that there was none.
func (b *book) asked(q *peerpb.AccountRequest, r *peerpb.AccountResponse, peer string, sent, now clock.Time) {
	b.asks--
	b.coming -= q.Tokens
	if r == nil {
		b.denyUntil = now.Add(failedAskPause)
		b.roundTrip = min(askTimeout, max(2*b.roundTrip, now.Sub(sent)))
		return
	}
	b.roundTrip = max(now.Sub(sent), b.roundTrip-b.roundTrip/16)
	b.accept(tokensOnly, r, peer, sent, now)
	if len(r.Grants) == 0 {
		b.denyUntil = now.Add(min(maxDeny, time.Duration(r.RetryAfterUs)*time.Microsecond))
	}
}

// accept adds what a response grants and extends.
func (b *book) accept(kind loanKind, r *peerpb.AccountResponse, peer string, sent, now clock.Time) {
	for _, id := range r.Extended {
		b.extended(id, peer, time.Duration(r.ExtendedUs)*time.Microsecond, sent, now)
	}
	for _, g := range r.Grants {
		b.borrow(grant{
			id:       g.Id,
			kind:     kind,
			share:    share{finite(g.Rate), finite(g.Capacity)},
			tokens:   finite(g.Tokens),
			duration: time.Duration(g.DurationUs) * time.Microsecond,
		}, peer, sent, now)
	}
}

// collect makes the periodic request of a home to a peer: it extends its loans
// and asks for more. A VM that is home no longer returns what it still has. It
// is nil where there is nothing to say.
func (b *book) collect(peer string, now clock.Time) *peerpb.AccountRequest {
	b.advance(now)
	r := &peerpb.AccountRequest{Account: b.name, Collect: b.home}
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
	for i := range b.borrowed {
		x := &b.borrowed[i]
		if x.peer == peer && slices.Contains(q.Extend, x.id) && !slices.Contains(r.Extended, x.id) {
			x.recalled, again = true, true
		}
	}
	return again
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

// finite returns x, or 0 where no limit can have that value: one such value
// would spread to every sum.
func finite(x float64) float64 {
	if x >= 0 && x <= maxAmount {
		return x
	}
	return 0
}

// serve answers a peer's request as the lender.
func (b *book) serve(r *peerpb.AccountRequest, peer string, now clock.Time) *peerpb.AccountResponse {
	for _, x := range r.Returns {
		b.takeBack(x.Id, peer, finite(x.Tokens), now)
	}
	out := &peerpb.AccountResponse{Account: b.name}
	d := relendDuration
	if r.Collect {
		d = collectDuration
	}
	out.ExtendedUs = d.Microseconds()
	b.advance(now)
	// Only the home lends on, and it recalls by not extending.
	keep := b.home
	if r.Collect {
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
		b.grantTokens(out, n, time.Duration(r.TokensUs)*time.Microsecond, peer, now)
	}
	return out
}

// idle is the part of its own share that the VM has no use for.
func (b *book) idle(now clock.Time) share { return b.own(now).minus(b.want).positive() }

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

func (b *book) grantTokens(out *peerpb.AccountResponse, n float64, d time.Duration, peer string, now clock.Time) {
	d = max(0, min(tokenDuration, d))
	g, ok := b.lendTokens(b.nextID(), peer, n, d, now)
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
