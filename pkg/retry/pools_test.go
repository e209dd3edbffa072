package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/retry"
	"crocusramp.dev/crocusramp/pkg/retry/retrytest"
)

const testPool = "pool"

// budgetFleet simulates VMs that share a budget, and records the times of all requests and retries.
type budgetFleet struct {
	limit             retry.PoolLimit
	vms               []*retry.PoolBudget
	now               clock.Time
	requests, retries []clock.Time
}

func newBudgetFleet(vms int, limit retry.PoolLimit) *budgetFleet {
	f := &budgetFleet{limit: limit, vms: make([]*retry.PoolBudget, vms), now: clock.Time(time.Hour)}
	f.limit.VMs = vms
	for i := range vms {
		f.vms[i] = retry.NewPoolBudget(0)
	}
	return f
}

// restart replaces a VM's process.
func (f *budgetFleet) restart(vm int) { f.vms[vm] = retry.NewPoolBudget(f.now) }

func (f *budgetFleet) restartAll() {
	for i := range f.vms {
		f.restart(i)
	}
}

// serve spreads requests at a constant rate over the VMs. It retries each until the budget denies
// it, at most the given number of times.
func (f *budgetFleet) serve(duration time.Duration, perSecond, retries int, vms ...int) {
	pause := time.Second / time.Duration(perSecond)
	for i, end := 0, f.now.Add(duration); f.now.Before(end); i++ {
		f.request(vms[i%len(vms)], retries)
		f.now = f.now.Add(pause)
	}
}

func (f *budgetFleet) request(vm, retries int) {
	b := f.vms[vm]
	b.Count(testPool, f.limit, f.now)
	f.requests = append(f.requests, f.now)
	for range retries {
		if !b.Take(testPool, f.limit, f.now).Granted {
			return
		}
		f.retries = append(f.retries, f.now)
	}
}

// check returns an error if a window has more retries than the limit allows.
func (f *budgetFleet) check() error { return retrytest.Check(f.limit, f.requests, f.retries) }

// TestRestartsKeepTheRetryBudget guards against processes that spend a window's retries again after
// their predecessors have spent them.
func TestRestartsKeepTheRetryBudget(t *testing.T) {
	for _, restarts := range []int{1, 2, 4, 9} {
		f := newBudgetFleet(11, retry.PoolLimit{Ratio: 0.2, Floor: 62, Window: 10 * time.Second})
		all := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10}
		f.serve(15*time.Second, 900, 0, all...)
		for range restarts {
			f.serve(10*time.Second/time.Duration(restarts+1), 900, 2, all...)
			f.restartAll()
		}
		f.serve(15*time.Second, 900, 2, all...)
		if err := f.check(); err != nil {
			t.Errorf("%d restarts: %v", restarts, err)
		}
	}
}

// TestChangedWindowForgets guards against requests that are counted forever after the settings have
// made the window longer.
func TestChangedWindowForgets(t *testing.T) {
	limit := retry.PoolLimit{Ratio: 0.2, Window: 10 * time.Second, VMs: 1}
	f := newBudgetFleet(1, limit)
	f.serve(10*time.Second, 100, 0, 0)
	f.limit.Window *= 2
	f.serve(10*time.Millisecond, 100, 0, 0)
	f.now = f.now.Add(time.Minute)
	if got := f.vms[0].Take(testPool, f.limit, f.now); got.Requests != 0 || got.Granted {
		t.Errorf("%v requests in the window, granted %v", got.Requests, got.Granted)
	}
}

// TestMovingCallersKeepTheRetryBudget guards against VMs that grant retries for the requests that
// they received before their callers moved, while other VMs grant retries for the requests after
// the move.
func TestMovingCallersKeepTheRetryBudget(t *testing.T) {
	f := newBudgetFleet(11, retry.PoolLimit{Ratio: 0.2, Floor: 62, Window: 10 * time.Second})
	f.serve(15*time.Second, 900, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9)
	f.serve(5*time.Second, 900, 2, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9)
	f.serve(10*time.Second, 900, 2, 10)
	if err := f.check(); err != nil {
		t.Error(err)
	}
}

// TestRetryBudgetOfAFleet checks that no window has more retries than the limit, for any traffic,
// whichever VMs receive it and whichever restart.
func TestRetryBudgetOfAFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "VMs")
		limit := retry.PoolLimit{
			Ratio: rapid.Float64Range(0.05, 0.5).Draw(t, "ratio"), Floor: rapid.Float64Range(0, 200).Draw(t, "floor"), Window: 10 * time.Second,
		}
		f := newBudgetFleet(n, limit)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				f.restartAll()
			case 1:
				f.restart(rapid.IntRange(0, n-1).Draw(t, "VM"))
			case 2:
				f.now = f.now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "pause in ms")) * time.Millisecond)
			default:
				vms := rapid.SliceOfN(rapid.IntRange(0, n-1), 1, 4).Draw(t, "VMs")
				lasts := time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond
				f.serve(lasts, rapid.IntRange(1, 200).Draw(t, "per second"), rapid.IntRange(0, 3).Draw(t, "retries"), vms...)
			}
		}
		if err := f.check(); err != nil {
			t.Fatal(err)
		}
	})
}

func BenchmarkPoolBudget(b *testing.B) {
	budget := retry.NewPoolBudget(0)
	limit := retry.PoolLimit{Ratio: 0.2, Floor: 60, Window: 10 * time.Second, VMs: 10}
	b.ReportAllocs()
	for i := range b.N {
		now := clock.Time(time.Hour).Add(time.Duration(i) * time.Millisecond)
		budget.Count(testPool, limit, now)
		budget.Take(testPool, limit, now)
	}
}
