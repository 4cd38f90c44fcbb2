package quota

import (
	"context"
	"time"

	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/quota"
	"github.com/cactusproxy/cactusproxy/ports"
)

// onTake decides on a request that another host received.
func (c *Controller) onTake(ctx context.Context, _ ports.HostID, req takeRequest) (takeReply, error) {
	reply := c.decide(ctx, req)
	reply.Owns = c.knowsAllHosts()
	return reply, nil
}

// decide decides on a request if this host owns the part, otherwise it returns the owner.
func (c *Controller) decide(ctx context.Context, req takeRequest) takeReply {
	owner, rank := c.owner(req.Name, c.zoneOf(req))
	if owner != c.self {
		return c.notOwnerReply(owner)
	}
	if req.Observed.Known {
		c.deps.Limits.Observe(req.Name, req.Observed)
	}
	reply := c.decideAsOwner(ctx, req, rank)
	reply.Observed = c.deps.Limits.Observed(req.Name)
	return reply
}

// notOwnerReply refers to the owner, or tells that this host doesn't know it.
func (c *Controller) notOwnerReply(owner ports.HostID) takeReply {
	reply := takeReply{Verdict: notOwner, Owner: owner, Cause: causeOtherOwner}
	switch {
	case owner != "":
	case !c.knowsAllHosts():
		reply.Cause = causeIncomplete
	default:
		reply.Cause = causeCutOff
	}
	return reply
}

// decideAsOwner decides on a request whose part this host owns. If the part has no token,
// it borrows from the other zones.
func (c *Controller) decideAsOwner(ctx context.Context, req takeRequest, rank int) takeReply {
	l, known := c.deps.Limits.Limit(req.Name)
	switch {
	case !known:
		return takeReply{Verdict: notOwner, Cause: causeUnknownLimit}
	case l.Rate == 0:
		return takeReply{Verdict: granted}
	}
	c.countOwned(rank)
	c.inherit(req.Name, c.zoneOf(req), l, rank)
	reply, late := c.takeOwn(req, l, rank)
	if reply.Verdict == granted || late {
		return reply
	}
	c.borrowOnce(ctx, req.Name, l, rank)
	return c.decideAfterBorrow(req.Name, l, rank)
}

// zoneOf returns the availability zone whose part of the quota a request counts against.
func (c *Controller) zoneOf(req takeRequest) string {
	if req.Zone == "" {
		return c.deps.Zone
	}
	return req.Zone
}

func (c *Controller) countOwned(rank int) {
	c.count.owned.Add(1)
	if rank > 0 {
		c.count.followed.Add(1)
	}
}

// takeOwn decides with the tokens of this host's part, and reports whether the request is
// late: no tokens are borrowed for late requests.
func (c *Controller) takeOwn(req takeRequest, l quota.Limit, rank int) (reply takeReply, late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	p := c.partOf(now, req.Name, l, rank)
	late = p.late(req)
	if p.Tokens(now) < 1 && !late {
		return takeReply{Verdict: denied}, false // the other zones may lend some
	}
	return p.decide(now, late), late
}

// decideAfterBorrow decides on a request once the other zones have been asked for tokens.
func (c *Controller) decideAfterBorrow(name string, l quota.Limit, rank int) takeReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return c.partOf(now, name, l, rank).decide(now, false)
}

// NotifyOwner tells the owner of a zone's part what this host knows about the limit. If
// the message is lost, the next request to the owner carries the same.
func (c *Controller) NotifyOwner(name, zone string) {
	w := c.deps.Limits.Observed(name)
	for _, id := range c.owners(name, zone) {
		if id == c.self {
			return
		}
		if !c.backedOff(id) {
			peer.Notify(c.deps.Link, id, c.deps.Kind+kindNotify, limitNotice{Name: name, Observed: w})
			return
		}
	}
}

func (c *Controller) onNotify(_ context.Context, _ ports.HostID, n limitNotice) (noReply, error) {
	if n.Observed.Known {
		c.deps.Limits.Observe(n.Name, n.Observed)
	}
	return noReply{}, nil
}
