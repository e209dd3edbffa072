package scenario

import (
	"testing"
	"time"
)

func at(seconds ...float64) []time.Time {
	var times []time.Time
	for _, s := range seconds {
		times = append(times, time.Unix(1000, 0).Add(time.Duration(s*float64(time.Second))))
	}
	return times
}

// TestExcess checks that excess reports the arrivals above burst + rate x t, and
// 0 if there are none.
func TestExcess(t *testing.T) {
	cases := []struct {
		name        string
		times       []time.Time
		rate, burst float64
		want        float64
	}{
		{"none", nil, 1, 1, 0},
		{"burst at once", at(0, 0, 0), 1, 3, 0},
		{"one above the burst", at(0, 0, 0, 0), 1, 3, 1},
		{"steady at the rate", at(0, 1, 2, 3, 4), 1, 1, 0},
		{"steady above the rate", at(0, 0.5, 1, 1.5, 2), 1, 1, 2},
		{"late burst after a pause", at(0, 10, 10, 10), 1, 2, 1},
	}
	for _, c := range cases {
		if got := excess(c.times, c.rate, c.burst); got != c.want {
			t.Errorf("%s: excess %v, want %v", c.name, got, c.want)
		}
	}
}
