package quarantine

import (
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
)

// answeredPeriod is how long a generation of answered requests lasts. It is several times longer
// than a target takes to restart after its death.
const answeredPeriod = 15 * time.Second

// answeredRequests remembers the requests that targets answered recently, in two generations.
type answeredRequests struct {
	capacity int
	since    clock.Time // when newer began
	// newer and older hold the requests of the current period and of the one before. The value is
	// true if a death was excused since the request's last answer.
	newer, older map[shortID]bool
}

// rotate begins a new generation if the current one has ended or is full.
func (a *answeredRequests) rotate(now clock.Time) {
	period := now.Sub(a.since)
	if a.newer != nil && period < answeredPeriod && len(a.newer) < a.capacity/2 {
		return
	}
	a.older = a.newer
	if period >= 2*answeredPeriod {
		a.older = nil
	}
	a.newer, a.since = map[shortID]bool{}, now
}

// add records that a target answered a request.
func (a *answeredRequests) add(s shortID, now clock.Time) {
	if a.capacity == 0 {
		return
	}
	a.rotate(now)
	a.newer[s] = false
}

// excuse reports whether a death does not count against a request because a target answered it
// recently. Each answer excuses only one death, as a request that was harmless may begin to crash
// targets.
func (a *answeredRequests) excuse(s shortID, now clock.Time) bool {
	if a.capacity == 0 {
		return false
	}
	a.rotate(now)
	for _, generation := range []map[shortID]bool{a.newer, a.older} {
		if excused, known := generation[s]; known {
			generation[s] = true
			return !excused
		}
	}
	return false
}
