// Package control provides the event loop: the single goroutine that owns a VM's
// control state.
//
// State machines are plain values whose methods are called only on the loop.
// I/O runs on other goroutines, which post its result back to the loop.
// Goroutines that serve requests read what the loop publishes through atomic
// pointers.
package control

import (
	"context"
	"sync"
	"time"
)

// queueLength is the number of posted functions that may be queued before Post blocks.
const queueLength = 1024

// Loop runs functions one at a time, in the order in which they were posted.
type Loop struct {
	events  chan func()
	done    chan struct{}
	workers sync.WaitGroup
}

// NewLoop returns a loop. Its functions run only while Run runs.
func NewLoop() *Loop {
	return &Loop{events: make(chan func(), queueLength), done: make(chan struct{})}
}

// Run executes posted functions until ctx ends, then waits for the goroutines
// that Go and Every started with that ctx.
func (l *Loop) Run(ctx context.Context) {
	defer l.workers.Wait()
	defer close(l.done)
	for {
		select {
		case f := <-l.events:
			f()
		case <-ctx.Done():
			return
		}
	}
}

// Post queues f for the loop. It returns false if the loop has ended.
func (l *Loop) Post(f func()) bool {
	select {
	case l.events <- f:
		return true
	case <-l.done:
		return false
	}
}

// Call runs f on the loop and waits until it returns. Call must not be called on
// the loop. It returns false if the loop or ctx ended before f had run.
func (l *Loop) Call(ctx context.Context, f func()) bool {
	ran := make(chan struct{})
	if !l.Post(func() { f(); close(ran) }) {
		return false
	}
	select {
	case <-ran:
		return true
	case <-l.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// Go runs f on a new goroutine, for I/O. f must return when ctx ends.
func (l *Loop) Go(ctx context.Context, f func(ctx context.Context)) {
	l.workers.Add(1)
	go func() {
		defer l.workers.Done()
		f(ctx)
	}()
}

// Every posts f immediately and then once per period, until ctx ends.
func (l *Loop) Every(ctx context.Context, period time.Duration, f func()) {
	l.Go(ctx, func(ctx context.Context) {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for l.Post(f) {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
	})
}
