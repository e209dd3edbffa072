package limit

import (
	"context"
	"net"
	"testing"
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/lease"
	"crocusramp.dev/crocusramp/pkg/storage"
)

// registered returns the services' VMs as the platform lists them.
func registered(all []*sources) []storage.VM {
	vms := make([]storage.VM, len(all))
	for i, s := range all {
		self := s.View().Self
		vms[i] = storage.VM{ID: self.ID, PeerAddress: self.PeerAddress}
	}
	return vms
}

// addLoan makes s borrow from the lender for d.
func addLoan(s *Service, lender string, d time.Duration) {
	a, _ := s.account("a")
	a.mu.Lock()
	defer a.mu.Unlock()
	now := clock.System{}.Now()
	a.budget.borrow(grant{id: 1, share: share{1, 1}, duration: d}, lender, now, now)
}

// TestMassRestartNeedsNoWait guards against VMs that all restart at the same moment and then wait
// for loans that no process holds. Waiting for the longest loan refused all requests of all
// accounts for 3 s.
func TestMassRestartNeedsNoWait(t *testing.T) {
	services, all, _ := startFleet(t, 4, accounts(accountOf10))
	for _, s := range services {
		if !s.AwaitLoansEnded(t.Context(), registered(all)) {
			t.Error("a VM waited for loans that no VM holds")
		}
	}
}

func TestRestartedVMWaitsForItsLoans(t *testing.T) {
	const loanTime = 700 * time.Millisecond
	services, all, _ := startFleet(t, 2, accounts(accountOf10))
	lent := time.Now()
	addLoan(services[0], "vm-1/0", loanTime)
	if !services[0].mayHoldLoan("vm-1", "vm-1/1") {
		t.Error("a loan of the earlier process was not found")
	}
	if !services[1].AwaitLoansEnded(t.Context(), registered(all)) {
		t.Error("the wait failed though the loan has ended")
	}
	if waited := time.Since(lent); waited < loanTime-2*loanTime/driftDivisor {
		t.Errorf("the wait ended after %v while the loan ran for %v", waited, loanTime)
	}
}

func TestMayHoldLoan(t *testing.T) {
	for _, tt := range []struct {
		name   string
		set    func(*Service)
		expect bool
	}{
		{"nothing", func(*Service) {}, false},
		{"a loan of the current process", func(s *Service) { addLoan(s, "vm-1/1", time.Minute) }, false},
		{"a loan of another VM", func(s *Service) { addLoan(s, "vm-2/1", time.Minute) }, false},
		{"a loan of an unknown process", func(s *Service) { addLoan(s, "vm-1/0", time.Minute) }, true},
		{"an exchange in flight with the earlier process", func(s *Service) { s.trackExchange("vm-1/0") }, true},
		{"an exchange that has ended", func(s *Service) { s.trackExchange("vm-1/0")() }, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			services, _, _ := startFleet(t, 3, accounts(accountOf10))
			tt.set(services[0])
			if got := services[0].mayHoldLoan("vm-1", "vm-1/1"); got != tt.expect {
				t.Errorf("got %v, want %v", got, tt.expect)
			}
		})
	}
}

func TestAwaitLoansEndedWithDeadAndSilentVMs(t *testing.T) {
	services, all, faults := startFleet(t, 3, accounts(accountOf10))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead := storage.VM{ID: "vm-9", PeerAddress: l.Addr().String()}
	l.Close()
	if !services[0].AwaitLoansEnded(t.Context(), append(registered(all), dead)) {
		t.Error("waited for a VM at whose address no process runs")
	}
	faults[1].frozen.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if services[0].AwaitLoansEnded(ctx, registered(all)) {
		t.Error("did not wait for a silent VM, which may hold a loan")
	}
}

// TestStoppingVMLeavesNoLoan checks that the loans of a stopping VM have ended when its next
// process starts, so that this process need not wait for them.
func TestStoppingVMLeavesNoLoan(t *testing.T) {
	services, _, _ := startFleet(t, 3, accounts(accountOf10))
	lends := func(s *Service) bool {
		shares := s.Shares()
		return len(shares) == 1 && shares[0].Lent > 0
	}
	var lender *Service
	deadline := time.Now().Add(time.Minute)
	for lender == nil {
		if time.Now().After(deadline) {
			t.Fatal("no VM lent anything in a minute")
		}
		for _, s := range services {
			if lends(s) {
				lender = s
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	lender.StopLending()
	time.Sleep(loanDrainTime)
	if lends(lender) {
		t.Error("a loan was extended or made after StopLending")
	}
	self := lender.cfg.Members.View().Self
	for i, s := range services {
		if s != lender && s.mayHoldLoan(self.ID, self.ID+"/2") {
			t.Errorf("VM %d may still use a loan", i)
		}
	}
}

// TestStartTokens checks that each VM admits its part of the tokens allowed beyond the limit
// exactly once after a restart of the fleet, when callers return all at once.
func TestStartTokens(t *testing.T) {
	b := newBudget("a", func() uint64 { return 0 })
	held := func(slots int) *lease.Holding {
		h := hold(10, 0, 10)
		h.Slots = h.Slots[:slots]
		return h
	}
	limit := &config.Account{Name: "a", Rate: 100, Burst: 100}
	b.setShares(limit, held(0), 0)
	b.setShares(limit, held(1), 0)
	b.addStartTokens(4)
	b.addStartTokens(4)
	admitted := 0
	for b.take(0) {
		admitted++
	}
	if admitted != 4 {
		t.Errorf("%d admitted at the start, want 4", admitted)
	}
	b.addStartTokens(4)
	if b.take(0) {
		t.Error("the start tokens were given twice")
	}
	two := held(1)
	two.Slots = append(two.Slots, lease.Slot{Index: 1, Until: never, Settled: true})
	b.setShares(limit, two, 0)
	b.addStartTokens(4)
	if !b.take(0) {
		t.Error("the second part got no tokens")
	}
	full := newBudget("a", func() uint64 { return 0 })
	full.setShares(limit, held(1), 0)
	full.addStartTokens(1000)
	if full.tokens > 10 {
		t.Errorf("%v tokens in a bucket of 10", full.tokens)
	}
}
