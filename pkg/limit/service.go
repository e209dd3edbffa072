package limit

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	peerpb "crocusramp.dev/crocusramp/api/peer/v1"
	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/control"
	"crocusramp.dev/crocusramp/pkg/lease"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/peer"
)

const (
	// collectTimeout is the timeout of one call of collectAll.
	collectTimeout = collectDuration / 2
	// releasePause is the time between attempts to return borrowed shares.
	releasePause = 100 * time.Millisecond
)

// Config holds the settings and dependencies of a Service.
type Config struct {
	// Config publishes the client accounts' rates and bursts.
	Config config.Source
	// Slots publishes the slots that this VM holds.
	Slots      lease.Holder
	Members    member.Source
	PeerDialer *peer.Dialer
	Clock      clock.Clock
	Loop       *control.Loop
	Log        zerolog.Logger
	// Metrics is the registry of the service's counters; with nil they are not exported.
	Metrics metrics.Registry
	// Name distinguishes several services of one VM in counter names and in the path of the peer
	// protocol.
	Name string
	// Prefetch makes VMs request the token of the next request in advance from a distant home. It
	// suits limits so small that each request takes a token from the home.
	Prefetch bool
	// PreferredRegion returns the region whose VMs are preferred as an account's home, or "" for
	// none. If PreferredRegion is nil, no region is preferred.
	PreferredRegion func(account string) string
	// StartTokens returns how many tokens the fleet may admit beyond an account's limit when all
	// its VMs restart; each VM starts with its part of them. Nil means none: buckets start empty,
	// since an earlier process may have spent the tokens.
	StartTokens func(*config.Account) float64
}

// Share is this VM's part of one client account's limit.
type Share struct {
	Account string
	// Rate is in requests per second, Burst and Tokens are in requests.
	Rate, Burst, Tokens float64
	// Lent and Borrowed are the rates lent to and borrowed from other VMs.
	Lent, Borrowed float64
}

// account is a budget with its lock and the inputs that it was last synced with.
type account struct {
	mu     sync.Mutex
	budget *budget
	// config and holding are the inputs of the budget's shares; view is the fleet view from which
	// budget.home was derived.
	config  *config.Account
	holding *lease.Holding
	view    *member.View
	// keepUntil is the time until which the budget must be kept if the account is deleted.
	keepUntil clock.Time
	// tokenRequestDone is closed when the latest token request has ended.
	tokenRequestDone chan struct{}
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
	dedup    *requestDedup
	// exchanges counts the exchanges in flight by the lender's incarnation.
	exchanges   map[string]int
	exchangesMu sync.Mutex

	admitted, refused, tokenRequests, collections, failures metrics.Counter
}

// NewService returns a Service that admits from this VM's own slots. It exchanges no loans before
// Start.
func NewService(cfg Config) *Service {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter(cmp.Or(cfg.Name, "limit")+"."+name, cfg.Metrics)
	}
	s := &Service{
		cfg:           cfg,
		ctx:           context.Background(),
		dedup:         newRequestDedup(),
		exchanges:     map[string]int{},
		admitted:      counter("admitted"),
		refused:       counter("refused"),
		tokenRequests: counter("asks"),
		collections:   counter("collections"),
		failures:      counter("failures"),
	}
	s.accounts.Store(&map[string]*account{})
	// Loan IDs start at a random number, so that a lender that restarts does not mistake a loan of
	// its previous incarnation for one of its own.
	s.ids.Store(rand.Uint64())
	return s
}

// Start begins to exchange loans with the peers until ctx ends. It must be called before the first
// Admit and returns at once.
func (s *Service) Start(ctx context.Context) {
	s.ctx = ctx
	s.cfg.Loop.Every(ctx, collectPeriod, func() { s.cfg.Loop.Go(ctx, s.collectAll) })
	s.cfg.Loop.Every(ctx, demandLoanPeriod, func() { s.cfg.Loop.Go(ctx, s.borrowFromHomes) })
}

// Admit counts one request of the account.
func (s *Service) Admit(ctx context.Context, name string) Decision {
	return s.AdmitWithReserve(ctx, name, 0)
}

// AdmitWithReserve counts one request of the account. It leaves a reserve to more urgent requests, a
// fraction from 0 to 1 of the bucket's capacity.
func (s *Service) AdmitWithReserve(ctx context.Context, name string, reserve float64) Decision {
	a, c := s.account(name)
	if a == nil {
		s.refused.Inc(1)
		return Decision{RetryAfter: defaultRetryAfter}
	}
	for waits := 0; ; waits++ {
		d, done := s.decide(a, c, waits, reserve)
		if done == nil {
			return d
		}
		select {
		case <-done:
		case <-ctx.Done():
			a.mu.Lock()
			a.budget.abandonWait()
			a.mu.Unlock()
			s.refused.Inc(1)
			return Decision{RetryAfter: failedRequestBackoff}
		}
	}
}

// AdmitLocally is AdmitWithReserve without requesting tokens from a peer.
func (s *Service) AdmitLocally(name string, reserve float64) Decision {
	a, c := s.account(name)
	if a == nil {
		s.refused.Inc(1)
		return Decision{RetryAfter: defaultRetryAfter}
	}
	now := s.cfg.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	s.sync(a, c, now)
	a.budget.demand.add(now)
	if a.budget.takeLocal(reserve, now) {
		s.admitted.Inc(1)
		return Decision{Admitted: true}
	}
	s.refused.Inc(1)
	return Decision{RetryAfter: a.budget.retryAfter(reserve, now)}
}

// decide makes one decision of an admission that has waited waits times. If done is nil, the
// decision is final; otherwise the caller waits for done and calls decide again.
func (s *Service) decide(a *account, c *config.Account, waits int, reserve float64) (d Decision, done <-chan struct{}) {
	// The clock is read before the holding, so that the slots in the holding were still held at
	// now.
	now := s.cfg.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	s.sync(a, c, now)
	next := a.budget.admit(waits, reserve, now)
	if next == stepRequest || next == stepAdmitRefill {
		s.requestTokens(a, reserve, now)
	}
	switch next {
	case stepAdmit, stepAdmitRefill:
		s.admitted.Inc(1)
		return Decision{Admitted: true}, nil
	case stepRefuse:
		s.refused.Inc(1)
		return Decision{RetryAfter: a.budget.retryAfter(reserve, now)}, nil
	}
	return Decision{}, a.tokenRequestDone
}

// account returns the account and its limit, and creates its budget if it has none yet. It returns
// nil if there is no such account.
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
	a := &account{budget: newBudget(name, func() uint64 { return s.ids.Add(1) })}
	a.budget.prefetch = s.cfg.Prefetch
	next := make(map[string]*account, len(old)+1)
	for k, v := range old {
		next[k] = v
	}
	next[name] = a
	s.accounts.Store(&next)
	return a
}

// sync applies the current members, configuration and slots to the budget. The caller holds a.mu.
func (s *Service) sync(a *account, c *config.Account, now clock.Time) {
	if a.view != s.cfg.Members.View() {
		s.updateHome(a)
	}
	h := s.cfg.Slots.Holding()
	if a.config == c && a.holding == h {
		return
	}
	a.config, a.holding = c, h
	a.budget.setShares(c, h, now)
	if s.cfg.StartTokens != nil && c != nil {
		a.budget.addStartTokens(s.cfg.StartTokens(c) / float64(max(1, h.Total)))
	}
}

// requestTokens requests tokens from the home in the background. The caller holds a.mu.
func (s *Service) requestTokens(a *account, reserve float64, now clock.Time) {
	view := s.cfg.Members.View()
	home, ok := s.home(a.budget.name, view)
	if !ok {
		a.budget.denyUntil = now.Add(failedRequestBackoff)
		a.tokenRequestDone = closedChan
		return
	}
	if home.ID == view.Self.ID {
		a.budget.home = true
		a.tokenRequestDone = closedChan
		return
	}
	r, timeout := a.budget.tokenRequest(reserve, now), a.budget.timeout()
	done := make(chan struct{})
	a.tokenRequestDone = done
	s.tokenRequests.Inc(1)
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(s.ctx, timeout)
		defer cancel()
		responses := s.exchange(ctx, home, []*peerpb.AccountRequest{r})
		a.mu.Lock()
		defer a.mu.Unlock()
		a.budget.handleTokenResponse(r, responses[a.budget.name], home.Incarnation, now, s.cfg.Clock.Now())
	}()
}

// closedChan is the tokenRequestDone of a token request that ended at once.
var closedChan = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// refresh creates the missing budgets of the configured accounts, drops those of deleted accounts
// and updates which accounts this VM is the home of.
func (s *Service) refresh(view *member.View) {
	snapshot := s.cfg.Config.Snapshot()
	for name := range snapshot.Accounts {
		s.account(name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := map[string]*account{}
	for name, a := range *s.accounts.Load() {
		if s.refreshAccount(a, snapshot.Accounts[name], view) {
			kept[name] = a
		}
	}
	s.accounts.Store(&kept)
}

// refreshAccount updates the account and reports whether its budget is still needed. The budget of
// a deleted account is kept until its loans have ended and its buckets would be full, as the
// account may be created again.
func (s *Service) refreshAccount(a *account, c *config.Account, view *member.View) bool {
	now := s.cfg.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if c != nil {
		a.keepUntil = now.Add(max(loanDrainTime, a.budget.fillTime()))
	}
	s.sync(a, c, now)
	s.updateHome(a)
	a.budget.dropStaleDemand(view)
	return c != nil || now.Before(a.keepUntil)
}

// Shares returns this VM's shares, sorted by account.
func (s *Service) Shares() []Share {
	now := s.cfg.Clock.Now()
	var shares []Share
	for name, a := range *s.accounts.Load() {
		a.mu.Lock()
		a.budget.advance(now)
		shares = append(shares, a.budget.summary(name))
		a.mu.Unlock()
	}
	slices.SortFunc(shares, func(x, y Share) int { return strings.Compare(x.Account, y.Account) })
	return shares
}

// StopLending stops making and extending loans, so that all loans have ended loanDrainTime later. If
// a VM calls it at the start of its shutdown, its next process can use the VM's share at once. The
// VM also stops being a home and borrows no more shares.
func (s *Service) StopLending() { s.stopping.Store(true) }

// Release does what StopLending does and also returns the borrowed shares. A borrowed share that
// this VM lent to others can't be returned for up to demandLoanDuration; Release waits for it until
// ctx ends. Loans of this VM's own share end by themselves.
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
		a.budget.advance(now)
		kept := slices.ContainsFunc(a.budget.borrowed, func(x loan) bool { return x.kind == collectLoan })
		a.mu.Unlock()
		if kept {
			return true
		}
	}
	return false
}
