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

// MinTokenBytes is the shortest token that operators should use. Tokens are
// random, so that one round of SHA-256 cannot be searched.
const MinTokenBytes = 16

// HashToken returns the hash of an operator's token as settings hold it:
// SHA-256 in hexadecimal.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// CheckTokenHash returns an error where the text is not the hash of a token.
func CheckTokenHash(s string) error {
	if b, err := hex.DecodeString(s); err != nil || len(b) != sha256.Size {
		return fmt.Errorf("token hash must be %d hexadecimal digits (SHA-256 of the token)", hex.EncodedLen(sha256.Size))
	}
	return nil
}

// RequireToken returns middleware that admits calls whose bearer token has one
// of the hashes. A malformed hash admits no token.
func RequireToken(hashes []string) func(http.Handler) http.Handler {
	var accepted [][]byte
	for _, h := range hashes {
		if b, err := hex.DecodeString(h); err == nil && len(b) == sha256.Size {
			accepted = append(accepted, b)
		}
	}
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !holdsToken(r, accepted) {
				_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "a valid operator token is required"))
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}

// holdsToken compares against every hash, in constant time.
func holdsToken(r *http.Request, accepted [][]byte) bool {
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
