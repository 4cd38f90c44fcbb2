package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy/calllog"
	"github.com/cactusproxy/cactusproxy/dispatch"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pipeline"
	"github.com/cactusproxy/cactusproxy/policy/quota"
	"github.com/cactusproxy/cactusproxy/policy/staleness"
)

// handleCall serves one call and counts it as in flight.
func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if r.ContentLength == 0 || r.ProtoMajor != 1 {
		s.logged(w, r)
		return
	}
	u := newUploadWriter(w, r, s.bodyRate)
	s.logged(u, u.request)
	u.drain()
}

// logged serves a call and reports it to the call log.
func (s *Server) logged(w http.ResponseWriter, r *http.Request) {
	if s.deps.CallLog == nil {
		s.route(w, r, &calllog.Call{})
		return
	}
	c := &calllog.Call{
		ID:      r.Header.Get(s.deps.Contract.RequestID),
		Method:  r.Method,
		Host:    r.Host,
		Path:    r.URL.Path,
		Arrived: time.Now(),
	}
	defer func() { s.deps.CallLog.Ended(*c) }()
	s.route(w, r, c)
}

// route finds the service that a request is for and serves the call. It records the result in c.
func (s *Server) route(w http.ResponseWriter, r *http.Request, c *calllog.Call) {
	if name := s.deps.Contract.RequestID; name != "" {
		w.Header().Set(name, r.Header.Get(name))
	}
	status := s.deps.Board.Status.Load()
	if status.Leaving && pipeline.Last(r) {
		// The caller opens its next connection through the load balancer, to a host that
		// stays. If the idle connection were closed instead, a request that is just being
		// sent on it would be reset.
		w.Header().Set("Connection", "close")
	}
	if !status.Serving() {
		s.awaitStart(r)
		status = s.deps.Board.Status.Load()
	}
	if !status.Serving() || !s.deps.ConfigFresh() {
		s.refuse(w, c, keyedRefusal(r, outcome.Refuse(outcome.ReasonNotReady)))
		return
	}
	if r.Method == http.MethodConnect {
		s.refuse(w, c, outcome.Refuse(outcome.ReasonBadRequest))
		return
	}
	if !s.replicaCurrent(r, c) {
		s.refuse(w, c, keyedRefusal(r, outcome.Refuse(outcome.ReasonReplicaOutdated)))
		return
	}
	m, refusal := s.find(r)
	c.ConfigVersion = m.ConfigVersion
	if refusal.Outcome != 0 {
		s.refuse(w, c, keyedRefusal(r, refusal))
		return
	}
	c.Service = m.Service.Name
	c.Tenant = m.Tenant
	if m.Idempotency == dispatch.Idempotent {
		pipeline.AllowOvertaking(r)
	} else if pipeline.Ahead(r) {
		s.refuse(w, c, outcome.Refuse(outcome.ReasonNotInTurn))
		return
	}
	if refusal := s.knownOverQuota(m); refusal.Outcome != 0 {
		s.refuse(w, c, callRefusal(r, m, refusal))
		return
	}
	s.serve(w, r, m, c)
}

// knownOverQuota returns the refusal of a request whose tenant is already known to be over quota,
// so that its body isn't read. Otherwise it returns the zero Result.
func (s *Server) knownOverQuota(m Match) outcome.Result {
	if s.deps.Quota == nil || m.Tenant == "" {
		return outcome.Result{}
	}
	return s.deps.Quota.Refused(m.Tenant)
}

// takeQuota counts a request against its tenant's quota.
func (s *Server) takeQuota(ctx context.Context, r *http.Request, m Match) outcome.Result {
	if s.deps.Quota == nil || m.Tenant == "" {
		return outcome.Result{}
	}
	left := time.Duration(intHeader(r, s.deps.Contract.Timeout, -1)) * time.Millisecond
	return s.deps.Quota.Take(ctx, quota.Request{Name: m.Tenant, Route: m.Route, Objective: m.Objective, Remaining: left})
}

// quotaReturner returns a function that returns what a request took from its tenant's quota. It is
// called if the request did not run, and also if it ran ahead and isn't answered because an earlier
// response closes the connection: the caller takes it for unread and sends it again.
func (s *Server) quotaReturner(r *http.Request, m Match) func() {
	if s.deps.Quota == nil || m.Tenant == "" {
		return func() {}
	}
	if !pipeline.Ahead(r) {
		return func() { s.deps.Quota.Return(m.Tenant) }
	}
	once := sync.OnceFunc(func() { s.deps.Quota.Return(m.Tenant) })
	pipeline.OnDrop(r, once)
	return once
}

// startWait is the maximum time that a call waits for a host that has just started, which takes 50
// to 150 ms, or that brings its replica up to date. A call waits no longer than 1/startWaitDivisor of the time that the caller has left.
const (
	startWait        = 250 * time.Millisecond
	startWaitDivisor = 4
)

// awaitStart delays a call until the host has loaded its configuration and targets.
//
// If calls were refused immediately, callers would spend their retries on hosts that aren't ready
// either when all hosts start at once.
func (s *Server) awaitStart(r *http.Request) {
	if s.deps.AwaitStart == nil {
		return
	}
	ctx, cancel := s.shortWait(r)
	defer cancel()
	s.deps.AwaitStart(ctx)
}

// shortWait returns a context for a wait that leaves a call most of its time.
func (s *Server) shortWait(r *http.Request) (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.Context(), min(startWait, s.timeout(r, startWaitDivisor*startWait)/startWaitDivisor))
}

// replicaCurrent reports whether a call may be routed by this host's replica of the platform's state,
// and waits a short time for that.
//
// A process that was stopped or starved for seconds would go on by a configuration that has been
// replaced and send to targets that have left, until it has handled what others sent meanwhile.
func (s *Server) replicaCurrent(r *http.Request, c *calllog.Call) bool {
	if s.deps.ReplicaAge == nil {
		return true
	}
	current := true
	if s.deps.ReplicaAge() > staleness.MaxAge {
		ctx, cancel := s.shortWait(r)
		defer cancel()
		current = s.deps.AwaitCurrent(ctx)
	}
	c.ReplicaAge = s.deps.ReplicaAge()
	return current
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, m Match, rec *calllog.Call) {
	rec.Timeout = s.timeout(r, m.Service.Timeout)
	ctx, cancel := context.WithTimeout(r.Context(), rec.Timeout)
	defer cancel()
	// A slow upload must not keep the caller waiting beyond its timeout. The deadline stays in
	// place after a refusal, because the server would otherwise read the rest of the body
	// before it sends the response.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(rec.Timeout)) // not every writer supports it
	c, releaseBody, refusal := s.newCall(r, m)
	if refusal.Outcome == 0 {
		_ = control.SetReadDeadline(readDeadline(ctx, c))
	}
	if refusal.Outcome != 0 {
		s.refuse(w, rec, callRefusal(r, m, refusal))
		return
	}
	defer releaseBody()
	rec.Waited = c.PriorWait
	release, refusal := s.deps.Dispatcher.Admit(c)
	if release == nil {
		s.refuse(w, rec, callRefusal(r, m, refusal))
		return
	}
	defer release()
	if refusal := s.takeQuota(ctx, r, m); refusal.Outcome != 0 {
		s.refuse(w, rec, callRefusal(r, m, refusal))
		return
	}
	returnQuota := s.quotaReturner(r, m)
	if _, inMemory := c.Body.Bytes(); !inMemory {
		// Otherwise the response to an upload could not begin before the whole upload has been
		// read.
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	reply := s.deps.Dispatcher.Do(ctx, c)
	if reply.Result.Outcome == outcome.NotRun {
		returnQuota()
	}
	s.reply(w, rec, reply)
}

// lateRead is how long after the deadline of a call the read of its upload ends. By then a call of which
// everything was read has ended by its own deadline, and not because its caller seems to be gone.
const lateRead = 20 * time.Millisecond

// readDeadline returns until when the rest of a call's body is read, or zero if all of it was. The target's
// connection waits for an upload that has stopped, and the call for that connection.
func readDeadline(ctx context.Context, c *dispatch.Call) time.Time {
	at, ok := ctx.Deadline()
	if _, inMemory := c.Body.Bytes(); inMemory || !ok {
		return time.Time{}
	}
	return at.Add(lateRead)
}

// keyedRefusal returns the result for a request that is refused before the claim of its
// idempotency key has been looked up. An earlier request with the same key may have run through
// another host; if this one were reported as not-run, the caller would assume that the purchase
// failed and repeat it under a new key. So a request with a key gets the outcome unknown, and the
// caller retries with the same key.
func keyedRefusal(r *http.Request, refusal outcome.Result) outcome.Result {
	if r.Header.Get(HeaderIdempotencyKey) != "" {
		refusal.Outcome = outcome.Unknown
	}
	return refusal
}

// callRefusal is like keyedRefusal for a request whose service is known: the key only matters for
// at-most-once calls.
func callRefusal(r *http.Request, m Match, refusal outcome.Result) outcome.Result {
	if m.Service.IsAtMostOnce(r.Method, m.Path) {
		return keyedRefusal(r, refusal)
	}
	return refusal
}

// reply writes the reply of a call to the caller.
func (s *Server) reply(w http.ResponseWriter, rec *calllog.Call, r *dispatch.Reply) {
	rec.Result, rec.Status, rec.Attempts = r.Result, r.Status, r.Attempts
	s.countResult(r.Result)
	if r.Body == nil {
		s.writeResult(w, r.Result)
		return
	}
	defer r.Body.Close()
	h := w.Header()
	for name, values := range forwardable(r.Header) {
		h[name] = values
	}
	s.deps.Contract.Strip(h)
	if r.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(r.Length, 10))
	}
	for name := range r.Trailer {
		h.Add("Trailer", name)
	}
	setOutcome(h, r.Result)
	w.WriteHeader(r.Status)
	if err := copyBody(w, r); err != nil {
		// The response was truncated, or the caller is gone. Ending the response normally would
		// make a part look complete; aborting breaks the caller's connection instead. What has
		// arrived is flushed first: a client that has seen no part of a response may assume that
		// its request was never read and resend it automatically.
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	for name, values := range r.Trailer {
		h[name] = values
	}
}

// copyBufferSize is how much of a response is read at a time, in bytes.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// copyBody forwards a response body. If its length is unknown, every read is flushed, since the
// response may be an event stream.
func copyBody(w http.ResponseWriter, r *dispatch.Reply) error {
	buf := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buf)
	var flush func() error
	if r.Length < 0 {
		flush = http.NewResponseController(w).Flush
	}
	for {
		n, err := r.Body.Read(buf[:])
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
			if flush != nil {
				_ = flush()
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// refuse writes a reply that cactusproxy generates itself and records it in c.
func (s *Server) refuse(w http.ResponseWriter, c *calllog.Call, r outcome.Result) {
	c.Result, c.Status = r, r.Status()
	s.countResult(r)
	s.writeResult(w, r)
}

func (s *Server) writeResult(w http.ResponseWriter, r outcome.Result) {
	h := w.Header()
	setOutcome(h, r)
	if r.RetryAfter > 0 {
		h.Set("Retry-After", s.deps.Contract.FormatRetryAfter(r.RetryAfter))
	}
	text := r.Outcome.String() + " " + string(r.Reason) + "\n"
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(r.Status())
	_, _ = io.WriteString(w, text)
}

func setOutcome(h http.Header, r outcome.Result) {
	h.Set(outcome.HeaderOutcome, r.Outcome.String())
	h.Set(outcome.HeaderReason, string(r.Reason))
}

func (s *Server) countResult(r outcome.Result) {
	s.deps.Metrics.Calls.Add(r.Outcome.String(), 1)
	s.deps.Metrics.Reasons.Add(string(r.Reason), 1)
}
