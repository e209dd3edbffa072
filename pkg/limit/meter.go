package limit

import (
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
)

// meterWindow is the length of a counting window.
const meterWindow = 500 * time.Millisecond

// meter estimates a request rate from the counts of consecutive windows.
type meter struct {
	start    clock.Time
	count    float64
	smoothed float64 // requests per second, from finished windows
}

// add counts one request.
func (m *meter) add(now clock.Time) {
	m.roll(now)
	m.count++
}

// roll closes the window if it has ended. Windows without requests lower the estimate as well.
func (m *meter) roll(now clock.Time) {
	elapsed := now.Sub(m.start)
	if elapsed < meterWindow {
		return
	}
	m.smoothed = (3*m.smoothed + m.count/elapsed.Seconds()) / 4
	m.start, m.count = now, 0
}

// rate returns the estimate in requests per second. The current, unfinished window can only raise
// it.
func (m *meter) rate() float64 { return max(m.smoothed, m.count/meterWindow.Seconds()) }
