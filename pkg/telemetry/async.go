package telemetry

import (
	"fmt"
	"io"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// asyncLines is how many log lines may wait to be written; more are dropped.
const asyncLines = 1024

// NewAsyncWriter returns a writer that never blocks. Lines that do not fit are
// dropped; a line tells how many.
func NewAsyncWriter(w io.Writer) io.WriteCloser {
	return diode.NewWriter(w, asyncLines, 0, func(missed int) {
		fmt.Fprintf(w, `{"level":"warn","dropped":%d,"message":"log lines were dropped"}`+"\n", missed)
	})
}

// NewDecisionLogger returns a logger that writes every event. w must not block.
func NewDecisionLogger(w io.Writer, cfg LogConfig) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(cfg.Level)
	if err != nil {
		return zerolog.Nop(), fmt.Errorf("log level %q: %w", cfg.Level, err)
	}
	if cfg.Text {
		w = textWriter(w)
	}
	return zerolog.New(w).Level(level).With().Timestamp().Str("vm", cfg.VM).Logger(), nil
}
