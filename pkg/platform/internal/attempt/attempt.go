// Package attempt classifies the failures of HTTP calls to the platform: a
// call that never had a connection cannot have taken effect, all others may.
package attempt

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"

	"crocusramp.dev/crocusramp/pkg/platform"
)

const (
	// dialTimeout bounds connecting to the service.
	dialTimeout = time.Second
	// idleTimeout closes connections that the service may have forgotten.
	idleTimeout = 30 * time.Second
	// maxIdleConnections bounds the connections that are kept for reuse.
	maxIdleConnections = 64
)

// NewClient returns an HTTP client for one service of the platform. It uses no
// proxy and follows no redirect, so that it connects to the endpoint alone.
func NewClient() *http.Client {
	d := net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         d.DialContext,
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     idleTimeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Attempt follows one call.
type Attempt struct {
	connected atomic.Bool
}

// Start returns a context that follows the call made with it.
func Start(ctx context.Context) (context.Context, *Attempt) {
	a := &Attempt{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), a
}

// ReadError returns err as a failed read.
func ReadError(err error) error {
	return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
}

// WriteError returns err as a failed write: unavailable where the write cannot
// have taken effect, otherwise indeterminate.
func (a *Attempt) WriteError(err error) error {
	if !a.connected.Load() || refused(err) {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", platform.ErrIndeterminate, err)
}

// refused reports whether the service answered that it refused the request.
// A 5xx answer says nothing about what the service did before it.
func refused(err error) bool {
	status := answerStatus(err)
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError &&
		status != http.StatusRequestTimeout
}

// Answered reports whether err is an answer of the service.
func Answered(err error) bool { return answerStatus(err) != 0 }

// answerStatus returns the status of the service's answer, or 0 without one.
func answerStatus(err error) int {
	var r *awshttp.ResponseError
	if !errors.As(err, &r) {
		return 0
	}
	return r.HTTPStatusCode()
}
