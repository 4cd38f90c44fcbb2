package quota

import (
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/policy/quota"
)

const (
	// startFor is how long after its start a host counts as one that has just started: what
	// was used before is forgotten then by all owners of the zone, or by this one.
	startFor = 2 * time.Second
	// followFor is how long a host that owns a part in place of another is not asked until
	// it counts as one that comes to own it anew.
	followFor = time.Second
)

// part is a zone's part of a quota, in the hands of this host.
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

// decide takes a token for a request, or tells when there is one, and counts it.
func (p *part) decide(now time.Time, late bool) takeReply {
	if !p.Take(now, late) {
		p.denied++
		return takeReply{Verdict: denied, Wait: p.Wait(now)}
	}
	p.granted++
	return takeReply{Verdict: granted}
}

// partOf returns the part of a quota that this host owns. The lock is held.
//
// Two hosts that follow each other must not both spend what the part gains: one that comes to
// own it has no tokens and gains none before the other can have noticed. Until then it serves
// what other zones lend.
func (c *Controller) partOf(now time.Time, name string, l quota.Limit, place int) *part {
	p := c.parts[name]
	if p == nil {
		p = c.newPart(now, l, place)
		c.parts[name] = p
		c.tellOwned(name, place, p.Tokens(now))
	}
	p.SetLimit(now, l)
	idle := now.Sub(p.usedAt)
	p.usedAt = now
	if place != p.place || place > 0 && idle > followFor && !p.Small() {
		p.place = place
		p.Follow(now.Add(c.handOver))
		c.tellOwned(name, place, p.Tokens(now))
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
		since = since.Add(c.handOver)
	}
	p := &part{
		Part:   quota.NewPart(since, l, c.deps.Tolerance, 1+len(c.deps.OtherZones)),
		place:  place,
		usedAt: now,

		arrivals: make(map[string]*quota.Arrivals),
	}
	if fresh {
		p.Start()
	} else {
		p.Follow(since)
	}
	return p
}

// emptyAll takes the tokens of all parts away: others may have owned them meanwhile.
func (c *Controller) emptyAll(now time.Time, why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.parts {
		p.Empty(now.Add(c.handOver))
	}
	if len(c.parts) > 0 {
		c.deps.Log.Info("quotas begun anew", zap.String("why", why), zap.Int("parts", len(c.parts)))
	}
}

// tellOwned logs that this host owns a part.
func (c *Controller) tellOwned(name string, place int, tokens float64) {
	c.deps.Log.Info("quota owned", zap.String(c.deps.Subject, name), zap.String("zone", c.deps.Zone),
		zap.Int("place", place), zap.Float64("tokens", tokens))
}

// report logs what this host decided where more was asked for than there was. The lock is held.
func (c *Controller) report(name string, p *part) {
	if p.denied > 0 {
		l, _ := c.deps.Limits.Limit(name)
		c.deps.Log.Info("quota used up", zap.String(c.deps.Subject, name), zap.String("zone", c.deps.Zone),
			zap.Float64("rate", l.Rate), zap.Float64("burst", l.Burst), zap.Int("granted", p.granted),
			zap.Int("denied", p.denied), zap.Float64("borrowed", p.borrowed), zap.Float64("lent", p.lent))
	}
	p.granted, p.denied, p.borrowed, p.lent = 0, 0, 0, 0
}
