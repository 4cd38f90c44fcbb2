// Package relays decides which other hosts a host asks to carry a connection to a target that it
// does not reach itself.
//
// It answers the load of hosts that are cut off from targets, possibly most hosts of a zone:
// connections spread evenly over the hosts that are not known to be cut off as well.
package relays

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// MaxTries is the number of hosts tried for one connection: two of the own zone and one of
	// another, so that a zone that is cut off as a whole costs one try more and no refusal.
	MaxTries = 3
	// FailureMemory is how long a host that failed is tried after all others. A cut lasts
	// seconds, and a host that has recovered is needed soon.
	FailureMemory = 3 * time.Second
)

// Host is a host that may carry connections.
type Host struct {
	ID   ports.HostID
	Zone string
}

// Query is the connection that hosts are chosen for.
type Query struct {
	// Zone is the zone of the host that asks, TargetZone that of the target. Bytes between zones
	// are paid for.
	Zone, TargetZone string
	// Failed returns when a host last failed; the zero time if it did not or has carried a
	// connection since.
	Failed func(ports.HostID) time.Time
}

// Choose returns up to MaxTries hosts in the order in which to try them.
//
// Hosts that failed lately come last. Of the others, one of the own zone comes first and one of
// another zone second.
func Choose(now time.Time, rng *rand.Rand, hosts []Host, q Query) []ports.HostID {
	var near, far, failed []Host
	for _, h := range hosts {
		switch {
		case now.Sub(q.Failed(h.ID)) < FailureMemory:
			failed = append(failed, h)
		case h.Zone == q.Zone:
			near = append(near, h)
		default:
			far = append(far, h)
		}
	}
	shuffle(rng, near)
	shuffle(rng, far)
	shuffle(rng, failed)
	slices.SortStableFunc(far, func(a, b Host) int {
		return rank(a.Zone == q.TargetZone) - rank(b.Zone == q.TargetZone)
	})
	list := append(alternate(near, far), failed...)
	ids := make([]ports.HostID, 0, MaxTries)
	for _, h := range list[:min(len(list), MaxTries)] {
		ids = append(ids, h.ID)
	}
	return ids
}

// rank sorts what is preferred first.
func rank(preferred bool) int {
	if preferred {
		return 0
	}
	return 1
}

// alternate returns the hosts of two lists by turns, beginning with the first list.
func alternate(a, b []Host) []Host {
	out := make([]Host, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		out = append(out, a[0], b[0])
		a, b = a[1:], b[1:]
	}
	return append(append(out, a...), b...)
}

func shuffle(rng *rand.Rand, hosts []Host) {
	rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
}
