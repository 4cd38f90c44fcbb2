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
	// goneFor is how long a host that was taken off the list is remembered as such. Every
	// other host has heard of it long before, by the heartbeats' digest of the list.
	goneFor = 10 * time.Minute
	// sweepEvery is how often a watcher looks for hosts that are gone.
	sweepEvery = time.Second
	// exchangeEvery bounds how often a host tells whom it knows.
	exchangeEvery = time.Second
	// announceEvery bounds how often the list of hosts is written down.
	announceEvery = 2 * time.Second
)

// departed is a host that was taken off the list.
type departed struct {
	host directory.Host
	at   time.Time
}

// addHosts takes in hosts that others know and reports whether any was new. One that
// was taken off the list comes back only if it has started since, or is heard itself.
// The lock is held.
func (c *Controller) addHosts(list ...directory.Host) bool {
	changed := false
	for _, h := range list {
		if g, ok := c.gone[h.ID()]; ok && h.Start <= g.host.Start {
			continue
		}
		have, ok := c.hosts[h.ID()]
		if h.Addr == "" || ok && have.Zone != "" && h.Start <= have.Start || ok && h.Zone == "" {
			continue
		}
		delete(c.gone, h.ID())
		c.hosts[h.ID()] = h
		changed = true
	}
	if changed {
		c.publishHostsSoon()
	}
	return changed
}

const (
	// manyHosts is the number of hosts from which changes of the list are gathered for
	// gatherHosts before they are published: each costs a look at all hosts, and hundreds that
	// start together are as many changes.
	manyHosts   = 256
	gatherHosts = 50 * time.Millisecond
)

// publishHostsSoon publishes the list of hosts, with the changes of the next moment if there are
// many. The lock is held.
func (c *Controller) publishHostsSoon() {
	if len(c.hosts) < manyHosts {
		c.publishHosts()
		return
	}
	if c.hostsGathered {
		return
	}
	c.hostsGathered = true
	time.AfterFunc(gatherHosts, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.hostsGathered = false
		c.publishHosts()
	})
}

// heard takes in a host that spoke for itself. The lock is held.
func (c *Controller) heard(h directory.Host) {
	delete(c.gone, h.ID())
	c.addHosts(h)
}

// leaveOutIfDue has a watcher take hosts that it has not reached for long off the list.
// The others hear of it with the list, once a heartbeat shows that theirs differs. The
// lock is held.
func (c *Controller) leaveOutIfDue(now time.Time) {
	w := c.watch
	// The reach says something of hosts that were sent to all the time.
	if c.deps.Reach == nil || now.Sub(w.started) < watchers.RemoveAfter || now.Sub(w.sweptAt) < sweepEvery {
		return
	}
	w.sweptAt = now
	for _, id := range watchers.HostsToRemove(c.self, c.hostIDs(), c.deps.Reach.UnreachableFor) {
		c.leaveOut(now, c.hosts[id], c.self)
	}
	for id, g := range c.gone {
		if now.Sub(g.at) > goneFor {
			delete(c.gone, id)
		}
	}
}

// leaveOut takes a host off the list. The lock is held.
func (c *Controller) leaveOut(now time.Time, h directory.Host, from ports.HostID) {
	id := h.ID()
	delete(c.hosts, id)
	delete(c.beats, id)
	delete(c.refused, id)
	c.gone[id] = departed{host: h, at: now}
	c.deps.Log.Info("host left out", zap.String("peer", string(id)), zap.String("from", string(from)), zap.Int("hosts", len(c.hosts)))
	c.publishHostsSoon()
}

// leaveOutAll takes in which hosts another one took off its list, but for those that
// have started since or that this host, watching, reaches. The lock is held.
func (c *Controller) leaveOutAll(now time.Time, list []directory.Host, from ports.HostID) {
	for _, g := range list {
		have, ok := c.hosts[g.ID()]
		if !ok || g.ID() == c.self || have.Start > g.Start || c.reaches(g.ID()) {
			continue
		}
		c.leaveOut(now, have, from)
	}
}

// reaches reports whether this host watches, and its heartbeats arrive at another.
func (c *Controller) reaches(id ports.HostID) bool {
	return c.watch != nil && c.deps.Reach != nil && c.deps.Reach.UnreachableFor(id) == 0
}

// goneList returns the hosts that were taken off the list. The lock is held.
func (c *Controller) goneList() []directory.Host {
	list := make([]directory.Host, 0, len(c.gone))
	for _, g := range c.gone {
		list = append(list, g.host)
	}
	return list
}

// hostIDs returns the names of the hosts this one knows. The lock is held.
func (c *Controller) hostIDs() []ports.HostID {
	list := make([]ports.HostID, 0, len(c.hosts))
	for id := range c.hosts {
		list = append(list, id)
	}
	return list
}

// publishHosts tells the peer link and the board whom this host knows. The lock
// is held.
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

// completeAfter is how long a host has to watch until it has heard of all hosts: each tells a
// watcher of itself once its list differs from the watcher's.
const completeAfter = time.Second

// noteComplete takes in that this host knows all others. The lock is held.
func (c *Controller) noteComplete() {
	if c.hostsComplete {
		return
	}
	c.hostsComplete = true
	c.publishHosts()
}

// hostList returns the hosts this one knows. The lock is held.
func (c *Controller) hostList() []directory.Host {
	list := make([]directory.Host, 0, len(c.hosts))
	for _, h := range c.hosts {
		list = append(list, h)
	}
	return list
}

// hostDigest is the same on hosts that know the same hosts. The lock is held.
func (c *Controller) hostDigest() uint64 {
	var sum uint64
	for id := range c.hosts {
		sum ^= xxhash.Sum64String(string(id))
	}
	return sum
}

// exchangeHosts tells a watcher whom this host knows and learns whom it knows, not
// too often. The lock is held.
func (c *Controller) exchangeHosts(with ports.HostID, now time.Time) {
	if now.Before(c.exchangeAt) {
		return
	}
	c.exchangeAt = now.Add(exchangeEvery + time.Duration(c.rng.Int64N(int64(exchangeEvery))))
	c.tellHosts(c.exchangePartner(with))
}

// toWatchers is about how many hosts at a time exchange lists with a watcher itself, where there
// are many.
const toWatchers = 64

// exchangePartner returns with whom this host exchanges lists after a watcher's heartbeat showed
// that its own differs: with any host, where there are many. What each knows spreads all the
// same; were hundreds that start together to tell the watchers, these would hold more answers
// than their links carry. The lock is held.
func (c *Controller) exchangePartner(watcher ports.HostID) ports.HostID {
	if len(c.hosts) < manyHosts || c.rng.IntN(len(c.hosts)) < toWatchers {
		return watcher
	}
	ids := c.hostIDs()
	if id := ids[c.rng.IntN(len(ids))]; id != c.self {
		return id
	}
	return watcher
}

// tellHosts exchanges with another host whom both know. The lock is held.
func (c *Controller) tellHosts(with ports.HostID) {
	msg := hostsMessage{Hosts: peer.Pack(c.hostList()), Gone: peer.Pack(c.goneList())}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
		defer cancel()
		reply, err := peer.Call[hostsMessage](ctx, c.deps.Link, with, kindHosts, msg)
		if err != nil {
			return // the next heartbeat asks again
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.addHosts(reply.Hosts.Value...)
		c.leaveOutAll(time.Now(), reply.Gone.Value, with)
	}()
}

// onHosts takes in whom another host knows, and tells whom this one knows.
func (c *Controller) onHosts(_ context.Context, from ports.HostID, msg hostsMessage) (hostsMessage, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.gone, from)
	c.addHosts(msg.Hosts.Value...)
	c.leaveOutAll(time.Now(), msg.Gone.Value, from)
	return hostsMessage{Hosts: peer.Pack(c.hostList()), Gone: peer.Pack(c.goneList())}, nil
}

// announceIfDue has the first of the watchers write down the hosts that it knows.
// The lock is held.
func (c *Controller) announceIfDue(ctx context.Context, now time.Time) {
	digest := c.hostDigest()
	if digest == c.announced || now.Before(c.announceAt) || !c.watch.storeOK() {
		return
	}
	if !watchers.IsFirst(c.self, watchers.FreshWatchers(now, c.beats)) {
		return
	}
	c.announceAt = now.Add(announceEvery)
	hosts := c.hostList()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, syncTimeout)
		defer cancel()
		c.count.calls.Add(1)
		if err := c.deps.Source.Announce(ctx, hosts); err != nil {
			c.count.failed.Add(1)
			c.deps.Log.Warn("list of hosts not written down", zap.Error(err))
			return
		}
		c.mu.Lock()
		c.announced = digest
		c.mu.Unlock()
	}()
}
