package edge

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/limit"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/target"
)

const (
	// limiterName is the name of the service that divides targets' limits among VMs.
	limiterName = "target_limit"
	// minTargetRate is how many requests a second the fleet may send to a target even if the
	// target announces a lower limit, so that the fleet learns within two seconds when the
	// limit ends. minLimitBurst is the additional burst at that rate. The platform allows 5
	// requests in 4 s beyond the limit.
	minTargetRate = 0.75
	minLimitBurst = 1
	// maxTargetRate is far above the rate of any target. Larger limits are lowered to it.
	maxTargetRate = 1e6
	// The burst of a target's limit is the number of requests that its rate allows in
	// limitBurstTime, plus limitBurst. The platform allows 1.5 times the limit in 4 s, plus 5 requests.
	limitBurstTime = time.Second
	limitBurst     = 3
	// maxReportedLimits is the most limits that a heartbeat response reports.
	maxReportedLimits = 32
)

// targetLimits holds the limits that targets announce, each as an account of a limit.Service
// that divides it among the VMs. It implements config.Source and ingress.TargetLimiter.
type targetLimits struct {
	mu       sync.Mutex // serializes updates of accounts
	accounts atomic.Pointer[config.Config]
	service  *limit.Service
}

func newTargetLimits() *targetLimits {
	t := &targetLimits{}
	t.accounts.Store(config.Empty())
	return t
}

// Snapshot implements config.Source.
func (t *targetLimits) Snapshot() config.Snapshot {
	return config.Snapshot{Config: t.accounts.Load(), Fresh: true}
}

// limitAccount returns the account for the requests that the fleet may send to a target.
func limitAccount(l *target.Live, announced target.Limit) *config.Account {
	rate, burst := min(announced.Rate, maxTargetRate), limitBurst
	if rate < minTargetRate {
		rate, burst = minTargetRate, minLimitBurst
	}
	return &config.Account{Name: l.Incarnation(), Rate: rate, Burst: rate*limitBurstTime.Seconds() + float64(burst), Regions: []string{l.Region}}
}

// regionOf returns the region of a limited target by the name of its account.
func (t *targetLimits) regionOf(name string) string {
	if a := t.accounts.Load().Accounts[name]; a != nil {
		return a.Regions[0]
	}
	return ""
}

// Admit counts a request to a target that announces a limit. It may ask another VM for a token.
// It leaves reserve, a fraction of the limit's token bucket, to more urgent requests.
func (t *targetLimits) Admit(ctx context.Context, l *target.Live, announced target.Limit, reserve float64) limit.Decision {
	return t.service.AdmitWithReserve(ctx, t.upsert(l, announced), reserve)
}

// AdmitLocally is Admit without asking another VM.
func (t *targetLimits) AdmitLocally(l *target.Live, announced target.Limit, reserve float64) limit.Decision {
	return t.service.AdmitLocally(t.upsert(l, announced), reserve)
}

// upsert creates or updates the account of a limited target and returns the account's name.
func (t *targetLimits) upsert(l *target.Live, announced target.Limit) string {
	a := limitAccount(l, announced)
	if old := t.accounts.Load().Accounts[a.Name]; old != nil && old.Rate == a.Rate {
		return a.Name
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	next := maps.Clone(t.accounts.Load().Accounts)
	next[a.Name] = a
	t.storeAccounts(next)
	return a.Name
}

// syncAccounts replaces the accounts by those of the targets that announce a limit. Unchanged
// accounts are kept as they are.
func (t *targetLimits) syncAccounts(all []*target.Live) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.accounts.Load().Accounts
	next := map[string]*config.Account{}
	changed := false
	for _, l := range all {
		announced := l.Limit()
		if !announced.Limited {
			continue
		}
		a := limitAccount(l, announced)
		if o := old[a.Name]; o != nil && o.Rate == a.Rate {
			a = o
		} else {
			changed = true
		}
		next[a.Name] = a
	}
	if changed || len(next) != len(old) {
		t.storeAccounts(next)
	}
}

func (t *targetLimits) storeAccounts(accounts map[string]*config.Account) {
	c := config.Empty()
	c.Accounts = accounts
	t.accounts.Store(c)
}

// observedLimits returns the limits that targets announced in responses to this VM. If there are
// more than maxReportedLimits, it returns those that changed last.
func observedLimits(all []*target.Live, now time.Time) []member.TargetLimit {
	type observed struct {
		member.TargetLimit
		unchangedFor time.Duration
	}
	var list []observed
	for _, l := range all {
		announced, unchangedFor, age, ok := l.ObservedLimit(now)
		if !ok {
			continue
		}
		at := now.Add(-age)
		list = append(list, observed{member.TargetLimit{Target: l.ID, StartedAt: l.StartedAt, Limited: announced.Limited, Rate: announced.Rate, Earliest: at, Latest: at}, unchangedFor})
	}
	slices.SortFunc(list, func(a, b observed) int {
		return cmp.Or(cmp.Compare(a.unchangedFor, b.unchangedFor), cmp.Compare(a.Target, b.Target))
	})
	var out []member.TargetLimit
	for _, l := range list[:min(len(list), maxReportedLimits)] {
		out = append(out, l.TargetLimit)
	}
	return out
}

// syncTargetLimits applies the limits that the other VMs observed, and updates the limits that
// this VM reports.
func (d *Daemon) syncTargetLimits(now time.Time) {
	view := d.members.View()
	for i := range view.Peers {
		p := &view.Peers[i]
		for _, r := range p.Limits {
			l := d.targets.Find(r.Target, r.StartedAt)
			report := target.PeerLimit{Limit: target.Limit{Rate: r.Rate, Limited: r.Limited}, Earliest: r.Earliest, Latest: r.Latest}
			if l != nil && l.RecordPeerLimit(report) {
				d.log.Info().Str("target", l.ID).Bool("limited", r.Limited).Float64("rate", r.Rate).Str("reported_by", p.ID).
					Dur("age_ms", now.Sub(r.Latest)).Msg("target changed its limit")
			}
		}
	}
	all := d.targets.All()
	observed := observedLimits(all, now)
	d.reportedLimits.Store(&observed)
	d.targetLimits.syncAccounts(all)
}
