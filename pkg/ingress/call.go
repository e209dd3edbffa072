package ingress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"crocusramp.dev/crocusramp/pkg/capacity"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/conntrack"
	"crocusramp.dev/crocusramp/pkg/forward"
	"crocusramp.dev/crocusramp/pkg/outcome"
	"crocusramp.dev/crocusramp/pkg/peek"
	"crocusramp.dev/crocusramp/pkg/placement"
	"crocusramp.dev/crocusramp/pkg/quarantine"
	"crocusramp.dev/crocusramp/pkg/retry"
	"crocusramp.dev/crocusramp/pkg/storage"
	"crocusramp.dev/crocusramp/pkg/target"
)

// maxBufferedBody is the largest request body that is buffered so that the request can be retried.
// Larger bodies are forwarded while they arrive and are sent only once.
const maxBufferedBody = 64 << 10

// call is the state of one caller's request in flight.
type call struct {
	s       *Server
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	info    CallerInfo

	state      *State
	route      *config.Route
	account    *config.Account
	pool       string
	cachedHash uint64

	memory *capacity.Use

	body []byte // buffered body
	// bodyStream is a body that is forwarded while it arrives, streamHead the part of it that was
	// read before it was prepared for streaming, and streamHash the hash of what was forwarded.
	// streamed is set once bodyStream was handed to an attempt.
	bodyStream io.ReadCloser
	streamHead []byte
	streamHash *bodyHash
	streamed   bool
	// bodyPrepared is set once body or bodyStream holds the request's body.
	bodyPrepared bool

	cancel context.CancelCauseFunc
	timer  *time.Timer
	// bodyComplete is set once the caller's body was read to EOF; from then on net/http watches the
	// connection for a close by the caller.
	bodyComplete atomic.Bool
	// readAborted is set if this VM aborted the read of the body. net/http reports that as if the
	// caller had closed its connection.
	readAborted atomic.Bool

	tried      []*target.Live // targets of all attempts, in order
	sentAt     time.Time      // start of the last attempt
	via        []string       // peer through which each attempt went; empty if it was sent directly
	retries    retries
	mayHaveRun bool
	// priorDeaths is the number of targets known to have died while they ran this request, and
	// suspectFingerprint its fingerprint if there are any. trial is set if the request is sent on
	// probation.
	priorDeaths        int
	suspectFingerprint string
	trial              bool
	baseHash           quarantine.BaseHash // computed on first use
	// refusedWithFreeSlots is set if the last target refused the request although it had free
	// slots.
	refusedWithFreeSlots bool
	limited              limitedTargets // of the last call of chooseTarget
	load                 int            // of the last target when it was chosen
	choice               placementChoice
	progress             progress
	targetsVersion       storage.Version
	lastError            string
}

// retries counts the retries of a request.
type retries struct {
	// charged retries were taken from the retry budget; free retries followed an attempt that did
	// not reach its target.
	charged, free int
	decision      *retry.TakeResult // nil if the budget was not asked
}

// answer is what the caller gets: a target's response or one that this VM generated.
type answer struct {
	status int
	header http.Header
	body   []byte
	// stream, if set, is sent after body.
	stream     *streamedResponse
	reason     outcome.Reason
	detail     string
	retryAfter time.Duration
	// local is set if this VM generated the answer rather than a target.
	local bool
	// drop closes the connection without an answer because the caller has closed its end.
	drop bool
}

func refuse(status int, reason outcome.Reason, retryAfter time.Duration, detail string) *answer {
	return &answer{status: status, reason: reason, retryAfter: retryAfter, detail: detail, local: true}
}

// objectHash returns the hash of the object that the request names, or of the request's ID if it
// names none.
func (c *call) objectHash() uint64 {
	if c.cachedHash == 0 {
		key := c.info.Object
		if key == "" {
			key = "\x00" + c.info.ID
		}
		c.cachedHash = placement.Hash(c.route.Name, key)
	}
	return c.cachedHash
}

// timeout returns how long the request may take from its arrival. It is bounded by maxTimeout, the
// caller's timeout and, once the route is known, the route's.
func (c *call) timeout() time.Duration {
	d := maxTimeout
	if c.info.Timeout > 0 {
		d = min(d, c.info.Timeout)
	}
	if c.route != nil && c.route.Timeout > 0 {
		d = min(d, c.route.Timeout)
	}
	return d
}

// objective returns the time within which the caller should get its answer; a later answer is worth
// less. It is the route's latency objective or, without one, the timeout.
func (c *call) objective() time.Duration {
	if c.route.Objective > 0 {
		return c.route.Objective
	}
	return c.timeout()
}

// callerGone reports whether the caller has closed its connection, even if net/http has not noticed
// that yet.
func (c *call) callerGone() bool {
	conn := conntrack.FromContext(c.r.Context())
	return conn != nil && c.bodyComplete.Load() && peek.Look(conn) == peek.Closed
}

// idempotent reports whether the request may run more than once.
func (c *call) idempotent() bool { return c.route.Mode == config.ModeIdempotent }

// allowsRegion reports whether the request may run in a region, by its route and its client account: by the
// configuration in force when it arrived, and by the latest one, because it may have waited.
func (c *call) allowsRegion(region string) bool {
	if !allowsRegion(c.route, c.account, region) {
		return false
	}
	latest := c.s.cfg.State()
	if latest == c.state {
		return true
	}
	var account *config.Account
	if c.account != nil {
		account = latest.Accounts[c.account.Name]
	}
	return allowsRegion(latest.Config.Routes[c.route.Name], account, region)
}

// allowsRegion reports whether both the route and the client account, each unless it is nil, allow a region.
func allowsRegion(r *config.Route, a *config.Account, region string) bool {
	return (r == nil || allows(r.Regions, region)) && (a == nil || allows(a.Regions, region))
}

// allows reports whether a region is among the allowed ones; none allows all.
func allows(allowed []string, region string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, region)
}

// headerBytes returns the size of a request's line and header as the caller sent them.
func headerBytes(r *http.Request) int {
	const separators = len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}

// readBody buffers the request's body as far as a retry or the quarantine check needs it. Longer
// bodies are prepared for streaming.
func (c *call) readBody(ctx context.Context) *answer {
	if c.bodyPrepared {
		return nil
	}
	c.bodyPrepared = true
	bufferLimit := int64(max(maxBufferedBody, c.bytesToAssess()))
	c.progress.enter(stageBody, "")
	limit := c.state.CallerLimits.MaxBodyBytes
	if limit > 0 && c.r.ContentLength > limit {
		return refuse(http.StatusRequestEntityTooLarge, outcome.ReasonTooLarge, 0, "the body is longer than the limit")
	}
	if c.r.Body == nil || c.r.Body == http.NoBody {
		c.bodyComplete.Store(true)
		return nil
	}
	if limit > 0 {
		c.r.Body = http.MaxBytesReader(c.w, c.r.Body, limit)
	}
	c.r.Body = bodyRecorder{c.r.Body, c.connection(), &c.bodyComplete}
	if c.r.ContentLength > bufferLimit && bufferLimit == maxBufferedBody {
		c.streamBody(nil)
		return nil
	}
	stop := context.AfterFunc(ctx, c.abortBodyRead)
	body, err := c.bufferBody(io.LimitReader(c.r.Body, bufferLimit+1))
	stop()
	if a := c.finalAnswer(ctx); a != nil && (err != nil || errors.Is(context.Cause(ctx), errStopping)) {
		return a
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errOverloaded), err != nil && c.connection().Evicted():
		return c.refuseOverloaded()
	case errors.As(err, &tooLarge):
		return refuse(http.StatusRequestEntityTooLarge, outcome.ReasonTooLarge, 0, "the body is longer than the limit")
	case err != nil:
		return refuse(http.StatusBadRequest, outcome.ReasonBadRequest, 0, "the body could not be read")
	case int64(len(body)) > bufferLimit:
		c.streamBody(body)
	default:
		c.body = body
	}
	return nil
}

// streamBody prepares the body to be forwarded while it arrives. head is the part that was already
// read.
func (c *call) streamBody(head []byte) {
	c.streamHead, c.streamHash = head, newBodyHash()
	c.bodyStream = readCloser{io.TeeReader(io.MultiReader(bytes.NewReader(head), c.r.Body), c.streamHash), c.r.Body}
}

// abortBodyRead unblocks a pending read of the caller's body. The caller's connection cannot carry
// another request afterwards.
func (c *call) abortBodyRead() {
	if c.bodyComplete.Load() {
		return // the deadline would stop net/http from watching the connection
	}
	c.readAborted.Store(true)
	// Fails only if the connection is already closed, which also ends the read.
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Unix(1, 0))
}

// bodyRecorder records when a body is being read and that it was read to EOF.
type bodyRecorder struct {
	io.ReadCloser
	conn       *conntrack.Conn
	reachedEOF *atomic.Bool
}

// Read implements io.Reader.
func (r bodyRecorder) Read(p []byte) (int, error) {
	r.conn.Receiving()
	size, err := r.ReadCloser.Read(p)
	if err == io.EOF {
		r.conn.Received()
		r.reachedEOF.Store(true)
	}
	return size, err
}

type readCloser struct {
	io.Reader
	io.Closer
}

// canResend reports whether the request can be sent again. A streamed body cannot.
func (c *call) canResend() bool { return !c.streamed }

// endToEndHeaders returns a copy of h without the hop-by-hop headers.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	forward.RemoveHopByHop(out)
	return out
}

// targetRequest builds the request that is sent to a target.
func (c *call) targetRequest(l *target.Live) *http.Request {
	h := endToEndHeaders(c.r.Header)
	info := TargetInfo{InstanceID: l.ID, Timeout: time.Until(c.arrived.Add(c.timeout()))}
	if c.account != nil {
		info.Account = c.account.Name
	}
	c.s.cfg.Wire.ToTarget(h, info)
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // net/http would add its own
	}
	h.Del("Content-Length")
	out := &http.Request{
		Method: c.r.Method, Host: c.r.Host, Header: h, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: requestURL(c.r),
	}
	switch {
	case c.bodyStream != nil:
		c.streamed = true
		out.Body, out.ContentLength = c.bodyStream, c.r.ContentLength
	case len(c.body) > 0:
		out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(c.body)), int64(len(c.body))
	}
	return out
}

// requestURL returns the URL for the target, with path and query exactly as the caller wrote them.
func requestURL(r *http.Request) *url.URL {
	u := *r.URL
	if strings.HasPrefix(r.RequestURI, "/") && !strings.HasPrefix(r.RequestURI, "//") {
		u = url.URL{Opaque: r.RequestURI}
	}
	u.Scheme, u.Host = "http", r.Host
	return &u
}

// deliver writes the answer and the request's log line.
func (c *call) deliver(ctx context.Context, a *answer) {
	defer c.release()
	c.progress.enter(stageAnswer, "")
	h := c.w.Header()
	for k, v := range a.header {
		h[k] = v
	}
	if c.s.stopping() || c.bodyArrives() {
		// While the body is still arriving, net/http would hold the answer back.
		h.Set("Connection", "close")
	}
	if a.local {
		c.s.cfg.Wire.SetRequestID(h, c.info.ID)
		if a.retryAfter > 0 {
			c.s.cfg.Wire.SetRetryAfter(h, a.retryAfter)
			// Callers retry on another connection and would leave this one idle; in an overload,
			// thousands of them fill the memory.
			h.Set("Connection", "close")
		}
		h.Set("Content-Type", "text/plain; charset=utf-8")
		a.body = []byte(a.detail + "\n")
	}
	c.keepConnection()
	c.boundDelivery()
	c.log(a)
	if a.drop {
		panic(http.ErrAbortHandler)
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	if a.stream == nil && a.status != http.StatusNoContent && c.bodyArrives() { // discardBody sends the answer before this handler returns
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	c.w.WriteHeader(a.status)
	if a.stream != nil {
		head := a.body
		a.body = nil
		c.copyStream(ctx, head, a.stream)
		return
	}
	if _, err := c.w.Write(a.body); err != nil {
		c.s.cfg.Log.Info().Str("request", c.info.ID).Err(err).Object("connection", c.connection()).Msg("the answer could not be written")
	}
}

// bodyArrives reports whether the request's body may still be arriving and is no longer read.
func (c *call) bodyArrives() bool {
	return c.readAborted.Load() || (c.streamed && !c.bodyComplete.Load())
}

// discardBody discards the rest of a body after the answer to its request, for at most maxDiscardTime. If the
// connection were closed with bytes unread, it would be reset, and the caller might lose the answer.
func (c *call) discardBody(a *answer) {
	conn := c.connection()
	if conn == nil || a.stream != nil || !c.bodyArrives() || http.NewResponseController(c.w).Flush() != nil {
		return
	}
	c.body = nil
	c.memory.Release()
	// Either fails only on a connection that is closed or has been made to end.
	_ = conn.SetReadDeadline(time.Now().Add(maxDiscardTime))
	_, _ = io.Copy(io.Discard, conn.TCPConn)
}

// keepConnection keeps the caller's connection open for the idle limit under which this answer is sent:
// the caller knows no later one.
func (c *call) keepConnection() {
	if conn := c.connection(); conn != nil && c.state != nil {
		conn.KeepFor(c.state.CallerLimits.IdleTimeout)
	}
}

// endlessResponseBytes is how many bytes of a response of unknown length may arrive before the
// caller's timeout. A response that has reached this size by then is treated as endless.
const endlessResponseBytes = 16 << 20

// copyStream forwards a response that is too long to be buffered, of which head has arrived, and closes it. If
// the response breaks off, the caller must be able to detect that.
func (c *call) copyStream(ctx context.Context, head []byte, stream *streamedResponse) {
	defer stream.Close()
	// Once its answer has begun, a caller keeps waiting beyond the route's timeout.
	timeout := maxTimeout
	if c.info.Timeout > 0 {
		timeout = c.info.Timeout
	}
	c.timer.Reset(time.Until(c.arrived.Add(timeout)))
	// A caller that does not read must not occupy the target for longer.
	stop := context.AfterFunc(ctx, func() { _ = http.NewResponseController(c.w).SetWriteDeadline(time.Unix(1, 0)) })
	var n int64 // streamed bytes
	_, err := c.w.Write(head)
	c.memory.ReleaseResponse()
	if err == nil {
		n, err = io.CopyBuffer(struct{ io.Writer }{c.w}, stream, c.memory.CopyBuffer())
	}
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err == nil {
		stream.target.RecordCompleteStream()
		return
	}
	cause := context.Cause(ctx)
	truncated := cause == nil && stream.readFailed
	endless := errors.Is(cause, context.DeadlineExceeded) && stream.ContentLength < 0 && n >= endlessResponseBytes
	suspect := (truncated || endless) && stream.target.RecordIncompleteStream()
	c.s.cfg.Log.Info().Str("request", c.info.ID).Str("target", stream.target.ID).Err(err).Int64("bytes", n).
		Bool("broke_off", truncated).Bool("endless", endless).Bool("suspect", suspect).Msg("streamed response did not complete")
	c.abort()
}

// abort breaks off an answer that has begun so that it does not look complete.
func (c *call) abort() {
	if !c.r.ProtoAtLeast(1, 1) { // HTTP/1.0: closing the connection marks the end of the answer
		conn, _, err := http.NewResponseController(c.w).Hijack()
		if err != nil {
			c.s.cfg.Log.Warn().Err(err).Str("request", c.info.ID).Msg("cannot reset the connection; the truncated answer may look complete to the caller")
			panic(http.ErrAbortHandler)
		}
		if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
			_ = tcp.SetLinger(0) // fails only if the connection is already closed
		}
		_ = conn.Close()
	}
	panic(http.ErrAbortHandler)
}

// release stops the request's timer.
func (c *call) release() {
	if c.timer != nil {
		c.timer.Stop()
	}
}

func (c *call) log(a *answer) {
	counters := &c.s.counters
	switch {
	case !a.local:
		counters.answered.Inc(1)
	case a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable:
		counters.refused.Inc(1)
	default:
		counters.failed.Inc(1)
	}
	e := c.s.cfg.Log.Info()
	if !e.Enabled() {
		return
	}
	e.Str("request", c.info.ID).Int("status", a.status).Dur("ms", time.Since(c.arrived))
	if c.state != nil {
		e.Int64("config", c.state.Version)
	}
	if c.route != nil {
		e.Str("route", c.route.Name).Str("pool", c.pool).Str("object", c.info.Object)
	}
	switch {
	case c.account != nil:
		e.Str("account", c.account.Name)
	case c.state != nil:
		e.Bool("key_unknown", c.info.KeyID != "")
	}
	c.logRegions(e)
	c.logTargets(e)
	c.retries.log(e)
	if len(c.limited.ids) > 0 {
		e.Strs("limited", c.limited.ids)
	}
	if c.suspectFingerprint != "" {
		e.Str("fingerprint", c.suspectFingerprint).Int("prior", c.priorDeaths).Bool("trial", c.trial)
	}
	if a.local {
		e.Str("reason", string(a.reason)).Dur("retry_ms", a.retryAfter)
	}
	if c.lastError != "" {
		e.Str("note", c.lastError)
	}
	if a.drop {
		e.Dur("timeout_ms", c.timeout()).Object("connection", c.connection())
	}
	e.Msg("request")
}

// connection returns the caller's connection, or nil if it is not tracked.
func (c *call) connection() *conntrack.Conn {
	conn, _ := conntrack.FromContext(c.r.Context()).(*conntrack.Conn)
	return conn
}

// logRegions logs the regions in which the request may run, if they are limited.
func (c *call) logRegions(e *zerolog.Event) {
	if c.route == nil {
		return
	}
	if len(c.route.Regions) > 0 {
		e.Strs("route_regions", c.route.Regions)
	}
	if c.account != nil && len(c.account.Regions) > 0 {
		e.Strs("account_regions", c.account.Regions)
	}
	if latest := c.s.cfg.State(); latest != c.state {
		e.Int64("config_at_end", latest.Version)
	}
}

func (c *call) logTargets(e *zerolog.Event) {
	if len(c.tried) == 0 {
		return
	}
	ids := make([]string, len(c.tried))
	for i, l := range c.tried {
		ids[i] = l.ID
	}
	last := c.tried[len(c.tried)-1]
	e.Strs("targets", ids).Str("region", last.Region).Int("load", c.load).Object("choice", c.choice).Stringer("list", c.targetsVersion).Bool("may_have_run", c.mayHaveRun)
	if slices.ContainsFunc(c.via, func(peer string) bool { return peer != "" }) {
		e.Strs("via", c.via)
	}
}

// log adds the retries to the request's log line, with the retry budget as the last decision saw
// it.
func (r *retries) log(e *zerolog.Event) {
	if r.free == 0 && r.decision == nil {
		return
	}
	d := zerolog.Dict().Int("charged", r.charged).Int("free", r.free)
	if u := r.decision; u != nil {
		d.Bool("denied", !u.Granted).Float64("available", u.Available).Float64("capacity", u.Capacity).Float64("requests", u.Requests).Int("vms", u.VMs)
	}
	e.Dict("repeats", d)
}
