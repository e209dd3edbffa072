package ingress

import (
	"net/http"
	"time"

	"crocusramp.dev/crocusramp/pkg/outcome"
)

const (
	// maxRegionLag is how long a request whose regions are limited may run by a configuration that is known to be
	// outdated. It is less than the time in which a configuration must be in force.
	maxRegionLag = time.Second
	// configLagRetry is the retry time of a request that is refused because of an outdated configuration.
	configLagRetry = 300 * time.Millisecond
)

// configLag returns for how long another VM has had a newer configuration.
func (s *Server) configLag() time.Duration {
	if s.cfg.ConfigLag == nil {
		return 0
	}
	return s.cfg.ConfigLag()
}

// refuseUnknown refuses a request that the configuration does not allow. If another VM has a newer configuration, which
// may allow it, the caller may come back.
func (c *call) refuseUnknown(status int, reason outcome.Reason, detail string) *answer {
	if c.s.configLag() > 0 {
		return refuseOutdated()
	}
	return refuse(status, reason, 0, detail)
}

// refuseOutdatedRegions refuses a request whose regions are limited if another VM has had a newer configuration for
// too long, which may limit it to other ones. Otherwise it returns nil.
func (c *call) refuseOutdatedRegions() *answer {
	limited := len(c.route.Regions) > 0 || (c.account != nil && len(c.account.Regions) > 0)
	if !limited || c.s.configLag() < maxRegionLag {
		return nil
	}
	return refuseOutdated()
}

func refuseOutdated() *answer {
	return refuse(http.StatusServiceUnavailable, outcome.ReasonStale, configLagRetry, "another VM has a newer configuration")
}
