package telemetry

import (
	"fmt"
	"io"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// asyncBufferLines is the number of log lines that are buffered. Further lines are dropped.
const asyncBufferLines = 1024

// NewAsyncWriter returns a writer that buffers log lines and never blocks. Lines that do not fit
// into the buffer are dropped, and a log line reports their number.
func NewAsyncWriter(w io.Writer) io.WriteCloser {
	return diode.NewWriter(w, asyncBufferLines, 0, func(missed int) {
		fmt.Fprintf(w, `{"level":"warn","dropped":%d,"message":"log lines were dropped"}`+"\n", missed)
	})
}

// NewUnlimitedLogger returns a logger that, unlike NewLogger, writes all repeated events. w must not
// block.
func NewUnlimitedLogger(w io.Writer, cfg LogConfig) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(cfg.Level)
	if err != nil {
		return zerolog.Nop(), fmt.Errorf("log level %q: %w", cfg.Level, err)
	}
	if cfg.Text {
		w = textWriter(w)
	}
	return zerolog.New(w).Level(level).With().Timestamp().Str("vm", cfg.VM).Logger(), nil
}
