// Package keys creates, verifies and redacts the API keys of client accounts.
//
// A key is "crk_<id>_<secret>". The ID is public. The secret has 256 random bits,
// so a single SHA-256 over salt and secret cannot be brute-forced, and a slow
// password hash would only add latency to each request. Verification takes about as
// long as a cache lookup, so there is no cache of verified keys that could outlive
// the withdrawal of a key.
package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base32"
	"net/http"
	"regexp"
	"strings"
	"time"

	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/outcome"
)

const (
	// Prefix starts every key, so that secret scanners recognise a leaked one.
	Prefix = "crk_"

	idBytes     = 10 // 16 characters
	secretBytes = 32 // 52 characters
	saltBytes   = 16

	idLength     = 16
	secretLength = 52
	// maxHashInput bounds the length of salt and secret together. Validation
	// keeps them below it.
	maxHashInput = 256

	// staleRetryAfter is the retry delay for a caller that was refused because the
	// VM's configuration is stale.
	staleRetryAfter = time.Second
)

var encoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// New returns a new key of the account, to be stored, and its text, which callers
// present. The text is not stored anywhere.
func New(account string) (config.Key, string) {
	id := randomText(idBytes)
	secret := randomText(secretBytes)
	salt := make([]byte, saltBytes)
	rand.Read(salt) // never returns an error: it crashes the program instead
	sum := hash(salt, secret)
	key := config.Key{
		ID:      id,
		Account: account,
		Salt:    salt,
		Hash:    sum[:],
		Created: time.Now().UTC().Truncate(time.Millisecond),
	}
	return key, Prefix + id + "_" + secret
}

func randomText(n int) string {
	b := make([]byte, n)
	rand.Read(b)
	return encoding.EncodeToString(b)
}

func hash(salt []byte, secret string) [sha256.Size]byte {
	var buf [maxHashInput]byte
	n := copy(buf[:], salt)
	n += copy(buf[n:], secret)
	return sha256.Sum256(buf[:n])
}

// Verify reports whether the secret belongs to the key. It compares in constant time.
func Verify(k *config.Key, secret string) bool {
	sum := hash(k.Salt, secret)
	return subtle.ConstantTimeCompare(sum[:], k.Hash) == 1
}

// Parse splits the text of a key into ID and secret. ok is false if the text is not a
// key.
func Parse(text string) (id, secret string, ok bool) {
	rest, ok := strings.CutPrefix(text, Prefix)
	if !ok || len(rest) != idLength+1+secretLength || rest[idLength] != '_' {
		return "", "", false
	}
	return rest[:idLength], rest[idLength+1:], true
}

// Authenticate returns the client account of the key in the Authorization header,
// according to the newest configuration that this VM has. It accepts no key if the
// snapshot is stale, because the snapshot may lack the withdrawal of the key.
func Authenticate(s config.Snapshot, authorization string) (*config.Account, *outcome.Refusal) {
	id, secret, refusal := credentials(authorization)
	if refusal != nil {
		return nil, refusal
	}
	if !s.Fresh {
		return nil, outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonStale, staleRetryAfter,
			"this VM cannot tell whether the key has been withdrawn")
	}
	key := s.Keys[id]
	if key == nil || !Verify(key, secret) {
		return nil, unauthenticated("the key is unknown or withdrawn")
	}
	account := s.Accounts[key.Account]
	if account == nil {
		return nil, outcome.Refuse(http.StatusForbidden, outcome.ReasonForbidden, 0, "the client account does not exist")
	}
	return account, nil
}

func credentials(authorization string) (id, secret string, refusal *outcome.Refusal) {
	if authorization == "" {
		return "", "", unauthenticated("the Authorization header is missing")
	}
	scheme, text, _ := strings.Cut(authorization, " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return "", "", unauthenticated("the Authorization header must be \"Bearer KEY\"")
	}
	id, secret, ok := Parse(strings.TrimSpace(text))
	if !ok {
		return "", "", unauthenticated("the key is malformed")
	}
	return id, secret, nil
}

func unauthenticated(detail string) *outcome.Refusal {
	return outcome.Refuse(http.StatusUnauthorized, outcome.ReasonUnauthenticated, 0, detail)
}

// keyPattern matches complete and damaged keys, also percent-encoded ones, together
// with any directly following key characters, which may be another key.
var keyPattern = regexp.MustCompile(`(?i)(crk(?:_|%5f)[0-9a-z]{0,64}(?:_|%5f))(?:[0-9a-z_]|%5f)+`)

// Redact replaces the secret of everything in s that looks like a key and keeps its
// ID. It is meant for logs and error messages.
func Redact(s string) string {
	return keyPattern.ReplaceAllString(s, "${1}[redacted]")
}
