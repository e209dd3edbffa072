// Package settings reads and checks the static settings of one daemon. The configuration that
// operators change at run time is in package config.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"time"
)

// ErrInvalid reports settings that are missing, malformed or have an invalid value.
var ErrInvalid = errors.New("invalid settings")

// Duration is a time.Duration that is encoded with its unit, such as "250ms".
type Duration struct {
	time.Duration
	// parseError is the error text for a value that could not be parsed, or empty.
	parseError string
}

// UnmarshalJSON implements json.Unmarshaler. It stores the error for a malformed value and returns
// nil: checkDurations, which has the name of the field, reports it.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		d.parseError = fmt.Sprintf("%s is not a duration; write a number with a unit in quotes, such as \"250ms\"", data)
		return nil
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		d.parseError = fmt.Sprintf("%q is not a duration; write a number with a unit, such as \"250ms\"", text)
		return nil
	}
	d.Duration, d.parseError = value, ""
	return nil
}

// MarshalJSON implements json.Marshaler. It encodes the duration with its unit.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.Duration.String()) }

// Settings is the settings file of `crocusrampd serve`.
type Settings struct {
	VM     VM     `json:"vm"`
	Listen Listen `json:"listen"`
	// Advertise holds the addresses at which other processes reach this one. Each defaults to the
	// address in Listen.
	Advertise Advertise `json:"advertise"`
	// Regions lists all regions of the fleet. It must be the same on all VMs, in the same order:
	// slots are assigned to regions by their index in it.
	Regions []string `json:"regions"`
	// RegionCost is the one-way network delay from this VM to other regions, by name. Requests for
	// which this region has no capacity go to the other regions in order of this delay.
	RegionCost map[string]Duration `json:"region_cost"`
	// Slots is the number of slots that limits are divided into. It must be the same on all VMs and
	// at least the number of VMs. The default is 16.
	Slots int `json:"slots"`
	// ClientBlocks maps callers' addresses to the nearest region, for /v1/locate. The nearest
	// region to callers outside all blocks is that of the VM that receives the look-up.
	ClientBlocks []ClientBlock `json:"client_blocks"`
	Platform     Platform      `json:"platform"`
	Pools        []Pool        `json:"pools"`
	Lease        Lease         `json:"lease"`
	Feed         Feed          `json:"feed"`
	Callers      Callers       `json:"callers"`
	Operators    Operators     `json:"operators"`
	TLS          TLS           `json:"tls"`
	Log          Log           `json:"log"`
	Traces       Traces        `json:"traces"`
	Stop         Stop          `json:"stop"`
	Limits       Limits        `json:"limits,omitzero"`
}

// VM identifies the VM that this daemon runs on and its location.
type VM struct {
	ID            string `json:"id"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
}

// ClientBlock assigns a prefix of callers' addresses, in CIDR notation, to the nearest region.
type ClientBlock struct {
	Prefix string `json:"prefix"`
	Region string `json:"region"`
}

// Listen holds the addresses that the daemon listens on, as host:port.
type Listen struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

// Advertise holds the addresses that callers and peers connect to, as host:port.
type Advertise struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Store     Store     `json:"store"`
	Directory Directory `json:"directory"`
}

// Directory is the platform's list of VMs.
type Directory struct {
	URL string `json:"url"`
	// Timeout bounds one call. The default is 2 s.
	Timeout Duration `json:"timeout"`
	// Poll is the period in which the list is read. The default is 1 s.
	Poll Duration `json:"poll"`
}

// Pool is a set of interchangeable targets.
type Pool struct {
	Name string `json:"name"`
	// RequireEcho rejects responses that do not contain the request ID.
	RequireEcho bool     `json:"require_echo"`
	Targets     []Target `json:"targets"`
}

// Target is one server that runs requests.
type Target struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// Slots is how many requests the target runs concurrently.
	Slots int `json:"slots"`
	// Connections is how many connections the target accepts from all VMs together.
	Connections int `json:"connections"`
}

// Lease configures the leases of slots.
type Lease struct {
	// Duration is how long a VM holds a slot whose lease it cannot renew. A longer duration bridges
	// longer outages of the table, but leaves the share of a frozen VM unused for longer. The
	// default is 15 min.
	Duration Duration `json:"duration"`
	// Margin allows for clock drift during one lease. The default is 1 % of Duration.
	Margin Duration `json:"margin"`
	// Poll is the period in which the slots are read. A longer period delays the takeover of a dead
	// VM's slots. The default is 2 s.
	Poll Duration `json:"poll"`
}

// Feed configures how the configuration is distributed.
type Feed struct {
	// Poll is the period in which a relay reads the table. The default is 500 ms.
	Poll Duration `json:"poll"`
	// FreshFor is the maximum age of the configuration for keyed routes. It bounds how long an
	// isolated VM accepts a withdrawn key. The default is 3 s.
	FreshFor Duration `json:"fresh_for"`
	// RelayLease is the duration of the lease of a failure domain's relay. The default is 5 s.
	RelayLease Duration `json:"relay_lease"`
}

// Callers limits what callers may send.
type Callers struct {
	// MaxHeaderBytes is the largest size of a request header. The default is 16 KiB.
	MaxHeaderBytes int `json:"max_header_bytes"`
	// MaxBodyBytes is the largest size of a request body. The default is 256 MiB.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// HeaderTimeout bounds how long a caller may take to send its headers. The default is 5 s.
	HeaderTimeout Duration `json:"header_timeout"`
	// MaxDeadline is the longest deadline that a caller may set. The default is 5 min.
	MaxDeadline Duration `json:"max_deadline"`
	// LocateTTL is how long callers may cache a response of /v1/locate. The default is 5 s.
	LocateTTL Duration `json:"locate_ttl"`
}

// Operators configures access to the operators' API.
type Operators struct {
	// TokenHashes holds the SHA-256 of each accepted bearer token, in hex. At least one is required
	// unless the API listens on a loopback address.
	TokenHashes []string `json:"token_hashes"`
}

// TLS holds the certificate files. Connections without a certificate file use plain TCP.
type TLS struct {
	Operators KeyPair `json:"operators"`
	// Peers is used for mutual TLS between VMs: each VM presents this certificate and accepts those
	// signed by the authority in CAFile.
	Peers KeyPair `json:"peers"`
}

// KeyPair holds the files of a certificate, its key and the certificate authority that verifies
// peers.
type KeyPair struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	CAFile   string `json:"ca_file"`
}

// Enabled reports whether a certificate is set.
func (k KeyPair) Enabled() bool { return k.CertFile != "" }

// Log configures the structured log. `crocusrampd serve` writes it to standard error, `crocusrampd
// edge` to standard output.
type Log struct {
	// Level is debug, info, warn or error. The default is info.
	Level string `json:"level"`
	// Format is json or text. The default is json.
	Format string `json:"format"`
}

// Traces configures the export of spans. It is disabled if Endpoint is empty.
type Traces struct {
	// Endpoint is the URL of an OTLP collector over HTTP.
	Endpoint string `json:"endpoint"`
	// SamplePercent is the percentage of new traces that is recorded, 0 to 100.
	SamplePercent float64 `json:"sample_percent"`
}

// Stop configures the graceful shutdown.
type Stop struct {
	// Notice is how long the VM continues to accept requests after a stop was requested, because
	// callers' cached responses of /v1/locate still contain it. It ends early once no request has
	// arrived for a second. The default is 5 s.
	Notice Duration `json:"notice"`
	// Grace bounds the wait for running requests after Notice. The caller of a request that runs
	// longer gets a final response, whose delivery takes up to 1 s more. The default is 30 s.
	Grace Duration `json:"grace"`
}

// Load reads a settings file, sets the defaults and checks the values. Every error wraps ErrInvalid,
// and the error for an invalid value names the field.
func Load(path string) (*Settings, error) { return load(path, Parse) }

// Parse decodes settings, sets the defaults and checks the values.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{}
	if err := decode(data, s); err != nil {
		return nil, err
	}
	s.setDefaults()
	if err := s.Check(); err != nil {
		return nil, err
	}
	return s, nil
}

// load reads a file and parses it.
func load[T any](path string, parse func([]byte) (*T, error)) (*T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	s, err := parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// decode unmarshals settings into the struct that s points to. Unknown fields, text after the end of
// the JSON object and invalid durations are errors.
func decode(data []byte, s any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, explain(data, err))
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: text after the end of the settings", ErrInvalid)
	}
	return checkDurations(reflect.ValueOf(s).Elem(), "")
}

// explain adds the field or the line number to an error of the JSON decoder.
func explain(data []byte, err error) error {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line := 1 + bytes.Count(data[:min(syntax.Offset, int64(len(data)))], []byte("\n"))
		return fmt.Errorf("line %d: %w", line, err)
	}
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		return fmt.Errorf("%s: a JSON %s does not fit, want %s", kind.Field, kind.Value, kind.Type)
	}
	return err
}
