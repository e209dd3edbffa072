package operator

import (
	"fmt"
	"slices"
	"strings"

	"crocusramp.dev/crocusramp/pkg/config"
)

// Places are the names that the VM's settings know. A configuration that
// speaks of other ones is accepted by every VM but does nothing, so that the
// API refuses it. A nil list is not checked.
type Places struct {
	Pools          []string
	Regions        []string
	FailureDomains []string
	// Targets are the IDs of all targets.
	Targets []string
}

// check refuses names that the settings do not know.
func (p *Places) check(a config.Action) error {
	switch {
	case a.Route != nil && a.Route.Value != nil:
		return known(config.Entity{Kind: config.KindRoute, Name: a.Route.Name}, "pool", a.Route.Value.Pool, p.Pools)
	case a.Shift != nil && a.Shift.Value != nil:
		return p.checkShift(a.Shift.Value)
	case a.Drain != nil && a.Drain.Value != nil:
		return p.checkDrain(a.Drain.Value)
	}
	return nil
}

func (p *Places) checkShift(s *config.Shift) error {
	e := config.Entity{Kind: config.KindShift, Name: s.Name}
	if err := known(e, "pool", s.Pool, p.Pools); err != nil {
		return err
	}
	if err := known(e, "from", s.From, p.Regions); err != nil {
		return err
	}
	return known(e, "to", s.To, p.Regions)
}

// checkDrain leaves VMs out, which come and go.
func (p *Places) checkDrain(d *config.Drain) error {
	lists := map[config.DrainKind][]string{
		config.DrainRegion:        p.Regions,
		config.DrainFailureDomain: p.FailureDomains,
		config.DrainTarget:        p.Targets,
	}
	return known(config.Entity{Kind: config.KindDrain, Name: d.Name}, "subject", d.Subject, lists[d.Kind])
}

// maxListed bounds how many names an error lists.
const maxListed = 8

func known(e config.Entity, field, value string, names []string) error {
	if names == nil || slices.Contains(names, value) {
		return nil
	}
	listed := strings.Join(names[:min(len(names), maxListed)], ", ")
	if len(names) > maxListed {
		listed += ", ..."
	}
	return &config.FieldError{Entity: e, Field: field, Value: value, Reason: fmt.Sprintf("is not in the settings (%s)", listed)}
}
