package ingress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/forward"
	"crocusramp.dev/crocusramp/pkg/outcome"
	"crocusramp.dev/crocusramp/pkg/peek"
	"crocusramp.dev/crocusramp/pkg/placement"
	"crocusramp.dev/crocusramp/pkg/quarantine"
	"crocusramp.dev/crocusramp/pkg/retry"
	"crocusramp.dev/crocusramp/pkg/target"
)

// maxKeptBody is the largest request body that is kept for a repeat. Larger ones
// are passed on while they come and sent once.
const maxKeptBody = 64 << 10

// call is one request on its way.
type call struct {
	s       *Server
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	info    CallerInfo

	state   *State
	route   *config.Route
	account *config.Account
	pool    string
	object  uint64

	body []byte // the kept body
	// stream is a body that is passed on while it comes, head what was read of it first, and
	// streamHash the hash of what was passed on.
	stream     io.ReadCloser
	head       []byte
	streamHash *bodyHash
	streamed   bool
	// bodyTaken says that body or stream hold the body.
	bodyTaken bool

	cancel context.CancelCauseFunc
	timer  *time.Timer
	// bodyRead says that the caller's body was read to its end; net/http watches the
	// connection from then on.
	bodyRead atomic.Bool
	// readStopped says that this VM ended reading the body. net/http takes that for the
	// caller's leaving.
	readStopped atomic.Bool

	sent       []*target.Live // in order
	sentAt     time.Time      // of the last one
	repeats    repeats
	mayHaveRun bool
	// prior is how many targets are known to have died with the request, suspect its fingerprint
	// where there are any. It is on trial where it is sent on probation.
	prior    int
	suspect  string
	trial    bool
	baseHash quarantine.Base // zero until it is asked for
	// grey says that the last target refused the request although it had room.
	grey     bool
	limited  limited // of the last choice
	load     int     // of the last target, when it was chosen
	progress progress
	version  int64
	note     string
}

// repeats is what became of a request's repeats.
type repeats struct {
	// charged ones took a place in the budget; free ones followed a send that reached no
	// target.
	charged, free int
	use           *retry.PoolUse // of the last decision, nil for none
}

// answer is what the caller gets.
type answer struct {
	status int
	header http.Header
	body   []byte
	// stream, where set, follows body.
	stream *passedOn
	reason outcome.Reason
	detail string
	retry  time.Duration
	// own answers are the VM's and not a target's.
	own bool
	// drop closes the connection without an answer, as the caller has left.
	drop bool
}

func refuse(status int, reason outcome.Reason, retry time.Duration, detail string) *answer {
	return &answer{status: status, reason: reason, retry: retry, detail: detail, own: true}
}

// hash identifies the object, or the request where it names none.
func (c *call) hash() uint64 {
	if c.object == 0 {
		key := c.info.Object
		if key == "" {
			key = "\x00" + c.info.ID
		}
		c.object = placement.Hash(c.route.Name, key)
	}
	return c.object
}

// patience is how long the request may take from its arrival, as far as that is known.
func (c *call) patience() time.Duration {
	p := maxPatience
	if c.info.Patience > 0 {
		p = min(p, c.info.Patience)
	}
	if c.route != nil && c.route.Timeout > 0 {
		p = min(p, c.route.Timeout)
	}
	return p
}

// objective is the time within which an answer is worth most.
func (c *call) objective() time.Duration {
	if c.route.Objective > 0 {
		return c.route.Objective
	}
	return c.patience()
}

// connKey is the context's key of the caller's connection.
type connKey struct{}

// ConnContext is the hook of the callers' http.Server that makes their connections known.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// callerGone reports whether the caller has closed its connection, though net/http may not have
// come to read that yet.
func (c *call) callerGone() bool {
	conn, ok := c.r.Context().Value(connKey{}).(net.Conn)
	return ok && c.bodyRead.Load() && peek.Look(conn) == peek.End
}

// idempotent requests may run more than once.
func (c *call) idempotent() bool { return c.route.Mode == config.ModeIdempotent }

// allowed reports whether the request may run in a region.
func (c *call) allowed(region string) bool {
	if len(c.route.Regions) > 0 && !slices.Contains(c.route.Regions, region) {
		return false
	}
	return c.account == nil || len(c.account.Regions) == 0 || slices.Contains(c.account.Regions, region)
}

// headerBytes is the length of a request's line and header as the caller sent them.
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

// readBody reads the request's body as far as it is kept, or as it takes to judge the request.
func (c *call) readBody(ctx context.Context) *answer {
	if c.bodyTaken {
		return nil
	}
	c.bodyTaken = true
	keep := int64(max(maxKeptBody, c.judgedBytes()))
	c.progress.enter(stageBody, "")
	limit := c.state.CallerLimits.MaxBodyBytes
	if limit > 0 && c.r.ContentLength > limit {
		return refuse(http.StatusRequestEntityTooLarge, outcome.ReasonTooLarge, 0, "the body is longer than the limit")
	}
	if c.r.Body == nil || c.r.Body == http.NoBody {
		c.bodyRead.Store(true)
		return nil
	}
	if limit > 0 {
		c.r.Body = http.MaxBytesReader(c.w, c.r.Body, limit)
	}
	c.r.Body = endNoter{c.r.Body, &c.bodyRead}
	if c.r.ContentLength > keep && keep == maxKeptBody {
		c.pass(nil)
		return nil
	}
	stop := context.AfterFunc(ctx, c.stopReading)
	body, err := io.ReadAll(io.LimitReader(c.r.Body, keep+1))
	stop()
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(context.Cause(ctx), errStopping):
		return c.refuseStopping()
	case errors.As(err, &tooLarge):
		return refuse(http.StatusRequestEntityTooLarge, outcome.ReasonTooLarge, 0, "the body is longer than the limit")
	case err != nil:
		return refuse(http.StatusBadRequest, outcome.ReasonBadRequest, 0, "the body could not be read")
	case int64(len(body)) > keep:
		c.pass(body)
	default:
		c.body = body
	}
	return nil
}

// pass makes the body one that is passed on while it comes, after the part that was read.
func (c *call) pass(head []byte) {
	c.head, c.streamHash = head, newBodyHash()
	c.stream = readCloser{io.TeeReader(io.MultiReader(bytes.NewReader(head), c.r.Body), c.streamHash), c.r.Body}
}

// stopReading makes a blocked read of the caller's body return. The caller's connection
// cannot carry another request afterwards.
func (c *call) stopReading() {
	if c.bodyRead.Load() {
		return // the deadline would end net/http's watch of the connection
	}
	c.readStopped.Store(true)
	// Fails only where the connection is gone, which ends the read too.
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Unix(1, 0))
}

// endNoter notes that a body was read to its end.
type endNoter struct {
	io.ReadCloser
	end *atomic.Bool
}

func (n endNoter) Read(p []byte) (int, error) {
	size, err := n.ReadCloser.Read(p)
	if err == io.EOF {
		n.end.Store(true)
	}
	return size, err
}

type readCloser struct {
	io.Reader
	io.Closer
}

// repeatable reports whether the request can be sent again.
func (c *call) repeatable() bool { return !c.streamed }

// endToEnd copies the headers that are passed on.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	forward.RemoveHopByHop(out)
	return out
}

// outgoing makes the request that a target gets.
func (c *call) outgoing(l *target.Live) *http.Request {
	h := endToEnd(c.r.Header)
	t := TargetInfo{InstanceID: l.ID, Patience: time.Until(c.arrived.Add(c.patience()))}
	if c.account != nil {
		t.Account = c.account.Name
	}
	c.s.cfg.Wire.ToTarget(h, t)
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // net/http would add its own
	}
	h.Del("Content-Length")
	out := &http.Request{
		Method: c.r.Method, Host: c.r.Host, Header: h, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: requestURL(c.r),
	}
	switch {
	case c.stream != nil:
		c.streamed = true
		out.Body, out.ContentLength = c.stream, c.r.ContentLength
	case len(c.body) > 0:
		out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(c.body)), int64(len(c.body))
	}
	return out
}

// requestURL keeps path and query as the caller wrote them.
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
	defer c.end()
	c.progress.enter(stageAnswer, "")
	h := c.w.Header()
	for k, v := range a.header {
		h[k] = v
	}
	if c.s.stopping() || c.readStopped.Load() || (c.streamed && !c.bodyRead.Load()) {
		// Behind a body that is still coming, net/http would hold the answer back.
		h.Set("Connection", "close")
	}
	if a.own {
		c.s.cfg.Wire.Refusal(h, c.info.ID)
		if a.retry > 0 {
			c.s.cfg.Wire.SetRetryAfter(h, a.retry)
			// Callers come back on another connection, and would leave this one
			// behind; thousands of them fill the memory in an overload.
			h.Set("Connection", "close")
		}
		h.Set("Content-Type", "text/plain; charset=utf-8")
		a.body = []byte(a.detail + "\n")
	}
	c.log(a)
	if a.drop {
		panic(http.ErrAbortHandler)
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // net/http would guess one
	}
	c.w.WriteHeader(a.status)
	if _, err := c.w.Write(a.body); err != nil {
		return
	}
	if a.stream != nil {
		c.copyStream(ctx, a.stream)
	}
}

// endlessAnswer is how many bytes of an answer of unknown length may come before its caller's
// time is over. Longer ones are taken for bytes without end.
const endlessAnswer = 16 << 20

// copyStream passes on an answer that is too long to be kept. One that breaks
// off must look so to the caller.
func (c *call) copyStream(ctx context.Context, stream *passedOn) {
	defer stream.Close()
	// A caller that is being answered waits on beyond the route's timeout.
	patience := maxPatience
	if c.info.Patience > 0 {
		patience = c.info.Patience
	}
	c.timer.Reset(time.Until(c.arrived.Add(patience)))
	n, err := io.Copy(c.w, stream)
	if err == nil {
		stream.l.Finished()
		return
	}
	cause := context.Cause(ctx)
	brokeOff := cause == nil && stream.failed
	endless := errors.Is(cause, context.DeadlineExceeded) && stream.ContentLength < 0 && n >= endlessAnswer
	suspect := (brokeOff || endless) && stream.l.Unfinished()
	c.s.cfg.Log.Info().Str("request", c.info.ID).Str("target", stream.l.ID).Err(err).Int64("bytes", n).
		Bool("broke_off", brokeOff).Bool("endless", endless).Bool("suspect", suspect).Msg("an answer did not end")
	c.abort()
}

// abort ends an answer that has begun, so that it does not look complete.
func (c *call) abort() {
	if !c.r.ProtoAtLeast(1, 1) { // there, the end of the connection ends the answer
		conn, _, err := http.NewResponseController(c.w).Hijack()
		if err != nil {
			c.s.cfg.Log.Warn().Err(err).Str("request", c.info.ID).Msg("an answer that broke off may look complete")
			panic(http.ErrAbortHandler)
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only where the connection is gone
		}
		_ = conn.Close()
	}
	panic(http.ErrAbortHandler)
}

// end releases what the call holds.
func (c *call) end() {
	if c.timer != nil {
		c.timer.Stop()
	}
}

func (c *call) log(a *answer) {
	counters := &c.s.counters
	switch {
	case !a.own:
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
	if c.account != nil {
		e.Str("account", c.account.Name)
	}
	c.logTargets(e)
	c.repeats.log(e)
	if len(c.limited.targets) > 0 {
		e.Strs("limited", c.limited.targets)
	}
	if c.suspect != "" {
		e.Str("fingerprint", c.suspect).Int("prior", c.prior).Bool("trial", c.trial)
	}
	if a.own {
		e.Str("reason", string(a.reason)).Dur("retry_ms", a.retry)
	}
	if c.note != "" {
		e.Str("note", c.note)
	}
	e.Msg("request")
}

func (c *call) logTargets(e *zerolog.Event) {
	if len(c.sent) == 0 {
		return
	}
	ids := make([]string, len(c.sent))
	for i, l := range c.sent {
		ids[i] = l.ID
	}
	last := c.sent[len(c.sent)-1]
	e.Strs("targets", ids).Str("region", last.Region).Int("load", c.load).Int64("list", c.version).Bool("may_have_run", c.mayHaveRun)
}

// log adds the repeats to the request's line, and the budget as the last decision saw it.
func (r *repeats) log(e *zerolog.Event) {
	if r.free == 0 && r.use == nil {
		return
	}
	d := zerolog.Dict().Int("charged", r.charged).Int("free", r.free)
	if u := r.use; u != nil {
		d.Bool("denied", !u.Granted).Float64("available", u.Available).Float64("capacity", u.Capacity).Float64("requests", u.Requests).Int("vms", u.VMs)
	}
	e.Dict("repeats", d)
}
