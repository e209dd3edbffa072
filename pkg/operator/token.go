package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"

	"github.com/twitchtv/twirp"
)

// MinTokenBytes is the shortest token that operators should use. Tokens are random, so a single
// SHA-256 of one cannot be brute-forced.
const MinTokenBytes = 16

// HashToken returns the hash of an operator's token in the form used in the settings: SHA-256 in
// hexadecimal.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// CheckTokenHash returns an error if s is not the hash of a token.
func CheckTokenHash(s string) error {
	if b, err := hex.DecodeString(s); err != nil || len(b) != sha256.Size {
		return fmt.Errorf("token hash must be %d hexadecimal digits (SHA-256 of the token)", hex.EncodedLen(sha256.Size))
	}
	return nil
}

// RequireToken returns middleware that accepts only calls whose bearer token has one of the hashes.
// Malformed hashes are ignored.
func RequireToken(hashes []string) func(http.Handler) http.Handler {
	var accepted [][]byte
	for _, h := range hashes {
		if b, err := hex.DecodeString(h); err == nil && len(b) == sha256.Size {
			accepted = append(accepted, b)
		}
	}
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !hasAcceptedToken(r, accepted) {
				_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "a valid operator token is required"))
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}

// hasAcceptedToken reports whether the request's bearer token has one of the accepted hashes. It
// compares the token against every hash in constant time.
func hasAcceptedToken(r *http.Request, accepted [][]byte) bool {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return false
	}
	sum := sha256.Sum256([]byte(strings.TrimSpace(token)))
	found := 0
	for _, h := range accepted {
		found |= subtle.ConstantTimeCompare(sum[:], h)
	}
	return found == 1
}
