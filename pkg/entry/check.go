package entry

import (
	"net/http"
	"net/url"
	"regexp"
	"strconv"
	"strings"

	"crocusramp.dev/crocusramp/pkg/outcome"
)

const (
	maxRequestIDBytes = 128
	// minSecretBytes is the minimum length of a credential, or of the secret in it, that
	// is searched for literally.
	minSecretBytes = 8
	// maxUnescapes bounds how often a value is unescaped when it is searched for a
	// key.
	maxUnescapes = 3
)

// clientKeyPattern matches the beginning of a client account key.
var clientKeyPattern = regexp.MustCompile(`(?i)crk_[a-z0-9]+_[a-z0-9]`)

// validRequestID reports whether a caller's request ID may be logged and echoed.
func validRequestID(id string) bool {
	return id != "" && len(id) <= maxRequestIDBytes && printable(id) && !clientKeyPattern.MatchString(id)
}

// printable reports whether s contains only visible ASCII characters.
func printable(s string) bool {
	for _, b := range []byte(s) {
		if b <= ' ' || b > '~' {
			return false
		}
	}
	return true
}

// checkRequest refuses requests that must not reach a target on any route.
func checkRequest(r *http.Request, l *Limits) *outcome.Refusal {
	if size := headerBytes(r); size > l.MaxHeaderBytes {
		return outcome.Refuse(http.StatusRequestHeaderFieldsTooLarge, outcome.ReasonTooLarge, 0,
			"The request's header is too large.")
	}
	if r.ContentLength > l.MaxBodyBytes {
		return outcome.Refuse(http.StatusRequestEntityTooLarge, outcome.ReasonTooLarge, 0,
			"The request's body is too large.")
	}
	if r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "" {
		return badRequest("Tunnels and protocol upgrades are not supported.")
	}
	if !plainPath(r.URL) {
		return badRequest("The path must be absolute, without empty, \".\" or \"..\" segments or escaped separators.")
	}
	if leaksKey(r) {
		return badRequest("A client account key may only be in the Authorization header.")
	}
	return nil
}

func headerBytes(r *http.Request) int {
	return len(r.Method) + len(r.RequestURI) + len(r.Host) + headerFieldBytes(r.Header)
}

// headerFieldBytes returns the size of a header on the wire.
func headerFieldBytes(h http.Header) int {
	size := 0
	for name, values := range h {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	return size
}

// plainPath reports whether every target interprets the path as the route match did.
// The path "/open/../filings", for example, matches an open route, and a target that
// resolves it would run a request of a route that needs a key.
func plainPath(u *url.URL) bool {
	if !strings.HasPrefix(u.Path, "/") || u.Host != "" {
		return false
	}
	escaped := strings.ToLower(u.EscapedPath())
	for _, s := range []string{"%2f", "%5c", "%00", "%25", "\\", ";"} {
		if strings.Contains(escaped, s) {
			return false
		}
	}
	segments := strings.Split(u.Path[1:], "/")
	for i, s := range segments {
		last := i == len(segments)-1
		if s == "." || s == ".." || (s == "" && !last) {
			return false
		}
	}
	return !strings.ContainsAny(u.Path, "\\\x00\r\n")
}

// leaksKey reports whether the request contains a client account key outside of its
// Authorization header. The body is not searched.
func leaksKey(r *http.Request) bool {
	secrets := secretsOf(r.Header.Get("Authorization"))
	if holdsKey(r.RequestURI, secrets) || holdsKey(r.Host, secrets) || holdsKey(r.Method, secrets) {
		return true
	}
	for name, values := range r.Header {
		if name == "Authorization" {
			continue
		}
		if holdsKey(name, secrets) {
			return true
		}
		for _, v := range values {
			if holdsKey(v, secrets) {
				return true
			}
		}
	}
	return false
}

// secretsOf returns the parts of an Authorization header that no target may
// receive: the credential and the secret in it.
func secretsOf(authorization string) []string {
	_, token, ok := strings.Cut(strings.TrimSpace(authorization), " ")
	if !ok {
		token = authorization
	}
	token = strings.TrimSpace(token)
	var secrets []string
	if len(token) >= minSecretBytes {
		secrets = append(secrets, token)
	}
	if _, secret, ok := cutLast(token, "_"); ok && len(secret) >= minSecretBytes {
		secrets = append(secrets, secret)
	}
	return secrets
}

func cutLast(s, sep string) (before, after string, found bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}

// holdsKey reports whether s contains a key, as is or after unescaping it up to
// maxUnescapes times.
func holdsKey(s string, secrets []string) bool {
	for range maxUnescapes {
		if containsKey(s, secrets) {
			return true
		}
		next := unescape(s)
		if next == s {
			return false
		}
		s = next
	}
	return containsKey(s, secrets)
}

// unescape decodes the percent-escapes in s. Like lenient targets, it leaves malformed
// ones as they are.
func unescape(s string) string {
	if !strings.Contains(s, "%") {
		return s
	}
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		if s[i] == '%' && i+2 < len(s) {
			if code, err := strconv.ParseUint(s[i+1:i+3], 16, 8); err == nil {
				b.WriteByte(byte(code))
				i += 2
				continue
			}
		}
		b.WriteByte(s[i])
	}
	return b.String()
}

func containsKey(s string, secrets []string) bool {
	for _, secret := range secrets {
		if len(s) >= len(secret) && containsFold(s, secret) {
			return true
		}
	}
	return len(s) > len("crk_") && clientKeyPattern.MatchString(s)
}

func containsFold(s, substr string) bool {
	return strings.Contains(strings.ToLower(s), strings.ToLower(substr))
}
