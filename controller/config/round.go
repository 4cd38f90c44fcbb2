package config

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cactusproxy/cactusproxy/peer"
)

// peerReply is a peer's reply about its configuration.
type peerReply struct {
	from peer.HostID
	headReply
}

// confirmation tells how peers confirmed a configuration. Its age is relative to the
// start of the query.
type confirmation struct {
	source string
	age    time.Duration
}

// queryPeers asks other hosts for their sequence numbers, fetches the newest
// configuration and records a confirmation if the replies allow one.
//
// It queries a sample of the hosts first, and the rest too if the sample's confirmation
// is too old: while the store is unavailable only a majority of all hosts yields a new
// confirmation, and a host that waited for its own to expire would refuse calls in the
// meantime. The newest configuration of the sample is applied before the rest is queried,
// since queries to failed hosts take a PeerTimeout.
func (c *Controller) queryPeers(ctx context.Context) {
	askedAt := c.Now()
	hosts := c.peers()
	first := c.sample(hosts)
	replies := c.queryHeads(ctx, first)
	isNewest := c.fetchNewest(ctx, replies)
	e, ok := c.confirmationFrom(replies, len(hosts)+1)
	if !ok || e.age > c.Timings.PeerRefreshAge {
		replies = append(replies, c.queryHeads(ctx, exclude(hosts, first))...)
		isNewest = c.fetchNewest(ctx, replies)
		e, ok = c.confirmationFrom(replies, len(hosts)+1)
	}
	if isNewest && ok {
		c.confirm(askedAt, e)
	}
}

// exclude returns the hosts that are not among others.
func exclude(hosts, others []peer.HostID) []peer.HostID {
	return slices.DeleteFunc(slices.Clone(hosts), func(h peer.HostID) bool { return slices.Contains(others, h) })
}

// fetchNewest applies the newest configuration among the replies. It reports whether
// there were any replies and the host now has the newest configuration among them.
func (c *Controller) fetchNewest(ctx context.Context, replies []peerReply) bool {
	if len(replies) == 0 {
		return false
	}
	slices.SortFunc(replies, func(a, b peerReply) int { return cmp.Compare(b.Sequence, a.Sequence) })
	before, newest := c.Sequence(), replies[0].Sequence
	for _, a := range replies {
		if c.Sequence() >= newest || a.Sequence <= c.Sequence() {
			break
		}
		_ = c.fetch(ctx, a.from)
	}
	if c.Sequence() > before {
		c.announce()
	}
	return c.Sequence() >= newest
}

// confirmationFrom returns the confirmation that the replies yield for the newest
// configuration among them. A majority of all hosts confirms as of the time of the query:
// no change can be in force everywhere that none of them has. A majority without any
// configuration and without a confirmed host proves nothing, because all of them may have
// just started. Fewer replies are only as good as the youngest confirmation among them:
// if they counted as of the time of the query, hosts cut off together could confirm each
// other indefinitely.
func (c *Controller) confirmationFrom(replies []peerReply, fleet int) (confirmation, bool) {
	confirmed := slices.ContainsFunc(replies, func(a peerReply) bool { return a.Confirmed })
	if 2*(len(replies)+1) > fleet && (c.Sequence() > 0 || confirmed) {
		return confirmation{source: confirmedByMajority}, true
	}
	youngest, found := confirmation{source: confirmedByPeer}, false
	for _, a := range replies {
		if age, ok := a.confirmationAge(); ok && (!found || age < youngest.age) {
			youngest.age, found = age, true
		}
	}
	return youngest, found
}

// sample returns the hosts to query first: all of them in a small fleet or while this
// host isn't confirmed, otherwise a few at random.
func (c *Controller) sample(hosts []peer.HostID) []peer.HostID {
	if len(hosts) <= smallFleet || !c.Fresh() {
		return hosts
	}
	return c.pickHosts(slices.Clone(hosts), peerSampleSize)
}

// queryHeads queries hosts in parallel, at most maxParallelQueries at a time.
func (c *Controller) queryHeads(ctx context.Context, hosts []peer.HostID) []peerReply {
	var mu sync.Mutex
	var out []peerReply
	var g errgroup.Group
	g.SetLimit(maxParallelQueries)
	for _, h := range hosts {
		g.Go(func() error {
			reply, err := c.queryHead(ctx, h)
			if err != nil {
				return nil // hosts that don't reply are left out
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, peerReply{from: h, headReply: reply})
			return nil
		})
	}
	_ = g.Wait()
	return out
}

func (c *Controller) queryHead(ctx context.Context, host peer.HostID) (headReply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timings.PeerTimeout)
	defer cancel()
	return peer.Call[headReply](ctx, c.Link, host, kindHead, headRequest{Sequence: c.Sequence()})
}
