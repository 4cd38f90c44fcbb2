package entry

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/dispatch"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/quarantine"
)

// HeaderIdempotencyKey carries the caller's key of an at-most-once call.
const HeaderIdempotencyKey = "Idempotency-Key"

// maxDepth ends calls that lead to themselves. Chains of calls are up to 26
// deep.
const maxDepth = 32

// newCall reads and checks a request. The zero Result means that the call is
// good; the release function gives back the memory of its body.
func (s *Server) newCall(r *http.Request, m Match) (*dispatch.Call, func(), outcome.Result) {
	c := &dispatch.Call{
		Workspace: m.Workspace,
		Service:   m.Service,
		Key:       blackboard.ServiceKey{Workspace: m.Workspace.Name, Service: m.Service.Name},
		Method:    r.Method,
		Host:      r.Host,
		Header:    forwardable(r.Header),
		Repeat:    dispatch.RepeatOf(r.Method),
		Attempts:  s.attemptsLeft(r, m.Service.MaxAttempts),
		Depth:     intHeader(r, s.deps.Contract.Depth, 0),
		Objective: m.Objective,
		Priority:  m.Priority,
		Regions:   m.Regions,
		Allowed:   m.Allowed,
		Caller:    callerOf(r),
		Arrived:   time.Now(),
		Waited:    s.waited(r, m),
		Sizes:     m.Sizes,
	}
	s.setTenant(c.Header, m.Tenant)
	if s.deps.Contract.Forwarded {
		addForwarded(c.Header, r)
	}
	if m.Repeat != 0 {
		c.Repeat = m.Repeat
	}
	u := *r.URL
	if m.Path != r.URL.Path {
		u.Path, u.RawPath = m.Path, ""
	}
	c.URL = &u
	if c.Depth >= maxDepth {
		return nil, nil, outcome.Refuse(outcome.ReasonTooDeep)
	}
	if m.Service.IsAtMostOnce(r.Method, m.Path) {
		c.AtMostOnce = true
		c.Repeat = dispatch.Once
		c.IdempotencyKey = r.Header.Get(HeaderIdempotencyKey)
	}
	body, release, refusal := s.readBody(r, m)
	if refusal.Outcome != 0 {
		return nil, nil, refusal
	}
	c.Body = body
	mem, _ := body.Bytes()
	c.Suspicion = quarantine.Digest(c.Key.Workspace, c.Key.Service, c.Method, u.RequestURI(), mem, body.Length())
	return c, release, outcome.Result{}
}

// attemptsLeft returns the attempts of a call: the service's, or what the call
// that led to this one has left.
func (s *Server) attemptsLeft(r *http.Request, declared int) int {
	return max(1, min(declared, intHeader(r, s.deps.Contract.Attempts, declared)))
}

// timeout returns how long a call may take: the service's timeout, or what the
// caller says is left.
func (s *Server) timeout(r *http.Request, declared time.Duration) time.Duration {
	ms := intHeader(r, s.deps.Contract.Timeout, -1)
	if ms < 0 {
		return declared
	}
	return min(declared, time.Duration(ms)*time.Millisecond)
}

// waited returns how long the caller has been waiting since it first asked.
func (s *Server) waited(r *http.Request, m Match) time.Duration {
	ms := intHeader(r, s.deps.Contract.Timeout, -1)
	if ms < 0 || m.Patience == nil {
		return 0
	}
	return m.Patience.Estimate(time.Duration(ms) * time.Millisecond)
}

func intHeader(r *http.Request, name string, otherwise int) int {
	n, err := strconv.Atoi(r.Header.Get(name))
	if err != nil || n < 0 {
		return otherwise
	}
	return n
}

// callerOf identifies the caller for stored answers: by its client certificate
// or else by a digest of its Authorization header. Callers without either share
// one identity in their workspace.
func callerOf(r *http.Request) string {
	if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
		return "cert:" + r.TLS.PeerCertificates[0].Subject.String()
	}
	auth := r.Header.Get("Authorization")
	if auth == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(auth))
	return "auth:" + hex.EncodeToString(sum[:16])
}

// readBody takes a body into memory if it is small enough to be sent again, and
// leaves it a stream otherwise.
func (s *Server) readBody(r *http.Request, m Match) (*dispatch.Body, func(), outcome.Result) {
	limit := m.Service.MaxBody
	if limit > 0 && r.ContentLength > limit {
		return nil, nil, s.deny(r, m, outcome.ReasonBodyTooLarge)
	}
	if r.ContentLength == 0 {
		return dispatch.MemoryBody(nil), func() {}, outcome.Result{}
	}
	stream := r.Body
	if limit > 0 {
		stream = http.MaxBytesReader(nil, r.Body, limit)
	}
	keep := int64(m.Service.MaxReplayBody)
	if r.ContentLength < 0 {
		return s.readUnknown(r, stream, keep, m)
	}
	if r.ContentLength > keep || !s.memory.TryAcquire(r.ContentLength) {
		return dispatch.StreamBody(stream, r.ContentLength), func() {}, outcome.Result{}
	}
	release := func() { s.memory.Release(r.ContentLength) }
	b := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(stream, b); err != nil {
		release()
		return nil, nil, s.bodyError(r, m, err)
	}
	return dispatch.MemoryBody(b), release, outcome.Result{}
}

// readUnknown takes a body whose length was not told into memory, if it turns out
// to be small enough. The rest of a longer one stays a stream.
func (s *Server) readUnknown(r *http.Request, stream io.ReadCloser, keep int64, m Match) (*dispatch.Body, func(), outcome.Result) {
	if keep == 0 || !s.memory.TryAcquire(keep) {
		return dispatch.StreamBody(stream, -1), func() {}, outcome.Result{}
	}
	release := func() { s.memory.Release(keep) }
	b, err := io.ReadAll(io.LimitReader(stream, keep))
	if err != nil {
		release()
		return nil, nil, s.bodyError(r, m, err)
	}
	if int64(len(b)) < keep {
		return dispatch.MemoryBody(b), release, outcome.Result{}
	}
	whole := struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(b), stream), stream}
	return dispatch.StreamBody(whole, -1), release, outcome.Result{}
}

func (s *Server) bodyError(r *http.Request, m Match, err error) outcome.Result {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return s.deny(r, m, outcome.ReasonBodyTooLarge)
	}
	return outcome.Refuse(outcome.ReasonCallerGone)
}
