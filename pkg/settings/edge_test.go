package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const validEdge = `{"vm":{"id":"vm-1","region":"east","failure_domain":"fd-a"},
"listen":{"callers":"10.0.0.1:80","locate":"10.0.0.1:81","ready":"10.0.0.1:82","peers":"10.0.0.1:83"},
"failure_domains":{"fd-a":"east","fd-b":"west"},"first_start":true,
"store":{"address":"10.9.9.9:90","reads_per_second":2000,"writes_per_second":400},
"bounds":{"drain":"2.5s"}}`

func TestParseEdge(t *testing.T) {
	s, err := ParseEdge([]byte(validEdge))
	if err != nil {
		t.Fatal(err)
	}
	if s.Bounds.Drain.Duration != 2500*time.Millisecond || s.Bounds.Grace.Duration != 6*time.Second || s.Bounds.RetryRatio != 0.2 || s.Log.Level != "info" {
		t.Errorf("unexpected values or defaults: %+v", s)
	}
}

func TestParseEdgeNamesTheField(t *testing.T) {
	for _, tt := range []struct{ old, new, field string }{
		{`"vm-1"`, `""`, "vm.id"},
		{`"fd-a":"east"`, `"fd-a":"west"`, "failure_domains"},
		{`"10.0.0.1:80"`, `"10.0.0.1"`, "listen.callers"},
		{`"10.9.9.9:90"`, `""`, "store.address"},
		{`"2.5s"`, `"2.5"`, "bounds.drain"},
		{`"2.5s"`, `"-1s"`, "bounds.drain"},
		{`"drain":"2.5s"`, `"cold_factor":0.5`, "bounds.cold_factor"},
		{`"drain":"2.5s"`, `"repeat_ratio":-1`, "bounds.repeat_ratio"},
		{`"drain"`, `"drian"`, "drian"},
		{`"peers":"10.0.0.1:83"`, `"peers":"10.0.0.1:83","operators":"10.0.0.1:84"`, "listen.operators"},
		{`2000`, `"many"`, "reads_per_second"},
		{`}}`, `}} {}`, "after the end"},
	} {
		_, err := ParseEdge([]byte(strings.Replace(validEdge, tt.old, tt.new, 1)))
		if !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), tt.field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s -> %s: error %v, want ErrInvalid on one line that contains %s", tt.old, tt.new, err, tt.field)
		}
	}
	if _, err := LoadEdge(filepath.Join(t.TempDir(), "none")); !errors.Is(err, ErrInvalid) {
		t.Errorf("missing file: error %v, want ErrInvalid", err)
	}
}

// TestDeployTemplate checks that the settings template, once the platform has filled it in, is
// valid.
func TestDeployTemplate(t *testing.T) {
	text, err := os.ReadFile("../../deploy/settings.json.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	filled := strings.NewReplacer(
		"{{node_name|json}}", `"vm-1"`, "{{region|json}}", `"east"`, "{{zone|json}}", `"fd-a"`,
		"{{listen.front|json}}", `"10.0.0.1:80"`, "{{listen.directory|json}}", `"10.0.0.1:81"`, "{{listen.ready|json}}", `"10.0.0.1:82"`,
		"{{ip}}", "10.0.0.1", "{{internal_port_range.0}}", "7560", "{{internal_port_range.1}}", "7561",
		"{{zones|json}}", `{"fd-a":"east"}`, "{{bootstrap|json}}", "true",
		"{{platform.address|json}}", `"10.9.9.9:90"`, "{{platform.reads_per_s|json}}", "2000", "{{platform.writes_per_s|json}}", "400",
		"{{limits.memory_mb|json}}", "284", "{{limits.max_fds|json}}", "4100", "{{bounds.drain_s}}", "2", "{{bounds.grace_s}}", "6", "{{bounds.ttl_max_s}}", "5", "{{bounds.retry_budget_ratio|json}}", "0.2",
		"{{bounds.budget_min_retries|json}}", "60", "{{bounds.budget_window_s}}", "10", "{{bounds.cold_over|json}}", "1.5", "{{bounds.quota_window_s}}", "5", "{{bounds.quota_overage|json}}", "0.1", "{{bounds.quota_slack|json}}", "20", "{{bounds.cold_slack|json}}", "5",
	).Replace(string(text))
	if strings.Contains(filled, "{{") {
		t.Fatalf("the test does not fill in all placeholders:\n%s", filled)
	}
	if _, err := ParseEdge([]byte(filled)); err != nil {
		t.Error(err)
	}
}
