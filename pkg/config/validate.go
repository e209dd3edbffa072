package config

import (
	"fmt"
	"math"
	"path"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"golang.org/x/text/unicode/norm"
)

// Bounds on the values of the configuration.
const (
	// MaxNameBytes is the maximum length of a name, in bytes of UTF-8.
	MaxNameBytes = 128
	// MaxPathBytes is the maximum length of a route's path prefix.
	MaxPathBytes = 512
	// MaxRate is the maximum rate in requests per second, and the maximum burst.
	MaxRate = 1e9
	// MaxWeight is the maximum fair-share weight.
	MaxWeight = 1000
	// MinTimeout and MaxTimeout bound the timeout of a route. MaxTimeout allows
	// queries that run overnight.
	MinTimeout = time.Millisecond
	MaxTimeout = 24 * time.Hour

	// keyPrefix is the prefix of every key's text; see package keys.
	keyPrefix      = "crk_"
	maxMethods     = 16
	maxMethodBytes = 32
	minBurst       = 1
	maxPercent     = 100
	hashBytes      = 32
	minSaltBytes   = 8
	maxSaltBytes   = 64
)

func (a *Account) name() string { return a.Name }
func (k *Key) name() string     { return k.ID }
func (r *Route) name() string   { return r.Name }
func (s *Shift) name() string   { return s.Name }
func (d *Drain) name() string   { return d.Name }

// CheckName returns why a name is invalid, or "". A valid name has 1 to
// MaxNameBytes bytes of UTF-8 in Unicode normal form C and consists of printable
// characters, separated by single spaces at most. Control and format characters
// are refused because they can hide or reorder text in a terminal. The normal
// form is required because different names could otherwise look the same.
func CheckName(s string) string {
	switch {
	case s == "":
		return "is empty"
	case len(s) > MaxNameBytes:
		return fmt.Sprintf("is longer than %d bytes", MaxNameBytes)
	case !utf8.ValidString(s):
		return "is not valid UTF-8"
	case strings.TrimSpace(s) != s || strings.Contains(s, "  "):
		return "has leading, trailing or repeated spaces"
	case strings.ContainsFunc(s, unprintable):
		return "has a control, format or other unprintable character"
	case !norm.NFC.IsNormalString(s):
		return "is not in Unicode normal form C"
	case strings.Contains(strings.ToLower(s), keyPrefix):
		return "looks like a key, which must not be stored"
	}
	return ""
}

func unprintable(r rune) bool { return !unicode.IsPrint(r) || r == utf8.RuneError }

func checkName(e Entity, field, value string) error {
	if reason := CheckName(value); reason != "" {
		return fieldError(e, field, value, reason)
	}
	return nil
}

func checkNumber(e Entity, field string, v, min, max float64) error {
	if math.IsNaN(v) || v < min || v > max {
		return fieldError(e, field, v, fmt.Sprintf("must be from %g to %g", min, max))
	}
	return nil
}

func (a *Account) validate() error {
	e := Entity{KindAccount, a.Name}
	if err := checkName(e, "name", a.Name); err != nil {
		return err
	}
	if !(a.Rate > 0 && a.Rate <= MaxRate) {
		return fieldError(e, "rate", a.Rate, fmt.Sprintf("must be above 0 and at most %g", MaxRate))
	}
	if err := checkNumber(e, "burst", a.Burst, minBurst, MaxRate); err != nil {
		return err
	}
	if a.Weight < 1 || a.Weight > MaxWeight {
		return fieldError(e, "weight", a.Weight, fmt.Sprintf("must be from 1 to %d", MaxWeight))
	}
	return nil
}

func (k *Key) validate(c *Config) error {
	e := Entity{KindKey, k.ID}
	if err := checkName(e, "id", k.ID); err != nil {
		return err
	}
	if c.Accounts[k.Account] == nil {
		return &EntityError{Entity: Entity{KindAccount, k.Account}, Err: ErrNotFound}
	}
	if len(k.Hash) != hashBytes {
		return fieldError(e, "hash length", len(k.Hash), fmt.Sprintf("must be %d", hashBytes))
	}
	if len(k.Salt) < minSaltBytes || len(k.Salt) > maxSaltBytes {
		return fieldError(e, "salt length", len(k.Salt), fmt.Sprintf("must be from %d to %d", minSaltBytes, maxSaltBytes))
	}
	return nil
}

func (r *Route) validate(c *Config) error {
	e := Entity{KindRoute, r.Name}
	if err := checkName(e, "name", r.Name); err != nil {
		return err
	}
	if err := checkPath(e, r.PathPrefix); err != nil {
		return err
	}
	if err := checkMethods(e, r.Methods); err != nil {
		return err
	}
	if err := checkName(e, "pool", r.Pool); err != nil {
		return err
	}
	if r.Mode != ModeIdempotent && r.Mode != ModeAtMostOnce {
		return fieldError(e, "mode", r.Mode, "must be idempotent or at_most_once")
	}
	if !slices.Contains([]Priority{PriorityHigh, PriorityNormal, PriorityLow}, r.Priority) {
		return fieldError(e, "priority", r.Priority, "must be high, normal or low")
	}
	if r.Timeout < MinTimeout || r.Timeout > MaxTimeout {
		return fieldError(e, "timeout", r.Timeout, fmt.Sprintf("must be from %v to %v", MinTimeout, MaxTimeout))
	}
	return r.checkOverlap(c)
}

// checkOverlap refuses a route that has the path prefix and a method of another
// route: which of the two matched a request would be undefined.
func (r *Route) checkOverlap(c *Config) error {
	for _, o := range c.Routes {
		if o.Name == r.Name || o.PathPrefix != r.PathPrefix || !methodsOverlap(o.Methods, r.Methods) {
			continue
		}
		return fieldError(Entity{KindRoute, r.Name}, "path_prefix", r.PathPrefix,
			fmt.Sprintf("and a method are those of route %q", o.Name))
	}
	return nil
}

func methodsOverlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	return slices.ContainsFunc(a, func(m string) bool { return slices.Contains(b, m) })
}

func checkPath(e Entity, p string) error {
	refuse := func(reason string) error { return fieldError(e, "path_prefix", p, reason) }
	switch {
	case !strings.HasPrefix(p, "/"):
		return refuse("must begin with /")
	case len(p) > MaxPathBytes:
		return refuse(fmt.Sprintf("is longer than %d bytes", MaxPathBytes))
	case !utf8.ValidString(p) || strings.ContainsFunc(p, unprintable):
		return refuse("has an unprintable character")
	case strings.Contains(strings.ToLower(p), keyPrefix):
		return refuse("looks like a key, which must not be stored")
	case strings.ContainsAny(p, "?#%\\ "):
		return refuse("has one of ? # % \\ or a space")
	case p != "/" && path.Clean(p) != strings.TrimSuffix(p, "/"):
		return refuse("has an empty, . or .. segment")
	}
	return nil
}

func checkMethods(e Entity, methods []string) error {
	if len(methods) > maxMethods {
		return fieldError(e, "methods", len(methods), fmt.Sprintf("are more than %d", maxMethods))
	}
	for i, m := range methods {
		if m == "" || len(m) > maxMethodBytes || strings.ContainsFunc(m, invalidMethodRune) {
			return fieldError(e, "methods", m, "must be upper-case letters")
		}
		if slices.Contains(methods[:i], m) {
			return fieldError(e, "methods", m, "is given twice")
		}
	}
	return nil
}

func invalidMethodRune(r rune) bool { return (r < 'A' || r > 'Z') && r != '-' }

func (s *Shift) validate(c *Config) error {
	e := Entity{KindShift, s.Name}
	for _, f := range []struct{ field, value string }{
		{"name", s.Name}, {"pool", s.Pool}, {"from", s.From}, {"to", s.To},
	} {
		if err := checkName(e, f.field, f.value); err != nil {
			return err
		}
	}
	if s.From == s.To {
		return fieldError(e, "to", s.To, "must differ from the region shifted from")
	}
	if err := checkNumber(e, "cap_percent", s.CapPercent, 0, maxPercent); err != nil {
		return err
	}
	// Two shifts of a pool out of one region could together exceed either cap.
	for _, o := range c.Shifts {
		if o.Name != s.Name && o.Pool == s.Pool && o.From == s.From {
			return fieldError(e, "from", s.From, fmt.Sprintf("is shifted for pool %q by shift %q already", s.Pool, o.Name))
		}
	}
	return nil
}

func (d *Drain) validate() error {
	e := Entity{KindDrain, d.Name}
	if err := checkName(e, "name", d.Name); err != nil {
		return err
	}
	kinds := []DrainKind{DrainRegion, DrainFailureDomain, DrainTarget, DrainVM}
	if !slices.Contains(kinds, d.Kind) {
		return fieldError(e, "kind", d.Kind, "must be region, failure_domain, target or vm")
	}
	return checkName(e, "subject", d.Subject)
}

// validate checks a whole configuration, for example one decoded from a snapshot.
func (c *Config) validate() error {
	if c.Version < 0 {
		return fmt.Errorf("version %d is negative: %w", c.Version, ErrInvalid)
	}
	if err := validateEntities(c.Accounts, KindAccount, (*Account).validate); err != nil {
		return err
	}
	if err := validateEntities(c.Keys, KindKey, func(k *Key) error { return k.validate(c) }); err != nil {
		return err
	}
	if err := validateEntities(c.Routes, KindRoute, func(r *Route) error { return r.validate(c) }); err != nil {
		return err
	}
	if err := validateEntities(c.Shifts, KindShift, func(s *Shift) error { return s.validate(c) }); err != nil {
		return err
	}
	return validateEntities(c.Drains, KindDrain, (*Drain).validate)
}

// validateEntities validates the entities of a map and checks that each is stored
// under its own name.
func validateEntities[P interface {
	comparable
	name() string
}](entities map[string]P, kind Kind, validate func(P) error) error {
	var zero P
	for name, v := range entities {
		if v == zero || v.name() != name {
			return fmt.Errorf("%v is null or stored under another name: %w", Entity{kind, name}, ErrInvalid)
		}
		if err := validate(v); err != nil {
			return err
		}
	}
	return nil
}
