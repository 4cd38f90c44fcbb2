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
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/quarantine"
	"github.com/cactusproxy/cactusproxy/targetapi"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// permit holds what is needed to make one attempt.
type permit struct {
	grant pick.Grant
	// quarantineAttempt receives the result of the attempt; nil without a quarantine.
	quarantineAttempt *quarantine.Attempt
	// claim is set for calls with an idempotency key.
	claim *ledger.Claim
}

// attempt is one request sent to one target.
type attempt struct {
	permit
	cancel context.CancelFunc
	start  time.Time
	// observe records the latency of a completely received response.
	observe func(time.Duration)
	// onBroken is Deps.OnBroken for the service of the call; nil without one.
	onBroken func(blackboard.Target)

	ctx context.Context
	// buffers, if set, is used to buffer a small response before it is forwarded. It is nil for
	// HEAD: the Content-Length of such a response describes a body that is not sent.
	buffers *responseBuffers

	class  pick.Class
	reason outcome.Reason
	// cause is how the connection failed; empty if it did not.
	cause upstream.Cause
	// via is the host through which the request was sent; empty if this host sent it itself.
	via ports.HostID
	// opened is when the connection was opened on which the target responded.
	opened time.Time
	resp   *http.Response
	// status is the status of the target's response, forwarded or not; 0 without a response.
	status int
	// mayHaveRun is false only if no byte of the request was sent or the target rejected the
	// request before running it.
	mayHaveRun bool
	// signals are the signals that the target reported in its response.
	signals targetapi.Signals
}

// hasResponse reports whether the attempt has a response to forward.
func (a *attempt) hasResponse() bool { return a.resp != nil }

// succeeded reports whether the attempt has a response to forward that isn't a server error.
func (a *attempt) succeeded() bool { return a.hasResponse() && a.class == pick.OK }

// attempt makes one attempt and waits for the response header.
func (d *Dispatcher) attempt(ctx context.Context, c *Call, p permit) *attempt {
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{
		permit:  p,
		cancel:  cancel,
		start:   time.Now(),
		observe: func(took time.Duration) { d.observe(c.Key, took) },
		ctx:     ctx,
	}
	if d.onBroken != nil {
		a.onBroken = func(t blackboard.Target) { d.onBroken(c.Key, t) }
	}
	if c.Method != http.MethodHead {
		a.buffers = d.buffers
	}
	if p.claim != nil && !p.claim.BeginAttempt() {
		// This host was stalled for so long that the claim's row may have expired and been
		// claimed by another request with the same key.
		a.class, a.reason = pick.Canceled, outcome.ReasonKeyExpired
		a.end(a.class)
		return a
	}
	p.quarantineAttempt.Streams(c.Body.content)
	p.quarantineAttempt.Started(p.grant.Target().RunID())
	req := d.newRequest(ctx, c, p.grant.Target())
	res := d.upstream.RoundTrip(req, p.grant.Target(), upstream.SendOptions{
		MaxConns:      d.connShare(c),
		NonIdempotent: c.Idempotency == NonIdempotent,
		Usable:        func() bool { return d.usable(c.Key, p.grant) },
		RequestID:     c.Header.Get(d.contract.RequestID),
		BeforeSend:    func() { d.setTimeout(ctx, req.Header) },
	})
	a.via = res.Via
	if res.Err != nil {
		a.classifyError(ctx, res, c.Body.Aborted())
		a.end(a.class)
		return a
	}
	a.opened = res.Opened
	d.classifyResponse(c, a, req, res.Response)
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
		h.Set(name, strconv.Itoa(c.MaxAttempts))
	}
	if name := d.contract.Depth; name != "" {
		h.Set(name, strconv.Itoa(c.Depth+1))
	}
	if name := d.contract.Target; name != "" {
		h.Set(name, string(t.ID))
	}
	req := &http.Request{
		Method:        c.Method,
		URL:           &u,
		Host:          c.Host,
		Header:        h,
		Body:          c.Body.Reader(),
		ContentLength: c.Body.length,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	return req.WithContext(ctx)
}

// setTimeout sets the header that hands a target the time that is left.
func (d *Dispatcher) setTimeout(ctx context.Context, h http.Header) {
	if at, ok := ctx.Deadline(); ok {
		left := max(0, time.Until(at)-timeoutMargin)
		h.Set(d.contract.Timeout, strconv.FormatInt(left.Milliseconds(), 10))
	}
}

// classifyError classifies an attempt that failed without a response.
func (a *attempt) classifyError(ctx context.Context, res upstream.Result, callerAborted bool) {
	a.mayHaveRun = res.Sent
	a.cause = upstream.CauseOf(res.Err)
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && res.Sent:
		a.class, a.reason = pick.TimedOut, outcome.ReasonTargetTimeout
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		// The deadline passed before the request was sent, which isn't the target's fault.
		a.class, a.reason = pick.Canceled, outcome.ReasonDeadline
	case ctx.Err() != nil || callerAborted:
		// An upload that the caller aborted says nothing about the target: the target must not
		// be ejected, and the request must not be suspected of crashing it.
		a.class, a.reason = pick.Canceled, outcome.ReasonCallerGone
	case res.Sent:
		a.class, a.reason = brokenClass(a.cause)
	case errors.Is(res.Err, upstream.ErrConnLimit):
		// This host's share of connections is in use, which isn't the target's fault either.
		a.class, a.reason = pick.Canceled, outcome.ReasonConnLimit
	case errors.Is(res.Err, upstream.ErrTargetLeft):
		a.class, a.reason = pick.Canceled, outcome.ReasonTargetLeft
	case errors.Is(res.Err, upstream.ErrPathFault):
		a.class, a.reason = pick.NoPath, outcome.ReasonConnect
	default:
		a.class, a.reason = pick.NotSent, outcome.ReasonConnect
	}
}

// brokenClass returns the class and reason of a connection that failed after the request was sent.
//
// A process that crashes closes its connections. A timeout is a failure of the path: blamed on the
// request, it would be held back on all hosts, and blamed on the target, targets that are well
// would be taken out. Bytes that are no response don't tell that the process has crashed.
func brokenClass(c upstream.Cause) (pick.Class, outcome.Reason) {
	switch c {
	case upstream.CauseTimeout, upstream.CauseRelay:
		return pick.PathLost, outcome.ReasonPathLost
	case upstream.CauseMalformed:
		return pick.Foreign, outcome.ReasonForeignAnswer
	default:
		return pick.BrokeOff, outcome.ReasonBrokeOff
	}
}

// usable reports whether the target of a grant may get the request: the grant holds still, the target
// is listed, neither leaving nor evacuated, and no other run has taken its place.
func (d *Dispatcher) usable(key blackboard.ServiceKey, g pick.Grant) bool {
	if by := basisOf(g).SendBy; !by.IsZero() && time.Now().After(by) {
		return false
	}
	chosen := g.Target()
	for _, t := range d.board.Targets.Load().ByService[key] {
		if t.ID == chosen.ID {
			return !t.Leaving && !t.Evacuated && !t.Incarnation.Replaces(chosen.Incarnation)
		}
	}
	return false
}

// classifyResponse classifies an attempt by its response header. A rejection is handled by this
// host; every other response is forwarded only if it belongs to the request and is sealed.
//
// Bytes that don't come from the target may read as a status that callers treat as final. A target
// seals every response to a request that it ran, including failures, and echoes the request ID.
// If either is missing, the caller is only told that the request may have run.
func (d *Dispatcher) classifyResponse(c *Call, a *attempt, req *http.Request, resp *http.Response) {
	ct := d.contract
	a.status = resp.StatusCode
	d.recordSignals(c, a, req, resp)
	switch {
	case !ct.IsAnswerTo(req.Header, resp.Header, resp.StatusCode):
		// The target responded to an earlier request a second time, in place of the
		// response to this one. Responses on this connection can no longer be matched to
		// their requests.
		d.endForeign(a, resp)
	case ct.IsMisdirected(resp.StatusCode):
		a.class, a.reason = pick.Replaced, outcome.ReasonReplaced
		a.discard(resp, a.class)
	case ct.IsShed(resp.StatusCode, resp.Header):
		a.endShed(resp)
	case !ct.HasSeal(resp.Header), ct.IsNotRunStatus(resp.StatusCode):
		// The response isn't sealed, or its status is one that callers read as a guarantee that
		// the request did not run.
		d.endForeign(a, resp)
	default:
		a.acceptResponse(resp)
	}
}

// recordSignals takes in the signals that the target reports, whatever the result of the request.
// A different target that has taken over the address, or a response that belongs to another
// request, is ignored.
func (d *Dispatcher) recordSignals(c *Call, a *attempt, req *http.Request, resp *http.Response) {
	ct := d.contract
	if ct.IsMisdirected(resp.StatusCode) || !ct.IsAnswerTo(req.Header, resp.Header, resp.StatusCode) {
		return
	}
	a.signals = ct.Signals(resp.StatusCode, resp.Header)
	if d.onSignals != nil {
		d.onSignals(c.Key, a.grant.Target(), a.signals)
	}
}

// endShed ends an attempt that the target rejected without running it.
func (a *attempt) endShed(resp *http.Response) {
	a.class, a.reason = pick.Shed, outcome.ReasonShed
	if a.signals.Leaving {
		a.class = pick.Leaving
	}
	a.discard(resp, a.class)
}

// endForeign ends an attempt whose response isn't the target's response to this request. The
// request may still have run.
func (d *Dispatcher) endForeign(a *attempt, resp *http.Response) {
	d.metrics.Map("foreign_answers").Add(strconv.Itoa(resp.StatusCode), 1)
	a.mayHaveRun = true
	a.class, a.reason = pick.Foreign, outcome.ReasonForeignAnswer
	_ = resp.Body.Close()
	a.end(a.class)
}

// acceptResponse takes a response that will be forwarded. A small one is buffered completely, so
// that a truncated response is detected before any of it has been sent to the caller and an
// idempotent call can be retried on another target.
func (a *attempt) acceptResponse(resp *http.Response) {
	a.mayHaveRun = true
	a.class, a.reason = pick.OK, outcome.ReasonOK
	if resp.StatusCode >= http.StatusInternalServerError {
		a.class = pick.Failed
	}
	if a.buffers == nil {
		a.resp = resp
		return
	}
	if err := a.buffers.buffer(resp); err != nil {
		_ = resp.Body.Close()
		a.cause = upstream.CauseOf(err)
		a.class, a.reason = brokenClass(a.cause)
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

const (
	// maxDiscard is how many bytes of a response that isn't forwarded are read, so that its
	// connection can be reused.
	maxDiscard = 16 << 10
	// maxDiscardTime is for how long: the body may never end, and the caller waits for the next attempt.
	maxDiscardTime = 50 * time.Millisecond
)

// discard ends an attempt whose response isn't forwarded.
func (a *attempt) discard(resp *http.Response, class pick.Class) {
	late := time.AfterFunc(maxDiscardTime, a.cancel)
	_, _ = io.CopyN(io.Discard, resp.Body, maxDiscard+1)
	late.Stop()
	_ = resp.Body.Close()
	a.end(class)
}

// end reports the result of the attempt and releases its grant.
func (a *attempt) end(class pick.Class) {
	a.cancel()
	rep := pick.Report{Class: class, Latency: time.Since(a.start), Load: -1}
	if class == pick.OK {
		a.observe(rep.Latency)
	}
	if a.signals.HasLoad {
		rep.Load = a.signals.Load.Running + a.signals.Load.Waiting
		rep.TargetLoad = a.signals.Load
	}
	rep.LeavingHint = a.signals.Leaving
	a.reportQuarantine(class)
	a.grant.Release(rep)
}

// reportQuarantine reports the result to the quarantine. This must happen before the caller gets
// its reply, since the caller may then send the request again through any host.
func (a *attempt) reportQuarantine(class pick.Class) {
	switch class {
	case pick.OK, pick.Failed:
		a.quarantineAttempt.Answered(a.opened, a.signals.WarmUp > 0)
		a.quarantineAttempt.Completed()
	case pick.BrokeOff:
		a.quarantineAttempt.BrokeOff()
		if a.onBroken != nil {
			a.onBroken(a.grant.Target())
		}
	case pick.NotSent:
		// The target is unreachable, so requests in flight on it may have failed for that
		// reason and not because one of them crashed it.
		a.quarantineAttempt.ConnectFailed(a.grant.Target().RunID())
		a.quarantineAttempt.Close()
	default:
		a.quarantineAttempt.Close()
	}
}
