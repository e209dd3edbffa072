package health

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
)

const (
	// reportLifetime is how long a report is used. It bounds how outdated a report may be.
	reportLifetime = 5 * time.Second
	// maxColdTime is how long a target's report that it is cold is believed.
	maxColdTime = 30 * time.Second
)

// ErrReport marks a load report that is malformed or has impossible values.
var ErrReport = errors.New("invalid load report")

// State is the state that a target reports.
type State string

// The states of a load report.
const (
	StateOK       State = "ok"
	StateDraining State = "draining"
	StateCold     State = "cold"
)

// Report is the load that a target reports of itself. A report may only lower the
// number of requests for the target, because it lags behind and can be wrong.
type Report struct {
	Running int   `json:"running"`
	Slots   int   `json:"slots"`
	State   State `json:"state"`
	// Unhealthy is set if the target's health endpoint reported a failure.
	Unhealthy bool `json:"-"`

	receivedAt clock.Time
	coldSince  clock.Time
	known      bool
}

// ParseReport decodes the JSON of a load endpoint. Unknown fields are ignored. A
// missing state means ok; missing slots default to the given slots of the settings.
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

// ApplyReport records a report that was received at now.
func (t *Tracker) ApplyReport(now clock.Time, r Report) {
	r.receivedAt, r.known, r.coldSince = now, true, now
	if t.report.known && t.report.State == StateCold {
		r.coldSince = t.report.coldSince
	}
	t.report = r
}

// hasFreshReport reports whether the last report is younger than reportLifetime.
func (t *Tracker) hasFreshReport(now clock.Time) bool {
	return t.report.known && now.Sub(t.report.receivedAt) < reportLifetime
}

// ReportedDraining reports whether the target reports that it is draining.
func (t *Tracker) ReportedDraining(now clock.Time) bool {
	return t.hasFreshReport(now) && t.report.State == StateDraining
}

// ReportedDown reports whether the target can run no requests according to its report.
// TrustDownReports returns whether the pool should trust such reports.
func (t *Tracker) ReportedDown(now clock.Time) bool {
	return t.hasFreshReport(now) && (t.report.Unhealthy || t.report.Slots == 0)
}

// TrustDownReports returns whether to believe the targets that report to be down. It
// returns false if more than half of the targets do: a fault of the reporting is then
// more likely than a fault of the targets, and real failures still eject targets.
func TrustDownReports(down, targets int) bool { return 2*down <= targets }

// ReportedLimit returns how many requests a VM that holds the given number of permits
// may run on a target with the given slots, according to the target's report.
func (t *Tracker) ReportedLimit(now clock.Time, held, slots int) int {
	if !t.hasFreshReport(now) || t.report.Slots == 0 || slots <= 0 {
		return held
	}
	allowed := held
	if t.report.Slots < slots {
		allowed = max(1, held*t.report.Slots/slots)
	}
	if t.report.State == StateCold && now.Sub(t.report.coldSince) < maxColdTime {
		allowed = min(allowed, max(1, held/2))
	}
	return allowed
}
