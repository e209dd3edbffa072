// Package retrytest checks the traffic observed in a fleet against the fleet's retry budget.
package retrytest

import (
	"fmt"
	"slices"
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/retry"
)

// Check returns an error that names a window with more retries than the limit allows, or nil.
// requests are the sorted times at which requests were first sent, and retries those at which
// requests arrived at a target again, over all VMs. The requests that count are those in the
// window, in the window before it or in the one half a window before it, whichever has most.
func Check(limit retry.PoolLimit, requests, retries []clock.Time) error {
	for _, at := range retries {
		for _, from := range []clock.Time{at, at.Add(-limit.Window)} {
			most := 0
			for _, back := range []time.Duration{0, limit.Window / 2, limit.Window} {
				most = max(most, count(requests, from.Add(-back), limit.Window))
			}
			allowed := limit.Ratio*float64(most) + limit.Floor
			if got := count(retries, from, limit.Window); float64(got) > allowed {
				return fmt.Errorf("%d retries in %v from %v on, %.1f allowed for %d requests", got, limit.Window, time.Duration(from), allowed, most)
			}
		}
	}
	return nil
}

// count returns how many of the sorted times are in a window, including both ends.
func count(times []clock.Time, from clock.Time, window time.Duration) int {
	first, _ := slices.BinarySearch(times, from)
	past, _ := slices.BinarySearch(times, from.Add(window)+1)
	return past - first
}
