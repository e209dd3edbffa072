package settings

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"reflect"
	"slices"
	"strings"
	"time"

	"crocusramp.dev/crocusramp/pkg/block"
	"crocusramp.dev/crocusramp/pkg/target"
)

// Defaults of settings that the file may omit.
const (
	defaultSlots            = 16
	defaultDirectoryTimeout = 2 * time.Second
	defaultDirectoryPoll    = time.Second
	defaultLease            = 15 * time.Minute
	defaultLeasePoll        = 2 * time.Second
	defaultFeedPoll         = 500 * time.Millisecond
	defaultFreshFor         = 3 * time.Second
	defaultRelayLease       = 5 * time.Second
	defaultMaxHeaderBytes   = 16 << 10
	defaultMaxBodyBytes     = 256 << 20
	defaultHeaderTimeout    = 5 * time.Second
	defaultMaxDeadline      = 5 * time.Minute
	defaultLocateTTL        = 5 * time.Second
	defaultNotice           = 5 * time.Second
	defaultGrace            = 30 * time.Second
	// marginDivisor sets the default margin for clock drift to 1 % of the lease. That is far above
	// the 500 ppm that a disciplined clock may drift.
	marginDivisor = 100
)

// maxSlots is the largest number of slots. Each slot is a row of the table.
const maxSlots = 1 << 16

// setDefault sets a duration that is zero to value.
func setDefault(d *Duration, value time.Duration) {
	if d.Duration == 0 {
		d.Duration = value
	}
}

// setDefaults sets the fields that the file omits to their defaults.
func (s *Settings) setDefaults() {
	s.Limits.setDefaults()
	if s.Slots == 0 {
		s.Slots = defaultSlots
	}
	if s.Advertise.Callers == "" {
		s.Advertise.Callers = s.Listen.Callers
	}
	if s.Advertise.Peers == "" {
		s.Advertise.Peers = s.Listen.Peers
	}
	if s.Callers.MaxHeaderBytes == 0 {
		s.Callers.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if s.Callers.MaxBodyBytes == 0 {
		s.Callers.MaxBodyBytes = defaultMaxBodyBytes
	}
	if s.Log.Level == "" {
		s.Log.Level = "info"
	}
	if s.Log.Format == "" {
		s.Log.Format = "json"
	}
	setDefault(&s.Platform.Directory.Timeout, defaultDirectoryTimeout)
	setDefault(&s.Platform.Directory.Poll, defaultDirectoryPoll)
	setDefault(&s.Lease.Duration, defaultLease)
	setDefault(&s.Lease.Margin, s.Lease.Duration.Duration/marginDivisor)
	setDefault(&s.Lease.Poll, defaultLeasePoll)
	setDefault(&s.Feed.Poll, defaultFeedPoll)
	setDefault(&s.Feed.FreshFor, defaultFreshFor)
	setDefault(&s.Feed.RelayLease, defaultRelayLease)
	setDefault(&s.Callers.HeaderTimeout, defaultHeaderTimeout)
	setDefault(&s.Callers.MaxDeadline, defaultMaxDeadline)
	setDefault(&s.Callers.LocateTTL, defaultLocateTTL)
	setDefault(&s.Stop.Notice, defaultNotice)
	setDefault(&s.Stop.Grace, defaultGrace)
}

// invalid returns an ErrInvalid that names the field.
func invalid(field, format string, args ...any) error {
	return fmt.Errorf("%w: %s: %s", ErrInvalid, field, fmt.Sprintf(format, args...))
}

// checkDurations returns an error for the first duration in v that could not be parsed or is
// negative. path is the name of v in the settings.
func checkDurations(v reflect.Value, path string) error {
	if d, ok := v.Interface().(Duration); ok {
		if d.parseError != "" {
			return invalid(path, "%s", d.parseError)
		}
		if d.Duration < 0 {
			return invalid(path, "%s is negative", d.Duration)
		}
		return nil
	}
	if v.Kind() == reflect.Map {
		for _, key := range v.MapKeys() {
			if err := checkDurations(v.MapIndex(key), path+"."+key.String()); err != nil {
				return err
			}
		}
		return nil
	}
	if v.Kind() != reflect.Struct {
		return nil
	}
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		if path != "" {
			name = path + "." + name
		}
		if err := checkDurations(v.Field(i), name); err != nil {
			return err
		}
	}
	return nil
}

// Check returns an error for the first invalid value.
func (s *Settings) Check() error {
	checks := []func() error{
		s.checkVM, s.checkBlocks, s.checkAddresses, s.checkPlatform, s.checkPools, s.checkLease,
		s.checkCallers, s.checkOperators, s.checkTLS, s.checkLog, s.checkTraces,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkVM() error {
	if s.VM.ID == "" {
		return invalid("vm.id", "missing")
	}
	if s.VM.FailureDomain == "" {
		return invalid("vm.failure_domain", "missing")
	}
	if len(s.Regions) == 0 {
		return invalid("regions", "missing; list every region of the fleet")
	}
	seen := map[string]bool{}
	for i, r := range s.Regions {
		if r == "" || seen[r] {
			return invalid(fmt.Sprintf("regions[%d]", i), "%q is empty or listed twice", r)
		}
		seen[r] = true
	}
	if !seen[s.VM.Region] {
		return invalid("vm.region", "%q is not one of regions", s.VM.Region)
	}
	for r := range s.RegionCost {
		if !seen[r] {
			return invalid("region_cost", "%q is not one of regions", r)
		}
	}
	if s.Slots < len(s.Regions) || s.Slots > maxSlots {
		return invalid("slots", "%d is not between the number of regions and %d", s.Slots, maxSlots)
	}
	return nil
}

func (s *Settings) checkBlocks() error {
	for i, b := range s.ClientBlocks {
		field := fmt.Sprintf("client_blocks[%d]", i)
		if _, err := netip.ParsePrefix(b.Prefix); err != nil {
			return invalid(field+".prefix", "%q is not a prefix such as 192.0.2.0/24", b.Prefix)
		}
		if !slices.Contains(s.Regions, b.Region) {
			return invalid(field+".region", "%q is not one of regions", b.Region)
		}
	}
	if _, err := s.BlockTable(); err != nil {
		return invalid("client_blocks", "%v", err)
	}
	return nil
}

// BlockTable returns the table that maps callers' addresses to regions.
func (s *Settings) BlockTable() (*block.Table, error) {
	blocks := make([]block.Block, 0, len(s.ClientBlocks))
	for _, b := range s.ClientBlocks {
		prefix, err := netip.ParsePrefix(b.Prefix)
		if err != nil {
			return nil, err
		}
		blocks = append(blocks, block.Block{Prefix: prefix, Region: b.Region})
	}
	return block.New(blocks)
}

func (s *Settings) checkAddresses() error {
	fields := []struct{ name, value string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.operators", s.Listen.Operators},
		{"listen.peers", s.Listen.Peers},
		{"advertise.callers", s.Advertise.Callers},
		{"advertise.peers", s.Advertise.Peers},
	}
	for _, f := range fields {
		if err := checkAddress(f.name, f.value); err != nil {
			return err
		}
	}
	return nil
}

func checkAddress(field, value string) error {
	if value == "" {
		return invalid(field, "missing; give host:port")
	}
	host, port, err := net.SplitHostPort(value)
	if err != nil || port == "" {
		return invalid(field, "%q is not host:port", value)
	}
	if host != "" && net.ParseIP(host) == nil {
		return invalid(field, "%q is not an IP address", host)
	}
	return nil
}

func (s *Settings) checkPlatform() error {
	if err := checkAddress("platform.store.address", s.Platform.Store.Address); err != nil {
		return err
	}
	return checkURL("platform.directory.url", s.Platform.Directory.URL)
}

func checkURL(field, value string) error {
	u, err := url.Parse(value)
	if value == "" || err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return invalid(field, "%q is not an http or https URL", value)
	}
	return nil
}

func (s *Settings) checkPools() error {
	pools, targets := map[string]bool{}, map[string]bool{}
	regions := map[string]bool{}
	for _, r := range s.Regions {
		regions[r] = true
	}
	for i, p := range s.Pools {
		field := fmt.Sprintf("pools[%d]", i)
		if p.Name == "" || pools[p.Name] {
			return invalid(field+".name", "%q is empty or used twice", p.Name)
		}
		pools[p.Name] = true
		for j, t := range p.Targets {
			if err := checkTarget(fmt.Sprintf("%s.targets[%d]", field, j), t, targets, regions); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkTarget(field string, t Target, seen, regions map[string]bool) error {
	if t.ID == "" || seen[t.ID] {
		return invalid(field+".id", "%q is empty or used twice", t.ID)
	}
	seen[t.ID] = true
	if err := checkAddress(field+".address", t.Address); err != nil {
		return err
	}
	if !regions[t.Region] {
		return invalid(field+".region", "%q is not one of regions", t.Region)
	}
	if t.Slots < 1 {
		return invalid(field+".slots", "%d is less than 1", t.Slots)
	}
	if t.Connections < t.Slots {
		return invalid(field+".connections", "%d is less than slots", t.Connections)
	}
	return nil
}

func (s *Settings) checkLease() error {
	if s.Lease.Margin.Duration*3 >= s.Lease.Duration.Duration {
		return invalid("lease.margin", "%s is not less than a third of lease.duration %s", s.Lease.Margin.Duration, s.Lease.Duration.Duration)
	}
	if s.Lease.Poll.Duration >= s.Lease.Duration.Duration {
		return invalid("lease.poll", "%s is not less than lease.duration %s", s.Lease.Poll.Duration, s.Lease.Duration.Duration)
	}
	if s.Feed.Poll.Duration >= s.Feed.FreshFor.Duration {
		return invalid("feed.poll", "%s is not less than feed.fresh_for %s", s.Feed.Poll.Duration, s.Feed.FreshFor.Duration)
	}
	return nil
}

func (s *Settings) checkCallers() error {
	if s.Callers.MaxHeaderBytes < 1024 {
		return invalid("callers.max_header_bytes", "%d is less than 1024", s.Callers.MaxHeaderBytes)
	}
	if s.Callers.MaxBodyBytes < 0 {
		return invalid("callers.max_body_bytes", "%d is negative", s.Callers.MaxBodyBytes)
	}
	return nil
}

func (s *Settings) checkOperators() error {
	const hexHashLength = 64
	for i, h := range s.Operators.TokenHashes {
		if len(h) != hexHashLength || strings.Trim(strings.ToLower(h), "0123456789abcdef") != "" {
			return invalid(fmt.Sprintf("operators.token_hashes[%d]", i), "not the SHA-256 of a token in hex")
		}
	}
	if len(s.Operators.TokenHashes) == 0 && !isLoopback(s.Listen.Operators) {
		return invalid("operators.token_hashes", "missing; required because listen.operators %q is not loopback", s.Listen.Operators)
	}
	return nil
}

func (s *Settings) checkTLS() error {
	pairs := []struct {
		name string
		pair KeyPair
	}{{"tls.operators", s.TLS.Operators}, {"tls.peers", s.TLS.Peers}}
	for _, p := range pairs {
		if (p.pair.CertFile == "") != (p.pair.KeyFile == "") {
			return invalid(p.name, "cert_file and key_file must be set together")
		}
	}
	if s.TLS.Peers.Enabled() && s.TLS.Peers.CAFile == "" {
		return invalid("tls.peers.ca_file", "missing; peers are checked by it")
	}
	return nil
}

func (s *Settings) checkLog() error {
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		return invalid("log.level", "%q is not debug, info, warn or error", s.Log.Level)
	}
	if s.Log.Format != "json" && s.Log.Format != "text" {
		return invalid("log.format", "%q is not json or text", s.Log.Format)
	}
	return nil
}

func (s *Settings) checkTraces() error {
	if s.Traces.SamplePercent < 0 || s.Traces.SamplePercent > 100 {
		return invalid("traces.sample_percent", "%g is not between 0 and 100", s.Traces.SamplePercent)
	}
	if s.Traces.Endpoint == "" {
		return nil
	}
	return checkURL("traces.endpoint", s.Traces.Endpoint)
}

// TargetPools returns the pools in the scheduler's types.
func (s *Settings) TargetPools() []target.Pool {
	pools := make([]target.Pool, 0, len(s.Pools))
	for _, p := range s.Pools {
		pool := target.Pool{Name: p.Name, RequireEcho: p.RequireEcho}
		for _, t := range p.Targets {
			pool.Targets = append(pool.Targets, target.Target(t))
		}
		pools = append(pools, pool)
	}
	return pools
}
