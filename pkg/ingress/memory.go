package ingress

import (
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"crocusramp.dev/crocusramp/pkg/outcome"
)

const (
	// minBodyBuffer is the first size of the buffer of a request's body, which doubles.
	minBodyBuffer = 1 << 10
	// minResponseBuffer is the first part of a response of unknown length that is buffered; it doubles.
	minResponseBuffer = 64 << 10
	// minReceiveTime is how long a body may arrive before the request is given up for others.
	minReceiveTime = time.Second
	// minDeliveryTime is the least time for the writing of an answer that is ready.
	minDeliveryTime = 10 * time.Second
	// maxDiscardTime bounds the wait for the rest of a body that nobody needs; net/http reads it before it
	// writes the answer.
	maxDiscardTime = time.Second
)

// errOverloaded is the cancellation cause of requests that are given up because others need their memory.
var errOverloaded = errors.New("this VM has too little memory for the request")

// refuseOverloaded returns the answer to a request for which there is too little memory and that has not run.
func (c *call) refuseOverloaded() *answer {
	c.s.counters.overloaded.Inc(1)
	return refuse(http.StatusServiceUnavailable, outcome.ReasonOverloaded, fullRetryMin+rand.N(fullRetryMax-fullRetryMin), errOverloaded.Error())
}

// bufferBody reads a body whole. If there is too little memory, the requests whose bodies have been arriving for the
// longest time are given up; if there are none, it returns errOverloaded.
func (c *call) bufferBody(r io.Reader) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			grown := max(minBodyBuffer, 2*cap(body))
			if !c.takeBody(int64(grown - cap(body))) {
				return nil, errOverloaded
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// takeBody takes n bytes for a body that is being read.
func (c *call) takeBody(n int64) bool {
	if c.memory.TakeRequest(n) {
		return true
	}
	if !c.s.giveUpBodies(c, n) {
		return false
	}
	c.memory.OverdrawRequest(n)
	return true
}

// giveUpBodies ends the requests whose bodies have been arriving for the longest time, until they release n bytes. It
// returns false and ends none if there are too few that have been arriving for minReceiveTime.
func (s *Server) giveUpBodies(but *call, n int64) bool {
	type receiving struct {
		call  *call
		since time.Time
		taken int64
	}
	var all []receiving
	now := time.Now()
	for _, c := range s.inflight.list() {
		c.progress.mu.Lock()
		if c != but && c.progress.stage == stageBody && !c.progress.givenUp && now.Sub(c.progress.since) >= minReceiveTime {
			all = append(all, receiving{c, c.progress.since, c.memory.Request()})
		}
		c.progress.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b receiving) int { return cmp.Or(a.since.Compare(b.since), cmp.Compare(b.taken, a.taken)) })
	enough := 0
	for left := n; left > 0; enough++ {
		if enough == len(all) {
			return false
		}
		left -= all[enough].taken
	}
	for _, r := range all[:enough] {
		r.call.giveUp()
	}
	return true
}

// giveUp ends a request whose body is still arriving.
func (c *call) giveUp() {
	c.progress.mu.Lock()
	defer c.progress.mu.Unlock()
	if c.progress.stage == stageBody && !c.progress.givenUp {
		c.progress.givenUp = true
		c.s.counters.evicted.Inc(1)
		c.cancel(errOverloaded)
	}
}

// boundDelivery bounds the time in which the answer is written, and that in which the rest of a body arrives that
// nobody needs. From now on, the connection may be closed to make room for others.
func (c *call) boundDelivery() {
	control := http.NewResponseController(c.w)
	timeout := maxTimeout
	if c.info.Timeout > 0 {
		timeout = min(timeout, c.info.Timeout)
	}
	now, deadline := time.Now(), c.arrived.Add(timeout)
	if earliest := now.Add(minDeliveryTime); deadline.Before(earliest) {
		deadline = earliest
	}
	// The deadlines can be set unless the connection is closed, which also ends reads and writes.
	_ = control.SetWriteDeadline(deadline)
	if c.r.ContentLength != 0 && !c.bodyComplete.Load() && !c.readAborted.Load() && !c.streamed {
		_ = control.SetReadDeadline(now.Add(maxDiscardTime))
	}
	c.connection().Delivering()
}

// startTimer cancels the request at its deadline.
func (c *call) startTimer() {
	c.timer = time.AfterFunc(time.Until(c.arrived.Add(c.timeout())), func() { c.cancel(context.DeadlineExceeded) })
}
