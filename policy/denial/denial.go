// Package denial decides whether a host may reject a request as invalid by the configuration it
// has, or must report that it can not tell.
//
// After a configuration adds routes, some hosts lack it for a while: their links are saturated,
// they are partitioned, or the hosts that watch the store for them have crashed.
package denial

import (
	"fmt"
	"math"
	"time"
)

// MaxAge is the age of a confirmation up to which a host denies requests by it. A configuration
// must be in force everywhere within 2 s of its acceptance; the remainder is left for writing the
// response. An idle store confirms the version every 0.9 s, and again 0.9 s after each change
// that it reported.
const MaxAge = 1900 * time.Millisecond

// FreshAge is the age of a confirmation up to which a host does not request a newer one. It
// leaves time until the response is written.
const FreshAge = MaxAge - 50*time.Millisecond

// ConfigState is what a host knows of the configuration that it looks up routes in.
type ConfigState struct {
	// Version is the installed configuration, Newest the highest version that the host has heard
	// of.
	Version, Newest uint64
	// Age is the time since the platform's store was last known to have nothing newer than
	// Newest, or Never.
	Age time.Duration
}

// Never is the age of a confirmation that was never received.
const Never time.Duration = math.MaxInt64

// String returns the state as the log line of a call shows it.
func (k ConfigState) String() string {
	if k.Age == Never {
		return fmt.Sprintf("newest=%d never confirmed", k.Newest)
	}
	return fmt.Sprintf("newest=%d confirmed %s ago", k.Newest, k.Age.Round(time.Millisecond))
}

// MayDeny reports whether a request that the installed configuration does not allow, because
// there is no route for it or its body is too large, may be rejected as such.
//
// A denial tells the caller that the request itself is wrong, so it will not be retried: it must
// not be based on a stale routing table. A host that can not tell refuses the request instead,
// which means that it did not run and may be retried.
func (k ConfigState) MayDeny() bool {
	return !k.Behind() && k.Age <= MaxAge
}

// Behind reports whether the host has heard of a newer configuration than it has.
func (k ConfigState) Behind() bool { return k.Version < k.Newest }
