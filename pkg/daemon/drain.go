package daemon

import (
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/settings"
)

// drained reports whether operators keep new callers from a VM: it, its
// failure domain or its region is drained.
func drained(c *config.Config, vm settings.VM) bool {
	for _, d := range c.Drains {
		switch d.Kind {
		case config.DrainVM:
			if d.Subject == vm.ID {
				return true
			}
		case config.DrainFailureDomain:
			if d.Subject == vm.FailureDomain || d.Subject == vm.Region+"/"+vm.FailureDomain {
				return true
			}
		case config.DrainRegion:
			if d.Subject == vm.Region {
				return true
			}
		}
	}
	return false
}
