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

// serviceLatency is the latency of whole answers of one service.
type serviceLatency struct {
	mu      sync.Mutex
	tracker latency.Tracker
}

func (l *serviceLatency) observe(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracker.Observe(took)
}

// hedgeDelay returns when to send a second attempt; objective is the time left until the
// call's objective, 0 if it has none.
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

// race sends an attempt and, if the call may be hedged and the answer is late,
// a second one to another target. It returns the first attempt that has an
// answer, or the last to fail; the other one is canceled.
func (d *Dispatcher) race(ctx context.Context, c *Call, s send, h *history) *attempt {
	delay, ok := d.hedgeDelay(ctx, c, s, h)
	if !ok {
		a := d.attempt(ctx, c, s)
		h.add(a)
		return a
	}
	return d.hedged(ctx, c, s, h, delay)
}

// hedgeDelay returns when to send a second attempt. Only a call that may be
// repeated, whose body is in memory and that was not tried before is hedged.
func (d *Dispatcher) hedgeDelay(ctx context.Context, c *Call, s send, h *history) (time.Duration, bool) {
	if !d.mayHedge(c, s) || c.Repeat != Idempotent || h.attempts > 0 || c.Attempts < 2 {
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
		objective = max(time.Nanosecond, time.Until(c.Arrived.Add(c.Objective-c.Waited)))
	}
	return d.latency(c.Key).hedgeDelay(objective, left)
}

// mayHedge reports whether second attempts are wanted: where the workspace declares a
// share of them, or the target was chosen blindly.
//
// Targets that tell their load are asked at the choice, and a call that takes long there
// mostly has more work: second attempts for these, too, take slots from others, which are
// missed most after a restart of all hosts.
func (d *Dispatcher) mayHedge(c *Call, s send) bool {
	if d.retries == nil {
		return c.Workspace.HedgeRatio > 0
	}
	g, ok := s.grant.(pick.Explained)
	return ok && g.Basis().Silent
}

// hedged sends the first attempt from this goroutine, so that a call whose answer
// is in time pays for a timer alone, and a second one from the timer's.
func (d *Dispatcher) hedged(ctx context.Context, c *Call, s send, h *history, delay time.Duration) *attempt {
	ctx1, cancel1 := context.WithCancel(ctx)
	r := &hedgeRace{d: d, ctx: ctx, call: c, first: s.grant, cancelFirst: cancel1, done: make(chan *attempt, 1)}
	timer := time.AfterFunc(delay, r.second)
	a := d.attempt(ctx1, c, s)
	a.addCancel(cancel1)
	h.add(a)
	if timer.Stop() {
		return a
	}
	return r.settle(h, a)
}

// hedgeSend returns the right to a second attempt, or nil if the budget or the
// targets have no room, or the request is suspected of crashing targets.
func (d *Dispatcher) hedgeSend(ctx context.Context, c *Call, g pick.Grant) *send {
	watch, decision := d.admitAttempt(ctx, c)
	if decision.Refuse || decision.Alone {
		return d.noHedge(watch, "hedge-suspected")
	}
	if !c.allowed() {
		return d.noHedge(watch, "hedge-key")
	}
	g2, _ := d.picker.Pick(ctx, pick.Request{
		Service: c.Key,
		Avoid:   []ports.HostID{g.Target().ID},
		Hedge:   true,
		Bytes:   c.bytes(),
		Regions: c.Regions,
		Digest:  c.Suspicion,
	})
	if g2 == nil {
		return d.noHedge(watch, "hedge-no-slot")
	}
	if !d.payHedge(c) {
		g2.Release(pick.Report{Class: pick.Canceled, Load: -1})
		return d.noHedge(watch, "hedge-budget")
	}
	return &send{grant: g2, watch: watch}
}

// noHedge notes why a second attempt is not made.
func (d *Dispatcher) noHedge(watch *quarantine.Attempt, why string) *send {
	watch.Close()
	d.metrics.RetriesRefused.Add(why, 1)
	return nil
}

// payHedge pays for a second attempt while the first is in flight.
func (d *Dispatcher) payHedge(c *Call) bool {
	if d.retries != nil {
		return d.retries.TakeSecond(c.Key, time.Now())
	}
	return d.workspace(c.Workspace).takeHedge(time.Now())
}

// addCancel has another context canceled when the attempt ends.
func (a *attempt) addCancel(f context.CancelFunc) {
	old := a.cancel
	a.cancel = func() {
		old()
		f()
	}
}

// throwAway ends an attempt whose answer nobody wants.
func (a *attempt) throwAway() {
	if !a.answered() {
		a.cancel()
		return
	}
	_ = a.resp.Body.Close()
	a.end(pick.Canceled)
}
