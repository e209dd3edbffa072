package ingress

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"crocusramp.dev/crocusramp/pkg/forward"
	"crocusramp.dev/crocusramp/pkg/outcome"
	"crocusramp.dev/crocusramp/pkg/reach"
	"crocusramp.dev/crocusramp/pkg/target"
)

const (
	// maxBufferedResponse is the longest response that is read whole before the caller gets its
	// first byte, so that the request can be retried if the response breaks off.
	maxBufferedResponse = 1 << 20
	// fullRetryMin and fullRetryMax bound the retry time of a request for which no target has room.
	// They are a fraction of the mean time that a request occupies a slot.
	fullRetryMin = 100 * time.Millisecond
	fullRetryMax = 400 * time.Millisecond
	// freeSlotsRetryMin and freeSlotsRetryMax are the same if a target refused although it had free
	// slots: the next attempt may succeed at once.
	freeSlotsRetryMin = 10 * time.Millisecond
	freeSlotsRetryMax = 30 * time.Millisecond
	// minAttemptTime is the least time in which a target can be expected to respond.
	minAttemptTime = 20 * time.Millisecond
)

// attempt is the result of sending the request to one target.
type attempt struct {
	answer *answer
	// notRun is set if the target has not run the request and never will.
	notRun bool
	// mayHaveArrived is set if the target received the request or may have.
	mayHaveArrived bool
	err            error
}

// run sends the request to targets until there is an answer for the caller.
func (c *call) run(ctx context.Context) *answer {
	maxAttempts := max(1, c.route.MaxAttempts)
	for {
		c.progress.enter(stagePlacement, "")
		if a := c.refuseOutdatedRegions(); a != nil {
			return a
		}
		l := c.chooseTarget(ctx)
		if l == nil {
			if a := c.finalAnswer(ctx); a != nil {
				return a
			}
			return c.refuseWithRetry(outcome.ReasonNoCapacity, "no target has room")
		}
		if c.callerGone() {
			c.cancel(errCallerLeft)
			return c.finalAnswer(ctx)
		}
		if a := c.checkBeforeSend(ctx); a != nil {
			return a
		}
		if c.trial && !c.s.cfg.Targets.Snapshot().Admits(l, time.Now()) { // the target left while the store was asked
			continue
		}
		t := c.send(ctx, l)
		if t.answer != nil {
			return t.answer
		}
		if !t.notRun {
			c.mayHaveRun = true
		}
		c.lastError = t.err.Error()
		if a := c.finalAnswer(ctx); a != nil {
			return a
		}
		if a := c.refuseIfQuarantined(ctx); a != nil {
			return a
		}
		if len(c.tried) >= maxAttempts || !c.mayRetry(t) {
			return c.refuseWithRetry(outcome.ReasonNoCapacity, "the targets refused the request")
		}
		c.s.counters.retries.Inc(1)
	}
}

// mayRetry reports whether the request may be sent again after attempt t. It takes a retry from the
// budget if t may have arrived.
func (c *call) mayRetry(t *attempt) bool {
	if !c.canResend() || (!t.notRun && !c.idempotent()) || (c.trial && t.mayHaveArrived) {
		return false
	}
	if time.Until(c.arrived.Add(c.timeout())) < minAttemptTime {
		return false
	}
	if !t.mayHaveArrived {
		c.retries.free++
		c.s.counters.retriesFree.Inc(1)
		return true
	}
	decision := c.s.budget.Take(c.pool, c.s.cfg.Fleet.RetryLimit(), c.s.cfg.Clock.Now())
	c.retries.decision = &decision
	if decision.Granted {
		c.retries.charged++
	} else {
		c.s.counters.retriesDenied.Inc(1)
	}
	return decision.Granted
}

// errStopping is the cancellation cause of requests that are still in flight when this VM stops.
var errStopping = errors.New("this VM stops")

// errCallerLeft is the cancellation cause of requests whose caller has closed its connection.
var errCallerLeft = errors.New("the caller closed its connection")

// callerLeft is called when net/http ends the context of the request.
func (c *call) callerLeft() {
	if !c.readAborted.Load() {
		c.cancel(errCallerLeft)
	}
}

// refuseStopping returns the answer to a request that has not run when this VM stops.
func (c *call) refuseStopping() *answer {
	return refuse(http.StatusServiceUnavailable, outcome.ReasonStopping, stoppingRetry, errStopping.Error())
}

// finalAnswer returns the answer to a request that was cancelled because its time is over, this VM
// stops or the caller has left. It returns nil if the request was not cancelled.
func (c *call) finalAnswer(ctx context.Context) *answer {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return nil
	case errors.Is(cause, errStopping):
		return c.refuseStopping()
	case errors.Is(cause, errOverloaded):
		return c.refuseOverloaded()
	case errors.Is(cause, errCallerLeft):
		return &answer{status: http.StatusGatewayTimeout, reason: reasonCallerLeft, local: true, drop: true, detail: errCallerLeft.Error()}
	}
	return c.refuseWithRetry(outcome.ReasonDeadline, "the time is over")
}

// reasonCallerLeft is the logged reason of requests whose caller closed its connection.
const reasonCallerLeft outcome.Reason = "caller_left"

// refuseWithRetry returns a refusal that contains the time after which the caller may retry. The
// time is random within a range so that callers do not return together.
func (c *call) refuseWithRetry(reason outcome.Reason, detail string) *answer {
	if wait := c.backoffWait(time.Now()); wait > 0 {
		return refuse(http.StatusServiceUnavailable, reason, wait+rand.N(fullRetryMax-fullRetryMin), "the targets want no requests for a time")
	}
	if c.refusedWithFreeSlots {
		return refuse(http.StatusServiceUnavailable, reason, freeSlotsRetryMin+rand.N(freeSlotsRetryMax-freeSlotsRetryMin), detail)
	}
	minRetry := fullRetryMin
	if !c.limited.othersFull {
		minRetry = max(minRetry, c.limited.wait)
	}
	return refuse(http.StatusServiceUnavailable, reason, minRetry+rand.N(fullRetryMax-fullRetryMin), detail)
}

// send sends the request to one target and reads the response.
func (c *call) send(ctx context.Context, l *target.Live) *attempt {
	ctx, span := c.s.cfg.Tracer.Start(ctx, "ingress.target", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	c.tried = append(c.tried, l)
	c.sentAt = time.Now()
	c.progress.enter(stageConnect, l.ID)
	l.BeginRequest()
	out := c.targetRequest(l)
	if span.SpanContext().IsSampled() {
		traceContext.Inject(ctx, propagation.HeaderCarrier(out.Header))
	}
	gotConn := func(reused bool) {
		c.progress.recordSend(reused)
		// Finding a path may have taken long.
		c.s.cfg.Wire.SetTimeout(out.Header, time.Until(c.arrived.Add(c.timeout())))
	}
	wait := c.newResponseWait(ctx, l)
	resp, via, failure := c.s.cfg.Client.Do(wait.ctx, out, l, reach.Options{
		Direct:       wait.direct,
		Exchange:     forward.Options{RequireEcho: c.info.ID != "", AtMostOnce: !c.idempotent(), AbortBody: c.abortBodyRead, GotConn: gotConn},
		AllowsRegion: c.allowsRegion,
	})
	c.via = append(c.via, via)
	span.SetAttributes(attribute.String("target.id", l.ID), attribute.String("via", via))
	if failure != nil {
		wait.end()
		l.EndRequest()
		if failure.ContextEnded && ctx.Err() == nil {
			c.s.counters.interrupted.Inc(1)
			if failure.Wrote && l.Exited() {
				c.reportDeath(l)
			}
			return &attempt{mayHaveArrived: failure.Wrote, notRun: !failure.Wrote, err: fmt.Errorf("target %s: %w", l.ID, errTargetLost)}
		}
		return c.handleFailure(l, failure, via)
	}
	t := c.handleResponse(ctx, l, resp)
	if t.answer == nil || t.answer.stream == nil {
		wait.end()
		return t
	}
	t.answer.stream.wait = wait
	if !wait.detach(via == "") { // nothing has been passed on yet
		_ = t.answer.stream.Close() // always nil
		return &attempt{mayHaveArrived: true, err: fmt.Errorf("target %s: %w", l.ID, errTargetLost)}
	}
	return t
}

var errTargetLost = errors.New("the target became unreachable while the request was in flight")

// responseWait holds the contexts of the wait for a target's response.
type responseWait struct {
	// ctx ends when the target becomes unreachable. direct is the context of the wait on a direct connection,
	// which also ends when this VM loses its links to the targets.
	ctx, direct context.Context
	// detach keeps the contexts from ending for these reasons. It returns false if that of the connection, which
	// may be direct, has ended already.
	detach func(isDirect bool) bool
	// end releases the contexts.
	end func()
}

// newResponseWait begins the wait for a target's response. If the request may be sent again, the wait ends
// early when the target becomes unreachable: a side that lost power never responds, and its connections stay
// open.
func (c *call) newResponseWait(ctx context.Context, l *target.Live) responseWait {
	if !c.idempotent() || !c.canResend() || len(c.tried) >= max(1, c.route.MaxAttempts) {
		return responseWait{ctx: ctx, direct: ctx, detach: func(bool) bool { return true }, end: func() {}}
	}
	waiting, cancel := context.WithCancel(ctx)
	direct, cancelDirect := context.WithCancel(waiting)
	stopWaiting := context.AfterFunc(l.UnreachableContext(), cancel)
	stopDirect := context.AfterFunc(c.s.cfg.Client.LinksLostContext(), cancelDirect)
	detach := func(isDirect bool) bool {
		waits, waitsDirect := stopWaiting(), stopDirect()
		return waits && (waitsDirect || !isDirect)
	}
	return responseWait{ctx: waiting, direct: direct, detach: detach, end: func() { detach(true); cancelDirect(); cancel() }}
}

// handleResponse records what a response reports about its target and returns the attempt's result.
func (c *call) handleResponse(ctx context.Context, l *target.Live, resp *forward.Response) *attempt {
	info := c.s.cfg.Wire.FromTarget(resp.StatusCode, resp.Header)
	now := time.Now()
	if info.LoadKnown {
		l.RecordLoad(info.Load, now)
	}
	if info.ColdFor > 0 {
		l.SetCold(info.ColdFor, now)
	}
	l.RecordResponse(!info.NotRun, now)
	c.recordLimit(l, resp.StatusCode, info, now)
	if info.authentic(l, resp.StatusCode) {
		c.recordAvailability(l, info, now)
	}
	switch classify(resp.StatusCode, info) {
	case outcome.NotRun:
		return c.handleNotRun(ctx, l, resp, info)
	case outcome.Unknown:
		l.EndRequest()
		resp.Close()
		return &attempt{mayHaveArrived: true, err: fmt.Errorf("target %s: status %d without the target's signature or with a contradiction", l.ID, resp.StatusCode)}
	}
	return c.readResponse(ctx, l, resp)
}

// recordLimit records the limit that a response sets. Only an authentic response to a request that
// ran shows that the target has no limit.
func (c *call) recordLimit(l *target.Live, status int, info ResponseInfo, now time.Time) {
	changed := false
	switch {
	case !info.authentic(l, status):
	case info.LimitInvalid:
		if l.RecordInvalidLimit() {
			c.s.cfg.Log.Warn().Str("request", c.info.ID).Str("target", l.ID).Msg("ignoring an invalid limit that the target set; its last known limit, if any, stays in force")
		}
	case info.Limit.Limited:
		changed = l.RecordLimit(info.Limit.Rate, now)
	case success(status):
		changed = l.RecordNoLimit(c.sentAt, now)
	}
	if changed {
		c.s.counters.limitChanges.Inc(1)
		c.s.cfg.Log.Info().Str("request", c.info.ID).Str("target", l.ID).Bool("limited", info.Limit.Limited).Float64("rate", info.Limit.Rate).
			Msg("target changed its limit")
	}
}

// authentic reports whether the response certainly comes from the target itself.
func (info *ResponseInfo) authentic(l *target.Live, status int) bool {
	return !info.OtherInstance && (info.InstanceID == "" || info.InstanceID == l.ID) && (info.Sealed || !success(status))
}

// recordAvailability records whether a response announces that its target is leaving or asks for a
// backoff.
func (c *call) recordAvailability(l *target.Live, info ResponseInfo, now time.Time) {
	if info.Leaving && l.SetLeaving() {
		c.s.counters.leaving.Inc(1)
		c.s.cfg.Log.Info().Str("request", c.info.ID).Str("target", l.ID).Int("running", l.Running()).Msg("target announced that it is leaving")
	}
	if info.RetryAfter > 0 {
		first := l.BackoffRemaining(now) == 0
		l.BackOff(info.RetryAfter, now)
		if first {
			c.s.counters.backoffs.Inc(1)
			c.s.cfg.Log.Info().Str("request", c.info.ID).Str("target", l.ID).Dur("for_ms", info.RetryAfter).Msg("target asked for a backoff")
		}
	}
}

func success(status int) bool { return status >= 200 && status < 300 }

// handleNotRun handles a response which reports that the target did not run the request. A response that
// does not arrive whole proves nothing.
func (c *call) handleNotRun(ctx context.Context, l *target.Live, resp *forward.Response, info ResponseInfo) *attempt {
	_, err := io.Copy(io.Discard, io.LimitReader(resp, maxBufferedResponse))
	if err == nil {
		err = expectEnd(resp)
	}
	l.EndRequest()
	resp.Close()
	if err != nil {
		return c.handleIncomplete(ctx, l, err)
	}
	t := &attempt{notRun: true, mayHaveArrived: true, err: fmt.Errorf("target %s did not run the request: status %d", l.ID, resp.StatusCode)}
	if info.OtherInstance {
		l.SetReplaced()
		c.s.cfg.Log.Info().Str("request", c.info.ID).Str("target", l.ID).Str("now", info.InstanceID).Msg("another target now uses the address")
		return t
	}
	c.s.counters.sheds.Inc(1)
	c.refusedWithFreeSlots = info.LoadKnown && info.Load < l.Slots
	if !info.LoadKnown {
		// Its queue counts as full until a response reports its load.
		l.RecordLoad(2*l.Slots, time.Now())
	}
	return t
}

// readResponse buffers the response's body. Long responses are forwarded while they arrive.
func (c *call) readResponse(ctx context.Context, l *target.Live, resp *forward.Response) *attempt {
	a := &answer{status: resp.StatusCode, header: endToEndHeaders(resp.Header)}
	body, long, err := c.bufferResponse(resp)
	if long {
		c.progress.enter(stageAnswer, "")
		err = context.Cause(ctx) // from here on, Abandon does not cancel the request
	}
	if long && err == nil {
		if !c.streamed { // otherwise the request's body may still be in transit
			c.reportAnswer()
		}
		a.body = body
		a.stream = &streamedResponse{Response: resp, target: l}
		return &attempt{answer: a}
	}
	if err == nil {
		err = expectEnd(resp)
	}
	l.EndRequest()
	resp.Close()
	if err != nil {
		return c.handleIncomplete(ctx, l, err)
	}
	c.s.demand.recordDuration(c.demandKey(), l.RecordServiceTime(time.Since(c.sentAt), c.load))
	c.reportAnswer()
	a.body = body
	return &attempt{answer: a}
}

// bufferResponse reads a response's body, at most maxBufferedResponse of it and as much as there is memory for. long
// is set if there may be more of it.
func (c *call) bufferResponse(resp *forward.Response) (body []byte, long bool, _ error) {
	size := minResponseBuffer
	if n := resp.ContentLength; n >= 0 {
		size = int(min(n, maxBufferedResponse))
	}
	var buffer bytes.Buffer
	for ; size <= maxBufferedResponse; size *= 2 {
		if !c.memory.TakeResponse(int64(size - buffer.Len())) {
			return buffer.Bytes(), true, nil
		}
		buffer.Grow(size - buffer.Len() + bytes.MinRead)
		_, err := io.Copy(&buffer, io.LimitReader(resp, int64(size-buffer.Len())))
		if err != nil || buffer.Len() < size || resp.Complete() || resp.ContentLength == int64(size) {
			return buffer.Bytes(), false, err
		}
	}
	return buffer.Bytes(), true, nil
}

// expectEnd returns an error unless the body has been read to its end. The end of a body of known length
// shows only when a further read returns no bytes.
func expectEnd(resp *forward.Response) error {
	if resp.Complete() {
		return nil
	}
	var one [1]byte
	if n, err := resp.Read(one[:]); n > 0 || (err != nil && err != io.EOF) {
		return errors.Join(errors.New("expected the end of the body"), err)
	}
	return nil
}

// handleIncomplete handles a response that did not arrive whole.
func (c *call) handleIncomplete(ctx context.Context, l *target.Live, err error) *attempt {
	if context.Cause(ctx) == nil { // otherwise the request was cancelled while the response arrived
		l.RecordFailure(false)
	}
	return &attempt{mayHaveArrived: true, err: fmt.Errorf("target %s: incomplete response: %w", l.ID, err)}
}

// streamedResponse is a response that is still arriving.
type streamedResponse struct {
	*forward.Response
	target *target.Live
	wait   responseWait
	// readFailed is set if the last read failed.
	readFailed bool
}

// Read implements io.Reader and records a failure.
func (s *streamedResponse) Read(b []byte) (int, error) {
	n, err := s.Response.Read(b)
	s.readFailed = err != nil && err != io.EOF
	return n, err
}

// Close releases the target's slot and the connection.
func (s *streamedResponse) Close() error {
	s.target.EndRequest()
	s.Response.Close()
	s.wait.end()
	return nil
}
