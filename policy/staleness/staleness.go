// Package staleness decides whether a host may route calls by its replica of the platform's state,
// which may be out of date.
//
// Load: hosts whose processes were stopped, starved of processor time or cut off for seconds while
// the configuration changed or targets drained, and whose callers are still connected.
package staleness

import "time"

const (
	// MaxAge is the age of a replica up to which calls are routed by it. Changes must be in force
	// within 2 s of their acceptance.
	MaxAge = 1900 * time.Millisecond
	// refreshInterval is the time from a failed refresh to the next.
	refreshInterval = time.Second
	// failureTTL is how long a failed refresh counts: a host that was stopped for longer may reach
	// others now.
	failureTTL = 5 * time.Second
	// maxFailures is the number of refreshes in a row after which a replica is used although it is
	// known to lack something: nobody may be left who could send it.
	maxFailures = 10
	// maxRefresh is the longest that a refresh takes in a process that gets processor time.
	maxRefresh = 3 * time.Second
)

// Replica is what a host knows of its replica.
type Replica struct {
	// Age is the time since the replica was last known to be complete.
	Age time.Duration
	// Lacking is set if another host is known to have something that this one lacks.
	Lacking bool
	// StoreOut is set if the latest heartbeats of watchers are recent and say that the store serves none.
	StoreOut bool
}

// Decision says what to do with a call.
type Decision struct {
	// Route allows to route it now.
	Route bool
	// Refresh asks to bring the replica up to date. Without Route the call waits for that; with
	// neither it is refused.
	Refresh bool
}

// Refreshes counts the refreshes of a replica. The zero Refreshes is ready to use. It is not safe
// for concurrent use.
type Refreshes struct {
	// failures is the number of refreshes in a row that left the replica too old, failedAt when the
	// last of them ended.
	failures int
	failedAt time.Time
}

// Decide returns what to do with a call.
//
// A replica that is too old is not used before the host has asked others: the time since the last
// message may be time in which the process did not run. If nobody replies, the host is cut off or
// all are down, and its callers are served better by what it has than not at all, unless it knows
// that it lacks something.
func (r *Refreshes) Decide(now time.Time, v Replica) Decision {
	if v.Age <= MaxAge || v.StoreOut && !v.Lacking {
		return Decision{Route: true}
	}
	failures := r.failures
	since := now.Sub(r.failedAt)
	if since >= failureTTL {
		failures = 0
	}
	return Decision{
		Route:   failures > 0 && !v.Lacking || failures >= maxFailures,
		Refresh: failures == 0 || since >= refreshInterval,
	}
}

// Ended records a refresh that began and ended at the given times and whether the replica is up to
// date now. A refresh that took much longer than its timeouts tells nothing: the process did not
// run meanwhile.
func (r *Refreshes) Ended(began, ended time.Time, upToDate bool) {
	switch {
	case upToDate:
		r.failures = 0
	case ended.Sub(began) <= maxRefresh:
		if ended.Sub(r.failedAt) >= failureTTL {
			r.failures = 0
		}
		r.failures++
		r.failedAt = ended
	}
}
