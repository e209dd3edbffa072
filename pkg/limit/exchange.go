package limit

import (
	"context"
	"net/http"
	"path"
	"sync"

	"github.com/twitchtv/twirp"

	peerpb "crocusramp.dev/crocusramp/api/peer/v1"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/member"
)

// path is where peers find this service.
func (s *Service) path() string { return path.Join("/twirp", s.cfg.Name) }

// client reaches this service's like on a peer.
func (s *Service) client(address string) peerpb.Limit {
	return peerpb.NewLimitProtobufClient(s.cfg.Peers.URL(address), s.cfg.Peers.HTTP(), twirp.WithClientPathPrefix(s.path()))
}

// exchange calls a peer. It returns the answers by account, or nil.
func (s *Service) exchange(ctx context.Context, p member.Peer, accounts []*peerpb.AccountRequest) map[string]*peerpb.AccountResponse {
	defer s.asking(p.Incarnation)()
	response, err := s.client(p.PeerAddress).Exchange(ctx, &peerpb.ExchangeRequest{
		Borrower:  s.cfg.Members.View().Self.Incarnation,
		RequestId: s.ids.Add(1),
		Accounts:  accounts,
	})
	if err != nil {
		s.failures.Inc(1)
		s.cfg.Log.Debug().Err(err).Str("vm", p.ID).Msg("loans could not be exchanged")
		return nil
	}
	byAccount := make(map[string]*peerpb.AccountResponse, len(response.Accounts))
	for _, r := range response.Accounts {
		byAccount[r.Account] = r
	}
	return byAccount
}

// collectAll makes one exchange with each live peer, for all accounts.
func (s *Service) collectAll(ctx context.Context) {
	view := s.cfg.Members.View()
	s.refresh(view)
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	collecting := s.collecting()
	if len(collecting) == 0 {
		return
	}
	var calls sync.WaitGroup
	for _, p := range view.Peers {
		if p.State == member.Live || p.State == member.Leaving {
			calls.Go(func() { s.collectFrom(ctx, p, collecting) })
		}
	}
	calls.Wait()
}

// collecting returns the accounts that this VM is the home of, or has borrowed shares of.
func (s *Service) collecting() []*account {
	var out []*account
	for _, a := range *s.accounts.Load() {
		a.mu.Lock()
		if a.book.home || len(a.book.borrowed) > 0 {
			out = append(out, a)
		}
		a.mu.Unlock()
	}
	return out
}

func (s *Service) collectFrom(ctx context.Context, p member.Peer, accounts []*account) {
	for again := true; again; {
		again = s.collectOnce(ctx, p, accounts)
	}
}

// collectOnce makes one exchange; again reports that loans are to be returned.
func (s *Service) collectOnce(ctx context.Context, p member.Peer, accounts []*account) (again bool) {
	now := s.cfg.Clock.Now()
	requests := gather(accounts, func(a *account) *peerpb.AccountRequest {
		return a.book.collect(p.Incarnation, now)
	})
	if len(requests) == 0 {
		return false
	}
	s.collections.Inc(1)
	answers := s.exchange(ctx, p, requests)
	s.settle(requests, answers, func(a *account, q *peerpb.AccountRequest, r *peerpb.AccountResponse) {
		if a.book.collectedFrom(q, r, p.Incarnation, now, s.cfg.Clock.Now()) {
			again = true
		}
	})
	return again
}

// relendAll makes one exchange with each home of an account that this VM has
// more demand for than its own share covers.
func (s *Service) relendAll(ctx context.Context) {
	if s.stopping.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, relendPeriod)
	defer cancel()
	homes := map[string]member.Peer{}
	accounts := map[string][]*account{}
	for name, a := range *s.accounts.Load() {
		if home, ok := s.home(name); ok {
			homes[home.ID] = home
			accounts[home.ID] = append(accounts[home.ID], a)
		}
	}
	var calls sync.WaitGroup
	for id, home := range homes {
		calls.Go(func() { s.relendFrom(ctx, home, accounts[id]) })
	}
	calls.Wait()
}

// relendFrom makes one exchange with the home of some accounts.
func (s *Service) relendFrom(ctx context.Context, home member.Peer, accounts []*account) {
	now := s.cfg.Clock.Now()
	requests := gather(accounts, func(a *account) *peerpb.AccountRequest {
		a.book.home = home.ID == s.cfg.Members.View().Self.ID
		return a.book.relend(home.Incarnation, now)
	})
	if len(requests) == 0 {
		return
	}
	answers := s.exchange(ctx, home, requests)
	s.settle(requests, answers, func(a *account, _ *peerpb.AccountRequest, r *peerpb.AccountResponse) {
		a.book.accept(relent, r, home.Incarnation, now, s.cfg.Clock.Now())
	})
}

// gather makes a request for each of the accounts that has something to say.
func gather(accounts []*account, request func(*account) *peerpb.AccountRequest) []*peerpb.AccountRequest {
	var requests []*peerpb.AccountRequest
	for _, a := range accounts {
		a.mu.Lock()
		if r := request(a); r != nil {
			requests = append(requests, r)
		}
		a.mu.Unlock()
	}
	return requests
}

// settle hands each answer to its account.
func (s *Service) settle(requests []*peerpb.AccountRequest, answers map[string]*peerpb.AccountResponse,
	accept func(*account, *peerpb.AccountRequest, *peerpb.AccountResponse)) {
	accounts := *s.accounts.Load()
	for _, q := range requests {
		a, r := accounts[q.Account], answers[q.Account]
		if a != nil && r != nil {
			a.mu.Lock()
			accept(a, q, r)
			a.mu.Unlock()
		}
	}
}

// Handler returns the path prefix and the handler of the service that peers
// call.
func (s *Service) Handler() (string, http.Handler) {
	h := peerpb.NewLimitServer(server{s}, twirp.WithServerPathPrefix(s.path()))
	return h.PathPrefix(), h
}

// server answers peers; it keeps the RPC method out of Service's interface.
type server struct{ s *Service }

// Exchange lends to a peer.
func (v server) Exchange(_ context.Context, r *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	if r.Borrower == "" {
		return nil, twirp.RequiredArgumentError("borrower")
	}
	if !v.s.seen.add(r.Borrower, r.RequestId) {
		return nil, twirp.NewError(twirp.AlreadyExists, "the request was answered before")
	}
	out := &peerpb.ExchangeResponse{}
	stopping := v.s.stopping.Load()
	for _, q := range r.Accounts {
		if stopping {
			// Loans may end early, but none begins or is extended.
			q = &peerpb.AccountRequest{Account: q.Account, Returns: q.Returns}
		}
		if a, c := v.s.account(q.Account); a != nil {
			out.Accounts = append(out.Accounts, v.s.serve(a, c, q, r.Borrower))
		}
	}
	return out, nil
}

func (s *Service) serve(a *account, c *config.Account, q *peerpb.AccountRequest, borrower string) *peerpb.AccountResponse {
	now := s.cfg.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	s.sync(a, c, now)
	return a.book.serve(q, borrower, now)
}
