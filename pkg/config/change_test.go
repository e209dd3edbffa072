package config

import (
	"bytes"
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/uuid"
	"pgregory.net/rapid"
)

var (
	account = Account{Name: "moara", Rate: 100, Burst: 20, Weight: 1}
	key     = Key{ID: "k1", Account: "moara", Salt: make([]byte, 16), Hash: make([]byte, 32)}
	route   = Route{Name: "lookup", PathPrefix: "/certificates", Pool: "registru", Mode: ModeIdempotent, Priority: PriorityHigh, Timeout: time.Second}
	shift   = Shift{Name: "s1", Pool: "registru", From: "muntenia", To: "moldova", CapPercent: 10}
	drain   = Drain{Name: "d1", Kind: DrainRegion, Subject: "moldova"}
)

// fullConfig returns a configuration with one entity of each kind.
func fullConfig(t testing.TB) *Config {
	c := Empty()
	for _, a := range []Action{
		{Account: Create(account.Name, account)},
		{Key: Create(key.ID, key)},
		{Route: Create(route.Name, route)},
		{Shift: Create(shift.Name, shift)},
		{Drain: Create(drain.Name, drain)},
	} {
		c = mustApply(t, c, a)
	}
	return c
}

func mustApply(t testing.TB, c *Config, a Action) *Config {
	t.Helper()
	next, err := c.Apply(Change{Version: c.Version + 1, Action: a})
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// modified returns a copy of v with the edit applied.
func modified[T any](v T, edit func(*T)) T {
	edit(&v)
	return v
}

func TestApplyRefuses(t *testing.T) {
	putAccount := func(edit func(*Account)) Action {
		a := modified(account, edit)
		return Action{Account: Update(a.Name, a)}
	}
	newAccount := func(name string) Action {
		return Action{Account: Create(name, Account{Name: name, Rate: 1, Burst: 1, Weight: 1})}
	}
	putRoute := func(edit func(*Route)) Action {
		r := modified(route, edit)
		return Action{Route: Update(r.Name, r)}
	}
	putShift := func(edit func(*Shift)) Action {
		s := modified(shift, edit)
		return Action{Shift: Update(s.Name, s)}
	}
	for _, tc := range []struct {
		name   string
		action Action
		want   error
		text   string
	}{
		{"no action", Action{}, ErrInvalid, "0 actions"},
		{"two actions", Action{Account: Delete[Account]("a"), Drain: Delete[Drain]("b")}, ErrInvalid, "2 actions"},
		{"unknown op", Action{Account: &Edit[Account]{Op: "upsert", Name: "a"}}, ErrInvalid, `op "upsert"`},
		{"create without value", Action{Account: &Edit[Account]{Op: OpCreate, Name: "a"}}, ErrInvalid, "wrong value"},
		{"account exists", Action{Account: Create("moara", account)}, ErrExists, `account "moara" exists already`},
		{"account missing", Action{Account: Delete[Account]("x")}, ErrNotFound, `account "x" does not exist`},
		{"names differ", Action{Account: Create("x", account)}, ErrInvalid, "does not match"},
		{"empty name", newAccount(""), ErrInvalid, "is empty"},
		{"newline in name", newAccount("a\nb"), ErrInvalid, "unprintable"},
		{"escape in name", newAccount("a\x1b[2J"), ErrInvalid, "unprintable"},
		{"right-to-left override", newAccount("a\u202eb"), ErrInvalid, "unprintable"},
		{"zero-width space", newAccount("a\u200bb"), ErrInvalid, "unprintable"},
		{"invalid UTF-8", newAccount("a\xff"), ErrInvalid, "UTF-8"},
		{"outer space", newAccount(" a"), ErrInvalid, "spaces"},
		{"no-break space", newAccount("a\u00a0b"), ErrInvalid, "unprintable"},
		{"decomposed", newAccount("e\u0301"), ErrInvalid, "normal form"},
		{"long name", newAccount(strings.Repeat("ș", 65)), ErrInvalid, "longer than 128"},
		{"key as name", newAccount("CRK_a_b"), ErrInvalid, "looks like a key"},
		{"zero rate", putAccount(func(a *Account) { a.Rate = 0 }), ErrInvalid, `rate "0"`},
		{"negative zero rate", putAccount(func(a *Account) { a.Rate = math.Copysign(0, -1) }), ErrInvalid, "rate"},
		{"negative rate", putAccount(func(a *Account) { a.Rate = -1 }), ErrInvalid, `rate "-1" must be above 0`},
		{"NaN rate", putAccount(func(a *Account) { a.Rate = math.NaN() }), ErrInvalid, "rate"},
		{"infinite rate", putAccount(func(a *Account) { a.Rate = math.Inf(1) }), ErrInvalid, "rate"},
		{"huge rate", putAccount(func(a *Account) { a.Rate = 1e300 }), ErrInvalid, "rate"},
		{"NaN burst", putAccount(func(a *Account) { a.Burst = math.NaN() }), ErrInvalid, "burst"},
		{"burst below 1", putAccount(func(a *Account) { a.Burst = 0.5 }), ErrInvalid, "burst"},
		{"zero weight", putAccount(func(a *Account) { a.Weight = 0 }), ErrInvalid, "weight"},
		{"key of no account", Action{Key: Create("k2", modified(key, func(k *Key) { k.ID, k.Account = "k2", "x" }))}, ErrNotFound, `account "x"`},
		{"key updated", Action{Key: Update("k1", key)}, ErrInvalid, "cannot be updated"},
		{"key with short hash", Action{Key: Create("k2", modified(key, func(k *Key) { k.ID, k.Hash = "k2", nil }))}, ErrInvalid, "hash length"},
		{"relative path", putRoute(func(r *Route) { r.PathPrefix = "x" }), ErrInvalid, "must begin with /"},
		{"dotted path", putRoute(func(r *Route) { r.PathPrefix = "/a/../b" }), ErrInvalid, "segment"},
		{"double slash", putRoute(func(r *Route) { r.PathPrefix = "/a//b" }), ErrInvalid, "segment"},
		{"query in path", putRoute(func(r *Route) { r.PathPrefix = "/a?b" }), ErrInvalid, "has one of"},
		{"control in path", putRoute(func(r *Route) { r.PathPrefix = "/a\x00" }), ErrInvalid, "unprintable"},
		{"lower-case method", putRoute(func(r *Route) { r.Methods = []string{"get"} }), ErrInvalid, "methods"},
		{"method twice", putRoute(func(r *Route) { r.Methods = []string{"GET", "GET"} }), ErrInvalid, "twice"},
		{"unknown mode", putRoute(func(r *Route) { r.Mode = "maybe" }), ErrInvalid, `mode "maybe"`},
		{"no priority", putRoute(func(r *Route) { r.Priority = "" }), ErrInvalid, "priority"},
		{"zero timeout", putRoute(func(r *Route) { r.Timeout = 0 }), ErrInvalid, "timeout"},
		{"same path and method", Action{Route: Create("r2", modified(route, func(r *Route) { r.Name, r.Methods = "r2", []string{"GET"} }))}, ErrInvalid, `route "lookup"`},
		{"shift to itself", putShift(func(s *Shift) { s.To = s.From }), ErrInvalid, "must differ"},
		{"cap above 100", putShift(func(s *Shift) { s.CapPercent = 100.1 }), ErrInvalid, "cap_percent"},
		{"NaN cap", putShift(func(s *Shift) { s.CapPercent = math.NaN() }), ErrInvalid, "cap_percent"},
		{"second shift of pool and region", Action{Shift: Create("s2", modified(shift, func(s *Shift) { s.Name, s.To = "s2", "transilvania" }))}, ErrInvalid, `shift "s1"`},
		{"unknown drain kind", Action{Drain: Create("d2", Drain{Name: "d2", Kind: "planet", Subject: "x"})}, ErrInvalid, "kind"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := fullConfig(t)
			next, err := c.Apply(Change{Version: c.Version + 1, Action: tc.action})
			if !errors.Is(err, tc.want) || !strings.Contains(err.Error(), tc.text) {
				t.Errorf("error %v, want %v with %q", err, tc.want, tc.text)
			}
			if next != nil {
				t.Error("a refused change returned a configuration")
			}
		})
	}
}

func TestApplyAcceptsNames(t *testing.T) {
	for _, name := range []string{"Agenția Națională", "製紙", "مصنع", "🧻 tubes", "a.b/c:d"} {
		a := modified(account, func(a *Account) { a.Name = name })
		mustApply(t, Empty(), Action{Account: Create(name, a)})
	}
}

func TestApplyRequiresNextVersion(t *testing.T) {
	c := fullConfig(t)
	for _, v := range []int64{0, c.Version, c.Version + 2} {
		if _, err := c.Apply(Change{Version: v, Action: Action{Drain: Delete[Drain]("d1")}}); !errors.Is(err, ErrVersion) {
			t.Errorf("version %d: %v", v, err)
		}
	}
}

func TestDeleteAccountDeletesKeys(t *testing.T) {
	c := fullConfig(t)
	next := mustApply(t, c, Action{Account: Delete[Account]("moara")})
	if len(next.Keys) != 0 || len(c.Keys) != 1 {
		t.Errorf("keys after %d, before %d", len(next.Keys), len(c.Keys))
	}
}

// Apply must never modify the configuration that it is called on, although the
// result shares the unmodified maps. Encoding must be deterministic and lossless,
// and a decoded change must have the same effect as the original.
func TestApplyProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Empty()
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			before, err := c.Encode()
			if err != nil {
				t.Fatal(err)
			}
			ch := Change{ID: uuid.New(), Version: c.Version + 1, Action: drawAction(t)}
			next, applyErr := c.Apply(ch)
			after, err := c.Encode()
			if err != nil || !bytes.Equal(before, after) {
				t.Fatalf("Apply changed its receiver: %v", err)
			}
			if applyErr != nil {
				continue
			}
			data, err := EncodeChange(ch)
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := DecodeChange(data)
			if err != nil {
				t.Fatal(err)
			}
			again, err := c.Apply(decoded)
			if err != nil {
				t.Fatalf("the decoded change is refused: %v", err)
			}
			if diff := cmp.Diff(next, again); diff != "" {
				t.Fatalf("the decoded change has a different result: %s", diff)
			}
			c = next
			checkRoundTrip(t, c)
		}
	})
}

func checkRoundTrip(t *rapid.T, c *Config) {
	data, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	d, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(c, d); diff != "" {
		t.Fatalf("decoded configuration differs: %s", diff)
	}
}

func drawAction(t *rapid.T) Action {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		return Action{Account: drawEdit(t, name, Account{
			Name: name, Rate: rapid.Float64Range(-1, 10).Draw(t, "rate"), Burst: 1, Weight: 1,
		})}
	case 1:
		return Action{Key: drawEdit(t, name, modified(key, func(k *Key) {
			k.ID, k.Account = name, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account")
		}))}
	case 2:
		return Action{Route: drawEdit(t, name, modified(route, func(r *Route) {
			r.Name, r.PathPrefix = name, rapid.SampledFrom([]string{"/", "/x", "/x/"}).Draw(t, "path")
		}))}
	case 3:
		return Action{Shift: drawEdit(t, name, modified(shift, func(s *Shift) {
			s.Name, s.From = name, rapid.SampledFrom([]string{"m", "n"}).Draw(t, "from")
		}))}
	default:
		return Action{Drain: drawEdit(t, name, modified(drain, func(d *Drain) { d.Name = name }))}
	}
}

func drawEdit[T any](t *rapid.T, name string, value T) *Edit[T] {
	switch rapid.IntRange(0, 2).Draw(t, "op") {
	case 0:
		return Create(name, value)
	case 1:
		return Update(name, value)
	default:
		return Delete[T](name)
	}
}

func TestDecodeRefuses(t *testing.T) {
	valid, err := fullConfig(t).Encode()
	if err != nil {
		t.Fatal(err)
	}
	for name, data := range map[string]string{
		"empty":          "",
		"null":           "null",
		"no config":      `{"format":1}`,
		"other format":   strings.Replace(string(valid), `"format":1`, `"format":2`, 1),
		"unknown field":  strings.Replace(string(valid), `"rate":100`, `"rate":100,"color":"red"`, 1),
		"trailing data":  string(valid) + "{}",
		"invalid entity": strings.Replace(string(valid), `"rate":100`, `"rate":-1`, 1),
		"null entity":    `{"format":1,"config":{"version":1,"accounts":{"a":null},"keys":{},"routes":{},"shifts":{},"drains":{}}}`,
		"renamed entity": strings.Replace(string(valid), `{"moara":`, `{"other":`, 1),
	} {
		if c, err := Decode([]byte(data)); err == nil {
			t.Errorf("%s: decoded to %+v", name, c)
		}
	}
}

func FuzzDecode(f *testing.F) {
	c := fullConfig(f)
	data, err := c.Encode()
	if err != nil {
		f.Fatal(err)
	}
	change, err := EncodeChange(Change{ID: uuid.New(), Version: 1, Action: Action{Account: Create("moara", account)}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(change)
	f.Fuzz(func(t *testing.T, data []byte) {
		if c, err := Decode(data); err == nil {
			again, err := c.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if d, err := Decode(again); err != nil || !cmp.Equal(c, d) {
				t.Fatalf("round trip: %v", err)
			}
		}
		if ch, err := DecodeChange(data); err == nil {
			base := fullConfig(t)
			base.Version = ch.Version - 1
			if _, err := base.Apply(ch); err == nil {
				if _, err := EncodeChange(ch); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}
