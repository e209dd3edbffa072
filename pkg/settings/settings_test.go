package settings

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const validSettings = `{
  "vm": {"id": "vm-1", "region": "north", "failure_domain": "north-a"},
  "listen": {"callers": "127.0.0.1:8080", "operators": "127.0.0.1:7070", "peers": "127.0.0.1:9070"},
  "regions": ["north", "south"],
  "platform": {
    "store": {"address": "127.0.0.1:8000"},
    "directory": {"url": "http://127.0.0.1:8002/vms"}
  },
  "pools": [{"name": "drawings", "targets": [
    {"id": "t1", "address": "127.0.0.1:9001", "region": "south", "failure_domain": "south-a", "slots": 9, "connections": 360}
  ]}],
  "lease": {"duration": "10m"}
}`

func TestParseSetsDefaults(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Lease.Duration.Duration != 10*time.Minute || s.Lease.Margin.Duration != 6*time.Second {
		t.Errorf("lease %v and margin %v, want 10m and 6s", s.Lease.Duration, s.Lease.Margin)
	}
	if s.Advertise.Peers != s.Listen.Peers || s.Slots != defaultSlots {
		t.Errorf("advertise.peers %q and slots %d, want the defaults", s.Advertise.Peers, s.Slots)
	}
	if pools := s.TargetPools(); len(pools) != 1 || pools[0].Targets[0].Slots != 9 {
		t.Errorf("unexpected pools %+v", pools)
	}
}

// TestParseNamesTheField checks that the error for an invalid value contains the name of its field.
// Each case replaces one part of valid settings with an invalid one.
func TestParseNamesTheField(t *testing.T) {
	tests := []struct{ old, new, want string }{
		{`"regions"`, `"region"`, `unknown field "region"`},
		{`"10m"`, `"10"`, "lease.duration"},
		{`"10m"`, `600`, "lease.duration"},
		{`"10m"`, `"-10m"`, "lease.duration"},
		{`{"duration": "10m"}`, `{"duration": "10m", "margin": "5m"}`, "lease.margin"},
		{`"slots": 9`, `"slots": "nine"`, "slots"},
		{`"slots": 9`, `"slots": 0`, "pools[0].targets[0].slots"},
		{`"connections": 360`, `"connections": 8`, "pools[0].targets[0].connections"},
		{`"region": "south"`, `"region": "west"`, "pools[0].targets[0].region"},
		{`"127.0.0.1:8080"`, `"localhost:8080"`, "listen.callers"},
		{`"127.0.0.1:7070"`, `"0.0.0.0:7070"`, "operators.token_hashes"},
		{`"127.0.0.1:8000"`, `"http://127.0.0.1:8000"`, "platform.store.address"},
		{`"region": "north"`, `"region": "east"`, "vm.region"},
		{`"vm"`, "\n\"vm\":,", "line 3"},
	}
	for _, tt := range tests {
		text := strings.Replace(validSettings, tt.old, tt.new, 1)
		_, err := Parse([]byte(text))
		if !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: error %v, want ErrInvalid", tt.new, err)
			continue
		}
		if !strings.Contains(err.Error(), tt.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %q does not contain %q or has several lines", tt.new, err, tt.want)
		}
	}
}

func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	if _, err := Load(path); !errors.Is(err, ErrInvalid) {
		t.Errorf("missing file: error %v, want ErrInvalid", err)
	}
	if err := os.WriteFile(path, []byte(validSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); err != nil {
		t.Error(err)
	}
}

// FuzzParse checks that settings which Parse accepts can be encoded and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"lease":{"duration":1}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err != nil {
			return
		}
		text, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(text); err != nil {
			t.Fatalf("encoded settings are rejected: %v\n%s", err, text)
		}
	})
}
