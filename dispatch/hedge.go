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

func (l *serviceLatency) hedgeDelay(left time.Duration) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return retry.HedgeDelay(l.tracker.High(), l.tracker.Median(), left)
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
	delay, ok := d.hedgeDelay(ctx, c, h)
	if !ok {
		a := d.attempt(ctx, c, s)
		h.add(a)
		return a
	}
	return d.hedged(ctx, c, s, h, delay)
}

// hedgeDelay returns when to send a second attempt. Only a call that may be
// repeated, whose body is in memory and that was not tried before is hedged.
func (d *Dispatcher) hedgeDelay(ctx context.Context, c *Call, h *history) (time.Duration, bool) {
	if c.Workspace.HedgeRatio == 0 || c.Repeat != Idempotent || h.attempts > 0 || c.Attempts < 2 {
		return 0, false
	}
	if _, ok := c.Body.Bytes(); !ok {
		return 0, false
	}
	var left time.Duration
	if at, ok := ctx.Deadline(); ok {
		left = time.Until(at)
	}
	return d.latency(c.Key).hedgeDelay(left)
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
	ws := d.workspace(c.Workspace)
	if !ws.takeHedge(time.Now()) {
		d.metrics.RetriesRefused.Add("hedge-budget", 1)
		return nil
	}
	watch, decision := d.admitAttempt(ctx, c)
	if decision.Refuse || decision.Alone {
		watch.Close()
		return d.noHedge(ws, "hedge-suspected")
	}
	g2, _ := d.picker.Pick(ctx, pick.Request{
		Service: c.Key,
		Avoid:   []ports.HostID{g.Target().ID},
		Hedge:   true,
		Digest:  c.Suspicion,
	})
	if g2 == nil {
		watch.Close()
		return d.noHedge(ws, "hedge-no-slot")
	}
	return &send{grant: g2, watch: watch}
}

// noHedge gives back a hedge that was paid for.
func (d *Dispatcher) noHedge(ws *workspace, why string) *send {
	ws.returnHedge()
	d.metrics.RetriesRefused.Add(why, 1)
	return nil
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
	a.endWith(a.resp, pick.Canceled)
}
