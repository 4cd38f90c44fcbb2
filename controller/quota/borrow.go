package quota

import (
	"context"
	"time"

	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/quota"
	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// borrowTimeout bounds an exchange with the owner of another zone's part; lenders is how
	// many hosts of the zone are asked if the first does not answer.
	borrowTimeout = 60 * time.Millisecond
	lenders       = 2
	// emptyFor is how long zones that had nothing to lend are not asked again.
	emptyFor = 50 * time.Millisecond
)

// borrow asks the other zones for tokens. Requests that come meanwhile wait for the same.
func (c *Controller) borrow(ctx context.Context, name string, l quota.Limit, place int) {
	c.mu.Lock()
	now := time.Now()
	p := c.partOf(now, name, l, place)
	asked := now.Before(p.emptyUntil)
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
	want := p.Want()
	c.mu.Unlock()
	lent := make(chan float64, len(c.deps.OtherZones))
	for _, zone := range c.deps.OtherZones {
		go func() { lent <- c.borrowFrom(zone, name, want) }()
	}
	for range c.deps.OtherZones {
		n := <-lent
		c.mu.Lock()
		p.Borrowed(time.Now(), n)
		p.borrowed += n
		c.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); p.Tokens(now) < 1 {
		p.emptyUntil = now.Add(emptyFor)
	}
}

// borrowFrom asks the owner of another zone's part for tokens. What a lost reply carried is
// lost: it is never in two zones.
func (c *Controller) borrowFrom(zone, name string, want float64) float64 {
	asked := 0
	for _, id := range c.owners(name, zone) {
		if c.avoided(id) {
			continue
		}
		if asked++; asked > lenders {
			break
		}
		c.count.borrowings.Add(1)
		ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
		reply, err := peer.Call[borrowReply](ctx, c.deps.Link, id, c.deps.Kind+kindBorrow, borrowRequest{Name: name, Want: want})
		cancel()
		c.note(id, err == nil)
		if err == nil {
			return reply.Tokens
		}
	}
	return 0
}

// onBorrow lends tokens to another zone, if this host owns the part.
func (c *Controller) onBorrow(_ context.Context, _ ports.HostID, req borrowRequest) (borrowReply, error) {
	owner, place := c.ownerByNow(req.Name, c.deps.Zone)
	l, known := c.deps.Limits.Limit(req.Name)
	if owner != c.self || !known || l.Rate == 0 {
		return borrowReply{}, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	p := c.partOf(now, req.Name, l, place)
	lent := p.Lend(now, req.Want)
	p.lent += lent
	return borrowReply{Tokens: lent}, nil
}
