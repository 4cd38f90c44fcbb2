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

// Kinds of messages.
const (
	// kindPush carries a change along a tree of hosts.
	kindPush = peer.KindConfig + iota
	// kindAnnounce says what sequence the sender has in force.
	kindAnnounce
	// kindHead asks what sequence a host has in force.
	kindHead
	// kindFetch asks for what follows a sequence.
	kindFetch
)

// pushMsg is a change with the hosts that the receiver has to pass it on to.
type pushMsg struct {
	Change Change        `msgpack:"change"`
	Rest   []peer.HostID `msgpack:"rest"`
}

type announceMsg struct {
	Sequence uint64 `msgpack:"sequence"`
}

// headRequest carries the sequence that the sender has in force, so that the
// receiver learns of it too if it is behind.
type headRequest struct {
	Sequence uint64 `msgpack:"sequence"`
}

type headReply struct {
	Sequence uint64 `msgpack:"sequence"`
	// Confirmed is set if the sender's own confirmation holds at this moment.
	Confirmed bool `msgpack:"confirmed"`
	// Age is how old the sender's evidence is, nil by a host of a release that does
	// not tell it. Such a host may have its evidence from another of its kind, and
	// that from it: its word counts only among those of more than half of all hosts.
	Age *time.Duration `msgpack:"age"`
}

// evidenceAge returns the age of the sender's evidence, or false if it has none or
// does not tell.
func (r headReply) evidenceAge() (time.Duration, bool) {
	if !r.Confirmed || r.Age == nil || *r.Age < 0 {
		return 0, false
	}
	return *r.Age, true
}

type fetchRequest struct {
	After uint64 `msgpack:"after"`
}

// fetchReply holds the changes asked for or, if the sender no longer has them
// one by one, its whole configuration.
type fetchReply struct {
	Changes []Change        `msgpack:"changes"`
	Full    *declare.Config `msgpack:"full"`
}

const (
	// smallFleet is the number of hosts up to which each may speak to all.
	smallFleet = 32
	// maxAsked is the number of hosts that a host asks at a time. If many hosts are lost,
	// each further group waits a PeerTimeout for them, and the evidence lapses meanwhile:
	// fleets of this platform fit into one group.
	maxAsked = 256
	// peerSample is the number of hosts asked first in one round of a large fleet by
	// a host that is confirmed.
	peerSample = 8
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
	if c.applyChange(m.Change, eventPush) == appliedGap {
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
	age, fresh := c.evidenceAge()
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
	c.forward(ch.delta(), c.peers())
}

// forward splits the hosts into at most Fanout groups and sends the change to
// the first host of each, which passes it on to the rest of its group. A host
// that is down loses its group the push; those hosts hear of the change within
// a poll.
func (c *Controller) forward(ch Change, hosts []peer.HostID) {
	if len(hosts) == 0 {
		return
	}
	groups := min(c.Timings.Fanout, len(hosts))
	size := (len(hosts) + groups - 1) / groups
	for group := range slices.Chunk(hosts, size) {
		for len(group) > 0 && !c.sendPush(ch, group) {
			// Nothing was sent to this host: the next takes its place.
			group = group[1:]
		}
	}
}

func (c *Controller) sendPush(ch Change, group []peer.HostID) bool {
	return peer.Notify(c.Link, group[0], kindPush, pushMsg{Change: ch, Rest: group[1:]})
}

// announce tells other hosts the sequence that this host learned otherwise than
// by a push: whoever committed it may have died before its push, or not reach
// them.
func (c *Controller) announce() {
	hosts := c.peers()
	if len(hosts) > smallFleet {
		hosts = c.pickHosts(hosts, c.Timings.Fanout)
	}
	for _, h := range hosts {
		peer.Notify(c.Link, h, kindAnnounce, announceMsg{Sequence: c.Sequence()})
	}
}

// hint is a host that was heard to have a sequence in force.
type hint struct {
	from     peer.HostID
	sequence uint64
}

// hint has the host fetch what a peer is ahead. With the queue full the hint is
// dropped: the next poll or round finds the same.
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

func (c *Controller) followHints(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case h := <-c.hints:
			c.followHint(ctx, h)
		}
	}
}

func (c *Controller) followHint(ctx context.Context, h hint) {
	before := c.Sequence()
	if h.sequence <= before {
		return
	}
	if c.fetch(ctx, h.from) == nil && c.Sequence() > before {
		c.announce()
	}
}

// noticeMembers fetches from the host whose heartbeat tells the highest
// sequence.
func (c *Controller) noticeMembers(m *blackboard.Members) {
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

// fetch applies what a peer is ahead.
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

// peers returns the other hosts, those believed live first.
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

// isPoller reports whether this host polls the store itself. In a large fleet
// the hosts with the lowest hashes do; lists that disagree only make a few
// more or fewer poll.
func (c *Controller) isPoller() bool {
	members := c.Board.Members.Load().Members
	if len(members) <= c.Timings.Pollers {
		return true
	}
	own := xxhash.Sum64String(string(c.Link.Self()))
	lower := 0
	for _, m := range members {
		if m.State == blackboard.MemberLive && xxhash.Sum64String(string(m.Host.ID)) < own {
			lower++
		}
	}
	return lower < c.Timings.Pollers
}

// peerRound runs one round of questions to peers at a time.
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

// start begins a round unless one is under way or the last was a moment ago.
func (r *peerRound) start(ctx context.Context, c *Controller) {
	now := c.Now()
	if now.Before(r.next) {
		return
	}
	if !r.group.TryGo(func() error { c.askPeers(ctx); return nil }) {
		return
	}
	gap := c.jitter(c.Timings.Poll)
	if !c.Fresh() {
		gap /= 2
	}
	r.next = now.Add(gap)
}
