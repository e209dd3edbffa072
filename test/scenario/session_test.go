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

// recordSession starts to record the commands ramp and call and their outputs:
// session start, or writes the record to a file, with the texts that vary between
// runs replaced: session write FILE. Scripts compare the file with a golden one by
// cmp; go test -update rewrites the golden files.
func (sc *scenario) recordSession(ts *testscript.TestScript, args []string) error {
	switch {
	case len(args) == 1 && args[0] == "start":
		sc.session = &strings.Builder{}
		return nil
	case len(args) == 2 && args[0] == "write" && sc.session != nil:
		return os.WriteFile(ts.MkAbs(args[1]), []byte(sc.normalize(sc.session.String())), 0o600)
	default:
		return errors.New("usage: session start, then session write FILE")
	}
}

func (sc *scenario) recordCommand(command, output string) {
	if sc.session != nil {
		fmt.Fprintf(sc.session, "$ %s\n%s\n", command, output)
	}
}

// ramp runs the operators' client: ramp ARG...
func (sc *scenario) ramp(ts *testscript.TestScript, args []string) error {
	err := ts.Exec("crocusramp", args...)
	output := ts.ReadFile("stdout") + ts.ReadFile("stderr")
	if err != nil {
		output += fmt.Sprintf("(%v)\n", err)
	}
	sc.recordCommand("crocusramp "+strings.Join(args, " "), output)
	return err
}

// variableTexts are the patterns of texts that vary between runs, and the labels
// that replace them.
var variableTexts = []struct {
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

// normalize replaces the texts that vary between runs. Longer labeled texts come
// first, since they may contain shorter ones.
func (sc *scenario) normalize(text string) string {
	var labeled []string
	for value := range sc.labels {
		labeled = append(labeled, value)
	}
	slices.SortFunc(labeled, func(a, b string) int { return len(b) - len(a) })
	for _, value := range labeled {
		text = strings.ReplaceAll(text, value, sc.labels[value])
	}
	for _, v := range variableTexts {
		text = v.pattern.ReplaceAllString(text, v.label)
	}
	return text
}
