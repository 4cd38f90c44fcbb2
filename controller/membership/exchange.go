package membership

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/cactusproxy/cactusproxy/internal/ctxtime"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/ports"
)

func (c *Controller) register() {
	l := c.opts.Link
	peer.Handle(l, kindHeartbeat, func(_ context.Context, from peer.HostID, r Record) (struct{}, error) {
		c.onHeartbeat(from, r)
		return struct{}{}, nil
	})
	peer.Handle(l, kindGossip, func(_ context.Context, _ peer.HostID, m gossipMsg) (struct{}, error) {
		c.mergeRecords(m.Records)
		return struct{}{}, nil
	})
	peer.Handle(l, kindSync, func(_ context.Context, from peer.HostID, m syncMsg) (syncReply, error) {
		return c.onSync(from, m), nil
	})
	peer.Handle(l, kindPing, func(context.Context, peer.HostID, pingMsg) (Record, error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.view.own().rec, nil
	})
	peer.Handle(l, kindPingVia, func(ctx context.Context, _ peer.HostID, m pingViaMsg) (Record, error) {
		return c.ping(ctx, m.ID)
	})
}

// onHeartbeat handles a heartbeat. If this host suspects the sender, it sends the suspicion
// back, so that the sender can refute it.
func (c *Controller) onHeartbeat(from peer.HostID, r Record) {
	if from != r.ID {
		return
	}
	c.mu.Lock()
	suspicion := c.mergeDirectLocked(r)
	c.mu.Unlock()
	if suspicion != nil {
		peer.Notify(c.opts.Link, from, kindGossip, gossipMsg{Records: []Record{*suspicion}})
	}
}

// mergeDirectLocked merges a record that came from the host it describes, and marks the host
// as alive. If a suspicion of the host remains, mergeDirectLocked returns that record.
func (c *Controller) mergeDirectLocked(r Record) *Record {
	c.mergeLocked(r)
	e := c.view.entries[r.ID]
	if e == nil || r.ID == c.view.self || r.Incarnation < e.rec.Incarnation {
		return nil
	}
	was := e.silent
	e.markAlive(time.Now())
	if was {
		c.publishLocked()
	}
	if !e.rec.Suspected {
		return nil
	}
	rec := e.rec
	return &rec
}

// mergeRecords merges records received from another host, and sends contested suspicions to
// the suspected hosts, which refute them.
func (c *Controller) mergeRecords(recs []Record) {
	var contested []Record
	c.mu.Lock()
	for _, r := range recs {
		if c.mergeLocked(r) != mergeContested {
			continue
		}
		if !r.Suspected {
			r = c.view.entries[r.ID].rec
		}
		contested = append(contested, r)
	}
	c.mu.Unlock()
	for _, r := range contested {
		c.count.contested.Add(1)
		peer.Notify(c.opts.Link, r.ID, kindGossip, gossipMsg{Records: []Record{r}})
	}
}

func (c *Controller) mergeLocked(r Record) mergeResult {
	res := c.view.merge(r, time.Now())
	switch res {
	case mergeNew:
		c.markChangedLocked(r.ID)
	case mergeRefuted:
		c.count.refuted.Add(1)
		c.markChangedLocked(c.view.self)
	}
	return res
}

// runGossip gossips changed records until ctx ends. A change of this host's own record
// goes to all others in a mesh, or to its watchers on the ring; changes received from
// others go to a few neighbours.
func (c *Controller) runGossip(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		c.mu.Lock()
		recs, to := c.changesLocked()
		c.mu.Unlock()
		for _, id := range to {
			c.count.gossips.Add(1)
			if !peer.Notify(c.opts.Link, id, kindGossip, gossipMsg{Records: recs}) {
				c.count.dropped.Add(1)
			}
		}
		if !ctxtime.Sleep(ctx, gossipDelay) {
			return
		}
	}
}

func (c *Controller) changesLocked() ([]Record, []ports.HostID) {
	if len(c.changed) == 0 {
		return nil, nil
	}
	_, own := c.changed[c.view.self]
	recs := make([]Record, 0, len(c.changed))
	for id := range c.changed {
		if e := c.view.entries[id]; e != nil {
			recs = append(recs, e.rec)
		}
	}
	clear(c.changed)
	if own && c.view.mesh() {
		return recs, c.view.others(nil)
	}
	to := sample(c.rng, c.view.neighbours(), gossipFanout)
	if own {
		to = union(to, c.view.heartbeatReceivers())
	}
	return recs, to
}

func union(a, b []ports.HostID) []ports.HostID {
	all := append(slices.Clone(a), b...)
	slices.Sort(all)
	return slices.Compact(all)
}

// onSync handles a comparison of views.
func (c *Controller) onSync(from peer.HostID, m syncMsg) syncReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.From.ID == from {
		c.mergeDirectLocked(m.From)
	}
	if m.Digest == c.view.digest() {
		return syncReply{}
	}
	return syncReply{Records: c.view.records()}
}

// syncWithFallback compares views with a host or, if that does not answer, with a random other
// one. A host that joins while its neighbours on the ring are dead would otherwise
// reach nobody who knows that they are.
func (c *Controller) syncWithFallback(ctx context.Context, id ports.HostID) {
	if c.syncWith(ctx, id) {
		return
	}
	c.mu.Lock()
	other := sample(c.rng, c.view.others(func(e *entry) bool { return e.rec.ID != id }), 1)
	c.mu.Unlock()
	for _, id := range other {
		c.syncWith(ctx, id)
	}
}

// syncWith compares views with one host and merges its records if they differ. It
// reports whether the host answered.
func (c *Controller) syncWith(ctx context.Context, id ports.HostID) bool {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	c.mu.Lock()
	msg := syncMsg{Digest: c.view.digest(), From: c.view.own().rec}
	c.mu.Unlock()
	reply, err := peer.Call[syncReply](ctx, c.opts.Link, id, kindSync, msg)
	if err != nil {
		c.count.syncFailed.Add(1)
		return false
	}
	if len(reply.Records) > 0 {
		c.count.syncDiffers.Add(1)
	}
	c.mergeRecords(reply.Records)
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.view.entries[id]; e != nil && e.silent {
		e.markAlive(time.Now())
		c.publishLocked()
	} else if e != nil {
		e.markAlive(time.Now())
	}
	return true
}

func (c *Controller) ping(ctx context.Context, id ports.HostID) (Record, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return peer.Call[Record](ctx, c.opts.Link, id, kindPing, pingMsg{})
}

// probe pings a silent host directly and through others before it is suspected. A
// failed link between two hosts, in one or both directions, is no reason to take roles
// from a host that all others reach.
func (c *Controller) probe(ctx context.Context, g *errgroup.Group, id ports.HostID) {
	c.count.probes.Add(1)
	ans := c.pingDirectAndIndirect(ctx, id)
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.view.entries[id]
	if e == nil || ctx.Err() != nil {
		return
	}
	e.probing = false
	if ans.rec != nil {
		c.mergeDirectLocked(*ans.rec)
		return
	}
	now := time.Now()
	if paused(c.lastRun, now) || now.Sub(e.lastSeen) < heartbeatTimeout {
		return
	}
	if !c.suspectLocked(id, ans.confirmed) {
		return
	}
	// With the suspect off the ring, this host monitors the hosts before it. They
	// are probed at once: when many hosts crash together, waiting for the next
	// round each time would add up.
	for _, next := range c.dueForProbeLocked(now) {
		g.Go(func() error { c.probe(ctx, g, next); return nil })
	}
}

// suspectLocked marks a host that did not answer as suspected. The suspicion is gossiped
// only if another host answered that it could not reach the suspect either. A host that is
// itself partitioned gets no such answer; its suspicions stay local, so that it does not
// return from the partition with suspicions of all others. suspectLocked reports whether a
// new suspicion is gossiped.
func (c *Controller) suspectLocked(id ports.HostID, gossiped bool) bool {
	if !c.view.suspect(id, gossiped) {
		return false
	}
	c.count.suspected.Add(1)
	c.opts.Log.Info("host suspected", zap.String("host", string(id)), zap.Bool("told", gossiped))
	if gossiped {
		c.markChangedLocked(id)
	} else {
		c.publishLocked()
	}
	return gossiped
}

// pingResult is the result of a ping.
type pingResult struct {
	// rec is the record of the pinged host, or nil if it was not reached.
	rec *Record
	// confirmed is set if another host answered that it could not reach the host
	// either.
	confirmed bool
}

// pingDirectAndIndirect pings a host directly and through other hosts at the same time. It
// returns the first reply of the host itself.
func (c *Controller) pingDirectAndIndirect(ctx context.Context, id ports.HostID) pingResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c.mu.Lock()
	via := c.view.others(func(e *entry) bool { return e.rec.ID != id && !e.unreachable() })
	via = sample(c.rng, via, indirectPings)
	c.mu.Unlock()
	answers := make(chan pingResult, len(via)+1)
	go func() {
		rec, err := c.ping(ctx, id)
		ans := pingResultOf(rec, err)
		ans.confirmed = false
		answers <- ans
	}()
	for _, h := range via {
		go func() {
			answers <- pingResultOf(peer.Call[Record](ctx, c.opts.Link, h, kindPingVia, pingViaMsg{ID: id}))
		}()
	}
	var all pingResult
	for range len(via) + 1 {
		ans := <-answers
		if ans.rec != nil {
			return ans
		}
		all.confirmed = all.confirmed || ans.confirmed
	}
	return all
}

func pingResultOf(rec Record, err error) pingResult {
	if err == nil {
		return pingResult{rec: &rec}
	}
	return pingResult{confirmed: errors.Is(err, peer.ErrRemote)}
}
