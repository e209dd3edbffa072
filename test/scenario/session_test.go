package scenario

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// recordSession records what ramp and call do: session start; and writes it
// with its variable parts replaced: session write FILE. Scripts compare the
// file with a golden one by cmp; go test -update rewrites those.
func (w *world) recordSession(ts *testscript.TestScript, args []string) error {
	switch {
	case len(args) == 1 && args[0] == "start":
		w.session = &strings.Builder{}
		return nil
	case len(args) == 2 && args[0] == "write" && w.session != nil:
		return os.WriteFile(ts.MkAbs(args[1]), []byte(w.stable(w.session.String())), 0o600)
	default:
		return errors.New("usage: session start, then session write FILE")
	}
}

func (w *world) record(command, output string) {
	if w.session != nil {
		fmt.Fprintf(w.session, "$ %s\n%s\n", command, output)
	}
}

// ramp runs the operators' client: ramp ARG...
func (w *world) ramp(ts *testscript.TestScript, args []string) error {
	err := ts.Exec("crocusramp", args...)
	output := ts.ReadFile("stdout") + ts.ReadFile("stderr")
	if err != nil {
		output += fmt.Sprintf("(%v)\n", err)
	}
	w.record("crocusramp "+strings.Join(args, " "), output)
	return err
}

// variable are the texts that differ from run to run.
var variable = []struct {
	pattern *regexp.Regexp
	label   string
}{
	{regexp.MustCompile(`"id": "\w+"`), `"id": "<id>"`},
	{regexp.MustCompile(`\bkey \w{16}\b`), "key <id>"},
	{regexp.MustCompile(`withdraw \w{16}\b`), "withdraw <id>"},
	{regexp.MustCompile(`crk_[A-Za-z0-9_-]+`), "<key>"},
	{regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`), "<uuid>"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z`), "<time>"},
	{regexp.MustCompile(`"X-Scenario-Call":\["\w+"\]`), `"X-Scenario-Call":["<call>"]`},
	{regexp.MustCompile(`"X-Request-Deadline-Ms":\["\d+"\]`), `"X-Request-Deadline-Ms":["<ms>"]`},
	{regexp.MustCompile(`"Traceparent":\["[^"]+"\]`), `"Traceparent":["<trace>"]`},
	{regexp.MustCompile(`"ticket":"[^"]+"`), `"ticket":"<ticket>"`},
	{regexp.MustCompile(`"target":"t-\d+"`), `"target":"<target>"`},
}

// stable replaces what differs from run to run.
func (w *world) stable(text string) string {
	var longest []string
	for value := range w.labels {
		longest = append(longest, value)
	}
	slices.SortFunc(longest, func(a, b string) int { return len(b) - len(a) })
	for _, value := range longest {
		text = strings.ReplaceAll(text, value, w.labels[value])
	}
	for _, v := range variable {
		text = v.pattern.ReplaceAllString(text, v.label)
	}
	return text
}
