package quota

import (
	"context"
	"time"

	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/quota"
	"github.com/cactusproxy/cactusproxy/ports"
)

// onTake decides on a request of another host's caller.
func (c *Controller) onTake(ctx context.Context, _ ports.HostID, req takeRequest) (takeReply, error) {
	return c.decide(ctx, req), nil
}

// decide decides on a request if this host owns the part, else it names the owner.
func (c *Controller) decide(ctx context.Context, req takeRequest) takeReply {
	owner, place := c.owner(req.Name, c.zoneOf(req))
	if owner != c.self {
		return takeReply{Verdict: elsewhere, Owner: owner}
	}
	if req.Word.Known {
		c.deps.Limits.Observe(req.Name, req.Word)
	}
	reply := c.decideOwn(ctx, req, place)
	reply.Word = c.deps.Limits.Observed(req.Name)
	return reply
}

// decideOwn decides on a request whose part this host owns.
func (c *Controller) decideOwn(ctx context.Context, req takeRequest, place int) takeReply {
	l, known := c.deps.Limits.Limit(req.Name)
	switch {
	case !known:
		return takeReply{Verdict: elsewhere} // this host's configuration is behind
	case l.Rate == 0:
		return takeReply{Verdict: granted}
	}
	c.countOwned(place)
	reply, late := c.takeOwn(req, l, place)
	if reply.Verdict == granted || late {
		return reply
	}
	c.borrow(ctx, req.Name, l, place)
	return c.takeBorrowed(req.Name, l, place)
}

// zoneOf returns the availability zone whose hosts own the part that a request counts in.
func (c *Controller) zoneOf(req takeRequest) string {
	if req.Zone == "" {
		return c.deps.Zone
	}
	return req.Zone
}

func (c *Controller) countOwned(place int) {
	c.count.owned.Add(1)
	if place > 0 {
		c.count.followed.Add(1)
	}
}

// takeOwn decides by the tokens at hand, and reports whether the request is late: for such a one
// nothing is borrowed.
func (c *Controller) takeOwn(req takeRequest, l quota.Limit, place int) (reply takeReply, late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	p := c.partOf(now, req.Name, l, place)
	late = p.late(req)
	if p.Tokens(now) < 1 && !late {
		return takeReply{Verdict: denied}, false // there may be some to borrow
	}
	return p.decide(now, late), late
}

// takeBorrowed decides once the other zones were asked.
func (c *Controller) takeBorrowed(name string, l quota.Limit, place int) takeReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return c.partOf(now, name, l, place).decide(now, false)
}

// NotifyOwner tells the owner of a zone's part what this host knows of its limit. A word that is lost
// comes with the next question.
func (c *Controller) NotifyOwner(name, zone string) {
	w := c.deps.Limits.Observed(name)
	for _, id := range c.owners(name, zone) {
		if id == c.self {
			return
		}
		if !c.avoided(id) {
			peer.Notify(c.deps.Link, id, c.deps.Kind+kindTell, tellNotice{Name: name, Word: w})
			return
		}
	}
}

func (c *Controller) onTell(_ context.Context, _ ports.HostID, n tellNotice) (none, error) {
	if n.Word.Known {
		c.deps.Limits.Observe(n.Name, n.Word)
	}
	return none{}, nil
}
