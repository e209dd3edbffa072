// Package cli is the operators' command line: it turns arguments into calls of
// the operators' API and their answers into tables or JSON.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/twitchtv/twirp"

	"crocusramp.dev/crocusramp/pkg/operator"
)

// The exit statuses.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

const (
	// DefaultServer is the operators' API of a daemon on this machine.
	DefaultServer = "http://127.0.0.1:7070"
	// EnvServer and EnvToken name the environment variables that stand in
	// for --server and --token.
	EnvServer = "CROCUSRAMP_SERVER"
	EnvToken  = "CROCUSRAMP_TOKEN"

	callTimeout = 20 * time.Second
)

// options are the arguments of the program. The fields with subcommands come
// first, so that the help lists them in this order.
type options struct {
	Account *accountCommands `arg:"subcommand:account" help:"client accounts"`
	Key     *keyCommands     `arg:"subcommand:key" help:"keys of client accounts"`
	Route   *routeCommands   `arg:"subcommand:route" help:"routes from paths to pools of targets"`
	Limit   *limitCommands   `arg:"subcommand:limit" help:"rate limits of client accounts"`
	Shift   *shiftCommands   `arg:"subcommand:shift" help:"traffic shifts between regions"`
	Drain   *drainCommands   `arg:"subcommand:drain" help:"drains of regions, failure domains, targets and VMs"`
	VM      *vmCommands      `arg:"subcommand:vm" help:"VMs of the fleet"`
	Config  *configCommands  `arg:"subcommand:config" help:"configuration and its history"`
	Status  *statusCommand   `arg:"subcommand:status" help:"state of the fleet"`

	Server string `arg:"--server" placeholder:"URL" help:"operators' API [default: http://127.0.0.1:7070, env: CROCUSRAMP_SERVER]"`
	Token  string `arg:"--token" help:"operator's token [env: CROCUSRAMP_TOKEN]"`
	JSON   bool   `arg:"--json" help:"print one JSON document"`
}

// Description implements arg.Described.
func (options) Description() string {
	return "crocusramp drives a crocusramp fleet through its operators' API."
}

// command is a selected subcommand.
type command interface {
	run(ctx context.Context, c *client) (*result, error)
}

// Run executes one command line, without the program's name, and returns the
// exit status. Results go to stdout, errors to stderr.
func Run(args []string, stdout, stderr io.Writer, env func(string) string) int {
	var o options
	parser, err := arg.NewParser(arg.Config{Program: "crocusramp", IgnoreEnv: true}, &o)
	if err != nil {
		return fail(stderr, ExitUsage, err)
	}
	err = parser.Parse(args)
	if errors.Is(err, arg.ErrHelp) {
		_ = parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...)
		return ExitOK
	}
	if err != nil {
		return fail(stderr, ExitUsage, fmt.Errorf("%w: %s", err, seeHelp(parser.SubcommandNames())))
	}
	cmd, ok := parser.Subcommand().(command)
	if !ok {
		return fail(stderr, ExitUsage, errors.New("a command is missing: "+seeHelp(parser.SubcommandNames())))
	}
	c, err := newClient(o, env)
	if err != nil {
		return fail(stderr, ExitUsage, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	p := printer{out: stdout, json: o.JSON}
	if err := execute(ctx, cmd, c, p); err != nil {
		return fail(stderr, ExitFailure, explain(err, c.server))
	}
	return ExitOK
}

// seeHelp names the command line that shows the help of a subcommand.
func seeHelp(subcommand []string) string {
	words := append([]string{"see crocusramp"}, subcommand...)
	return strings.Join(append(words, "--help"), " ")
}

// execute runs the command once, or again and again if it watches.
func execute(ctx context.Context, cmd command, c *client, p printer) error {
	w, ok := cmd.(watcher)
	if ok && w.watch() > 0 {
		return watch(ctx, cmd, c, p, w.watch())
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := cmd.run(ctx, c)
	if err != nil {
		return err
	}
	return p.print(r)
}

// fail prints one line, whatever the error holds.
func fail(stderr io.Writer, status int, err error) int {
	line := strings.Join(strings.FieldsFunc(err.Error(), func(r rune) bool { return r < ' ' }), " ")
	fmt.Fprintf(stderr, "crocusramp: %s\n", line)
	return status
}

// explain turns an error of a call into what an operator needs to know.
func explain(err error, server string) error {
	var te twirp.Error
	if !errors.As(err, &te) {
		return err
	}
	switch te.Code() {
	case twirp.Aborted:
		return fmt.Errorf("conflict: %s", te.Msg())
	case twirp.Unavailable:
		if te.Meta(operator.MetaOutcome) == operator.OutcomeUnknown {
			return fmt.Errorf("%s (see crocusramp config history)", te.Msg())
		}
		return fmt.Errorf("unavailable, nothing was changed: %s", te.Msg())
	case twirp.Internal:
		if cause := errors.Unwrap(te); cause != nil {
			return fmt.Errorf("%s: %w", server, cause)
		}
	}
	return errors.New(te.Msg())
}

// newClient resolves server and token from arguments and environment.
func newClient(o options, env func(string) string) (*client, error) {
	server := first(o.Server, env(EnvServer), DefaultServer)
	u, err := url.Parse(server)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return nil, fmt.Errorf("--server %q must be a URL such as %s", server, DefaultServer)
	}
	return connect(server, first(o.Token, env(EnvToken)), &http.Client{}), nil
}

func first(values ...string) string {
	for _, v := range values {
		if v != "" {
			return v
		}
	}
	return ""
}
