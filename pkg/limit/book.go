package limit

import (
	"time"

	peerpb "crocusramp.dev/crocusramp/api/peer/v1"
	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/lease"
)

const (
	// initialRoundTrip is the assumed round trip to the home before the first response.
	initialRoundTrip = 25 * time.Millisecond
	// tokenRequestTimeout and minTokenRequestTimeout are the upper and lower bounds of the timeout
	// of a token request.
	tokenRequestTimeout    = 400 * time.Millisecond
	minTokenRequestTimeout = 50 * time.Millisecond
	// refillTime is the time for whose demand a VM requests tokens in advance.
	refillTime = 100 * time.Millisecond
	// maxRefillBurst is the largest fraction of the burst that is requested in advance.
	maxRefillBurst = 0.05
	// failedRequestBackoff is how long a VM refuses without another token request after the home
	// did not respond.
	failedRequestBackoff = 100 * time.Millisecond
	// maxDenyTime is the longest time for which a VM relies on the home's response that there are
	// no tokens.
	maxDenyTime = 50 * time.Millisecond
	// maxAmount is the largest rate or burst; up to it, a float64 counts single tokens exactly.
	maxAmount = 1 << 52
	// maxFillSeconds keeps a fill time within the range of time.Duration.
	maxFillSeconds = 1e9
	// defaultRetryAfter is the RetryAfter if no token will accrue.
	defaultRetryAfter = time.Second
	// minLendFraction is the smallest fraction of its own share that a VM lends to the home.
	minLendFraction = 0.01
	// maxWaits is the largest number of times that one admission waits for tokens.
	maxWaits = 2
	// maxTokenRequests limits the concurrent token requests of an account.
	maxTokenRequests = 16
	// prefetchRoundTrip is the smallest round trip at which a budget with prefetch requests the
	// token of the next request in advance.
	prefetchRoundTrip = 20 * time.Millisecond
	// minPrefetchUses is how many requests must be expected during the life of a prefetched token.
	// With fewer, most of the tokens would end unused.
	minPrefetchUses = 1.5
	// tokenLoanSlack is added to the round trip for the duration of a loan of tokens.
	tokenLoanSlack = 2 * time.Millisecond
	// localRate is the rate that a VM wants for itself, relative to its demand.
	localRate = 1.0
	// localBurst is the fraction of the burst of a VM's wanted rate that the VM keeps; the home
	// collects the rest.
	localBurst = 0.5
	// minLocalBurst and minLocalRate are the smallest share worth keeping on a VM. Below them the
	// demand estimate is too rough and the bucket too small, and the tokens are more useful in the
	// home's bucket.
	minLocalBurst = 2.0
	minLocalRate  = 32.0
	// Below lowLoad every VM keeps lowLoadFraction of its own share, so that it does not need the
	// home. Above highLoad the home collects everything that a VM has no demand for.
	lowLoad         = 0.4
	highLoad        = 0.5
	lowLoadFraction = 0.5
	// hysteresis is the relative change of demand from which shares are moved.
	hysteresis = 0.25
	// homeReserve and homeBurst are the fractions of the rate and the burst that the home does not
	// lend to others.
	homeReserve = 0.05
	homeBurst   = 0.4
)

// budget decides for one client account on one VM which requests to admit, when to request tokens
// and what to lend. It does no I/O and reads no clock: the caller locks it, passes the time and
// sends its requests.
type budget struct {
	ledger
	name   string
	limit  share
	demand meter
	// home reports that this VM is the account's home.
	home bool
	// inFlight counts the token requests in flight, requested the tokens that they ask for, and
	// waiting the admissions that wait for them.
	inFlight  int
	requested float64
	waiting   int
	denyUntil clock.Time
	// reserveDenyUntil is denyUntil for requests that leave a reserve to more urgent ones.
	reserveDenyUntil clock.Time
	roundTrip        time.Duration
	// prefetch enables requesting the token of the next request in advance from a distant home. It
	// is meant for small limits.
	prefetch bool
	// peerDemand holds the demand of the other VMs; only the home uses it.
	peerDemand map[string]float64
	// underLowLoad reports that the load is low, so that every VM keeps a part of its share.
	underLowLoad bool
	// startedSlots is the number of slots that start tokens were given for.
	startedSlots int
	// want is the share that suits the VM's own demand best.
	want   share
	nextID func() uint64
}

func newBudget(name string, nextID func() uint64) *budget {
	return &budget{name: name, nextID: nextID, roundTrip: initialRoundTrip}
}

// step is the outcome of one admission decision.
type step uint8

const (
	stepAdmit       step = iota // the request is admitted
	stepRefuse                  // it is refused
	stepRequest                 // the caller requests tokens from the home, then decides again
	stepAdmitRefill             // it is admitted, and the caller requests tokens from the home
	stepWait                    // the caller waits for the token request in flight
)

// setShares applies the held slots and the account's limit. It first removes lost slots under the
// previous limit, so that their tokens are lost with them: if the limit was raised as well, the
// larger capacity of the other slots would hide the loss.
func (b *budget) setShares(a *config.Account, h *lease.Holding, now clock.Time) {
	next := share{}
	if a != nil {
		// Larger limits count as the largest that can be counted.
		next = share{validAmount(min(a.Rate, maxAmount)), validAmount(min(a.Burst, maxAmount))}
	}
	if b.started && next != b.limit {
		b.setSlotShares(slotSharesOf(b.limit, h), now)
	}
	b.limit, b.maxShare = next, next
	b.setSlotShares(slotSharesOf(next, h), now)
}

// slotSharesOf returns the shares of a limit that belong to the held slots. The share of a slot with
// a previous holder becomes valid once the loans of that holder have ended.
func slotSharesOf(limit share, h *lease.Holding) []slotShare {
	n := float64(max(1, h.Total))
	each := share{limit.rate / n, limit.capacity / n}
	slotShares := make([]slotShare, len(h.Slots))
	for i, s := range h.Slots {
		slotShares[i] = slotShare{share: each, from: s.Since, until: s.Until, kept: s.Kept}
		if !s.Settled {
			slotShares[i].from = s.Since.Add(loanDrainTime)
		}
	}
	return slotShares
}

// addStartTokens adds the given number of start tokens for each held slot, once per slot.
func (b *budget) addStartTokens(each float64) {
	if more := len(b.slotShares) - b.startedSlots; more > 0 {
		b.startedSlots = len(b.slotShares)
		b.tokens = min(b.net.capacity, b.tokens+float64(more)*validAmount(each))
	}
}

// fillTime returns how long an empty bucket takes to fill.
func (b *budget) fillTime() time.Duration {
	if b.limit.rate == 0 {
		return 0
	}
	return time.Duration(min(b.limit.capacity/b.limit.rate, maxFillSeconds) * float64(time.Second))
}

// admit decides on one request, which has waited for tokens waits times before. On the home it
// leaves the reserve, a fraction of the bucket, to more urgent requests.
func (b *budget) admit(waits int, reserve float64, now clock.Time) step {
	if waits == 0 {
		b.demand.add(now)
	} else {
		b.waiting--
	}
	admitted := b.takeLocal(reserve, now)
	switch {
	case b.home && admitted:
		return stepAdmit
	case b.home:
		return stepRefuse
	case admitted && b.inFlight == 0 && b.needsRefill() && !now.Before(b.denyUntil):
		return stepAdmitRefill
	case admitted:
		return stepAdmit
	case now.Before(b.deniedUntil(reserve)) || waits == maxWaits:
		return stepRefuse
	}
	b.waiting++
	if b.inFlight >= maxTokenRequests || (b.inFlight > 0 && b.requested >= float64(b.waiting)) {
		return stepWait
	}
	return stepRequest
}

// takeLocal takes a token from this VM's bucket. The reserve applies on the home only: other VMs
// requested their tokens, and the home applied the reserve before it granted them.
func (b *budget) takeLocal(reserve float64, now clock.Time) bool {
	if !b.home {
		reserve = 0
	}
	return b.takeAboveReserve(reserve, now)
}

// deniedUntil returns the time until which the home has no tokens for requests with this reserve.
func (b *budget) deniedUntil(reserve float64) clock.Time {
	if reserve > 0 {
		return max(b.denyUntil, b.reserveDenyUntil)
	}
	return b.denyUntil
}

// abandonWait ends a wait without a decision.
func (b *budget) abandonWait() { b.waiting-- }

// needsRefill reports whether the VM requests tokens in advance, because during a round trip it
// would spend more beyond its own rate than it has. It requests none in advance if that is less
// than one token, as the tokens would mostly end unused, or if it is a large fraction of the burst,
// as other VMs would lack them.
func (b *budget) needsRefill() bool {
	if b.prefetches() {
		return b.tokens < 1
	}
	spent := b.deficit() * b.roundTrip.Seconds()
	return spent >= 1 && b.tokens < spent && b.refillAmount() <= b.limit.capacity*maxRefillBurst
}

// prefetches reports whether the VM requests the token of its next request in advance.
func (b *budget) prefetches() bool {
	return b.prefetch && b.roundTrip >= prefetchRoundTrip && b.demand.rate()*(tokenDuration-b.roundTrip).Seconds() >= minPrefetchUses
}

// refillAmount returns how many tokens a refill requests.
func (b *budget) refillAmount() float64 {
	if b.prefetches() {
		return 1 + b.demand.rate()*b.roundTrip.Seconds()
	}
	return b.deficit() * (refillTime + b.roundTrip).Seconds()
}

// deficit returns the demand that the bucket's own rate does not cover.
func (b *budget) deficit() float64 { return max(0, b.demand.rate()-b.net.rate) }

// retryAfter returns the time after which a refused request may be retried.
func (b *budget) retryAfter(reserve float64, now clock.Time) time.Duration {
	if until := b.deniedUntil(reserve); now.Before(until) {
		return until.Sub(now)
	}
	if !b.home {
		reserve = 0
	}
	if d := b.timeUntil(1 + b.reservedTokens(reserve)); d > 0 {
		return d
	}
	return defaultRetryAfter
}

// tokenRequest builds a token request to the home. It returns the loans whose tokens are spent.
func (b *budget) tokenRequest(reserve float64, now clock.Time) *peerpb.AccountRequest {
	r := &peerpb.AccountRequest{Account: b.name, Returns: b.returnSpent(now), Spare: reserve}
	wait := b.roundTrip + b.roundTrip/8 + tokenLoanSlack
	n := float64(b.waiting) - b.requested
	if b.needsRefill() {
		n += b.refillAmount() - b.tokens
		wait += refillTime
		if b.prefetches() {
			wait = tokenDuration
		}
	}
	r.Tokens = max(1, n)
	b.inFlight++
	b.requested += r.Tokens
	r.TokensUs = wait.Microseconds()
	return r
}

// timeout returns the timeout of a token request. A loan of tokens has ended by then, but a late
// response still measures the round trip.
func (b *budget) timeout() time.Duration {
	return min(tokenRequestTimeout, max(minTokenRequestTimeout, 4*b.roundTrip))
}

// returnSpent stops using the token loans that the bucket no longer needs.
func (b *budget) returnSpent(now clock.Time) []*peerpb.LoanReturn {
	b.advance(now)
	var spent []*peerpb.LoanReturn
	for i := len(b.borrowed) - 1; i >= 0; i-- {
		x := b.borrowed[i]
		if x.kind == tokenLoan && b.tokens <= b.net.capacity-x.share.capacity {
			b.returnLoan(x.id, x.peer, now)
			spent = append(spent, &peerpb.LoanReturn{Id: x.id})
		}
	}
	return spent
}

// handleTokenResponse applies the response r to the request q, which was sent at sent. r is nil if
// there was none.
func (b *budget) handleTokenResponse(q *peerpb.AccountRequest, r *peerpb.AccountResponse, peer string, sent, now clock.Time) {
	b.inFlight--
	b.requested -= q.Tokens
	if r == nil {
		b.denyUntil = now.Add(failedRequestBackoff)
		b.roundTrip = min(tokenRequestTimeout, max(2*b.roundTrip, now.Sub(sent)))
		return
	}
	b.roundTrip = max(now.Sub(sent), b.roundTrip-b.roundTrip/16)
	b.applyResponse(tokenLoan, r, peer, sent, now)
	if len(r.Grants) == 0 {
		until := now.Add(min(maxDenyTime, time.Duration(r.RetryAfterUs)*time.Microsecond))
		if q.Spare > 0 {
			b.reserveDenyUntil = until
		} else {
			b.denyUntil = until
		}
	}
}

// applyResponse adds the loans that a response grants and applies its extensions.
func (b *budget) applyResponse(kind loanKind, r *peerpb.AccountResponse, peer string, sent, now clock.Time) {
	for _, id := range r.Extended {
		b.applyExtension(id, peer, time.Duration(r.ExtendedUs)*time.Microsecond, sent, now)
	}
	for _, g := range r.Grants {
		b.borrow(grant{
			id:       g.Id,
			kind:     kind,
			share:    share{validAmount(g.Rate), validAmount(g.Capacity)},
			tokens:   validAmount(g.Tokens),
			duration: time.Duration(g.DurationUs) * time.Microsecond,
		}, peer, sent, now)
	}
}

// summary returns the budget's state for the status API.
func (b *budget) summary(name string) Share {
	s := Share{Account: name, Rate: b.net.rate, Burst: b.net.capacity, Tokens: b.tokens}
	for _, x := range b.lent {
		s.Lent += x.share.rate
	}
	for _, x := range b.borrowed {
		s.Borrowed += x.share.rate
	}
	return s
}
