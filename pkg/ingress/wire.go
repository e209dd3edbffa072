package ingress

import (
	"net/http"
	"time"

	"crocusramp.dev/crocusramp/pkg/target"
)

// CallerInfo is the information about a request in the caller's headers.
type CallerInfo struct {
	// ID identifies the caller's attempt; each attempt has its own.
	ID string
	// Timeout is how long the caller waits; 0 if unknown.
	Timeout time.Duration
	// KeyID is the ID, in the configuration, of the key that the caller presented.
	KeyID string
	// Object names what the request concerns. Requests for an object run faster on a target that
	// has handled it recently.
	Object string
}

// TargetInfo is the information that a target receives in addition to the request.
type TargetInfo struct {
	// InstanceID identifies the only target that may run the request.
	InstanceID string
	Account    string
	// Timeout is how long this VM waits for the response.
	Timeout time.Duration
}

// ResponseInfo is the information about a target in its response.
type ResponseInfo struct {
	// Sealed is set if the response carries the target's signature.
	Sealed bool
	// NotRun is set if the target did not run the request and never will.
	NotRun bool
	// OtherInstance is set if another target uses the address now.
	OtherInstance bool
	InstanceID    string
	// Load is the number of requests that run or wait at the target. It is valid if LoadKnown is
	// set.
	Load      int
	LoadKnown bool
	// ColdFor is how much longer the target stays cold, that is, slow.
	ColdFor time.Duration
	// Limit is the number of requests per second that the target takes from all VMs together. It is
	// not valid if LimitInvalid is set: the response then has a limit that cannot be parsed.
	Limit        target.Limit
	LimitInvalid bool
	// Leaving is set if the target is leaving and takes no new requests.
	Leaving bool
	// RetryAfter is how long a target that refused the request wants no further requests from this
	// VM.
	RetryAfter time.Duration
}

// Wire reads and writes the headers that callers and targets understand.
type Wire interface {
	Caller(h http.Header) CallerInfo
	ToTarget(h http.Header, t TargetInfo)
	// SetTimeout sets how long the target may take, for a request whose header is otherwise complete.
	SetTimeout(h http.Header, d time.Duration)
	FromTarget(status int, h http.Header) ResponseInfo
	// RemoveClaims removes the target's signature and retry time from a response whose status this VM has
	// replaced.
	RemoveClaims(h http.Header)
	SetRetryAfter(h http.Header, after time.Duration)
	// SetRequestID sets the caller's request ID on an answer that this VM generated.
	SetRequestID(h http.Header, id string)
}
