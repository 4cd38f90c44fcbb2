// Package watchers elects the entry hosts that watch the platform's record on behalf of all.
//
// Calls to the platform's store are billed and rate-limited, and every change wakes every watch.
// So a few hosts watch and relay what they see to the others, and any other host takes over when
// too few of them send heartbeats. There is no consensus: hosts take turns in an order that all
// of them agree on.
package watchers

import (
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// WantedWatchers is the number of hosts that watch. With a single one, all hosts would miss
	// changes until its failure is detected.
	WantedWatchers = 2
	// outageTries is the number of hosts that must have failed to reach the store before it is
	// considered down for all, and failureTTL how long such a failure counts. If the store turns
	// away 60% of all hosts, ten failures in a row occur by chance once in 165 times.
	outageTries = 10
	failureTTL  = 10 * time.Second
	// surplusGrace is how long a surplus watcher continues.
	surplusGrace = 600 * time.Millisecond
)

// Decider decides for one host whether it watches. It is not safe for concurrent use.
type Decider struct {
	self ports.HostID
	// shortSince is the time since when there are too few watchers, surplusSince since when there
	// is one too many; zero if there are not.
	shortSince   time.Time
	surplusSince time.Time
	// retryAt is the earliest next try after the store failed this host.
	retryAt time.Time
	// deferredTo is the earliest time of any try.
	deferredTo time.Time
	// outage is set if the store seemed to be down for all hosts at the last decision.
	outage bool
}

// NewDecider returns the decider of host self.
func NewDecider(self ports.HostID) *Decider { return &Decider{self: self} }

// DeferUntil keeps the host from taking over until the given time. After a start this leaves the
// task to the seed hosts, which are up by then if any host is.
func (d *Decider) DeferUntil(until time.Time) { d.deferredTo = until }

// View is the input of a decision.
type View struct {
	// Hosts are all known entry hosts, including this one.
	Hosts []ports.HostID
	// Heartbeats are the last heartbeats of other watchers.
	Heartbeats map[ports.HostID]Heartbeat
	// Watching is set if this host watches, StoreOK if the store serves it.
	Watching bool
	StoreOK  bool
	// FailedTakeovers is when hosts last tried to take over and were not served by the store,
	// without those tries that preceded the store's last response to any host.
	FailedTakeovers map[ports.HostID]time.Time
}

// outage reports whether the store seems to be down for all hosts: so many recent tries failed
// that chance is an unlikely explanation if it served the other hosts.
func (v View) outage(now time.Time) bool {
	failed := 0
	for _, at := range v.FailedTakeovers {
		if now.Sub(at) < failureTTL {
			failed++
		}
	}
	return failed >= min(outageTries, max(1, len(v.Hosts)*2/3))
}

// Decide reports whether this host should watch now, and the latest time to ask again.
func (d *Decider) Decide(now time.Time, v View) (watch bool, next time.Time) {
	fresh, expiry := freshWatchers(now, v.Heartbeats)
	if v.Watching {
		return d.decideWatching(now, v, fresh)
	}
	d.surplusSince = time.Time{}
	if len(fresh) >= WantedWatchers {
		d.shortSince = time.Time{}
		return false, expiry
	}
	out := v.outage(now)
	if d.shortSince.IsZero() || d.outage && !out {
		// The store is back, so the turns start over: those of the outage have passed for all
		// hosts, which would all start to watch at once.
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

// decideWatching decides for a host that watches.
func (d *Decider) decideWatching(now time.Time, v View, fresh []ports.HostID) (bool, time.Time) {
	d.shortSince = time.Time{}
	again := now.Add(HeartbeatInterval)
	if len(fresh) < WantedWatchers {
		d.surplusSince = time.Time{}
		return true, again
	}
	if !v.StoreOK {
		return false, again
	}
	if Rank(d.self, fresh) < WantedWatchers {
		d.surplusSince = time.Time{}
		return true, again
	}
	if d.surplusSince.IsZero() {
		d.surplusSince = now
	}
	return now.Sub(d.surplusSince) < surplusGrace, again
}

// RecordFailure records that the store did not serve this host's try to take over. While the
// store is down for all hosts, they try in turns, so that together they make one call per
// turnInterval whatever their number, and fewer once the outage is detected. Once each has tried,
// the former watchers continue to try on behalf of all as long as their heartbeats arrive.
func (d *Decider) RecordFailure(now time.Time, v View) {
	hosts := time.Duration(len(v.Hosts))
	switch {
	case v.outage(now):
		d.retryAt = now.Add(max(hosts*outageTurnInterval, maxRetryDelay))
	case anyAlive(now, v.Heartbeats):
		d.retryAt = now.Add(maxRetryDelay)
	default:
		d.retryAt = now.Add(min(max(hosts*turnInterval, 4*turnInterval), maxRetryDelay))
	}
}

// maxRetryDelay is the longest time before a host tries the store again, except during an outage.
const maxRetryDelay = 5 * time.Second
