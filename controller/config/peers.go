package config

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/peer"
)

// Kinds of messages between hosts.
const (
	// kindPush sends a change down the tree of hosts.
	kindPush = peer.KindConfig + iota
	// kindAnnounce tells the sender's sequence number.
	kindAnnounce
	// kindHead asks for the receiver's sequence number.
	kindHead
	// kindFetch asks for the changes that follow a sequence number.
	kindFetch
)

// pushMsg is a change and the hosts to which the receiver has to forward it.
type pushMsg struct {
	Change Change        `msgpack:"change"`
	Rest   []peer.HostID `msgpack:"rest"`
}

type announceMsg struct {
	Sequence uint64 `msgpack:"sequence"`
}

// headRequest carries the sender's sequence number, so that a receiver that is behind
// learns of it.
type headRequest struct {
	Sequence uint64 `msgpack:"sequence"`
}

type headReply struct {
	Sequence uint64 `msgpack:"sequence"`
	// Confirmed is set if the sender's own confirmation is valid.
	Confirmed bool `msgpack:"confirmed"`
	// Age is the age of the sender's confirmation. It is nil from hosts of older
	// releases, which don't report it. Such a host may have been confirmed by another of
	// the same release, and that one by the first, so its reply counts only towards a
	// majority of all hosts.
	Age *time.Duration `msgpack:"age"`
}

// confirmationAge returns the age of the sender's confirmation, or false if it has none
// or doesn't report its age.
func (r headReply) confirmationAge() (time.Duration, bool) {
	if !r.Confirmed || r.Age == nil || *r.Age < 0 {
		return 0, false
	}
	return *r.Age, true
}

type fetchRequest struct {
	After uint64 `msgpack:"after"`
}

// fetchReply holds the changes asked for or, if the sender no longer has them
// individually, its whole configuration.
type fetchReply struct {
	Changes []Change        `msgpack:"changes"`
	Full    *declare.Config `msgpack:"full"`
}

const (
	// smallFleet is the number of hosts up to which each may send to all others.
	smallFleet = 32
	// maxParallelQueries bounds the hosts queried at the same time. If many hosts are
	// down, each further batch waits a PeerTimeout for them while the confirmation ages;
	// the bound is high enough for the supported fleet sizes to fit into one batch.
	maxParallelQueries = 256
	// peerSampleSize is the number of hosts that a confirmed host in a large fleet
	// queries first.
	peerSampleSize = 8
)

func (c *Controller) registerHandlers() {
	peer.Handle(c.Link, kindPush, c.onPush)
	peer.Handle(c.Link, kindAnnounce, c.onAnnounce)
	peer.Handle(c.Link, kindHead, c.onHead)
	peer.Handle(c.Link, kindFetch, c.onFetch)
}

type empty struct{}

func (c *Controller) onPush(_ context.Context, from peer.HostID, m pushMsg) (empty, error) {
	c.forward(m.Change, m.Rest)
	if c.applyChange(m.Change, eventPush) == applyGap {
		c.hint(from, m.Change.Sequence)
	}
	return empty{}, nil
}

func (c *Controller) onAnnounce(_ context.Context, from peer.HostID, m announceMsg) (empty, error) {
	c.hint(from, m.Sequence)
	return empty{}, nil
}

func (c *Controller) onHead(_ context.Context, from peer.HostID, req headRequest) (headReply, error) {
	c.hint(from, req.Sequence)
	age, fresh := c.confirmationAge()
	return headReply{Sequence: c.Sequence(), Confirmed: fresh, Age: &age}, nil
}

func (c *Controller) onFetch(_ context.Context, _ peer.HostID, req fetchRequest) (fetchReply, error) {
	if changes, ok := c.changesAfter(req.After); ok {
		return fetchReply{Changes: changes}, nil
	}
	return fetchReply{Full: c.Board.Config.Load()}, nil
}

// push sends a change to all other hosts along a tree.
func (c *Controller) push(ch Change) {
	c.forward(ch.withoutSource(), c.peers())
}

// forward splits the hosts into at most Fanout groups and sends the change to the first
// host of each, which forwards it to the rest of its group. If that host is down, its
// group misses the push and learns of the change with the next poll.
func (c *Controller) forward(ch Change, hosts []peer.HostID) {
	if len(hosts) == 0 {
		return
	}
	groups := min(c.Timings.Fanout, len(hosts))
	size := (len(hosts) + groups - 1) / groups
	for group := range slices.Chunk(hosts, size) {
		for len(group) > 0 && !c.sendPush(ch, group) {
			// Nothing could be sent to this host; try the next one in its place.
			group = group[1:]
		}
	}
}

func (c *Controller) sendPush(ch Change, group []peer.HostID) bool {
	return peer.Notify(c.Link, group[0], kindPush, pushMsg{Change: ch, Rest: group[1:]})
}

// announce tells other hosts this host's sequence number if it was learned other than by
// a push: the host that committed the change may have failed before its push, or can't
// reach them.
func (c *Controller) announce() {
	hosts := c.peers()
	if len(hosts) > smallFleet {
		hosts = c.pickHosts(hosts, c.Timings.Fanout)
	}
	for _, h := range hosts {
		peer.Notify(c.Link, h, kindAnnounce, announceMsg{Sequence: c.Sequence()})
	}
}

// hint is a peer that reported a sequence number.
type hint struct {
	from     peer.HostID
	sequence uint64
}

// hint queues a fetch from a peer that is ahead. If the queue is full, the hint is
// dropped: the next poll or round of queries finds the same change.
func (c *Controller) hint(from peer.HostID, sequence uint64) {
	if sequence <= c.Sequence() {
		return
	}
	select {
	case c.hints <- hint{from, sequence}:
	default:
		c.refused.Add("hint_queue_full", 1)
	}
}

func (c *Controller) processHints(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case h := <-c.hints:
			c.processHint(ctx, h)
		}
	}
}

func (c *Controller) processHint(ctx context.Context, h hint) {
	before := c.Sequence()
	if h.sequence <= before {
		return
	}
	if c.fetch(ctx, h.from) == nil && c.Sequence() > before {
		c.announce()
	}
}

// onMembers queues a fetch from the host whose heartbeat reports the highest sequence
// number.
func (c *Controller) onMembers(m *blackboard.Members) {
	var best hint
	for _, mem := range m.Members {
		if mem.ConfigSequence > best.sequence {
			best = hint{mem.Host.ID, mem.ConfigSequence}
		}
	}
	if best.from != c.Link.Self() {
		c.hint(best.from, best.sequence)
	}
}

// fetch gets the changes that a peer is ahead and applies them.
func (c *Controller) fetch(ctx context.Context, from peer.HostID) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timings.PeerTimeout)
	defer cancel()
	reply, err := peer.Call[fetchReply](ctx, c.Link, from, kindFetch, fetchRequest{After: c.Sequence()})
	if err != nil {
		c.events.Add("peer_fetch_failed", 1)
		return err
	}
	if reply.Full != nil {
		c.installConfig(reply.Full, eventPeer)
	}
	for _, ch := range reply.Changes {
		c.applyChange(ch, eventPeer)
	}
	return nil
}

// peers returns the other hosts, live ones first.
func (c *Controller) peers() []peer.HostID {
	members := slices.Clone(c.Board.Members.Load().Members)
	slices.SortStableFunc(members, func(a, b blackboard.Member) int { return cmp.Compare(a.State, b.State) })
	out := make([]peer.HostID, 0, len(members))
	for _, m := range members {
		if m.Host.ID != c.Link.Self() {
			out = append(out, m.Host.ID)
		}
	}
	return out
}

// isPoller reports whether this host polls the store itself. In a large fleet the live
// hosts with the lowest hashes do. If hosts disagree about the members, slightly more or
// fewer hosts poll.
func (c *Controller) isPoller() bool {
	members := c.Board.Members.Load().Members
	if len(members) <= c.Timings.MaxPollers {
		return true
	}
	own := xxhash.Sum64String(string(c.Link.Self()))
	lower := 0
	for _, m := range members {
		if m.State == blackboard.MemberLive && xxhash.Sum64String(string(m.Host.ID)) < own {
			lower++
		}
	}
	return lower < c.Timings.MaxPollers
}

// peerRound runs rounds of queries to peers, one at a time.
type peerRound struct {
	group errgroup.Group
	next  time.Time
}

func newPeerRound() *peerRound {
	r := new(peerRound)
	r.group.SetLimit(1)
	return r
}

func (r *peerRound) wait() { _ = r.group.Wait() }

// start begins a round unless one is running or the last began too recently.
func (r *peerRound) start(ctx context.Context, c *Controller) {
	now := c.Now()
	if now.Before(r.next) {
		return
	}
	if !r.group.TryGo(func() error { c.queryPeers(ctx); return nil }) {
		return
	}
	gap := c.jitter(c.Timings.PollInterval)
	if !c.Fresh() {
		gap /= 2
	}
	r.next = now.Add(gap)
}
