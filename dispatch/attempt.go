package dispatch

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/ledger"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/quarantine"
	"github.com/cactusproxy/cactusproxy/targetapi"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// send is the right to make one attempt.
type send struct {
	grant pick.Grant
	// watch tells the quarantine what became of it; nil if nobody asks.
	watch *quarantine.Attempt
	// claim is set for calls with an idempotency key.
	claim *ledger.Claim
}

// attempt is one send of a call to one target.
type attempt struct {
	send
	cancel context.CancelFunc
	start  time.Time
	// observe learns the latency of a whole answer.
	observe func(time.Duration)

	ctx context.Context
	// held, if set, has a small answer read whole before it is passed on. The answer to a
	// HEAD has no body, and its length is that of another one.
	held *heldAnswers

	class  pick.Class
	reason outcome.Reason
	resp   *http.Response
	// status is that of the target's answer, passed on or not; 0 if there was none.
	status int
	// mayHaveRun is set unless no byte left or the target refused the request
	// before running it.
	mayHaveRun bool
	// said is what the target's answer told of itself.
	said targetapi.Signals
}

// answered reports whether the attempt has an answer to pass on.
func (a *attempt) answered() bool { return a.resp != nil }

// good reports whether the attempt has an answer that is not the target's
// failure.
func (a *attempt) good() bool { return a.answered() && a.class == pick.OK }

// attempt makes one attempt and waits for the head of its answer.
func (d *Dispatcher) attempt(ctx context.Context, c *Call, s send) *attempt {
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{
		send:    s,
		cancel:  cancel,
		start:   time.Now(),
		observe: func(took time.Duration) { d.observe(c.Key, took) },
		ctx:     ctx,
	}
	if c.Method != http.MethodHead {
		a.held = d.held
	}
	if s.claim != nil && !s.claim.Sending() {
		// The host was held up for so long that the claim's row may be gone, and
		// another send may have taken the key.
		a.class, a.reason = pick.Canceled, outcome.ReasonKeyExpired
		a.end(a.class)
		return a
	}
	s.watch.Started(s.grant.Target().RunID())
	req := d.newRequest(ctx, c, s.grant.Target())
	res := d.upstream.RoundTrip(req, s.grant.Target(), upstream.SendOptions{
		MaxConns: d.connShare(c),
		Once:     c.Repeat == Once,
	})
	if res.Err != nil {
		a.failed(ctx, res, c.Body.Broken())
		a.end(a.class)
		return a
	}
	d.headReceived(c, a, req, res.Response)
	return a
}

// newRequest builds the request of one attempt.
func (d *Dispatcher) newRequest(ctx context.Context, c *Call, t blackboard.Target) *http.Request {
	u := *c.URL
	h := c.Header.Clone()
	if h["User-Agent"] == nil {
		h["User-Agent"] = nil // or net/http would send its own
	}
	if name := d.contract.Attempts; name != "" {
		h.Set(name, strconv.Itoa(c.Attempts))
	}
	if name := d.contract.Depth; name != "" {
		h.Set(name, strconv.Itoa(c.Depth+1))
	}
	if name := d.contract.Target; name != "" {
		h.Set(name, string(t.ID))
	}
	if at, ok := ctx.Deadline(); ok {
		left := max(0, time.Until(at)-margin)
		h.Set(d.contract.Timeout, strconv.FormatInt(left.Milliseconds(), 10))
	}
	req := &http.Request{
		Method:        c.Method,
		URL:           &u,
		Host:          c.Host,
		Header:        h,
		Body:          c.Body.reader(),
		ContentLength: c.Body.length,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	return req.WithContext(ctx)
}

// failed classifies an attempt that brought no answer.
func (a *attempt) failed(ctx context.Context, res upstream.Result, callerBroke bool) {
	a.mayHaveRun = res.Sent
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && res.Sent:
		a.class, a.reason = pick.TimedOut, outcome.ReasonTargetTimeout
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		// The call came too late; that is not the target's fault.
		a.class, a.reason = pick.Canceled, outcome.ReasonDeadline
	case ctx.Err() != nil || callerBroke:
		// An upload that its caller broke off says nothing about the target: it
		// must neither be ejected nor the request suspected of crashing it.
		a.class, a.reason = pick.Canceled, outcome.ReasonCallerGone
	case res.Sent:
		a.class, a.reason = pick.BrokeOff, outcome.ReasonBrokeOff
	case errors.Is(res.Err, upstream.ErrConnLimit):
		// This host's share is used up; that is not the target's fault either.
		a.class, a.reason = pick.Canceled, outcome.ReasonConnLimit
	default:
		a.class, a.reason = pick.NotSent, outcome.ReasonConnect
	}
}

// headReceived classifies an attempt by the head of its answer. A refusal is the host's to
// act on; every other answer is passed on only if its target vouches for it.
//
// Bytes that are no answer of the target's own may read as a status that callers take for the last
// word. A target seals and echoes all that it answers to a request it ran, failures too: without
// both, the caller is told just that it may have run.
func (d *Dispatcher) headReceived(c *Call, a *attempt, req *http.Request, resp *http.Response) {
	ct := d.contract
	a.status = resp.StatusCode
	d.hear(c, a, req, resp)
	switch {
	case !ct.Belongs(req.Header, resp.Header, resp.StatusCode):
		// The target answered an earlier request a second time, and this answer
		// stands where the one to this request is due. Nothing on the connection
		// can be told apart any more.
		d.foreign(a, resp)
	case ct.IsMisdirected(resp.StatusCode):
		a.class, a.reason = pick.Replaced, outcome.ReasonReplaced
		a.discard(resp, a.class)
	case ct.IsShed(resp.StatusCode, resp.Header):
		a.shed(resp)
	case !ct.Sealed(resp.Header), ct.Promises(resp.StatusCode):
		// An answer that no target vouches for, or a status that callers would
		// take for the promise that the request was not run.
		d.foreign(a, resp)
	default:
		a.answer(resp)
	}
}

// hear takes in what the target says of itself, whatever came of the request. Neither another
// target that has the address by now, nor bytes that belong to no request, speak for it.
func (d *Dispatcher) hear(c *Call, a *attempt, req *http.Request, resp *http.Response) {
	ct := d.contract
	if ct.IsMisdirected(resp.StatusCode) || !ct.Belongs(req.Header, resp.Header, resp.StatusCode) {
		return
	}
	a.said = ct.Signals(resp.StatusCode, resp.Header)
	if d.heard != nil {
		d.heard(c.Key, a.grant.Target(), a.said)
	}
}

// shed ends an attempt that the target refused before running it.
func (a *attempt) shed(resp *http.Response) {
	a.class, a.reason = pick.Shed, outcome.ReasonShed
	if a.said.Leaving {
		a.class = pick.Leaving
	}
	a.discard(resp, a.class)
}

// foreign ends an attempt whose answer is not its target's to its request. The
// request may have run all the same.
func (d *Dispatcher) foreign(a *attempt, resp *http.Response) {
	d.metrics.Map("foreign_answers").Add(strconv.Itoa(resp.StatusCode), 1)
	a.mayHaveRun = true
	a.class, a.reason = pick.Foreign, outcome.ReasonForeignAnswer
	_ = resp.Body.Close()
	a.end(a.class)
}

// answer takes an answer to be passed on. A small one is held until it is whole:
// one that breaks off can then be told from a whole one before the caller has
// seen any of it, and a call that may be repeated is sent to another target.
func (a *attempt) answer(resp *http.Response) {
	a.mayHaveRun = true
	a.class, a.reason = pick.OK, outcome.ReasonOK
	if resp.StatusCode >= http.StatusInternalServerError {
		a.class = pick.Failed
	}
	if a.held == nil {
		a.resp = resp
		return
	}
	if err := a.held.hold(resp); err != nil {
		_ = resp.Body.Close()
		a.class, a.reason = pick.BrokeOff, outcome.ReasonBrokeOff
		if a.ctx.Err() != nil {
			a.class, a.reason = pick.Canceled, outcome.ReasonCallerGone
			if errors.Is(a.ctx.Err(), context.DeadlineExceeded) {
				a.class, a.reason = pick.TimedOut, outcome.ReasonTargetTimeout
			}
		}
		a.end(a.class)
		return
	}
	a.resp = resp
}

// maxDiscard bounds what is read of an answer that is not passed on, so that
// its connection can be kept.
const maxDiscard = 16 << 10

// discard ends an attempt whose answer is not passed on.
func (a *attempt) discard(resp *http.Response, class pick.Class) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxDiscard+1)
	_ = resp.Body.Close()
	a.end(class)
}

// end releases the grant of an attempt.
func (a *attempt) end(class pick.Class) {
	a.cancel()
	rep := pick.Report{Class: class, Latency: time.Since(a.start), Load: -1}
	if class == pick.OK {
		a.observe(rep.Latency)
	}
	if a.said.HasLoad {
		rep.Load = a.said.Load.Running + a.said.Load.Waiting
		rep.Work = a.said.Load
	}
	rep.LeavingHint = a.said.Leaving
	a.tellWatch(class)
	a.grant.Release(rep)
}

// tellWatch tells the quarantine how the attempt ended, before the caller learns
// of it: once the caller knows, it may send the request to any host again.
func (a *attempt) tellWatch(class pick.Class) {
	switch class {
	case pick.OK, pick.Failed:
		a.watch.Completed()
	case pick.BrokeOff:
		a.watch.BrokeOff()
	case pick.NotSent:
		// The target can not be reached: what was in flight on it may have broken
		// off for that, and not for a request.
		a.watch.NotReached(a.grant.Target().RunID())
		a.watch.Close()
	default:
		a.watch.Close()
	}
}
