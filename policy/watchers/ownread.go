package watchers

import "time"

const (
	// unheardAfter is how long a host without a fresh watcher leaves it to others to take over. A
	// takeover brings it up to date within 0.2 s if the first two hosts in turn can make it.
	unheardAfter = 400 * time.Millisecond
	// ownReadSpread is the part of the delay of a read that each host adds, since all hosts may
	// come to need one at once: a thousand reads a second are a third of what a store serves to
	// all hosts together.
	ownReadSpread = time.Millisecond
	// minOwnPause is the pause after a read; it doubles up to maxOwnPause with each read that
	// fails or tells nothing new.
	minOwnPause = time.Second
	maxOwnPause = 16 * time.Second
	// enoughFailures is the number of other hosts that the store fails from which a host does not
	// try it: it is probably out for all.
	enoughFailures = 2
)

// OwnReads decides when a host reads the store for itself, although it is not a watcher. The usual
// way to learn of changes leads through other hosts, and those may be slow but alive, so that
// nobody takes over from them. It is not safe for concurrent use.
type OwnReads struct {
	// unheardSince is the time since when no watcher's information is current; zero if some is.
	unheardSince time.Time
	// delay is this host's delay for the current time without a watcher.
	delay time.Duration
	// next is the earliest time of the next read, pause the time between the last two.
	next  time.Time
	pause time.Duration
}

// Spread is the time over which hosts spread their reads.
func Spread(hosts int) time.Duration { return time.Duration(hosts) * ownReadSpread }

// May reports whether the host may read now: not soon after a read, nor while the store fails
// others and is not known to serve any.
func (r *OwnReads) May(now time.Time, v View) bool {
	out := v.failing(now) >= enoughFailures && len(FreshWatchers(now, v.Heartbeats)) == 0
	return !v.Watching && !out && !now.Before(r.next)
}

// Unheard reports whether the host is to read because it hears no watcher whose information is
// current, and the latest time to ask again; zero if a watcher is heard. Random returns a random
// duration below its argument.
func (r *OwnReads) Unheard(now time.Time, v View, random func(time.Duration) time.Duration) (due bool, next time.Time) {
	if v.Watching || len(FreshWatchers(now, v.Heartbeats)) > 0 {
		r.unheardSince = time.Time{}
		return false, time.Time{}
	}
	if r.unheardSince.IsZero() {
		r.unheardSince = now
		r.delay = unheardAfter + random(Spread(len(v.Hosts)))
	}
	at := r.unheardSince.Add(r.delay)
	if at.Before(r.next) {
		at = r.next
	}
	if now.Before(at) {
		return false, at
	}
	return r.May(now, v), now.Add(minOwnPause)
}

// Done records a read that ended and whether it brought anything new.
func (r *OwnReads) Done(now time.Time, news bool) {
	r.pause = min(2*r.pause, maxOwnPause)
	if news || r.pause == 0 {
		r.pause = minOwnPause
	}
	r.next = now.Add(r.pause)
}

// failing returns the number of hosts that the store fails, as far as this host knows.
func (v View) failing(now time.Time) int {
	n := 0
	for _, at := range v.FailedTakeovers {
		if now.Sub(at) < failureTTL {
			n++
		}
	}
	for _, b := range v.Heartbeats {
		if !b.StoreOK && now.Sub(b.SentAt) < heartbeatTimeout {
			n++
		}
	}
	return n
}
