package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"crocusramp.dev/crocusramp/pkg/outcome"
)

const (
	// maxDiscarded bounds the number of responses to other requests that an exchange
	// discards, maxDiscardedBytes the bytes that it reads of each.
	maxDiscarded      = 2
	maxDiscardedBytes = 1 << 20
	// keepAliveMargin covers the time that a request takes to reach a target that
	// is about to close the idle connection.
	keepAliveMargin = time.Second
)

// headerRequestID is the header with the request ID that a target echoes.
const headerRequestID = "X-Request-Id"

// Options configure an exchange.
type Options struct {
	// Address is the target's host:port.
	Address string
	// Pool names the idle connections that may be used, and to which the connection returns.
	// Default Address.
	Pool string
	// Dial, if set, replaces the client's dialer. AckTimeout does not hold for its connections.
	Dial func(ctx context.Context) (net.Conn, error)
	// RequireEcho requires the request ID on the response.
	RequireEcho bool
	// AtMostOnce marks a request that must not be retried.
	AtMostOnce bool
	// AbortBody, if set, makes a blocked Read of the request's body return. It is
	// called if the exchange ends before the body was sent.
	AbortBody func()
	// GotConn, if set, is called when the exchange has a connection and has not sent
	// anything on it yet.
	GotConn func(reused bool)
}

// Response is a response whose header has been read. The caller must call Close.
type Response struct {
	*http.Response
	exchange *exchange
	eof      bool
}

// exchange is one request and its response on one connection.
type exchange struct {
	client *Client
	pool   string
	conn   *conn
	abort  func()
	body   *bodyReader
	// detachContext detaches the connection from the context. It returns false if the
	// context has already ended, which makes the connection unusable.
	detachContext func() bool
	// sendResult receives the result of sending the request exactly once.
	sendResult chan error
	// mismatched is true if the connection delivered a response to another request.
	mismatched bool
	ack        *AckGuard
}

// Do sends req and waits for the header of the response. The request's body is
// not read any more after Do has failed or the response has been closed.
func (c *Client) Do(ctx context.Context, req *http.Request, o Options) (*Response, *Error) {
	if err := ctx.Err(); err != nil {
		return nil, &Error{ContextEnded: true, Err: err}
	}
	id := req.Header.Get(c.config.EchoHeader)
	if o.Pool == "" {
		o.Pool = o.Address
	}
	cn, reused, err := c.get(ctx, o, id)
	if err != nil {
		var netErr net.Error
		dialTimedOut := errors.As(err, &netErr) && netErr.Timeout()
		return nil, &Error{ContextEnded: ctx.Err() != nil, NotConnected: true, DialTimedOut: dialTimedOut, Err: fmt.Errorf("connect to target: %w", err)}
	}
	if o.GotConn != nil {
		o.GotConn(reused)
	}
	cn.lastRequestID = id
	x := c.start(ctx, cn, req, o)
	resp, err := x.readMatching(req, o.RequireEcho)
	if err != nil {
		return nil, x.fail(ctx, resp != nil, err)
	}
	cn.keepAlive = keepAlive(resp.Header)
	return &Response{Response: resp, exchange: x}, nil
}

// start starts sending the request. A request with a body is sent in the background.
func (c *Client) start(ctx context.Context, cn *conn, req *http.Request, o Options) *exchange {
	cn.written.Store(0)
	cn.readBudget.Store(c.config.MaxHeaderBytes)
	x := &exchange{client: c, pool: o.Pool, conn: cn, abort: o.AbortBody, sendResult: make(chan error, 1)}
	x.detachContext = context.AfterFunc(ctx, func() { cn.SetDeadline(time.Unix(1, 0)) })
	var bodyBytes int64
	if !bodyless(req) {
		bodyBytes = req.ContentLength
	}
	if cn.ackTimeout > 0 {
		x.ack = NewAckGuard(cn.Conn, cn.ackTimeout, bodyBytes)
	}
	if bodyless(req) {
		x.sendResult <- x.send(req)
		return x
	}
	x.body = &bodyReader{ReadCloser: req.Body}
	req.Body = x.body
	go func() { x.sendResult <- x.send(req) }()
	return x
}

func (x *exchange) send(req *http.Request) error {
	err := req.Write(x.conn.writer)
	if err == nil {
		err = x.conn.writer.Flush()
	}
	if err != nil && x.body != nil && x.body.err != nil {
		// Otherwise the next request on this connection would be read as the rest
		// of the truncated body, or the target would wait for that rest.
		x.conn.Close()
		return fmt.Errorf("%w: %w", ErrCallerBody, x.body.err)
	}
	return err
}

// readMatching reads the header of the response that belongs to the request. With
// SkipMismatched it discards up to maxDiscarded responses before it that belong to other
// requests, or that lack a required request ID.
func (x *exchange) readMatching(req *http.Request, requireEcho bool) (*http.Response, error) {
	for discarded := 0; ; discarded++ {
		resp, err := x.readHeader(req)
		if err == nil {
			err = x.checkResponse(resp, req, requireEcho)
		}
		foreign := errors.Is(err, ErrRequestIDMismatch) || errors.Is(err, ErrNoRequestID)
		if !foreign || !x.client.config.SkipMismatched || discarded == maxDiscarded {
			return resp, err
		}
		if resp.Close || closeDelimited(resp) { // nothing can follow
			return resp, err
		}
		if n, discardErr := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardedBytes+1)); n > maxDiscardedBytes || discardErr != nil {
			return resp, err
		}
		x.mismatched = true
		x.conn.readBudget.Store(x.client.config.MaxHeaderBytes)
	}
}

// keepAlive returns how long the connection may be idle and still be reused according
// to the Keep-Alive header, or 0 if the header does not specify it.
func keepAlive(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n > 0 {
			return time.Duration(n)*time.Second - min(keepAliveMargin, time.Duration(n)*time.Second/2)
		}
	}
	return 0
}

// readHeader reads the header of the next final response and skips informational (1xx)
// ones.
func (x *exchange) readHeader(req *http.Request) (*http.Response, error) {
	for range maxInformational {
		resp, err := http.ReadResponse(x.conn.reader, req)
		if err != nil {
			return nil, err
		}
		switch {
		case !outcome.ValidStatus(resp):
			return resp, fmt.Errorf("%w: %q", ErrInvalidStatus, resp.Status)
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return resp, ErrSwitchedProtocols
		}
		if resp.StatusCode >= http.StatusOK {
			x.conn.readBudget.Store(unlimited)
			return resp, nil
		}
	}
	return nil, errors.New("too many informational responses")
}

// checkResponse rejects a response if it belongs to another request or if it could be
// truncated without notice.
func (x *exchange) checkResponse(resp *http.Response, req *http.Request, requireEcho bool) error {
	want := req.Header.Get(x.client.config.EchoHeader)
	got := resp.Header.Values(x.client.config.EchoHeader)
	if len(got) == 0 && requireEcho {
		return ErrNoRequestID
	}
	for _, id := range got {
		if id != want {
			return ErrRequestIDMismatch
		}
	}
	if closeDelimited(resp) && !x.client.config.AllowCloseDelimited {
		return ErrNoLength
	}
	return nil
}

// closeDelimited reports whether only the end of the connection ends the response's body.
func closeDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// fail closes the connection and describes the failure.
func (x *exchange) fail(ctx context.Context, gotResponse bool, err error) *Error {
	x.detachContext()
	x.ack.End()
	x.conn.Close()
	// Check the context first: waitSent may end the context of an HTTP server's request.
	ctxErr := ctx.Err()
	sendErr := x.waitSent()
	e := &Error{Wrote: x.conn.written.Load() > 0, Err: err}
	if ctxErr != nil {
		e.ContextEnded, e.Err = true, ctxErr
		return e
	}
	if errors.Is(sendErr, ErrCallerBody) {
		e.Err = sendErr
		return e
	}
	e.ConnectionClosed = e.Wrote && !gotResponse && connectionClosed(err)
	return e
}

// waitSent waits until the request's body is no longer read, and returns the result of
// sending the request.
func (x *exchange) waitSent() error {
	select {
	case err := <-x.sendResult:
		return err
	default:
	}
	if x.abort != nil {
		x.abort()
	}
	return <-x.sendResult
}

// Read reads the response's body. If the connection ends before the body does, it
// returns an error other than io.EOF.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	if err == io.EOF && closeDelimited(r.Response) {
		if failure := r.exchange.conn.failureBeforeEOF(); failure != nil {
			err = failure
		}
	}
	if err == io.EOF {
		r.eof = true
	}
	return n, err
}

// Close ends the exchange. It keeps the connection for reuse if the request was sent and
// the response was read completely and cleanly, and closes it otherwise.
func (r *Response) Close() {
	x := r.exchange
	attached := x.detachContext()
	restored := x.ack.End()
	sent := false
	select {
	case err := <-x.sendResult:
		sent = err == nil
	default:
		x.conn.Close()
		x.waitSent()
	}
	identified := x.conn.lastRequestID != ""
	if attached && restored && sent && identified && r.eof && !r.Response.Close && !x.mismatched && x.conn.reader.Buffered() == 0 {
		x.client.put(x.pool, x.conn)
		return
	}
	x.conn.Close()
}

// bodyReader records the error with which reading the caller's body failed.
type bodyReader struct {
	io.ReadCloser
	err error
}

func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		b.err = err
	}
	return n, err
}

// Close does nothing: the server that received the body closes it.
func (b *bodyReader) Close() error { return nil }

// Complete reports whether the body was read completely.
func (r *Response) Complete() bool { return r.eof }
