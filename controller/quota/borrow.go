package quota

import (
	"context"
	"time"

	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/quota"
	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// borrowTimeout bounds a request to the owner of another zone's part, maxLenders the
	// hosts of that zone that are asked if the first doesn't reply.
	borrowTimeout = 60 * time.Millisecond
	maxLenders    = 2
	// borrowPause is how long no zone is asked again after all had too little to lend.
	borrowPause = 50 * time.Millisecond
)

// borrowOnce asks the other zones for tokens, unless they had none a moment ago.
// Concurrent requests for the same quota share one exchange.
func (c *Controller) borrowOnce(ctx context.Context, name string, l quota.Limit, rank int) {
	c.mu.Lock()
	now := time.Now()
	p := c.partOf(now, name, l, rank)
	asked := now.Before(p.nextBorrowAt)
	c.mu.Unlock()
	if asked || ctx.Err() != nil {
		return
	}
	_, _, _ = c.borrowing.Do(name, func() (any, error) {
		c.borrowFromAll(p, name)
		return nil, nil
	})
}

func (c *Controller) borrowFromAll(p *part, name string) {
	c.mu.Lock()
	want := p.BorrowAmount()
	c.mu.Unlock()
	lent := make(chan float64, len(c.deps.OtherZones))
	for _, zone := range c.deps.OtherZones {
		go func() { lent <- c.borrowFrom(zone, name, want) }()
	}
	for range c.deps.OtherZones {
		n := <-lent
		c.mu.Lock()
		p.AddBorrowed(time.Now(), n)
		p.borrowed += n
		c.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); p.Tokens(now) < 1 {
		p.nextBorrowAt = now.Add(borrowPause)
	}
}

// borrowFrom asks the owner of another zone's part for tokens. Tokens in a lost reply are
// lost: they are never in two zones at once.
func (c *Controller) borrowFrom(zone, name string, want float64) float64 {
	asked := 0
	for _, id := range c.owners(name, zone) {
		if c.backedOff(id) {
			continue
		}
		if asked++; asked > maxLenders {
			break
		}
		c.count.borrowings.Add(1)
		ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
		reply, err := peer.Call[borrowReply](ctx, c.deps.Link, id, c.deps.Kind+kindBorrow, borrowRequest{Name: name, Want: want})
		cancel()
		c.recordStatus(id, err == nil, reply.Owns)
		if err == nil {
			return reply.Tokens
		}
	}
	return 0
}

// onBorrow lends tokens to another zone if this host owns the part.
func (c *Controller) onBorrow(_ context.Context, _ ports.HostID, req borrowRequest) (borrowReply, error) {
	owner, rank := c.knownOwner(req.Name, c.deps.Zone)
	l, known := c.deps.Limits.Limit(req.Name)
	if owner != c.self || !known || l.Rate == 0 {
		return borrowReply{Owns: c.knowsAllHosts()}, nil
	}
	c.inherit(req.Name, c.deps.Zone, l, rank)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	p := c.partOf(now, req.Name, l, rank)
	lent := p.Lend(now, req.Want)
	p.lent += lent
	return borrowReply{Tokens: lent, Owns: true}, nil
}
