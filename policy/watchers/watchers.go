// Package watchers decides which entry hosts watch the platform's record for all.
// Calls to the platform's store are paid for and limited, and every change wakes
// every watch; so a few hosts watch and pass on what they see, and any other
// host takes over when too few of them are heard.
package watchers

import (
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// WantedWatchers is how many hosts watch: with one, its silence would cost all hosts
	// the time to notice it.
	WantedWatchers = 2
	// outageTries is how many hosts must have tried the store in vain before it counts as
	// out for all, refusedFor how long such a try counts. With 60% of all hosts turned
	// away ten in a row are met once in 165 times.
	outageTries = 10
	refusedFor  = 10 * time.Second
	// spare is how long a watcher that is one too many goes on.
	spare = 600 * time.Millisecond
)

// Decider decides for one host. It is not safe for concurrent use.
type Decider struct {
	self ports.HostID
	// shortSince is when too few watchers were left, spareSince when there was
	// one too many; zero if not so.
	shortSince time.Time
	spareSince time.Time
	// retryAt is the earliest next try after the store failed this host.
	retryAt time.Time
	// deferredTo is the earliest try of all.
	deferredTo time.Time
	// outage is set if the store seemed to be out for all when last asked.
	outage bool
}

// NewDecider returns a decider of a host.
func NewDecider(self ports.HostID) *Decider { return &Decider{self: self} }

// DeferUntil has the host let others go first until a moment, as at a start: seeds are
// up by then if anybody is.
func (d *Decider) DeferUntil(until time.Time) { d.deferredTo = until }

// View is what a decision rests on.
type View struct {
	// Hosts are all entry hosts known, this one included.
	Hosts []ports.HostID
	// Heartbeats are the last heartbeats of others that watch.
	Heartbeats map[ports.HostID]Heartbeat
	// Watching is set if this host watches, StoreOK if the store serves it.
	Watching bool
	StoreOK  bool
	// FailedTakeovers is when hosts last tried to take over and the store did not serve them,
	// without those who did so before it last answered any host.
	FailedTakeovers map[ports.HostID]time.Time
}

// outage reports whether the store seems to be out for all hosts: of late it failed as
// many that tried as would hardly be found by chance if it served the others.
func (v View) outage(now time.Time) bool {
	failed := 0
	for _, at := range v.FailedTakeovers {
		if now.Sub(at) < refusedFor {
			failed++
		}
	}
	return failed >= min(outageTries, max(1, len(v.Hosts)*2/3))
}

// Decide reports whether this host should watch now, and when to ask again at
// the latest.
func (d *Decider) Decide(now time.Time, v View) (watch bool, next time.Time) {
	fresh, expiry := freshWatchers(now, v.Heartbeats)
	if v.Watching {
		return d.keep(now, v, fresh)
	}
	d.spareSince = time.Time{}
	if len(fresh) >= WantedWatchers {
		d.shortSince = time.Time{}
		return false, expiry
	}
	out := v.outage(now)
	if d.shortSince.IsZero() || d.outage && !out {
		// The store is back, and the turns begin anew: those of the outage are long
		// past for all hosts, and all would begin to watch at once.
		d.shortSince = now
		d.retryAt = time.Time{}
	}
	d.outage = out
	at := d.shortSince.Add(d.turn(v.Hosts, fresh, out))
	for _, earliest := range []time.Time{d.retryAt, d.deferredTo} {
		if at.Before(earliest) {
			at = earliest
		}
	}
	return !now.Before(at), at
}

// keep decides for a host that watches.
func (d *Decider) keep(now time.Time, v View, fresh []ports.HostID) (bool, time.Time) {
	d.shortSince = time.Time{}
	again := now.Add(HeartbeatInterval)
	if len(fresh) < WantedWatchers {
		d.spareSince = time.Time{}
		return true, again
	}
	if !v.StoreOK {
		return false, again
	}
	if Rank(d.self, fresh) < WantedWatchers {
		d.spareSince = time.Time{}
		return true, again
	}
	if d.spareSince.IsZero() {
		d.spareSince = now
	}
	return now.Sub(d.spareSince) < spare, again
}

// RecordFailure notes that the store did not serve this host's try to take over. While
// the store is out for everybody all hosts try by turns, so that together they
// make one call every stagger, however many they are, and fewer once it is known that
// it is out. Once each has tried, those that watched before go on trying for all, as
// long as they are heard.
func (d *Decider) RecordFailure(now time.Time, v View) {
	hosts := time.Duration(len(v.Hosts))
	switch {
	case v.outage(now):
		d.retryAt = now.Add(max(hosts*outageStagger, maxRetry))
	case anyHeard(now, v.Heartbeats):
		d.retryAt = now.Add(maxRetry)
	default:
		d.retryAt = now.Add(min(max(hosts*stagger, 4*stagger), maxRetry))
	}
}

// maxRetry bounds how long a host waits before it tries the store again.
const maxRetry = 5 * time.Second
