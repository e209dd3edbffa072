package telemetry

import "runtime/debug"

// Build returns the commit that the program was built from, with "+modified" for changes that were not
// committed, or "unknown" if it was built outside a repository.
func Build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return buildOf(nil)
	}
	return buildOf(info.Settings)
}

func buildOf(settings []debug.BuildSetting) string {
	commit, modified := "unknown", ""
	for _, s := range settings {
		switch {
		case s.Key == "vcs.revision":
			commit = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = "+modified"
		}
	}
	return commit + modified
}
