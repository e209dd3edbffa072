package telemetry

import (
	"runtime/debug"
	"testing"
)

func TestBuildNamesTheCommit(t *testing.T) {
	for _, tt := range []struct {
		want     string
		settings []debug.BuildSetting
	}{
		{"unknown", nil},
		{"4a31882", []debug.BuildSetting{{Key: "vcs", Value: "git"}, {Key: "vcs.revision", Value: "4a31882"}, {Key: "vcs.modified", Value: "false"}}},
		{"4a31882+modified", []debug.BuildSetting{{Key: "vcs.revision", Value: "4a31882"}, {Key: "vcs.modified", Value: "true"}}},
	} {
		if got := buildOf(tt.settings); got != tt.want {
			t.Errorf("build %q, want %q", got, tt.want)
		}
	}
}
