// Package targets keeps the view of all targets on the blackboard: who is
// there, from the platform's lagging list, and who is leaving, from the list,
// from what targets answer this host, and from the word of other hosts. The
// first sign of leaving anywhere is told to all entry hosts at once; hosts also
// compare what they know twice a second, so that a lost message, or a cut
// between two hosts, delays it by a second and not by the lag of the list.
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

// Kinds of messages between controllers of targets; the membership controller
// has the start of the range.
const (
	kindMarks = peer.KindMembership + 20 + iota
	kindCompare
)

const (
	compareEvery   = 500 * time.Millisecond
	compareTimeout = 400 * time.Millisecond
	comparePeers   = 3
	// pushDelay collects marks that come together, as in a rolling update.
	pushDelay = 10 * time.Millisecond
	// tellAll is up to how many hosts a first sign is told to each of them;
	// past that it goes to the fingers on the ring, which pass it on.
	tellAll = 30
	// passFanout is how many neighbours a mark from the list or from a peer is
	// passed on to.
	passFanout = 4
	pruneEvery = time.Minute
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

// Controller writes Board.Targets. Others may mark targets on it with
// blackboard.Targets.WithLeaving; the controller tells the other hosts.
type Controller struct {
	opts  Options
	count counters
	wake  chan struct{}

	mu    sync.Mutex
	rng   *rand.Rand
	marks *marks
	// tell holds marks that this host was the first to see, pass those that
	// came from the list or a peer.
	tell, pass []Mark
	pruned     time.Time
}

// New returns a controller and registers its handlers on the link. The host is
// not ready until ApplyList was called.
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
	c.setUnknown(true)
	peer.Handle(opts.Link, kindMarks, func(_ context.Context, _ peer.HostID, m marksMsg) (struct{}, error) {
		c.take(m.Marks)
		return struct{}{}, nil
	})
	peer.Handle(opts.Link, kindCompare, func(_ context.Context, _ peer.HostID, m compareMsg) (marksMsg, error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		return marksMsg{Marks: c.marks.missing(m.Digest, time.Now())}, nil
	})
	return c
}

// Run spreads marks until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.watch(ctx) })
	g.Go(func() error { c.push(ctx); return nil })
	g.Go(func() error { c.compare(ctx, g); return nil })
	return g.Wait()
}

// ApplyList takes in a new list of the platform. Without a new one the last
// stays in force, for as long as the list is out.
func (c *Controller) ApplyList(snap ports.HostSnapshot) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var before, after *blackboard.Targets
	c.opts.Board.Targets.Update(func(old *blackboard.Targets) (*blackboard.Targets, bool) {
		before, after = old, c.withMarks(fromList(old, snap, now), now)
		return after, true
	})
	// Marks that another controller set on the board are in both views; they
	// are left for the watch, which tells all hosts.
	known := make(map[Mark]bool)
	eachLeaving(before, &blackboard.Targets{}, func(m Mark) { known[m] = true })
	eachLeaving(after, before, func(m Mark) {
		if !known[m] && c.marks.add(m, now) {
			c.count.fromList.Add(1)
			c.pass = append(c.pass, m)
		}
	})
	c.setUnknown(false)
	c.prune(after, now)
	c.wakeUp()
}

// setUnknown writes whether there was no list yet.
func (c *Controller) setUnknown(unknown bool) {
	c.opts.Board.Status.Update(func(s blackboard.Status) (blackboard.Status, bool) {
		changed := s.TargetsUnknown != unknown
		s.TargetsUnknown = unknown
		return s, changed
	})
}

// withMarks sets the marks that came before the list had their targets. The
// view is not on the board yet, so it may be changed.
func (c *Controller) withMarks(t *blackboard.Targets, now time.Time) *blackboard.Targets {
	for m := range c.marks.at {
		if next, changed := t.WithLeaving(m.key(), ports.RunID(m.ID), now); changed {
			t = next
		}
	}
	return t
}

// prune keeps the marks of listed targets and lets others grow old.
func (c *Controller) prune(t *blackboard.Targets, now time.Time) {
	eachLeaving(t, &blackboard.Targets{}, func(m Mark) {
		if c.marks.has(m) {
			c.marks.seen(m, now)
		}
	})
	c.pruned = now
	c.marks.prune(now)
}

// take marks targets on the word of another host and passes on what is new.
func (c *Controller) take(ms []wireMark) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var fresh []Mark
	for _, w := range ms {
		age := time.Duration(w.Age) * time.Second
		if age <= keepMark && c.marks.add(w.mark(), now.Add(-age)) {
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
	c.pass = append(c.pass, fresh...)
	c.wakeUp()
}

// watch finds marks that others on this host set on the board.
func (c *Controller) watch(ctx context.Context) error {
	before := &blackboard.Targets{}
	return c.opts.Board.Targets.Watch(ctx, func(now *blackboard.Targets) {
		c.mu.Lock()
		defer c.mu.Unlock()
		eachLeaving(now, before, func(m Mark) {
			if c.marks.add(m, time.Now()) {
				c.count.firstSeen.Add(1)
				c.opts.Log.Info("target is leaving", zap.String("target", string(m.ID)),
					zap.String("workspace", m.Workspace), zap.String("service", m.Service))
				c.tell = append(c.tell, m)
			}
		})
		before = now
		c.wakeUp()
	})
}

// wakeUp is called with mu held.
func (c *Controller) wakeUp() {
	if len(c.tell)+len(c.pass) == 0 {
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
