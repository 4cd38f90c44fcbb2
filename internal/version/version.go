// Package version reports the version that a program was built from.
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
