package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alexflint/go-arg"

	"crocusramp.dev/crocusramp/internal/hangup"
	"crocusramp.dev/crocusramp/pkg/settings"
	"crocusramp.dev/crocusramp/pkg/telemetry"
)

// The exit statuses of crocusrampd.
const (
	ExitOK      = 0
	ExitFailure = 1
	// ExitUsage reports an invalid command line or invalid settings.
	ExitUsage = 2
)

type fileCommand struct {
	Config string `arg:"--config,required" placeholder:"FILE" help:"settings in JSON"`
}

// DevCommand holds the options of `crocusrampd dev`.
type DevCommand struct {
	Operators string   `arg:"--operators" default:"127.0.0.1:7070" placeholder:"ADDR" help:"address of the operators' API"`
	Callers   []string `arg:"--callers" placeholder:"ADDR" help:"callers' addresses, one for each VM [default: 127.0.0.1:8080 127.0.0.1:8081 127.0.0.1:8082]"`
	Targets   int      `arg:"--targets" default:"2" help:"targets in each region and pool"`
	LogLevel  string   `arg:"--log-level" default:"info" help:"debug, info, warn or error"`
}

type commands struct {
	Serve *fileCommand `arg:"subcommand:serve" help:"run one VM's daemon"`
	Edge  *EdgeCommand `arg:"subcommand:edge" help:"run one VM on a platform that holds the configuration and the list of targets"`
	Check *fileCommand `arg:"subcommand:check" help:"check settings and exit"`
	Dev   *DevCommand  `arg:"subcommand:dev" help:"run three VMs, targets and a platform stand-in in one process, for trying things out"`
}

// EdgeCommand holds the options of `crocusrampd edge`.
type EdgeCommand struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"settings in JSON"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`
}

// Commands holds the implementations of commands from other packages.
type Commands struct {
	Dev  func(ctx context.Context, c *DevCommand, stdout, stderr io.Writer) error
	Edge func(ctx context.Context, c *EdgeCommand, stdout io.Writer) error
}

// Description implements arg.Described.
func (commands) Description() string {
	return "crocusrampd steers requests from callers to targets."
}

// Main runs the command line args, which excludes the program's name, and
// returns the exit status.
func Main(args []string, stdout, stderr io.Writer, other Commands) int {
	var c commands
	parser, err := arg.NewParser(arg.Config{Program: "crocusrampd", IgnoreEnv: true}, &c)
	if err != nil {
		return fail(stderr, ExitUsage, err)
	}
	if err := parser.Parse(args); errors.Is(err, arg.ErrHelp) {
		_ = parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...)
		return ExitOK
	} else if err != nil {
		return fail(stderr, ExitUsage, err)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	if c.Serve == nil && c.Edge == nil {
		hangup.Release()
	}
	switch {
	case c.Serve != nil:
		err = serveFile(ctx, c.Serve.Config, stderr)
	case c.Check != nil:
		err = checkFile(c.Check.Config, stdout)
	case c.Dev != nil:
		err = other.Dev(ctx, c.Dev, stdout, stderr)
	case c.Edge != nil:
		err = other.Edge(ctx, c.Edge, stdout)
	default:
		return fail(stderr, ExitUsage, errors.New("a command is missing: serve, edge, check or dev"))
	}
	switch {
	case errors.Is(err, settings.ErrInvalid):
		return fail(stderr, ExitUsage, err)
	case err != nil:
		return fail(stderr, ExitFailure, err)
	}
	return ExitOK
}

func fail(stderr io.Writer, status int, err error) int {
	fmt.Fprintf(stderr, "crocusrampd: %v\n", err)
	return status
}

func checkFile(path string, stdout io.Writer) error {
	if _, err := settings.Load(path); err != nil {
		return err
	}
	fmt.Fprintf(stdout, "%s: the settings are valid\n", path)
	return nil
}

func serveFile(ctx context.Context, path string, stderr io.Writer) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	log, err := telemetry.NewLogger(stderr, telemetry.LogConfig{Level: s.Log.Level, Text: s.Log.Format == "text", VM: s.VM.ID})
	if err != nil {
		return fmt.Errorf("%w: log: %w", settings.ErrInvalid, err)
	}
	go func() {
		for ctx.Err() == nil {
			select {
			case <-hangup.Signals():
				log.Warn().Msg("SIGHUP ignored; restart the daemon to apply changed settings")
			case <-ctx.Done():
			}
		}
	}()
	d, err := New(ctx, s, log)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(d.capacity.MemoryBytes)
	return d.Run(ctx)
}
