package edge

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"crocusramp.dev/crocusramp/internal/hangup"
	"crocusramp.dev/crocusramp/pkg/daemon"
	"crocusramp.dev/crocusramp/pkg/settings"
	"crocusramp.dev/crocusramp/pkg/telemetry"
)

// Run runs `crocusrampd edge` until ctx ends.
func Run(ctx context.Context, c *daemon.EdgeCommand, stdout io.Writer) error {
	s, err := settings.LoadEdge(c.Settings)
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Fprintf(stdout, "%s: the settings are valid\n", c.Settings)
		return nil
	}
	reload := make(chan struct{}, 1)
	go forwardReloads(ctx, hangup.Signals(), reload)
	out := telemetry.NewAsyncWriter(stdout)
	defer out.Close()
	log, err := telemetry.NewUnlimitedLogger(out, telemetry.LogConfig{Level: s.Log.Level, Text: s.Log.Format == "text", VM: s.VM.ID})
	if err != nil {
		return fmt.Errorf("%w: log: %w", settings.ErrInvalid, err)
	}
	d, err := New(ctx, c.Settings, s, log)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(d.capacity.MemoryBytes)
	return d.Run(ctx, reload)
}

// forwardReloads turns signals into reload requests. Signals that arrive while a reload is
// pending are merged into it.
func forwardReloads(ctx context.Context, hangups <-chan os.Signal, reload chan<- struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		select {
		case reload <- struct{}{}:
		default:
		}
	}
}
