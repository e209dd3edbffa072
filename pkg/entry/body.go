package entry

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// replayBytes is how much of a request's body is kept for a retry.
const replayBytes = 64 << 10

// errCut reports that the exchange stopped reading the caller's body.
var errCut = errors.New("request body was cut off")

// body is a caller's request body. It keeps the first part of what was read,
// so that a request may be sent again as long as nothing more was read.
type body struct {
	source io.Reader
	// control stops a read that waits for the caller.
	control *http.ResponseController

	mu sync.Mutex
	// check, where set, is asked before each read from the caller.
	check    func() error
	started  bool
	kept     []byte
	read     int64
	complete bool
	failed   error
}

// newBody returns nil where the request has no body.
func newBody(w http.ResponseWriter, r *http.Request, limit int64) *body {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	return &body{source: http.MaxBytesReader(nil, r.Body, limit), control: http.NewResponseController(w)}
}

// sending returns a reader of the body from its start, for one exchange.
func (b *body) sending() io.ReadCloser {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startLocked()
	return &sending{body: b, replay: b.kept}
}

func (b *body) startLocked() {
	if b.started {
		return
	}
	b.started = true
	// A target may answer before it has read the whole body. Where the server
	// cannot do that, it reads the rest of the body first.
	_ = b.control.EnableFullDuplex()
}

// abort makes a blocked read return; the body cannot be read further.
func (b *body) abort() {
	b.mu.Lock()
	complete := b.complete
	if !complete && b.failed == nil {
		b.failed = errCut
	}
	b.mu.Unlock()
	if complete {
		return // nobody reads, and the server watches the connection
	}
	// Fails only where the connection is gone, which unblocks the read too.
	_ = b.control.SetReadDeadline(time.Unix(1, 0))
}

// limit ends reads from a caller that is too slow.
func (b *body) limit(deadline time.Time) {
	if b != nil {
		// Not supported only where there is no connection.
		_ = b.control.SetReadDeadline(deadline)
	}
}

// replayable reports whether the body can be sent again from its start.
func (b *body) replayable() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.read == int64(len(b.kept)) && (b.complete || b.failed == nil)
}

// peek reads the caller's body until n bytes of it are kept or it ends, and
// returns what is kept.
func (b *body) peek(n int) []byte {
	if b == nil {
		return nil
	}
	for {
		b.mu.Lock()
		b.startLocked()
		kept, stop := b.kept, b.complete || b.failed != nil || b.read > int64(len(b.kept))
		b.mu.Unlock()
		if stop || len(kept) >= n {
			return kept
		}
		p := make([]byte, n-len(kept))
		m, err := b.source.Read(p)
		b.note(p[:m], err)
	}
}

// unfinished reports whether the caller's connection is in the middle of the
// body. The server cannot find the next request on it then.
func (b *body) unfinished() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.started && !b.complete
}

// finished reports whether the whole body was read.
func (b *body) finished() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.complete
}

// sending reads the kept part first and then the caller.
type sending struct {
	body   *body
	replay []byte
}

func (s *sending) Read(p []byte) (int, error) {
	if len(s.replay) > 0 {
		n := copy(p, s.replay)
		s.replay = s.replay[n:]
		return n, nil
	}
	b := s.body
	b.mu.Lock()
	complete, failed := b.complete, b.failed
	b.mu.Unlock()
	if complete {
		return 0, io.EOF
	}
	if failed != nil {
		return 0, failed
	}
	if b.check != nil {
		if err := b.check(); err != nil {
			b.note(nil, err)
			return 0, err
		}
	}
	n, err := b.source.Read(p)
	b.note(p[:n], err)
	return n, err
}

// Close does nothing: the server closes the caller's body.
func (s *sending) Close() error { return nil }

// note records what was read from the caller.
func (b *body) note(p []byte, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.read == int64(len(b.kept)) && len(b.kept)+len(p) <= replayBytes {
		b.kept = append(b.kept, p...)
	}
	b.read += int64(len(p))
	switch {
	case err == io.EOF:
		b.complete = true
	case err != nil && b.failed == nil:
		b.failed = err
	}
}
