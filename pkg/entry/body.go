package entry

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"crocusramp.dev/crocusramp/pkg/capacity"
	"crocusramp.dev/crocusramp/pkg/conntrack"
)

// maxReplayBytes is the largest part of a request's body that is kept for a retry.
const maxReplayBytes = 64 << 10

// peekBytes is the size of the buffer into which the beginning of a body is read.
const peekBytes = 4 << 10

// keptCost is the memory of the kept part, per byte: its buffer grows by copying.
const keptCost = 2

// errBodyAborted reports that the exchange stopped reading the caller's body.
var errBodyAborted = errors.New("reading the request body was aborted")

// body is a caller's request body. It keeps the first part of what it has read. The
// request can be retried as long as no more than that part has been read.
type body struct {
	source io.Reader
	// control sets the read deadline that unblocks a read from the caller.
	control *http.ResponseController
	conn    *conntrack.Conn // nil if it is not tracked
	memory  *capacity.Use

	mu sync.Mutex
	// check, if set, is called before each read from the caller. Its error fails the
	// read.
	check    func() error
	started  bool
	kept     []byte
	read     int64
	complete bool
	err      error
}

// newBody returns the body of a request, or nil if it has none.
func newBody(w http.ResponseWriter, r *http.Request, limit int64, memory *capacity.Use) *body {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	return &body{source: http.MaxBytesReader(nil, r.Body, limit), control: http.NewResponseController(w), conn: conntrack.Of(r.Context()), memory: memory}
}

// newReader returns a reader of the body from its start, for one exchange.
func (b *body) newReader() io.ReadCloser {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startLocked()
	return &bodyReader{body: b, kept: b.kept}
}

func (b *body) startLocked() {
	if b.started {
		return
	}
	b.started = true
	b.conn.Receiving()
	// A target may answer before it has read the whole body. A server that does
	// not support full duplex reads the rest of the body first.
	_ = b.control.EnableFullDuplex()
}

// abort unblocks a pending read. The body cannot be read any further.
func (b *body) abort() {
	b.mu.Lock()
	complete := b.complete
	if !complete && b.err == nil {
		b.err = errBodyAborted
	}
	b.mu.Unlock()
	if complete {
		return // no read is pending, and the deadline would stop net/http from watching the connection
	}
	// Fails only if the connection is already closed, which also unblocks the read.
	_ = b.control.SetReadDeadline(time.Unix(1, 0))
}

// setReadDeadline sets the time after which reads from the caller fail.
func (b *body) setReadDeadline(deadline time.Time) {
	if b != nil {
		// Unsupported only if there is no connection.
		_ = b.control.SetReadDeadline(deadline)
	}
}

// replayable reports whether the body can be read again from its start.
func (b *body) replayable() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.read == int64(len(b.kept)) && (b.complete || b.err == nil)
}

// peek reads the caller's body until n bytes of it are kept or it ends, and
// returns the kept bytes.
func (b *body) peek(n int) []byte {
	if b == nil {
		return nil
	}
	var piece []byte
	for {
		b.mu.Lock()
		b.startLocked()
		kept, stop := b.kept, b.complete || b.err != nil || b.read > int64(len(b.kept))
		b.mu.Unlock()
		if stop || len(kept) >= n {
			return kept
		}
		if piece == nil {
			piece = make([]byte, min(n, peekBytes))
		}
		m, err := b.source.Read(piece[:min(n-len(kept), len(piece))])
		b.recordRead(piece[:m], err)
	}
}

// partlyRead reports whether reading the body has begun and is not complete. The
// server cannot find the next request on the caller's connection then.
func (b *body) partlyRead() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.started && !b.complete
}

// fullyRead reports whether the whole body was read.
func (b *body) fullyRead() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.complete
}

// bodyReader reads the kept part of a body and then continues with the caller.
type bodyReader struct {
	body *body
	kept []byte
}

func (r *bodyReader) Read(p []byte) (int, error) {
	if len(r.kept) > 0 {
		n := copy(p, r.kept)
		r.kept = r.kept[n:]
		return n, nil
	}
	b := r.body
	b.mu.Lock()
	complete, failed := b.complete, b.err
	b.mu.Unlock()
	if complete {
		return 0, io.EOF
	}
	if failed != nil {
		return 0, failed
	}
	if b.check != nil {
		if err := b.check(); err != nil {
			b.recordRead(nil, err)
			return 0, err
		}
	}
	n, err := b.source.Read(p)
	b.recordRead(p[:n], err)
	return n, err
}

// Close does nothing: the server closes the caller's body.
func (r *bodyReader) Close() error { return nil }

// recordRead records the result of a read from the caller.
func (b *body) recordRead(p []byte, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.read == int64(len(b.kept)) && len(b.kept)+len(p) <= maxReplayBytes && b.memory.TakeRequest(int64(len(p))*keptCost) {
		b.kept = append(b.kept, p...)
	}
	b.read += int64(len(p))
	switch {
	case err == io.EOF:
		b.complete = true
		b.conn.Received()
	case err != nil && b.err == nil:
		b.err = err
	}
}
