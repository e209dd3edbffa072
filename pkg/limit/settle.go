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
	// holdsTimeout bounds one question to a peer: two round trips between the
	// farthest regions.
	holdsTimeout = 300 * time.Millisecond
	// holdsPause is the time between two questions to a peer.
	holdsPause = 50 * time.Millisecond
	// refusalsOfDead is how many refused connections in a row prove that no process
	// runs at an address.
	refusalsOfDead = 2
)

// asking notes an exchange with a lender until the returned function is called.
func (s *Service) asking(incarnation string) (done func()) {
	s.lendMu.Lock()
	defer s.lendMu.Unlock()
	s.lenders[incarnation]++
	return func() {
		s.lendMu.Lock()
		defer s.lendMu.Unlock()
		if s.lenders[incarnation]--; s.lenders[incarnation] == 0 {
			delete(s.lenders, incarnation)
		}
	}
}

// Holds answers a VM that has restarted.
func (v server) Holds(_ context.Context, r *peerpb.HoldsRequest) (*peerpb.HoldsResponse, error) {
	return &peerpb.HoldsResponse{Holds: v.s.mayHold(r.Vm, r.Incarnation)}, nil
}

// mayHold reports whether this VM has, or may be about to get, a loan of an
// earlier incarnation of the VM. Loans name only their lender's incarnation, so
// every loan counts that is not surely another VM's.
func (s *Service) mayHold(vm, incarnation string) bool {
	others := []string{incarnation}
	for _, p := range s.cfg.Members.View().Peers {
		if p.ID != vm {
			others = append(others, p.Incarnation)
		}
	}
	s.lendMu.Lock()
	for lender := range s.lenders {
		if !slices.Contains(others, lender) {
			s.lendMu.Unlock()
			return true
		}
	}
	s.lendMu.Unlock()
	now := s.cfg.Clock.Now()
	for _, a := range *s.accounts.Load() {
		a.mu.Lock()
		a.book.advance(now)
		held := slices.ContainsFunc(a.book.borrowed, func(x loan) bool { return !slices.Contains(others, x.peer) })
		a.mu.Unlock()
		if held {
			return true
		}
	}
	return false
}

// AwaitSettled returns true once no VM may use what an earlier incarnation of
// this one lent: each has said so, or nothing runs at its address. It returns
// false where that takes as long as the loans themselves.
func (s *Service) AwaitSettled(ctx context.Context, vms []storage.VM) bool {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	self := s.cfg.Members.View().Self
	var asked sync.WaitGroup
	for _, vm := range vms {
		if vm.ID != self.ID {
			asked.Go(func() { s.awaitSettledAt(ctx, vm, self.ID, self.Incarnation) })
		}
	}
	asked.Wait()
	return ctx.Err() == nil
}

// awaitSettledAt returns when one VM holds nothing, or ctx ends.
func (s *Service) awaitSettledAt(ctx context.Context, vm storage.VM, id, incarnation string) {
	client := s.client(vm.PeerAddress)
	for refused := 0; ctx.Err() == nil; {
		call, cancel := context.WithTimeout(ctx, holdsTimeout)
		r, err := client.Holds(call, &peerpb.HoldsRequest{Vm: id, Incarnation: incarnation})
		cancel()
		if err == nil && !r.Holds {
			return
		}
		if refused++; !errors.Is(err, syscall.ECONNREFUSED) {
			refused = 0
		}
		if refused == refusalsOfDead {
			return
		}
		select {
		case <-time.After(holdsPause):
		case <-ctx.Done():
		}
	}
}
