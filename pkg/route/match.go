// Package route finds the route of a request. Its functions are pure.
package route

import (
	"net/url"
	"slices"
	"strings"

	"crocusramp.dev/crocusramp/pkg/config"
)

// Match returns the route with the longest matching path prefix among those that
// allow the method, or nil. The path is as the caller encoded it. A prefix matches whole
// path segments: "/a" matches "/a" and "/a/b", but neither "/ab" nor "/a%2Fb". A path with
// empty or dot segments, encoded or not, matches no route, because the target could resolve
// it to a path of another route.
func Match(cfg *config.Config, method, path string) *config.Route {
	decoded, err := url.PathUnescape(path)
	if err != nil || !canonical(path) || !canonical(decoded) {
		return nil
	}
	var best *config.Route
	for _, r := range cfg.Routes {
		if !hasPrefix(path, r.PathPrefix) || !allows(r, method) {
			continue
		}
		if best == nil || takesPrecedence(r, best) {
			best = r
		}
	}
	return best
}

// takesPrecedence reports whether r takes precedence over best: the longer prefix wins,
// and among equal lengths the name that sorts first, so that all VMs choose the same
// route.
func takesPrecedence(r, best *config.Route) bool {
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

// canonical reports whether the path is absolute and has no empty, "." or ".."
// segments, so that it resolves to itself.
func canonical(path string) bool {
	if !strings.HasPrefix(path, "/") {
		return false
	}
	return !strings.Contains(path, "//") &&
		!strings.Contains(path, "/./") && !strings.Contains(path, "/../") &&
		!strings.HasSuffix(path, "/.") && !strings.HasSuffix(path, "/..")
}
