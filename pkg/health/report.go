package health

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
)

const (
	// reportLifetime is how long a report counts; reports lag.
	reportLifetime = 5 * time.Second
	// coldLifetime is how long a target may call itself cold.
	coldLifetime = 30 * time.Second
)

// ErrReport marks a load report that cannot be right.
var ErrReport = errors.New("invalid load report")

// State is what a target says of itself.
type State string

// The states of a load report.
const (
	StateOK       State = "ok"
	StateDraining State = "draining"
	StateCold     State = "cold"
)

// Report is a target's own word on its load. It may only lower what the
// target gets: it lags, and it can be wrong.
type Report struct {
	Running int   `json:"running"`
	Slots   int   `json:"slots"`
	State   State `json:"state"`
	// Unhealthy reports that the health endpoint refused.
	Unhealthy bool `json:"-"`

	at        clock.Time
	coldSince clock.Time
	known     bool
}

// ParseReport reads the JSON of a load endpoint. Unknown fields are ignored;
// an absent state means ok, absent slots mean those of the settings.
func ParseReport(data []byte, slots int) (Report, error) {
	r := Report{Slots: slots}
	if err := json.Unmarshal(data, &r); err != nil {
		return Report{}, fmt.Errorf("%w: %w", ErrReport, err)
	}
	if r.State == "" {
		r.State = StateOK
	}
	if r.Running < 0 || r.Slots < 0 {
		return Report{}, fmt.Errorf("%w: running %d, slots %d", ErrReport, r.Running, r.Slots)
	}
	switch r.State {
	case StateOK, StateDraining, StateCold:
		return r, nil
	}
	return Report{}, fmt.Errorf("%w: state %q", ErrReport, r.State)
}

// Observe takes in a report.
func (t *Tracker) Observe(now clock.Time, r Report) {
	r.at, r.known, r.coldSince = now, true, now
	if t.report.known && t.report.State == StateCold {
		r.coldSince = t.report.coldSince
	}
	t.report = r
}

func (t *Tracker) reported(now clock.Time) bool {
	return t.report.known && now.Sub(t.report.at) < reportLifetime
}

// Draining reports whether the target says that it leaves.
func (t *Tracker) Draining(now clock.Time) bool {
	return t.reported(now) && t.report.State == StateDraining
}

// Down reports whether the target claims that it can run nothing. The pool
// decides whether to believe it: see Believe.
func (t *Tracker) Down(now clock.Time) bool {
	return t.reported(now) && (t.report.Unhealthy || t.report.Slots == 0)
}

// Believe tells whether claims to be down count: not where more than half of
// the targets make them, since a fault of the reporting is then likelier than
// one of the targets, and real failures still eject them.
func Believe(down, targets int) bool { return 2*down <= targets }

// Reported returns the most requests that the report leaves to a VM which
// holds the given permits of a target with slots.
func (t *Tracker) Reported(now clock.Time, held, slots int) int {
	if !t.reported(now) || t.report.Slots == 0 || slots <= 0 {
		return held
	}
	allowed := held
	if t.report.Slots < slots {
		allowed = max(1, held*t.report.Slots/slots)
	}
	if t.report.State == StateCold && now.Sub(t.report.coldSince) < coldLifetime {
		allowed = min(allowed, max(1, held/2))
	}
	return allowed
}
