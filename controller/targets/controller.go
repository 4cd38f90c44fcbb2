// Package targets maintains the view of all targets and publishes it on the blackboard.
//
// Which targets exist comes from the platform's host list, which lags. Which of them are
// leaving comes from the list, from the responses of targets to this host, and from other
// hosts. The first host that sees that a target is leaving broadcasts a mark. In addition
// hosts compare digests of their marks twice a second and fetch what they lack
// (anti-entropy), so that a lost message or a broken link between two hosts delays a mark
// by about a second and not by the lag of the list.
package targets

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Kinds of messages between target controllers. The membership controller uses the
// start of the range.
const (
	kindMarks = peer.KindMembership + 20 + iota
	kindCompare
)

const (
	compareInterval = 500 * time.Millisecond
	compareTimeout  = 400 * time.Millisecond
	comparePeers    = 3
	// pushDelay is the time for which marks are collected into one message, as
	// they come in batches during a rolling update.
	pushDelay = 10 * time.Millisecond
	// maxFullBroadcast is the largest cluster in which a first sign is sent to every host. In
	// a larger one it goes to the fingers on the ring, which forward it.
	maxFullBroadcast = 30
	// forwardFanout is the number of neighbours that a mark from the list or from a
	// peer is forwarded to.
	forwardFanout = 4
	pruneInterval = time.Minute
)

type marksMsg struct {
	Marks []wireMark `msgpack:"m"`
}

type compareMsg struct {
	Digest []uint64 `msgpack:"d"`
}

// Options of a Controller.
type Options struct {
	Link    peer.Link
	Board   *blackboard.Board
	Log     *zap.Logger
	Metrics *metrics.Set
}

// Controller writes Board.Targets. Other code on this host may mark targets there with
// blackboard.Targets.WithLeaving; the controller broadcasts such marks to other hosts.
type Controller struct {
	opts  Options
	count counters
	wake  chan struct{}

	mu    sync.Mutex
	rng   *rand.Rand
	marks *marks
	// announce holds marks to broadcast, which this host was the first to see; forward
	// holds marks to forward, which came from the list or a peer.
	announce, forward []LeavingMark
	pruned            time.Time
}

// New returns a controller and registers its handlers on the link. The host is not ready
// until ApplyList has been called.
func New(opts Options) *Controller {
	if opts.Log == nil {
		opts.Log = zap.NewNop()
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.New()
	}
	c := &Controller{
		opts:   opts,
		count:  newCounters(opts.Metrics),
		wake:   make(chan struct{}, 1),
		rng:    rand.New(rand.NewPCG(xxhash.Sum64String(string(opts.Link.Self())), 1)),
		marks:  newMarks(),
		pruned: time.Now(),
	}
	c.setTargetsUnknown(true)
	peer.Handle(opts.Link, kindMarks, func(_ context.Context, _ peer.HostID, m marksMsg) (struct{}, error) {
		c.mergeMarks(m.Marks)
		return struct{}{}, nil
	})
	peer.Handle(opts.Link, kindCompare, func(_ context.Context, _ peer.HostID, m compareMsg) (marksMsg, error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		return marksMsg{Marks: c.marks.missing(m.Digest, time.Now())}, nil
	})
	return c
}

// Run exchanges marks with other hosts until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.watchBoard(ctx) })
	g.Go(func() error { c.push(ctx); return nil })
	g.Go(func() error { c.compare(ctx, g); return nil })
	return g.Wait()
}

// ApplyList applies a new list of the platform. While the list is unavailable, the last
// one stays in force without a time limit.
func (c *Controller) ApplyList(snap ports.HostSnapshot) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var before, after *blackboard.Targets
	c.opts.Board.Targets.Update(func(old *blackboard.Targets) (*blackboard.Targets, bool) {
		before, after = old, c.applyMarks(fromList(old, snap, now), now)
		return after, true
	})
	// Marks that other code has set on the board are in both views. They are left
	// to the watch on the board, which broadcasts them.
	known := make(map[LeavingMark]bool)
	forEachLeaving(before, &blackboard.Targets{}, func(m LeavingMark) { known[m] = true })
	forEachLeaving(after, before, func(m LeavingMark) {
		if !known[m] && c.marks.add(m, now) {
			c.count.fromList.Add(1)
			c.forward = append(c.forward, m)
		}
	})
	c.setTargetsUnknown(false)
	c.prune(after, now)
	c.wakeLocked()
}

// setTargetsUnknown sets the status flag for a host that has had no list yet.
func (c *Controller) setTargetsUnknown(unknown bool) {
	c.opts.Board.Status.Update(func(s blackboard.Status) (blackboard.Status, bool) {
		changed := s.TargetsUnknown != unknown
		s.TargetsUnknown = unknown
		return s, changed
	})
}

// applyMarks applies the marks that were received before the list had their targets. The
// view is not on the board yet, so it may be modified.
func (c *Controller) applyMarks(t *blackboard.Targets, now time.Time) *blackboard.Targets {
	for m := range c.marks.lastListed {
		if next, changed := t.WithLeaving(m.key(), ports.RunID(m.ID), now); changed {
			t = next
		}
	}
	return t
}

// prune renews the marks of listed targets and drops expired ones.
func (c *Controller) prune(t *blackboard.Targets, now time.Time) {
	forEachLeaving(t, &blackboard.Targets{}, func(m LeavingMark) {
		if c.marks.has(m) {
			c.marks.refresh(m, now)
		}
	})
	c.pruned = now
	c.marks.prune(now)
}

// mergeMarks applies marks received from another host and forwards new ones.
func (c *Controller) mergeMarks(ms []wireMark) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var fresh []LeavingMark
	for _, w := range ms {
		age := time.Duration(w.Age) * time.Second
		if age <= markTTL && c.marks.add(w.mark(), now.Add(-age)) {
			fresh = append(fresh, w.mark())
		}
	}
	if len(fresh) == 0 {
		return
	}
	c.count.fromPeer.Add(int64(len(fresh)))
	c.opts.Board.Targets.Update(func(old *blackboard.Targets) (*blackboard.Targets, bool) {
		next, changed := old, false
		for _, m := range fresh {
			t, ok := next.WithLeaving(m.key(), ports.RunID(m.ID), now)
			next, changed = t, changed || ok
		}
		return next, changed
	})
	c.forward = append(c.forward, fresh...)
	c.wakeLocked()
}

// watchBoard detects marks that other code on this host sets on the board.
func (c *Controller) watchBoard(ctx context.Context) error {
	before := &blackboard.Targets{}
	return c.opts.Board.Targets.Watch(ctx, func(now *blackboard.Targets) {
		c.mu.Lock()
		defer c.mu.Unlock()
		forEachLeaving(now, before, func(m LeavingMark) {
			if c.marks.add(m, time.Now()) {
				c.count.firstSeen.Add(1)
				c.opts.Log.Info("target is leaving", zap.String("target", string(m.ID)),
					zap.String("workspace", m.Workspace), zap.String("service", m.Service))
				c.announce = append(c.announce, m)
			}
		})
		before = now
		c.wakeLocked()
	})
}

// wakeLocked triggers push if there are marks to send. The caller holds mu.
func (c *Controller) wakeLocked() {
	if len(c.announce)+len(c.forward) == 0 {
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
