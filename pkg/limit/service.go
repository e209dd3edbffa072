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
	// Name tells a second service of a VM from its first, in the names of the counters and
	// on the peer protocol.
	Name string
	// Eager VMs ask a far home for the token of the next request before that comes, as suits
	// limits so small that each request takes a token of the home's.
	Eager bool
	// Near returns the region whose VMs are preferred as an account's home, or none. Nil
	// prefers no region.
	Near func(account string) string
	// StartTokens is how many tokens the fleet may admit beyond an account's limit
	// when all its VMs start anew; each starts with its part of them. Nil means none:
	// a bucket that starts is empty, since an earlier process may have used it up.
	StartTokens func(*config.Account) float64
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
	// config and holding are what the book's shares were made from, view what
	// its home was found in.
	config  *config.Account
	holding *lease.Holding
	view    *member.View
	// keepUntil is how long the book is needed if the account is deleted.
	keepUntil clock.Time
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
	// lenders counts the exchanges under way by the lender's incarnation.
	lenders map[string]int
	lendMu  sync.Mutex

	admitted, refused, asks, collections, failures metrics.Counter
}

// NewService returns a Service that admits from this VM's own slots. Loans
// begin with Start.
func NewService(cfg Config) *Service {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter(cmp.Or(cfg.Name, "limit")+"."+name, cfg.Metrics)
	}
	s := &Service{
		cfg:         cfg,
		ctx:         context.Background(),
		seen:        newRecent(),
		lenders:     map[string]int{},
		admitted:    counter("admitted"),
		refused:     counter("refused"),
		asks:        counter("asks"),
		collections: counter("collections"),
		failures:    counter("failures"),
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
	return s.AdmitSparing(ctx, name, 0)
}

// AdmitSparing counts one request of the account. It leaves a part of the tokens that may be
// saved up to more urgent requests, at most 1.
func (s *Service) AdmitSparing(ctx context.Context, name string, spare float64) Decision {
	a, c := s.account(name)
	if a == nil {
		s.refused.Inc(1)
		return Decision{RetryAfter: noShareRetry}
	}
	for waits := 0; ; waits++ {
		d, asked := s.decide(a, c, waits, spare)
		if asked == nil {
			return d
		}
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

// AdmitLocally is AdmitSparing without asking a peer for tokens.
func (s *Service) AdmitLocally(name string, spare float64) Decision {
	a, c := s.account(name)
	if a == nil {
		s.refused.Inc(1)
		return Decision{RetryAfter: noShareRetry}
	}
	now := s.cfg.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	s.sync(a, c, now)
	a.book.demand.add(now)
	if a.book.takeHere(spare, now) {
		s.admitted.Inc(1)
		return Decision{Admitted: true}
	}
	s.refused.Inc(1)
	return Decision{RetryAfter: a.book.retryAfter(spare, now)}
}

// decide takes one step of an admission that has waited waits times. It is to
// wait for asked, unless that is nil and the decision final.
func (s *Service) decide(a *account, c *config.Account, waits int, spare float64) (d Decision, asked <-chan struct{}) {
	// The clock is read before the holding: what it holds then was still held
	// at now.
	now := s.cfg.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	s.sync(a, c, now)
	next := a.book.admit(waits, spare, now)
	if next == stepAsk || next == stepRefill {
		s.ask(a, spare, now)
	}
	switch next {
	case stepAdmit, stepRefill:
		s.admitted.Inc(1)
		return Decision{Admitted: true}, nil
	case stepRefuse:
		s.refused.Inc(1)
		return Decision{RetryAfter: a.book.retryAfter(spare, now)}, nil
	}
	return Decision{}, a.asked
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
	a.book.eager = s.cfg.Eager
	next := make(map[string]*account, len(old)+1)
	for k, v := range old {
		next[k] = v
	}
	next[name] = a
	s.accounts.Store(&next)
	return a
}

// sync makes the book follow the members, the configuration and the slots. a is
// locked.
func (s *Service) sync(a *account, c *config.Account, now clock.Time) {
	if view := s.cfg.Members.View(); a.view != view {
		a.view = view
		home, ok := s.home(a.book.name)
		a.book.home = ok && home.ID == view.Self.ID
	}
	h := s.cfg.Slots.Holding()
	if a.config == c && a.holding == h {
		return
	}
	a.config, a.holding = c, h
	a.book.setShares(c, h, now)
	if s.cfg.StartTokens != nil && c != nil {
		a.book.startWith(s.cfg.StartTokens(c) / float64(max(1, h.Total)))
	}
}

// ask requests tokens from the home, in the background. a is locked.
func (s *Service) ask(a *account, spare float64, now clock.Time) {
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
	r, timeout := a.book.ask(spare, now), a.book.timeout()
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

// refresh gives every account of the configuration a book, drops those of
// deleted accounts and finds out which this VM is the home of.
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

// refreshAccount reports whether the book is still needed: that of a deleted
// account is until its loans have ended and its buckets would be full, as the account may
// be made again.
func (s *Service) refreshAccount(a *account, c *config.Account, view *member.View) bool {
	home, ok := s.home(a.book.name)
	now := s.cfg.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if c != nil {
		a.keepUntil = now.Add(max(settleTime, a.book.fillTime()))
	}
	s.sync(a, c, now)
	a.book.home = ok && home.ID == view.Self.ID
	a.book.forgetReports(view)
	return c != nil || now.Before(a.keepUntil)
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

// StopLending neither lends nor extends any more, so that all that was lent has
// ended settleTime later. A VM that stops calls it first: its next process can
// then use its share at once.
func (s *Service) StopLending() { s.stopping.Store(true) }

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
