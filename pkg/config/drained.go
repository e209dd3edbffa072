package config

// Drained reports whether a VM (DrainVM) or target (DrainTarget) is drained, by
// a drain of itself, its failure domain or its region. The subject of a drain of
// a failure domain is "failure_domain", which matches in every region, or
// "region/failure_domain".
func (c *Config) Drained(kind DrainKind, id, region, failureDomain string) bool {
	for _, d := range c.Drains {
		switch d.Kind {
		case kind:
			if d.Subject == id {
				return true
			}
		case DrainFailureDomain:
			if d.Subject == failureDomain || d.Subject == region+"/"+failureDomain {
				return true
			}
		case DrainRegion:
			if d.Subject == region {
				return true
			}
		}
	}
	return false
}
