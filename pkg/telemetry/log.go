// Package telemetry sets up what a daemon shows of itself: structured logs,
// metrics and traces.
package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// repeatPeriod is the time in which equal log events are counted.
	repeatPeriod = 10 * time.Second
	// repeatLimit is how many equal events are written in one period.
	repeatLimit = 5
	// maxDistinctMessages bounds the memory for counting.
	maxDistinctMessages = 1024
)

// LogConfig sets up a logger.
type LogConfig struct {
	// Level is debug, info, warn or error.
	Level string
	// Text writes lines for people in place of JSON.
	Text bool
	// VM is added to every event.
	VM string
}

// NewLogger returns a logger that writes one event a line to w. Events of the
// same level and message are dropped past 5 in 10 s; the next one that passes
// tells how many were dropped.
func NewLogger(w io.Writer, cfg LogConfig) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(cfg.Level)
	if err != nil {
		return zerolog.Nop(), fmt.Errorf("log level %q: %w", cfg.Level, err)
	}
	if cfg.Text {
		w = textWriter(w)
	}
	hook := &repeatHook{now: time.Now, seen: map[repeatKey]*repeatCount{}}
	return zerolog.New(w).Level(level).With().Timestamp().Str("vm", cfg.VM).Logger().Hook(hook), nil
}

// textWriter writes events for people.
func textWriter(w io.Writer) io.Writer {
	return zerolog.ConsoleWriter{Out: w, NoColor: true, TimeFormat: time.TimeOnly}
}

type repeatKey struct {
	level   zerolog.Level
	message string
}

type repeatCount struct {
	since   time.Time
	written int
	dropped int
}

// repeatHook limits equal events.
type repeatHook struct {
	now  func() time.Time
	mu   sync.Mutex
	seen map[repeatKey]*repeatCount
}

// Run discards the event where its message came too often.
func (h *repeatHook) Run(e *zerolog.Event, level zerolog.Level, message string) {
	write, dropped := h.count(repeatKey{level, message})
	if !write {
		e.Discard()
		return
	}
	if dropped > 0 {
		e.Int("repeats_dropped", dropped)
	}
}

func (h *repeatHook) count(k repeatKey) (write bool, dropped int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	c := h.seen[k]
	if c == nil {
		if len(h.seen) >= maxDistinctMessages {
			clear(h.seen)
		}
		c = &repeatCount{since: now}
		h.seen[k] = c
	}
	if now.Sub(c.since) >= repeatPeriod {
		dropped = c.dropped
		*c = repeatCount{since: now}
	}
	if c.written >= repeatLimit {
		c.dropped++
		return false, 0
	}
	c.written++
	return true, dropped
}
