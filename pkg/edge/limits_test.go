package edge

import (
	"fmt"
	"testing"
	"time"

	"crocusramp.dev/crocusramp/pkg/target"
)

// TestTargetLimitsHaveNoKeptSlots guards against limits of targets that admit no request because
// each VM keeps a share that is smaller than one request.
func TestTargetLimitsHaveNoKeptSlots(t *testing.T) {
	r := newTestRegistry("vm-00", false)
	r.setRows(registrations(3), 0)
	if got := (lendableHolder{r}).Holding(); len(got.Slots) != 0 || got.Total != 3*slotsPerVM {
		t.Errorf("VM holds %+v while others may use what an earlier process lent", got)
	}
	r.endLoanWait(true, second)
	got := lendableHolder{r}.Holding()
	if len(got.Slots) != slotsPerVM || got.Total != 3*slotsPerVM {
		t.Fatalf("VM holds %+v, want the share of one of three VMs", got)
	}
	for _, s := range got.Slots {
		if s.Kept || !s.Settled {
			t.Errorf("slot %+v is kept or is not usable at once", s)
		}
	}
	r = newTestRegistry("vm-00", false)
	r.setRows(registrations(3), 0)
	r.endLoanWait(false, second)
	for _, s := range (lendableHolder{r}).Holding().Slots {
		if s.Settled {
			t.Errorf("slot %+v is usable at once although others may use it", s)
		}
	}
}

// TestLimitAccounts guards against accounts that admit more than the platform's rule allows in its
// window, and against accounts that admit nothing, so that a target is never asked again.
func TestLimitAccounts(t *testing.T) {
	const window, factor, slack = 4.0, 1.5, 5.0
	for _, rate := range []float64{0, 0.01, 0.5, 1, 5.6, 40, 1e6, 1e300} {
		a := limitAccount(&target.Live{}, target.Limit{Rate: rate, Limited: true})
		if a.Rate <= 0 || a.Rate > maxTargetRate {
			t.Errorf("limit %v: account has rate %v, want above 0 and at most maxTargetRate", rate, a.Rate)
		}
		if most, allowed := a.Burst+a.Rate*window, factor*rate*window+slack; most > allowed {
			t.Errorf("limit %v: account admits %v requests in %v s, allowed are %v", rate, most, window, allowed)
		}
	}
}

// TestAccountsFollowTargetLimits guards against accounts that stay after a limit has ended, and against
// accounts that are recreated although nothing changed, which would reset their token buckets.
func TestAccountsFollowTargetLimits(t *testing.T) {
	now := time.Now()
	l := &target.Live{Target: target.Target{ID: "i-1", Region: "east"}, StartedAt: 7}
	other := &target.Live{Target: target.Target{ID: "i-2", Region: "west"}}
	limits := newTargetLimits()
	l.RecordLimit(5, now)
	limits.syncAccounts([]*target.Live{l, other})
	first := limits.Snapshot().Accounts[l.Incarnation()]
	if first == nil || first.Rate != 5 || limits.regionOf(l.Incarnation()) != "east" || len(limits.Snapshot().Accounts) != 1 {
		t.Fatalf("accounts %v, want one with rate 5 in region east", limits.Snapshot().Accounts)
	}
	limits.syncAccounts([]*target.Live{l, other})
	limits.upsert(l, l.Limit())
	if limits.Snapshot().Accounts[l.Incarnation()] != first {
		t.Error("the account was recreated although the limit did not change")
	}
	l.RecordLimit(2, now.Add(time.Second))
	limits.upsert(l, l.Limit())
	if got := limits.Snapshot().Accounts[l.Incarnation()].Rate; got != 2 {
		t.Errorf("account has rate %v after the limit fell to 2", got)
	}
	l.RecordNoLimit(now.Add(2*time.Second), now.Add(3*time.Second))
	limits.syncAccounts([]*target.Live{l, other})
	if n := len(limits.Snapshot().Accounts); n != 0 {
		t.Errorf("%d accounts are left after the limit has ended", n)
	}
}

// TestHeartbeatsReportTheNewestLimits guards against heartbeats that grow with the number of limited
// targets, and against heartbeats that omit the latest changes.
func TestHeartbeatsReportTheNewestLimits(t *testing.T) {
	now := time.Now()
	var all []*target.Live
	for i := range 3 * maxReportedLimits {
		l := &target.Live{Target: target.Target{ID: fmt.Sprint("i-", i)}}
		l.RecordLimit(5, now.Add(time.Duration(i)*time.Millisecond))
		all = append(all, l)
	}
	all[0].RecordLimit(4, now.Add(time.Second))
	reported := observedLimits(all, now.Add(2*time.Second))
	if len(reported) != maxReportedLimits || reported[0].Target != "i-0" || reported[0].Rate != 4 || reported[1].Target != fmt.Sprint("i-", len(all)-1) {
		t.Errorf("%d limits reported, want maxReportedLimits with the latest changes first; the first two are %+v", len(reported), reported[:2])
	}
}
