// Package denial decides whether a host may tell a caller that its request is not allowed.
//
// The load it answers: a configuration has just added routes, and some hosts do not have it
// yet, for their links are full, they are cut off, or those that watch the store for them died.
package denial

import (
	"fmt"
	"math"
	"time"
)

// MaxAge is the age of a confirmation up to which a host denies requests by it. A configuration
// must be in force everywhere 2 s after it was accepted; the rest of these is for the answer. A
// calm store confirms each 0.9 s, and again each 0.9 s after a change that it told of.
const MaxAge = 1900 * time.Millisecond

// FreshAge is the age of a confirmation up to which a host asks for no younger one: there is time
// left until the answer is written.
const FreshAge = MaxAge - 50*time.Millisecond

// ConfigState is what a host knows of the configuration that it finds routes by.
type ConfigState struct {
	// Version is the one at hand, Newest the highest that the host has heard of.
	Version, Newest uint64
	// Age is how long ago the platform's store had none that is newer than Newest, or Never.
	Age time.Duration
}

// Never is the age of a confirmation that there never was.
const Never time.Duration = math.MaxInt64

// String returns the knowledge as the line of a call shows it.
func (k ConfigState) String() string {
	if k.Age == Never {
		return fmt.Sprintf("newest=%d never confirmed", k.Newest)
	}
	return fmt.Sprintf("newest=%d confirmed %s ago", k.Newest, k.Age.Round(time.Millisecond))
}

// MayDeny reports whether a request that the configuration at hand does not allow, since it has
// no route for it or its body is larger than it says, may be answered as one that none allows.
//
// A denial says that the request is wrong, and nobody repeats it: it may not rest on an old table. A
// host that can not tell refuses instead, which says that the request did not run.
func (k ConfigState) MayDeny() bool {
	return !k.Behind() && k.Age <= MaxAge
}

// Behind reports whether the host has heard of a newer configuration than it has.
func (k ConfigState) Behind() bool { return k.Version < k.Newest }
