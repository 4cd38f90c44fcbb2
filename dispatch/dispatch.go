package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/internal/ctxtime"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/policy/suspicion"
	"github.com/cactusproxy/cactusproxy/quarantine"
	"github.com/cactusproxy/cactusproxy/targetapi"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// Deps holds the dependencies and settings of a Dispatcher.
type Deps struct {
	Board    *blackboard.Board
	Picker   pick.Picker
	Upstream upstream.RoundTripper
	Ledger   Ledger
	// Quarantine may be nil, in which case no request is quarantined.
	Quarantine Quarantine
	Metrics    *metrics.Set
	// Contract names the headers exchanged with targets; nil means targetapi.Default.
	Contract *targetapi.Contract
	// OnSignals, if set, receives the signals that targets report in their responses.
	OnSignals pick.SignalHandler
	// OnBroken, if set, is called after a target's connection broke under a request and the
	// quarantine knows of it. It must not block.
	OnBroken func(blackboard.ServiceKey, blackboard.Target)
	// Retries is the budget for retries and hedges; nil means the ratios that each
	// workspace declares.
	Retries RetryBudget
	// ResponseBufferBytes is the memory for buffering small responses before they are
	// forwarded. 0 disables buffering.
	ResponseBufferBytes int64
}

// RetryBudget limits retries and hedges per service. Implementations must be safe for
// concurrent use.
type RetryBudget interface {
	// Call records a call, which adds to the budget.
	Call(service blackboard.ServiceKey, now time.Time)
	// Take reports whether the budget allows one retry, and deducts it if so.
	Take(service blackboard.ServiceKey, now time.Time) bool
	// TakeHedge is like Take for a hedge. Hedges may use only a part of the budget.
	TakeHedge(service blackboard.ServiceKey, now time.Time) bool
}

// Quarantine limits attempts of requests that are suspected of crashing targets. It is
// implemented by quarantine.Quarantine.
type Quarantine interface {
	Admit(ctx context.Context, id suspicion.ID) (*quarantine.Attempt, quarantine.Decision)
}

// Dispatcher executes calls against targets. It is safe for concurrent use.
type Dispatcher struct {
	board      *blackboard.Board
	picker     pick.Picker
	upstream   upstream.RoundTripper
	ledger     Ledger
	quarantine Quarantine
	metrics    *metrics.Set
	contract   *targetapi.Contract
	onSignals  pick.SignalHandler
	onBroken   func(blackboard.ServiceKey, blackboard.Target)
	retries    RetryBudget

	buffers *responseBuffers

	workspaces sync.Map // workspace name -> *workspaceState
	latencies  sync.Map // blackboard.ServiceKey -> *serviceLatency
}

// New returns a Dispatcher. A nil Contract is replaced by targetapi.Default.
func New(deps Deps) *Dispatcher {
	if deps.Contract == nil {
		deps.Contract = targetapi.Default()
	}
	return &Dispatcher{
		contract:  deps.Contract,
		onSignals: deps.OnSignals,
		onBroken:  deps.OnBroken,
		retries:   deps.Retries,

		buffers: newResponseBuffers(deps.ResponseBufferBytes),

		board:      deps.Board,
		picker:     deps.Picker,
		upstream:   deps.Upstream,
		ledger:     deps.Ledger,
		quarantine: deps.Quarantine,
		metrics:    deps.Metrics,
	}
}

// Admit counts a call against its workspace's limit of concurrent calls on this host. If the
// call is refused, release is nil and refusal gives the reason. Otherwise release must be
// called once the caller has received the complete response.
func (d *Dispatcher) Admit(c *Call) (release func(), refusal outcome.Result) {
	ws := d.workspace(c.Workspace)
	limit := int64(c.Workspace.MaxInFlight)
	if n := ws.inFlight.Add(1); limit > 0 && n > limit {
		ws.inFlight.Add(-1)
		return nil, outcome.Refuse(outcome.ReasonWorkspaceLimit)
	}
	ws.recordCall(c.Workspace)
	if d.retries != nil {
		d.retries.Call(c.Key, time.Now())
	}
	return func() { ws.inFlight.Add(-1) }, outcome.Result{}
}

// Do executes an admitted call and returns the reply for its caller. ctx carries the caller's
// deadline and must be canceled when the caller disconnects.
func (d *Dispatcher) Do(ctx context.Context, c *Call) *Reply {
	if !c.AtMostOnce {
		return d.run(ctx, c, &history{atMostOnce: c.Idempotency == NonIdempotent})
	}
	if c.IdempotencyKey != "" {
		return d.doKeyed(ctx, c)
	}
	h := &history{atMostOnce: true}
	if c.Service.RequireKey {
		return h.fallbackReply(outcome.ReasonKeyRequired, 0)
	}
	return d.run(ctx, c, h)
}

const (
	// idleWait is the time between two attempts of a suspected request to find an idle target, since it
	// has to run alone.
	idleWait = 20 * time.Millisecond
	// maxIdleWaits is the number of such waits, 200 ms in all. The targets may be running the same
	// request for other callers, admitted before the first loss, and it may be cleared when these end.
	maxIdleWaits = 10
)

// run makes attempts until one succeeds or no further attempt is allowed.
func (d *Dispatcher) run(ctx context.Context, c *Call, h *history) *Reply {
	idleWaits := 0
	for {
		qa, decision := d.admitAttempt(ctx, c)
		if decision.Refuse {
			r := h.fallbackReply(quarantineReason(decision), decision.RetryAfter)
			r.Result.Detail = "digest=" + quarantine.FormatDigest(decision.Digest)
			return r
		}
		g, refusal := d.picker.Pick(ctx, pick.Request{
			Service:   c.Key,
			Avoid:     h.tried,
			Exclusive: decision.Exclusive,
			Digest:    c.Identity.Request,

			Arrived:   c.Arrived.Add(-c.PriorWait),
			Objective: c.Objective,
			Priority:  c.Priority,
			Tenant:    c.Tenant,
			Bytes:     c.bytes(),
			Regions:   c.Regions,
		})
		if g == nil && refusal.TargetsBusy && idleWaits < maxIdleWaits {
			idleWaits++
			qa.Close()
			ctxtime.Sleep(ctx, idleWait)
			continue
		}
		if g == nil {
			qa.Close()
			r := h.fallbackReply(refusal.Reason, refusal.RetryAfter)
			r.Result.Detail, r.Result.Admission = refusal.Detail, refusal.Admission
			return r
		}
		if !c.authorized() {
			qa.Close()
			g.Release(pick.Report{Class: pick.Canceled, Load: -1})
			return h.fallbackReply(outcome.ReasonUnknownKey, 0)
		}
		a := d.attemptWithHedge(ctx, c, permit{grant: g, quarantineAttempt: qa, claim: h.claim}, h)
		if r := d.replyOrRetry(ctx, c, h, a); r != nil {
			return r
		}
	}
}

// quarantineReason returns the reason for a refusal by the quarantine: the request timed out
// waiting for its turn to run alone, or it is suspected of crashing targets.
func quarantineReason(d quarantine.Decision) outcome.Reason {
	if d.Waited {
		return outcome.ReasonQueueTimeout
	}
	return outcome.ReasonQuarantined
}

// admitAttempt asks the quarantine whether the next attempt may be made.
func (d *Dispatcher) admitAttempt(ctx context.Context, c *Call) (*quarantine.Attempt, quarantine.Decision) {
	if d.quarantine == nil {
		return nil, quarantine.Decision{}
	}
	return d.quarantine.Admit(ctx, c.Identity)
}

// replyOrRetry returns the reply that follows from an attempt, or nil if the call is to be
// retried.
func (d *Dispatcher) replyOrRetry(ctx context.Context, c *Call, h *history, a *attempt) *Reply {
	if a.succeeded() && c.ResponseSizes != nil {
		c.ResponseSizes.Observe(a.resp.ContentLength)
	}
	if a.succeeded() || a.hasResponse() && !a.failureBufferable() {
		return h.reply(a.responseReply(c))
	}
	retryable := d.mayRetry(ctx, c, h, a)
	if a.hasResponse() {
		if !retryable {
			return h.reply(a.responseReply(c))
		}
		h.failure = a.bufferFailure()
		return nil
	}
	if !retryable {
		return h.fallbackReply(a.reason, 0) // a target's Retry-After applies to this host, not to callers
	}
	return nil
}

// connShare returns the maximum number of connections from this host to a target: an equal
// share of the target's limit, or 0 for no limit. The divisor includes every member that may
// still hold connections, so that the shares never add up to more than the limit while hosts
// join and leave.
func (d *Dispatcher) connShare(c *Call) int {
	if c.Service.MaxConns == 0 {
		return 0
	}
	hosts := max(1, len(d.board.Members.Load().Members))
	return max(1, c.Service.MaxConns/hosts)
}

// observe records the latency of a completely received response.
func (d *Dispatcher) observe(key blackboard.ServiceKey, took time.Duration) {
	d.latency(key).observe(took)
}
