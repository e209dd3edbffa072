package ingress

import (
	"net/http"
	"time"

	"crocusramp.dev/crocusramp/pkg/target"
)

// CallerInfo is what a caller's headers say of a request.
type CallerInfo struct {
	// ID names the caller's attempt; each attempt has its own.
	ID string
	// Patience is how long the caller waits; 0 is unknown.
	Patience time.Duration
	// KeyID is the ID in the configuration of the key that the caller showed.
	KeyID string
	// Object names what the request concerns; requests for one object run
	// faster where it was lately handled.
	Object string
}

// TargetInfo is what a target is told beside the request.
type TargetInfo struct {
	// InstanceID names the only target that may run the request.
	InstanceID string
	Account    string
	// Patience is how long the answer is waited for.
	Patience time.Duration
}

// AnswerInfo is what an answer says of its target.
type AnswerInfo struct {
	// Sealed answers carry the target's signature.
	Sealed bool
	// NotRun says that the target did not run the request and never will.
	NotRun bool
	// OtherInstance says that another target has the address.
	OtherInstance bool
	InstanceID    string
	// Load is how many requests run and wait at the target, if LoadKnown.
	Load      int
	LoadKnown bool
	// ColdFor is how much longer the target is slow.
	ColdFor time.Duration
	// Limit is how many requests a second the target takes from all VMs together. It says
	// nothing where LimitUnclear: then what the answer names is no limit.
	Limit        target.Limit
	LimitUnclear bool
	// Leaving says that the target leaves and takes no new requests.
	Leaving bool
	// RetryAfter is for how long the target, which turned the request away, wants nothing more from
	// this VM.
	RetryAfter time.Duration
}

// Wire translates the headers that callers and targets speak.
type Wire interface {
	Caller(h http.Header) CallerInfo
	ToTarget(h http.Header, t TargetInfo)
	FromTarget(status int, h http.Header) AnswerInfo
	// RemoveSeal makes an answer of the VM's own out of a target's.
	RemoveSeal(h http.Header)
	SetRetryAfter(h http.Header, after time.Duration)
	// Refusal completes the header of an answer of the VM's own.
	Refusal(h http.Header, id string)
}
