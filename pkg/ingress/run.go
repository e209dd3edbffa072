package ingress

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"crocusramp.dev/crocusramp/pkg/forward"
	"crocusramp.dev/crocusramp/pkg/outcome"
	"crocusramp.dev/crocusramp/pkg/target"
)

const (
	// maxKeptAnswer is the longest answer that is read whole before the caller
	// gets its first byte, so that one that breaks off can be had again.
	maxKeptAnswer = 1 << 20
	// fullRetryMin and fullRetryMax are when the caller of a request without
	// room may come back: a part of the mean time that a slot is taken.
	fullRetryMin = 100 * time.Millisecond
	fullRetryMax = 400 * time.Millisecond
	// greyRetryMin and greyRetryMax are the same where a target refused although it
	// had room: the next attempt may succeed at once.
	greyRetryMin = 10 * time.Millisecond
	greyRetryMax = 30 * time.Millisecond
	// minAttempt is the least time in which a target can be expected to answer.
	minAttempt = 20 * time.Millisecond
)

// try is how one sending ended.
type try struct {
	answer *answer
	// notRun says that the target has not run the request and will not.
	notRun bool
	// arrived says that the target got the request or may have.
	arrived bool
	err     error
}

// run sends the request until it has an answer for the caller.
func (c *call) run(ctx context.Context) *answer {
	attempts := max(1, c.route.MaxAttempts)
	for {
		c.progress.enter(stagePlacement, "")
		l := c.choose(ctx)
		if l == nil {
			if a := c.ended(ctx); a != nil {
				return a
			}
			return c.giveUp("no target has room")
		}
		if c.callerGone() {
			c.cancel(errCallerLeft)
			return c.ended(ctx)
		}
		if a := c.judge(ctx); a != nil {
			return a
		}
		if c.trial && !c.s.cfg.Targets.Snapshot().Admits(l, time.Now()) { // it left while the store was asked
			continue
		}
		t := c.send(ctx, l)
		if t.answer != nil {
			return t.answer
		}
		if !t.notRun {
			c.mayHaveRun = true
		}
		c.note = t.err.Error()
		if a := c.ended(ctx); a != nil {
			return a
		}
		if a := c.keepBack(ctx); a != nil {
			return a
		}
		if len(c.sent) >= attempts || !c.mayRepeat(t) {
			return c.giveUp("the targets refused the request; it has not run")
		}
		c.s.counters.repeats.Inc(1)
	}
}

// mayRepeat reports whether the request may go to another target after t.
func (c *call) mayRepeat(t *try) bool {
	if !c.repeatable() || (!t.notRun && !c.idempotent()) || (c.trial && t.arrived) {
		return false
	}
	if time.Until(c.arrived.Add(c.patience())) < minAttempt {
		return false
	}
	if !t.arrived {
		c.repeats.free++
		c.s.counters.repeatsFree.Inc(1)
		return true
	}
	use := c.s.budget.Take(c.pool, c.s.cfg.Fleet.RepeatLimit(), c.s.cfg.Clock.Now())
	c.repeats.use = &use
	if use.Granted {
		c.repeats.charged++
	} else {
		c.s.counters.repeatsDenied.Inc(1)
	}
	return use.Granted
}

// errStopping is the cause that ends requests which outlast this VM's stop.
var errStopping = errors.New("this VM stops")

// errCallerLeft is the cause that ends requests whose caller has closed its connection.
var errCallerLeft = errors.New("the caller has left")

// callerLeft is told that net/http's context of the request has ended.
func (c *call) callerLeft() {
	if !c.readStopped.Load() {
		c.cancel(errCallerLeft)
	}
}

// refuseStopping answers a request that has not run while this VM stops.
func (c *call) refuseStopping() *answer {
	return refuse(http.StatusServiceUnavailable, outcome.ReasonStopping, stoppingRetry, errStopping.Error())
}

// ended returns the final answer where the request's time is over, this VM stops or the
// caller has left.
func (c *call) ended(ctx context.Context) *answer {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return nil
	case errors.Is(cause, errStopping) && !c.mayHaveRun:
		return c.refuseStopping()
	case errors.Is(cause, errStopping):
		return refuse(http.StatusBadGateway, outcome.ReasonStopping, 0, "this VM stops; the request may have run")
	case errors.Is(cause, errCallerLeft):
		return &answer{status: http.StatusGatewayTimeout, reason: reasonCallerLeft, own: true, drop: true, detail: errCallerLeft.Error()}
	case !c.mayHaveRun:
		return c.refuseFull(outcome.ReasonDeadline, "the time is over and the request has not run")
	}
	return refuse(http.StatusGatewayTimeout, outcome.ReasonDeadline, 0, "the target did not answer in time")
}

// reasonCallerLeft is logged for requests whose caller closed its connection.
const reasonCallerLeft outcome.Reason = "caller_left"

// giveUp answers a request that is not sent again. notRun is the reason where no
// target has run it.
func (c *call) giveUp(notRun string) *answer {
	if c.mayHaveRun {
		return refuse(http.StatusBadGateway, outcome.ReasonTargetFailed, 0, "the target failed; the request may have run")
	}
	return c.refuseFull(outcome.ReasonNoCapacity, notRun)
}

// refuseFull says when to come back. Callers are spread over a span, so that they do
// not come back together.
func (c *call) refuseFull(reason outcome.Reason, detail string) *answer {
	if wait := c.awaited(time.Now()); wait > 0 {
		return refuse(http.StatusServiceUnavailable, reason, wait+rand.N(fullRetryMax-fullRetryMin), "the targets want no requests for a time")
	}
	if c.grey {
		return refuse(http.StatusServiceUnavailable, reason, greyRetryMin+rand.N(greyRetryMax-greyRetryMin), detail)
	}
	least := fullRetryMin
	if !c.limited.full {
		least = max(least, c.limited.wait)
	}
	return refuse(http.StatusServiceUnavailable, reason, least+rand.N(fullRetryMax-fullRetryMin), detail)
}

// send sends the request to one target and reads its answer.
func (c *call) send(ctx context.Context, l *target.Live) *try {
	ctx, span := c.s.cfg.Tracer.Start(ctx, "ingress.target", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	c.sent = append(c.sent, l)
	c.sentAt = time.Now()
	c.progress.enter(stageConnect, l.ID)
	l.Begin()
	out := c.outgoing(l)
	if span.SpanContext().IsSampled() {
		traceContext.Inject(ctx, propagation.HeaderCarrier(out.Header))
	}
	waiting, stop := c.waitFor(ctx, l)
	resp, failure := c.s.cfg.Client.Do(waiting, out, forward.Options{
		Address: l.Address, Once: !c.idempotent(), Abort: c.stopReading, Connected: c.progress.sending,
	})
	if failure != nil {
		stop()
		l.End()
		if failure.Ended && ctx.Err() == nil {
			if failure.Wrote && l.Ended() {
				c.diedWith(l)
			}
			return &try{arrived: failure.Wrote, notRun: !failure.Wrote, err: fmt.Errorf("target %s: %w", l.ID, errLost)}
		}
		return c.failed(l, failure)
	}
	t := c.received(ctx, l, resp)
	if t.answer != nil && t.answer.stream != nil {
		t.answer.stream.stop = stop
		return t
	}
	stop()
	return t
}

var errLost = errors.New("the target got out of reach meanwhile")

// waitFor returns the context in which a target's answer is waited for. Where the
// request may go to another target, it ends when this one gets out of reach: a target
// that lost power never answers, and says nothing either.
func (c *call) waitFor(ctx context.Context, l *target.Live) (waiting context.Context, stop func()) {
	if !c.idempotent() || !c.repeatable() || len(c.sent) >= max(1, c.route.MaxAttempts) {
		return ctx, func() {}
	}
	waiting, cancel := context.WithCancel(ctx)
	end := context.AfterFunc(l.Lost(), cancel)
	return waiting, func() { end(); cancel() }
}

// failed takes in a sending without an answer.
func (c *call) failed(l *target.Live, f *forward.Error) *try {
	t := &try{notRun: !f.Wrote, arrived: f.Wrote, err: fmt.Errorf("target %s: %w", l.ID, f)}
	if f.Ended {
		return t
	}
	if f.Died && c.s.hasEnded(l) {
		c.diedWith(l)
		return t
	}
	answers := f.Silent && l.AnsweredSince(c.sentAt) // on other connections
	unreachable := (!f.Wrote && !answers) || errors.Is(f.Err, syscall.ETIMEDOUT) || errors.Is(f.Err, syscall.EHOSTUNREACH)
	if errors.Is(f.Err, forward.ErrCallerBody) {
		return t
	}
	if l.Failed(unreachable) {
		c.s.cfg.Log.Warn().Str("request", c.info.ID).Str("target", l.ID).Str("address", l.Address).
			Err(f.Err).Bool("unreachable", unreachable).Msg("target is suspect")
	}
	return t
}

// received takes in an answer.
func (c *call) received(ctx context.Context, l *target.Live, resp *forward.Response) *try {
	info := c.s.cfg.Wire.FromTarget(resp.StatusCode, resp.Header)
	now := time.Now()
	if info.LoadKnown {
		l.Reported(info.Load, now)
	}
	if info.ColdFor > 0 {
		l.SetCold(info.ColdFor, now)
	}
	l.Answered(!info.NotRun, now)
	c.observeLimit(l, resp.StatusCode, info, now)
	if info.own(l, resp.StatusCode) {
		c.observeWants(l, info, now)
	}
	switch {
	case info.NotRun:
		return c.shed(l, resp, info)
	case success(resp.StatusCode) && !info.Sealed:
		l.End()
		resp.Close()
		return &try{arrived: true, err: fmt.Errorf("target %s: status %d without a signature", l.ID, resp.StatusCode)}
	}
	return c.keep(ctx, l, resp)
}

// observeLimit takes in what an answer says of its target's limit. Only an answer that is surely
// the target's own and ran says that there is none.
func (c *call) observeLimit(l *target.Live, status int, info AnswerInfo, now time.Time) {
	changed := false
	switch {
	case !info.own(l, status):
	case info.LimitUnclear:
		if l.LimitUnclear() {
			c.s.cfg.Log.Warn().Str("request", c.info.ID).Str("target", l.ID).Msg("the limit that a target names cannot be read; the one before holds")
		}
	case info.Limit.Named:
		changed = l.LimitNamed(info.Limit.Rate, now)
	case success(status):
		changed = l.LimitUnnamed(c.sentAt, now)
	}
	if changed {
		c.s.counters.limits.Inc(1)
		c.s.cfg.Log.Info().Str("request", c.info.ID).Str("target", l.ID).Bool("limited", info.Limit.Named).Float64("rate", info.Limit.Rate).
			Msg("target changes its limit")
	}
}

// own reports whether an answer is surely the target's own.
func (a *AnswerInfo) own(l *target.Live, status int) bool {
	return !a.OtherInstance && (a.InstanceID == "" || a.InstanceID == l.ID) && (a.Sealed || !success(status))
}

// observeWants takes in what an answer says of how much its target wants.
func (c *call) observeWants(l *target.Live, info AnswerInfo, now time.Time) {
	if info.Leaving && l.SetLeaving() {
		c.s.counters.leaving.Inc(1)
		c.s.cfg.Log.Info().Str("request", c.info.ID).Str("target", l.ID).Int("running", l.Running()).Msg("target says that it leaves")
	}
	if info.RetryAfter > 0 {
		first := l.BackoffLeft(now) == 0
		l.BackOff(info.RetryAfter, now)
		if first {
			c.s.counters.backoffs.Inc(1)
			c.s.cfg.Log.Info().Str("request", c.info.ID).Str("target", l.ID).Dur("for_ms", info.RetryAfter).Msg("target wants nothing for a time")
		}
	}
}

func success(status int) bool { return status >= 200 && status < 300 }

// shed takes in a target's word that it did not run the request.
func (c *call) shed(l *target.Live, resp *forward.Response, info AnswerInfo) *try {
	defer l.End()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxKeptBody))
	resp.Close()
	t := &try{notRun: true, arrived: true, err: fmt.Errorf("target %s did not run it: status %d", l.ID, resp.StatusCode)}
	if info.OtherInstance {
		l.SetReplaced()
		c.s.cfg.Log.Info().Str("request", c.info.ID).Str("target", l.ID).Str("now", info.InstanceID).Msg("another target has the address")
		return t
	}
	c.s.counters.sheds.Inc(1)
	c.grey = info.LoadKnown && info.Load < l.Slots
	if !info.LoadKnown {
		// Its queue is full until an answer says otherwise.
		l.Reported(2*l.Slots, time.Now())
	}
	return t
}

// keep reads the answer's body. Long ones are passed on while they come.
func (c *call) keep(ctx context.Context, l *target.Live, resp *forward.Response) *try {
	a := &answer{status: resp.StatusCode, header: endToEnd(resp.Header)}
	var body bytes.Buffer
	if n := resp.ContentLength; n > 0 && n <= maxKeptAnswer {
		body.Grow(int(n) + bytes.MinRead)
	}
	_, err := io.Copy(&body, io.LimitReader(resp, maxKeptAnswer))
	long := err == nil && body.Len() == maxKeptAnswer && !resp.Whole()
	if long {
		c.progress.enter(stageAnswer, "")
		err = context.Cause(ctx) // from here on a stop lets the answer go on
	}
	if long && err == nil {
		if !c.streamed { // else the body may still be under way
			c.answered()
		}
		a.body = body.Bytes()
		a.stream = &passedOn{Response: resp, l: l}
		return &try{answer: a}
	}
	// A read of zero bytes tells the end of a body whose length was known.
	if err == nil && !resp.Whole() {
		var one [1]byte
		if n, e := resp.Read(one[:]); n > 0 || (e != nil && e != io.EOF) {
			err = errors.Join(errors.New("the body did not end"), e)
		}
	}
	l.End()
	resp.Close()
	if err != nil {
		l.Failed(false)
		return &try{arrived: true, err: fmt.Errorf("target %s: answer broke off: %w", l.ID, err)}
	}
	c.s.demand.took(c.demandKey(), l.Served(time.Since(c.sentAt), c.load))
	c.answered()
	a.body = body.Bytes()
	c.soften(a)
	return &try{answer: a}
}

// soften turns a failure that would promise "not run" into one that does not,
// where the target has not said so.
func (c *call) soften(a *answer) {
	switch a.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout:
		a.status = http.StatusBadGateway
		c.s.cfg.Wire.RemoveSeal(a.header)
	}
}

// passedOn is an answer that is still coming.
type passedOn struct {
	*forward.Response
	l *target.Live
	// stop ends the wait for the target.
	stop func()
	// failed says that reading it did.
	failed bool
}

// Read reads on.
func (p *passedOn) Read(b []byte) (int, error) {
	n, err := p.Response.Read(b)
	p.failed = err != nil && err != io.EOF
	return n, err
}

// Close ends the answer.
func (p *passedOn) Close() error {
	p.l.End()
	p.Response.Close()
	p.stop()
	return nil
}
