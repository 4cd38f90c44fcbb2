package targets

import (
	"context"
	"expvar"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/platform"
)

// push sends new marks to other hosts.
func (c *Controller) push(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		if !sleep(ctx, pushDelay) {
			return
		}
		c.mu.Lock()
		tell, pass := c.wireLocked(c.tell), c.wireLocked(c.pass)
		c.tell, c.pass = nil, nil
		toTell, toPass := c.receiversLocked()
		c.mu.Unlock()
		c.send(toTell, tell)
		c.send(toPass, pass)
	}
}

func (c *Controller) receiversLocked() (tell, pass []platform.HostID) {
	all := c.shuffledPeers()
	tell = all
	if len(all) >= tellAll {
		tell = all[:pushFanout]
	}
	return tell, all[:min(passFanout, len(all))]
}

func (c *Controller) wireLocked(ms []Mark) []wireMark {
	now := time.Now()
	out := make([]wireMark, len(ms))
	for i, m := range ms {
		out[i] = c.marks.wire(m, now)
	}
	return out
}

func (c *Controller) send(to []platform.HostID, ms []wireMark) {
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

// shuffledPeers returns the other hosts in random order, suspected ones too:
// a host that is cut off from this one still gives work to targets. It is
// called with mu held, which guards the random source.
func (c *Controller) shuffledPeers() []platform.HostID {
	view := c.opts.Board.Members.Load()
	out := make([]platform.HostID, 0, len(view.Members))
	for i := range view.Members {
		if id := view.Members[i].Host.ID; id != c.opts.Link.Self() {
			out = append(out, id)
		}
	}
	c.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// compare asks a few random hosts again and again for marks this host lacks.
func (c *Controller) compare(ctx context.Context, g *errgroup.Group) {
	for sleep(ctx, compareEvery) {
		c.mu.Lock()
		if now := time.Now(); now.Sub(c.pruned) > pruneEvery {
			c.prune(c.opts.Board.Targets.Load(), now)
		}
		digest := c.marks.digest()
		peers := c.shuffledPeers()
		c.mu.Unlock()
		for _, id := range peers[:min(comparePeers, len(peers))] {
			g.Go(func() error { c.compareWith(ctx, id, digest); return nil })
		}
	}
}

func (c *Controller) compareWith(ctx context.Context, id platform.HostID, digest []uint64) {
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	reply, err := peer.Call[marksMsg](ctx, c.opts.Link, id, kindCompare, compareMsg{Digest: digest})
	if err != nil {
		c.count.compareFailed.Add(1)
		return
	}
	if len(reply.Marks) > 0 {
		c.count.compareDiffered.Add(1)
		c.take(reply.Marks)
	}
}

// sleep reports whether the time passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// counters of one controller, served as the map "targets".
type counters struct {
	fromList, fromPeer, firstSeen  *expvar.Int
	sent, dropped                  *expvar.Int
	compareFailed, compareDiffered *expvar.Int
}

func newCounters(set *metrics.Set) counters {
	m := set.Map("targets")
	add := func(name string) *expvar.Int {
		v := new(expvar.Int)
		m.Set(name, v)
		return v
	}
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
