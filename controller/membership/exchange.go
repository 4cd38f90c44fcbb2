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
		if c.takeLocked(r) != mergeContested {
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
		to = union(to, c.view.heartbeatTo())
	}
	return recs, to
}

func union(a, b []ports.HostID) []ports.HostID {
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

// compare compares views with a host or, if it does not answer, with any other.
// A host that comes while its neighbours on the ring are dead would otherwise
// ask nobody who knows that.
func (c *Controller) compare(ctx context.Context, id ports.HostID) {
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

// syncWith compares views with one host and takes what it has newer. It
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

func (c *Controller) ping(ctx context.Context, id ports.HostID) (Record, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return peer.Call[Record](ctx, c.opts.Link, id, kindPing, pingMsg{})
}

// probe asks a silent host directly and through others before it is suspected:
// a cut between two hosts, or one direction of it, is no reason to take roles
// from a host that all others reach.
func (c *Controller) probe(ctx context.Context, g *errgroup.Group, id ports.HostID) {
	c.count.probes.Add(1)
	ans := c.reach(ctx, id)
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.view.entries[id]
	if e == nil || ctx.Err() != nil {
		return
	}
	e.probing = false
	if ans.rec != nil {
		c.hearLocked(*ans.rec)
		return
	}
	now := time.Now()
	if paused(c.lastRun, now) || now.Sub(e.heard) < silentAfter {
		return
	}
	if !c.suspectLocked(id, ans.confirmed) {
		return
	}
	// The hosts before it on the ring are this host's to watch now. When many
	// died at once, waiting for the next round each time would add up.
	for _, next := range c.silentLocked(now) {
		g.Go(func() error { c.probe(ctx, g, next); return nil })
	}
}

// suspectLocked doubts a host. Others are told only if one of them answered
// that it could not reach the host either. A host that is itself cut off gets
// no such answer; it keeps its doubts to itself, and does not come back with
// doubts about everyone. It reports whether others are told.
func (c *Controller) suspectLocked(id ports.HostID, told bool) bool {
	if !c.view.suspect(id, told) {
		return false
	}
	c.count.suspected.Add(1)
	c.opts.Log.Info("host suspected", zap.String("host", string(id)), zap.Bool("told", told))
	if told {
		c.noteLocked(id)
	} else {
		c.publishLocked()
	}
	return told
}

// answer is what became of a ping.
type answer struct {
	// rec is the record of the host if it was reached.
	rec *Record
	// confirmed is set if another host answered that it could not reach it.
	confirmed bool
}

// reach pings a host directly and through helpers at the same time.
func (c *Controller) reach(ctx context.Context, id ports.HostID) answer {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c.mu.Lock()
	via := c.view.others(func(e *entry) bool { return e.rec.ID != id && !e.doubted() })
	via = sample(c.rng, via, helpers)
	c.mu.Unlock()
	answers := make(chan answer, len(via)+1)
	go func() {
		rec, err := c.ping(ctx, id)
		ans := answerOf(rec, err)
		ans.confirmed = false
		answers <- ans
	}()
	for _, h := range via {
		go func() {
			answers <- answerOf(peer.Call[Record](ctx, c.opts.Link, h, kindPingVia, pingViaMsg{ID: id}))
		}()
	}
	var all answer
	for range len(via) + 1 {
		ans := <-answers
		if ans.rec != nil {
			return ans
		}
		all.confirmed = all.confirmed || ans.confirmed
	}
	return all
}

func answerOf(rec Record, err error) answer {
	if err == nil {
		return answer{rec: &rec}
	}
	return answer{confirmed: errors.Is(err, peer.ErrRemote)}
}
