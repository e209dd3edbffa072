package limit

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"crocusramp.dev/crocusramp/pkg/config"
)

// admission is one admitted request. It was admitted at some time between after and before.
type admission struct{ after, before time.Time }

// load sends every service as many requests as it admits.
type load struct {
	mu       sync.Mutex
	admitted [][]admission // by VM
	ended    sync.WaitGroup
}

func startLoad(ctx context.Context, services []*Service, account string) *load {
	l := &load{admitted: make([][]admission, len(services))}
	for i, s := range services {
		l.ended.Go(func() {
			for ctx.Err() == nil {
				after := time.Now()
				d := s.Admit(ctx, account)
				if d.Admitted {
					l.mu.Lock()
					l.admitted[i] = append(l.admitted[i], admission{after, time.Now()})
					l.mu.Unlock()
					continue
				}
				time.Sleep(min(d.RetryAfter, 5*time.Millisecond))
			}
		})
	}
	return l
}

// since returns the number of admissions after t, in total and by VM.
func (l *load) since(t time.Time) (total int, byVM []int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, list := range l.admitted {
		n := 0
		for _, a := range list {
			if a.after.After(t) {
				n++
			}
		}
		total, byVM = total+n, append(byVM, n)
	}
	return total, byVM
}

// waitFor waits until each VM of vms has admitted n more requests.
func (l *load) waitFor(t *testing.T, what string, n int, vms ...int) {
	t.Helper()
	start := time.Now()
	for {
		_, byVM := l.since(start)
		if !slices.ContainsFunc(vms, func(vm int) bool { return byVM[vm] < n }) {
			return
		}
		if time.Since(start) > time.Minute {
			t.Fatalf("%s: %v admitted in a minute, want %d each by %v", what, byVM, n, vms)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// check fails if any window holds more than burst + rate*t admissions. A window runs from before
// its first admission to after its last.
func (l *load) check(t *testing.T, from time.Time, limit config.Account) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []admission
	for _, list := range l.admitted {
		for _, a := range list {
			if a.after.After(from) {
				all = append(all, a)
			}
		}
	}
	// Check every window of whole admissions, in order of their ends.
	slices.SortFunc(all, func(x, y admission) int { return x.before.Compare(y.before) })
	for i := range all {
		n := 0
		for j := i; j < len(all); j++ {
			if all[j].after.Before(all[i].after) {
				continue
			}
			n++
			d := all[j].before.Sub(all[i].after).Seconds()
			if most := limit.Burst + limit.Rate*d; float64(n) > most+1e-6 {
				t.Fatalf("%d admitted in %.3f s, burst + rate*t is %.2f", n, d, most)
			}
		}
	}
}

// TestFleetUnderFaults checks that three VMs keep to the limit under overload while the home
// freezes, responses are lost, and the limit changes at a different time on each VM.
func TestFleetUnderFaults(t *testing.T) {
	high := config.Account{Name: "a", Rate: 200, Burst: 30}
	low := config.Account{Name: "a", Rate: 60, Burst: 12}
	services, all, faults := startFleet(t, 3, accounts(high))
	home := slices.IndexFunc(all, func(s *sources) bool { return s.View().Self.ID == services[0].Homes("a")[0] })
	others := []int{(home + 1) % 3, (home + 2) % 3}
	ctx, cancel := context.WithCancel(t.Context())
	start := time.Now()
	l := startLoad(ctx, services, "a")
	defer l.ended.Wait()
	defer cancel()

	l.waitFor(t, "start", 20, 0, 1, 2)
	faults[home].frozen.Store(true)
	// The shares that the frozen home borrowed return to their lenders when the loans end.
	l.waitFor(t, "home frozen", 20, others...)
	faults[home].frozen.Store(false)
	l.waitFor(t, "home recovered", 20, 0, 1, 2)
	faults[others[0]].lossy.Store(true)
	l.waitFor(t, "responses lost", 50, home)
	faults[others[0]].lossy.Store(false)

	for _, s := range all {
		s.config.Store(accounts(low))
		l.waitFor(t, "lowered", 10, home)
	}
	// Every VM applies its version within collectPeriod.
	lowered := time.Now().Add(collectPeriod + loanDrainTime)
	time.Sleep(time.Until(lowered))
	l.waitFor(t, "lowered everywhere", 30, home)
	raised := time.Now()
	for _, s := range all {
		s.config.Store(accounts(high))
	}
	l.waitFor(t, "raised", 100, home)
	cancel()
	l.ended.Wait()
	l.check(t, start, high)
	l.checkUntil(t, lowered, raised, low)
	total, byVM := l.since(start)
	t.Logf("%d admitted in %v, by VM: %v", total, time.Since(start), byVM)
}

// checkUntil checks the admissions between from and to.
func (l *load) checkUntil(t *testing.T, from, to time.Time, limit config.Account) {
	t.Helper()
	within := &load{}
	for _, list := range l.admitted {
		within.admitted = append(within.admitted, slices.DeleteFunc(slices.Clone(list), func(a admission) bool {
			return a.before.After(to)
		}))
	}
	within.check(t, from, limit)
}

// TestReleaseReturnsLoans checks that a home that stops returns the shares that it collected.
func TestReleaseReturnsLoans(t *testing.T) {
	services, all, _ := startFleet(t, 2, accounts(config.Account{Name: "a", Rate: 100, Burst: 20}))
	home := slices.IndexFunc(all, func(s *sources) bool { return s.View().Self.ID == services[0].Homes("a")[0] })
	deadline := time.Now().Add(time.Minute)
	for services[home].Shares() == nil || services[home].Shares()[0].Borrowed == 0 {
		if time.Now().After(deadline) {
			t.Fatal("the home collected nothing in a minute")
		}
		time.Sleep(5 * time.Millisecond)
	}
	services[home].Release(t.Context())
	if got := services[home].Shares()[0]; got.Borrowed != 0 || got.Rate != 50 {
		t.Errorf("share of the home after Release: %+v", got)
	}
	if got := services[1-home].Shares()[0]; got.Lent != 0 || got.Rate != 50 {
		t.Errorf("share of the other VM after Release: %+v", got)
	}
}
