package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/outcome"
)

func TestDecide(t *testing.T) {
	const once, idempotent = config.ModeAtMostOnce, config.ModeIdempotent
	tests := []struct {
		mode config.Mode
		f    Failure
		want Decision
	}{
		{once, Failure{Outcome: outcome.Unknown, Transient: true}, Decision{}},
		{once, Failure{Outcome: outcome.NotRun, Transient: true}, Decision{Retry: true}},
		{once, Failure{Outcome: outcome.NotRun, Transient: true, Shed: true}, Decision{Retry: true, Charged: true}},
		{once, Failure{Outcome: outcome.NotRun}, Decision{}},
		{"", Failure{Outcome: outcome.Unknown, Transient: true}, Decision{}},
		{idempotent, Failure{Outcome: outcome.Unknown, Transient: true}, Decision{Retry: true, Charged: true}},
		{idempotent, Failure{Outcome: outcome.Unknown}, Decision{}},
		{idempotent, Failure{Outcome: outcome.Done, Transient: true}, Decision{}},
	}
	for _, test := range tests {
		if got := Decide(test.mode, test.f); got != test.want {
			t.Errorf("Decide(%q, %+v) = %+v, want %+v", test.mode, test.f, got, test.want)
		}
	}
}

// TestBudgetBoundsRetries checks in random runs that the number of retries never exceeds the floor
// of each started window plus the ratio of all requests.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(Config{})
		now := clock.Time(0)
		var requests, retries float64
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.Count(now)
				requests++
			} else if b.Take(now) {
				retries++
			}
		}
		windows := now.Sub(0).Seconds()/defaultWindow.Seconds() + 1
		if limit := defaultRatio*requests + defaultFloor*windows; retries > limit+1 {
			t.Fatalf("%v retries of %v requests in %v windows", retries, requests, windows)
		}
	})
}

func BenchmarkBudget(b *testing.B) {
	budget := NewBudget(Config{})
	b.ReportAllocs()
	for i := range b.N {
		budget.Count(clock.Time(i * 1000))
	}
}
