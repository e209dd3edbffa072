package conntrack

import (
	"bytes"
	"io"
	"time"
)

const (
	// headerSlack is what net/http may read behind the end of a header.
	headerSlack = 4 << 10
	// headerByteCost and headerLineCost are the memory of a header, per byte and per line: a parsed line is an
	// entry of a map with two strings.
	headerByteCost = 2
	headerLineCost = 200
	// refuseTimeout bounds the writing of a refusal.
	refuseTimeout = 100 * time.Millisecond
)

// headerTooLong is the response to a header that exceeds the limit.
const headerTooLong = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// headerSize is the size of a header, or of the part of it that has arrived.
type headerSize struct{ bytes, lines int }

func (h headerSize) memory() int64 {
	return int64(h.bytes)*headerByteCost + int64(h.lines)*headerLineCost
}

// HeaderMemory returns the memory of the current request's header. c may be nil.
func (c *Conn) HeaderMemory() int64 {
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.header.memory()
}

// countHeader counts bytes that have arrived if they belong to a header. It returns false if the header is too
// long; the connection must then be closed.
func (c *Conn) countHeader(b []byte) bool {
	c.mu.Lock()
	if c.state != stateReading {
		c.mu.Unlock()
		return true
	}
	before := c.header.memory()
	c.header.bytes += len(b)
	c.header.lines += bytes.Count(b, []byte{'\n'})
	grown, tooLong := c.header.memory()-before, false
	if limit := c.tracker.config.MaxHeaderBytes; limit != nil && c.header.bytes > limit()+headerSlack {
		tooLong = true
		c.setEnd(EndHeader)
	}
	c.mu.Unlock()
	if tooLong {
		c.tracker.counters.header.Inc(1)
		_ = c.SetWriteDeadline(time.Now().Add(refuseTimeout)) // fails only on a closed connection
		_, _ = io.WriteString(c.TCPConn, headerTooLong)       // the caller may not read it
		return false
	}
	c.tracker.takeHeader(c, grown)
	return true
}

// takeHeader takes the memory of a header from the budget. If there is too little, it evicts the connections that
// have been sending their headers for the longest time.
func (t *Tracker) takeHeader(c *Conn, n int64) {
	budget := t.config.Headers
	if !budget.Take(n) {
		t.evictHeaders(n)
		budget.Overdraw(n)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.untracked || c.state != stateReading {
		budget.Release(n)
		return
	}
	c.headerTaken += n
}

// releaseHeader returns the memory of a header that has been read. The caller holds mu.
func (c *Conn) releaseHeader() {
	c.tracker.config.Headers.Release(c.headerTaken)
	c.headerTaken = 0
}

// evictHeaders closes connections whose headers take at least n bytes.
func (t *Tracker) evictHeaders(n int64) {
	var evicted []candidate
	for _, k := range t.candidates() {
		if n <= 0 || k.rank != rankUnread {
			break
		}
		if k.header > 0 && k.conn.evict() {
			evicted = append(evicted, k)
			n -= k.header
		}
	}
	t.report(evicted, "headers take too much memory")
}
