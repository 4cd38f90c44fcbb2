package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/quarantine"
	"github.com/cactusproxy/cactusproxy/targetapi"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// Deps is what a Dispatcher works with.
type Deps struct {
	Board    *blackboard.Board
	Picker   pick.Picker
	Upstream upstream.RoundTripper
	Ledger   Ledger
	// Quarantine may be nil.
	Quarantine Quarantine
	Metrics    *metrics.Set
	// Contract names the headers; nil stands for targetapi.Default.
	Contract *targetapi.Contract
	// Heard, if set, is told what targets say of themselves in their answers.
	Heard pick.Listener
	// Retries pays for further attempts; nil stands for the ratio that each
	// workspace declares.
	Retries RetryBudget
	// HoldAnswers, if not 0, has small answers read whole before they are passed on, as
	// many as fit into this memory in bytes.
	HoldAnswers int64
}

// RetryBudget pays for further attempts of a service's calls. Implementations are
// safe for concurrent use.
type RetryBudget interface {
	// Call notes a call.
	Call(service blackboard.ServiceKey, now time.Time)
	// Take pays for one further attempt and reports whether the budget had it.
	Take(service blackboard.ServiceKey, now time.Time) bool
	// TakeSecond pays for a second attempt while the first is in flight, and reports
	// whether the part of the budget for these had it.
	TakeSecond(service blackboard.ServiceKey, now time.Time) bool
}

// Quarantine keeps requests that crash targets from more of them;
// quarantine.Quarantine is one.
type Quarantine interface {
	Admit(ctx context.Context, digest uint64) (*quarantine.Attempt, quarantine.Decision)
}

// Dispatcher carries out calls. It is safe for concurrent use.
type Dispatcher struct {
	board    *blackboard.Board
	picker   pick.Picker
	upstream upstream.RoundTripper
	ledger   Ledger
	suspects Quarantine
	metrics  *metrics.Set
	contract *targetapi.Contract
	heard    pick.Listener
	retries  RetryBudget

	held *heldAnswers

	workspaces sync.Map // name -> *workspace
	latencies  sync.Map // blackboard.ServiceKey -> *serviceLatency
}

// New returns a dispatcher.
func New(deps Deps) *Dispatcher {
	if deps.Contract == nil {
		deps.Contract = targetapi.Default()
	}
	return &Dispatcher{
		contract: deps.Contract,
		heard:    deps.Heard,
		retries:  deps.Retries,

		held: newHeldAnswers(deps.HoldAnswers),

		board:    deps.Board,
		picker:   deps.Picker,
		upstream: deps.Upstream,
		ledger:   deps.Ledger,
		suspects: deps.Quarantine,
		metrics:  deps.Metrics,
	}
}

// Admit counts a call against its workspace's limit of calls in flight on this
// host. Release must be called once the caller has its whole answer; it is nil
// if the call is refused.
func (d *Dispatcher) Admit(c *Call) (release func(), refusal outcome.Result) {
	ws := d.workspace(c.Workspace)
	limit := int64(c.Workspace.MaxInFlight)
	if n := ws.inFlight.Add(1); limit > 0 && n > limit {
		ws.inFlight.Add(-1)
		return nil, outcome.Refuse(outcome.ReasonWorkspaceLimit)
	}
	ws.begin(c.Workspace)
	if d.retries != nil {
		d.retries.Call(c.Key, time.Now())
	}
	return func() { ws.inFlight.Add(-1) }, outcome.Result{}
}

// Do carries out a call that was admitted. ctx carries the caller's deadline
// and ends when the caller is gone.
func (d *Dispatcher) Do(ctx context.Context, c *Call) *Reply {
	if !c.AtMostOnce {
		return d.run(ctx, c, &history{once: c.Repeat == Once})
	}
	if c.IdempotencyKey != "" {
		return d.doKeyed(ctx, c)
	}
	h := &history{once: true}
	if c.Service.RequireKey {
		return h.settle(outcome.ReasonKeyRequired, 0)
	}
	return d.run(ctx, c, h)
}

// run makes attempts until one is answered or there may be no other.
func (d *Dispatcher) run(ctx context.Context, c *Call, h *history) *Reply {
	for {
		watch, decision := d.admitAttempt(ctx, c)
		if decision.Refuse {
			return h.settle(quarantineReason(decision), decision.RetryAfter)
		}
		g, refusal := d.picker.Pick(ctx, pick.Request{
			Service: c.Key,
			Avoid:   h.tried,
			Alone:   decision.Alone,
			Digest:  c.Suspicion,

			Arrived:   c.Arrived.Add(-c.Waited),
			Objective: c.Objective,
			Priority:  c.Priority,
			Bytes:     c.bytes(),
			Regions:   c.Regions,
		})
		if g == nil {
			watch.Close()
			r := h.settle(refusal.Reason, refusal.RetryAfter)
			r.Result.Detail = refusal.Detail
			return r
		}
		if !c.allowed() {
			watch.Close()
			g.Release(pick.Report{Class: pick.Canceled, Load: -1})
			return h.settle(outcome.ReasonUnknownKey, 0)
		}
		a := d.race(ctx, c, send{grant: g, watch: watch, claim: h.claim}, h)
		if r := d.accept(ctx, c, h, a); r != nil {
			return r
		}
	}
}

// quarantineReason tells a request that crashes targets from one that waited in
// vain for its turn to be tried alone.
func quarantineReason(d quarantine.Decision) outcome.Reason {
	if d.Waited {
		return outcome.ReasonQueueTimeout
	}
	return outcome.ReasonQuarantined
}

// admitAttempt asks the quarantine about one attempt.
func (d *Dispatcher) admitAttempt(ctx context.Context, c *Call) (*quarantine.Attempt, quarantine.Decision) {
	if d.suspects == nil {
		return nil, quarantine.Decision{}
	}
	return d.suspects.Admit(ctx, c.Suspicion)
}

// accept returns the reply that an attempt leads to, or nil if there is to be
// another attempt.
func (d *Dispatcher) accept(ctx context.Context, c *Call, h *history, a *attempt) *Reply {
	if a.good() && c.Sizes != nil {
		c.Sizes.Learn(a.resp.ContentLength)
	}
	if a.good() || a.answered() && !a.keepable() {
		return h.reply(a.stream())
	}
	again := d.mayRetry(ctx, c, h, a)
	if a.answered() {
		if !again {
			return h.reply(a.stream())
		}
		h.failure = a.keep()
		return nil
	}
	if !again {
		return h.settle(a.reason, 0) // the target's rest is asked of this host alone
	}
	return nil
}

// connShare returns this host's part of the connections that a target takes
// from all hosts. It counts every host that may still hold connections, so
// that the parts never add up to more than the whole while hosts come and go.
func (d *Dispatcher) connShare(c *Call) int {
	if c.Service.MaxConns == 0 {
		return 0
	}
	hosts := max(1, len(d.board.Members.Load().Members))
	return max(1, c.Service.MaxConns/hosts)
}

// observe learns the latency of a whole answer.
func (d *Dispatcher) observe(key blackboard.ServiceKey, took time.Duration) {
	d.latency(key).observe(took)
}
