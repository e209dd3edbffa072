package limit

import (
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
	// maxFillSeconds keeps a fill time within time.Duration.
	maxFillSeconds = 1e9
	// noShareRetry is the RetryAfter where no token is in sight.
	noShareRetry = time.Second
	// minLendFraction is the smallest part of its own share that a VM lends
	// to the home.
	minLendFraction = 0.01
	// maxWaits is how often one admission waits for tokens.
	maxWaits = 2
	// maxAsksUnderWay bounds the concurrent requests for tokens.
	maxAsksUnderWay = 16
	// farHome is the round trip from which a book that is eager asks ahead of its next
	// request.
	farHome = 20 * time.Millisecond
	// minAheadUses is how many requests must be expected while a token lasts that is asked
	// for ahead: most of them would else end unused.
	minAheadUses = 1.5
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
	// Below lightLoad every VM keeps lightShare of its own share, so that it
	// needs no home; above heavyLoad all that it has no demand for is collected.
	lightLoad  = 0.4
	heavyLoad  = 0.5
	lightShare = 0.5
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
	// denySparing is the same for requests that leave tokens to more urgent ones.
	denySparing clock.Time
	roundTrip   time.Duration
	// eager books are those of small limits: their VMs ask far homes ahead of each request.
	eager bool
	// reports holds the demand of the other VMs, on the home.
	reports map[string]float64
	// light says that load is low, and that every VM keeps a part of its share.
	light bool
	// begun is for how many parts the tokens of the start were given.
	begun int
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

// setShares makes the book follow the held slots and the account's limit. Slots that are
// lost take their tokens along under the limit before: a larger capacity of the others would
// hide the loss.
func (b *book) setShares(a *config.Account, h *lease.Holding, now clock.Time) {
	next := share{}
	if a != nil {
		next = share{finite(a.Rate), finite(a.Burst)}
	}
	if b.started && next != b.limit {
		b.setParts(partsOf(b.limit, h), now)
	}
	b.limit, b.most = next, next
	b.setParts(partsOf(next, h), now)
}

// partsOf returns the held slots' parts of a limit. A slot that had a holder before counts
// only once that holder's loans ended.
func partsOf(limit share, h *lease.Holding) []part {
	n := float64(max(1, h.Total))
	each := share{limit.rate / n, limit.capacity / n}
	parts := make([]part, len(h.Slots))
	for i, s := range h.Slots {
		parts[i] = part{share: each, from: s.Since, until: s.Until, kept: s.Kept}
		if !s.New {
			parts[i].from = s.Since.Add(settleTime)
		}
	}
	return parts
}

// startWith gives a book that starts some tokens for each part that it holds, once.
func (b *book) startWith(each float64) {
	if more := len(b.parts) - b.begun; more > 0 {
		b.begun = len(b.parts)
		b.tokens = min(b.net.capacity, b.tokens+float64(more)*finite(each))
	}
}

// fillTime is how long an empty bucket takes to be full.
func (b *book) fillTime() time.Duration {
	if b.limit.rate == 0 {
		return 0
	}
	return time.Duration(min(b.limit.capacity/b.limit.rate, maxFillSeconds) * float64(time.Second))
}

// admit decides on one request, which waited for tokens waits times before. It leaves a part
// of the home's bucket to more urgent requests.
func (b *book) admit(waits int, spare float64, now clock.Time) step {
	if waits == 0 {
		b.demand.add(now)
	} else {
		b.waiting--
	}
	admitted := b.takeHere(spare, now)
	switch {
	case b.home && admitted:
		return stepAdmit
	case b.home:
		return stepRefuse
	case admitted && b.asks == 0 && b.low() && !now.Before(b.denyUntil):
		return stepRefill
	case admitted:
		return stepAdmit
	case now.Before(b.deniedUntil(spare)) || waits == maxWaits:
		return stepRefuse
	}
	b.waiting++
	if b.asks >= maxAsksUnderWay || (b.asks > 0 && b.coming >= float64(b.waiting)) {
		return stepWaitAsk
	}
	return stepAsk
}

// takeHere takes a token of this VM's. Those that are not at the home were asked for.
func (b *book) takeHere(spare float64, now clock.Time) bool {
	if !b.home {
		spare = 0
	}
	return b.takeSparing(spare, now)
}

// deniedUntil is until when the home has no tokens for requests that leave a part of its
// bucket.
func (b *book) deniedUntil(spare float64) clock.Time {
	if spare > 0 {
		return max(b.denyUntil, b.denySparing)
	}
	return b.denyUntil
}

// abandon ends a wait without a decision.
func (b *book) abandon() { b.waiting-- }

// low reports whether the VM asks for tokens ahead of demand: what it spends
// beyond its own rate while it waits for the answer is more than it has. Where
// that is less than a token, the tokens would mostly end unused; where it is
// much of the burst, others would miss them.
func (b *book) low() bool {
	if b.asksAhead() {
		return b.tokens < 1
	}
	spent := b.deficit() * b.roundTrip.Seconds()
	return spent >= 1 && b.tokens < spent && b.ahead() <= b.limit.capacity*maxAheadBurst
}

// asksAhead reports whether the VM asks for the token of its next request before that comes.
func (b *book) asksAhead() bool {
	return b.eager && b.roundTrip >= farHome && b.demand.rate()*(tokenDuration-b.roundTrip).Seconds() >= minAheadUses
}

// ahead is how many tokens a VM asks for that is low.
func (b *book) ahead() float64 {
	if b.asksAhead() {
		return 1 + b.demand.rate()*b.roundTrip.Seconds()
	}
	return b.deficit() * (askAhead + b.roundTrip).Seconds()
}

// deficit is the demand that the bucket's own rate does not cover.
func (b *book) deficit() float64 { return max(0, b.demand.rate()-b.net.rate) }

// retryAfter is when a refused request may come back.
func (b *book) retryAfter(spare float64, now clock.Time) time.Duration {
	if until := b.deniedUntil(spare); now.Before(until) {
		return until.Sub(now)
	}
	if !b.home {
		spare = 0
	}
	if d := b.wait(1 + b.spare(spare)); d > 0 {
		return d
	}
	return noShareRetry
}

// ask makes the request for tokens that goes to the home. Loans whose tokens
// are spent go back with it.
func (b *book) ask(spare float64, now clock.Time) *peerpb.AccountRequest {
	r := &peerpb.AccountRequest{Account: b.name, Returns: b.returnSpent(now), Spare: spare}
	wait := b.roundTrip + b.roundTrip/8 + askSlack
	n := float64(b.waiting) - b.coming
	if b.low() {
		n += b.ahead() - b.tokens
		wait += askAhead
		if b.asksAhead() {
			wait = tokenDuration
		}
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
		until := now.Add(min(maxDeny, time.Duration(r.RetryAfterUs)*time.Microsecond))
		if q.Spare > 0 {
			b.denySparing = until
		} else {
			b.denyUntil = until
		}
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
