// Package config defines the dynamic configuration that operators change at run
// time: client accounts, keys, routes, shifts and drains. A Config is immutable;
// Apply returns the next version, with a Change applied.
package config

import (
	"errors"
	"time"
)

var (
	// ErrNotFound reports that the named entity does not exist.
	ErrNotFound = errors.New("does not exist")
	// ErrExists reports that an entity with that name already exists.
	ErrExists = errors.New("exists already")
	// ErrInvalid reports a value that the configuration cannot hold.
	ErrInvalid = errors.New("invalid")
	// ErrVersion reports a change that is not based on the current version.
	ErrVersion = errors.New("version conflict")
)

// Priority is the class of a route's requests in the queues. Higher classes are
// served first, but each lower class is guaranteed a minimum share.
type Priority string

// The priority classes.
const (
	PriorityHigh   Priority = "high"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "low"
)

// Mode determines how often a request of a route may run on a target.
type Mode string

// The modes of a route.
const (
	// ModeIdempotent requests may be retried on another target.
	ModeIdempotent Mode = "idempotent"
	// ModeAtMostOnce requests run once or not at all.
	ModeAtMostOnce Mode = "at_most_once"
)

// Account is a client account.
type Account struct {
	Name string `json:"name"`
	// Rate is its limit in requests per second over the whole fleet.
	Rate float64 `json:"rate"`
	// Burst is how many requests may arrive at once, over the whole fleet.
	Burst float64 `json:"burst"`
	// Weight is its relative share of the capacity under contention; usually 1.
	Weight int `json:"weight"`
	// Regions are the regions in which its requests may run; empty means all.
	Regions []string `json:"regions,omitempty"`
	// Rank orders requests under contention and is compared before the rank of
	// their routes; 0 is the most urgent. Nil means the route's rank.
	Rank *int `json:"rank,omitempty"`
}

// Key is a client account's credential. Only its salted hash is stored.
type Key struct {
	// ID is public and a part of the key that the caller sends.
	ID      string    `json:"id"`
	Account string    `json:"account"`
	Salt    []byte    `json:"salt"`
	Hash    []byte    `json:"hash"`
	Created time.Time `json:"created"`
}

// Route maps request paths to a pool of targets.
type Route struct {
	Name string `json:"name"`
	// PathPrefix selects requests; the longest matching prefix wins.
	PathPrefix string `json:"path_prefix"`
	// Methods limits the route to these HTTP methods; empty means all.
	Methods  []string `json:"methods,omitempty"`
	Pool     string   `json:"pool"`
	Mode     Mode     `json:"mode"`
	Priority Priority `json:"priority"`
	// Open routes need no key and count towards no client account.
	Open bool `json:"open,omitempty"`
	// Timeout bounds the time from a request's arrival to its response.
	Timeout time.Duration `json:"timeout"`
	// Host limits the route to requests for this host, in lower case; empty
	// means all.
	Host string `json:"host,omitempty"`
	// Split divides the requests among several pools; it takes precedence over Pool.
	Split []WeightedPool `json:"split,omitempty"`
	// MaxAttempts is how many targets one request may be sent to; 0 means that
	// only the retry budget limits it.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Objective is the latency objective: a response is worth most within this time.
	Objective time.Duration `json:"objective,omitempty"`
	// Rank orders requests under contention; 0 is the most urgent.
	Rank int `json:"rank,omitempty"`
	// Regions are the regions in which requests may run; empty means all.
	Regions []string `json:"regions,omitempty"`
	// LargeResponses reports that responses are large; requests then stay in the caller's
	// region if possible.
	LargeResponses bool `json:"bulky,omitempty"`
	// Sticky reports that a target handles a request faster if it recently
	// handled one for the same object.
	Sticky bool `json:"sticky,omitempty"`
}

// WeightedPool gives a pool a weighted part of a route's requests.
type WeightedPool struct {
	Pool   string  `json:"pool"`
	Weight float64 `json:"weight"`
}

// Service describes the targets of a pool whose targets are discovered at run time.
type Service struct {
	Name string `json:"name"`
	// HealthPath is the path of a target's health check.
	HealthPath string `json:"health_path"`
	// MaxConnections is how many connections a target accepts from all VMs.
	MaxConnections int `json:"max_connections"`
	// ColdStart is how long a target is slow after its start.
	ColdStart time.Duration `json:"cold_start"`
	// ColdRate is how many requests per second a target can handle during
	// ColdStart.
	ColdRate float64 `json:"cold_rate"`
}

// CallerLimits limit the requests of callers. They override the settings; a zero
// field keeps the setting.
type CallerLimits struct {
	MaxHeaderBytes int           `json:"max_header_bytes"`
	MaxBodyBytes   int64         `json:"max_body_bytes"`
	HeaderTimeout  time.Duration `json:"header_timeout"`
	IdleTimeout    time.Duration `json:"idle_timeout"`
}

// Shift moves a part of a pool's traffic from one region to another.
type Shift struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	From string `json:"from"`
	To   string `json:"to"`
	// CapPercent is the largest part of the traffic that moves, 0 to 100.
	CapPercent float64 `json:"cap_percent"`
}

// DrainKind is the kind of a drain's subject.
type DrainKind string

// The kinds of drain.
const (
	DrainRegion        DrainKind = "region"
	DrainFailureDomain DrainKind = "failure_domain"
	DrainTarget        DrainKind = "target"
	DrainVM            DrainKind = "vm"
)

// Drain keeps new requests from a region, failure domain, target or VM.
type Drain struct {
	Name    string    `json:"name"`
	Kind    DrainKind `json:"kind"`
	Subject string    `json:"subject"`
}

// Config is one version of the configuration. All maps are keyed by name, Keys
// by ID. A Config must not be modified after it has been published.
type Config struct {
	Version  int64               `json:"version"`
	Accounts map[string]*Account `json:"accounts"`
	Keys     map[string]*Key     `json:"keys"`
	Routes   map[string]*Route   `json:"routes"`
	Shifts   map[string]*Shift   `json:"shifts"`
	Drains   map[string]*Drain   `json:"drains"`
	// Services is set if targets are discovered at run time.
	Services     map[string]*Service `json:"services,omitempty"`
	CallerLimits CallerLimits        `json:"caller_limits,omitzero"`
}

// Empty returns the configuration of version 0, which has no entities.
func Empty() *Config {
	return &Config{
		Accounts: map[string]*Account{},
		Keys:     map[string]*Key{},
		Routes:   map[string]*Route{},
		Shifts:   map[string]*Shift{},
		Drains:   map[string]*Drain{},
	}
}

// Snapshot is a configuration that may be stale.
type Snapshot struct {
	*Config
	// Fresh reports whether the configuration includes every change that was
	// accepted longer ago than the freshness bound. Requests to keyed routes are
	// refused while it is false.
	Fresh bool
}

// Source publishes snapshots. The Config of a snapshot is never nil.
type Source interface {
	Snapshot() Snapshot
}
