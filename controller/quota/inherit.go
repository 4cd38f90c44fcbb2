package quota

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/quota"
	"github.com/cactusproxy/cactusproxy/ports"
)

// handOverTimeout bounds the question what other hosts know of a part. It leaves time to lend tokens of the
// part within borrowTimeout.
const handOverTimeout = 40 * time.Millisecond

type handOverRequest struct {
	Name string `msgpack:"name"`
	// Zone is the availability zone of the part.
	Zone string `msgpack:"zone"`
}

type handOverReply struct {
	// Owned is set if the receiver has owned the part since the last loss of its record.
	Owned bool `msgpack:"owned"`
	// Tokens are those that the receiver hands over. They are gone from its part.
	Tokens float64 `msgpack:"tokens"`
}

// inherit creates a part that this host comes to own just after its start. What was spent of the part is not
// in its memory, so it asks the other hosts that can own it. One that has owned it hands its tokens over. If
// none has, the record of the part is lost, and the part has the tokens for that case: once for each loss,
// since whoever comes to own the part next gets them from this host.
func (c *Controller) inherit(name, zone string, l quota.Limit, rank int) {
	now := time.Now()
	c.mu.Lock()
	needed := c.parts[name] == nil && c.justStarted(now)
	c.mu.Unlock()
	if !needed {
		return
	}
	_, _, _ = c.inheriting.Do(name, func() (any, error) {
		claim := c.claim(name, rank)
		owned, tokens := c.askForPart(name, zone)
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.claims, name)
		if c.parts[name] != nil {
			return nil, nil
		}
		now := time.Now()
		p := c.newPart(now, l, rank)
		if owned || claim.ceded {
			p.TakeOver(now)
			p.AddBorrowed(now, tokens)
		} else {
			p.Empty(now)
			p.AddStartTokens()
		}
		c.parts[name] = p
		c.logOwned(name, rank, p.Tokens(now))
		return nil, nil
	})
}

// claim is a part that this host is about to create.
type claim struct {
	rank int
	// ceded is set once a host that ranks before this one claimed the part as well.
	ceded bool
}

func (c *Controller) claim(name string, rank int) *claim {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := &claim{rank: rank}
	c.claims[name] = k
	return k
}

// askForPart asks the other hosts that can own a part for it, and returns whether one of them has owned it
// and the tokens that they handed over.
func (c *Controller) askForPart(name, zone string) (owned bool, tokens float64) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	for _, id := range c.owners(name, zone) {
		if id == c.self {
			continue
		}
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
			defer cancel()
			reply, err := peer.Call[handOverReply](ctx, c.deps.Link, id, c.deps.Kind+kindHandOver, handOverRequest{Name: name, Zone: zone})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			owned = owned || reply.Owned
			tokens += reply.Tokens
		})
	}
	wait.Wait()
	return owned, tokens
}

// onHandOver hands the tokens of a part to a host that comes to own it, if that ranks before this one. It
// gains none until this host must have noticed.
func (c *Controller) onHandOver(_ context.Context, from ports.HostID, req handOverRequest) (handOverReply, error) {
	owners := c.owners(req.Name, req.Zone)
	ranksBefore := rankOf(owners, from) < rankOf(owners, c.self)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.claims[req.Name]; k != nil && ranksBefore {
		k.ceded = true
		return handOverReply{}, nil
	} else if k != nil {
		return handOverReply{Owned: true}, nil
	}
	p := c.parts[req.Name]
	if p == nil || now.Sub(p.usedAt) > takeoverIdle {
		return handOverReply{}, nil
	}
	reply := handOverReply{Owned: true}
	if ranksBefore {
		until := p.ownedUntil(now)
		reply.Tokens = p.Lend(until, p.Tokens(until))
		p.Empty(now.Add(c.handoverDelay))
	}
	return reply, nil
}

// rankOf returns the place of a host among the owners of a part, or that after the last one.
func rankOf(owners []ports.HostID, id ports.HostID) int {
	if i := slices.Index(owners, id); i >= 0 {
		return i
	}
	return len(owners)
}
