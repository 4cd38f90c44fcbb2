package targets

import (
	"context"
	"expvar"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cactusproxy/cactusproxy/internal/ctxtime"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/ring"
	"github.com/cactusproxy/cactusproxy/ports"
)

// push sends new marks to other hosts until ctx ends.
func (c *Controller) push(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		if !ctxtime.Sleep(ctx, pushDelay) {
			return
		}
		c.mu.Lock()
		announce, forward := c.encodeLocked(c.announce), c.encodeLocked(c.forward)
		c.announce, c.forward = nil, nil
		announceTo, forwardTo := c.receiversLocked()
		c.mu.Unlock()
		c.send(announceTo, announce)
		c.send(forwardTo, forward)
	}
}

// receiversLocked returns the hosts to broadcast to and the hosts to forward to.
func (c *Controller) receiversLocked() (announce, forward []ports.HostID) {
	near := c.neighboursLocked()
	return near, near[:min(forwardFanout, len(near))]
}

func (c *Controller) encodeLocked(ms []LeavingMark) []wireMark {
	now := time.Now()
	out := make([]wireMark, len(ms))
	for i, m := range ms {
		out[i] = c.marks.encode(m, now)
	}
	return out
}

func (c *Controller) send(to []ports.HostID, ms []wireMark) {
	if len(ms) == 0 {
		return
	}
	for _, id := range to {
		c.count.sent.Add(1)
		if !peer.Notify(c.opts.Link, id, kindMarks, marksMsg{Marks: ms}) {
			c.count.dropped.Add(1)
		}
	}
}

// neighboursLocked returns, in random order, all other hosts of a small cluster, or this
// host's fingers on the ring of a larger one. Suspected hosts are included: a host that
// this one can't reach may still send requests to targets.
func (c *Controller) neighboursLocked() []ports.HostID {
	view := c.opts.Board.Members.Load()
	ids := make([]ports.HostID, len(view.Members))
	for i := range ids {
		ids[i] = view.Members[i].Host.ID
	}
	self := c.opts.Link.Self()
	if len(ids) > maxFullBroadcast {
		ids = ring.New(ids).Fingers(self)
	} else {
		ids = slices.DeleteFunc(ids, func(id ports.HostID) bool { return id == self })
	}
	c.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

// compare periodically fetches the marks that this host lacks from a few neighbours.
func (c *Controller) compare(ctx context.Context, g *errgroup.Group) {
	for ctxtime.Sleep(ctx, compareInterval) {
		c.mu.Lock()
		if now := time.Now(); now.Sub(c.pruned) > pruneInterval {
			c.prune(c.opts.Board.Targets.Load(), now)
		}
		digest := c.marks.digest()
		peers := c.neighboursLocked()
		c.mu.Unlock()
		for _, id := range peers[:min(comparePeers, len(peers))] {
			g.Go(func() error { c.compareWith(ctx, id, digest); return nil })
		}
	}
}

func (c *Controller) compareWith(ctx context.Context, id ports.HostID, digest []uint64) {
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	reply, err := peer.Call[marksMsg](ctx, c.opts.Link, id, kindCompare, compareMsg{Digest: digest})
	if err != nil {
		c.count.compareFailed.Add(1)
		return
	}
	if len(reply.Marks) > 0 {
		c.count.compareDiffered.Add(1)
		c.mergeMarks(reply.Marks)
	}
}

// counters holds the metrics of one controller, exported as the map "targets".
type counters struct {
	fromList, fromPeer, firstSeen  *expvar.Int
	sent, dropped                  *expvar.Int
	compareFailed, compareDiffered *expvar.Int
}

func newCounters(set *metrics.Set) counters {
	add := set.Counters("targets")
	return counters{
		fromList:        add("leaving_from_list"),
		fromPeer:        add("leaving_from_peer"),
		firstSeen:       add("leaving_first_seen_here"),
		sent:            add("messages_sent"),
		dropped:         add("messages_dropped"),
		compareFailed:   add("compare_failed"),
		compareDiffered: add("compare_differed"),
	}
}
