// Package route finds the route of a request and chooses the region, the peer
// and the target that it goes to. Its functions are pure.
package route

import (
	"slices"
	"strings"

	"crocusramp.dev/crocusramp/pkg/config"
)

// Match returns the route of the longest path prefix that allows the method,
// or nil. A prefix matches whole path segments: "/a" matches "/a" and "/a/b",
// not "/ab". A path with empty or dot segments matches nothing, because the
// target could resolve it to a path of another route.
func Match(cfg *config.Config, method, path string) *config.Route {
	if !canonical(path) {
		return nil
	}
	var best *config.Route
	for _, r := range cfg.Routes {
		if !hasPrefix(path, r.PathPrefix) || !allows(r, method) {
			continue
		}
		if best == nil || preferred(r, best) {
			best = r
		}
	}
	return best
}

// preferred orders routes by length of prefix; equal ones by name, so that
// all VMs choose the same.
func preferred(r, best *config.Route) bool {
	if len(r.PathPrefix) != len(best.PathPrefix) {
		return len(r.PathPrefix) > len(best.PathPrefix)
	}
	return r.Name < best.Name
}

func allows(r *config.Route, method string) bool {
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}

func hasPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || prefix == "" || path[len(prefix)] == '/'
}

// canonical reports whether the path is absolute and resolves to itself.
func canonical(path string) bool {
	if !strings.HasPrefix(path, "/") {
		return false
	}
	return !strings.Contains(path, "//") &&
		!strings.Contains(path, "/./") && !strings.Contains(path, "/../") &&
		!strings.HasSuffix(path, "/.") && !strings.HasSuffix(path, "/..")
}
