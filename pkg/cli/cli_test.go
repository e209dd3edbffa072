package cli

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/feed"
	"crocusramp.dev/crocusramp/pkg/operator"
)

// fakeFeed is an in-memory configuration with its history.
type fakeFeed struct {
	mu      sync.Mutex
	config  *config.Config
	changes []config.Change
}

func (f *fakeFeed) Ready() bool { return true }

func (f *fakeFeed) Snapshot() config.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return config.Snapshot{Config: f.config, Fresh: true}
}

func (f *fakeFeed) Propose(_ context.Context, build feed.BuildFunc, expected int64) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if expected > 0 && expected != f.config.Version {
		return 0, &feed.ConflictError{Current: f.config.Version, Reason: "expected another version"}
	}
	ch, err := build(f.config)
	if err != nil {
		return 0, err
	}
	ch.ID, ch.Version = uuid.New(), f.config.Version+1
	ch.Time = time.Date(2030, 1, 2, 3, 4, int(ch.Version), 0, time.UTC)
	next, err := f.config.Apply(ch)
	if err != nil {
		return 0, err
	}
	f.config, f.changes = next, append(f.changes, ch)
	return next.Version, nil
}

func (f *fakeFeed) History(_ context.Context, before int64, limit int) ([]config.Change, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []config.Change
	for i := len(f.changes) - 1; i >= 0 && len(out) < limit; i-- {
		if before == 0 || f.changes[i].Version < before {
			out = append(out, f.changes[i])
		}
	}
	return out, nil
}

// newServer starts a test server of the operators' API and returns its URL. wrap may add middleware.
func newServer(t testing.TB, cfg operator.Config, wrap func(http.Handler) http.Handler) string {
	if cfg.Feed == nil {
		cfg.Feed = &fakeFeed{config: config.Empty()}
	}
	h := operator.NewServer(cfg).Handler()
	if wrap != nil {
		h = wrap(h)
	}
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

// runCLI runs one command line against the server.
func runCLI(server string, args ...string) (status int, stdout, stderr string) {
	var out, errs bytes.Buffer
	env := func(name string) string {
		if name == EnvServer {
			return server
		}
		return ""
	}
	status = Run(args, &out, &errs, env)
	return status, out.String(), errs.String()
}

func TestExitStatus(t *testing.T) {
	server := newServer(t, operator.Config{}, nil)
	for _, tc := range []struct {
		args   string
		status int
		stderr string
	}{
		{"account create a --rate 10 --burst 2", ExitOK, ""},
		{"account create a --rate 10 --burst 2", ExitFailure, "exists already"},
		{"account create b --rate -1 --burst 2", ExitFailure, `rate "-1"`},
		{"account create b --rate NaN --burst 2", ExitFailure, "rate"},
		{"account create b --rate x --burst 2", ExitUsage, "rate"},
		{"account create b --burst 2", ExitUsage, "RATE is required: see crocusramp account create --help"},
		{"account update a --rate 11 --expect-version 7", ExitFailure, "conflict"},
		{"account update a --rate 11 --expect-version 1", ExitOK, ""},
		{"account show x", ExitFailure, "does not exist"},
		{"account", ExitUsage, "command is missing"},
		{"", ExitUsage, "command is missing"},
		{"nonsense", ExitUsage, "nonsense"},
		{"drain create planet x", ExitUsage, "planet"},
		{"route create r --path /x --pool p --mode maybe", ExitUsage, "maybe"},
		{"status", ExitFailure, "unavailable"},
		{"account list --server ftp://x", ExitUsage, "--server"},
		{"account list --server http://127.0.0.1:1", ExitFailure, "refused"},
		{"--help", ExitOK, ""},
		{"key grant --help", ExitOK, ""},
	} {
		status, stdout, stderr := runCLI(server, strings.Fields(tc.args)...)
		if status != tc.status || !strings.Contains(stderr, tc.stderr) {
			t.Errorf("%q: unexpected exit status %d or stderr %q", tc.args, status, stderr)
		}
		if (status == ExitOK) != (stderr == "") || strings.Count(stderr, "\n") > 1 {
			t.Errorf("%q: stderr %q, want nothing on success and one line on failure", tc.args, stderr)
		}
		if status != ExitOK && stdout != "" {
			t.Errorf("%q: failed, but stdout is %q", tc.args, stdout)
		}
	}
}

func TestToken(t *testing.T) {
	const token = "a token of enough length"
	server := newServer(t, operator.Config{}, operator.RequireToken([]string{operator.HashToken(token)}))
	if status, _, stderr := runCLI(server, "account", "list"); status != ExitFailure || !strings.Contains(stderr, "token") {
		t.Errorf("without token: exit status %d, stderr %q", status, stderr)
	}
	if status, _, _ := runCLI(server, "account", "list", "--token", "another"); status != ExitFailure {
		t.Errorf("wrong token: exit status %d", status)
	}
	if status, _, stderr := runCLI(server, "account", "list", "--token", token); status != ExitOK {
		t.Errorf("valid token: exit status %d, stderr %q", status, stderr)
	}
}
