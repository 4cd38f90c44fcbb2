// Package watchers decides which entry hosts watch the platform's record for all.
// Calls to the platform's store are paid for and limited, and every change wakes
// every watch; so a few hosts watch and pass on what they see, and any other
// host takes over when too few of them are heard.
package watchers

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// Wanted is how many hosts watch: with one, its silence would cost all hosts
	// the time to notice it.
	Wanted = 2
	// BeatEvery is the time between two heartbeats of a watcher.
	BeatEvery = 250 * time.Millisecond
	// silentAfter is the age of the last heartbeat at which a watcher counts as
	// gone: two lost or late heartbeats. A leaving target must be known everywhere
	// within 2 s; noticing the silence, taking over and reading take 1 s of it.
	silentAfter = 600 * time.Millisecond
	// Wait is how long the store holds a watch without news. Together with the
	// time allowed for its answer it bounds how late a watcher notices that the
	// store has stopped answering it, which has to fit into the same 2 s.
	Wait = 900 * time.Millisecond
	// SecondWait is how long the store holds a watch of the second watcher. Changes
	// reach it at once all the same; it only notices later that the store has stopped
	// answering it, and as soon as the first one is missed a third host takes over. It
	// saves a third of the calls on a calm minute.
	SecondWait = 2500 * time.Millisecond
	// answerTime is the time allowed for an answer of the store beyond the wait; a
	// watcher's word is old when its last answer is older than both together.
	answerTime = 400 * time.Millisecond
	// stagger is the time between the turns of two hosts to take over, long
	// enough for the heartbeat of the first to reach the second.
	stagger = 60 * time.Millisecond
	// maxStagger is how long hosts take their turns one by one, and then once more how
	// long those that are left take theirs, lateStagger apart.
	//
	// Failure: heartbeats come late because the links are full, and 115 hosts had
	// waited for the same last turn. Symptom: all of them began to watch and to pass on
	// each change, which kept the links full. By the time of a late turn the first
	// ones have had their chance; the last turn comes 1.6 s after the silence was
	// noticed, which is only reached if nobody before could read the store.
	maxStagger  = 800 * time.Millisecond
	lateStagger = 8 * time.Millisecond
	// outageTries is how many hosts must have tried the store in vain before it counts as
	// out for all, refusedFor how long such a try counts. With 60% of all hosts turned
	// away ten in a row are met once in 165 times.
	outageTries = 10
	refusedFor  = 10 * time.Second
	// outageStagger is the time between two turns while the store is out for all. At
	// 121 hosts they made 489 to 555 calls in an outage of 8 s with turns as close as
	// otherwise, and fewer than 160 so (controller/watch, TestOutageIsMetWithFewCalls).
	outageStagger = 400 * time.Millisecond
	// spare is how long a watcher that is one too many goes on.
	spare = 600 * time.Millisecond
)

// Beat is the last heartbeat of a watcher.
type Beat struct {
	Heard time.Time
	// StoreOK is false while the store fails the watcher, StoreAge how old its
	// last answer was when the heartbeat was sent.
	StoreOK  bool
	StoreAge time.Duration
	// StoreWait is how long the store holds the watcher's watches.
	StoreWait time.Duration
}

// staleAfter is the age of the last answer at which the watcher's word is old.
func (b Beat) staleAfter() time.Duration { return max(b.StoreWait, Wait) + answerTime }

// Fresh reports whether a watcher's word can be relied on at a moment.
func (b Beat) Fresh(now time.Time) bool {
	silence := now.Sub(b.Heard)
	return b.StoreOK && silence < silentAfter && b.StoreAge+silence < b.staleAfter()
}

// expires returns when a fresh heartbeat stops being fresh.
func (b Beat) expires() time.Time {
	return b.Heard.Add(min(silentAfter, b.staleAfter()-b.StoreAge))
}

// Decider decides for one host. It is not safe for concurrent use.
type Decider struct {
	self ports.HostID
	// shortSince is when too few watchers were left, spareSince when there was
	// one too many; zero if not so.
	shortSince time.Time
	spareSince time.Time
	// retryAt is the earliest next try after the store failed this host.
	retryAt time.Time
	// outage is set if the store seemed to be out for all when last asked.
	outage bool
}

// NewDecider returns a decider of a host.
func NewDecider(self ports.HostID) *Decider { return &Decider{self: self} }

// Defer has the host let others go first until a moment, as at a start: seeds are
// up by then if anybody is.
func (d *Decider) Defer(until time.Time) { d.retryAt = until }

// First reports whether a host has its turn before all of the others.
func First(self ports.HostID, others []ports.HostID) bool { return Rank(self, others) == 0 }

// Rank is how many of the others have their turn before a host.
func Rank(self ports.HostID, others []ports.HostID) int {
	ahead := 0
	for _, id := range others {
		if before(id, self) {
			ahead++
		}
	}
	return ahead
}

// Fresh returns the watchers that can be relied on.
func Fresh(now time.Time, beats map[ports.HostID]Beat) []ports.HostID {
	ids, _ := freshWatchers(now, beats)
	return ids
}

// View is what a decision rests on.
type View struct {
	// Hosts are all entry hosts known, this one included.
	Hosts []ports.HostID
	// Beats are the last heartbeats of others that watch.
	Beats map[ports.HostID]Beat
	// Watching is set if this host watches, StoreOK if the store serves it.
	Watching bool
	StoreOK  bool
	// Refused is when hosts last tried to take over and the store did not serve them,
	// without those who did so before it last answered any host.
	Refused map[ports.HostID]time.Time
}

// outage reports whether the store seems to be out for all hosts: of late it failed as
// many that tried as would hardly be found by chance if it served the others.
func (v View) outage(now time.Time) bool {
	failed := 0
	for _, at := range v.Refused {
		if now.Sub(at) < refusedFor {
			failed++
		}
	}
	return failed >= min(outageTries, max(1, len(v.Hosts)*2/3))
}

// Decide reports whether this host should watch now, and when to ask again at
// the latest.
func (d *Decider) Decide(now time.Time, v View) (watch bool, next time.Time) {
	fresh, expiry := freshWatchers(now, v.Beats)
	if v.Watching {
		return d.keep(now, v, fresh)
	}
	d.spareSince = time.Time{}
	if len(fresh) >= Wanted {
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
	if at.Before(d.retryAt) {
		at = d.retryAt
	}
	return !now.Before(at), at
}

// keep decides for a host that watches.
func (d *Decider) keep(now time.Time, v View, fresh []ports.HostID) (bool, time.Time) {
	d.shortSince = time.Time{}
	again := now.Add(BeatEvery)
	if len(fresh) < Wanted {
		d.spareSince = time.Time{}
		return true, again
	}
	if !v.StoreOK {
		return false, again
	}
	if Rank(d.self, fresh) < Wanted {
		d.spareSince = time.Time{}
		return true, again
	}
	if d.spareSince.IsZero() {
		d.spareSince = now
	}
	return now.Sub(d.spareSince) < spare, again
}

// Failed notes that the store did not serve this host's try to take over. While
// the store is out for everybody all hosts try by turns, so that together they
// make one call every stagger, however many they are, and fewer once it is known that
// it is out. Once each has tried, those that watched before go on trying for all, as
// long as they are heard.
func (d *Decider) Failed(now time.Time, v View) {
	hosts := time.Duration(len(v.Hosts))
	switch {
	case v.outage(now):
		d.retryAt = now.Add(max(hosts*outageStagger, maxRetry))
	case anyHeard(now, v.Beats):
		d.retryAt = now.Add(maxRetry)
	default:
		d.retryAt = now.Add(min(max(hosts*stagger, 4*stagger), maxRetry))
	}
}

// anyHeard reports whether a watcher is heard, served by the store or not.
func anyHeard(now time.Time, beats map[ports.HostID]Beat) bool {
	for _, b := range beats {
		if now.Sub(b.Heard) < silentAfter {
			return true
		}
	}
	return false
}

// maxRetry bounds how long a host waits before it tries the store again.
const maxRetry = 5 * time.Second

// turn returns how long this host lets others go first.
func (d *Decider) turn(hosts, fresh []ports.HostID, outage bool) time.Duration {
	ahead := 0
	for _, id := range hosts {
		if id != d.self && !slices.Contains(fresh, id) && before(id, d.self) {
			ahead++
		}
	}
	if outage {
		return time.Duration(ahead) * outageStagger
	}
	early := time.Duration(ahead) * stagger
	if early <= maxStagger {
		return early
	}
	late := time.Duration(ahead)*lateStagger - maxStagger*lateStagger/stagger
	return maxStagger + min(late, maxStagger)
}

// freshWatchers returns the watchers that can be relied on, and when there will
// be fewer than wanted unless more is heard.
func freshWatchers(now time.Time, beats map[ports.HostID]Beat) (ids []ports.HostID, expiry time.Time) {
	var ends []time.Time
	for id, b := range beats {
		if b.Fresh(now) {
			ids = append(ids, id)
			ends = append(ends, b.expires())
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	if len(ends) >= Wanted {
		expiry = ends[len(ends)-Wanted]
	}
	return ids, expiry
}

// relayChoice is how many hosts of an availability zone pass changes on by turns. One
// alone would lose all changes for as long as its silence is not noticed; with all of them
// every host would keep connections to every other of its zone.
const relayChoice = 3

// Relays orders the hosts of an availability zone by who is to pass a change on there.
func Relays(rng *rand.Rand, hosts []ports.HostID) []ports.HostID {
	slices.SortFunc(hosts, func(a, b ports.HostID) int {
		if before(a, b) {
			return -1
		}
		return 1
	})
	first := hosts[:min(relayChoice, len(hosts))]
	rng.Shuffle(len(first), func(i, j int) { first[i], first[j] = first[j], first[i] })
	return hosts
}

// before is the order in which hosts take their turns, the same on all of them.
func before(a, b ports.HostID) bool {
	ha, hb := xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))
	if ha != hb {
		return ha < hb
	}
	return a < b
}
