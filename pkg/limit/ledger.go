package limit

import (
	"math"
	"slices"
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
)

const (
	// collectDuration is how long a loan of an idle share runs; the home
	// extends it each collectPeriod.
	collectDuration = 3 * time.Second
	collectPeriod   = time.Second
	// relendDuration is how long a loan runs that the home makes of collected
	// shares; the borrower extends it each relendPeriod. It must end before
	// the loans that it is made of.
	relendDuration = 1500 * time.Millisecond
	relendPeriod   = 500 * time.Millisecond
	// tokenDuration is the longest that a loan of single tokens runs.
	tokenDuration = 500 * time.Millisecond
	// driftDivisor covers clocks that differ in speed: each side of a loan
	// leaves 1/50 of its duration as a margin.
	driftDivisor = 50
	// settleTime is how long the new holder of a slot waits for the loans of
	// the former one to end.
	settleTime = collectDuration + 2*collectDuration/driftDivisor
)

// never is later than any instant.
const never = clock.Time(math.MaxInt64)

// share is a part of a limit.
type share struct {
	rate     float64 // tokens a second
	capacity float64 // the part of the burst
}

func (s share) plus(o share) share  { return share{s.rate + o.rate, s.capacity + o.capacity} }
func (s share) minus(o share) share { return share{s.rate - o.rate, s.capacity - o.capacity} }

// positive leaves out what is negative: where more is lent than held, the
// excess runs out with the loans.
func (s share) positive() share { return share{max(0, s.rate), max(0, s.capacity)} }

// rounding is how far sums of shares may be off.
const rounding = 1e-9

// atMost allows for the rounding of sums.
func (s share) atMost(o share) bool {
	return s.rate <= o.rate*(1+rounding) && s.capacity <= o.capacity*(1+rounding)
}

// part is a share of a held slot, valid within [from, until).
type part struct {
	share
	from, until clock.Time
	// kept parts are never lent.
	kept bool
}

// loan is a share that was lent or borrowed, until an end on this VM's clock.
type loan struct {
	id    uint64
	peer  string // incarnation of the other side
	share share
	end   clock.Time
	kind  loanKind
	// recalled loans are not extended by their lender.
	recalled bool
}

// loanKind says what a loan is for.
type loanKind uint8

const (
	// collected loans bring the idle shares of VMs to the home.
	collected loanKind = iota
	// relent loans are what the home makes of them, for VMs with much demand.
	relent
	// tokensOnly loans have no rate and are not extended.
	tokensOnly
)

// grant is a loan as the lender offers it.
type grant struct {
	id       uint64
	kind     loanKind
	share    share
	tokens   float64
	duration time.Duration
}

// ledger is a VM's part of one client account's limit: one token bucket whose
// rate and capacity are the shares of its slots, less what it lent, plus what
// it borrowed. Shares move, but are in one ledger at a time, and so are
// tokens. So over all ledgers the capacities never sum to more than the burst,
// nor the rates to more than the rate, and in any window t the fleet admits at
// most burst + rate*t.
//
// A ledger has no clock; now must never go back.
type ledger struct {
	parts    []part
	lent     []loan
	borrowed []loan
	tokens   float64
	// started reports that the ledger has had shares.
	started bool
	// most is the whole limit, zero for none: after it was lowered, larger loans run on.
	most share
	// last is when tokens was computed. net holds from last until change.
	last   clock.Time
	change clock.Time
	net    share
}

// advance brings the bucket to now, in steps at which its share changes.
func (l *ledger) advance(now clock.Time) {
	for !now.Before(l.change) {
		l.fill(l.change)
		l.recompute()
	}
	l.fill(now)
}

// fill adds the tokens of the time up to t.
func (l *ledger) fill(t clock.Time) {
	if !l.last.Before(t) {
		return
	}
	l.tokens = min(l.net.capacity, l.tokens+l.net.rate*t.Sub(l.last).Seconds())
	l.last = t
}

// recompute drops what has ended by last and finds the share in force and the
// instant of its next change. Tokens above the capacity are lost.
func (l *ledger) recompute() {
	ended := func(x loan) bool { return !l.last.Before(x.end) }
	l.lent = slices.DeleteFunc(l.lent, ended)
	l.borrowed = slices.DeleteFunc(l.borrowed, ended)
	l.change = never
	net := l.own(l.last)
	for _, p := range l.parts {
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
	if l.most != (share{}) {
		l.net = share{min(l.net.rate, l.most.rate), min(l.net.capacity, l.most.capacity)}
	}
	l.tokens = min(l.tokens, l.net.capacity)
}

func (l *ledger) changeAt(t clock.Time) {
	if l.last.Before(t) && t.Before(l.change) {
		l.change = t
	}
}

// valid reports whether the part may be used at t.
func (p part) valid(t clock.Time) bool { return !t.Before(p.from) && t.Before(p.until) }

// own is the share of the slots that are valid at t.
func (l *ledger) own(t clock.Time) share {
	var sum share
	for _, p := range l.parts {
		if p.valid(t) {
			sum = sum.plus(p.share)
		}
	}
	return sum
}

// setParts replaces the shares of the slots. No tokens come with new ones: the
// former holder may have spent them. A ledger that starts has the tokens that
// its slots gained since they could be used, as no one else had them.
func (l *ledger) setParts(parts []part, now clock.Time) {
	l.advance(now)
	l.parts = parts
	l.recompute()
	if !l.started {
		l.started = true
		l.tokens = gained(parts, now)
	}
}

// gained is what the buckets of the parts hold at now if they began empty.
func gained(parts []part, now clock.Time) float64 {
	sum := 0.0
	for _, p := range parts {
		if p.from.Before(now) && now.Before(p.until) {
			sum += min(p.capacity, p.rate*now.Sub(p.from).Seconds())
		}
	}
	return sum
}

// takeSparing admits one request if there is a token beyond a part of the bucket.
func (l *ledger) takeSparing(part float64, now clock.Time) bool {
	if now.Before(l.change) {
		l.fill(now)
	} else {
		l.advance(now)
	}
	if l.tokens < 1+l.spare(part)-rounding {
		return false
	}
	l.tokens = max(0, l.tokens-1)
	return true
}

// spare is how many tokens a part of the bucket is; a full bucket has one beyond them.
func (l *ledger) spare(part float64) float64 {
	return max(0, min(part*l.net.capacity, l.net.capacity-1))
}

// wait is how long it takes until n tokens exist if nothing else changes; 0
// says that they never will.
func (l *ledger) wait(n float64) time.Duration {
	if l.net.rate <= 0 || l.net.capacity < n {
		return 0
	}
	seconds := max(0, n-l.tokens) / l.net.rate
	return max(time.Millisecond, time.Duration(math.Ceil(seconds*1e9)))
}

// certain is the share that this VM may lend until t. Slots count whose lease
// runs now, even if it ends before t: their next holder waits settleTime. Kept
// slots and loans that it borrowed and that end before t do not count.
func (l *ledger) certain(t clock.Time) share {
	var sum share
	for _, p := range l.parts {
		if !p.kept && p.valid(l.last) {
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

// lentOut is the sum of what this VM lent.
func (l *ledger) lentOut() share {
	var sum share
	for _, x := range l.lent {
		sum = sum.plus(x.share)
	}
	return sum
}

// lendable is what is certain until t and not lent yet.
func (l *ledger) lendable(t clock.Time) share {
	return l.certain(t).minus(l.lentOut()).positive()
}

// covered reports whether all that is lent is certain until t.
func (l *ledger) covered(t clock.Time) bool {
	return l.lentOut().atMost(l.certain(t))
}

// lastEnd is when the last loan to a peer ends.
func (l *ledger) lastEnd() clock.Time {
	end := l.last
	for _, x := range l.lent {
		end = max(end, x.end)
	}
	return end
}

// lend gives up to want away. The lender uses none of it from now until the
// loan has ended on its own clock, a margin after the borrower's end.
func (l *ledger) lend(id uint64, peer string, kind loanKind, want share, tokens float64, d time.Duration, now clock.Time) (grant, bool) {
	l.advance(now)
	end := now.Add(d + d/driftDivisor)
	can := l.lendable(end)
	s := share{min(want.rate, can.rate), min(want.capacity, can.capacity)}
	tokens = min(tokens, s.capacity, l.tokens)
	if s.capacity <= 0 {
		return grant{}, false
	}
	l.tokens -= tokens
	l.lent = append(l.lent, loan{id: id, peer: peer, share: s, kind: kind, end: end})
	l.recompute()
	return grant{id: id, kind: kind, share: s, tokens: tokens, duration: d}, true
}

// lendTokens lends whole tokens without any rate, beyond a part of the bucket.
func (l *ledger) lendTokens(id uint64, peer string, n, spare float64, d time.Duration, now clock.Time) (grant, bool) {
	l.advance(now)
	n = math.Floor(min(n, l.tokens-l.spare(spare), l.lendable(now.Add(d+d/driftDivisor)).capacity) + rounding)
	if n < 1 {
		return grant{}, false
	}
	return l.lend(id, peer, tokensOnly, share{capacity: n}, n, d, now)
}

// extend lengthens a loan that was lent to peer, provided that this VM still
// has what it lent.
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

// takeBack ends a loan early: the borrower has stopped using it.
func (l *ledger) takeBack(id uint64, peer string, tokens float64, now clock.Time) {
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

// borrow adds a grant that was asked for at asked.
func (l *ledger) borrow(g grant, peer string, asked, now clock.Time) bool {
	l.advance(now)
	end := borrowedEnd(asked, g.duration)
	if !now.Before(end) {
		return false
	}
	l.borrowed = append(l.borrowed, loan{id: g.id, peer: peer, share: g.share, kind: g.kind, end: end})
	l.recompute()
	l.tokens = min(l.net.capacity, l.tokens+min(g.tokens, g.share.capacity))
	return true
}

// borrowedEnd is the end of a loan for the borrower: it counts from before it
// asked, and leaves a margin.
func borrowedEnd(asked clock.Time, d time.Duration) clock.Time {
	return asked.Add(d - d/driftDivisor)
}

// extended notes that the lender extended a loan, as asked for at asked.
func (l *ledger) extended(id uint64, peer string, d time.Duration, asked, now clock.Time) {
	l.advance(now)
	i := slices.IndexFunc(l.borrowed, func(x loan) bool { return x.id == id && x.peer == peer })
	if i < 0 {
		return
	}
	l.borrowed[i].end = max(l.borrowed[i].end, borrowedEnd(asked, d))
	l.recompute()
}

// giveBack stops using a borrowed loan and returns the tokens that go back
// with it: those that no longer fit, so that none of its own are given away.
// It does nothing where the loan backs what this VM lent on.
func (l *ledger) giveBack(id uint64, peer string, now clock.Time) (tokens float64, ok bool) {
	l.advance(now)
	i := slices.IndexFunc(l.borrowed, func(x loan) bool { return x.id == id && x.peer == peer })
	if i < 0 {
		return 0, false
	}
	x := l.borrowed[i]
	l.borrowed = slices.Delete(l.borrowed, i, i+1)
	if len(l.lent) > 0 && !l.covered(l.lastEnd()) {
		l.borrowed = append(l.borrowed, x)
		return 0, false
	}
	had := l.tokens
	l.recompute()
	return min(x.share.capacity, had-l.tokens), true
}
