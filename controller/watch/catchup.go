package watch

import (
	"context"
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// catchUpAfter is how long a host that is behind waits for the change itself to arrive.
	catchUpAfter = 150 * time.Millisecond
	// catchUpTimeout is how long a host that is behind waits for others: some kilobytes take a few
	// milliseconds normally. With the heartbeat, the delays and its own read of the store after
	// that it has a second left of the 2 s within which a leaving target must be known.
	catchUpTimeout = 400 * time.Millisecond
	// hedgeDelay is how long it waits for one host before it also asks the next.
	hedgeDelay = 100 * time.Millisecond
	// lateReplyTimeout is how long a reply is still taken. State merges by revision, so late is as
	// good as early, and asking again would fill the links further.
	lateReplyTimeout = 2 * time.Second
	// fallbackHosts is how many hosts are asked if the store does not serve this one in time, and
	// fallbackDelay how long it waits for one of them before it also asks the next. Where half of
	// the others are slow or cut off, four failed requests in a row are common and eight are rare.
	fallbackHosts = 8
	fallbackDelay = hedgeDelay / 2
)

// scheduleCatchUp fetches what this host missed if it is still behind after catchUpAfter: the
// change may be in transit behind the heartbeat. The function still reports whether it is; it is
// called with c.mu held. c.mu must be held.
func (c *Controller) scheduleCatchUp(from ports.HostID, still func() bool) {
	if c.catchingUp {
		return
	}
	c.catchingUp = true
	time.AfterFunc(catchUpAfter, func() {
		c.catchUp(from, still)
		c.mu.Lock()
		c.catchingUp = false
		c.mu.Unlock()
	})
}

// catchUp asks other hosts for what this one lacks, and reads the store itself if they don't send
// it in time: they may all be slow but alive, and the store depends on none of them. If the store
// does not serve this host either, more of the others may.
func (c *Controller) catchUp(from ports.HostID, still func() bool) {
	if !c.stillBehind(still) {
		return
	}
	c.logBehind(from)
	ctx := context.Background()
	if c.fetchHedged(ctx, c.catchUpOrder(from), hedgeDelay, from, still) || c.readIfBehind(ctx, still) {
		return
	}
	c.fetchHedged(ctx, c.anyHosts(fallbackHosts), fallbackDelay, from, still)
}

// stillBehind reports whether this host is still behind.
func (c *Controller) stillBehind(still func() bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return still()
}

// catchUpOrder returns the hosts to ask after a watcher's message showed that this host is behind:
// the watcher first. With many hosts it is last: a host that a large change did not reach leaves
// dozens of others without it too, and a watcher that had to serve all of them would saturate its
// link. Most other hosts have the change, and one that does not says so within milliseconds.
func (c *Controller) catchUpOrder(from ports.HostID) []ports.HostID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var others []ports.HostID
	if zonePeers := c.zonePeers(); len(zonePeers) > 0 {
		others = append(others, zonePeers[c.rng.IntN(len(zonePeers))])
	}
	if ids := c.hostIDs(); c.useRelays() {
		others = append(others, ids[c.rng.IntN(len(ids))])
		return append(others, from)
	}
	return append([]ports.HostID{from}, others...)
}

// anyHosts returns up to n random other hosts.
func (c *Controller) anyHosts(n int) []ports.HostID {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := slices.DeleteFunc(c.hostIDs(), func(id ports.HostID) bool { return id == c.self })
	slices.Sort(ids)
	c.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(n, len(ids))]
}

// fetchHedged asks hosts for what this one lacks, the next one when a reply did not help or after
// delay, and reports whether this host got it within catchUpTimeout. The reply of the watcher
// that showed that this host is behind brings it up to date in any case. Replies that come later
// are taken, too.
func (c *Controller) fetchHedged(ctx context.Context, ids []ports.HostID, delay time.Duration, watcher ports.HostID, still func() bool) bool {
	deadline := time.NewTimer(catchUpTimeout)
	defer deadline.Stop()
	enough := make(chan bool, len(ids))
	for open := 0; ; {
		var stagger <-chan time.Time
		if len(ids) > 0 {
			id := ids[0]
			ids = ids[1:]
			if !c.beginFetch(id) {
				continue
			}
			open++
			go func() {
				upToDate := c.fetchFrom(ctx, id) && id == watcher
				if upToDate {
					c.noteUpToDate()
				}
				enough <- upToDate || !c.stillBehind(still)
			}()
			stagger = time.After(delay)
		}
		if open == 0 && len(ids) == 0 {
			return !c.stillBehind(still)
		}
		select {
		case ok := <-enough:
			open--
			if ok {
				return true
			}
		case <-stagger:
		case <-deadline.C:
			return false
		}
	}
}

// noteUpToDate records that this host has the state of a watcher.
func (c *Controller) noteUpToDate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lostChange = false
}

// beginFetch reports whether state can be requested from a host: it is another one, and no earlier
// request to it is pending.
func (c *Controller) beginFetch(id ports.HostID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id == "" || id == c.self || c.fetching[id] {
		return false
	}
	c.fetching[id] = true
	return true
}

// fetchFrom fetches the state that this host lacks from another one, and reports whether that replied.
func (c *Controller) fetchFrom(ctx context.Context, id ports.HostID) bool {
	ctx, cancel := context.WithTimeout(ctx, lateReplyTimeout)
	defer cancel()
	reached := c.sync(ctx, id, false).reached
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.fetching, id)
	return reached
}
