// Package version tells which build a program is.
package version

import "runtime/debug"

// String returns the module's version, or (devel) for a build from a checkout.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}
