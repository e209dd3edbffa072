package entry

import (
	"context"
	"sync"
)

// inFlight counts the requests in flight and can be closed to new ones.
type inFlight struct {
	mu      sync.Mutex
	count   int
	closing bool
	drained chan struct{}
}

func newInFlight() *inFlight { return &inFlight{drained: make(chan struct{})} }

// begin counts a new request. It returns false if the counter is closed.
func (f *inFlight) begin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closing {
		return false
	}
	f.count++
	return true
}

// end ends a request that begin has counted.
func (f *inFlight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.closing && f.count == 0 {
		close(f.drained)
	}
}

func (f *inFlight) isClosing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closing
}

// close makes begin refuse new requests and waits until none is in flight.
func (f *inFlight) close(ctx context.Context) error {
	f.mu.Lock()
	if !f.closing {
		f.closing = true
		if f.count == 0 {
			close(f.drained)
		}
	}
	f.mu.Unlock()
	select {
	case <-f.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
