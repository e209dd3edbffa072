package operator

import (
	"fmt"
	"slices"
	"strings"

	"crocusramp.dev/crocusramp/pkg/config"
)

// KnownNames lists the names that are defined in the VM's settings. VMs would accept a configuration
// that refers to other names, but it would have no effect. The API therefore rejects such a change.
// Names are not checked against a nil list.
type KnownNames struct {
	Pools          []string
	Regions        []string
	FailureDomains []string
	// Targets are the IDs of all targets.
	Targets []string
}

// check returns an error if the action refers to a name that is not listed.
func (n *KnownNames) check(a config.Action) error {
	switch {
	case a.Route != nil && a.Route.Value != nil:
		return checkName(config.Entity{Kind: config.KindRoute, Name: a.Route.Name}, "pool", a.Route.Value.Pool, n.Pools)
	case a.Shift != nil && a.Shift.Value != nil:
		return n.checkShift(a.Shift.Value)
	case a.Drain != nil && a.Drain.Value != nil:
		return n.checkDrain(a.Drain.Value)
	}
	return nil
}

func (n *KnownNames) checkShift(s *config.Shift) error {
	e := config.Entity{Kind: config.KindShift, Name: s.Name}
	if err := checkName(e, "pool", s.Pool, n.Pools); err != nil {
		return err
	}
	if err := checkName(e, "from", s.From, n.Regions); err != nil {
		return err
	}
	return checkName(e, "to", s.To, n.Regions)
}

// checkDrain does not check the IDs of VMs, because VMs join and leave at run time.
func (n *KnownNames) checkDrain(d *config.Drain) error {
	lists := map[config.DrainKind][]string{
		config.DrainRegion:        n.Regions,
		config.DrainFailureDomain: n.FailureDomains,
		config.DrainTarget:        n.Targets,
	}
	return checkName(config.Entity{Kind: config.KindDrain, Name: d.Name}, "subject", d.Subject, lists[d.Kind])
}

// maxListedNames is the largest number of names in an error.
const maxListedNames = 8

// checkName returns an error that lists the valid names if value is not one of them.
func checkName(e config.Entity, field, value string, names []string) error {
	if names == nil || slices.Contains(names, value) {
		return nil
	}
	listed := strings.Join(names[:min(len(names), maxListedNames)], ", ")
	if len(names) > maxListedNames {
		listed += ", ..."
	}
	return &config.FieldError{Entity: e, Field: field, Value: value, Reason: fmt.Sprintf("is not in the settings (%s)", listed)}
}
