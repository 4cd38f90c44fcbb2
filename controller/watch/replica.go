package watch

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cactusproxy/cactusproxy/policy/instant"
	"github.com/cactusproxy/cactusproxy/policy/staleness"
)

// replica tells how old this host's copy of the platform's state may be.
//
// What a host knows is not as new as the last message that it handled: after a pause of the process,
// and on a host short of processor time, that message may have waited for seconds. So each source of
// state says as of when it was complete, and a host adds the time since it asked or since the
// message was sent.
type replica struct {
	// currentAt is the latest time at which the copy certainly had everything that the store had
	// accepted; nil if there is none.
	currentAt atomic.Pointer[time.Time]
}

// neverCurrent is the age of a replica that was never known to be complete.
const neverCurrent time.Duration = math.MaxInt64

// noteCurrent records that the copy was complete at a time.
func (r *replica) noteCurrent(at time.Time) {
	if old := r.currentAt.Load(); old == nil || at.After(*old) {
		r.currentAt.Store(&at)
	}
}

// age returns how long ago the copy was last known to be complete, at least 1 ns, or neverCurrent.
func (r *replica) age(now time.Time) time.Duration {
	at := r.currentAt.Load()
	if at == nil {
		return neverCurrent
	}
	return max(1, instant.Elapsed(*at, now))
}

// messageAge returns the age as messages carry it: 0 if the copy was never known to be complete.
func (r *replica) messageAge(now time.Time) time.Duration {
	if age := r.age(now); age != neverCurrent {
		return age
	}
	return 0
}

// noteCurrent records that this host's replica had everything that the store had accepted at a time.
// c.mu must be held.
func (c *Controller) noteCurrent(at time.Time) {
	if c.lostChange || at.IsZero() {
		return
	}
	c.replica.noteCurrent(at)
	if c.replica.age(time.Now()) <= staleness.MaxAge {
		c.releaseCalls()
	}
}

// currentAt returns as of when a watcher's replica was complete that sent a heartbeat at a time, or
// the zero time if that is unknown.
func (b heartbeat) currentAt(sent time.Time) time.Time {
	switch {
	case b.Age > 0:
		return sent.Add(-b.Age)
	case b.StoreOK: // a host of an earlier release
		return sent.Add(-b.StoreAge)
	default:
		return time.Time{}
	}
}

// ReplicaAge returns how long ago this host's copy of the platform's state was last known to be
// complete.
func (c *Controller) ReplicaAge() time.Duration { return c.replica.age(time.Now()) }

// lacks reports whether another host is known to have something that this one lacks. c.mu must be
// held.
func (c *Controller) lacks() bool {
	return c.gap != nil || c.lostChange || c.version() < c.deps.Board.Confirmation.Load().Newest
}
