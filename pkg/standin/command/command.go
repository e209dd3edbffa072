// Package command runs each stand-in as a separate process, for tests of whole
// fleets.
package command

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"crocusramp.dev/crocusramp/pkg/standin/directory"
	"crocusramp.dev/crocusramp/pkg/standin/target"
	"crocusramp.dev/crocusramp/platform/standin"
)

// exitUsage is the exit status for an invalid command line.
const exitUsage = 2

// serviceArgs holds the arguments of a platform service.
type serviceArgs struct {
	Listen string `arg:"--listen,required" help:"address to listen on, as host:port"`
}

// targetArgs holds the arguments of a target.
type targetArgs struct {
	serviceArgs
	Name         string        `arg:"--name,required"`
	Slots        int           `arg:"--slots" help:"requests that run at once"`
	ServiceTime  time.Duration `arg:"--service-time" help:"mean time of a request"`
	Exponential  bool          `arg:"--exponential" help:"spread service times exponentially"`
	Seed         uint64        `arg:"--seed"`
	ColdRequests int           `arg:"--cold-requests" help:"requests that run slower after a start"`
	ColdFactor   float64       `arg:"--cold-factor" default:"1"`
	ReportLag    time.Duration `arg:"--report-lag" help:"age of /load and /healthz"`
	RestartAfter time.Duration `arg:"--restart-after" help:"time until a crashed target listens again; 0 is never"`
}

func (a *targetArgs) config() target.Config {
	c := target.Config{
		Name: a.Name, Slots: a.Slots, ServiceTime: a.ServiceTime, Seed: a.Seed,
		ColdRequests: a.ColdRequests, ColdFactor: a.ColdFactor,
		ReportLag: a.ReportLag, RestartAfter: a.RestartAfter,
	}
	if a.Exponential {
		c.Distribution = target.Exponential
	}
	return c
}

type args struct {
	Store     *serviceArgs `arg:"subcommand:store" help:"metadata store"`
	Directory *serviceArgs `arg:"subcommand:directory" help:"list of VMs"`
	Target    *targetArgs  `arg:"subcommand:target" help:"target"`
	Link      *linkArgs    `arg:"subcommand:link" help:"TCP link that is cut by killing it"`
}

// Main runs a stand-in until the process is killed. It returns the exit status.
func Main() int { return Run(os.Args[1:], os.Stderr) }

// Run runs the stand-in that commandLine names. It returns the exit status.
func Run(commandLine []string, stderr io.Writer) int {
	var a args
	parser, err := arg.NewParser(arg.Config{Program: "standin"}, &a)
	if err != nil {
		panic(err) // the tags of args are invalid
	}
	err = parser.Parse(commandLine)
	switch {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(stderr)
		return 0
	case err != nil:
		fmt.Fprintln(stderr, "standin:", err)
		return exitUsage
	}
	if err := a.run(); err != nil {
		fmt.Fprintln(stderr, "standin:", err)
		return 1
	}
	return 0
}

func (a *args) run() error {
	switch {
	case a.Store != nil:
		return a.Store.serve(standin.New().Handler())
	case a.Directory != nil:
		return a.Directory.serve(directory.New().Handler())
	case a.Target != nil:
		return a.Target.listen(target.New(a.Target.config()).Serve)
	case a.Link != nil:
		return a.Link.listen(a.Link.forward)
	default:
		return errors.New("name a stand-in: store, directory, target or link")
	}
}

func (a *serviceArgs) serve(handler http.Handler) error {
	return a.listen((&http.Server{Handler: handler}).Serve)
}

func (a *serviceArgs) listen(serve func(net.Listener) error) error {
	l, err := net.Listen("tcp", a.Listen)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", a.Listen, err)
	}
	return serve(l)
}
