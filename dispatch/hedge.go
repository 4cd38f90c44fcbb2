package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/policy/latency"
	"github.com/cactusproxy/cactusproxy/policy/retry"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/quarantine"
)

// serviceLatency tracks the latency of complete responses of one service.
type serviceLatency struct {
	mu      sync.Mutex
	tracker latency.Tracker
}

func (l *serviceLatency) observe(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracker.Observe(took)
}

// hedgeDelay returns the delay before a hedge is sent, and false if none is to be sent.
// objective is the time left until the call's objective (0 if it has none), left the time
// until its deadline.
func (l *serviceLatency) hedgeDelay(objective, left time.Duration) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if objective == 0 {
		return retry.HedgeDelay(l.tracker.P95(), l.tracker.Median(), left)
	}
	return retry.ObjectiveHedgeDelay(l.tracker.Median(), l.tracker.P95(), objective, left)
}

func (d *Dispatcher) latency(key blackboard.ServiceKey) *serviceLatency {
	if l, ok := d.latencies.Load(key); ok {
		return l.(*serviceLatency)
	}
	l, _ := d.latencies.LoadOrStore(key, new(serviceLatency))
	return l.(*serviceLatency)
}

// attemptWithHedge makes an attempt and, if the call may be hedged and the response is late, a
// second one on another target. It returns the first attempt that gets a response, or the last
// one to fail; the other one is canceled.
func (d *Dispatcher) attemptWithHedge(ctx context.Context, c *Call, p permit, h *history) *attempt {
	delay, ok := d.hedgeDelay(ctx, c, p, h)
	if !ok {
		a := d.attempt(ctx, c, p)
		h.add(a)
		return a
	}
	return d.runHedged(ctx, c, p, h, delay)
}

// hedgeDelay returns the delay before a hedge is sent. Only the first attempt of an idempotent
// call whose body is in memory is hedged.
func (d *Dispatcher) hedgeDelay(ctx context.Context, c *Call, p permit, h *history) (time.Duration, bool) {
	if !d.mayHedge(c, p) || c.Idempotency != Idempotent || h.attempts > 0 || c.MaxAttempts < 2 {
		return 0, false
	}
	if _, ok := c.Body.Bytes(); !ok {
		return 0, false
	}
	var left, objective time.Duration
	if at, ok := ctx.Deadline(); ok {
		left = time.Until(at)
	}
	if c.Objective > 0 {
		objective = max(time.Nanosecond, time.Until(c.Arrived.Add(c.Objective-c.PriorWait)))
	}
	return d.latency(c.Key).hedgeDelay(objective, left)
}

// mayHedge reports whether the call may be hedged: if the workspace declares a hedge ratio, or
// if the target was picked without knowing its load.
//
// Targets that report load are picked by it, and a call that takes long there mostly has more
// work to do. Hedging such calls would take slots from others, which are scarcest after a
// restart of all hosts.
func (d *Dispatcher) mayHedge(c *Call, p permit) bool {
	if d.retries == nil {
		return c.Workspace.HedgeRatio > 0
	}
	g, ok := p.grant.(pick.Explainer)
	return ok && g.Basis().LoadUnreported
}

// runHedged sends the first attempt, and the hedge if no response has arrived after the delay.
func (d *Dispatcher) runHedged(ctx context.Context, c *Call, p permit, h *history, delay time.Duration) *attempt {
	r := &hedgeRace{
		d: d, ctx: ctx, call: c, first: newRacer(ctx, p),
		done: make(chan *attempt, 1), hedgeWon: make(chan struct{}),
	}
	timer := time.AfterFunc(delay, r.sendHedge)
	go func() { r.first.done <- r.first.run(d, c) }()
	select {
	case a := <-r.first.done:
		h.add(a)
		if timer.Stop() {
			return a
		}
		return r.resolve(h, a)
	case <-r.hedgeWon:
		return r.discardFirst(h)
	}
}

// prepareHedge returns the permit for a hedge, or nil if the budget is used up, no target has a
// free slot, or the request is suspected of crashing targets.
func (d *Dispatcher) prepareHedge(ctx context.Context, c *Call, g pick.Grant) *permit {
	qa, decision := d.admitAttempt(ctx, c)
	if decision.Refuse || decision.Exclusive {
		return d.refuseHedge(qa, "hedge-suspected")
	}
	if !c.authorized() {
		return d.refuseHedge(qa, "hedge-key")
	}
	hedgeGrant, _ := d.picker.Pick(ctx, pick.Request{
		Service: c.Key,
		Avoid:   []ports.HostID{g.Target().ID},
		Hedge:   true,
		Bytes:   c.bytes(),
		Regions: c.Regions,
		Digest:  c.Identity.Request,
	})
	if hedgeGrant == nil {
		return d.refuseHedge(qa, "hedge-no-slot")
	}
	if !d.takeHedgeBudget(c) {
		hedgeGrant.Release(pick.Report{Class: pick.Canceled, Load: -1})
		return d.refuseHedge(qa, "hedge-budget")
	}
	return &permit{grant: hedgeGrant, quarantineAttempt: qa}
}

// refuseHedge counts why a hedge isn't sent and returns nil.
func (d *Dispatcher) refuseHedge(qa *quarantine.Attempt, reason string) *permit {
	qa.Close()
	d.metrics.RetriesRefused.Add(reason, 1)
	return nil
}

// takeHedgeBudget deducts a hedge from the budget and reports whether there was room for it.
func (d *Dispatcher) takeHedgeBudget(c *Call) bool {
	if d.retries != nil {
		return d.retries.TakeHedge(c.Key, time.Now())
	}
	return d.workspace(c.Workspace).takeHedge(time.Now())
}

// addCancel also calls f when the attempt ends.
func (a *attempt) addCancel(f context.CancelFunc) {
	old := a.cancel
	a.cancel = func() {
		old()
		f()
	}
}

// abandon ends an attempt whose response is no longer needed.
func (a *attempt) abandon() {
	if !a.hasResponse() {
		a.cancel()
		return
	}
	_ = a.resp.Body.Close()
	a.end(pick.Canceled)
}
