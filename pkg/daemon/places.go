package daemon

import (
	"slices"

	"crocusramp.dev/crocusramp/pkg/operator"
	"crocusramp.dev/crocusramp/pkg/settings"
)

// places returns the names that routes, shifts and drains may refer to, so that
// the operators' API refuses a misspelt one. A failure domain is listed both by
// its own name and as REGION/NAME.
func places(s *settings.Settings) operator.KnownNames {
	p := operator.KnownNames{Regions: s.Regions, Pools: []string{}, FailureDomains: []string{}, Targets: []string{}}
	addDomain := func(region, domain string) {
		p.FailureDomains = append(p.FailureDomains, domain, region+"/"+domain)
	}
	addDomain(s.VM.Region, s.VM.FailureDomain)
	for _, pool := range s.Pools {
		p.Pools = append(p.Pools, pool.Name)
		for _, t := range pool.Targets {
			p.Targets = append(p.Targets, t.ID)
			addDomain(t.Region, t.FailureDomain)
		}
	}
	slices.Sort(p.FailureDomains)
	p.FailureDomains = slices.Compact(p.FailureDomains)
	return p
}
