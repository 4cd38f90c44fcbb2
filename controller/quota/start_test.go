package quota

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/policy/quota"
	"github.com/cactusproxy/cactusproxy/routing"
)

// setComplete sets whether hosts know all others.
func (fl *fleet) setComplete(complete bool, hosts ...*host) {
	for _, h := range hosts {
		members := *h.board.Members.Load()
		members.Complete = complete
		h.board.Members.Store(&members)
	}
}

// ranked returns the hosts that can own a zone's part, in order of rank.
func (fl *fleet) ranked(name, zone string) (list []*host) {
	for _, id := range fl.hosts[0].c.owners(name, zone) {
		for _, h := range fl.hosts {
			if h.id == id {
				list = append(list, h)
			}
		}
	}
	return list
}

// take sends a request with a deadline through a host and returns the result and how long
// it took.
func take(h *host, deadline time.Duration) (outcome.Result, time.Duration) {
	return takeOf(small.Name, h, deadline)
}

// takeOf is take for a tenant.
func takeOf(tenant string, h *host, deadline time.Duration) (outcome.Result, time.Duration) {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r := h.c.Take(ctx, quota.Request{Name: tenant, Remaining: deadline})
	return r, time.Since(begin)
}

// Guards against refusals while the first owner starts: the reply in which it said that it
// can't decide was taken as proof that it can, and all others referred to it.
func TestStartingOwnerIsSucceededAtOnce(t *testing.T) {
	for rank := range 3 {
		withFleet(t, 9, []routing.Tenant{small}, func(fl *fleet) {
			owners := fl.ranked(small.Name, "a")
			fl.setComplete(false, owners[0])
			r, took := take(owners[rank], 2*time.Second)
			assert.Check(t, r.Outcome == 0, "rank %d: %s %s", rank, r.Reason, r.Detail)
			assert.Check(t, took < 2*retryDelay, "rank %d: %s", rank, took)
		})
	}
}

// Guards against refusals of requests within their quota while all hosts start, although
// these could decide long before the deadline.
func TestRequestsWaitForHostsThatAreStarting(t *testing.T) {
	withFleet(t, 9, []routing.Tenant{small}, func(fl *fleet) {
		fl.setComplete(false, fl.hosts...)
		time.AfterFunc(600*time.Millisecond, func() { fl.setComplete(true, fl.hosts...) })
		r, took := take(fl.hosts[0], 2*time.Second)
		assert.Check(t, r.Outcome == 0, "%s %s", r.Reason, r.Detail)
		assert.Check(t, took < 800*time.Millisecond, "%s", took)
	})
}

// Guards against waits that leave a caller no time to go elsewhere, and against a
// Retry-After before which no host will have asked the owners again.
func TestWaitForStartingHostsIsBounded(t *testing.T) {
	withFleet(t, 9, []routing.Tenant{small}, func(fl *fleet) {
		fl.setComplete(false, fl.hosts...)
		for _, deadline := range []time.Duration{300 * time.Millisecond, time.Second, time.Minute} {
			r, took := take(fl.hosts[0], deadline)
			assert.Check(t, r.Reason == outcome.ReasonQuotaUnknown)
			assert.Check(t, r.RetryAfter >= declinedBackoff)
			assert.Check(t, took <= min(deadline/2, maxStartWait)+3*retryDelay, "deadline %s: took %s", deadline, took)
		}
		assert.Check(t, fl.hosts[0].c.count.unknown.Value() == 3)
	})
}

// Guards against waiting at a host that is cut off: others can serve the caller.
func TestRequestsDoNotWaitAtHostsThatAreCutOff(t *testing.T) {
	withFleet(t, 9, []routing.Tenant{small}, func(fl *fleet) {
		fl.cutOff(fl.hosts[0])
		time.Sleep(5 * time.Second)
		r, took := take(fl.hosts[0], 2*time.Second)
		assert.Check(t, r.Reason == outcome.ReasonQuotaUnknown)
		assert.Check(t, took < 300*time.Millisecond, "%s", took)
	})
}
