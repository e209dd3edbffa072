// Package cli implements the operators' command line. It turns arguments into calls of the
// operators' API and prints the responses as tables or JSON.
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

// Exit statuses.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

const (
	// DefaultServer is the URL of the operators' API of a daemon on this machine.
	DefaultServer = "http://127.0.0.1:7070"
	// EnvServer and EnvToken are the environment variables that set the defaults of --server and
	// --token.
	EnvServer = "CROCUSRAMP_SERVER"
	EnvToken  = "CROCUSRAMP_TOKEN"

	callTimeout = 20 * time.Second
)

// options are the arguments of the program. The help lists the subcommands in the order of their
// fields.
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

// Run executes a command line and returns the exit status. args does not include the program name.
// Results are written to stdout and errors to stderr.
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
		return fail(stderr, ExitUsage, fmt.Errorf("%w: %s", err, helpHint(parser.SubcommandNames())))
	}
	cmd, ok := parser.Subcommand().(command)
	if !ok {
		return fail(stderr, ExitUsage, errors.New("a command is missing: "+helpHint(parser.SubcommandNames())))
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

// helpHint returns a hint to the command line that prints the help of a subcommand.
func helpHint(subcommand []string) string {
	words := append([]string{"see crocusramp"}, subcommand...)
	return strings.Join(append(words, "--help"), " ")
}

// execute runs the command once, or periodically if it has a refresh period.
func execute(ctx context.Context, cmd command, c *client, p printer) error {
	w, ok := cmd.(watchable)
	if ok && w.refreshPeriod() > 0 {
		return watch(ctx, cmd, c, p, w.refreshPeriod())
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := cmd.run(ctx, c)
	if err != nil {
		return err
	}
	return p.print(r)
}

// fail prints the error on one line and returns the status. Control characters in the error, such as
// line breaks, are replaced by spaces.
func fail(stderr io.Writer, status int, err error) int {
	line := strings.Join(strings.FieldsFunc(err.Error(), func(r rune) bool { return r < ' ' }), " ")
	fmt.Fprintf(stderr, "crocusramp: %s\n", line)
	return status
}

// explain turns the error of a call into a message for the operator.
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

// newClient returns a client for the server and token from the arguments, the environment or the
// defaults, in this order.
func newClient(o options, env func(string) string) (*client, error) {
	server := firstNonEmpty(o.Server, env(EnvServer), DefaultServer)
	u, err := url.Parse(server)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return nil, fmt.Errorf("--server %q must be a URL such as %s", server, DefaultServer)
	}
	return clientFor(server, firstNonEmpty(o.Token, env(EnvToken)), &http.Client{}), nil
}

// firstNonEmpty returns the first value that is not empty, or "".
func firstNonEmpty(values ...string) string {
	for _, v := range values {
		if v != "" {
			return v
		}
	}
	return ""
}
