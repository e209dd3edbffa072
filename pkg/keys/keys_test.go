package keys

import (
	"net/http"
	"strings"
	"testing"

	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/outcome"
)

// snapshot returns a configuration snapshot with one account and one key, and the
// key's ID and text.
func snapshot(t testing.TB) (config.Snapshot, string, string) {
	key, text := New("moara")
	c := config.Empty()
	c.Accounts["moara"] = &config.Account{Name: "moara", Rate: 1, Burst: 1, Weight: 1}
	c.Keys[key.ID] = &key
	return config.Snapshot{Config: c, Fresh: true}, key.ID, text
}

func TestAuthenticate(t *testing.T) {
	s, _, text := snapshot(t)
	_, other := New("moara")
	id, secret, ok := Parse(text)
	if !ok {
		t.Fatalf("Parse rejects a key that New returned")
	}
	changed := Prefix + id + "_" + strings.Repeat("a", len(secret))
	for _, tc := range []struct {
		name, header string
		status       int
	}{
		{"valid", "Bearer " + text, 0},
		{"lower-case scheme", "bearer " + text, 0},
		{"missing", "", http.StatusUnauthorized},
		{"other scheme", "Basic " + text, http.StatusUnauthorized},
		{"no scheme", text, http.StatusUnauthorized},
		{"never granted", "Bearer " + other, http.StatusUnauthorized},
		{"other secret", "Bearer " + changed, http.StatusUnauthorized},
		{"cut short", "Bearer " + text[:len(text)-1], http.StatusUnauthorized},
		{"too long", "Bearer " + text + "a", http.StatusUnauthorized},
		{"huge", "Bearer " + strings.Repeat("a", 1<<20), http.StatusUnauthorized},
	} {
		account, refusal := Authenticate(s, tc.header)
		if tc.status == 0 {
			if refusal != nil || account.Name != "moara" {
				t.Errorf("%s: %v", tc.name, refusal)
			}
			continue
		}
		if refusal == nil || refusal.Status != tc.status || refusal.Outcome != outcome.NotRun {
			t.Errorf("%s: %v", tc.name, refusal)
			continue
		}
		if strings.Contains(refusal.Error(), secret) {
			t.Errorf("%s: the refusal contains the secret", tc.name)
		}
	}
}

func TestAuthenticateStale(t *testing.T) {
	s, _, text := snapshot(t)
	s.Fresh = false
	_, refusal := Authenticate(s, "Bearer "+text)
	if refusal == nil || refusal.Reason != outcome.ReasonStale || refusal.RetryAfter <= 0 {
		t.Errorf("stale snapshot: refusal %v, want reason ReasonStale with a retry delay", refusal)
	}
}

func TestAuthenticateWithdrawn(t *testing.T) {
	s, id, text := snapshot(t)
	if _, refusal := Authenticate(s, "Bearer "+text); refusal != nil {
		t.Fatal(refusal)
	}
	next, err := s.Apply(config.Change{Version: 1, Action: config.Action{Key: config.Delete[config.Key](id)}})
	if err != nil {
		t.Fatal(err)
	}
	_, refusal := Authenticate(config.Snapshot{Config: next, Fresh: true}, "Bearer "+text)
	if refusal == nil || refusal.Status != http.StatusUnauthorized {
		t.Errorf("withdrawn key: refusal %v, want status 401", refusal)
	}
}

func TestAuthenticateDeletedAccount(t *testing.T) {
	s, _, text := snapshot(t)
	delete(s.Accounts, "moara")
	_, refusal := Authenticate(s, "Bearer "+text)
	if refusal == nil || refusal.Status != http.StatusForbidden {
		t.Errorf("deleted account: refusal %v, want status 403", refusal)
	}
}

func TestRedact(t *testing.T) {
	_, text := New("moara")
	id, secret, _ := Parse(text)
	for _, s := range []string{
		text,
		"Authorization: Bearer " + text + "\r\n",
		"/path?key=" + strings.ReplaceAll(text, "_", "%5F"),
		strings.ToUpper(text),
		text[:len(text)-10],
		text + text,
		"crk__" + secret,
	} {
		got := Redact(s)
		if strings.Contains(strings.ToLower(got), secret[:8]) {
			t.Errorf("Redact(%q) = %q", s, got)
		}
	}
	if got := Redact("key " + text); !strings.Contains(got, id) {
		t.Errorf("the public ID is redacted: %q", got)
	}
	if got := Redact("nothing here"); got != "nothing here" {
		t.Errorf("Redact changed a text without a key to %q", got)
	}
}

func FuzzAuthenticate(f *testing.F) {
	s, _, text := snapshot(f)
	f.Add("Bearer " + text)
	f.Add("Bearer crk_")
	f.Fuzz(func(t *testing.T, header string) {
		account, refusal := Authenticate(s, header)
		if (account == nil) == (refusal == nil) {
			t.Fatalf("account %v, refusal %v", account, refusal)
		}
		if account != nil && !strings.Contains(header, text) {
			t.Fatalf("header %q was accepted", header)
		}
	})
}

func BenchmarkAuthenticate(b *testing.B) {
	s, _, text := snapshot(b)
	header := "Bearer " + text
	b.ReportAllocs()
	for b.Loop() {
		if _, refusal := Authenticate(s, header); refusal != nil {
			b.Fatal(refusal)
		}
	}
}
