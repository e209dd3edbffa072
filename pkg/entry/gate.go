package entry

import (
	"context"
	"sync"
)

// gate counts the requests that run and can be closed to new ones.
type gate struct {
	mu      sync.Mutex
	running int
	shut    bool
	empty   chan struct{}
}

func newGate() *gate { return &gate{empty: make(chan struct{})} }

// enter counts a request in, or reports false where the gate is closed.
func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut {
		return false
	}
	g.running++
	return true
}

// leave counts a request out.
func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.shut && g.running == 0 {
		close(g.empty)
	}
}

func (g *gate) closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shut
}

// close stops enter and waits for the requests that run.
func (g *gate) close(ctx context.Context) error {
	g.mu.Lock()
	if !g.shut {
		g.shut = true
		if g.running == 0 {
			close(g.empty)
		}
	}
	g.mu.Unlock()
	select {
	case <-g.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
