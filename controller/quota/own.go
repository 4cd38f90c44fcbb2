package quota

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/quota"
	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// startFor is how long after its start a host counts as one that has just started: what
	// tenants used before is forgotten then by all owners of the zone, or by this one.
	startFor = 2 * time.Second
	// followFor is how long a host that owns a part in place of another is not asked until
	// it counts as one that comes to own it anew.
	followFor = time.Second
	// borrowTimeout bounds an exchange with the owner of another zone's part; lenders is how
	// many hosts of the zone are asked if the first does not answer.
	borrowTimeout = 60 * time.Millisecond
	lenders       = 2
	// emptyFor is how long a zone that had nothing to lend is not asked again.
	emptyFor = 50 * time.Millisecond
)

// part is this zone's part of a tenant's quota, in the hands of this host.
type part struct {
	*quota.Part
	// place is how many hosts would own the part before this one.
	place int
	// usedAt is when it was last asked for.
	usedAt time.Time
	// emptyUntil is when the other zones are next asked for tokens.
	emptyUntil time.Time
	// granted and denied count requests since the last report, lent and borrowed the tokens
	// that went to other zones and came from them.
	granted, denied int
	lent, borrowed  float64
	// arrivals are the requests of each route. The owner sees enough of a tenant's to tell
	// which came back, where the hosts that they come to see a few each.
	arrivals map[string]*quota.Arrivals
}

// late takes in a request and reports whether it can hardly be answered in time.
func (p *part) late(req takeRequest) bool {
	a := p.arrivals[req.Route]
	if a == nil {
		a = new(quota.Arrivals)
		p.arrivals[req.Route] = a
	}
	return a.Late(req)
}

// take takes a token for a request and counts it.
func (p *part) take(now time.Time, late bool) bool {
	if !p.Take(now, late) {
		p.denied++
		return false
	}
	p.granted++
	return true
}

// onTake decides on a request of another host's caller.
func (c *Controller) onTake(ctx context.Context, _ ports.HostID, req takeRequest) (takeReply, error) {
	return c.decide(ctx, req), nil
}

// decide decides on a request if this host owns the part, else it names the owner.
func (c *Controller) decide(ctx context.Context, req takeRequest) takeReply {
	tenant := req.Tenant
	owner, place := c.owner(tenant)
	if owner != c.self {
		return takeReply{Verdict: elsewhere, Owner: owner}
	}
	l, known := c.limit(tenant)
	if !known {
		return takeReply{Verdict: elsewhere} // this host's configuration is behind
	}
	if l.Rate == 0 {
		return takeReply{Verdict: granted}
	}
	c.count.owned.Add(1)
	if place > 0 {
		c.count.followed.Add(1)
	}
	taken, late := c.takeOwn(req, l, place)
	if taken {
		return takeReply{Verdict: granted}
	}
	if late {
		c.mu.Lock()
		defer c.mu.Unlock()
		p := c.parts[tenant]
		p.denied++
		return takeReply{Verdict: denied, Wait: p.Wait(time.Now())}
	}
	c.borrow(ctx, tenant, l, place)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	p := c.partOf(now, tenant, l, place)
	if p.take(now, false) {
		return takeReply{Verdict: granted}
	}
	return takeReply{Verdict: denied, Wait: p.Wait(now)}
}

// takeOwn takes a token that is at hand, and reports whether the request is late.
func (c *Controller) takeOwn(req takeRequest, l quota.Limit, place int) (taken, late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	p := c.partOf(now, req.Tenant, l, place)
	late = p.late(req)
	return p.Tokens(now) >= 1 && p.take(now, late), late
}

// partOf returns this zone's part of a tenant's quota. The lock is held.
//
// Two hosts that follow each other must not both spend what the part gains: one that comes to
// own it has no tokens and gains none before the other can have noticed. Until then it serves
// what other zones lend.
func (c *Controller) partOf(now time.Time, tenant string, l quota.Limit, place int) *part {
	p := c.parts[tenant]
	if p == nil {
		p = c.newPart(now, l, place)
		c.parts[tenant] = p
		c.tellOwned(tenant, place, p.Tokens(now))
	}
	p.SetLimit(now, l)
	idle := now.Sub(p.usedAt)
	p.usedAt = now
	if place != p.place || place > 0 && idle > followFor && !p.Small() {
		p.place = place
		p.Follow(now.Add(c.timing.handOver))
		c.tellOwned(tenant, place, p.Tokens(now))
	}
	return p
}

// newPart returns a part that this host comes to own, by the list of hosts since that is as it
// is.
func (c *Controller) newPart(now time.Time, l quota.Limit, place int) *part {
	c.refreshRanks(now)
	since := c.ranks.since
	if place > 0 {
		since = now
	}
	fresh := now.Sub(c.started) < startFor
	if !fresh {
		since = since.Add(c.timing.handOver)
	}
	p := &part{
		Part:   quota.NewPart(since, l, c.deps.Tolerance, 1+len(c.deps.Others)),
		place:  place,
		usedAt: now,

		arrivals: make(map[string]*quota.Arrivals),
	}
	switch {
	case fresh:
		p.Start()
	case place > 0:
		p.Follow(since)
	}
	return p
}

// emptyAll takes the tokens of all parts away: others may have owned them meanwhile.
func (c *Controller) emptyAll(now time.Time, why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.parts {
		p.Empty(now.Add(c.timing.handOver))
	}
	if len(c.parts) > 0 {
		c.deps.Log.Info("quotas begun anew", zap.String("why", why), zap.Int("tenants", len(c.parts)))
	}
}

// tellOwned logs that this host owns a part.
func (c *Controller) tellOwned(tenant string, place int, tokens float64) {
	c.deps.Log.Info("quota owned", zap.String("tenant", tenant), zap.String("zone", c.deps.Zone),
		zap.Int("place", place), zap.Float64("tokens", tokens))
}

// borrow asks the other zones for tokens. Requests that come meanwhile wait for the same.
func (c *Controller) borrow(ctx context.Context, tenant string, l quota.Limit, place int) {
	c.mu.Lock()
	now := time.Now()
	p := c.partOf(now, tenant, l, place)
	asked := now.Before(p.emptyUntil)
	c.mu.Unlock()
	if asked || ctx.Err() != nil {
		return
	}
	_, _, _ = c.borrowing.Do(tenant, func() (any, error) {
		c.borrowFromAll(p, tenant)
		return nil, nil
	})
}

func (c *Controller) borrowFromAll(p *part, tenant string) {
	c.mu.Lock()
	want := p.Want()
	c.mu.Unlock()
	lent := make(chan float64, len(c.deps.Others))
	for _, zone := range c.deps.Others {
		go func() { lent <- c.borrowFrom(zone, tenant, want) }()
	}
	for range c.deps.Others {
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
func (c *Controller) borrowFrom(zone, tenant string, want float64) float64 {
	asked := 0
	for _, id := range c.owners(tenant, zone) {
		if c.avoided(id) {
			continue
		}
		if asked++; asked > lenders {
			break
		}
		c.count.borrowings.Add(1)
		ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
		reply, err := peer.Call[borrowReply](ctx, c.deps.Link, id, kindBorrow, borrowRequest{Tenant: tenant, Want: want})
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
	owner, place := c.ownerByNow(req.Tenant)
	l, known := c.limit(req.Tenant)
	if owner != c.self || !known || l.Rate == 0 {
		return borrowReply{}, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	p := c.partOf(now, req.Tenant, l, place)
	lent := p.Lend(now, req.Want)
	p.lent += lent
	return borrowReply{Tokens: lent}, nil
}

// report logs what this host decided of tenants that asked for more than there was. The lock is
// held.
func (c *Controller) report(tenant string, p *part) {
	if p.denied > 0 {
		l, _ := c.limit(tenant)
		c.deps.Log.Info("quota used up", zap.String("tenant", tenant), zap.String("zone", c.deps.Zone),
			zap.Float64("rate", l.Rate), zap.Float64("burst", l.Burst), zap.Int("granted", p.granted),
			zap.Int("denied", p.denied), zap.Float64("borrowed", p.borrowed), zap.Float64("lent", p.lent))
	}
	p.granted, p.denied, p.borrowed, p.lent = 0, 0, 0, 0
}
