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
	"github.com/cactusproxy/cactusproxy/policy/quota"
)

// call serves one call of a caller.
func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if r.ContentLength == 0 || r.ProtoMajor != 1 {
		s.logged(w, r)
		return
	}
	u := newUploadWriter(w, r, s.bodies)
	s.logged(u, u.request)
	u.end()
}

// logged serves a call and tells the log of calls about it.
func (s *Server) logged(w http.ResponseWriter, r *http.Request) {
	if s.deps.Calls == nil {
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
	defer func() { s.deps.Calls.Ended(*c) }()
	s.route(w, r, c)
}

// route finds where a call leads and serves it. What becomes of it is noted in c.
func (s *Server) route(w http.ResponseWriter, r *http.Request, c *calllog.Call) {
	if name := s.deps.Contract.RequestID; name != "" {
		w.Header().Set(name, r.Header.Get(name))
	}
	status := s.deps.Board.Status.Load()
	if status.Leaving {
		// The caller opens its next connection through the balancer, to a host
		// that stays. Closing the idle connection instead would reset a request
		// that is just being sent on it.
		w.Header().Set("Connection", "close")
	}
	if !status.Serving() {
		s.awaitStart(r)
		status = s.deps.Board.Status.Load()
	}
	if !status.Serving() || !s.deps.Fresh() {
		s.refuse(w, c, refuseKey(r, outcome.Refuse(outcome.ReasonNotReady)))
		return
	}
	if r.Method == http.MethodConnect {
		s.refuse(w, c, outcome.Refuse(outcome.ReasonBadRequest))
		return
	}
	m, refusal := s.find(r)
	c.ConfigVersion = m.ConfigVersion
	if refusal.Outcome != 0 {
		s.refuse(w, c, refuseKey(r, refusal))
		return
	}
	c.Service = m.Service.Name
	c.Tenant = m.Tenant
	if refusal := s.overQuota(m); refusal.Outcome != 0 {
		s.refuse(w, c, refuseCall(r, m, refusal))
		return
	}
	s.serve(w, r, m, c)
}

// overQuota returns what a request is told whose tenant is known to have no room, before its
// body is read.
func (s *Server) overQuota(m Match) outcome.Result {
	if s.deps.Quota == nil || m.Tenant == "" {
		return outcome.Result{}
	}
	return s.deps.Quota.Refused(m.Tenant)
}

// within counts a request against its tenant's quota.
func (s *Server) within(ctx context.Context, r *http.Request, m Match) outcome.Result {
	if s.deps.Quota == nil || m.Tenant == "" {
		return outcome.Result{}
	}
	left := time.Duration(intHeader(r, s.deps.Contract.Timeout, -1)) * time.Millisecond
	return s.deps.Quota.Take(ctx, quota.Request{Name: m.Tenant, Route: m.Route, Objective: m.Objective, Remaining: left})
}

// giveBack returns to a tenant's quota what a request took that did not run.
func (s *Server) giveBack(m Match, r outcome.Result) {
	if s.deps.Quota != nil && m.Tenant != "" && r.Outcome == outcome.NotRun {
		s.deps.Quota.Return(m.Tenant)
	}
}

// startWait bounds how long a call waits for a host that has just started, which
// takes 50 to 150 ms; startShare is the most of the caller's time that goes into it.
const (
	startWait  = 250 * time.Millisecond
	startShare = 4
)

// awaitStart holds a call while the host learns its configuration and targets.
//
// Refused at once, callers that waited for a start of all hosts would spend their tries on other
// hosts that know as little.
func (s *Server) awaitStart(r *http.Request) {
	if s.deps.AwaitStart == nil {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(startWait, s.timeout(r, startShare*startWait)/startShare))
	defer cancel()
	s.deps.AwaitStart(ctx)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, m Match, l *calllog.Call) {
	l.Timeout = s.timeout(r, m.Service.Timeout)
	ctx, cancel := context.WithTimeout(r.Context(), l.Timeout)
	defer cancel()
	// A body that trickles in must not keep the caller waiting beyond its time. After
	// a refusal the deadline stays: the server would otherwise wait for the rest of
	// the body before it sends the answer.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(l.Timeout)) // not every writer has one
	c, releaseBody, refusal := s.newCall(r, m)
	if refusal.Outcome == 0 {
		_ = control.SetReadDeadline(time.Time{})
	}
	if refusal.Outcome != 0 {
		s.refuse(w, l, refuseCall(r, m, refusal))
		return
	}
	defer releaseBody()
	l.Waited = c.Waited
	release, refusal := s.deps.Dispatcher.Admit(c)
	if release == nil {
		s.refuse(w, l, refuseCall(r, m, refusal))
		return
	}
	defer release()
	if refusal := s.within(ctx, r, m); refusal.Outcome != 0 {
		s.refuse(w, l, refuseCall(r, m, refusal))
		return
	}
	if _, inMemory := c.Body.Bytes(); !inMemory {
		// Without this the answer to an upload could not begin before the whole
		// upload was read.
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	reply := s.deps.Dispatcher.Do(ctx, c)
	s.giveBack(m, reply.Result)
	s.reply(w, l, reply)
}

// refuseKey returns what a request is told that is refused before anybody asked
// for the claim of its key. An earlier send of the same key may have run through
// another host; were this one told not-run, its caller would take the purchase
// for not made and buy again under a new key. So a request with a key is told
// unknown, and its caller sends the same key again.
func refuseKey(r *http.Request, refusal outcome.Result) outcome.Result {
	if r.Header.Get(HeaderIdempotencyKey) != "" {
		refusal.Outcome = outcome.Unknown
	}
	return refusal
}

// refuseCall is refuseKey for a request whose service is known: a key means
// something for at-most-once calls alone.
func refuseCall(r *http.Request, m Match, refusal outcome.Result) outcome.Result {
	if m.Service.IsAtMostOnce(r.Method, m.Path) {
		return refuseKey(r, refusal)
	}
	return refusal
}

// reply writes what came of a call.
func (s *Server) reply(w http.ResponseWriter, l *calllog.Call, r *dispatch.Reply) {
	l.Result, l.Status, l.Attempts = r.Result, r.Status, r.Attempts
	s.count(r.Result)
	if r.Body == nil {
		s.write(w, r.Result)
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
		// The answer broke off, or the caller is gone. Ending the reply as if it
		// were complete would pass a part off as the whole; aborting breaks the
		// caller's connection instead. What came is flushed first: a caller that
		// saw no part of an answer might take the call for one that was never
		// read and send it again by itself.
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	for name, values := range r.Trailer {
		h[name] = values
	}
}

// copyBufferSize is how much of an answer is read at a time, in bytes.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// copyBody passes an answer on. One whose length is not known is flushed as it
// comes, since it may be a stream of events.
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

// refuse tells a caller what cactusproxy itself has to say.
func (s *Server) refuse(w http.ResponseWriter, c *calllog.Call, r outcome.Result) {
	c.Result, c.Status = r, r.Status()
	s.count(r)
	s.write(w, r)
}

func (s *Server) write(w http.ResponseWriter, r outcome.Result) {
	h := w.Header()
	setOutcome(h, r)
	if r.RetryAfter > 0 {
		h.Set("Retry-After", s.deps.Contract.RetryAfter(r.RetryAfter))
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

func (s *Server) count(r outcome.Result) {
	s.deps.Metrics.Calls.Add(r.Outcome.String(), 1)
	s.deps.Metrics.Reasons.Add(string(r.Reason), 1)
}
