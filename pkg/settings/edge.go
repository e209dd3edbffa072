package settings

import (
	"net"
	"time"
)

// Edge is the settings file of `crocusrampd edge`, which runs one VM on a platform that stores the
// configuration and the list of targets.
type Edge struct {
	VM     VM         `json:"vm"`
	Listen EdgeListen `json:"listen"`
	// FailureDomains maps each failure domain, including those of targets, to its region.
	FailureDomains map[string]string `json:"failure_domains"`
	// FirstStart is true only when the whole fleet starts for the first time. No earlier process
	// can hold a share of a limit then.
	FirstStart bool   `json:"first_start"`
	Store      Store  `json:"store"`
	Bounds     Bounds `json:"bounds"`
	Limits     Limits `json:"limits,omitzero"`
	Log        Log    `json:"log"`
	Traces     Traces `json:"traces"`
}

// EdgeListen holds the addresses that the daemon listens on, as host:port.
type EdgeListen struct {
	Callers string `json:"callers"`
	// Locate serves callers' look-ups of VMs.
	Locate string `json:"locate"`
	Ready  string `json:"ready"`
	Peers  string `json:"peers"`
	// Metrics serves /metrics; empty disables it.
	Metrics string `json:"metrics"`
	// Operators serves the operators' API, which is read-only here; empty disables it. It requires
	// no token, so it must be a loopback address.
	Operators string `json:"operators"`
}

// Store is the platform's metadata store.
type Store struct {
	// Address is the store's host:port.
	Address string `json:"address"`
	// ReadsPerSecond and WritesPerSecond limit the calls of all VMs together. Calls above the
	// limits are refused. 0 means no limit.
	ReadsPerSecond  float64 `json:"reads_per_second"`
	WritesPerSecond float64 `json:"writes_per_second"`
}

// Bounds are the times and rates that the platform requires of the fleet.
type Bounds struct {
	// Drain is how long a target that has left still serves requests. After that it must not
	// receive any. The default is 2 s.
	Drain Duration `json:"drain"`
	// Grace is the time from SIGTERM to SIGKILL. The default is 6 s.
	Grace Duration `json:"grace"`
	// LocateTTL is the longest time that callers may cache a look-up. The default is 5 s.
	LocateTTL Duration `json:"locate_ttl"`
	// RetryRatio, RetryFloor and RetryWindow limit the retries to a pool to ratio x requests +
	// floor in any window. The defaults are 0.2, 60 and 10 s.
	RetryRatio  float64  `json:"repeat_ratio"`
	RetryFloor  float64  `json:"repeat_floor"`
	RetryWindow Duration `json:"repeat_window"`
	// QuotaWindow, QuotaOverage and QuotaSlack limit the admitted requests of an account to (rate x
	// window + burst) x (1 + overage) + slack in any window. Overage and slack are used only for
	// requests that arrive right after a restart. The defaults are 5 s, 0 and 0.
	QuotaWindow  Duration `json:"quota_window"`
	QuotaOverage float64  `json:"quota_overage"`
	QuotaSlack   float64  `json:"quota_slack"`
	// ColdFactor and ColdSlack limit the requests to a cold target to factor x its cold rate +
	// slack in any second. The defaults are 1.5 and 5.
	ColdFactor float64 `json:"cold_factor"`
	ColdSlack  float64 `json:"cold_slack"`
}

// Defaults of Bounds.
const (
	defaultDrain         = 2 * time.Second
	defaultEdgeGrace     = 6 * time.Second
	defaultEdgeLocateTTL = 5 * time.Second
	defaultRetryRatio    = 0.2
	defaultRetryFloor    = 60
	defaultRetryWindow   = 10 * time.Second
	defaultQuotaWindow   = 5 * time.Second
	defaultColdFactor    = 1.5
	defaultColdSlack     = 5
)

// LoadEdge reads a settings file, sets the defaults and checks the values. Every error wraps
// ErrInvalid, and the error for an invalid value names the field.
func LoadEdge(path string) (*Edge, error) { return load(path, ParseEdge) }

// ParseEdge decodes settings, sets the defaults and checks the values.
func ParseEdge(data []byte) (*Edge, error) {
	s := &Edge{}
	if err := decode(data, s); err != nil {
		return nil, err
	}
	s.setDefaults()
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

// setDefaults sets the fields that the file omits to their defaults.
func (s *Edge) setDefaults() {
	s.Limits.setDefaults()
	b := &s.Bounds
	setDefault(&b.Drain, defaultDrain)
	setDefault(&b.Grace, defaultEdgeGrace)
	setDefault(&b.LocateTTL, defaultEdgeLocateTTL)
	setDefault(&b.RetryWindow, defaultRetryWindow)
	setDefault(&b.QuotaWindow, defaultQuotaWindow)
	for _, f := range []struct {
		value        *float64
		defaultValue float64
	}{
		{&b.RetryRatio, defaultRetryRatio}, {&b.RetryFloor, defaultRetryFloor},
		{&b.ColdFactor, defaultColdFactor}, {&b.ColdSlack, defaultColdSlack},
	} {
		if *f.value == 0 {
			*f.value = f.defaultValue
		}
	}
	if s.Log.Level == "" {
		s.Log.Level = "info"
	}
	if s.Log.Format == "" {
		s.Log.Format = "json"
	}
}

// check returns an error for the first invalid value.
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
	if s.Listen.Operators != "" && !isLoopback(s.Listen.Operators) {
		return invalid("listen.operators", "%q is not on loopback", s.Listen.Operators)
	}
	b := &s.Bounds
	for _, f := range []struct {
		name  string
		value float64
	}{
		{"store.reads_per_second", s.Store.ReadsPerSecond}, {"store.writes_per_second", s.Store.WritesPerSecond},
		{"bounds.repeat_ratio", b.RetryRatio}, {"bounds.repeat_floor", b.RetryFloor},
		{"bounds.cold_slack", b.ColdSlack}, {"bounds.quota_overage", b.QuotaOverage}, {"bounds.quota_slack", b.QuotaSlack},
	} {
		if f.value < 0 {
			return invalid(f.name, "%v is negative", f.value)
		}
	}
	if b.ColdFactor < 1 {
		return invalid("bounds.cold_factor", "%v is less than 1", b.ColdFactor)
	}
	return s.Limits.check()
}

// isLoopback reports whether the host:port has a loopback IP address.
func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
