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
	// takeTimeout bounds a request to an owner. It covers a round trip within a zone and
	// the probes that the owner may need to find out which hosts are down.
	takeTimeout = 200 * time.Millisecond
	// retryDelay is the wait before the owners are asked a second time if none decided.
	retryDelay = 50 * time.Millisecond
	// returnedTTL is how long the grant of a request that didn't run can be reused: it
	// counts in the window in which it was given.
	returnedTTL = 250 * time.Millisecond
	// maxOwnersAsked bounds the hosts asked about one request.
	maxOwnersAsked = 6
	// maxStartWait is the longest wait for hosts that are starting, about the time in which
	// a host learns of all others.
	maxStartWait = time.Second
	// startingRetryAfter is the Retry-After if they aren't ready by then.
	startingRetryAfter = 200 * time.Millisecond
)

// requester is what this host knows about a quota that it asks an owner about.
type requester struct {
	usedAt time.Time
	// deniedUntil is when the quota has room again, according to the owner.
	deniedUntil time.Time
	// returned are the times at which unused grants were returned, oldest first.
	returned []time.Time
}

// requesterOf returns the requester state of a quota. c.mu must be held.
func (c *Controller) requesterOf(name string, now time.Time) *requester {
	a := c.requesters[name]
	if a == nil {
		a = new(requester)
		c.requesters[name] = a
	}
	a.usedAt = now
	return a
}

// reuse takes a returned grant that hasn't expired, if there is one.
func (a *requester) reuse(now time.Time) bool {
	for len(a.returned) > 0 {
		at := a.returned[0]
		a.returned = a.returned[1:]
		if now.Sub(at) < returnedTTL {
			return true
		}
	}
	a.returned = nil
	return false
}

// Refused returns the refusal of a request if an owner's last denial still applies,
// otherwise the zero Result.
func (c *Controller) Refused(name string) outcome.Result {
	wait := c.deniedFor(name)
	if wait == 0 {
		return outcome.Result{}
	}
	c.count.denied.Add(1)
	return c.refusal(name, wait)
}

// Take counts a request against its quota. The zero Result means that the request may
// run.
func (c *Controller) Take(ctx context.Context, req quota.Request) outcome.Result {
	if l, known := c.deps.Limits.Limit(req.Name); !known || l.Rate == 0 {
		return outcome.Result{}
	}
	switch a := c.acquireWaiting(ctx, req); {
	case a.Granted:
		return outcome.Result{}
	case a.Known:
		return c.refusal(req.Name, a.Wait)
	default:
		return c.undecided(req.Name, a.asked)
	}
}

// acquireWaiting is Acquire for a request that can't run without a decision. While hosts
// that may own the part don't know all hosts yet, it keeps asking: the other hosts wait for
// the same decision, so that the caller would find no better one.
func (c *Controller) acquireWaiting(ctx context.Context, req quota.Request) Decision {
	limit := time.Now().Add(startWait(ctx))
	d := c.acquire(ctx, req)
	if d.asked.starting {
		c.count.startWaits.Add(1)
	}
	for d.asked.starting && time.Now().Before(limit) && ctxtime.Sleep(ctx, retryDelay) {
		d = c.acquire(ctx, req)
	}
	return d
}

// startWait returns how long a request waits for hosts that are starting: no longer than
// half of the time until its deadline, since it has yet to run.
func startWait(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxStartWait
	}
	return min(maxStartWait, time.Until(deadline)/2)
}

// undecided returns the refusal of a request that no host could decide on. If hosts are
// starting, all hosts refuse it, and the caller has to wait until they are asked again.
func (c *Controller) undecided(name string, asked trace) outcome.Result {
	c.count.unknown.Add(1)
	r := outcome.Refuse(outcome.ReasonQuotaUnknown)
	if asked.starting {
		r.RetryAfter = startingRetryAfter
	}
	r.Detail = c.deps.Subject + "=" + name + " asked=" + asked.String()
	return r
}

// Decision is the result of Acquire.
type Decision struct {
	// Granted is set if the request is within the quota.
	Granted bool
	// Known is false if no host could decide. If Known is set and Granted isn't, Wait is
	// the time until the quota has room.
	Known bool
	Wait  time.Duration
	// asked are the hosts that were asked in vain.
	asked trace
}

// Acquire counts a request against a quota, even if this host knows no limit under that
// name.
func (c *Controller) Acquire(ctx context.Context, req quota.Request) Decision {
	d := c.acquire(ctx, req)
	if !d.Granted && !d.Known {
		c.count.unknown.Add(1)
	}
	return d
}

// acquire is Acquire without counting undecided requests.
func (c *Controller) acquire(ctx context.Context, req quota.Request) Decision {
	name := req.Name
	if wait := c.deniedFor(name); wait > 0 {
		c.count.denied.Add(1)
		return Decision{Known: true, Wait: wait}
	}
	now := time.Now()
	c.mu.Lock()
	reused := c.requesterOf(name, now).reuse(now)
	c.mu.Unlock()
	if reused {
		c.count.granted.Add(1)
		return Decision{Granted: true}
	}
	var asked trace
	reply := c.askOwners(ctx, req, &asked)
	if reply.Observed.Known {
		c.deps.Limits.Observe(name, reply.Observed)
	}
	switch reply.Verdict {
	case granted:
		c.count.granted.Add(1)
		return Decision{Granted: true}
	case denied:
		c.count.denied.Add(1)
		c.mu.Lock()
		defer c.mu.Unlock()
		a := c.requesterOf(name, time.Now())
		a.deniedUntil = time.Now().Add(reply.Wait)
		return Decision{Known: true, Wait: reply.Wait}
	default:
		return Decision{asked: asked}
	}
}

// deniedFor returns how much longer an owner's last denial applies, or 0 if it doesn't or
// a returned grant may be reused.
func (c *Controller) deniedFor(name string) time.Duration {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.requesters[name]
	if a == nil || !now.Before(a.deniedUntil) || len(a.returned) > 0 {
		return 0
	}
	return a.deniedUntil.Sub(now)
}

// refusal returns the refusal of a request that exceeds its quota.
func (c *Controller) refusal(name string, wait time.Duration) outcome.Result {
	r := outcome.Refuse(outcome.ReasonOverQuota)
	r.RetryAfter = wait
	r.Detail = c.deps.Subject + "=" + name
	return r
}

// Return gives back the grant of a request that didn't run.
func (c *Controller) Return(name string) {
	if l, known := c.deps.Limits.Limit(name); !known || l.Rate == 0 {
		return
	}
	c.count.returned.Add(1)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.requesterOf(name, now)
	a.returned = append(a.returned, now)
}

// askOwners asks the owner of the zone's part, or its successors if it can't be reached.
// If none decides, it asks once more after retryDelay: directly after an owner has
// failed, its successor may still consider it alive.
func (c *Controller) askOwners(ctx context.Context, req takeRequest, asked *trace) takeReply {
	reply := c.askOnce(ctx, req, asked)
	if reply.Verdict != notOwner || !ctxtime.Sleep(ctx, retryDelay) {
		return reply
	}
	*asked = trace{}
	return c.askOnce(ctx, req, asked)
}

// askOnce asks the owners one after the other. The verdict notOwner means that none
// decided.
func (c *Controller) askOnce(ctx context.Context, req takeRequest, t *trace) takeReply {
	next := c.owners(req.Name, c.zoneOf(req))
	asked := make(map[ports.HostID]bool, maxOwnersAsked)
	reconsidered := make(map[ports.HostID]bool)
	for len(next) > 0 && len(asked) < maxOwnersAsked && ctx.Err() == nil {
		id := next[0]
		next = next[1:]
		if asked[id] {
			continue
		}
		if id != c.self && c.backedOff(id) {
			a, _ := c.status(id)
			t.skipped(id, a)
			continue
		}
		asked[id] = true
		begin := time.Now()
		reply := c.ask(ctx, id, req)
		if reply.Verdict == granted || reply.Verdict == denied {
			return reply
		}
		t.asked(id, reply, time.Since(begin))
		if reply.Owner != "" && !asked[reply.Owner] {
			if !reconsidered[reply.Owner] {
				reconsidered[reply.Owner] = true
				c.reconsider(reply.Owner)
			}
			next = append([]ports.HostID{reply.Owner}, next...)
		}
	}
	return takeReply{Verdict: notOwner}
}

// ask asks one host about one request. A host that doesn't reply is put into backoff.
func (c *Controller) ask(ctx context.Context, id ports.HostID, req takeRequest) takeReply {
	if id == c.self {
		return c.decide(ctx, req)
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	reply, err := peer.Call[takeReply](ctx, c.deps.Link, id, c.deps.Kind+kindTake, req)
	c.recordStatus(id, err == nil, reply.Owns)
	if err != nil {
		return takeReply{Cause: causeNoReply}
	}
	return reply
}
