// Package scenario runs the scripts in testdata against whole fleets of separate
// processes: daemons, the operators' client and stand-ins. Scripts send requests
// as callers and real signals. Their commands are listed in README.md.
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

// update makes the test rewrite the golden files in scripts.
var update = flag.Bool("update", false, "rewrite golden files")

func TestScenarios(t *testing.T) {
	if testing.Short() {
		t.Skip("runs fleets of separate processes under load")
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

// maxScripts bounds how many scripts run concurrently. Each starts about ten
// processes.
const maxScripts = 3

var scriptSlots = make(chan struct{}, maxScripts)

// commands are the script commands in addition to those of testscript.
var commands = map[string]func(*testscript.TestScript, bool, []string){
	"fleet":   withScenario((*scenario).fleet),
	"vm":      withScenario((*scenario).startConfiguredVMs),
	"newvm":   withScenario((*scenario).newVMs),
	"listed":  withScenario((*scenario).setListedState),
	"account": withScenario((*scenario).account),
	"mark":    withScenario((*scenario).mark),
	"ramp":    withScenario((*scenario).ramp),
	"session": withScenario((*scenario).recordSession),
	"ready":   withScenario((*scenario).waitServing),
	"waitkey": withScenario((*scenario).waitKeys),
	"settled": withScenario((*scenario).waitSlotsHeld),
	"ports":   withScenario((*scenario).ports),
	"start":   withScenario((*scenario).start),
	"signal":  withScenario((*scenario).signal),
	"stopped": withScenario((*scenario).waitStopped),
	"waitfor": withScenario((*scenario).waitFor),
	"call":    withScenario((*scenario).call),
	"capture": withScenario((*scenario).capture),
	"load":    withScenario((*scenario).load),
	"loaded":  withScenario((*scenario).waitLoad),
	"expect":  withScenario((*scenario).expect),
	"post":    withScenario((*scenario).post),
	"ledger":  withScenario((*scenario).ledger),
	"nokeys":  withScenario((*scenario).noKeys),
	"pause":   withScenario((*scenario).pause),
}

// scenario is the state of one script.
type scenario struct {
	host      string
	usedPorts map[string]bool // ports that freePort returned
	processes map[string]*process
	loads     map[string]*load
	// values are the numbers that expect compares.
	values       map[string]float64
	currentFleet *fleet
	// marks are the times that mark recorded, by name.
	marks map[string]time.Time
	// labels map texts that vary between runs, such as addresses, to the labels
	// that replace them in golden files.
	labels map[string]string
	// session holds the recorded commands and their outputs. It is nil before
	// session start.
	session *strings.Builder
	// keys map client accounts to their keys.
	keys map[string]string
}

// scenarioKey is the key of the scenario in a script's values.
type scenarioKey struct{}

func setup(env *testscript.Env) error {
	scriptSlots <- struct{}{}
	env.Defer(func() { <-scriptSlots })
	sc := &scenario{
		host:      newHost(),
		usedPorts: map[string]bool{},
		processes: map[string]*process{},
		loads:     map[string]*load{},
		values:    map[string]float64{},
		keys:      map[string]string{},
		marks:     map[string]time.Time{},
		labels:    map[string]string{},
	}
	env.Values[scenarioKey{}] = sc
	env.Setenv("HOST", sc.host)
	env.Defer(sc.killAll)
	env.Defer(sc.stopLoads)
	return nil
}

func withScenario(f func(*scenario, *testscript.TestScript, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		sc := ts.Value(scenarioKey{}).(*scenario)
		err := f(sc, ts, args)
		switch {
		case neg && err == nil:
			ts.Fatalf("unexpected success")
		case neg:
			ts.Logf("failed as expected: %v", err)
		case err != nil:
			sc.logTails(ts)
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
