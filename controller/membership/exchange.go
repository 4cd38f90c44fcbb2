package membership

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/platform"
)

func (c *Controller) register() {
	l := c.opts.Link
	peer.Handle(l, kindBeat, func(_ context.Context, from peer.HostID, r Record) (struct{}, error) {
		c.onBeat(from, r)
		return struct{}{}, nil
	})
	peer.Handle(l, kindGossip, func(_ context.Context, _ peer.HostID, m gossipMsg) (struct{}, error) {
		c.take(m.Records)
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

// onBeat takes a heartbeat. If this host holds a doubt about its sender, the
// sender is told, so that it can refute it.
func (c *Controller) onBeat(from peer.HostID, r Record) {
	if from != r.ID {
		return
	}
	c.mu.Lock()
	doubt := c.hearLocked(r)
	c.mu.Unlock()
	if doubt != nil {
		peer.Notify(c.opts.Link, from, kindGossip, gossipMsg{Records: []Record{*doubt}})
	}
}

// hearLocked takes what a host says of itself and returns the record that
// doubts it, if there is one.
func (c *Controller) hearLocked(r Record) *Record {
	c.takeLocked(r)
	e := c.view.entries[r.ID]
	if e == nil || r.ID == c.view.self || r.Incarnation < e.rec.Incarnation {
		return nil
	}
	was := e.silent
	e.alive(time.Now())
	if was {
		c.publishLocked()
	}
	if !e.rec.Suspected {
		return nil
	}
	rec := e.rec
	return &rec
}

// take merges records that came from another host.
func (c *Controller) take(recs []Record) {
	var contested []Record
	c.mu.Lock()
	for _, r := range recs {
		if c.takeLocked(r) == mergeContested {
			contested = append(contested, r)
		}
	}
	c.mu.Unlock()
	for _, r := range contested {
		c.count.contested.Add(1)
		peer.Notify(c.opts.Link, r.ID, kindGossip, gossipMsg{Records: []Record{r}})
	}
}

func (c *Controller) takeLocked(r Record) merged {
	res := c.view.merge(r, time.Now())
	switch res {
	case mergeNew:
		c.noteLocked(r.ID)
	case mergeRefuted:
		c.count.refuted.Add(1)
		c.noteLocked(c.view.self)
	}
	return res
}

// spread passes changed records on until ctx ends. What this host says of
// itself goes to all others, or past some tens of hosts to its watchers; what
// it heard goes to a few neighbours.
func (c *Controller) spread(ctx context.Context) {
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
		if !sleep(ctx, gossipDelay) {
			return
		}
	}
}

func (c *Controller) changesLocked() ([]Record, []platform.HostID) {
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
		to = union(to, c.view.heartbeatTo())
	}
	return recs, to
}

func union(a, b []platform.HostID) []platform.HostID {
	all := append(slices.Clone(a), b...)
	slices.Sort(all)
	return slices.Compact(all)
}

// onSync answers a comparison of views.
func (c *Controller) onSync(from peer.HostID, m syncMsg) syncReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.From.ID == from {
		c.hearLocked(m.From)
	}
	if m.Digest == c.view.digest() {
		return syncReply{}
	}
	return syncReply{Records: c.view.records()}
}

// syncWith compares views with one host and takes what it has newer. It
// reports whether the host answered.
func (c *Controller) syncWith(ctx context.Context, id platform.HostID) bool {
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
	c.take(reply.Records)
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.view.entries[id]; e != nil && e.silent {
		e.alive(time.Now())
		c.publishLocked()
	} else if e != nil {
		e.alive(time.Now())
	}
	return true
}

func (c *Controller) ping(ctx context.Context, id platform.HostID) (Record, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return peer.Call[Record](ctx, c.opts.Link, id, kindPing, pingMsg{})
}

// probe asks a silent host directly and through others before it is suspected:
// a cut between two hosts, or one direction of it, is no reason to take roles
// from a host that all others reach.
func (c *Controller) probe(ctx context.Context, id platform.HostID) {
	c.count.probes.Add(1)
	rec, err := c.reach(ctx, id)
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.view.entries[id]
	if e == nil || ctx.Err() != nil {
		return
	}
	e.probing = false
	if err == nil {
		c.hearLocked(rec)
		return
	}
	now := time.Now()
	if now.Sub(e.heard) < silentAfter {
		return
	}
	c.suspectLocked(id, now)
}

func (c *Controller) suspectLocked(id platform.HostID, now time.Time) {
	told := !c.cutOffLocked(now)
	if !c.view.suspect(id, told) {
		return
	}
	c.count.suspected.Add(1)
	c.opts.Log.Info("host suspected", zap.String("host", string(id)), zap.Bool("told", told))
	if told {
		c.noteLocked(id)
		return
	}
	c.publishLocked()
}

// cutOffLocked reports whether more than half of the watched hosts are silent.
// Then it is more likely that this host is the one cut off, and its doubts are
// kept to itself.
func (c *Controller) cutOffLocked(now time.Time) bool {
	watched := c.view.watched()
	silent := 0
	for _, id := range watched {
		e := c.view.entries[id]
		if now.Sub(e.heard) >= silentAfter {
			silent++
		}
	}
	return 2*silent > len(watched)
}

var errNotReached = errors.New("host not reached")

// reach pings a host directly and through helpers at the same time.
func (c *Controller) reach(ctx context.Context, id platform.HostID) (Record, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c.mu.Lock()
	via := c.view.others(func(e *entry) bool { return e.rec.ID != id && !e.doubted() })
	via = sample(c.rng, via, helpers)
	c.mu.Unlock()
	answers := make(chan *Record, len(via)+1)
	ask := func(f func() (Record, error)) {
		r, err := f()
		if err != nil || r.ID != id {
			answers <- nil
			return
		}
		answers <- &r
	}
	go ask(func() (Record, error) { return c.ping(ctx, id) })
	for _, h := range via {
		go ask(func() (Record, error) {
			return peer.Call[Record](ctx, c.opts.Link, h, kindPingVia, pingViaMsg{ID: id})
		})
	}
	for range len(via) + 1 {
		if r := <-answers; r != nil {
			return *r, nil
		}
	}
	return Record{}, errNotReached
}
