package edge

import (
	"fmt"
	"testing"
	"time"

	"crocusramp.dev/crocusramp/pkg/target"
)

// TestLimitsOfTargetsAreLentWhole guards against limits of which each VM keeps a part that is
// too small to admit a request.
func TestLimitsOfTargetsAreLentWhole(t *testing.T) {
	r := newTestRegistry("vm-00", false)
	r.set(registrations(3), 0)
	if got := (allLent{r}).Holding(); len(got.Slots) != 0 || got.Total != 3*slotsPerVM {
		t.Errorf("holds %+v while others may use what an earlier process lent", got)
	}
	r.endWait(true, second)
	got := allLent{r}.Holding()
	if len(got.Slots) != slotsPerVM || got.Total != 3*slotsPerVM {
		t.Fatalf("holds %+v, want its part of three", got)
	}
	for _, s := range got.Slots {
		if s.Kept || !s.New {
			t.Errorf("slot %+v is kept, or not used at once", s)
		}
	}
	r = newTestRegistry("vm-00", false)
	r.set(registrations(3), 0)
	r.endWait(false, second)
	for _, s := range (allLent{r}).Holding().Slots {
		if s.New {
			t.Errorf("slot %+v is used at once, though others may use it", s)
		}
	}
}

// TestLimitAccounts guards against limits whose burst goes beyond what the platform's rule
// allows in its window, and against targets that are never asked again.
func TestLimitAccounts(t *testing.T) {
	const window, factor, slack = 4.0, 1.5, 5.0
	for _, rate := range []float64{0, 0.01, 0.5, 1, 5.6, 40, 1e6, 1e300} {
		a := limitAccount(&target.Live{}, target.Limit{Rate: rate, Named: true})
		if a.Rate <= 0 || a.Rate > maxTargetRate {
			t.Errorf("limit %v: %v a second", rate, a.Rate)
		}
		if most, allowed := a.Burst+a.Rate*window, factor*rate*window+slack; most > allowed {
			t.Errorf("limit %v: %v requests in %v s, %v allowed", rate, most, window, allowed)
		}
	}
}

// TestAccountsFollowTheLimits guards against accounts that stay after a limit has ended, and
// against ones that are made anew while nothing changes: their buckets would be, too.
func TestAccountsFollowTheLimits(t *testing.T) {
	now := time.Now()
	l := &target.Live{Target: target.Target{ID: "i-1", Region: "east"}, Born: 7}
	other := &target.Live{Target: target.Target{ID: "i-2", Region: "west"}}
	limits := newTargetLimits()
	l.LimitNamed(5, now)
	limits.follow([]*target.Live{l, other})
	first := limits.Snapshot().Accounts[l.Incarnation()]
	if first == nil || first.Rate != 5 || limits.near(l.Incarnation()) != "east" || len(limits.Snapshot().Accounts) != 1 {
		t.Fatalf("accounts %v", limits.Snapshot().Accounts)
	}
	limits.follow([]*target.Live{l, other})
	limits.set(l, l.Limit())
	if limits.Snapshot().Accounts[l.Incarnation()] != first {
		t.Error("the account was made anew")
	}
	l.LimitNamed(2, now.Add(time.Second))
	limits.set(l, l.Limit())
	if got := limits.Snapshot().Accounts[l.Incarnation()].Rate; got != 2 {
		t.Errorf("the limit fell to 2, the account has %v", got)
	}
	l.LimitUnnamed(now.Add(2*time.Second), now.Add(3*time.Second))
	limits.follow([]*target.Live{l, other})
	if n := len(limits.Snapshot().Accounts); n != 0 {
		t.Errorf("%d accounts after the limit has ended", n)
	}
}

// TestHeartbeatsReportTheNewestLimits guards against heartbeats that grow with the number of
// limited targets, and against news that does not get through.
func TestHeartbeatsReportTheNewestLimits(t *testing.T) {
	now := time.Now()
	var all []*target.Live
	for i := range 3 * maxReportedLimits {
		l := &target.Live{Target: target.Target{ID: fmt.Sprint("i-", i)}}
		l.LimitNamed(5, now.Add(time.Duration(i)*time.Millisecond))
		all = append(all, l)
	}
	all[0].LimitNamed(4, now.Add(time.Second))
	reported := observedLimits(all, now.Add(2*time.Second))
	if len(reported) != maxReportedLimits || reported[0].Target != "i-0" || reported[0].Rate != 4 || reported[1].Target != fmt.Sprint("i-", len(all)-1) {
		t.Errorf("%d reported, the first ones %+v", len(reported), reported[:2])
	}
}
