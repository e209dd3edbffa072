package route

import (
	"net"
	"slices"
	"strings"

	"crocusramp.dev/crocusramp/pkg/config"
)

// Table finds routes by host and path. It is immutable.
type Table struct {
	hosts map[string][]*config.Route // longest prefix first
}

// NewTable indexes the routes of a configuration.
func NewTable(c *config.Config) *Table {
	t := &Table{hosts: map[string][]*config.Route{}}
	for _, r := range c.Routes {
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, list := range t.hosts {
		slices.SortFunc(list, func(a, b *config.Route) int {
			if takesPrecedence(a, b) {
				return -1
			}
			return 1
		})
	}
	return t
}

// Find returns the route of the host with the longest prefix of the path, or nil.
// Unlike Match, it compares prefixes byte by byte, not by whole segments; the path is as
// the caller encoded it. host may have a port.
func (t *Table) Find(host, path string) *config.Route {
	for _, r := range t.hosts[HostName(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Routes returns the routes of a host, longest prefix first. host may have a port.
func (t *Table) Routes(host string) []*config.Route { return t.hosts[HostName(host)] }

// HostName returns the host in lower case and without its port.
func HostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
