package limit

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	peerpb "crocusramp.dev/crocusramp/api/peer/v1"
	"crocusramp.dev/crocusramp/pkg/storage"
)

const (
	// holdsTimeout is the timeout of one Holds call to a peer: two round trips between the farthest
	// regions.
	holdsTimeout = 300 * time.Millisecond
	// holdsPause is the time between two Holds calls to a peer.
	holdsPause = 50 * time.Millisecond
	// refusalsUntilDead is how many refused connections in a row prove that no process runs at an
	// address.
	refusalsUntilDead = 2
)

// trackExchange records an exchange with a lender until the returned function is called.
func (s *Service) trackExchange(incarnation string) (done func()) {
	s.exchangesMu.Lock()
	defer s.exchangesMu.Unlock()
	s.exchanges[incarnation]++
	return func() {
		s.exchangesMu.Lock()
		defer s.exchangesMu.Unlock()
		if s.exchanges[incarnation]--; s.exchanges[incarnation] == 0 {
			delete(s.exchanges, incarnation)
		}
	}
}

// Holds reports to a VM that has restarted whether this VM may hold its loans.
func (v server) Holds(_ context.Context, r *peerpb.HoldsRequest) (*peerpb.HoldsResponse, error) {
	return &peerpb.HoldsResponse{Holds: v.s.mayHoldLoan(r.Vm, r.Incarnation)}, nil
}

// mayHoldLoan reports whether this VM holds, or may be about to receive, a loan of an earlier
// incarnation of the VM. Loans name only their lender's incarnation, so every loan counts that is
// not certainly another VM's.
func (s *Service) mayHoldLoan(vm, incarnation string) bool {
	others := []string{incarnation}
	for _, p := range s.cfg.Members.View().Peers {
		if p.ID != vm {
			others = append(others, p.Incarnation)
		}
	}
	s.exchangesMu.Lock()
	for lender := range s.exchanges {
		if !slices.Contains(others, lender) {
			s.exchangesMu.Unlock()
			return true
		}
	}
	s.exchangesMu.Unlock()
	now := s.cfg.Clock.Now()
	for _, a := range *s.accounts.Load() {
		a.mu.Lock()
		a.budget.advance(now)
		held := slices.ContainsFunc(a.budget.borrowed, func(x loan) bool { return !slices.Contains(others, x.peer) })
		a.mu.Unlock()
		if held {
			return true
		}
	}
	return false
}

// AwaitLoansEnded waits until no VM can use what an earlier incarnation of this one lent: each VM
// has confirmed it, or no process runs at its address. It returns false if that takes as long as
// the longest loan.
func (s *Service) AwaitLoansEnded(ctx context.Context, vms []storage.VM) bool {
	ctx, cancel := context.WithTimeout(ctx, loanDrainTime)
	defer cancel()
	self := s.cfg.Members.View().Self
	var calls sync.WaitGroup
	for _, vm := range vms {
		if vm.ID != self.ID {
			calls.Go(func() { s.awaitLoansEndedAt(ctx, vm, self.ID, self.Incarnation) })
		}
	}
	calls.Wait()
	return ctx.Err() == nil
}

// awaitLoansEndedAt returns when one VM holds no such loan, no process runs at its address, or ctx
// ends.
func (s *Service) awaitLoansEndedAt(ctx context.Context, vm storage.VM, id, incarnation string) {
	client := s.client(vm.PeerAddress)
	var holds bool
	var err error
	for refused := 0; ctx.Err() == nil; {
		call, cancel := context.WithTimeout(ctx, holdsTimeout)
		var r *peerpb.HoldsResponse
		r, err = client.Holds(call, &peerpb.HoldsRequest{Vm: id, Incarnation: incarnation})
		cancel()
		if holds = r.GetHolds(); err == nil && !holds {
			return
		}
		if refused++; !errors.Is(err, syscall.ECONNREFUSED) {
			refused = 0
		}
		if refused == refusalsUntilDead {
			return
		}
		select {
		case <-time.After(holdsPause):
		case <-ctx.Done():
		}
	}
	s.cfg.Log.Info().Err(err).Str("vm", vm.ID).Str("address", vm.PeerAddress).Bool("holds", holds).Msg("a VM did not confirm that the loans of an earlier process of this VM have ended")
}
