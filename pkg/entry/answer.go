package entry

import (
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"crocusramp.dev/crocusramp/pkg/claim"
	"crocusramp.dev/crocusramp/pkg/dispatch"
	"crocusramp.dev/crocusramp/pkg/forward"
	"crocusramp.dev/crocusramp/pkg/outcome"
)

const (
	// wholeBytes is the size up to which an answer is read whole before any
	// of it goes to the caller.
	wholeBytes = 64 << 10
	// copyBytes is the buffer of streamed answers.
	copyBytes = 32 << 10
)

// answer is what became of one attempt: a refusal, or a target's answer.
type answer struct {
	refusal *outcome.Refusal
	// transient refusals may succeed elsewhere.
	transient bool
	// death identifies the death of the target that ran the request.
	death string
	// unreached reports that a peer was sent nothing.
	unreached bool
	// shed reports that the target refused before running the request.
	shed bool
	// callerLeft reports that the caller ended the exchange: it went away or
	// its body could not be sent.
	callerLeft bool

	// outcome is what a peer said of the request; empty from targets.
	outcome string
	status  int
	header  http.Header
	// head is the whole body, or its first part where stream is set.
	head   []byte
	stream *forward.Response
	// release gives the permit back; it is set together with stream.
	release func(dispatch.Result)
	started time.Time
	// finish, where set, records the end of the stream.
	finish func(claim.State, claim.Answer)
}

// readAnswer reads a response whole if it is small. A response that ends too
// early is an error.
func readAnswer(resp *forward.Response) (*answer, error) {
	a := &answer{status: resp.StatusCode, header: resp.Header}
	a.outcome, a.death = a.header.Get(headerOutcome), a.header.Get(headerDied)
	removeHopByHop(a.header)
	size := wholeBytes + 1
	if n := resp.ContentLength; n >= 0 && n < int64(size) {
		size = int(n) + 1
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

// shut closes the stream of an answer that is not delivered.
func (a *answer) shut() {
	if a.stream != nil {
		a.stream.Close()
		a.stream = nil
	}
}

// deliver sends the answer to the caller.
func (s *Server) deliver(c *call, a *answer) {
	if c.body.unfinished() {
		c.w.Header().Set("Connection", "close")
	} else if c.body.finished() {
		c.r.Body = http.NoBody
	}
	if a.refusal != nil {
		if a.death != "" && c.handedOver {
			c.w.Header().Set(headerDied, a.death)
		}
		s.refuse(c.w, c.r, c.shownID, a.refusal)
		return
	}
	h := c.w.Header()
	maps.Copy(h, a.header)
	h.Set(headerRequestID, c.shownID)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	if c.handedOver {
		h.Set(headerOutcome, outcome.Done.String())
	}
	if a.stream == nil {
		s.deliverWhole(c, a)
		return
	}
	s.deliverStream(c, a)
}

func (s *Server) deliverWhole(c *call, a *answer) {
	if bodyAllowed(c.r.Method, a.status) {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(a.head)))
	}
	respond(c.w, c.r, a.status, a.head)
}

// bodyAllowed reports whether a response has a body whose length is known
// from what was read.
func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// deliverStream copies a large answer. A failure on the target's side aborts
// the caller's connection, so that a cut answer never looks whole.
func (s *Server) deliverStream(c *call, a *answer) {
	if n := a.stream.ContentLength; n >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	}
	c.w.WriteHeader(a.status)
	err := copyAnswer(c, a)
	result := dispatch.Result{Outcome: outcome.Done, Status: a.status, Latency: time.Since(a.started)}
	state := claim.Done
	if err != nil {
		result.Outcome, state = outcome.Unknown, claim.Ended
	}
	if a.finish != nil {
		a.finish(state, claim.Answer{Status: a.status})
	}
	a.stream.Close()
	a.release(result)
	if err == nil {
		s.clear(c)
	}
	if err != nil {
		s.meters.aborted.Inc(1)
		panic(http.ErrAbortHandler)
	}
}

// copyAnswer flushes after each read, for callers that wait for a part.
func copyAnswer(c *call, a *answer) error {
	w := c.w
	if _, err := w.Write(a.head); err != nil {
		return err
	}
	control := http.NewResponseController(w)
	buffer := make([]byte, copyBytes)
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
