// Package tunnel carries connections to targets through other VMs, for a VM that cannot reach the
// targets itself. The VM sends an HTTP CONNECT request that names a target to the peers' listener of
// another VM, which looks up the address in its own list of targets and copies the bytes of both sides.
package tunnel

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
)

// Target names one incarnation of a target.
type Target struct {
	ID string
	// StartedAt is the start time in Unix milliseconds; 0 if unknown.
	StartedAt int64
}

const (
	// headerStartedAt is the request header with the target's start time.
	headerStartedAt = "X-Crocusramp-Target-Started-At"
	// headerResult is the response header with the result. Responses without it come from something
	// other than a Server.
	headerResult = "X-Crocusramp-Tunnel"
	// authorityPort makes the encoded ID a valid authority. The target's port is in the peer's list.
	authorityPort = ":0"
)

// result is the value of headerResult.
type result string

const (
	resultOpened      result = "opened"
	resultUnknown     result = "unknown-target"
	resultRefused     result = "refused"
	resultUnreachable result = "unreachable"
	resultDeclined    result = "declined"
)

// status returns the HTTP status sent with the result.
func (r result) status() int {
	switch r {
	case resultOpened:
		return http.StatusOK
	case resultUnknown:
		return http.StatusNotFound
	case resultRefused, resultUnreachable:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// authority returns the authority that names a target in a CONNECT request. IDs are opaque text, so the
// ID is hex-encoded.
func authority(id string) string { return hex.EncodeToString([]byte(id)) + authorityPort }

// parseTarget returns the target that a CONNECT request names.
func parseTarget(r *http.Request) (Target, error) {
	encoded, ok := strings.CutSuffix(r.Host, authorityPort)
	id, err := hex.DecodeString(encoded)
	if !ok || err != nil || len(id) == 0 {
		return Target{}, fmt.Errorf("malformed target %q", r.Host)
	}
	startedAt, err := strconv.ParseInt(r.Header.Get(headerStartedAt), 10, 64)
	if err != nil {
		return Target{}, fmt.Errorf("malformed start time: %w", err)
	}
	return Target{ID: string(id), StartedAt: startedAt}, nil
}

// Reason is why a tunnel was not opened. Metrics are named after the reasons.
type Reason string

const (
	// PeerFailed: no connection to the peer, no response, or a response that is not a tunnel's.
	PeerFailed Reason = "peer_failed"
	// PeerDeclined: the peer carries no more connections, cannot open one itself, or its version has no tunnels.
	PeerDeclined Reason = "peer_declined"
	// TargetRefused: the target refused the peer's connection.
	TargetRefused Reason = "target_refused"
	// TargetUnreachable: the target did not respond to the peer.
	TargetUnreachable Reason = "target_unreachable"
	// UnknownTarget: the peer does not list the target, or the target accepts no requests.
	UnknownTarget Reason = "unknown_target"
	// ContextEnded: the context ended first. This says nothing about the peer or the target.
	ContextEnded Reason = "context_ended"
)

// Error tells why a tunnel was not opened.
type Error struct {
	Reason Reason
	Err    error
}

func (e *Error) Error() string { return fmt.Sprintf("tunnel: %s: %v", e.Reason, e.Err) }

// Unwrap returns the cause, except for a failure of the peer: a peer that refuses connections must not
// be mistaken for a target that does.
func (e *Error) Unwrap() error {
	if e.Reason == PeerFailed {
		return nil
	}
	return e.Err
}

// ErrDeclined is returned by ServerConfig.Dial if the failure may be due to the links of the VM itself.
var ErrDeclined = errors.New("this VM cannot tell whether the target is at fault")

// resultOf returns the result of a failed dial of a target. Only silence shows that the target is unreachable;
// other errors are those of the VM itself, which lacks descriptors or ports for example.
func resultOf(dialError error) result {
	var netErr net.Error
	timedOut := errors.As(dialError, &netErr) && netErr.Timeout()
	switch {
	case errors.Is(dialError, ErrDeclined):
		return resultDeclined
	case errors.Is(dialError, syscall.ECONNREFUSED):
		return resultRefused
	case timedOut, errors.Is(dialError, syscall.EHOSTUNREACH):
		return resultUnreachable
	default:
		return resultDeclined
	}
}

// responseError returns the error that a response reports, or nil if the tunnel is open.
func responseError(resp *http.Response) *Error {
	got := result(resp.Header.Get(headerResult))
	if got == "" {
		return foreignResponse(resp.StatusCode)
	}
	if resp.StatusCode != got.status() {
		return &Error{PeerFailed, fmt.Errorf("result %q with status %d", got, resp.StatusCode)}
	}
	switch got {
	case resultOpened:
		return nil
	case resultUnknown:
		return &Error{UnknownTarget, errors.New("the peer does not list the target")}
	case resultRefused:
		return &Error{TargetRefused, syscall.ECONNREFUSED}
	case resultUnreachable:
		return &Error{TargetUnreachable, errUnreachable}
	case resultDeclined:
		return &Error{PeerDeclined, errors.New("the peer carries no more connections")}
	default:
		return &Error{PeerFailed, fmt.Errorf("unknown result %q", got)}
	}
}

// foreignResponse returns the error for a response that no Server sent.
func foreignResponse(status int) *Error {
	switch status {
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return &Error{PeerDeclined, fmt.Errorf("the peer has no tunnels: status %d", status)}
	default:
		return &Error{PeerFailed, fmt.Errorf("unexpected response: status %d", status)}
	}
}

// errUnreachable is a timeout for users of net.Error: the target neither accepted nor refused.
var errUnreachable net.Error = unreachableError{}

type unreachableError struct{}

func (unreachableError) Error() string   { return "the peer cannot reach the target" }
func (unreachableError) Timeout() bool   { return true }
func (unreachableError) Temporary() bool { return true }
