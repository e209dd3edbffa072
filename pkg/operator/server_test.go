package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/uuid"

	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/feed"
	"crocusramp.dev/crocusramp/pkg/storage"
)

// fakeFeed applies changes to config, or returns err if it is set.
type fakeFeed struct {
	config *config.Config
	err    error
}

func (f *fakeFeed) Ready() bool { return f.config != nil }

func (f *fakeFeed) Snapshot() config.Snapshot { return config.Snapshot{Config: f.config, Fresh: true} }

func (f *fakeFeed) Propose(_ context.Context, build feed.BuildFunc, _ int64) (int64, error) {
	if f.err != nil {
		return 0, f.err
	}
	ch, err := build(f.config)
	if err != nil {
		return 0, err
	}
	ch.ID, ch.Version = uuid.New(), f.config.Version+1
	next, err := f.config.Apply(ch)
	if err != nil {
		return 0, err
	}
	f.config = next
	return next.Version, nil
}

func (f *fakeFeed) History(context.Context, int64, int) ([]config.Change, error) { return nil, f.err }

// post calls a method with a JSON body and returns the status and the decoded JSON response.
func post(t testing.TB, h http.Handler, method, body string) (int, map[string]any) {
	t.Helper()
	r := httptest.NewRequest(http.MethodPost, PathPrefix+"crocusramp.operator.v1."+method, strings.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	data, err := io.ReadAll(w.Result().Body)
	if err != nil {
		t.Fatal(err)
	}
	var doc map[string]any
	if err := json.Unmarshal(data, &doc); err != nil {
		t.Fatalf("%s: %v: %q", method, err, data)
	}
	return w.Code, doc
}

func TestJSON(t *testing.T) {
	h := NewServer(Config{Feed: &fakeFeed{config: config.Empty()}}).Handler()
	status, doc := post(t, h, "Accounts/Create", `{"account":{"name":"a","rate":10,"burst":5}}`)
	want := map[string]any{
		"account": map[string]any{"name": "a", "rate": 10.0, "burst": 5.0, "weight": 1.0},
		"version": "1",
	}
	if status != http.StatusOK || !cmp.Equal(doc, want) {
		t.Errorf("account: status %d, response (-want +got):\n%v", status, cmp.Diff(want, doc))
	}
	status, doc = post(t, h, "Keys/Grant", `{"account":"a"}`)
	if key, _ := doc["key"].(string); status != http.StatusOK || !strings.HasPrefix(key, "crk_") {
		t.Errorf("key: status %d, response %v, want a key with the prefix crk_", status, doc)
	}
}

func TestErrors(t *testing.T) {
	id := uuid.New()
	const create = `{"account":{"name":"a","rate":10,"burst":5}}`
	for _, tc := range []struct {
		name, method, body string
		err                error
		code               string
		meta               map[string]any
	}{
		{"conflict", "Accounts/Create", create, &feed.ConflictError{Current: 7}, "aborted", map[string]any{MetaCurrentVersion: "7"}},
		{"unknown outcome", "Accounts/Create", create, &feed.OutcomeUnknownError{ID: id, Version: 8, Err: storage.ErrIndeterminate},
			"unavailable", map[string]any{MetaOutcome: OutcomeUnknown, MetaChangeID: id.String(), MetaVersion: "8"}},
		{"store unavailable", "Accounts/Create", create, fmt.Errorf("write: %w", storage.ErrUnavailable),
			"unavailable", map[string]any{MetaOutcome: OutcomeNotRun}},
		{"other error", "Accounts/Create", create, errors.New("boom"), "internal", nil},
		{"negative rate", "Accounts/Create", `{"account":{"name":"a","rate":-1,"burst":5}}`, nil, "invalid_argument", map[string]any{MetaField: "rate"}},
		{"rate is NaN", "Accounts/Create", `{"account":{"name":"a","rate":"NaN","burst":5}}`, nil, "invalid_argument", map[string]any{MetaField: "rate"}},
		{"missing message", "Accounts/Create", `{}`, nil, "invalid_argument", map[string]any{"argument": "account"}},
		{"negative version", "Accounts/Create", `{"account":{"name":"a","rate":1,"burst":5},"expected_version":-1}`, nil,
			"invalid_argument", map[string]any{"argument": "expected_version"}},
		{"not found", "Accounts/Delete", `{"name":"x"}`, nil, "not_found", nil},
		{"not JSON", "Accounts/Create", `{`, nil, "malformed", nil},
		{"body too large", "Accounts/Create", `{"account":{"name":"` + strings.Repeat("a", maxBodyBytes) + `"}}`, nil, "malformed", nil},
		{"unknown method", "Accounts/Explode", `{}`, nil, "bad_route", nil},
		{"unknown pool", "Routes/Create", `{"route":{"name":"r","path_prefix":"/x","pool":"regstru","mode":"idempotent","timeout":"1s"}}`, nil,
			"invalid_argument", map[string]any{MetaField: "pool"}},
		{"unknown region", "Shifts/Create", `{"shift":{"name":"s","pool":"registru","from":"muntenia","to":"moldavia","cap_percent":1}}`, nil,
			"invalid_argument", map[string]any{MetaField: "to"}},
		{"unknown failure domain", "Drains/Create", `{"drain":{"kind":"failure_domain","subject":"x"}}`, nil,
			"invalid_argument", map[string]any{MetaField: "subject"}},
		{"no status source", "Operations/Status", `{}`, nil, "unavailable", map[string]any{MetaOutcome: OutcomeNotRun}},
		{"history limit too large", "Configuration/History", `{"limit":501}`, nil, "invalid_argument", map[string]any{"argument": "limit"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := NewServer(Config{
				Feed: &fakeFeed{config: config.Empty(), err: tc.err},
				KnownNames: KnownNames{
					Pools: []string{"registru"}, Regions: []string{"muntenia", "moldova"}, FailureDomains: []string{"muntenia-a"},
				},
			}).Handler()
			status, doc := post(t, h, tc.method, tc.body)
			if status == http.StatusOK || doc["code"] != tc.code {
				t.Fatalf("status %d, response %v, want code %s", status, doc, tc.code)
			}
			meta, _ := doc["meta"].(map[string]any)
			for k, v := range tc.meta {
				if meta[k] != v {
					t.Errorf("metadata %v, want %v", meta, tc.meta)
				}
			}
		})
	}
}

func TestNotReady(t *testing.T) {
	h := NewServer(Config{Feed: &fakeFeed{}}).Handler()
	if status, doc := post(t, h, "Accounts/List", `{}`); status != http.StatusServiceUnavailable {
		t.Errorf("status %d, response %v, want 503", status, doc)
	}
}

func FuzzJSON(f *testing.F) {
	for _, m := range []string{"Accounts/Create", "Accounts/Update", "Routes/Create", "Shifts/Update", "Drains/Create", "Keys/Grant"} {
		f.Add(m, `{"account":{"name":"a","rate":10,"burst":5}}`)
		f.Add(m, `{"route":{"name":"r","path_prefix":"/x","timeout":"-1s"},"expected_version":"1"}`)
	}
	f.Fuzz(func(t *testing.T, method, body string) {
		h := NewServer(Config{Feed: &fakeFeed{config: config.Empty()}}).Handler()
		r := httptest.NewRequest(http.MethodPost, PathPrefix, strings.NewReader(body))
		r.URL.Path = PathPrefix + "crocusramp.operator.v1." + method
		r.Header.Set("Content-Type", "application/json")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code == http.StatusInternalServerError {
			t.Fatalf("%s with body %s: internal error %s", method, body, w.Body)
		}
	})
}
