package quarantine

import (
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
)

// answeredPeriod is how often the older half of the answered requests is forgotten: several times
// longer than a target takes to come back after its death.
const answeredPeriod = 15 * time.Second

// answered remembers requests that targets answered, in two generations.
type answered struct {
	capacity int
	since    clock.Time // of newer
	// newer and older hold the requests of the present period and of the one before. True says
	// that a death was excused since the last answer.
	newer, older map[short]bool
}

// turn begins a new generation where it is time or the present one is full.
func (a *answered) turn(now clock.Time) {
	period := now.Sub(a.since)
	if a.newer != nil && period < answeredPeriod && len(a.newer) < a.capacity/2 {
		return
	}
	a.older = a.newer
	if period >= 2*answeredPeriod {
		a.older = nil
	}
	a.newer, a.since = map[short]bool{}, now
}

func (a *answered) add(s short, now clock.Time) {
	if a.capacity == 0 {
		return
	}
	a.turn(now)
	a.newer[s] = false
}

// excuse reports whether a death does not speak against a request, as targets answered it lately.
// Each answer excuses one death: a request that was harmless may begin to crash targets.
func (a *answered) excuse(s short, now clock.Time) bool {
	if a.capacity == 0 {
		return false
	}
	a.turn(now)
	for _, generation := range []map[short]bool{a.newer, a.older} {
		if excused, known := generation[s]; known {
			generation[s] = true
			return !excused
		}
	}
	return false
}
