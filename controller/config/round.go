package config

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/cactusproxy/cactusproxy/peer"
)

// answer is one peer's reply about its configuration.
type answer struct {
	from peer.HostID
	headReply
}

// askPeers asks other hosts what they have in force, fetches the newest and,
// if the answers allow it, confirms.
func (c *Controller) askPeers(ctx context.Context) {
	asked := c.Now()
	hosts := c.peers()
	answers := c.heads(ctx, c.sample(hosts))
	if len(answers) == 0 {
		return
	}
	slices.SortFunc(answers, func(a, b answer) int { return cmp.Compare(b.Sequence, a.Sequence) })
	before, newest := c.Sequence(), answers[0].Sequence
	for _, a := range answers {
		if c.Sequence() >= newest || a.Sequence <= c.Sequence() {
			break
		}
		_ = c.fetch(ctx, a.from)
	}
	if c.Sequence() > before {
		c.announce()
	}
	if c.Sequence() < newest {
		return
	}
	if how, ok := c.sufficient(answers, len(hosts)+1); ok {
		c.confirm(asked, how)
	}
}

// sufficient reports whether the answers confirm the newest among them. One
// host that is itself confirmed does. If none is, because all were paused
// together in an outage of the store, more than half of all hosts do: no change
// can have been in force everywhere that none of them holds. Hosts that hold
// nothing at all never confirm one another.
func (c *Controller) sufficient(answers []answer, fleet int) (how string, ok bool) {
	if slices.ContainsFunc(answers, func(a answer) bool { return a.Confirmed }) {
		return confirmedByPeer, true
	}
	if c.Sequence() > 0 && 2*(len(answers)+1) > fleet {
		return confirmedByMost, true
	}
	return "", false
}

// sample returns the hosts to ask: all by a host that is not confirmed, a few
// at random by a confirmed one in a large fleet.
func (c *Controller) sample(hosts []peer.HostID) []peer.HostID {
	if len(hosts) <= smallFleet || !c.Fresh() {
		return hosts
	}
	return c.pickHosts(slices.Clone(hosts), peerSample)
}

// heads asks hosts at once, at most smallFleet at a time.
func (c *Controller) heads(ctx context.Context, hosts []peer.HostID) []answer {
	var mu sync.Mutex
	var out []answer
	var g errgroup.Group
	g.SetLimit(smallFleet)
	for _, h := range hosts {
		g.Go(func() error {
			reply, err := c.head(ctx, h)
			if err != nil {
				return nil // a host that gives no answer is left out
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, answer{from: h, headReply: reply})
			return nil
		})
	}
	_ = g.Wait()
	return out
}

func (c *Controller) head(ctx context.Context, host peer.HostID) (headReply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timings.PeerTimeout)
	defer cancel()
	return peer.Call[headReply](ctx, c.Link, host, kindHead, headRequest{Sequence: c.Sequence()})
}
