package limit

import (
	"math"
	"testing"
	"time"

	peerpb "crocusramp.dev/crocusramp/api/peer/v1"
	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/lease"
)

// take takes a token without a reserve.
func (l *ledger) take(now clock.Time) bool { return l.takeAboveReserve(0, now) }

// newLedger returns a ledger with a full bucket whose share is valid from t=0.
func newLedger(s share) *ledger {
	l := &ledger{}
	l.setSlotShares([]slotShare{{share: s, until: never}}, 0)
	l.tokens = s.capacity
	return l
}

func at(d time.Duration) clock.Time { return clock.Time(d) }

// TestReturnLoanKeepsBackingOfOwnLoans guards against a home that returns a loan of 16 tokens while
// it lends those tokens to another VM. The lender must not use them until that second loan has
// ended.
func TestReturnLoanKeepsBackingOfOwnLoans(t *testing.T) {
	home := newLedger(share{10, 4})
	home.borrow(grant{id: 1, share: share{40, 16}, tokens: 16, duration: collectDuration}, "x", 0, 0)
	if _, ok := home.lendTokens(2, "y", 16, 0, tokenDuration, 0); !ok {
		t.Fatal("no tokens lent")
	}
	if _, ok := home.returnLoan(1, "x", at(tokenDuration/2)); ok {
		t.Error("returned a loan that backs one of its own")
	}
	if _, ok := home.returnLoan(1, "x", at(2*tokenDuration)); !ok {
		t.Error("did not return the loan after its own loan had ended")
	}
}

// TestLoweredLimitIsNotExtended checks that a loan larger than the lender's share under a lowered
// limit is not extended and ends.
func TestLoweredLimitIsNotExtended(t *testing.T) {
	l := newLedger(share{10, 4})
	g, _ := l.lend(1, "home", collectLoan, share{10, 4}, 4, collectDuration, 0)
	if !l.extend(g.id, "home", collectDuration, at(time.Second)) {
		t.Fatal("not extended under the same limit")
	}
	l.setSlotShares([]slotShare{{share: share{1, 1}, until: never}}, at(2*time.Second))
	if l.extend(g.id, "home", collectDuration, at(2*time.Second)) {
		t.Error("extended beyond the lowered share")
	}
	l.advance(at(time.Second + collectDuration + collectDuration/driftDivisor))
	if l.net != (share{1, 1}) || l.tokens > 1 {
		t.Errorf("share %v with %g tokens after the loan, want {1 1}", l.net, l.tokens)
	}
}

// TestLoanOutlastsBorrower checks that a loan ends later on the lender than on the borrower, even
// if the response was delayed as long as possible.
func TestLoanOutlastsBorrower(t *testing.T) {
	lender, borrower := newLedger(share{10, 4}), newLedger(share{10, 4})
	const delay = time.Second
	g, _ := lender.lend(1, "b", collectLoan, share{10, 4}, 4, collectDuration, at(delay))
	if lender.take(at(delay)) {
		t.Error("the lender used what it had lent")
	}
	borrower.borrow(g, "a", 0, at(2*delay))
	if got, before := borrower.borrowed[0].end, lender.lent[0].end; !got.Before(before) {
		t.Errorf("the borrower's end %v is not before the lender's %v", got, before)
	}
	if borrower.borrow(grant{id: 2, share: share{10, 4}, duration: collectDuration}, "a", 0, at(collectDuration)) {
		t.Error("borrowed a loan whose response came after its end")
	}
}

// TestTakenOverSlotWaitsForLoans checks that a slot of a previous holder has no tokens until that
// holder's loans must have ended.
func TestTakenOverSlotWaitsForLoans(t *testing.T) {
	b := &budget{name: "a"}
	h := hold(1, 0, 1)
	h.Slots[0].Settled = false
	b.setShares(&accountOf10, h, 0)
	if b.take(at(loanDrainTime)) {
		t.Error("tokens existed before the previous holder's loans had ended")
	}
	if !b.take(at(loanDrainTime + time.Second)) {
		t.Error("no tokens a second after the previous holder's loans had ended")
	}
}

// TestShareEndsWithLease checks that a VM that was frozen past the end of its lease admits nothing.
func TestShareEndsWithLease(t *testing.T) {
	b := &budget{name: "a"}
	h := hold(1, 0, 1)
	h.Slots[0].Until = at(time.Minute)
	b.setShares(&accountOf10, h, 0)
	if !b.take(at(time.Second)) {
		t.Fatal("refused within the lease")
	}
	if b.take(at(time.Hour)) {
		t.Error("admitted after the lease")
	}
	if g, ok := b.lendTokens(1, "y", 1, 0, tokenDuration, at(time.Hour)); ok {
		t.Errorf("lent %v after the lease", g)
	}
}

func TestTimeUntilToken(t *testing.T) {
	l := newLedger(share{10, 4})
	l.tokens = 0
	wait := l.timeUntil(1)
	if l.take(at(wait - time.Millisecond)) {
		t.Error("a token existed before the returned time")
	}
	if !l.take(at(wait)) {
		t.Error("no token at the returned time")
	}
}

// FuzzServe checks that no request of a peer corrupts the lender's bucket or makes it lend more
// than the limit.
func FuzzServe(f *testing.F) {
	f.Add(1.0, 1.0, 1.0, 1.0, int64(1000), uint64(1), true)
	f.Add(math.NaN(), math.Inf(1), -1.0, 1e308, int64(math.MinInt64), uint64(0), false)
	f.Add(math.Inf(-1), math.NaN(), math.NaN(), math.NaN(), int64(math.MaxInt64), uint64(2), true)
	f.Fuzz(func(t *testing.T, rate, capacity, tokens, returned float64, us int64, id uint64, home bool) {
		n := uint64(0)
		b := newBudget("a", func() uint64 { n++; return n })
		b.home = home
		b.setShares(&accountOf10, hold(1, 0, 1), 0)
		for i := range 3 {
			b.serve(&peerpb.AccountRequest{
				Account: "a", Rate: rate, Capacity: capacity, Tokens: tokens, TokensUs: us, Collect: i == 1,
				Returns: []*peerpb.LoanReturn{{Id: id, Tokens: returned}}, Extend: []uint64{id},
			}, "p", at(time.Duration(i+1)*time.Second))
			lent := b.totalLent()
			if !(b.tokens >= 0) || !(b.tokens <= b.net.capacity) {
				t.Fatalf("%g tokens in a bucket of %g", b.tokens, b.net.capacity)
			}
			if !lent.plus(b.net).atMost(b.limit) { // Up to the rounding of sums.
				t.Fatalf("lent %v and kept %v of %v", lent, b.net, accountOf10)
			}
		}
	})
}

// TestLendsPastItsLease checks that leases shorter than a loan don't prevent lending. This is safe
// because the next holder of the slot waits for the loan to end.
func TestLendsPastItsLease(t *testing.T) {
	l := &ledger{}
	l.setSlotShares([]slotShare{{share: share{10, 4}, until: at(2 * time.Second)}}, 0)
	if _, ok := l.lend(1, "home", collectLoan, share{10, 4}, 4, collectDuration, at(time.Second)); !ok {
		t.Error("nothing lent under a lease of 2 s")
	}
	if l.extend(1, "home", collectDuration, at(2*time.Second)) {
		t.Error("extended after the lease")
	}
	if got, most := l.lent[0].end, at(2*time.Second+loanDrainTime); got > most {
		t.Errorf("loan ends at %v, after the next holder may start at %v", got, most)
	}
}

// TestNewAccountHasItsBurst checks the tokens of a new account: a slot that was held for long has a
// full bucket, one that was just taken over has none.
func TestNewAccountHasItsBurst(t *testing.T) {
	l := &ledger{}
	l.setSlotShares([]slotShare{
		{share: share{10, 4}, from: at(time.Minute), until: never},
		{share: share{10, 4}, from: at(time.Hour - 100*time.Millisecond), until: never},
		{share: share{10, 4}, from: at(2 * time.Hour), until: never},
		{share: share{10, 4}, from: 0, until: at(time.Minute)},
	}, at(time.Hour))
	if l.tokens != 4+1 {
		t.Errorf("%g tokens, want 4 and 1", l.tokens)
	}
	l.setSlotShares([]slotShare{{share: share{10, 4}, from: 0, until: never}}, at(time.Hour))
	l.tokens = 0
	l.setSlotShares([]slotShare{{share: share{10, 4}, from: 0, until: never}}, at(time.Hour))
	if l.tokens != 0 {
		t.Errorf("%g tokens were added by a change of the slots", l.tokens)
	}
}

// TestLostSlotLosesItsTokens guards against tokens of a lost slot that stay in use when the burst
// is raised between the same two steps of a VM. TestLimitHolds found this.
func TestLostSlotLosesItsTokens(t *testing.T) {
	b := newBudget("a", func() uint64 { return 0 })
	two := hold(10, 0, 5)
	for i := range two.Slots {
		two.Slots[i].Settled = true
	}
	b.setShares(&config.Account{Rate: 10, Burst: 100}, two, 0)
	b.setShares(&config.Account{Rate: 10, Burst: 100}, two, at(time.Minute))
	full := b.tokens
	one := *two
	one.Slots = two.Slots[:len(two.Slots)-1]
	b.setShares(&config.Account{Rate: 10, Burst: 1000}, &one, at(time.Minute))
	if most := full - 10; b.tokens > most {
		t.Errorf("%v of %v tokens, want at most %v", b.tokens, full, most)
	}
}

// TestBorrowedTokenIsWhole guards against a request that is refused although a token is available:
// because of rounding, the lent shares do not sum to exactly what the VM had.
func TestBorrowedTokenIsWhole(t *testing.T) {
	const now = clock.Time(time.Second)
	for vms := 2; vms <= 90; vms++ {
		for rate := 0.3; rate < 40; rate += 0.7 {
			each := share{rate / float64(2*vms), (rate + 3) / float64(2*vms)}
			l := &ledger{}
			l.setSlotShares([]slotShare{{share: each, until: never}, {share: each, until: never}}, now)
			own := l.own(now)
			third := share{own.rate / 3, own.capacity / 3}
			for id, want := range []share{third, own.minus(third), own} {
				l.lend(uint64(id), "home", collectLoan, want, 0, time.Second, now)
			}
			l.borrow(grant{id: 9, kind: tokenLoan, share: share{capacity: 1}, tokens: 1, duration: time.Second}, "home", now, now)
			if !l.take(now) {
				t.Fatalf("%d VMs, %v a second: a borrowed token admits nothing; the bucket holds %v of %v", vms, rate, l.tokens, l.net.capacity)
			}
			if l.take(now) {
				t.Fatalf("%d VMs, %v a second: a borrowed token admits two requests", vms, rate)
			}
		}
	}
}

// TestPrefetchFromDistantHome guards against requests that each wait for a round trip between
// regions, and against prefetched tokens that end unused.
func TestPrefetchFromDistantHome(t *testing.T) {
	const now = clock.Time(time.Hour)
	for _, tt := range []struct {
		name      string
		prefetch  bool
		roundTrip time.Duration
		demand    float64 // requests a second
		want      step
	}{
		{"far", true, 110 * time.Millisecond, 10, stepAdmitRefill},
		{"far, few requests", true, 110 * time.Millisecond, 1, stepAdmit},
		{"near", true, time.Millisecond, 10, stepAdmit},
		{"no prefetch", false, 110 * time.Millisecond, 3, stepAdmit},
	} {
		b := newBudget("a", func() uint64 { return 1 })
		b.limit = share{rate: 15, capacity: 18}
		b.prefetch, b.roundTrip, b.demand.smoothed, b.demand.start = tt.prefetch, tt.roundTrip, tt.demand, now
		b.borrow(grant{id: 1, kind: tokenLoan, share: share{capacity: 1}, tokens: 1, duration: time.Second}, "home", now, now)
		if got := b.admit(0, 0, now); got != tt.want {
			t.Errorf("%s: step %d, want %d", tt.name, got, tt.want)
		}
	}
}

// TestReserveIsLeftToUrgentRequests guards against urgent requests that are refused because less
// urgent ones took the last tokens.
func TestReserveIsLeftToUrgentRequests(t *testing.T) {
	const now, half = clock.Time(time.Hour), 0.5
	home := newBudget("a", func() uint64 { return 1 })
	home.home = true
	home.limit = share{rate: 1, capacity: 8}
	home.setSlotShares([]slotShare{{share: home.limit, until: never}}, now)
	home.tokens = 5.5
	if home.admit(0, half, now) != stepAdmit || home.admit(0, half, now) != stepRefuse {
		t.Errorf("half of 8 tokens must be left; %v are left", home.tokens)
	}
	ask := func(reserve float64) int {
		return len(home.serve(&peerpb.AccountRequest{Account: "a", Tokens: 1, TokensUs: 1000, Spare: reserve}, "vm", now).Grants)
	}
	if ask(half) != 0 || ask(0) != 1 {
		t.Errorf("a VM got tokens of the reserve, or an urgent request got none; %v are left", home.tokens)
	}
	if home.admit(0, 0, now) != stepAdmit {
		t.Error("an urgent request was refused")
	}
	home.tokens = home.net.capacity
	if home.admit(0, 1, now) != stepAdmit {
		t.Error("a full bucket refused a request that is not urgent")
	}
}

// TestLoweredLimitBindsTheHomeAtOnce guards against a home that still admits by the previous,
// higher limit because it holds loans made under it.
func TestLoweredLimitBindsTheHomeAtOnce(t *testing.T) {
	const now = clock.Time(time.Hour)
	home := newBudget("a", func() uint64 { return 1 })
	home.home = true
	h := &lease.Holding{Total: 4, Slots: []lease.Slot{{Index: 0, Until: never, Settled: true}}}
	home.setShares(&config.Account{Name: "a", Rate: 40, Burst: 40}, h, now)
	for id := range uint64(3) {
		home.borrow(grant{id: id, kind: collectLoan, share: share{10, 10}, tokens: 10, duration: collectDuration}, "vm", now, now)
	}
	home.setShares(&config.Account{Name: "a", Rate: 2, Burst: 3}, h, now)
	admitted := 0
	for at := now; at.Sub(now) <= time.Second; at = at.Add(time.Millisecond) {
		if home.admit(0, 0, at) == stepAdmit {
			admitted++
		}
	}
	if admitted > 3+2 {
		t.Errorf("%d requests in a second, the limit is 2 per second with a burst of 3", admitted)
	}
}

// TestHugeLimitAdmits guards against a limit that is too large to be counted exactly and then admits
// nothing.
func TestHugeLimitAdmits(t *testing.T) {
	for _, x := range []float64{maxAmount, 2 * maxAmount, math.MaxFloat64, math.Inf(1)} {
		b := newBudget("a", func() uint64 { return 1 })
		b.home = true
		b.setShares(&config.Account{Name: "a", Rate: x, Burst: x}, hold(1, 0, 1), 0)
		if got := b.admit(0, 0, at(time.Second)); got != stepAdmit {
			t.Errorf("limit %g: got step %d, want %d", x, got, stepAdmit)
		}
	}
}
