package config

import "testing"

func TestDrained(t *testing.T) {
	tests := []struct {
		kind    DrainKind
		subject string
		want    bool
	}{
		{DrainVM, "vm-1", true},
		{DrainVM, "vm-2", false},
		{DrainFailureDomain, "a", true},
		{DrainFailureDomain, "north/a", true},
		{DrainFailureDomain, "south/a", false},
		{DrainRegion, "north", true},
		{DrainRegion, "south", false},
		{DrainTarget, "vm-1", false},
	}
	for _, tt := range tests {
		c := Empty()
		c.Drains["d"] = &Drain{Name: "d", Kind: tt.kind, Subject: tt.subject}
		if got := c.Drained(DrainVM, "vm-1", "north", "a"); got != tt.want {
			t.Errorf("%s %s: %v, want %v", tt.kind, tt.subject, got, tt.want)
		}
	}
}
