package entry

import (
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"crocusramp.dev/crocusramp/pkg/capacity"
	"crocusramp.dev/crocusramp/pkg/claim"
	"crocusramp.dev/crocusramp/pkg/conntrack"
	"crocusramp.dev/crocusramp/pkg/dispatch"
	"crocusramp.dev/crocusramp/pkg/forward"
	"crocusramp.dev/crocusramp/pkg/outcome"
)

const (
	// maxBufferedBytes is the largest response body that is read completely before
	// any of it is sent to the caller.
	maxBufferedBytes = 64 << 10
	// scarceBufferedBytes is the same while there is little memory.
	scarceBufferedBytes = 2 << 10
	// minDeliveryTime is the least time for the writing of a response that is ready.
	minDeliveryTime = 10 * time.Second
)

// answer is the result of one attempt: a refusal or a target's response.
type answer struct {
	refusal *outcome.Refusal
	// transient is set on a refusal if the request may succeed elsewhere.
	transient bool
	// deathID identifies the death of the target that ran the request; empty if the
	// target did not die.
	deathID string
	// notSent reports that nothing was sent to the peer.
	notSent bool
	// shed reports that the target refused before running the request.
	shed bool
	// callerLeft reports that the caller ended the exchange: it disconnected, or
	// its request body could not be forwarded.
	callerLeft bool

	// outcome is the outcome that a peer reported; empty for a target's response.
	outcome string
	status  int
	header  http.Header
	// head is the complete body, or its first part if stream is set.
	head   []byte
	stream *forward.Response
	// release releases the grant; it is set if stream is set.
	release func(dispatch.Result)
	// started is when the exchange with the target or peer began.
	started time.Time
	// recordEnd, if set, records the result in the request's claim when the stream
	// ends.
	recordEnd func(claim.State, claim.Response)
}

// readResponse reads a response: all of it if it is small, otherwise its first part. It
// returns an error if the response ends too early.
func readResponse(resp *forward.Response, memory *capacity.Use) (*answer, error) {
	a := &answer{status: resp.StatusCode, header: resp.Header}
	a.outcome, a.deathID = a.header.Get(headerOutcome), a.header.Get(headerTargetDied)
	removeHopByHop(a.header)
	size := maxBufferedBytes + 1
	if n := resp.ContentLength; n >= 0 && n < int64(size) {
		size = int(n) + 1
	}
	if size > scarceBufferedBytes && !memory.TakeResponse(int64(size)) {
		size = scarceBufferedBytes
	}
	a.head = make([]byte, size)
	n, err := io.ReadFull(resp, a.head)
	a.head = a.head[:n]
	switch {
	case err == nil:
		a.stream = resp
		return a, nil
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF) && resp.Complete():
		return a, nil
	default:
		return nil, err
	}
}

// closeStream closes the stream, if any, of an answer that is not delivered.
func (a *answer) closeStream() {
	if a.stream != nil {
		a.stream.Close()
		a.stream = nil
	}
}

// deliver sends the answer to the caller.
func (s *Server) deliver(c *call, a *answer) {
	c.boundDelivery()
	if c.body.partlyRead() {
		c.w.Header().Set("Connection", "close")
	} else if c.body.fullyRead() {
		c.r.Body = http.NoBody
	}
	if a.refusal != nil {
		if a.deathID != "" && c.handedOver {
			c.w.Header().Set(headerTargetDied, a.deathID)
		}
		s.refuse(c.w, c.r, c.responseID, a.refusal)
		return
	}
	withholdPromise(a)
	h := c.w.Header()
	maps.Copy(h, a.header)
	h.Set(headerRequestID, c.responseID)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from detecting one
	}
	if c.handedOver {
		h.Set(headerOutcome, outcome.Done.String())
	}
	if a.stream == nil {
		s.deliverBuffered(c, a)
		return
	}
	s.deliverStream(c, a)
}

// boundDelivery bounds the time in which the response is written. From now on, the caller's connection may be closed to
// make room for others.
func (c *call) boundDelivery() {
	deadline := time.Now().Add(minDeliveryTime)
	if c.deadline.After(deadline) {
		deadline = c.deadline
	}
	// Fails only if the connection is closed.
	_ = http.NewResponseController(c.w).SetWriteDeadline(deadline)
	conntrack.Of(c.r.Context()).Delivering()
}

// withholdPromise replaces the status of a target's response that promises "not run", because the target may
// have run the request.
func withholdPromise(a *answer) {
	if outcome.PromisesNotRun(a.status) {
		a.status = http.StatusBadGateway
		a.header.Del(headerRetryAfter)
	}
}

func (s *Server) deliverBuffered(c *call, a *answer) {
	if bodyAllowed(c.r.Method, a.status) {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(a.head)))
	}
	respond(c.w, c.r, a.status, a.head)
}

// bodyAllowed reports whether a response to the method and with the status has a
// body, so that its Content-Length is the number of bytes read.
func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// deliverStream streams a large response to the caller. If the response is truncated,
// it aborts the caller's connection, so that the caller cannot take the response for a
// complete one.
func (s *Server) deliverStream(c *call, a *answer) {
	if n := a.stream.ContentLength; n >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	}
	c.w.WriteHeader(a.status)
	err := copyResponse(c, a)
	result := dispatch.Result{Outcome: outcome.Done, Status: a.status, Latency: time.Since(a.started)}
	state := claim.Done
	if err != nil {
		result.Outcome, state = outcome.Unknown, claim.Incomplete
	}
	if a.recordEnd != nil {
		a.recordEnd(state, claim.Response{Status: a.status})
	}
	a.stream.Close()
	a.release(result)
	if err == nil {
		s.clearSuspect(c)
	}
	if err != nil {
		s.meters.aborted.Inc(1)
		panic(http.ErrAbortHandler)
	}
}

// copyResponse copies the response to the caller. It flushes a response of unknown
// length after each read, for callers that wait for a part of it.
func copyResponse(c *call, a *answer) error {
	w := c.w
	if _, err := w.Write(a.head); err != nil {
		return err
	}
	control := http.NewResponseController(w)
	a.head = nil
	c.memory.ReleaseResponse()
	buffer := c.memory.CopyBuffer()
	for {
		if c.watch != nil {
			if err := c.watch.check(); err != nil {
				return err
			}
		}
		n, err := a.stream.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
			if a.stream.ContentLength < 0 {
				if err := control.Flush(); err != nil {
					return err
				}
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
