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

// answer is one peer's reply about its configuration.
type answer struct {
	from peer.HostID
	headReply
}

// evidence is how a configuration was confirmed by peers, and how long before the
// question.
type evidence struct {
	how string
	age time.Duration
}

// askPeers asks other hosts what they have in force, fetches the newest and,
// if the answers allow it, confirms.
//
// A sample of the hosts is asked first and, if its evidence is old, the rest too: without
// the store only more than half of all hosts make new evidence, and a host that waited for
// its own to lapse would refuse calls in between. What the sample holds is applied before
// the rest is asked: questions to hosts that are lost take a PeerTimeout.
func (c *Controller) askPeers(ctx context.Context) {
	asked := c.Now()
	hosts := c.peers()
	first := c.sample(hosts)
	answers := c.heads(ctx, first)
	isNewest := c.takeNewest(ctx, answers)
	e, ok := c.evidenceIn(answers, len(hosts)+1)
	if !ok || e.age > c.Timings.PeerAge {
		answers = append(answers, c.heads(ctx, without(hosts, first))...)
		isNewest = c.takeNewest(ctx, answers)
		e, ok = c.evidenceIn(answers, len(hosts)+1)
	}
	if isNewest && ok {
		c.confirm(asked, e)
	}
}

// without returns the hosts that are not among others.
func without(hosts, others []peer.HostID) []peer.HostID {
	return slices.DeleteFunc(slices.Clone(hosts), func(h peer.HostID) bool { return slices.Contains(others, h) })
}

// takeNewest applies the newest configuration among the answers, and reports whether
// there were any and the host has it.
func (c *Controller) takeNewest(ctx context.Context, answers []answer) bool {
	if len(answers) == 0 {
		return false
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
	return c.Sequence() >= newest
}

// evidenceIn returns what the answers say for the newest among them. The answers of
// more than half of all hosts are evidence of the moment of asking: no change can have
// been in force everywhere that none of them holds. Hosts that hold nothing, and of
// which none is confirmed, may all be new, and prove nothing. Fewer hosts are as good
// as the youngest evidence of one of them: taken for evidence of the moment of asking,
// it would let hosts that are cut off together confirm one another for ever.
func (c *Controller) evidenceIn(answers []answer, fleet int) (evidence, bool) {
	confirmed := slices.ContainsFunc(answers, func(a answer) bool { return a.Confirmed })
	if 2*(len(answers)+1) > fleet && (c.Sequence() > 0 || confirmed) {
		return evidence{how: confirmedByMost}, true
	}
	youngest, found := evidence{how: confirmedByPeer}, false
	for _, a := range answers {
		if age, ok := a.evidenceAge(); ok && (!found || age < youngest.age) {
			youngest.age, found = age, true
		}
	}
	return youngest, found
}

// sample returns the hosts to ask first: all by a host that is not confirmed, a few
// at random by a confirmed one in a large fleet.
func (c *Controller) sample(hosts []peer.HostID) []peer.HostID {
	if len(hosts) <= smallFleet || !c.Fresh() {
		return hosts
	}
	return c.pickHosts(slices.Clone(hosts), peerSample)
}

// heads asks hosts at once, at most maxAsked at a time.
func (c *Controller) heads(ctx context.Context, hosts []peer.HostID) []answer {
	var mu sync.Mutex
	var out []answer
	var g errgroup.Group
	g.SetLimit(maxAsked)
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
