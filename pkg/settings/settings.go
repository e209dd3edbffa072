// Package settings reads and checks the static settings of one daemon. What
// operators change while traffic runs is in package config instead.
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

// ErrInvalid marks every error in the text of the settings.
var ErrInvalid = errors.New("invalid settings")

// Duration is a length of time with its unit in the text, such as "250ms".
type Duration struct {
	time.Duration
	problem string
}

// UnmarshalJSON keeps a wrong value for Check, which knows the field's name.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		d.problem = fmt.Sprintf("%s is not a duration; write a number with a unit in quotes, such as \"250ms\"", data)
		return nil
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		d.problem = fmt.Sprintf("%q is not a duration; write a number with a unit, such as \"250ms\"", text)
		return nil
	}
	d.Duration, d.problem = value, ""
	return nil
}

// MarshalJSON writes the duration with its unit.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.Duration.String()) }

// Settings is the whole file of `crocusrampd serve`.
type Settings struct {
	VM     VM     `json:"vm"`
	Listen Listen `json:"listen"`
	// Advertise is what other processes use to reach this one; each address
	// defaults to the one in Listen.
	Advertise Advertise `json:"advertise"`
	// Regions lists every region of the fleet. It must be the same on all VMs:
	// slots are assigned to regions by their place in it.
	Regions []string `json:"regions"`
	// RegionCost is the one-way network time from this VM to other regions, by
	// name. It orders the regions that take a request which finds no room here.
	RegionCost map[string]Duration `json:"region_cost"`
	// Slots is the number of slots that limits are cut into, 16 by default. It
	// must be the same on all VMs and at least the number of VMs.
	Slots int `json:"slots"`
	// ClientBlocks says which region is nearest to which callers, for
	// /v1/locate. Callers outside all blocks are near the VM that they ask.
	ClientBlocks []ClientBlock `json:"client_blocks"`
	Platform     Platform      `json:"platform"`
	Pools        []Pool        `json:"pools"`
	Lease        Lease         `json:"lease"`
	Feed         Feed          `json:"feed"`
	Callers      Callers       `json:"callers"`
	Operator     Operators     `json:"operators"`
	TLS          TLS           `json:"tls"`
	Log          Log           `json:"log"`
	Traces       Traces        `json:"traces"`
	Stop         Stop          `json:"stop"`
}

// VM says where this daemon runs.
type VM struct {
	ID            string `json:"id"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
}

// ClientBlock is a prefix of callers' addresses in CIDR notation.
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

// Advertise holds the addresses that others use, as host:port.
type Advertise struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
}

// Platform says where the platform's services are.
type Platform struct {
	Store     Store     `json:"store"`
	Directory Directory `json:"directory"`
}

// Directory is the platform's list of VMs.
type Directory struct {
	URL string `json:"url"`
	// Timeout bounds one call, 2 s by default.
	Timeout Duration `json:"timeout"`
	// Poll is how often the list is read, 1 s by default.
	Poll Duration `json:"poll"`
}

// Pool is a set of interchangeable targets.
type Pool struct {
	Name string `json:"name"`
	// RequireEcho refuses answers that don't carry the request id.
	RequireEcho bool     `json:"require_echo"`
	Targets     []Target `json:"targets"`
}

// Target is one back end.
type Target struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// Slots is how many requests it runs at once.
	Slots int `json:"slots"`
	// Connections is how many connections it accepts from all VMs together.
	Connections int `json:"connections"`
}

// Lease sets the lease of slots.
type Lease struct {
	// Duration is how long a slot stays with a VM that cannot renew, 15 min by
	// default. A longer one outlasts longer outages of the table, but leaves
	// the share of a frozen VM unused for longer.
	Duration Duration `json:"duration"`
	// Margin covers the drift of clocks over one lease, 1 % of it by default.
	Margin Duration `json:"margin"`
	// Poll is how often the slots are read, 2 s by default. A longer one
	// delays the takeover of a dead VM's slots.
	Poll Duration `json:"poll"`
}

// Feed sets how the configuration spreads.
type Feed struct {
	// Poll is how often a relay reads the table, 500 ms by default.
	Poll Duration `json:"poll"`
	// FreshFor is how old the configuration may be for keyed routes, 3 s by
	// default. It bounds how long a withdrawn key works on a VM that is cut off.
	FreshFor Duration `json:"fresh_for"`
	// RelayLease is the lease of a failure domain's relay, 5 s by default.
	RelayLease Duration `json:"relay_lease"`
}

// Callers sets limits on what callers may send.
type Callers struct {
	// MaxHeaderBytes is 16 KiB by default.
	MaxHeaderBytes int `json:"max_header_bytes"`
	// MaxBodyBytes is 256 MiB by default.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// HeaderTimeout is how long a caller may take to send its headers, 5 s by
	// default.
	HeaderTimeout Duration `json:"header_timeout"`
	// MaxDeadline is the longest deadline, 5 min by default.
	MaxDeadline Duration `json:"max_deadline"`
	// LocateTTL is how long callers may keep an answer of /v1/locate, 5 s by
	// default.
	LocateTTL Duration `json:"locate_ttl"`
}

// Operators guards the operators' API.
type Operators struct {
	// TokenHashes holds the SHA-256 of each accepted bearer token, in hex.
	// Required where the API listens on more than loopback.
	TokenHashes []string `json:"token_hashes"`
}

// TLS names certificate files; an empty field means plain TCP.
type TLS struct {
	Operators KeyPair `json:"operators"`
	// Peers is used in both directions: every VM shows this certificate, and
	// accepts those signed by CA.
	Peers KeyPair `json:"peers"`
}

// KeyPair is a certificate, its key and the authority that peers are checked by.
type KeyPair struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	CAFile   string `json:"ca_file"`
}

// Enabled reports whether a certificate is set.
func (k KeyPair) Enabled() bool { return k.CertFile != "" }

// Log sets the structured log on standard error.
type Log struct {
	// Level is debug, info, warn or error; info by default.
	Level string `json:"level"`
	// Format is json or text; json by default.
	Format string `json:"format"`
}

// Traces exports spans; off while Endpoint is empty.
type Traces struct {
	// Endpoint is the URL of an OTLP collector over HTTP.
	Endpoint string `json:"endpoint"`
	// SamplePercent is the part of new traces that is recorded, 0 to 100.
	SamplePercent float64 `json:"sample_percent"`
}

// Stop sets the graceful shutdown.
type Stop struct {
	// Notice is how long the VM serves on after a stop was asked for, while
	// callers' cached answers of /v1/locate still name it; 5 s by default. It
	// ends early once no request has come for a second.
	Notice Duration `json:"notice"`
	// Grace bounds the wait for running requests after Notice, 30 s by default.
	// Requests that run longer get a final answer; delivering it takes up to 1 s more.
	Grace Duration `json:"grace"`
}

// Load reads, completes and checks the settings in a file. Every error in the
// text wraps ErrInvalid and names the field.
func Load(path string) (*Settings, error) { return load(path, Parse) }

// Parse decodes, completes and checks settings.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{}
	if err := decode(data, s); err != nil {
		return nil, err
	}
	s.complete()
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

// decode reads settings into the struct that s points to. Unknown fields, text
// after the end and wrong durations are errors.
func decode(data []byte, s any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, explain(data, err))
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: text after the end of the settings", ErrInvalid)
	}
	return walkDurations(reflect.ValueOf(s).Elem(), "")
}

// explain adds the field or line to an error of the JSON decoder.
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
