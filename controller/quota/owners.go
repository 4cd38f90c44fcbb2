package quota

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/rendezvous"
	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// maxOwners is the number of hosts that can succeed each other as owners of a part.
	// With a third of the hosts down, one part in a thousand is left without an owner.
	maxOwners = 6
	// aliveTimeout bounds a kindAlive request to another host, aliveTTL is how long a
	// positive reply is valid.
	aliveTimeout = 60 * time.Millisecond
	aliveTTL     = 200 * time.Millisecond
	// minBackoff is how long a host that didn't reply is not contacted again. It doubles
	// with each failure, up to maxBackoff.
	minBackoff = 250 * time.Millisecond
	maxBackoff = time.Second
	// declinedBackoff is how long a host that replied that it can't own parts isn't asked
	// again. It is shorter because asking it doesn't delay a request, and because it can
	// own parts as soon as it knows all hosts.
	declinedBackoff = 50 * time.Millisecond
)

// defaultHandoverDelay is how long a part gains no tokens after it has moved to this
// host: by then the previous owner has noticed that it is cut off, or that this host is
// back. The slowest to notice is a host that watched the store, because it has to wait
// for an overdue watch.
const defaultHandoverDelay = 1400 * time.Millisecond

// ownerCache caches the owners of parts for one version of the list of hosts.
type ownerCache struct {
	version uint64
	// since is when this version of the list was first seen.
	since  time.Time
	byPart map[partKey][]ports.HostID
}

// partKey identifies a zone's part of a quota.
type partKey struct{ name, zone string }

// hostStatus is the result of the last request to a host.
type hostStatus struct {
	at   time.Time
	owns bool
	// failures counts the requests in a row without a reply.
	failures int
}

// declined reports whether the host replied that it can't own parts.
func (a hostStatus) declined() bool { return !a.owns && a.failures == 0 }

// backoff returns how long the host is not contacted again.
func (a hostStatus) backoff() time.Duration {
	if a.declined() {
		return declinedBackoff
	}
	return min(minBackoff<<min(max(a.failures-1, 0), 8), maxBackoff)
}

// owners returns the hosts that can own a zone's part, in order of rank. Each owns it if
// those before it can't.
func (c *Controller) owners(name, zone string) []ports.HostID {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refreshOwners(time.Now())
	key := partKey{name, zone}
	ids, found := c.ownerCache.byPart[key]
	if !found {
		ids = rendezvous.TopN(name, zone, maxOwners, c.deps.Board.Members.Load().Members)
		c.ownerCache.byPart[key] = ids
	}
	return ids
}

// refreshOwners clears the cache if the list of hosts has changed. c.mu must be held.
func (c *Controller) refreshOwners(now time.Time) {
	version := c.deps.Board.Members.Version()
	if c.ownerCache.byPart != nil && c.ownerCache.version == version {
		return
	}
	c.ownerCache = ownerCache{version: version, since: now, byPart: make(map[partKey][]ports.HostID)}
}

// recordStatus records whether a host replied, and whether it can own parts.
func (c *Controller) recordStatus(id ports.HostID, answered, owns bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	a := hostStatus{at: now, owns: owns}
	if !answered {
		a.failures = c.contacted[id].failures + 1
	}
	c.contacted[id] = a
}

// status returns the result of the last request to a host, if there was one.
func (c *Controller) status(id ports.HostID) (a hostStatus, contacted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, contacted = c.contacted[id]
	return a, contacted
}

// backedOff reports whether a host is in backoff: its last request failed, or it can't
// own parts. After the backoff a host that replied is contacted again, and one that
// didn't is probed in the background: waiting for it would delay requests on every host
// that hasn't yet found out.
func (c *Controller) backedOff(id ports.HostID) bool {
	a, contacted := c.status(id)
	if !contacted || a.owns {
		return false
	}
	over := time.Since(a.at) >= a.backoff()
	if over && !a.declined() {
		go c.probe(id)
	}
	return !over || !a.declined()
}

// reconsider probes a host in backoff that another host names as an owner, before it is asked. Since it
// replies to the other host, this one needn't wait for the end of the backoff.
func (c *Controller) reconsider(id ports.HostID) {
	if a, contacted := c.status(id); contacted && !a.owns {
		c.probe(id)
	}
}

// alive reports whether another host says that it can own parts.
func (c *Controller) alive(id ports.HostID) bool {
	a, contacted := c.status(id)
	if contacted && a.owns && time.Since(a.at) < aliveTTL {
		return true
	}
	return !c.backedOff(id) && c.probe(id)
}

// probe asks a host whether it can own parts.
func (c *Controller) probe(id ports.HostID) bool {
	owns, _, _ := c.probes.Do(string(id), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), aliveTimeout)
		defer cancel()
		reply, err := peer.Call[aliveReply](ctx, c.deps.Link, id, c.deps.Kind+kindAlive, aliveRequest{})
		c.recordStatus(id, err == nil, reply.Owns)
		return err == nil && reply.Owns, nil
	})
	return owns.(bool)
}

func (c *Controller) onAlive(context.Context, ports.HostID, aliveRequest) (aliveReply, error) {
	return aliveReply{Owns: c.knowsAllHosts()}, nil
}

// knowsAllHosts reports whether this host knows all hosts, which it has to in order to own
// parts.
func (c *Controller) knowsAllHosts() bool { return c.deps.Board.Members.Load().Complete }

// canOwn reports whether this host can own parts: it must know all hosts and not be in
// the minority of a network partition. A host that knows few others would consider itself
// the owner of everything, and hosts cut off together would own all parts a second time
// among themselves.
//
// Hosts in a minority don't hear from a host that watches the store. If the store is
// unavailable to all, no host does; then those that reach a majority of the others can
// own parts.
func (c *Controller) canOwn() bool {
	m := c.deps.Board.Members.Load()
	switch {
	case !m.Complete:
		return false
	case len(m.Members) <= 1 || c.deps.StoreWatched():
		return true
	default:
		return c.reachesMajority(m)
	}
}

// resetIfCutOff resets the parts of this host once it is in the minority of a network partition.
// Without it, a host that gets no request while it is cut off would keep its tokens, and gain more,
// although other hosts own its parts by then.
func (c *Controller) resetIfCutOff() {
	c.mu.Lock()
	hasParts := len(c.parts) > 0
	c.mu.Unlock()
	if hasParts && !c.deps.StoreWatched() {
		c.canOwn() // resets the parts if no majority replies
	}
}

const (
	// majoritySampleSize is how many other hosts a host probes to learn whether it
	// reaches a majority, majorityTTL how long the result is valid.
	majoritySampleSize = 16
	majorityTTL        = 500 * time.Millisecond
)

// reachesMajority reports whether most other hosts reply, by probing a sample. If they
// don't, this host resets its parts, since others own them by now.
func (c *Controller) reachesMajority(m *blackboard.Members) bool {
	c.mu.Lock()
	known, reachable := time.Since(c.majorityCheckedAt) < majorityTTL, c.majorityReachable
	c.mu.Unlock()
	if known {
		return reachable
	}
	reaches, _, _ := c.probes.Do("", func() (any, error) {
		reachable := c.majorityAlive(sampleOthers(m, majoritySampleSize))
		c.mu.Lock()
		c.majorityCheckedAt, c.majorityReachable = time.Now(), reachable
		c.mu.Unlock()
		if !reachable {
			c.resetAll(time.Now(), "cut off")
		}
		return reachable, nil
	})
	return reaches.(bool)
}

// majorityAlive reports whether more than half of the given hosts can own parts, by
// probing each.
func (c *Controller) majorityAlive(ids []ports.HostID) bool {
	answers := make(chan bool, len(ids))
	for _, id := range ids {
		go func() { answers <- c.probe(id) }()
	}
	answered := 0
	for range ids {
		if <-answers {
			answered++
		}
	}
	return 2*answered > len(ids)
}

// sampleOthers returns up to n random hosts other than this one.
func sampleOthers(m *blackboard.Members, n int) (ids []ports.HostID) {
	for _, i := range rand.Perm(len(m.Members)) {
		if id := m.Members[i].Host.ID; id != m.Self && len(ids) < n {
			ids = append(ids, id)
		}
	}
	return ids
}

// owner returns the owner of a zone's part as far as this host can tell, and its rank.
// The ID is empty if this host can't tell. It probes all hosts that rank before this one
// at the same time.
func (c *Controller) owner(name, zone string) (id ports.HostID, rank int) {
	owners := c.owners(name, zone)
	rank = slices.Index(owners, c.self)
	if rank < 0 {
		rank = len(owners)
	}
	live := make([]bool, rank)
	var wait sync.WaitGroup
	for i, id := range owners[:rank] {
		wait.Go(func() { live[i] = c.alive(id) })
	}
	wait.Wait()
	return c.ownerAt(owners, slices.Index(live, true))
}

// knownOwner is like owner but sends no requests and uses what this host knows already: a
// lender must reply quickly.
func (c *Controller) knownOwner(name, zone string) (id ports.HostID, rank int) {
	owners := c.owners(name, zone)
	for i, id := range owners {
		if id == c.self {
			break
		}
		if !c.backedOff(id) {
			return c.ownerAt(owners, i)
		}
	}
	return c.ownerAt(owners, -1)
}

// ownerAt returns the owner with the given rank. A negative rank stands for this host,
// provided that it is among the owners and can own parts.
func (c *Controller) ownerAt(owners []ports.HostID, rank int) (ports.HostID, int) {
	if rank < 0 {
		rank = slices.Index(owners, c.self)
		if rank < 0 || !c.canOwn() {
			return "", 0
		}
	}
	return owners[rank], rank
}
