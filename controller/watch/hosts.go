package watch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/watchers"
	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// rememberRemovedFor is how long a removed host is remembered as such. By then every other
	// host has long learned of the removal through the digest of the list in heartbeats.
	rememberRemovedFor = 10 * time.Minute
	// sweepEvery is how often a watcher looks for unreachable hosts.
	sweepEvery = time.Second
	// exchangeEvery limits how often a host exchanges lists of hosts.
	exchangeEvery = time.Second
	// announceEvery limits how often the list of hosts is written to the store.
	announceEvery = 2 * time.Second
)

// removedHost is a host that was removed from the list.
type removedHost struct {
	host directory.Host
	at   time.Time
}

// mergeHosts merges hosts that others know of into the list and reports whether it changed. A
// removed host returns only if it has restarted since or is heard from directly. c.mu must be
// held.
func (c *Controller) mergeHosts(list ...directory.Host) bool {
	changed := false
	for _, h := range list {
		if g, ok := c.removed[h.ID()]; ok && h.Start <= g.host.Start {
			continue
		}
		known, ok := c.hosts[h.ID()]
		if h.Addr == "" || ok && known.Zone != "" && h.Start <= known.Start || ok && h.Zone == "" {
			continue
		}
		delete(c.removed, h.ID())
		c.hosts[h.ID()] = h
		changed = true
	}
	if changed {
		c.schedulePublishHosts()
	}
	return changed
}

const (
	// batchThreshold is the number of hosts from which changes to the list are batched for
	// batchDelay before they are published: publishing costs time in proportion to all hosts,
	// and hundreds of hosts that start together cause as many changes.
	batchThreshold = 256
	batchDelay     = 50 * time.Millisecond
)

// schedulePublishHosts publishes the list of hosts, batched with the changes of the next moment
// if there are many hosts. c.mu must be held.
func (c *Controller) schedulePublishHosts() {
	if len(c.hosts) < batchThreshold {
		c.publishHosts()
		return
	}
	if c.hostsPending {
		return
	}
	c.hostsPending = true
	time.AfterFunc(batchDelay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.hostsPending = false
		c.publishHosts()
	})
}

// noteHost adds a host that was heard from directly. c.mu must be held.
func (c *Controller) noteHost(h directory.Host) {
	delete(c.removed, h.ID())
	c.mergeHosts(h)
}

// removeUnreachable makes a watcher remove hosts that it has not reached for a long time, if the
// next check is due. The others learn of it by exchanging lists once a heartbeat shows that
// theirs differs. c.mu must be held.
func (c *Controller) removeUnreachable(now time.Time) {
	w := c.watch
	// Reachability only covers hosts to which messages were sent all along.
	if c.deps.Reach == nil || now.Sub(w.started) < watchers.RemoveAfter || now.Sub(w.sweptAt) < sweepEvery {
		return
	}
	w.sweptAt = now
	for _, id := range watchers.HostsToRemove(c.self, c.hostIDs(), c.deps.Reach.UnreachableFor) {
		c.removeHost(now, c.hosts[id], c.self)
	}
	for id, g := range c.removed {
		if now.Sub(g.at) > rememberRemovedFor {
			delete(c.removed, id)
		}
	}
}

// removeHost removes a host from the list. c.mu must be held.
func (c *Controller) removeHost(now time.Time, h directory.Host, from ports.HostID) {
	id := h.ID()
	delete(c.hosts, id)
	delete(c.heartbeats, id)
	delete(c.senders, id)
	delete(c.refusedAt, id)
	c.removed[id] = removedHost{host: h, at: now}
	c.deps.Log.Info("host left out", zap.String("peer", string(id)), zap.String("from", string(from)), zap.Int("hosts", len(c.hosts)))
	c.schedulePublishHosts()
}

// mergeRemoved applies another host's removals, except of hosts that have restarted since or
// that this host, as a watcher, still reaches. c.mu must be held.
func (c *Controller) mergeRemoved(now time.Time, list []directory.Host, from ports.HostID) {
	for _, g := range list {
		known, ok := c.hosts[g.ID()]
		if !ok || g.ID() == c.self || known.Start > g.Start || c.reaches(g.ID()) {
			continue
		}
		c.removeHost(now, known, from)
	}
}

// reaches reports whether this host is a watcher and its heartbeats reach another host.
func (c *Controller) reaches(id ports.HostID) bool {
	return c.watch != nil && c.deps.Reach != nil && c.deps.Reach.UnreachableFor(id) == 0
}

// removedList returns the hosts that were removed from the list. c.mu must be held.
func (c *Controller) removedList() []directory.Host {
	list := make([]directory.Host, 0, len(c.removed))
	for _, g := range c.removed {
		list = append(list, g.host)
	}
	return list
}

// hostIDs returns the IDs of the known hosts. c.mu must be held.
func (c *Controller) hostIDs() []ports.HostID {
	list := make([]ports.HostID, 0, len(c.hosts))
	for id := range c.hosts {
		list = append(list, id)
	}
	return list
}

// publishHosts passes the list of hosts to the peer link and the board. c.mu must be held.
func (c *Controller) publishHosts() {
	members := &blackboard.Members{Self: c.self, Complete: c.hostsComplete}
	var list []ports.Host
	for id, h := range c.hosts {
		host := ports.Host{ID: id, Role: ports.RoleEntry, State: ports.HostLive, Zone: h.Zone, Region: c.deps.Region, PeerAddr: h.Addr}
		list = append(list, host)
		members.Members = append(members.Members, blackboard.Member{Host: host, State: blackboard.MemberLive, Ready: true})
	}
	slices.SortFunc(members.Members, func(a, b blackboard.Member) int { return cmp.Compare(a.Host.ID, b.Host.ID) })
	if c.deps.Peers != nil {
		c.deps.Peers.SetPeers(list)
	}
	c.deps.Board.Members.Store(members)
}

// completeAfter is how long a host has to watch until it knows all hosts: each host exchanges
// lists with a watcher once its own differs from the watcher's.
const completeAfter = time.Second

// noteComplete records that this host knows all others. c.mu must be held.
func (c *Controller) noteComplete() {
	if c.hostsComplete {
		return
	}
	c.hostsComplete = true
	c.publishHosts()
}

// hostList returns the known hosts. c.mu must be held.
func (c *Controller) hostList() []directory.Host {
	list := make([]directory.Host, 0, len(c.hosts))
	for _, h := range c.hosts {
		list = append(list, h)
	}
	return list
}

// hostDigest is equal on hosts that know the same hosts. c.mu must be held.
func (c *Controller) hostDigest() uint64 {
	var sum uint64
	for id := range c.hosts {
		sum ^= xxhash.Sum64String(string(id))
	}
	return sum
}

// exchangeHosts exchanges lists of hosts after a watcher's heartbeat showed a difference, rate
// limited by exchangeEvery. c.mu must be held.
func (c *Controller) exchangeHosts(with ports.HostID, now time.Time) {
	if now.Before(c.nextExchange) {
		return
	}
	c.nextExchange = now.Add(exchangeEvery + time.Duration(c.rng.Int64N(int64(exchangeEvery))))
	c.exchangeHostsWith(c.exchangePartner(with))
}

// directExchanges is roughly how many hosts at a time exchange lists with a watcher itself once
// there are many hosts.
const directExchanges = 64

// exchangePartner returns the host to exchange lists with after a watcher's heartbeat showed a
// difference: any host, where there are many. The lists spread all the same; if hundreds of
// hosts that start together all asked the watchers, these would have to hold more replies than
// their links can carry. c.mu must be held.
func (c *Controller) exchangePartner(watcher ports.HostID) ports.HostID {
	if len(c.hosts) < batchThreshold || c.rng.IntN(len(c.hosts)) < directExchanges {
		return watcher
	}
	ids := c.hostIDs()
	if id := ids[c.rng.IntN(len(ids))]; id != c.self {
		return id
	}
	return watcher
}

// exchangeHostsWith exchanges lists of hosts with another host. c.mu must be held.
func (c *Controller) exchangeHostsWith(with ports.HostID) {
	msg := hostsMessage{Hosts: peer.Pack(c.hostList()), Removed: peer.Pack(c.removedList())}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
		defer cancel()
		reply, err := peer.Call[hostsMessage](ctx, c.deps.Link, with, kindHosts, msg)
		if err != nil {
			return // the next heartbeat triggers another exchange
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.mergeHosts(reply.Hosts.Value...)
		c.mergeRemoved(time.Now(), reply.Removed.Value, with)
	}()
}

// onHosts merges another host's list of hosts and replies with this host's.
func (c *Controller) onHosts(_ context.Context, from ports.HostID, msg hostsMessage) (hostsMessage, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.removed, from)
	c.mergeHosts(msg.Hosts.Value...)
	c.mergeRemoved(time.Now(), msg.Removed.Value, from)
	return hostsMessage{Hosts: peer.Pack(c.hostList()), Removed: peer.Pack(c.removedList())}, nil
}

// announceIfDue makes the first of the watchers write the list of hosts to the store if it has
// changed. c.mu must be held.
func (c *Controller) announceIfDue(ctx context.Context, now time.Time) {
	digest := c.hostDigest()
	if digest == c.announcedDigest || now.Before(c.nextAnnounce) || !c.watch.storeOK() {
		return
	}
	if !watchers.IsFirst(c.self, watchers.FreshWatchers(now, c.heartbeats)) {
		return
	}
	c.nextAnnounce = now.Add(announceEvery)
	hosts := c.hostList()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, syncTimeout)
		defer cancel()
		c.count.calls.Add(1)
		if err := c.deps.Source.Announce(ctx, hosts); err != nil {
			c.count.failed.Add(1)
			c.deps.Log.Warn("failed to write the list of hosts", zap.Error(err))
			return
		}
		c.mu.Lock()
		c.announcedDigest = digest
		c.mu.Unlock()
	}()
}
