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
	// limiterName names the service that divides targets' limits among VMs.
	limiterName = "target_limit"
	// minTargetRate is how many requests a second the fleet sends to a target whatever it
	// names, so that it hears within two seconds when the limit ends, and minLimitBurst how many
	// more may come at once then. The platform allows 5 requests in 4 s beyond the limit.
	minTargetRate = 0.75
	minLimitBurst = 1
	// maxTargetRate is a limit that no target comes near; larger ones are taken for it.
	maxTargetRate = 1e6
	// limitBurstTime and limitBurst say how many requests may come at once: those of a second
	// and some. The platform allows half as much again as the limit in 4 s, and 5.
	limitBurstTime = time.Second
	limitBurst     = 3
	// maxReportedLimits bounds how many limits a heartbeat's answer reports.
	maxReportedLimits = 32
)

// targetLimits holds the limits that targets name as accounts of a limit.Service, which
// divides each among the VMs. It implements config.Source and ingress.TargetLimiter.
type targetLimits struct {
	mu       sync.Mutex // serializes changes of accounts
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

// limitAccount is what the fleet may send to a target.
func limitAccount(l *target.Live, named target.Limit) *config.Account {
	rate, burst := min(named.Rate, maxTargetRate), limitBurst
	if rate < minTargetRate {
		rate, burst = minTargetRate, minLimitBurst
	}
	return &config.Account{Name: l.Incarnation(), Rate: rate, Burst: rate*limitBurstTime.Seconds() + float64(burst), Regions: []string{l.Region}}
}

// near returns the region of a limited target.
func (t *targetLimits) near(name string) string {
	if a := t.accounts.Load().Accounts[name]; a != nil {
		return a.Regions[0]
	}
	return ""
}

// Admit counts a request to a target that names a limit.
func (t *targetLimits) Admit(ctx context.Context, l *target.Live, named target.Limit, spare float64) limit.Decision {
	return t.service.AdmitSparing(ctx, t.set(l, named), spare)
}

// AdmitLocally does so without asking another VM.
func (t *targetLimits) AdmitLocally(l *target.Live, named target.Limit, spare float64) limit.Decision {
	return t.service.AdmitLocally(t.set(l, named), spare)
}

// set keeps the account of a limited target and returns its name.
func (t *targetLimits) set(l *target.Live, named target.Limit) string {
	a := limitAccount(l, named)
	if old := t.accounts.Load().Accounts[a.Name]; old != nil && old.Rate == a.Rate {
		return a.Name
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	next := maps.Clone(t.accounts.Load().Accounts)
	next[a.Name] = a
	t.store(next)
	return a.Name
}

// follow makes the accounts those of the limited targets.
func (t *targetLimits) follow(all []*target.Live) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.accounts.Load().Accounts
	next := map[string]*config.Account{}
	changed := false
	for _, l := range all {
		named := l.Limit()
		if !named.Named {
			continue
		}
		a := limitAccount(l, named)
		if o := old[a.Name]; o != nil && o.Rate == a.Rate {
			a = o
		} else {
			changed = true
		}
		next[a.Name] = a
	}
	if changed || len(next) != len(old) {
		t.store(next)
	}
}

func (t *targetLimits) store(accounts map[string]*config.Account) {
	c := config.Empty()
	c.Accounts = accounts
	t.accounts.Store(c)
}

// observedLimits returns the limits that targets' answers told this VM; of many, those that
// changed last.
func observedLimits(all []*target.Live, now time.Time) []member.TargetLimit {
	type observed struct {
		member.TargetLimit
		lasts time.Duration
	}
	var list []observed
	for _, l := range all {
		named, lasts, age, ok := l.LimitObserved(now)
		if !ok {
			continue
		}
		at := now.Add(-age)
		list = append(list, observed{member.TargetLimit{Target: l.ID, Born: l.Born, Named: named.Named, Rate: named.Rate, Earliest: at, Latest: at}, lasts})
	}
	slices.SortFunc(list, func(a, b observed) int {
		return cmp.Or(cmp.Compare(a.lasts, b.lasts), cmp.Compare(a.Target, b.Target))
	})
	var out []member.TargetLimit
	for _, l := range list[:min(len(list), maxReportedLimits)] {
		out = append(out, l.TargetLimit)
	}
	return out
}

// followLimits takes in the limits that the other VMs observed, and keeps what this VM reports.
func (d *Daemon) followLimits(now time.Time) {
	view := d.members.View()
	for i := range view.Peers {
		p := &view.Peers[i]
		for _, r := range p.Limits {
			l := d.targets.Find(r.Target, r.Born)
			report := target.Report{Limit: target.Limit{Rate: r.Rate, Named: r.Named}, Earliest: r.Earliest, Latest: r.Latest}
			if l != nil && l.LimitReported(report) {
				d.log.Info().Str("target", l.ID).Bool("limited", r.Named).Float64("rate", r.Rate).Str("reported_by", p.ID).
					Dur("age_ms", now.Sub(r.Latest)).Msg("target changes its limit")
			}
		}
	}
	all := d.targets.All()
	observed := observedLimits(all, now)
	d.observed.Store(&observed)
	d.targetLimits.follow(all)
}
