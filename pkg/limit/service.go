package limit

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"

	peerpb "crocusramp.dev/crocusramp/api/peer/v1"
	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/control"
	"crocusramp.dev/crocusramp/pkg/lease"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/peer"
)

const (
	// collectTimeout bounds a collection.
	collectTimeout = collectDuration / 2
	// releasePause is the time between attempts to return what was borrowed.
	releasePause = 100 * time.Millisecond
)

// Config says what a Service works on.
type Config struct {
	// Config publishes the client accounts' rates and bursts.
	Config config.Source
	// Slots publishes the slots that this VM holds.
	Slots   lease.Holder
	Members member.Source
	Peers   *peer.Dialer
	Clock   clock.Clock
	Loop    *control.Loop
	Log     zerolog.Logger
	// Metrics takes the service's counters; nil keeps them private.
	Metrics metrics.Registry
}

// Share is this VM's part of one client account's limit.
type Share struct {
	Account string
	// Rate is in requests a second, Burst and Tokens in requests.
	Rate, Burst, Tokens float64
	// Lent and Borrowed are the rates that moved to and from other VMs.
	Lent, Borrowed float64
}

// account is a book with what its concurrent users need.
type account struct {
	mu   sync.Mutex
	book *book
	// config and holding are what the book's shares were made from.
	config  *config.Account
	holding *lease.Holding
	// asked is closed when the last request for tokens has ended.
	asked chan struct{}
}

// Service admits requests from this VM's shares, borrows shares from its peers
// and lends them its own. It implements Limiter.
type Service struct {
	cfg      Config
	ctx      context.Context
	accounts atomic.Pointer[map[string]*account]
	mu       sync.Mutex // serializes changes of accounts
	ids      atomic.Uint64
	stopping atomic.Bool
	seen     *recent

	admitted, refused, asks, collections, failures metrics.Counter
}

// NewService returns a Service that admits from this VM's own slots. Loans
// begin with Start.
func NewService(cfg Config) *Service {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	s := &Service{
		cfg:         cfg,
		ctx:         context.Background(),
		seen:        newRecent(),
		admitted:    metrics.GetOrRegisterCounter("limit.admitted", cfg.Metrics),
		refused:     metrics.GetOrRegisterCounter("limit.refused", cfg.Metrics),
		asks:        metrics.GetOrRegisterCounter("limit.asks", cfg.Metrics),
		collections: metrics.GetOrRegisterCounter("limit.collections", cfg.Metrics),
		failures:    metrics.GetOrRegisterCounter("limit.failures", cfg.Metrics),
	}
	s.accounts.Store(&map[string]*account{})
	// Identifiers of loans start at a random number, so that a lender that
	// restarts does not take a loan of its former incarnation for its own.
	s.ids.Store(rand.Uint64())
	return s
}

// Start exchanges loans with the peers until ctx ends. It must be called
// before the first Admit and returns at once.
func (s *Service) Start(ctx context.Context) {
	s.ctx = ctx
	s.cfg.Loop.Every(ctx, collectPeriod, func() { s.cfg.Loop.Go(ctx, s.collectAll) })
	s.cfg.Loop.Every(ctx, relendPeriod, func() { s.cfg.Loop.Go(ctx, s.relendAll) })
}

// Admit counts one request of the account.
func (s *Service) Admit(ctx context.Context, name string) Decision {
	a, c := s.account(name)
	if a == nil {
		s.refused.Inc(1)
		return Decision{RetryAfter: noShareRetry}
	}
	for waits := 0; ; waits++ {
		// The clock is read before the holding: what it holds then was still
		// held at now.
		now := s.cfg.Clock.Now()
		a.mu.Lock()
		s.sync(a, c, now)
		next := a.book.admit(waits, now)
		switch next {
		case stepAdmit:
			a.mu.Unlock()
			s.admitted.Inc(1)
			return Decision{Admitted: true}
		case stepRefill:
			s.ask(a, now)
			a.mu.Unlock()
			s.admitted.Inc(1)
			return Decision{Admitted: true}
		case stepAsk:
			s.ask(a, now)
		}
		if next == stepRefuse {
			wait := a.book.retryAfter(now)
			a.mu.Unlock()
			s.refused.Inc(1)
			return Decision{RetryAfter: wait}
		}
		asked := a.asked
		a.mu.Unlock()
		select {
		case <-asked:
		case <-ctx.Done():
			a.mu.Lock()
			a.book.abandon()
			a.mu.Unlock()
			s.refused.Inc(1)
			return Decision{RetryAfter: failedAskPause}
		}
	}
}

// account finds the account's book and its limit. It makes the book of an
// account that has none yet; nil means that there is no such account.
func (s *Service) account(name string) (*account, *config.Account) {
	c := s.cfg.Config.Snapshot().Accounts[name]
	if c == nil {
		return nil, nil
	}
	if a := (*s.accounts.Load())[name]; a != nil {
		return a, c
	}
	return s.addAccount(name), c
}

func (s *Service) addAccount(name string) *account {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := *s.accounts.Load()
	if a := old[name]; a != nil {
		return a
	}
	a := &account{book: newBook(name, func() uint64 { return s.ids.Add(1) })}
	next := make(map[string]*account, len(old)+1)
	for k, v := range old {
		next[k] = v
	}
	next[name] = a
	s.accounts.Store(&next)
	return a
}

// sync makes the book follow the configuration and the slots. a is locked.
func (s *Service) sync(a *account, c *config.Account, now clock.Time) {
	h := s.cfg.Slots.Holding()
	if a.config == c && a.holding == h {
		return
	}
	a.config, a.holding = c, h
	a.book.setShares(c, h, now)
}

// ask requests tokens from the home, in the background. a is locked.
func (s *Service) ask(a *account, now clock.Time) {
	home, ok := s.home(a.book.name)
	if !ok {
		a.book.denyUntil = now.Add(failedAskPause)
		a.asked = closed
		return
	}
	if home.ID == s.cfg.Members.View().Self.ID {
		a.book.home = true
		a.asked = closed
		return
	}
	r, timeout := a.book.ask(now), a.book.timeout()
	done := make(chan struct{})
	a.asked = done
	s.asks.Inc(1)
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(s.ctx, timeout)
		defer cancel()
		answer := s.exchange(ctx, home, []*peerpb.AccountRequest{r})
		a.mu.Lock()
		defer a.mu.Unlock()
		a.book.asked(r, answer[a.book.name], home.Incarnation, now, s.cfg.Clock.Now())
	}()
}

// closed is the channel of an ask that ended at once.
var closed = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// exchange calls a peer. It returns the answers by account, or nil.
func (s *Service) exchange(ctx context.Context, p member.Peer, accounts []*peerpb.AccountRequest) map[string]*peerpb.AccountResponse {
	client := peerpb.NewLimitProtobufClient(s.cfg.Peers.URL(p.PeerAddress), s.cfg.Peers.HTTP())
	response, err := client.Exchange(ctx, &peerpb.ExchangeRequest{
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
	var calls sync.WaitGroup
	for _, p := range view.Peers {
		if p.State == member.Live || p.State == member.Leaving {
			calls.Go(func() { s.collectFrom(ctx, p) })
		}
	}
	calls.Wait()
}

// refresh gives every account of the configuration a book, drops those of
// deleted accounts and finds out which this VM is the home of.
func (s *Service) refresh(view *member.View) {
	snapshot := s.cfg.Config.Snapshot()
	for name, c := range snapshot.Accounts {
		a, _ := s.account(name)
		if a == nil {
			continue
		}
		home, ok := s.home(name)
		now := s.cfg.Clock.Now()
		a.mu.Lock()
		s.sync(a, c, now)
		a.book.home = ok && home.ID == view.Self.ID
		a.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := map[string]*account{}
	for name, a := range *s.accounts.Load() {
		if snapshot.Accounts[name] != nil {
			kept[name] = a
		}
	}
	s.accounts.Store(&kept)
}

func (s *Service) collectFrom(ctx context.Context, p member.Peer) {
	for again := true; again; {
		again = s.collectOnce(ctx, p)
	}
}

// collectOnce makes one exchange; again reports that loans are to be returned.
func (s *Service) collectOnce(ctx context.Context, p member.Peer) (again bool) {
	now := s.cfg.Clock.Now()
	requests := s.gather(func(a *account) *peerpb.AccountRequest {
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
	for name := range *s.accounts.Load() {
		if home, ok := s.home(name); ok {
			homes[home.ID] = home
		}
	}
	var calls sync.WaitGroup
	for _, home := range homes {
		calls.Go(func() { s.relendFrom(ctx, home) })
	}
	calls.Wait()
}

func (s *Service) relendFrom(ctx context.Context, home member.Peer) {
	now := s.cfg.Clock.Now()
	requests := s.gather(func(a *account) *peerpb.AccountRequest {
		if h, ok := s.home(a.book.name); !ok || h.ID != home.ID {
			return nil
		}
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

// gather makes a request for each account that has something to say.
func (s *Service) gather(request func(*account) *peerpb.AccountRequest) []*peerpb.AccountRequest {
	var requests []*peerpb.AccountRequest
	for _, a := range *s.accounts.Load() {
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
	h := peerpb.NewLimitServer(server{s})
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
	for _, q := range r.Accounts {
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

// Shares returns this VM's shares in order of account.
func (s *Service) Shares() []Share {
	now := s.cfg.Clock.Now()
	var shares []Share
	for name, a := range *s.accounts.Load() {
		a.mu.Lock()
		a.book.advance(now)
		shares = append(shares, a.book.summary(name))
		a.mu.Unlock()
	}
	slices.SortFunc(shares, func(x, y Share) int { return strings.Compare(x.Account, y.Account) })
	return shares
}

// Release hands borrowed shares back and asks for no more. What was lent on
// keeps a share for up to relendDuration; Release waits for it until ctx ends.
// Loans of this VM's own share end by themselves.
func (s *Service) Release(ctx context.Context) {
	s.stopping.Store(true)
	for {
		s.collectAll(ctx)
		if !s.borrows() {
			return
		}
		select {
		case <-time.After(releasePause):
		case <-ctx.Done():
			return
		}
	}
}

// borrows reports whether a collected loan has not been returned yet.
func (s *Service) borrows() bool {
	now := s.cfg.Clock.Now()
	for _, a := range *s.accounts.Load() {
		a.mu.Lock()
		a.book.advance(now)
		kept := slices.ContainsFunc(a.book.borrowed, func(x loan) bool { return x.kind == collected })
		a.mu.Unlock()
		if kept {
			return true
		}
	}
	return false
}
