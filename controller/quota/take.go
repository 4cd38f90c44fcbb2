package quota

import (
	"context"
	"time"

	"github.com/cactusproxy/cactusproxy/internal/ctxtime"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/quota"
	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// takeTimeout bounds a question to an owner, a round trip within a zone, or longer while
	// that finds out who is down.
	takeTimeout = 200 * time.Millisecond
	// askAgain is how long a host waits until it asks again whom it could ask before.
	askAgain = 50 * time.Millisecond
	// returnedFor is how long the grant of a request that did not run can be used by
	// another: it counts in the window in which it was granted.
	returnedFor = 250 * time.Millisecond
	// maxQuestions bounds the owners that are asked about one request.
	maxQuestions = 6
)

// caller is what this host knows of a quota as one that asks.
type caller struct {
	usedAt time.Time
	// fullUntil is when there is room again, by the owner's word.
	fullUntil time.Time
	// returned are when grants were given back that are still unused, oldest first.
	returned []time.Time
}

// callerOf returns what is known of a quota. The lock is held.
func (c *Controller) callerOf(name string, now time.Time) *caller {
	a := c.callers[name]
	if a == nil {
		a = new(caller)
		c.callers[name] = a
	}
	a.usedAt = now
	return a
}

// reuse takes a grant that was given back, if there is one.
func (a *caller) reuse(now time.Time) bool {
	for len(a.returned) > 0 {
		at := a.returned[0]
		a.returned = a.returned[1:]
		if now.Sub(at) < returnedFor {
			return true
		}
	}
	a.returned = nil
	return false
}

// Refused returns what a request of a tenant is told if it is known already that there is no
// room, else the zero Result.
func (c *Controller) Refused(name string) outcome.Result {
	wait := c.fullFor(name)
	if wait == 0 {
		return outcome.Result{}
	}
	c.count.denied.Add(1)
	return c.refusal(name, wait)
}

// Take counts a request against its tenant's quota. The zero Result means that it is within.
func (c *Controller) Take(ctx context.Context, req quota.Request) outcome.Result {
	if l, known := c.deps.Limits.Limit(req.Name); !known || l.Rate == 0 {
		return outcome.Result{}
	}
	switch a := c.Ask(ctx, req); {
	case a.Granted:
		return outcome.Result{}
	case a.Known:
		return c.refusal(req.Name, a.Wait)
	default:
		r := outcome.Refuse(outcome.ReasonQuotaUnknown)
		r.Detail = c.deps.Subject + "=" + req.Name
		return r
	}
}

// Answer is what is said of a request.
type Answer struct {
	// Granted is set if the request is within the quota.
	Granted bool
	// Known is false if no host could tell. Else Wait is how long it takes until there is room.
	Known bool
	Wait  time.Duration
}

// Ask counts a request against a quota, of which this host may know nothing.
func (c *Controller) Ask(ctx context.Context, req quota.Request) Answer {
	name := req.Name
	if wait := c.fullFor(name); wait > 0 {
		c.count.denied.Add(1)
		return Answer{Known: true, Wait: wait}
	}
	now := time.Now()
	c.mu.Lock()
	reused := c.callerOf(name, now).reuse(now)
	c.mu.Unlock()
	if reused {
		c.count.granted.Add(1)
		return Answer{Granted: true}
	}
	reply := c.askOwners(ctx, req)
	if reply.Word.Known {
		c.deps.Limits.Hear(name, reply.Word)
	}
	switch reply.Verdict {
	case granted:
		c.count.granted.Add(1)
		return Answer{Granted: true}
	case denied:
		c.count.denied.Add(1)
		c.mu.Lock()
		defer c.mu.Unlock()
		a := c.callerOf(name, time.Now())
		a.fullUntil = time.Now().Add(reply.Wait)
		return Answer{Known: true, Wait: reply.Wait}
	default:
		c.count.unknown.Add(1)
		return Answer{}
	}
}

// fullFor returns for how long there is no room by the owner's word.
func (c *Controller) fullFor(name string) time.Duration {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.callers[name]
	if a == nil || !now.Before(a.fullUntil) || len(a.returned) > 0 {
		return 0
	}
	return a.fullUntil.Sub(now)
}

// refusal returns what a request beyond the quota is told.
func (c *Controller) refusal(name string, wait time.Duration) outcome.Result {
	r := outcome.Refuse(outcome.ReasonOverQuota)
	r.RetryAfter = wait
	r.Detail = c.deps.Subject + "=" + name
	return r
}

// Return gives back what a request took that did not run.
func (c *Controller) Return(name string) {
	if l, known := c.deps.Limits.Limit(name); !known || l.Rate == 0 {
		return
	}
	c.count.returned.Add(1)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.callerOf(name, now)
	a.returned = append(a.returned, now)
}

// askOwners asks the owner of the zone's part, and if it can not be reached those after it. It
// does so once more a moment later: right after an owner went down, the next one may still take
// it for alive.
func (c *Controller) askOwners(ctx context.Context, req takeRequest) takeReply {
	reply := c.askOnce(ctx, req)
	if reply.Verdict != elsewhere || !ctxtime.Sleep(ctx, askAgain) {
		return reply
	}
	return c.askOnce(ctx, req)
}

// askOnce asks one owner after the other; elsewhere means that none decided.
func (c *Controller) askOnce(ctx context.Context, req takeRequest) takeReply {
	next := c.owners(req.Name, c.zoneOf(req))
	asked := make(map[ports.HostID]bool, maxQuestions)
	for len(next) > 0 && len(asked) < maxQuestions && ctx.Err() == nil {
		id := next[0]
		next = next[1:]
		if asked[id] || id != c.self && c.avoided(id) {
			continue
		}
		asked[id] = true
		reply := c.ask(ctx, id, req)
		if reply.Verdict == granted || reply.Verdict == denied {
			return reply
		}
		if reply.Owner != "" && !asked[reply.Owner] {
			next = append([]ports.HostID{reply.Owner}, next...)
		}
	}
	return takeReply{Verdict: elsewhere}
}

// ask asks one host about one request. A host that does not answer is avoided for a moment.
func (c *Controller) ask(ctx context.Context, id ports.HostID, req takeRequest) takeReply {
	if id == c.self {
		return c.decide(ctx, req)
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	reply, err := peer.Call[takeReply](ctx, c.deps.Link, id, c.deps.Kind+kindTake, req)
	c.note(id, err == nil)
	return reply
}
