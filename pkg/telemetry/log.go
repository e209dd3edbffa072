// Package telemetry sets up a daemon's structured logs, metrics and traces.
package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// rateLimitPeriod is the period in which log events of the same level and message are counted.
	rateLimitPeriod = 10 * time.Second
	// rateLimitEvents is the largest number of such events that are written in one period.
	rateLimitEvents = 5
	// maxDistinctMessages bounds the memory for the counts. At this number they are all reset.
	maxDistinctMessages = 1024
)

// LogConfig configures a logger.
type LogConfig struct {
	// Level is debug, info, warn or error.
	Level string
	// Text selects human-readable lines instead of JSON.
	Text bool
	// VM is added to every event.
	VM string
}

// NewLogger returns a logger that writes one event per line to w. Of the events with the same level
// and message, it writes at most 5 in 10 s and drops the others. The next such event that is
// written contains the number of dropped ones.
func NewLogger(w io.Writer, cfg LogConfig) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(cfg.Level)
	if err != nil {
		return zerolog.Nop(), fmt.Errorf("log level %q: %w", cfg.Level, err)
	}
	if cfg.Text {
		w = textWriter(w)
	}
	hook := &rateLimitHook{now: time.Now, counts: map[eventKey]*eventCount{}}
	return zerolog.New(w).Level(level).With().Timestamp().Str("vm", cfg.VM).Logger().Hook(hook), nil
}

// textWriter returns a writer that formats events as human-readable lines.
func textWriter(w io.Writer) io.Writer {
	return zerolog.ConsoleWriter{Out: w, NoColor: true, TimeFormat: time.TimeOnly}
}

// eventKey identifies events that are counted together.
type eventKey struct {
	level   zerolog.Level
	message string
}

// eventCount counts the events of one key since the start of a period.
type eventCount struct {
	since   time.Time
	written int
	dropped int
}

// rateLimitHook limits the rate of events with the same level and message.
type rateLimitHook struct {
	now    func() time.Time
	mu     sync.Mutex
	counts map[eventKey]*eventCount
}

// Run implements zerolog.Hook. It discards the event if the limit of the period is reached.
func (h *rateLimitHook) Run(e *zerolog.Event, level zerolog.Level, message string) {
	write, dropped := h.count(eventKey{level, message})
	if !write {
		e.Discard()
		return
	}
	if dropped > 0 {
		e.Int("repeats_dropped", dropped)
	}
}

// count counts an event. It reports whether to write it and, for the first event of a new period,
// how many were dropped in the last one.
func (h *rateLimitHook) count(k eventKey) (write bool, dropped int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	c := h.counts[k]
	if c == nil {
		if len(h.counts) >= maxDistinctMessages {
			clear(h.counts)
		}
		c = &eventCount{since: now}
		h.counts[k] = c
	}
	if now.Sub(c.since) >= rateLimitPeriod {
		dropped = c.dropped
		*c = eventCount{since: now}
	}
	if c.written >= rateLimitEvents {
		c.dropped++
		return false, 0
	}
	c.written++
	return true, dropped
}
