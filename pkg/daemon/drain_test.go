package daemon

import (
	"testing"

	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/settings"
)

func TestDrained(t *testing.T) {
	vm := settings.VM{ID: "vm-1", Region: "north", FailureDomain: "a"}
	tests := []struct {
		kind    config.DrainKind
		subject string
		want    bool
	}{
		{config.DrainVM, "vm-1", true},
		{config.DrainVM, "vm-2", false},
		{config.DrainFailureDomain, "a", true},
		{config.DrainFailureDomain, "north/a", true},
		{config.DrainFailureDomain, "south/a", false},
		{config.DrainRegion, "north", true},
		{config.DrainRegion, "south", false},
		{config.DrainTarget, "vm-1", false},
	}
	for _, tt := range tests {
		c := config.Empty()
		c.Drains["d"] = &config.Drain{Name: "d", Kind: tt.kind, Subject: tt.subject}
		if got := drained(c, vm); got != tt.want {
			t.Errorf("%s %s: %v, want %v", tt.kind, tt.subject, got, tt.want)
		}
	}
}
