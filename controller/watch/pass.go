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

// relayFrom is the number of hosts from which a change goes to one host of each other
// availability zone, which passes it on there. With fewer the bytes saved are not worth
// the further step.
const relayFrom = 32

// many reports whether there are so many hosts that they share the passing on of changes
// and the telling of what is known. The lock is held.
func (c *Controller) many() bool { return len(c.hosts) >= relayFrom }

// tellAll passes a message on to all other hosts, encoded once. The lock is held.
func (c *Controller) tellAll(kind peer.Kind, msg any) {
	if body, ok := c.encode(msg); ok {
		for id := range c.hosts {
			c.tell(id, kind, body)
		}
	}
}

// pass passes a change on to all other hosts. The lock is held.
//
// Sent to each host by the watcher, changes of many targets would fill its link and hold up its
// heartbeats. A host that a relay does not reach notices by the next heartbeat, which comes from the
// watcher itself, and asks.
func (c *Controller) pass(ch directory.Changes) {
	body, ok := c.encode(peer.Pack(ch))
	if !ok {
		return
	}
	if !c.many() {
		for id := range c.hosts {
			c.tell(id, kindChanges, body)
		}
		return
	}
	zones := make(map[string][]ports.HostID)
	for id, h := range c.hosts {
		if h.Zone == "" {
			// The zone of a seed that was never heard is not known: it is told itself.
			c.tell(id, kindChanges, body)
		} else if h.Zone != c.deps.Self.Zone {
			zones[h.Zone] = append(zones[h.Zone], id)
		}
	}
	for _, ids := range zones {
		c.tellOne(watchers.RelayOrder(c.rng, ids), relayed{Step: body, Zone: true})
	}
	c.spread(body, c.neighbours())
}

// neighbours returns the other hosts of this one's availability zone. The lock is held.
func (c *Controller) neighbours() []ports.HostID {
	var ids []ports.HostID
	for id, h := range c.hosts {
		if id != c.self && h.Zone == c.deps.Self.Zone {
			ids = append(ids, id)
		}
	}
	return ids
}

// spread sends a step to some hosts, through some of them if it is large. The lock is held.
func (c *Controller) spread(body []byte, ids []ports.HostID) {
	c.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	groups := watchers.RelayGroups(ids, len(body))
	if groups == nil {
		for _, id := range ids {
			c.tell(id, kindChanges, body)
		}
		return
	}
	for _, group := range groups {
		c.tellGroup(group, body)
	}
}

// tellGroup sends a step to the first host of a group that can be reached, for it to pass
// on to the others.
func (c *Controller) tellGroup(group []ports.HostID, body []byte) {
	for i, id := range group {
		rest := append(group[:i:i], group[i+1:]...)
		msg, ok := c.encode(relayed{Step: body, To: rest})
		if !ok || c.tell(id, kindRelay, msg) {
			return
		}
	}
}

// tellOne sends a change to the first of some hosts that can be reached.
func (c *Controller) tellOne(relays []ports.HostID, r relayed) {
	body, ok := c.encode(r)
	if !ok {
		return
	}
	for _, id := range relays {
		if c.tell(id, kindRelay, body) {
			return
		}
	}
}

// onRelay takes in a change and passes it on within this host's availability zone. A large
// one that brings it nothing new is not passed on: where links are full, both watchers
// and those that take over send the same, and each would fill the links of a whole zone.
func (c *Controller) onRelay(_ context.Context, from ports.HostID, r relayed) (struct{}, error) {
	var s step
	if err := msgpack.Unmarshal(r.Step, &s); err != nil {
		return struct{}{}, err
	}
	c.count.steps.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	news := c.merge(time.Now(), s.Value, from)
	c.compare(s.Value, from)
	ids := r.To
	if r.Zone {
		ids = c.neighbours()
	}
	if news.Empty() && watchers.RelayGroups(ids, len(r.Step)) != nil {
		c.count.repeats.Add(1)
		return struct{}{}, nil
	}
	c.spread(r.Step, ids)
	return struct{}{}, nil
}

func (c *Controller) encode(msg any) ([]byte, bool) {
	body, err := msgpack.Marshal(msg)
	if err != nil {
		c.deps.Log.Error("message not encoded", zap.Error(err))
		return nil, false
	}
	return body, true
}

// tell sends a message to another host and reports whether it is on its way.
func (c *Controller) tell(id ports.HostID, kind peer.Kind, body []byte) bool {
	if id == c.self {
		return false
	}
	if !c.deps.Link.Notify(id, kind, body) {
		c.count.dropped.Add(1)
		return false
	}
	return true
}
