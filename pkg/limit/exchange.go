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

// path returns the URL path prefix of this service on peers.
func (s *Service) path() string { return path.Join("/twirp", s.cfg.Name) }

// client returns a client for the limit service of a peer.
func (s *Service) client(address string) peerpb.Limit {
	return peerpb.NewLimitProtobufClient(s.cfg.PeerDialer.BaseURL(address), s.cfg.PeerDialer.HTTPClient(), twirp.WithClientPathPrefix(s.path()))
}

// exchange calls a peer and returns its responses by account, or nil if the call failed.
func (s *Service) exchange(ctx context.Context, p member.Peer, accounts []*peerpb.AccountRequest) map[string]*peerpb.AccountResponse {
	defer s.trackExchange(p.Incarnation)()
	response, err := s.client(p.PeerAddress).Exchange(ctx, &peerpb.ExchangeRequest{
		Borrower:  s.cfg.Members.View().Self.Incarnation,
		RequestId: s.ids.Add(1),
		Accounts:  accounts,
	})
	if err != nil {
		s.failures.Inc(1)
		s.cfg.Log.Debug().Err(err).Str("vm", p.ID).Msg("loan exchange with a peer failed")
		return nil
	}
	byAccount := make(map[string]*peerpb.AccountResponse, len(response.Accounts))
	for _, r := range response.Accounts {
		byAccount[r.Account] = r
	}
	if unknown := len(accounts) - len(byAccount); unknown > 0 {
		s.cfg.Log.Debug().Str("vm", p.ID).Int("accounts", unknown).Msg("a peer does not know accounts of a loan exchange")
	}
	return byAccount
}

// collectAll makes one exchange with each live or leaving peer, for all accounts.
func (s *Service) collectAll(ctx context.Context) {
	view := s.cfg.Members.View()
	s.refresh(view)
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	collecting := s.accountsToCollect()
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

// accountsToCollect returns the accounts that this VM is the home of or has borrowed shares of.
func (s *Service) accountsToCollect() []*account {
	var out []*account
	for _, a := range *s.accounts.Load() {
		a.mu.Lock()
		if a.budget.home || len(a.budget.borrowed) > 0 {
			out = append(out, a)
		}
		a.mu.Unlock()
	}
	return out
}

// collectFrom makes exchanges with one peer until there are no loans to return to it.
func (s *Service) collectFrom(ctx context.Context, p member.Peer, accounts []*account) {
	for again := true; again; {
		again = s.collectOnce(ctx, p, accounts)
	}
}

// collectOnce makes one exchange; again reports that there are loans to return.
func (s *Service) collectOnce(ctx context.Context, p member.Peer, accounts []*account) (again bool) {
	now := s.cfg.Clock.Now()
	requests := buildRequests(accounts, func(a *account) *peerpb.AccountRequest {
		return a.budget.collectRequest(p.Incarnation, now)
	})
	if len(requests) == 0 {
		return false
	}
	s.collections.Inc(1)
	responses := s.exchange(ctx, p, requests)
	s.applyResponses(requests, responses, func(a *account, q *peerpb.AccountRequest, r *peerpb.AccountResponse) {
		if a.budget.handleCollectResponse(q, r, p.Incarnation, now, s.cfg.Clock.Now()) {
			again = true
		}
	})
	return again
}

// borrowFromHomes makes one exchange with the home of each account for which this VM has more
// demand than its own share covers.
func (s *Service) borrowFromHomes(ctx context.Context) {
	if s.stopping.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, demandLoanPeriod)
	defer cancel()
	view := s.cfg.Members.View()
	homes := map[string]member.Peer{}
	accounts := map[string][]*account{}
	for name, a := range *s.accounts.Load() {
		if home, ok := s.home(name, view); ok {
			homes[home.ID] = home
			accounts[home.ID] = append(accounts[home.ID], a)
		}
	}
	var calls sync.WaitGroup
	for id, home := range homes {
		calls.Go(func() { s.borrowFromHome(ctx, home, accounts[id]) })
	}
	calls.Wait()
}

// borrowFromHome makes one exchange with one home, for the given accounts.
func (s *Service) borrowFromHome(ctx context.Context, home member.Peer, accounts []*account) {
	now := s.cfg.Clock.Now()
	requests := buildRequests(accounts, func(a *account) *peerpb.AccountRequest {
		s.updateHome(a)
		return a.budget.shareRequest(home.Incarnation, now)
	})
	if len(requests) == 0 {
		return
	}
	responses := s.exchange(ctx, home, requests)
	s.applyResponses(requests, responses, func(a *account, _ *peerpb.AccountRequest, r *peerpb.AccountResponse) {
		a.budget.applyResponse(demandLoan, r, home.Incarnation, now, s.cfg.Clock.Now())
	})
}

// buildRequests collects the requests of the accounts that have one.
func buildRequests(accounts []*account, request func(*account) *peerpb.AccountRequest) []*peerpb.AccountRequest {
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

// applyResponses applies each response to its account.
func (s *Service) applyResponses(requests []*peerpb.AccountRequest, responses map[string]*peerpb.AccountResponse,
	apply func(*account, *peerpb.AccountRequest, *peerpb.AccountResponse)) {
	accounts := *s.accounts.Load()
	for _, q := range requests {
		a, r := accounts[q.Account], responses[q.Account]
		if a != nil && r != nil {
			a.mu.Lock()
			apply(a, q, r)
			a.mu.Unlock()
		}
	}
}

// Handler returns the path prefix and the handler of the service that peers call.
func (s *Service) Handler() (string, http.Handler) {
	h := peerpb.NewLimitServer(server{s}, twirp.WithServerPathPrefix(s.path()))
	return h.PathPrefix(), h
}

// server implements the RPC service; it keeps the RPC methods out of Service's interface.
type server struct{ s *Service }

// Exchange handles a peer's requests for loans, extensions and returns.
func (v server) Exchange(_ context.Context, r *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	if r.Borrower == "" {
		return nil, twirp.RequiredArgumentError("borrower")
	}
	if !v.s.dedup.add(r.Borrower, r.RequestId) {
		return nil, twirp.NewError(twirp.AlreadyExists, "the request was answered before")
	}
	out := &peerpb.ExchangeResponse{}
	stopping := v.s.stopping.Load()
	for _, q := range r.Accounts {
		if stopping {
			// While stopping, loans may end early, but none is made or extended.
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
	return a.budget.serve(q, borrower, now)
}
