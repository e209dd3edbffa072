// Package progress bounds calls by the time in which they make no progress, for responses whose transfer may take
// long on a slow link.
package progress

import (
	"context"
	"io"
	"time"
)

// Context is a context whose deadline moves. After the deadline its Err is context.DeadlineExceeded.
type Context struct {
	context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// WithTimeout returns a context that ends after timeout unless its deadline is moved. Stop must be called when the
// call has ended.
func WithTimeout(parent context.Context, timeout time.Duration) *Context {
	ctx, cancel := context.WithCancelCause(parent)
	return &Context{Context: ctx, cancel: cancel, timer: time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })}
}

// Extend moves the deadline to d from now, unless the context has ended.
func (c *Context) Extend(d time.Duration) {
	if c.timer.Stop() {
		c.timer.Reset(d)
	}
}

// Err implements context.Context.
func (c *Context) Err() error {
	if err := c.Context.Err(); err == nil || context.Cause(c.Context) != context.DeadlineExceeded {
		return err
	}
	return context.DeadlineExceeded
}

// Stop releases the context.
func (c *Context) Stop() {
	c.timer.Stop()
	c.cancel(nil)
}

// Reader returns a reader of r whose reads move the deadline to stall after the last bytes, and to at most total from
// now.
func (c *Context) Reader(r io.Reader, stall, total time.Duration) io.Reader {
	out := &reader{Reader: r, ctx: c, stall: stall, end: time.Now().Add(total)}
	out.extend()
	return out
}

type reader struct {
	io.Reader
	ctx   *Context
	stall time.Duration
	end   time.Time
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.extend()
	}
	return n, err
}

func (r *reader) extend() { r.ctx.Extend(min(r.stall, time.Until(r.end))) }
