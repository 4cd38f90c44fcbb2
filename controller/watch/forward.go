package watch

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/watchers"
	"github.com/cactusproxy/cactusproxy/ports"
)

// relayThreshold is the number of hosts from which a change goes to one host in each other
// availability zone, which forwards it there. With fewer hosts the bytes saved do not justify
// the extra hop.
const relayThreshold = 32

// useRelays reports whether there are enough hosts to share the work of forwarding changes and
// serving state. c.mu must be held.
func (c *Controller) useRelays() bool { return len(c.hosts) >= relayThreshold }

// broadcast sends a message, encoded once, to all other hosts. c.mu must be held.
func (c *Controller) broadcast(kind peer.Kind, msg any) {
	if body, ok := c.encode(msg); ok {
		for id := range c.hosts {
			c.send(id, kind, body)
		}
	}
}

// forward sends changes to all other hosts. c.mu must be held.
//
// If the watcher sent them to each host itself, changes of many targets would saturate its link
// and delay its heartbeats. A host that a relay does not reach notices by the next heartbeat,
// which comes from the watcher directly, and asks.
func (c *Controller) forward(ch directory.Changes) {
	body, ok := c.encode(peer.Pack(ch))
	if !ok {
		return
	}
	if !c.useRelays() {
		for id := range c.hosts {
			c.send(id, kindChanges, body)
		}
		return
	}
	zones := make(map[string][]ports.HostID)
	for id, h := range c.hosts {
		if h.Zone == "" {
			// The zone of a seed that was never heard from is unknown, so it is sent the change
			// directly.
			c.send(id, kindChanges, body)
		} else if h.Zone != c.deps.Self.Zone {
			zones[h.Zone] = append(zones[h.Zone], id)
		}
	}
	tree := c.rng.IntN(watchers.RelayTrees)
	for _, ids := range zones {
		c.sendToRelay(watchers.RelayOrder(c.rng, ids), relayed{Changes: body, Zone: true, Tree: tree})
	}
	c.fanOut(tree, body, c.zonePeers())
}

// zonePeers returns the other hosts in this host's availability zone. c.mu must be held.
func (c *Controller) zonePeers() []ports.HostID {
	var ids []ports.HostID
	for id, h := range c.hosts {
		if id != c.self && h.Zone == c.deps.Self.Zone {
			ids = append(ids, id)
		}
	}
	return ids
}

// fanOut sends encoded changes to hosts, through some of them by a tree if the message is large. c.mu
// must be held.
func (c *Controller) fanOut(tree int, body []byte, ids []ports.HostID) {
	groups := watchers.RelayGroups(tree, ids, len(body))
	if groups == nil {
		c.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		for _, id := range ids {
			c.send(id, kindChanges, body)
		}
		return
	}
	for _, group := range groups {
		c.sendToGroup(tree, group, body)
	}
}

// sendToGroup sends encoded changes to the first reachable host of a group, which forwards them
// to the rest.
func (c *Controller) sendToGroup(tree int, group []ports.HostID, body []byte) {
	for i, id := range group {
		rest := append(group[:i:i], group[i+1:]...)
		msg, ok := c.encode(relayed{Changes: body, To: rest, Tree: tree})
		if !ok || c.send(id, kindRelay, msg) {
			return
		}
	}
}

// sendToRelay sends changes to the first reachable relay.
func (c *Controller) sendToRelay(relays []ports.HostID, r relayed) {
	body, ok := c.encode(r)
	if !ok {
		return
	}
	for _, id := range relays {
		if c.send(id, kindRelay, body) {
			return
		}
	}
}

// onRelay applies changes and forwards them within this host's availability zone. Large changes
// that contain nothing new are not forwarded: on saturated links both watchers and the hosts
// taking over from them send the same changes, and each copy would fill the links of a whole
// zone.
func (c *Controller) onRelay(_ context.Context, from ports.HostID, r relayed) (struct{}, error) {
	var s packedChanges
	if err := msgpack.Unmarshal(r.Changes, &s); err != nil {
		return struct{}{}, err
	}
	c.count.changes.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	applied := c.merge(time.Now(), s.Value, from)
	c.checkDigest(s.Value, from)
	ids := r.To
	if r.Zone {
		ids = c.zonePeers()
	}
	if applied.Empty() && watchers.NeedsRelays(len(ids), len(r.Changes)) {
		c.count.duplicateRelays.Add(1)
		return struct{}{}, nil
	}
	c.fanOut(r.Tree, r.Changes, ids)
	return struct{}{}, nil
}

func (c *Controller) encode(msg any) ([]byte, bool) {
	body, err := msgpack.Marshal(msg)
	if err != nil {
		c.deps.Log.Error("failed to encode message", zap.Error(err))
		return nil, false
	}
	return body, true
}

// send sends an encoded message to another host and reports whether it was queued.
func (c *Controller) send(id ports.HostID, kind peer.Kind, body []byte) bool {
	if id == c.self {
		return false
	}
	if !c.deps.Link.Notify(id, kind, body) {
		c.count.dropped.Add(1)
		return false
	}
	return true
}
