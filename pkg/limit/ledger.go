package limit

import (
	"math"
	"slices"
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
)

const (
	// collectDuration is the duration of a loan of an idle share to the home. The home extends the
	// loan every collectPeriod.
	collectDuration = 3 * time.Second
	collectPeriod   = time.Second
	// demandLoanDuration is the duration of a loan that the home makes of collected shares. The
	// borrower extends it every demandLoanPeriod. It must end before the loans that back it.
	demandLoanDuration = 1500 * time.Millisecond
	demandLoanPeriod   = 500 * time.Millisecond
	// tokenDuration is the longest duration of a loan of single tokens.
	tokenDuration = 500 * time.Millisecond
	// driftDivisor allows for clocks that run at different speeds: each side of a loan keeps 1/50
	// of its duration as a margin.
	driftDivisor = 50
	// loanDrainTime is how long the new holder of a slot waits for the loans of the previous holder
	// to end.
	loanDrainTime = collectDuration + 2*collectDuration/driftDivisor
)

// never is later than any instant.
const never = clock.Time(math.MaxInt64)

// share is a part of a limit.
type share struct {
	rate     float64 // tokens per second
	capacity float64 // its part of the burst
}

func (s share) plus(o share) share  { return share{s.rate + o.rate, s.capacity + o.capacity} }
func (s share) minus(o share) share { return share{s.rate - o.rate, s.capacity - o.capacity} }

// positive replaces negative amounts by 0. They arise where more is lent than owned; the excess
// ends with the loans.
func (s share) positive() share { return share{max(0, s.rate), max(0, s.capacity)} }

// rounding is the relative rounding error allowed for sums of shares.
const rounding = 1e-9

// atMost reports whether s is at most o, up to rounding.
func (s share) atMost(o share) bool {
	return s.rate <= o.rate*(1+rounding) && s.capacity <= o.capacity*(1+rounding)
}

// slotShare is the share of the limit that belongs to a held slot. It is valid in [from, until).
type slotShare struct {
	share
	from, until clock.Time
	// kept shares are never lent.
	kept bool
}

// loan is a share that was lent or borrowed. It ends at end on this VM's clock.
type loan struct {
	id    uint64
	peer  string // incarnation of the other side
	share share
	end   clock.Time
	kind  loanKind
	// recalled reports that the lender did not extend the loan.
	recalled bool
}

// loanKind is the purpose of a loan.
type loanKind uint8

const (
	// collectLoan lends the idle share of a VM to the home.
	collectLoan loanKind = iota
	// demandLoan lends collected shares from the home to a VM with high demand.
	demandLoan
	// tokenLoan lends tokens without a rate; it is not extended.
	tokenLoan
)

// grant is a loan as the lender offers it.
type grant struct {
	id       uint64
	kind     loanKind
	share    share
	tokens   float64
	duration time.Duration
}

// ledger is one VM's token bucket for one client account. Its rate and capacity are the shares of
// the VM's slots, less what the VM lent, plus what it borrowed. A share or token that moves is in at
// most one ledger at a time. So the capacities of all ledgers never sum to more than the burst, nor
// their rates to more than the limit's rate, and the fleet admits at most burst + rate*t requests in
// any window of length t.
//
// A ledger has no clock. The now passed to its methods must never decrease.
type ledger struct {
	slotShares []slotShare
	lent       []loan
	borrowed   []loan
	tokens     float64
	// started reports that the slots' shares have been set once.
	started bool
	// maxShare is the account's whole limit, or zero for none. It caps the bucket after the limit
	// was lowered, while larger loans still run.
	maxShare share
	// updated is the time at which tokens was computed. net is the bucket's rate and capacity; it
	// is constant from updated until nextChange.
	updated    clock.Time
	nextChange clock.Time
	net        share
}

// advance brings the bucket to now, in steps at which its share changes.
func (l *ledger) advance(now clock.Time) {
	for !now.Before(l.nextChange) {
		l.fill(l.nextChange)
		l.recompute()
	}
	l.fill(now)
}

// fill adds the tokens that accrued up to t.
func (l *ledger) fill(t clock.Time) {
	if !l.updated.Before(t) {
		return
	}
	l.tokens = min(l.net.capacity, l.tokens+l.net.rate*t.Sub(l.updated).Seconds())
	l.updated = t
}

// recompute drops the loans that have ended by updated, and computes the current share and the time
// of its next change. Tokens above the capacity are lost.
func (l *ledger) recompute() {
	ended := func(x loan) bool { return !l.updated.Before(x.end) }
	l.lent = slices.DeleteFunc(l.lent, ended)
	l.borrowed = slices.DeleteFunc(l.borrowed, ended)
	l.nextChange = never
	net := l.own(l.updated)
	for _, p := range l.slotShares {
		l.changeAt(p.from)
		l.changeAt(p.until)
	}
	for _, x := range l.lent {
		net = net.minus(x.share)
		l.changeAt(x.end)
	}
	for _, x := range l.borrowed {
		net = net.plus(x.share)
		l.changeAt(x.end)
	}
	l.net = net.positive()
	if l.maxShare != (share{}) {
		l.net = share{min(l.net.rate, l.maxShare.rate), min(l.net.capacity, l.maxShare.capacity)}
	}
	l.tokens = min(l.tokens, l.net.capacity)
}

func (l *ledger) changeAt(t clock.Time) {
	if l.updated.Before(t) && t.Before(l.nextChange) {
		l.nextChange = t
	}
}

// valid reports whether the part may be used at t.
func (p slotShare) valid(t clock.Time) bool { return !t.Before(p.from) && t.Before(p.until) }

// own returns the share of the slots that are valid at t.
func (l *ledger) own(t clock.Time) share {
	var sum share
	for _, p := range l.slotShares {
		if p.valid(t) {
			sum = sum.plus(p.share)
		}
	}
	return sum
}

// setSlotShares replaces the shares of the slots. New slots bring no tokens, because the previous
// holder may have spent them. A ledger that starts gets the tokens that its slots accrued since
// they became valid, as no other VM had them.
func (l *ledger) setSlotShares(slotShares []slotShare, now clock.Time) {
	l.advance(now)
	l.slotShares = slotShares
	l.recompute()
	if !l.started {
		l.started = true
		l.tokens = accruedTokens(slotShares, now)
	}
}

// accruedTokens returns the tokens that the slots' shares have accrued at now, if they had none when
// they became valid.
func accruedTokens(slotShares []slotShare, now clock.Time) float64 {
	sum := 0.0
	for _, p := range slotShares {
		if p.from.Before(now) && now.Before(p.until) {
			sum += min(p.capacity, p.rate*now.Sub(p.from).Seconds())
		}
	}
	return sum
}

// takeAboveReserve takes one token if that leaves the reserve, a fraction of the bucket, untouched.
func (l *ledger) takeAboveReserve(reserve float64, now clock.Time) bool {
	if now.Before(l.nextChange) {
		l.fill(now)
	} else {
		l.advance(now)
	}
	if l.tokens < 1+l.reservedTokens(reserve)-rounding {
		return false
	}
	l.tokens = max(0, l.tokens-1)
	return true
}

// reservedTokens converts a reserve, a fraction of the bucket, to tokens. A full bucket always has
// one token above the reserve.
func (l *ledger) reservedTokens(reserve float64) float64 {
	return max(0, min(reserve*l.net.capacity, l.net.capacity-1))
}

// timeUntil returns how long it takes to accrue n tokens if nothing else changes; 0 means never.
func (l *ledger) timeUntil(n float64) time.Duration {
	if l.net.rate <= 0 || l.net.capacity < n {
		return 0
	}
	seconds := max(0, n-l.tokens) / l.net.rate
	return max(time.Millisecond, time.Duration(math.Ceil(seconds*1e9)))
}

// guaranteed returns the share that this VM can back loans with until t. It includes slots whose
// lease is valid now even if it ends before t, as their next holder waits for loanDrainTime. It
// excludes kept slots and borrowed loans that end before t.
func (l *ledger) guaranteed(t clock.Time) share {
	var sum share
	for _, p := range l.slotShares {
		if !p.kept && p.valid(l.updated) {
			sum = sum.plus(p.share)
		}
	}
	for _, x := range l.borrowed {
		if !x.end.Before(t) {
			sum = sum.plus(x.share)
		}
	}
	return sum
}

// totalLent returns the sum of the shares that this VM lent.
func (l *ledger) totalLent() share {
	var sum share
	for _, x := range l.lent {
		sum = sum.plus(x.share)
	}
	return sum
}

// lendable returns the part of the guaranteed share that is not lent yet.
func (l *ledger) lendable(t clock.Time) share {
	return l.guaranteed(t).minus(l.totalLent()).positive()
}

// covered reports whether everything lent is guaranteed until t.
func (l *ledger) covered(t clock.Time) bool {
	return l.totalLent().atMost(l.guaranteed(t))
}

// lastLentEnd returns the end of the last loan that this VM made.
func (l *ledger) lastLentEnd() clock.Time {
	end := l.updated
	for _, x := range l.lent {
		end = max(end, x.end)
	}
	return end
}

// lend lends up to want. The lender uses none of it until the loan has ended on its own clock,
// which is a margin after the borrower's end.
func (l *ledger) lend(id uint64, peer string, kind loanKind, want share, tokens float64, d time.Duration, now clock.Time) (grant, bool) {
	l.advance(now)
	end := now.Add(d + d/driftDivisor)
	available := l.lendable(end)
	s := share{min(want.rate, available.rate), min(want.capacity, available.capacity)}
	tokens = min(tokens, s.capacity, l.tokens)
	if s.capacity <= 0 {
		return grant{}, false
	}
	l.tokens -= tokens
	l.lent = append(l.lent, loan{id: id, peer: peer, share: s, kind: kind, end: end})
	l.recompute()
	return grant{id: id, kind: kind, share: s, tokens: tokens, duration: d}, true
}

// lendTokens lends whole tokens without a rate. It leaves the reserve, a fraction of the bucket,
// untouched.
func (l *ledger) lendTokens(id uint64, peer string, n, reserve float64, d time.Duration, now clock.Time) (grant, bool) {
	l.advance(now)
	n = math.Floor(min(n, l.tokens-l.reservedTokens(reserve), l.lendable(now.Add(d+d/driftDivisor)).capacity) + rounding)
	if n < 1 {
		return grant{}, false
	}
	return l.lend(id, peer, tokenLoan, share{capacity: n}, n, d, now)
}

// extend extends a loan to peer, provided that everything lent is still covered.
func (l *ledger) extend(id uint64, peer string, d time.Duration, now clock.Time) bool {
	l.advance(now)
	end := now.Add(d + d/driftDivisor)
	i := slices.IndexFunc(l.lent, func(x loan) bool { return x.id == id && x.peer == peer })
	if i < 0 || !l.covered(end) {
		return false
	}
	l.lent[i].end = max(l.lent[i].end, end)
	l.recompute()
	return true
}

// reclaim ends a loan early, after the borrower has stopped using it.
func (l *ledger) reclaim(id uint64, peer string, tokens float64, now clock.Time) {
	l.advance(now)
	i := slices.IndexFunc(l.lent, func(x loan) bool { return x.id == id && x.peer == peer })
	if i < 0 {
		return
	}
	tokens = max(0, min(tokens, l.lent[i].share.capacity))
	l.lent = slices.Delete(l.lent, i, i+1)
	l.recompute()
	l.tokens = min(l.net.capacity, l.tokens+tokens)
}

// borrow adds a grant that was requested at requestedAt.
func (l *ledger) borrow(g grant, peer string, requestedAt, now clock.Time) bool {
	l.advance(now)
	end := borrowedEnd(requestedAt, g.duration)
	if !now.Before(end) {
		return false
	}
	l.borrowed = append(l.borrowed, loan{id: g.id, peer: peer, share: g.share, kind: g.kind, end: end})
	l.recompute()
	l.tokens = min(l.net.capacity, l.tokens+min(g.tokens, g.share.capacity))
	return true
}

// borrowedEnd returns the end of a loan on the borrower's side. It counts from the time of the
// request and leaves a margin.
func borrowedEnd(requestedAt clock.Time, d time.Duration) clock.Time {
	return requestedAt.Add(d - d/driftDivisor)
}

// applyExtension applies the lender's extension of a loan, which was requested at requestedAt.
func (l *ledger) applyExtension(id uint64, peer string, d time.Duration, requestedAt, now clock.Time) {
	l.advance(now)
	i := slices.IndexFunc(l.borrowed, func(x loan) bool { return x.id == id && x.peer == peer })
	if i < 0 {
		return
	}
	l.borrowed[i].end = max(l.borrowed[i].end, borrowedEnd(requestedAt, d))
	l.recompute()
}

// returnLoan stops using a borrowed loan and returns the tokens that go back with it: only those
// that exceed the remaining capacity, so that the VM gives away none of its own. It does nothing if
// the loan backs what this VM lent to others.
func (l *ledger) returnLoan(id uint64, peer string, now clock.Time) (tokens float64, ok bool) {
	l.advance(now)
	i := slices.IndexFunc(l.borrowed, func(x loan) bool { return x.id == id && x.peer == peer })
	if i < 0 {
		return 0, false
	}
	x := l.borrowed[i]
	l.borrowed = slices.Delete(l.borrowed, i, i+1)
	if len(l.lent) > 0 && !l.covered(l.lastLentEnd()) {
		l.borrowed = append(l.borrowed, x)
		return 0, false
	}
	had := l.tokens
	l.recompute()
	return min(x.share.capacity, had-l.tokens), true
}
