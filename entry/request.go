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
	"github.com/cactusproxy/cactusproxy/pipeline"
	"github.com/cactusproxy/cactusproxy/policy/suspicion"
	"github.com/cactusproxy/cactusproxy/quarantine"
)

// HeaderIdempotencyKey carries the idempotency key of an at-most-once call.
const HeaderIdempotencyKey = "Idempotency-Key"

// headerAuthorization carries the credential of a caller without an API key.
const headerAuthorization = "Authorization"

// maxDepth stops call loops. Legitimate chains of calls are up to 26 deep.
const maxDepth = 32

// newCall parses and validates a request. The returned function releases the memory of the body
// and is nil if the call is refused; the Result is zero if the call is valid.
func (s *Server) newCall(r *http.Request, m Match) (*dispatch.Call, func(), outcome.Result) {
	c := &dispatch.Call{
		Workspace:       m.Workspace,
		Service:         m.Service,
		Key:             blackboard.ServiceKey{Workspace: m.Workspace.Name, Service: m.Service.Name},
		Method:          r.Method,
		Host:            r.Host,
		Header:          forwardable(r.Header),
		Idempotency:     dispatch.IdempotencyOf(r.Method),
		MaxAttempts:     s.attemptsLeft(r, m.Service.MaxAttempts),
		Depth:           intHeader(r, s.deps.Contract.Depth, 0),
		Objective:       m.Objective,
		Priority:        m.Priority,
		Tenant:          m.Tenant,
		Regions:         m.Regions,
		StillAuthorized: m.StillAuthorized,
		Caller:          callerIdentity(r),
		Arrived:         time.Now(),
		PriorWait:       s.priorWait(r, m),
		ResponseSizes:   m.ResponseSizes,
		ReleaseBuffered: pipeline.Ahead(r),
	}
	s.setTenant(c.Header, m.Tenant)
	if s.deps.Contract.Forwarded {
		addForwarded(c.Header, r)
	}
	if m.Idempotency != 0 {
		c.Idempotency = m.Idempotency
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
		c.Idempotency = dispatch.NonIdempotent
		c.IdempotencyKey = r.Header.Get(HeaderIdempotencyKey)
	}
	body, release, refusal := s.readBody(r, m)
	if refusal.Outcome != 0 {
		return nil, nil, refusal
	}
	c.Body = body
	c.Identity = identity(r, m, c)
	return c, release, outcome.Result{}
}

// identity returns how the quarantine knows a request. The API key isn't part of it: targets are told the
// tenant, which may have many keys, and a key that names no tenant isn't sent on.
func identity(r *http.Request, m Match, c *dispatch.Call) suspicion.ID {
	q := quarantine.Request{
		Workspace: c.Key.Workspace,
		Service:   c.Key.Service,
		Route:     m.Route,
		Method:    c.Method,
		Path:      c.URL.RequestURI(),
		Tenant:    c.Tenant,
		Caller:    r.Header.Get(headerAuthorization),
		Body:      c.Body.Head(),
		Length:    c.Body.Length(),
	}
	q.Certificate, _ = certificateSubject(r)
	return q.ID()
}

// attemptsLeft returns the maximum number of attempts of a call: the service's limit or, if lower,
// what is left of the limit of the call that led to this one.
func (s *Server) attemptsLeft(r *http.Request, declared int) int {
	return max(1, min(declared, intHeader(r, s.deps.Contract.Attempts, declared)))
}

// timeout returns the timeout of a call: the service's timeout or, if lower, the time that the
// caller says is left.
func (s *Server) timeout(r *http.Request, declared time.Duration) time.Duration {
	ms := intHeader(r, s.deps.Contract.Timeout, -1)
	if ms < 0 {
		return declared
	}
	return min(declared, time.Duration(ms)*time.Millisecond)
}

// priorWait estimates how long the caller has been waiting since it first sent the request.
func (s *Server) priorWait(r *http.Request, m Match) time.Duration {
	ms := intHeader(r, s.deps.Contract.Timeout, -1)
	if ms < 0 || m.WaitEstimator == nil {
		return 0
	}
	return m.WaitEstimator.Estimate(time.Duration(ms) * time.Millisecond)
}

func intHeader(r *http.Request, name string, fallback int) int {
	n, err := strconv.Atoi(r.Header.Get(name))
	if err != nil || n < 0 {
		return fallback
	}
	return n
}

// callerIdentity identifies the caller for stored responses: by its client certificate, or else by
// a digest of its Authorization header. Callers without either share one identity in their
// workspace.
func callerIdentity(r *http.Request) string {
	if subject, ok := certificateSubject(r); ok {
		return "cert:" + subject
	}
	auth := r.Header.Get(headerAuthorization)
	if auth == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(auth))
	return "auth:" + hex.EncodeToString(sum[:16])
}

// certificateSubject returns the subject of the caller's client certificate, and false if it has none.
func certificateSubject(r *http.Request) (subject string, ok bool) {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return "", false
	}
	return r.TLS.PeerCertificates[0].Subject.String(), true
}

// readBody reads a body into memory if it is small enough to be replayed; otherwise it reads the head and
// the rest stays a stream.
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
	body, release, err := s.readStart(r.ContentLength, stream, int64(m.Service.MaxReplayBody))
	if errors.Is(err, errUploadMemory) {
		return nil, nil, outcome.Refuse(outcome.ReasonUploadMemory)
	}
	if err != nil {
		release()
		return nil, nil, s.bodyError(r, m, err)
	}
	return body, release, outcome.Result{}
}

// readStart reads as much of a body of the given length, which is -1 if unknown, as must be known before
// it is sent. The returned function releases the memory, also after an error.
func (s *Server) readStart(length int64, stream io.ReadCloser, maxReplay int64) (*dispatch.Body, func(), error) {
	reserve := length
	if length < 0 {
		reserve = maxReplay
	}
	if reserve == 0 || reserve > maxReplay || !s.memory.TryAcquire(reserve) {
		return s.streamUpload(stream, length)
	}
	release := func() { s.memory.Release(reserve) }
	if length >= 0 {
		b := make([]byte, length)
		_, err := io.ReadFull(stream, b)
		return dispatch.MemoryBody(b), release, err
	}
	b, err := io.ReadAll(io.LimitReader(stream, maxReplay))
	if err != nil || int64(len(b)) < maxReplay {
		return dispatch.MemoryBody(b), release, err
	}
	whole := struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(b), stream), stream}
	return dispatch.StreamBody(whole, -1, b[:min(headBytes, len(b))]), release, nil
}

// uploadMemory is the memory in bytes of a request whose body is sent on as it arrives: the head of its body, and a buffer
// for each direction.
const uploadMemory = headBytes + 2*copyBufferSize

// errUploadMemory means that there is no memory for another such request.
var errUploadMemory = errors.New("no memory for another upload")

// streamUpload returns a body that stays a stream. The returned function releases its memory, also after an error.
func (s *Server) streamUpload(stream io.ReadCloser, length int64) (*dispatch.Body, func(), error) {
	if s.uploads != nil && !s.uploads.TryAcquire(uploadMemory) {
		return nil, func() {}, errUploadMemory
	}
	release := func() {
		if s.uploads != nil {
			s.uploads.Release(uploadMemory)
		}
	}
	body, err := streamBody(stream, length)
	return body, release, err
}

// streamBody reads the head of a body that stays a stream. If the body turns out to end in it, its length is
// known, so that the request is the same one as where the body is held in memory.
func streamBody(stream io.ReadCloser, length int64) (*dispatch.Body, error) {
	h := readHead(stream, length)
	b, err := h.known()
	if errors.Is(err, io.EOF) && (length < 0 || length == int64(len(b))) {
		length, err = int64(len(b)), nil
	}
	return dispatch.StreamBody(h, length, b), err
}

func (s *Server) bodyError(r *http.Request, m Match, err error) outcome.Result {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return s.deny(r, m, outcome.ReasonBodyTooLarge)
	}
	return outcome.Refuse(outcome.ReasonCallerGone)
}
