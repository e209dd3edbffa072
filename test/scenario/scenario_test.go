// Package scenario runs whole fleets of separate processes over scripts in
// testdata: the daemon, the operators' client, stand-ins and callers, with
// real signals. The commands of the scripts are listed in README.md.
package scenario

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"crocusramp.dev/crocusramp/pkg/cli"
	"crocusramp.dev/crocusramp/pkg/daemon"
	"crocusramp.dev/crocusramp/pkg/dev"
	"crocusramp.dev/crocusramp/pkg/standin/command"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"crocusrampd": func() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr, daemon.Commands{Dev: dev.Run})) },
		"crocusramp":  func() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr, os.Getenv)) },
		"standin":     func() { os.Exit(command.Main()) },
	})
}

// update rewrites the golden files in scripts.
var update = flag.Bool("update", false, "rewrite golden files")

func TestScenarios(t *testing.T) {
	if testing.Short() {
		t.Skip("separate processes under load")
	}
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		Setup:               setup,
		Cmds:                commands,
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		UpdateScripts:       *update,
	})
}

// maxScripts is how many scripts run at once; each starts about ten processes.
const maxScripts = 3

var scripts = make(chan struct{}, maxScripts)

// commands are what the scripts can use beside testscript's own.
var commands = map[string]func(*testscript.TestScript, bool, []string){
	"fleet":   withWorld((*world).fleet),
	"vm":      withWorld((*world).vm),
	"newvm":   withWorld((*world).newVM),
	"listed":  withWorld((*world).listed),
	"account": withWorld((*world).account),
	"mark":    withWorld((*world).mark),
	"ramp":    withWorld((*world).ramp),
	"session": withWorld((*world).recordSession),
	"ready":   withWorld((*world).ready),
	"waitkey": withWorld((*world).waitKeys),
	"settled": withWorld((*world).settled),
	"ports":   withWorld((*world).ports),
	"start":   withWorld((*world).start),
	"signal":  withWorld((*world).signal),
	"stopped": withWorld((*world).stopped),
	"waitfor": withWorld((*world).waitFor),
	"call":    withWorld((*world).call),
	"capture": withWorld((*world).capture),
	"load":    withWorld((*world).load),
	"loaded":  withWorld((*world).loaded),
	"expect":  withWorld((*world).expect),
	"post":    withWorld((*world).post),
	"ledger":  withWorld((*world).ledger),
	"nokeys":  withWorld((*world).noKeys),
	"pause":   withWorld((*world).pause),
}

// world is the state of one script.
type world struct {
	host      string
	given     map[string]bool // ports that were given out
	processes map[string]*process
	loads     map[string]*load
	// values are the results that expect compares.
	values  map[string]float64
	current *fleet
	// marks are instants that results are measured from.
	marks map[string]time.Time
	// labels stand for variable texts in golden files.
	labels map[string]string
	// session is what was called since the script began to record.
	session *strings.Builder
	// keys are the keys of client accounts by account.
	keys map[string]string
}

// worldKey finds the world in a script's values.
type worldKey struct{}

func setup(env *testscript.Env) error {
	scripts <- struct{}{}
	env.Defer(func() { <-scripts })
	w := &world{
		host:      newHost(),
		given:     map[string]bool{},
		processes: map[string]*process{},
		loads:     map[string]*load{},
		values:    map[string]float64{},
		keys:      map[string]string{},
		marks:     map[string]time.Time{},
		labels:    map[string]string{},
	}
	env.Values[worldKey{}] = w
	env.Setenv("HOST", w.host)
	env.Defer(w.killAll)
	env.Defer(w.stopLoads)
	return nil
}

func withWorld(f func(*world, *testscript.TestScript, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		w := ts.Value(worldKey{}).(*world)
		err := f(w, ts, args)
		switch {
		case neg && err == nil:
			ts.Fatalf("unexpected success")
		case neg:
			ts.Logf("failed as expected: %v", err)
		case err != nil:
			w.logTails(ts)
			ts.Fatalf("%v", err)
		}
	}
}

// usage returns an error unless args has at least n elements.
func usage(args []string, n int, text string) error {
	if len(args) < n {
		return fmt.Errorf("usage: %s", text)
	}
	return nil
}
