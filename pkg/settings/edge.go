package settings

import (
	"net"
	"time"
)

// Edge is the whole file of `crocusrampd edge`: one VM on a platform that holds
// the configuration and the list of targets.
type Edge struct {
	VM     VM         `json:"vm"`
	Listen EdgeListen `json:"listen"`
	// FailureDomains names the region of each failure domain, targets' included.
	FailureDomains map[string]string `json:"failure_domains"`
	// FirstStart is true only when the whole fleet starts for the first time;
	// then no earlier process can hold a part of a limit.
	FirstStart bool   `json:"first_start"`
	Store      Store  `json:"store"`
	Bounds     Bounds `json:"bounds"`
	Log        Log    `json:"log"`
	Traces     Traces `json:"traces"`
}

// EdgeListen holds the addresses that the daemon listens on, as host:port.
type EdgeListen struct {
	Callers string `json:"callers"`
	// Locate answers which VMs to use.
	Locate string `json:"locate"`
	Ready  string `json:"ready"`
	Peers  string `json:"peers"`
	// Metrics serves /metrics; empty means nowhere.
	Metrics string `json:"metrics"`
	// Operators serves the operators' API, which only shows the configuration here;
	// empty means nowhere. It asks for no token, so it must be on loopback.
	Operators string `json:"operators"`
}

// Store is the platform's metadata store.
type Store struct {
	// Address is its host:port.
	Address string `json:"address"`
	// ReadsPerSecond and WritesPerSecond are what all VMs together may call;
	// calls beyond are refused. 0 means no limit.
	ReadsPerSecond  float64 `json:"reads_per_second"`
	WritesPerSecond float64 `json:"writes_per_second"`
}

// Bounds are the times and rates that the platform holds the fleet to.
type Bounds struct {
	// Drain is how long a target serves on after it has left; past it the
	// target must get nothing. 2 s by default.
	Drain Duration `json:"drain"`
	// Grace is the time from SIGTERM to SIGKILL, 6 s by default.
	Grace Duration `json:"grace"`
	// LocateTTL is the longest time that callers keep a look-up, 5 s by default.
	LocateTTL Duration `json:"locate_ttl"`
	// RepeatRatio, RepeatFloor and RepeatWindow bound the repeats to a pool:
	// in any window at most ratio x requests + floor. 0.2, 60 and 10 s by default.
	RepeatRatio  float64  `json:"repeat_ratio"`
	RepeatFloor  float64  `json:"repeat_floor"`
	RepeatWindow Duration `json:"repeat_window"`
	// QuotaWindow, QuotaOverage and QuotaSlack bound what an account gets: in any
	// window at most (rate x window + burst) x (1 + overage) + slack. Overage and
	// slack are used only for requests that come right after a restart. 5 s, 0
	// and 0 by default.
	QuotaWindow  Duration `json:"quota_window"`
	QuotaOverage float64  `json:"quota_overage"`
	QuotaSlack   float64  `json:"quota_slack"`
	// ColdFactor and ColdSlack bound the requests to a cold target in a second:
	// at most factor x its cold rate + slack. 1.5 and 5 by default.
	ColdFactor float64 `json:"cold_factor"`
	ColdSlack  float64 `json:"cold_slack"`
}

// The defaults of Bounds.
const (
	defaultDrain        = 2 * time.Second
	defaultEdgeGrace    = 6 * time.Second
	defaultEdgeTTL      = 5 * time.Second
	defaultRepeatRatio  = 0.2
	defaultRepeatFloor  = 60
	defaultRepeatWindow = 10 * time.Second
	defaultQuotaWindow  = 5 * time.Second
	defaultColdFactor   = 1.5
	defaultColdSlack    = 5
)

// LoadEdge reads, completes and checks the settings in a file. Every error in
// the text wraps ErrInvalid and names the field.
func LoadEdge(path string) (*Edge, error) { return load(path, ParseEdge) }

// ParseEdge decodes, completes and checks settings.
func ParseEdge(data []byte) (*Edge, error) {
	s := &Edge{}
	if err := decode(data, s); err != nil {
		return nil, err
	}
	s.complete()
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Edge) complete() {
	b := &s.Bounds
	orDefault(&b.Drain, defaultDrain)
	orDefault(&b.Grace, defaultEdgeGrace)
	orDefault(&b.LocateTTL, defaultEdgeTTL)
	orDefault(&b.RepeatWindow, defaultRepeatWindow)
	orDefault(&b.QuotaWindow, defaultQuotaWindow)
	for _, f := range []struct {
		value *float64
		or    float64
	}{
		{&b.RepeatRatio, defaultRepeatRatio}, {&b.RepeatFloor, defaultRepeatFloor},
		{&b.ColdFactor, defaultColdFactor}, {&b.ColdSlack, defaultColdSlack},
	} {
		if *f.value == 0 {
			*f.value = f.or
		}
	}
	if s.Log.Level == "" {
		s.Log.Level = "info"
	}
	if s.Log.Format == "" {
		s.Log.Format = "json"
	}
}

func (s *Edge) check() error {
	for _, f := range []struct{ name, value string }{
		{"vm.id", s.VM.ID}, {"vm.region", s.VM.Region}, {"vm.failure_domain", s.VM.FailureDomain},
	} {
		if f.value == "" {
			return invalid(f.name, "is missing")
		}
	}
	if got := s.FailureDomains[s.VM.FailureDomain]; got != s.VM.Region {
		return invalid("failure_domains", "%q is in region %q, but vm.region is %q", s.VM.FailureDomain, got, s.VM.Region)
	}
	for _, f := range []struct {
		name, value string
		optional    bool
	}{
		{"listen.callers", s.Listen.Callers, false}, {"listen.locate", s.Listen.Locate, false},
		{"listen.ready", s.Listen.Ready, false}, {"listen.peers", s.Listen.Peers, false},
		{"listen.metrics", s.Listen.Metrics, true}, {"listen.operators", s.Listen.Operators, true},
		{"store.address", s.Store.Address, false},
	} {
		if f.optional && f.value == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(f.value); err != nil {
			return invalid(f.name, "%q is not host:port", f.value)
		}
	}
	if s.Listen.Operators != "" && !loopback(s.Listen.Operators) {
		return invalid("listen.operators", "%q is not on loopback", s.Listen.Operators)
	}
	b := &s.Bounds
	for _, f := range []struct {
		name  string
		value float64
	}{
		{"store.reads_per_second", s.Store.ReadsPerSecond}, {"store.writes_per_second", s.Store.WritesPerSecond},
		{"bounds.repeat_ratio", b.RepeatRatio}, {"bounds.repeat_floor", b.RepeatFloor},
		{"bounds.cold_slack", b.ColdSlack}, {"bounds.quota_overage", b.QuotaOverage}, {"bounds.quota_slack", b.QuotaSlack},
	} {
		if f.value < 0 {
			return invalid(f.name, "%v is negative", f.value)
		}
	}
	if b.ColdFactor < 1 {
		return invalid("bounds.cold_factor", "%v is less than 1", b.ColdFactor)
	}
	return nil
}

// loopback reports whether an address reaches this machine only.
func loopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
