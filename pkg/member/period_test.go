package member

import (
	"fmt"
	"testing"
	"time"
)

// TestProbePeriodGrowsWithTheFleet checks that the time between two heartbeats to a peer grows
// with the fleet, up to the bound that failure detection needs.
func TestProbePeriodGrowsWithTheFleet(t *testing.T) {
	for _, tt := range []struct {
		peers      int
		bound, out time.Duration
	}{
		{10, 0, time.Second},
		{32, 0, 2 * time.Second},
		{90, 0, 90 * time.Second / maxProbesPerSecond},
		{10, 2500 * time.Millisecond, time.Second},
		{90, 2500 * time.Millisecond, 2500 * time.Millisecond},
	} {
		p := NewProber(Config{MaxProbePeriod: tt.bound})
		for i := range tt.peers {
			p.roster.entries[fmt.Sprint(i)] = &entry{}
		}
		if got := p.period(); got != tt.out {
			t.Errorf("%d peers, bound %v: %v, want %v", tt.peers, tt.bound, got, tt.out)
		}
	}
}
