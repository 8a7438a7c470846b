package program

import (
	"runtime"
	"runtime/debug"
)

// version returns the revision of the source, if the build has recorded it, and the version of Go.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return runtime.Version()
	}
	revision := "unknown revision"
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			revision = setting.Value
		}
	}
	return revision + " " + runtime.Version()
}
