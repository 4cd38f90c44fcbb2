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
// Failure: 129 hosts start, and each of 295 targets is listed. Symptom: a watcher sent
// every change to each host, most of them in other availability zones; its link was
// full, its heartbeats came late, others took over the watch and sent the same once
// more. A host that a relay does not reach notices by the next heartbeat, which comes
// from the watcher itself, and asks. Bytes between zones on that quiet day: 0.078 GB
// before, 0.023 after.
func (c *Controller) pass(ch directory.Changes) {
	body, ok := c.encode(ch)
	if !ok {
		return
	}
	if len(c.hosts) < relayFrom {
		for id := range c.hosts {
			c.tell(id, kindChanges, body)
		}
		return
	}
	zones := make(map[string][]ports.HostID)
	for id, h := range c.hosts {
		if h.Zone == c.deps.Self.Zone || h.Zone == "" {
			// The zone of a seed that was never heard is not known: it is told itself.
			c.tell(id, kindChanges, body)
		} else {
			zones[h.Zone] = append(zones[h.Zone], id)
		}
	}
	for _, ids := range zones {
		c.tellOne(watchers.Relays(c.rng, ids), body)
	}
}

// tellOne sends a change to the first of some hosts that can be reached.
func (c *Controller) tellOne(relays []ports.HostID, body []byte) {
	for _, id := range relays {
		if c.tell(id, kindRelay, body) {
			return
		}
	}
}

// onRelay takes in a change and passes it on within this host's availability zone.
func (c *Controller) onRelay(ctx context.Context, from ports.HostID, ch directory.Changes) (struct{}, error) {
	c.count.steps.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.merge(time.Now(), ch, from)
	c.compare(ch, from)
	body, ok := c.encode(ch)
	if !ok {
		return struct{}{}, nil
	}
	for id, h := range c.hosts {
		if h.Zone == c.deps.Self.Zone {
			c.tell(id, kindChanges, body)
		}
	}
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
