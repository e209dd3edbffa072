// Package config holds the dynamic configuration that operators change while
// traffic runs: client accounts, keys, routes, shifts and drains. A Config is
// immutable; Apply makes the next one from a Change.
package config

import (
	"errors"
	"time"
)

var (
	// ErrNotFound reports that the named entity does not exist.
	ErrNotFound = errors.New("does not exist")
	// ErrExists reports that an entity of that name exists already.
	ErrExists = errors.New("exists already")
	// ErrInvalid reports a value that the configuration cannot hold.
	ErrInvalid = errors.New("invalid")
	// ErrVersion reports a change that was not made from the current version.
	ErrVersion = errors.New("version conflict")
)

// Priority orders the queues: lower values are served first.
type Priority string

// The priority classes.
const (
	PriorityHigh   Priority = "high"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "low"
)

// Mode says how often a route's request may run on a target.
type Mode string

// The modes of a route.
const (
	// ModeIdempotent requests may be retried on another target.
	ModeIdempotent Mode = "idempotent"
	// ModeAtMostOnce requests run once or not at all.
	ModeAtMostOnce Mode = "at_most_once"
)

// Account is a client account (tenant).
type Account struct {
	Name string `json:"name"`
	// Rate is its requests a second over the whole fleet.
	Rate float64 `json:"rate"`
	// Burst is how many requests may come at once, over the whole fleet.
	Burst float64 `json:"burst"`
	// Weight is its part of the capacity under contention; 1 is usual.
	Weight int `json:"weight"`
	// Regions are where its requests may run; none means everywhere.
	Regions []string `json:"regions,omitempty"`
	// Rank goes before the rank of a route; nil leaves that in force.
	Rank *int `json:"rank,omitempty"`
}

// Key is a client account's credential. Only its salted hash is kept.
type Key struct {
	// ID is public and part of the key that the caller shows.
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
	// Methods limits the route to these HTTP methods; none means all.
	Methods  []string `json:"methods,omitempty"`
	Pool     string   `json:"pool"`
	Mode     Mode     `json:"mode"`
	Priority Priority `json:"priority"`
	// Open routes need no key and count towards no client account.
	Open bool `json:"open,omitempty"`
	// Timeout bounds a request from its arrival to its answer.
	Timeout time.Duration `json:"timeout"`
	// Host limits the route to requests for this host, in lower case; empty
	// means all.
	Host string `json:"host,omitempty"`
	// Split divides the requests among several pools; it goes before Pool.
	Split []Part `json:"split,omitempty"`
	// MaxAttempts is how many targets one request may be sent to; 0 leaves it
	// to the retry budget.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Objective is the time within which an answer is worth most.
	Objective time.Duration `json:"objective,omitempty"`
	// Rank orders routes under contention; 0 goes first.
	Rank int `json:"rank,omitempty"`
	// Regions are where requests may run; none means everywhere.
	Regions []string `json:"regions,omitempty"`
	// Bulky answers are large; they stay in the caller's region where they can.
	Bulky bool `json:"bulky,omitempty"`
	// Sticky says that a target runs a request faster that has lately handled
	// the same object.
	Sticky bool `json:"sticky,omitempty"`
}

// Part is a pool's part of a route's requests.
type Part struct {
	Pool   string  `json:"pool"`
	Weight float64 `json:"weight"`
}

// Service describes the targets of a pool that are found at run time.
type Service struct {
	Name string `json:"name"`
	// HealthPath is asked to learn whether a target is well.
	HealthPath string `json:"health_path"`
	// MaxConnections is how many connections a target accepts from all VMs.
	MaxConnections int `json:"max_connections"`
	// ColdStart is how long a target that has just started is slow.
	ColdStart time.Duration `json:"cold_start"`
	// ColdRate is how many requests a second a cold target bears.
	ColdRate float64 `json:"cold_rate"`
}

// CallerLimits bound what callers may send; zero fields leave the settings in
// force.
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
	// CapPercent is the largest part that moves, 0 to 100.
	CapPercent float64 `json:"cap_percent"`
}

// DrainKind says what a drain empties.
type DrainKind string

// The kinds of drain.
const (
	DrainRegion        DrainKind = "region"
	DrainFailureDomain DrainKind = "failure_domain"
	DrainTarget        DrainKind = "target"
	DrainVM            DrainKind = "vm"
)

// Drain keeps new work from its subject.
type Drain struct {
	Name    string    `json:"name"`
	Kind    DrainKind `json:"kind"`
	Subject string    `json:"subject"`
}

// Config is one version of the configuration. All maps are keyed by name, or
// by ID for keys. Readers never change a Config.
type Config struct {
	Version  int64               `json:"version"`
	Accounts map[string]*Account `json:"accounts"`
	Keys     map[string]*Key     `json:"keys"`
	Routes   map[string]*Route   `json:"routes"`
	Shifts   map[string]*Shift   `json:"shifts"`
	Drains   map[string]*Drain   `json:"drains"`
	// Services is set where targets are found at run time.
	Services     map[string]*Service `json:"services,omitempty"`
	CallerLimits CallerLimits        `json:"caller_limits,omitzero"`
}

// Empty returns version 0, which has no entities.
func Empty() *Config {
	return &Config{
		Accounts: map[string]*Account{},
		Keys:     map[string]*Key{},
		Routes:   map[string]*Route{},
		Shifts:   map[string]*Shift{},
		Drains:   map[string]*Drain{},
	}
}

// Snapshot is a configuration with what is known of its age.
type Snapshot struct {
	*Config
	// Fresh reports whether no change accepted longer ago than the bound can
	// be missing. Keyed routes are refused on a snapshot that is not fresh.
	Fresh bool
}

// Source publishes snapshots. Snapshot never returns nil.
type Source interface {
	Snapshot() Snapshot
}
