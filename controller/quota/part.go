package quota

import (
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/policy/quota"
)

const (
	// startupPeriod is how long a host counts as just started. Its own record of grants
	// is lost then, and possibly those of all owners of the zone.
	startupPeriod = 2 * time.Second
)

// part is a zone's part of a quota that this host owns.
type part struct {
	*quota.Part
	// rank is the number of hosts that come before this one as owners.
	rank int
	// usedAt is when the part was last asked for tokens.
	usedAt time.Time
	// verifiedAt is when this host took the part over or last verified that no host that ranks
	// before it replies. It is zero after one of them replied.
	verifiedAt time.Time
	// repliedAt is when one of them last replied.
	repliedAt time.Time
	// nextBorrowAt is when the other zones may next be asked for tokens.
	nextBorrowAt time.Time
	// granted and denied count the requests since the last report; lent and borrowed are
	// the tokens sent to and received from other zones in that time.
	granted, denied int
	lent, borrowed  float64
	// arrivals tracks the requests of each route. The owner sees enough of a tenant's
	// requests to recognise retries, whereas each receiving host sees only a few.
	arrivals map[string]*quota.Arrivals
}

// late records a request and reports whether it is a retry that can hardly be answered in
// time.
func (p *part) late(req takeRequest) bool {
	a := p.arrivals[req.Route]
	if a == nil {
		a = new(quota.Arrivals)
		p.arrivals[req.Route] = a
	}
	return a.Late(req)
}

// decide takes a token for a request, or tells when to expect one, and counts the
// decision.
func (p *part) decide(now time.Time, late bool) takeReply {
	if !p.Take(now, late) {
		p.denied++
		return takeReply{Verdict: denied, Wait: p.RetryAfter(now)}
	}
	p.granted++
	return takeReply{Verdict: granted}
}

// partOf returns the part of a quota that this host owns, and creates it if needed. c.mu
// must be held.
//
// Two successive owners must not both spend the tokens that a part gains. A new owner
// therefore starts without tokens, or with one if the part is small, and gains none until
// the previous owner must have noticed the change. Until then it uses tokens borrowed
// from other zones.
func (c *Controller) partOf(now time.Time, name string, l quota.Limit, rank int) *part {
	p := c.parts[name]
	if p == nil {
		p = c.newPart(now, l, rank)
		c.parts[name] = p
		c.logOwned(name, rank, p.Tokens(now))
	}
	p.SetLimit(now, l)
	p.usedAt = now
	if rank != p.rank || p.lapsed(now) && !p.Small() {
		p.rank, p.verifiedAt = rank, now
		p.TakeOver(now.Add(c.handoverDelay))
		c.logOwned(name, rank, p.Tokens(now))
	}
	return p
}

// newPart returns a part that this host has come to own. If this host ranks first, it
// counts as owner since the current list of hosts was first seen.
func (c *Controller) newPart(now time.Time, l quota.Limit, rank int) *part {
	c.refreshOwners(now)
	since := c.ownerCache.since
	if rank > 0 {
		since = now
	}
	since = since.Add(c.handoverDelay)
	p := &part{
		Part:   quota.NewPart(since, l, c.deps.Tolerance, 1+len(c.deps.OtherZones)),
		rank:   rank,
		usedAt: now,

		verifiedAt: now,

		arrivals: make(map[string]*quota.Arrivals),
	}
	p.TakeOver(since)
	return p
}

// justStarted reports whether the record of all owners of a part may just have been lost.
func (c *Controller) justStarted(now time.Time) bool { return now.Sub(c.started) < startupPeriod }

// resetAll takes the tokens of all parts away, because other hosts may have owned them in
// the meantime.
func (c *Controller) resetAll(now time.Time, why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.parts {
		p.Empty(now.Add(c.handoverDelay))
	}
	if len(c.parts) > 0 {
		c.deps.Log.Info("quotas begun anew", zap.String("why", why), zap.Int("parts", len(c.parts)))
	}
}

// logOwned logs that this host has become the owner of a part.
func (c *Controller) logOwned(name string, rank int, tokens float64) {
	c.deps.Log.Info("quota owned", zap.String(c.deps.Subject, name), zap.String("zone", c.deps.Zone),
		zap.Int("place", rank), zap.Float64("tokens", tokens))
}

// logDenials logs the decisions since the last report if there were denials, and resets
// the counts. c.mu must be held.
func (c *Controller) logDenials(name string, p *part) {
	if p.denied > 0 {
		l, _ := c.deps.Limits.Limit(name)
		c.deps.Log.Info("quota used up", zap.String(c.deps.Subject, name), zap.String("zone", c.deps.Zone),
			zap.Float64("rate", l.Rate), zap.Float64("burst", l.Burst), zap.Int("granted", p.granted),
			zap.Int("denied", p.denied), zap.Float64("borrowed", p.borrowed), zap.Float64("lent", p.lent))
	}
	p.granted, p.denied, p.borrowed, p.lent = 0, 0, 0, 0
}
