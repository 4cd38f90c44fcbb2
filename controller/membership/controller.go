// Package membership keeps this host's view of the entry hosts on the
// blackboard. It joins the platform's lagging list with heartbeats between the
// hosts themselves: up to some tens of hosts all to all, past that each host to
// a few neighbours on a hashed ring, with changes passed on by gossip. Views of
// two hosts may differ at any time; roles that are given by them are soft, and
// no safety depends on them.
package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/internal/ctxtime"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Times of the protocol. A host that dies is suspected by those that watch it
// after silentAfter, one round of beatEvery and probeTimeout at the latest.
const (
	beatEvery    = 500 * time.Millisecond
	silentAfter  = 1600 * time.Millisecond
	pingTimeout  = 400 * time.Millisecond
	probeTimeout = 2 * pingTimeout
	// pauseAfter is the gap between two ticks that shows that this host was
	// paused. By then others may have suspected it.
	pauseAfter  = silentAfter
	syncEvery   = time.Second
	syncTimeout = time.Second
	gossipDelay = 20 * time.Millisecond
	forgetAfter = 30 * time.Second
	wakeRetry   = 250 * time.Millisecond
	// pollEvery is the least time between two reads of the list; pollPerHost
	// makes it longer with the number of hosts, so that all hosts together
	// read it at most 50 times a second.
	pollEvery   = time.Second
	pollPerHost = 20 * time.Millisecond
	listTimeout = 3 * time.Second
	// helpers is how many hosts are asked to ping one that does not answer.
	helpers = 3
)

// PeerSetter learns the addresses of the hosts; peer.Node is one.
type PeerSetter interface {
	SetPeers(hosts []ports.Host)
}

// Options of a Controller.
type Options struct {
	// Host is this host as the others shall know it.
	Host ports.Host
	// Incarnation has to be greater than that of any earlier run on the host;
	// NewIncarnation gives one.
	Incarnation uint64
	Link        peer.Link
	// Peers is told the addresses of the hosts in the view; it may be nil.
	Peers PeerSetter
	Board *blackboard.Board
	List  ports.HostList
	// OnList gets each new list, for the controller of targets; it may be nil.
	OnList  func(ports.HostSnapshot)
	Log     *zap.Logger
	Metrics *metrics.Set

	// hold stands for a pause of the process in tests.
	hold  func()
	rules rules
}

// NewIncarnation returns an incarnation for a run that starts now.
func NewIncarnation(now time.Time) uint64 { return uint64(now.UnixMicro()) }

// Controller writes Board.Members.
type Controller struct {
	opts  Options
	count counters
	wake  chan struct{}

	mu      sync.Mutex
	view    *view
	rng     *rand.Rand
	changed map[ports.HostID]struct{}
	peers   []ports.Host
	lastRun time.Time
	synced  time.Time
}

// New returns a controller and registers its handlers on the link.
func New(opts Options) *Controller {
	if opts.Log == nil {
		opts.Log = zap.NewNop()
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.New()
	}
	rec := recordOf(opts.Host)
	rec.Incarnation = opts.Incarnation
	c := &Controller{
		opts:    opts,
		count:   newCounters(opts.Metrics),
		wake:    make(chan struct{}, 1),
		view:    newView(rec, time.Now()),
		rng:     rand.New(rand.NewPCG(xxhash.Sum64String(string(opts.Host.ID)), opts.Incarnation)),
		changed: make(map[ports.HostID]struct{}),
	}
	c.view.rules = opts.rules
	c.register()
	c.publishLocked()
	return c
}

// Run keeps the view until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return c.opts.Board.Status.Watch(ctx, func(blackboard.Status) { c.refreshOwn() })
	})
	g.Go(func() error {
		return c.opts.Board.Config.Watch(ctx, func(*declare.Config) { c.refreshOwn() })
	})
	g.Go(func() error { c.pollList(ctx); return nil })
	g.Go(func() error { c.spread(ctx); return nil })
	g.Go(func() error { c.beat(ctx, g); return nil })
	return g.Wait()
}

// refreshOwn writes what this host says of itself into its record.
func (c *Controller) refreshOwn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refreshOwnLocked()
}

func (c *Controller) refreshOwnLocked() {
	status := c.opts.Board.Status.Load()
	seq := c.opts.Board.Config.Load().Sequence
	changed := c.view.change(func(r *Record) {
		r.Ready = status.Ready()
		r.Leaving = r.Leaving || status.Leaving
		r.Config = seq
	})
	if changed {
		c.noteLocked(c.view.self)
	}
}

// noteLocked marks a record to be passed on and publishes the view.
func (c *Controller) noteLocked(id ports.HostID) {
	c.changed[id] = struct{}{}
	select {
	case c.wake <- struct{}{}:
	default:
	}
	c.publishLocked()
}

// publishLocked writes the view to the blackboard if it differs.
func (c *Controller) publishLocked() {
	next := c.view.members()
	c.opts.Board.Members.Update(func(old *blackboard.Members) (*blackboard.Members, bool) {
		same := old.Self == next.Self && old.Complete == next.Complete && slices.Equal(old.Members, next.Members)
		return next, !same
	})
	c.setPeersLocked(next)
}

func (c *Controller) setPeersLocked(m *blackboard.Members) {
	if c.opts.Peers == nil {
		return
	}
	hosts := make([]ports.Host, len(m.Members))
	for i := range m.Members {
		hosts[i] = m.Members[i].Host
		hosts[i].State = ports.HostLive
	}
	if slices.Equal(hosts, c.peers) {
		return
	}
	c.peers = hosts
	c.opts.Peers.SetPeers(hosts)
}

// beat runs the rounds of heartbeats, probes and comparisons.
func (c *Controller) beat(ctx context.Context, g *errgroup.Group) {
	c.mu.Lock()
	offset := time.Duration(c.rng.Int64N(int64(beatEvery)))
	c.lastRun = time.Now()
	c.mu.Unlock()
	if !ctxtime.Sleep(ctx, offset) {
		return
	}
	t := time.NewTicker(beatEvery)
	defer t.Stop()
	for {
		if c.opts.hold != nil {
			c.opts.hold()
		}
		c.round(ctx, g, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (c *Controller) round(ctx context.Context, g *errgroup.Group, now time.Time) {
	c.mu.Lock()
	woke := paused(c.lastRun, now)
	c.lastRun = now
	if woke {
		c.wakeLocked(now)
	}
	c.refreshOwnLocked()
	if c.view.forget(now) {
		c.publishLocked()
	}
	own := c.view.own().rec
	to := c.view.heartbeatTo()
	silent := c.silentLocked(now)
	partners := c.partnersLocked(now)
	c.mu.Unlock()

	for _, id := range to {
		c.count.beats.Add(1)
		if !peer.Notify(c.opts.Link, id, kindBeat, own) {
			c.count.dropped.Add(1)
		}
	}
	for _, id := range silent {
		g.Go(func() error { c.probe(ctx, g, id); return nil })
	}
	for _, id := range partners {
		g.Go(func() error { c.compare(ctx, id); return nil })
	}
	if woke {
		g.Go(func() error { c.confirm(ctx); return nil })
	}
}

// paused compares both clocks: the monotonic one stands still while a virtual
// machine is suspended.
func paused(last, now time.Time) bool {
	return now.Sub(last) > pauseAfter || now.Round(0).Sub(last.Round(0)) > pauseAfter
}

// wakeLocked begins anew after a pause. What the others were doing meanwhile is
// not known: they are not doubted for a silence that was this host's own, and
// this host takes no role until one of them has answered.
func (c *Controller) wakeLocked(now time.Time) {
	c.count.woke.Add(1)
	c.opts.Log.Warn("host was paused")
	for _, e := range c.view.entries {
		e.heard = now
	}
	c.view.change(func(r *Record) { r.Waking = true })
	c.noteLocked(c.view.self)
}

// confirm asks others until one answers; the answer brings their view.
func (c *Controller) confirm(ctx context.Context) {
	for {
		c.mu.Lock()
		ids := sample(c.rng, c.view.others(nil), helpers)
		c.mu.Unlock()
		if len(ids) == 0 || c.anySync(ctx, ids) {
			break
		}
		if !ctxtime.Sleep(ctx, wakeRetry) {
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view.change(func(r *Record) { r.Waking = false }) {
		c.noteLocked(c.view.self)
	}
}

func (c *Controller) anySync(ctx context.Context, ids []ports.HostID) bool {
	answers := make(chan bool, len(ids))
	for _, id := range ids {
		go func() { answers <- c.syncWith(ctx, id) }()
	}
	ok := false
	for range ids {
		ok = <-answers || ok
	}
	return ok
}

// silentLocked returns the hosts that are due for a probe: those watched, and
// those that were silent when they were watched. The latter are told to nobody,
// so nobody would refute it.
func (c *Controller) silentLocked(now time.Time) []ports.HostID {
	var out []ports.HostID
	silent := c.view.others(func(e *entry) bool { return e.silent })
	for _, id := range union(c.view.watched(), silent) {
		e := c.view.entries[id]
		if e.probing || e.rec.Suspected || now.Sub(e.heard) < silentAfter {
			continue
		}
		e.probing = true
		out = append(out, id)
	}
	return out
}

// partnersLocked returns the hosts to compare views with in this round.
func (c *Controller) partnersLocked(now time.Time) []ports.HostID {
	if now.Sub(c.synced) < syncEvery {
		return nil
	}
	c.synced = now
	return c.view.partners(c.rng)
}
