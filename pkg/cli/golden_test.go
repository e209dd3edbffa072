package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sebdah/goldie/v2"
	"google.golang.org/protobuf/types/known/durationpb"

	operatorpb "crocusramp.dev/crocusramp/api/operator/v1"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/operator"
)

// fixedStatus returns the constant status of a small fleet.
type fixedStatus struct{}

func (fixedStatus) Status(context.Context) (*operatorpb.StatusResponse, error) {
	vm := func(id, domain, state string) *operatorpb.VMStatus {
		return &operatorpb.VMStatus{
			Id: id, Region: "muntenia", FailureDomain: domain, State: state, ConfigVersion: 9,
			SlotsHeld: 8, FreePermits: 40, CallerAddress: "10.0.0.1:8080",
		}
	}
	return &operatorpb.StatusResponse{
		Vm:     "vm1",
		Config: &operatorpb.ConfigStatus{Version: 9, Age: durationpb.New(412 * time.Millisecond), Fresh: true, Relay: "vm1"},
		Store:  &operatorpb.StoreStatus{TableReachable: true, SinceAnswer: durationpb.New(400 * time.Millisecond)},
		Vms:    []*operatorpb.VMStatus{vm("vm1", "muntenia-a", "live"), vm("vm2", "muntenia-b", "leaving")},
		Regions: []*operatorpb.RegionStatus{
			{Name: "muntenia", Pool: "registru", Permits: 60, InUse: 48, Queued: 3},
			{Name: "moldova", Pool: "registru", Permits: 60, InUse: 12},
		},
		Accounts:       []*operatorpb.AccountStatus{{Name: "Moara Prahova", Rate: 200, Share: 50, Admitted: 1200, Refused: 7}},
		LeavingTargets: []*operatorpb.TargetStatus{{Id: "registru-7", Pool: "registru", Region: "moldova", InUse: 2}},
		Shifts: []*operatorpb.ShiftStatus{{
			Name: "evening", Pool: "registru", From: "muntenia", To: "moldova",
			CapPercent: 10, ActualPercent: 9.5, Seen: 200, Moved: 19,
		}},
	}, nil
}

// sessionCommands are the command lines of a typical operator's session.
var sessionCommands = [][]string{
	{"account", "create", "Moara Prahova", "--rate", "100", "--burst", "20"},
	{"account", "create", "Țesătoria Iași", "--rate", "0.5", "--burst", "5", "--weight", "2"},
	{"account", "create", "Moara Prahova", "--rate", "1", "--burst", "1"},
	{"account", "list"},
	{"account", "update", "Moara Prahova", "--weight", "3", "--expect-version", "1"},
	{"account", "update", "Moara Prahova", "--weight", "3", "--expect-version", "2"},
	{"limit", "set", "Moara Prahova", "--rate", "200"},
	{"limit", "set", "Moara Prahova", "--rate", "-1"},
	{"limit", "list"},
	{"key", "grant", "Moara Prahova"},
	{"key", "grant", "Țesătoria Iași", "--json"},
	{"key", "grant", "nobody"},
	{"key", "list"},
	{"key", "list", "Moara Prahova"},
	{"key", "withdraw", "nothing"},
	{"route", "create", "lookup", "--path", "/certificates", "--pool", "registru", "--mode", "idempotent", "--priority", "high", "--timeout", "2s", "--method", "GET", "--method", "HEAD"},
	{"route", "create", "stamp", "--path", "/stamps", "--pool", "registru", "--mode", "at-most-once", "--timeout", "5s"},
	{"route", "create", "clash", "--path", "/stamps", "--pool", "arhiva", "--mode", "idempotent"},
	{"route", "list"},
	{"route", "show", "lookup", "--json"},
	{"shift", "create", "evening", "--pool", "registru", "--from", "muntenia", "--to", "moldova", "--cap", "10"},
	{"shift", "update", "evening", "--pool", "registru", "--from", "muntenia", "--to", "moldova", "--cap", "101"},
	{"shift", "list"},
	{"drain", "create", "failure-domain", "moldova-b"},
	{"drain", "list"},
	{"drain", "delete", "failure_domain-moldova-b"},
	{"account", "delete", "Țesătoria Iași", "--json"},
	{"account", "show", "Țesătoria Iași"},
	{"vm", "list"},
	{"status"},
	{"config", "history", "--limit", "4"},
	{"config", "show"},
}

var (
	keyText   = regexp.MustCompile(`crk_[a-z2-7]{16}_[a-z2-7]{52}`)
	keyID     = regexp.MustCompile(`\b[a-z2-7]{16}\b`)
	timestamp = regexp.MustCompile(`20\d\d-\d\d-\d\dT\d\d:\d\d:\d\dZ`)
)

func TestGoldenSession(t *testing.T) {
	server := newServer(t, operator.Config{Status: fixedStatus{}}, nil)
	var out bytes.Buffer
	for _, args := range sessionCommands {
		status, stdout, stderr := runCLI(server, args...)
		fmt.Fprintf(&out, "$ crocusramp %s\n%s%s", strings.Join(args, " "), stdout, stderr)
		if status != ExitOK {
			fmt.Fprintf(&out, "[exit status %d]\n", status)
		}
		out.WriteByte('\n')
	}
	// Keys, their IDs and times differ between runs, so placeholders replace them. The golden file
	// still checks where they appear. An ID's placeholder is as long as an ID, so that the columns
	// of tables stay aligned.
	text := keyText.ReplaceAll(out.Bytes(), []byte("KEY"))
	text = keyID.ReplaceAll(text, []byte("AN-ID-OF-A-KEY--"))
	text = timestamp.ReplaceAll(text, []byte("2030-01-01T00:00:00Z"))
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "session", sortKeys(text))
}

// sortKeys sorts adjacent lines of keys by account. The command sorts them by their random IDs, so
// their order differs between runs.
func sortKeys(text []byte) []byte {
	lines := strings.Split(string(text), "\n")
	for i := 1; i < len(lines); i++ {
		both := strings.HasPrefix(lines[i-1], "AN-ID") && strings.HasPrefix(lines[i], "AN-ID")
		if both && lines[i-1] > lines[i] {
			lines[i-1], lines[i] = lines[i], lines[i-1]
		}
	}
	return []byte(strings.Join(lines, "\n"))
}

// TestJSONOnEveryCommand checks that every successful command of the session prints exactly one JSON
// document with --json.
func TestJSONOnEveryCommand(t *testing.T) {
	server := newServer(t, operator.Config{Status: fixedStatus{}}, nil)
	for _, args := range sessionCommands {
		status, stdout, _ := runCLI(server, append(args, "--json")...)
		if status != ExitOK {
			continue
		}
		d := json.NewDecoder(strings.NewReader(stdout))
		var doc map[string]any
		if err := d.Decode(&doc); err != nil || d.More() {
			t.Errorf("%v: not one JSON document: %v: %s", args, err, stdout)
		}
		if args[0] == "key" && args[1] == "grant" && (doc["id"] == nil || doc["key"] == nil) {
			t.Errorf("%v: id or key is missing: %s", args, stdout)
		}
	}
}

// TestNoKeyLeaks checks that no key appears in the log, the history, a list, an error or the stored
// configuration, even if an operator pastes one in the wrong place.
func TestNoKeyLeaks(t *testing.T) {
	var log bytes.Buffer
	f := &fakeFeed{config: config.Empty()}
	server := newServer(t, operator.Config{
		Feed: f, Status: fixedStatus{}, Log: zerolog.New(zerolog.SyncWriter(&log)).Level(zerolog.TraceLevel),
	}, nil)
	runCLI(server, "account", "create", "a", "--rate", "1", "--burst", "1")
	_, stdout, _ := runCLI(server, "key", "grant", "a", "--json")
	var granted struct{ ID, Key string }
	if err := json.Unmarshal([]byte(stdout), &granted); err != nil {
		t.Fatal(err)
	}
	secret := granted.Key[strings.LastIndex(granted.Key, "_")+1:]
	var output bytes.Buffer
	for _, args := range [][]string{
		{"key", "list"}, {"config", "show"}, {"config", "history"}, {"status"},
		{"key", "withdraw", granted.Key},
		{"key", "grant", granted.Key},
		{"account", "create", granted.Key, "--rate", "1", "--burst", "1"},
		{"account", "show", granted.Key},
		{"route", "create", "r", "--path", "/" + granted.Key, "--pool", "p", "--mode", "idempotent"},
		{"route", "create", granted.Key, "--path", "/x", "--pool", granted.Key, "--mode", "idempotent"},
		{"drain", "create", "vm", granted.Key},
		{"config", "history", "--json"}, {"config", "show", "--json"},
		{"key", "withdraw", granted.ID},
	} {
		_, stdout, stderr := runCLI(server, args...)
		output.WriteString(stdout + stderr)
	}
	snapshot, err := f.config.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{"log": log.String(), "output": output.String(), "configuration": string(snapshot)} {
		if strings.Contains(text, secret) || text == "" {
			t.Errorf("the %s contains the secret or is empty:\n%s", name, text)
		}
	}
}
