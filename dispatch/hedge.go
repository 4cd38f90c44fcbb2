package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/platform"
	"github.com/cactusproxy/cactusproxy/policy/latency"
	"github.com/cactusproxy/cactusproxy/policy/retry"
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
func (d *Dispatcher) race(ctx context.Context, c *Call, g pick.Grant, h *history) *attempt {
	delay, ok := d.hedgeDelay(ctx, c, h)
	if !ok {
		a := d.send(ctx, c, g, h.claim)
		h.add(a)
		return a
	}
	return d.hedged(ctx, c, g, h, delay)
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

func (d *Dispatcher) hedged(ctx context.Context, c *Call, g pick.Grant, h *history, delay time.Duration) *attempt {
	done := make(chan *attempt, 2)
	// Each attempt has a context of its own, so that the loser can be canceled
	// without touching the winner's answer.
	ctx1, cancel1 := context.WithCancel(ctx)
	go func() { done <- d.send(ctx1, c, g, nil) }()

	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case a := <-done:
		h.add(a)
		a.addCancel(cancel1)
		return a
	case <-timer.C:
	}
	g2 := d.hedgeGrant(ctx, c, g)
	if g2 == nil {
		a := <-done
		h.add(a)
		a.addCancel(cancel1)
		return a
	}
	ctx2, cancel2 := context.WithCancel(ctx)
	go func() { done <- d.send(ctx2, c, g2, nil) }()
	d.metrics.Retries.Add("hedge", 1)
	return firstAnswer(h, done, map[pick.Grant]context.CancelFunc{g: cancel1, g2: cancel2})
}

// hedgeGrant returns the grant for a second attempt, or nil if the budget or
// the targets have no room.
func (d *Dispatcher) hedgeGrant(ctx context.Context, c *Call, g pick.Grant) pick.Grant {
	ws := d.workspace(c.Workspace)
	if !ws.takeHedge(time.Now()) {
		d.metrics.RetriesRefused.Add("hedge-budget", 1)
		return nil
	}
	g2, _ := d.picker.Pick(ctx, pick.Request{
		Service: c.Key,
		Avoid:   []platform.HostID{g.Target().ID},
		Hedge:   true,
		Digest:  c.Suspicion,
	})
	if g2 == nil {
		ws.returnHedge()
		d.metrics.RetriesRefused.Add("hedge-no-slot", 1)
	}
	return g2
}

// firstAnswer waits for the two attempts and returns the better one.
func firstAnswer(h *history, done <-chan *attempt, cancels map[pick.Grant]context.CancelFunc) *attempt {
	first := <-done
	h.add(first)
	first.addCancel(cancels[first.grant])
	if first.answered() && first.class == pick.OK {
		for g, cancel := range cancels {
			if g != first.grant {
				cancel()
			}
		}
		// The loser may have run; the call is idempotent, and its answer is
		// thrown away where it arrives.
		h.mayHaveRun = true
		go func() { (<-done).throwAway() }()
		return first
	}
	second := <-done
	h.add(second)
	second.addCancel(cancels[second.grant])
	if second.answered() || !first.answered() {
		first.throwAway()
		return second
	}
	second.throwAway()
	return first
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
