package watchers

import "time"

const (
	// takeoverTime is how long a host without a fresh watcher leaves it to others to take over. A
	// takeover brings it up to date within 0.2 s if the first two hosts in turn can make it.
	takeoverTime = 400 * time.Millisecond
	// spreadPerHost is the time that each host adds to the spread of reads, since all hosts may
	// need one at once: a thousand a second, of two calls each, are a third of what a store serves
	// to all hosts together.
	spreadPerHost = time.Millisecond
	// minReadPause is the pause after a read; it doubles up to maxReadPause with each read that
	// fails or tells nothing new.
	minReadPause = time.Second
	maxReadPause = 16 * time.Second
	// enoughFailures is the number of other hosts that the store fails from which a host does not
	// try it: it is probably out for all.
	enoughFailures = 2
)

// DirectReads decides when a host reads the store for itself, although it is not a watcher. The usual
// way to learn of changes leads through other hosts, and those may be slow but alive, so that
// nobody takes over from them. It is not safe for concurrent use.
type DirectReads struct {
	// staleSince is the time since when no watcher's information is current; zero if some is.
	staleSince time.Time
	// delay is this host's delay for the current time without a watcher.
	delay time.Duration
	// next is the earliest time of the next read, pause the time between the last two.
	next  time.Time
	pause time.Duration
}

// ReadSpread is the time over which hosts spread their reads.
func ReadSpread(hosts int) time.Duration { return time.Duration(hosts) * spreadPerHost }

// May reports whether the host may read now: not soon after a read, nor while the store fails
// others and is not known to serve any.
func (r *DirectReads) May(now time.Time, v View) bool {
	out := v.failing(now) >= enoughFailures && len(FreshWatchers(now, v.Heartbeats)) == 0
	return !v.Watching && !out && !now.Before(r.next)
}

// DueIfStale reports whether the host is to read because no watcher's information is current, and
// the latest time to call it again; zero if some watcher's is. Random returns a random duration
// below its argument.
func (r *DirectReads) DueIfStale(now time.Time, v View, random func(time.Duration) time.Duration) (due bool, next time.Time) {
	if v.Watching || len(FreshWatchers(now, v.Heartbeats)) > 0 {
		r.staleSince = time.Time{}
		return false, time.Time{}
	}
	if r.staleSince.IsZero() {
		r.staleSince = now
		r.delay = takeoverTime + random(ReadSpread(len(v.Hosts)))
	}
	at := r.staleSince.Add(r.delay)
	if at.Before(r.next) {
		at = r.next
	}
	if now.Before(at) {
		return false, at
	}
	return r.May(now, v), now.Add(minReadPause)
}

// Done records a read that ended and whether it brought anything new.
func (r *DirectReads) Done(now time.Time, news bool) {
	r.pause = min(2*r.pause, maxReadPause)
	if news || r.pause == 0 {
		r.pause = minReadPause
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
