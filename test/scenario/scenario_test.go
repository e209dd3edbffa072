// Package scenario runs whole fleets of separate processes over scripts in
// testdata: the daemon, the operators' client, stand-ins and callers, with
// real signals. The commands of the scripts are listed in README.md.
package scenario

import (
	"fmt"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"crocusramp.dev/crocusramp/pkg/standin/command"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"standin": func() { os.Exit(command.Main()) },
	})
}

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
	})
}

// commands are what the scripts can use beside testscript's own.
var commands = map[string]func(*testscript.TestScript, bool, []string){
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
	processes map[string]*process
	loads     map[string]*load
	// values are the results that expect compares.
	values map[string]float64
}

// worldKey finds the world in a script's values.
type worldKey struct{}

func setup(env *testscript.Env) error {
	w := &world{
		host:      newHost(),
		processes: map[string]*process{},
		loads:     map[string]*load{},
		values:    map[string]float64{},
	}
	env.Values[worldKey{}] = w
	env.Setenv("HOST", w.host)
	env.Defer(w.killAll)
	env.Defer(w.stopLoads)
	return nil
}

func withWorld(f func(*world, *testscript.TestScript, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		err := f(ts.Value(worldKey{}).(*world), ts, args)
		switch {
		case neg && err == nil:
			ts.Fatalf("unexpected success")
		case neg:
			ts.Logf("failed as expected: %v", err)
		case err != nil:
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
