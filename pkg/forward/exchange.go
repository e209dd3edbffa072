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
)

const (
	// maxSkipped and maxSkippedBytes bound the answers to other requests that
	// are read past.
	maxSkipped      = 2
	maxSkippedBytes = 1 << 20
	// keepAliveMargin covers the way of a request to a target that is about to
	// close its idle connection.
	keepAliveMargin = time.Second
)

// headerRequestID carries the id that a target echoes.
const headerRequestID = "X-Request-Id"

// Options say how an exchange is made.
type Options struct {
	// Address is the target's host:port.
	Address string
	// RequireEcho demands the request id on the answer.
	RequireEcho bool
	// Once marks a request that is never sent again.
	Once bool
	// Abort, where set, makes a blocked Read of the request's body return. It
	// is called when the exchange ends before the body was sent.
	Abort func()
	// Connected, where set, is told when the exchange has its connection, before anything
	// is sent on it.
	Connected func(reused bool)
}

// Response is an answer whose header has arrived. Close must be called.
type Response struct {
	*http.Response
	exchange *exchange
	eof      bool
}

// exchange is one request on one connection.
type exchange struct {
	client  *Client
	address string
	conn    *conn
	abort   func()
	body    *bodyReader
	// stop ends the watch on the context; it reports false where the context
	// has ended already and the connection is unusable.
	stop func() bool
	// sent receives the result of sending the request, once.
	sent chan error
	// tainted connections brought an answer to another request.
	tainted bool
}

// Do sends req and waits for the header of the answer. The request's body is
// never read after Do failed or the response was closed.
func (c *Client) Do(ctx context.Context, req *http.Request, o Options) (*Response, *Error) {
	if err := ctx.Err(); err != nil {
		return nil, &Error{Ended: true, Err: err}
	}
	id := req.Header.Get(c.config.EchoHeader)
	t, reused, err := c.get(ctx, o.Address, id, c.idleLimit(o.Once))
	if err != nil {
		var timeout net.Error
		silent := errors.As(err, &timeout) && timeout.Timeout()
		return nil, &Error{Ended: ctx.Err() != nil, Silent: silent, Err: fmt.Errorf("connect to target: %w", err)}
	}
	if o.Connected != nil {
		o.Connected(reused)
	}
	t.carried = id
	x := c.start(ctx, t, req, o)
	resp, err := x.readOwn(req, o.RequireEcho)
	if err != nil {
		return nil, x.fail(ctx, resp != nil, err)
	}
	t.keepAlive = keepAlive(resp.Header)
	return &Response{Response: resp, exchange: x}, nil
}

// start begins to send the request.
func (c *Client) start(ctx context.Context, t *conn, req *http.Request, o Options) *exchange {
	t.written.Store(0)
	t.budget.Store(c.config.MaxHeaderBytes)
	x := &exchange{client: c, address: o.Address, conn: t, abort: o.Abort, sent: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, func() { t.SetDeadline(time.Unix(1, 0)) })
	if bodyless(req) {
		x.sent <- x.send(req)
		return x
	}
	x.body = &bodyReader{ReadCloser: req.Body}
	req.Body = x.body
	go func() { x.sent <- x.send(req) }()
	return x
}

func (x *exchange) send(req *http.Request) error {
	err := req.Write(x.conn.writer)
	if err == nil {
		err = x.conn.writer.Flush()
	}
	if err != nil && x.body != nil && x.body.err != nil {
		// A short body must not be completed by the connection's next user,
		// and the target must not wait for the rest.
		x.conn.Close()
		return fmt.Errorf("%w: %w", ErrCallerBody, x.body.err)
	}
	return err
}

// readOwn reads the header of the request's own answer.
func (x *exchange) readOwn(req *http.Request, requireEcho bool) (*http.Response, error) {
	for skipped := 0; ; skipped++ {
		resp, err := x.readHeader(req)
		if err == nil {
			err = x.checkAnswer(resp, req, requireEcho)
		}
		if !errors.Is(err, ErrCrossed) || !x.client.config.SkipCrossed || skipped == maxSkipped {
			return resp, err
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return resp, err
		}
		if _, discardErr := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes)); discardErr != nil {
			return resp, err
		}
		x.tainted = true
		x.conn.budget.Store(x.client.config.MaxHeaderBytes)
	}
}

// keepAlive returns how long an idle connection may be used again.
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

// readHeader reads the answer's header, past informational ones.
func (x *exchange) readHeader(req *http.Request) (*http.Response, error) {
	for range maxInformational {
		resp, err := http.ReadResponse(x.conn.reader, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, ErrUpgrade
		}
		if resp.StatusCode >= http.StatusOK {
			x.conn.budget.Store(unlimited)
			return resp, nil
		}
	}
	return nil, errors.New("too many informational responses")
}

// checkAnswer refuses answers that are not surely whole and the request's own.
func (x *exchange) checkAnswer(resp *http.Response, req *http.Request, requireEcho bool) error {
	want := req.Header.Get(x.client.config.EchoHeader)
	got := resp.Header.Values(x.client.config.EchoHeader)
	if len(got) == 0 && requireEcho {
		return ErrNoEcho
	}
	for _, id := range got {
		if id != want {
			return ErrCrossed
		}
	}
	unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
	if unframed && !x.client.config.AllowUnframed {
		return ErrNoLength
	}
	return nil
}

// fail closes the connection and describes the failure.
func (x *exchange) fail(ctx context.Context, answered bool, err error) *Error {
	x.stop()
	x.conn.Close()
	// Asked before join, which may end the context of an HTTP server's request.
	ended := ctx.Err()
	sendErr := x.join()
	e := &Error{Wrote: x.conn.written.Load() > 0, Err: err}
	if ended != nil {
		e.Ended, e.Err = true, ended
		return e
	}
	if errors.Is(sendErr, ErrCallerBody) {
		e.Err = sendErr
		return e
	}
	e.Died = e.Wrote && !answered && closed(err)
	return e
}

// join waits until the request's body is no longer read.
func (x *exchange) join() error {
	select {
	case err := <-x.sent:
		return err
	default:
	}
	if x.abort != nil {
		x.abort()
	}
	return <-x.sent
}

// Read reads the answer's body. An end of the connection before the end of
// the body is an error and never io.EOF.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	if err == io.EOF {
		r.eof = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept where both sides are done
// with it in order, else it is closed.
func (r *Response) Close() {
	x := r.exchange
	live := x.stop()
	sent := false
	select {
	case err := <-x.sent:
		sent = err == nil
	default:
		x.conn.Close()
		x.join()
	}
	if live && sent && r.eof && !r.Response.Close && !x.tainted && x.conn.reader.Buffered() == 0 {
		x.client.put(x.address, x.conn)
		return
	}
	x.conn.Close()
}

// bodyReader remembers why reading the caller's body failed.
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

// Whole reports whether the body was read to its proper end.
func (r *Response) Whole() bool { return r.eof }
