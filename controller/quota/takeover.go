package quota

import (
	"slices"
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// takeoverTTL is how long a host may go on owning a part in place of others after it last
	// verified that none of them replies: two ticks, so that one late tick does not end it. After
	// that it counts as a new owner.
	takeoverTTL = 2 * tickInterval
	// takeoverIdle is how long after the last request for such a part the host goes on to verify. It
	// has to exceed the time between requests of small tenants: one with a quota of three requests a
	// second asks the owner in a zone every two seconds at 62% of its quota.
	takeoverIdle = sweepInterval
)

// takenOver reports whether this host owns the part in place of others.
func (p *part) takenOver() bool { return p.rank > 0 }

// lapsed reports whether the hosts that rank before this one may have owned the part since this
// host last verified that they don't reply.
func (p *part) lapsed(now time.Time) bool {
	return p.takenOver() && now.Sub(p.verifiedAt) > takeoverTTL
}

// ownedUntil returns until when this host certainly owned the part.
func (p *part) ownedUntil(now time.Time) time.Time {
	switch {
	case !p.lapsed(now):
		return now
	case p.verifiedAt.IsZero():
		return p.repliedAt
	default:
		return p.verifiedAt.Add(takeoverTTL)
	}
}

// verifyTakeovers probes the hosts in whose place this one owns parts, and ends its ownership of a
// part if one of them can own it again. Requesters then go to that host, and this one would not
// learn of it otherwise: its part would gain tokens at the same time as the other's.
func (c *Controller) verifyTakeovers(now time.Time) {
	takeovers := c.takeovers(now)
	if len(takeovers) == 0 {
		return
	}
	replied := c.probeAll(takeovers)
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, before := range takeovers {
		p := c.parts[name]
		switch {
		case p == nil:
		case slices.ContainsFunc(before, func(id ports.HostID) bool { return replied[id] }):
			p.verifiedAt, p.repliedAt = time.Time{}, now
		case now.After(p.verifiedAt) && !p.verifiedAt.IsZero():
			p.verifiedAt = now
		}
	}
}

// takeovers returns the recently used parts that this host owns in place of others, by name, with
// the hosts that rank before it.
func (c *Controller) takeovers(now time.Time) map[string][]ports.HostID {
	takeovers := make(map[string][]ports.HostID)
	c.mu.Lock()
	for name, p := range c.parts {
		if p.takenOver() && now.Sub(p.usedAt) <= takeoverIdle {
			takeovers[name] = nil
		}
	}
	c.mu.Unlock()
	for name := range takeovers {
		owners := c.owners(name, c.deps.Zone)
		takeovers[name] = owners[:max(slices.Index(owners, c.self), 0)]
	}
	return takeovers
}

// probeAll asks each host of the lists once whether it can own parts, all at the same time, and
// returns those that can.
func (c *Controller) probeAll(lists map[string][]ports.HostID) map[ports.HostID]bool {
	var mu sync.Mutex
	var wait sync.WaitGroup
	owns := make(map[ports.HostID]bool)
	begun := make(map[ports.HostID]bool)
	for _, ids := range lists {
		for _, id := range ids {
			if begun[id] {
				continue
			}
			begun[id] = true
			wait.Go(func() {
				ok := c.probe(id)
				mu.Lock()
				defer mu.Unlock()
				owns[id] = ok
			})
		}
	}
	wait.Wait()
	return owns
}
