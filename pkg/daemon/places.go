package daemon

import (
	"slices"

	"crocusramp.dev/crocusramp/pkg/operator"
	"crocusramp.dev/crocusramp/pkg/settings"
)

// knownNames returns the names in the settings that routes, shifts and drains may
// refer to, so that the operators' API refuses misspelt ones. A failure domain is
// listed both as NAME and as REGION/NAME.
func knownNames(s *settings.Settings) operator.KnownNames {
	names := operator.KnownNames{Regions: s.Regions, Pools: []string{}, FailureDomains: []string{}, Targets: []string{}}
	addDomain := func(region, domain string) {
		names.FailureDomains = append(names.FailureDomains, domain, region+"/"+domain)
	}
	addDomain(s.VM.Region, s.VM.FailureDomain)
	for _, pool := range s.Pools {
		names.Pools = append(names.Pools, pool.Name)
		for _, t := range pool.Targets {
			names.Targets = append(names.Targets, t.ID)
			addDomain(t.Region, t.FailureDomain)
		}
	}
	slices.Sort(names.FailureDomains)
	names.FailureDomains = slices.Compact(names.FailureDomains)
	return names
}
