package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cactusproxy/cactusproxy/platform/standin"
)

// notRunStatuses are the statuses that guarantee that a request did not run and never will.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
}

// reportViolation records a violated guarantee.
func (s *Soak) reportViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Since(s.start).Round(time.Millisecond)
	s.findings = append(s.findings, fmt.Sprintf("%8s  %s", at, fmt.Sprintf(format, args...)))
}

// check checks the result of one request.
func (s *Soak) check(r *request) {
	s.mu.Lock()
	s.requests = append(s.requests, r)
	s.mu.Unlock()
	switch {
	case r.err != nil:
		s.checkFailed(r)
	case r.status == http.StatusOK && r.body != standin.ResponseBody(r.id, r.size):
		s.reportViolation("request %s: another's or half an answer: %q", r.id, r.body)
	case r.status == http.StatusOK && r.seal != "seal-"+r.id:
		s.reportViolation("request %s: success without its seal", r.id)
	case r.status == http.StatusOK:
		s.recordServed(r)
	case s.wronglyRejected(r):
		s.reportViolation("request %s: proper, and told %d by %s", r.id, r.status, r.process.name)
	}
	if took := r.end.Sub(r.at); took > deadline+lateTolerance/2 && r.process.undisturbedSince(r.at) {
		s.reportViolation("request %s: answered after %s by an undisturbed host", r.id, took)
	}
}

// wronglyRejected reports whether a valid request was rejected as invalid. No target of a
// soak does so on purpose, and every request uses a route that all configurations have, or
// all since the route was added.
func (s *Soak) wronglyRejected(r *request) bool {
	if r.status < http.StatusMultipleChoices || r.status >= http.StatusInternalServerError || notRunStatuses[r.status] {
		return false
	}
	return r.status != http.StatusNotFound || s.mustHaveRoute(r) || s.servedBefore(r)
}

// mustHaveRoute reports whether a host must have the route of a request. It must always have
// a route of every configuration; an undisturbed host must have any other route
// maxPropagation after it was added.
func (s *Soak) mustHaveRoute(r *request) bool {
	if r.route.added.IsZero() {
		return true
	}
	return r.at.Sub(r.route.added) >= maxPropagation && s.undisturbedDuring(r)
}

// servedRoute is a route that one run of a host has served.
type servedRoute struct {
	process *process
	run     int
	route   string
}

// recordServed records that a host served the route of a request.
func (s *Soak) recordServed(r *request) {
	if r.process.generation() != r.run {
		return // the next run of the host may have sent the response
	}
	key := servedRoute{process: r.process, run: r.run, route: r.route.name}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.servedAt[key]; !ok {
		s.servedAt[key] = r.end
	}
}

// servedBefore reports whether the same run of the host served the route earlier. A host
// must not lose a route that is still configured, however much it is disturbed.
func (s *Soak) servedBefore(r *request) bool {
	if r.process.generation() != r.run {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	since, ok := s.servedAt[servedRoute{process: r.process, run: r.run, route: r.route.name}]
	return ok && since.Before(r.at)
}

// noticeKill is how long a caller on a busy machine may take to notice that a connection has ended.
const noticeKill = time.Second

// checkFailed checks a request without a response. Only hosts that were killed, paused or
// disconnected may cause one, never a graceful stop.
func (s *Soak) checkFailed(r *request) {
	p := r.process
	p.mu.Lock()
	stopping := p.termAt.After(r.at.Add(-endTimeout)) && p.termAt.Before(r.end)
	disturbed := p.disturbed
	// A request may be sent after the kill was recorded and before the process dies.
	killed := p.killed
	// A caller may not have noticed yet that a connection to the run that was killed has ended.
	onDeadConn := r.reused && p.killedAt.After(r.at.Add(-noticeKill)) && p.killedAt.Before(r.end)
	p.mu.Unlock()
	if killed || onDeadConn {
		return
	}
	if isConnRefused(r.err) {
		return // the host was down and read nothing
	}
	// The stop itself is recorded as a disturbance. The request counts only if there was
	// no other one.
	if stopping && !s.otherwiseDisturbed(p, r) {
		s.reportViolation("request %s: cut off by a stop: %v", r.id, r.err)
		return
	}
	if disturbed.Before(r.at) && p.generation() == r.run {
		s.reportViolation("request %s: no answer from an undisturbed host: %v", r.id, r.err)
	}
}

// checkRuns compares the executions at the targets with the responses that callers got. It
// is called after all requests have ended.
func (s *Soak) checkRuns() {
	runs := make(map[string]int)
	for _, t := range s.targets.all() {
		for id, n := range t.Runs() {
			runs[id] += n
		}
	}
	for _, r := range s.requests {
		n := runs[r.id]
		if r.mutating && n > 1 {
			s.reportViolation("request %s: ran %d times", r.id, n)
		}
		if notRunStatuses[r.status] && r.err == nil && r.mutating && n > 0 {
			s.reportViolation("request %s: told %d and ran", r.id, r.status)
		}
		delete(runs, r.id)
	}
	for id := range runs {
		s.reportViolation("request %s: ran, and no caller sent it", id)
	}
}

// maxPropagation is how long an undisturbed host may take to apply a change: the 2 s that
// the platform allows, and a margin for a busy machine.
const maxPropagation = 2*time.Second + 500*time.Millisecond

// byID returns all requests by ID.
func (s *Soak) byID() map[string]*request {
	byID := make(map[string]*request, len(s.requests))
	for _, r := range s.requests {
		byID[r.id] = r
	}
	return byID
}

// checkDrains looks for requests that undisturbed hosts sent to a target more than
// maxPropagation after its entry was set to draining.
func (s *Soak) checkDrains() {
	byID := s.byID()
	for _, b := range s.targets.all() {
		if b.drainAt.IsZero() {
			continue
		}
		for id, at := range b.StartTimes() {
			r := byID[id]
			if r == nil || at.Before(b.drainAt.Add(maxPropagation)) || r.at.Before(b.drainAt.Add(maxPropagation)) {
				continue
			}
			if r.undisturbed {
				s.reportViolation("request %s: run by %s %s after it said that it drains", id, b.ID, at.Sub(b.drainAt))
			}
		}
	}
}

// versionRoute returns the name of the route that only one version of the configuration has.
func versionRoute(version uint64) string { return fmt.Sprintf("only-%d", version) }

// keptRoute returns the name of the route that one version adds and all later ones keep.
func keptRoute(version uint64) string { return fmt.Sprintf("since-%d", version) }

// route is a route that is never removed once added. Time added is zero if every
// configuration has it.
type route struct {
	name  string
	added time.Time
}

// readRoute returns the route of a caller's next read request: alternately the route of
// every configuration and one that was added.
func (s *Soak) readRoute(n int) route {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n%2 == 0 || len(s.added) == 0 {
		return route{name: "lots"}
	}
	return s.added[n/2%len(s.added)]
}

// watchConfig checks that undisturbed hosts have the newest configuration in force within
// maxPropagation, by requesting the route that only it has.
func (s *Soak) watchConfig(ctx context.Context) {
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: deadline}
	for ctx.Err() == nil {
		sleep(ctx, 100*time.Millisecond)
		s.mu.Lock()
		version, at := s.version, s.configuredAt
		s.mu.Unlock()
		if time.Since(at) < maxPropagation {
			continue
		}
		for _, p := range s.processes {
			s.checkVersion(c, p, version, at)
		}
	}
}

func (s *Soak) checkVersion(c *http.Client, p *process, version uint64, at time.Time) {
	if !s.undisturbedBetween(p, at, time.Now()) {
		return
	}
	req, err := http.NewRequest(http.MethodGet, "http://"+p.callers+"/"+versionRoute(version)+"/", nil)
	if err != nil {
		return
	}
	req.Host = hostName
	r := &request{id: fmt.Sprintf("v%d-%s-%d", version, p.name, time.Now().UnixNano()), process: p, at: time.Now()}
	req.Header.Set(standin.HeaderRequestID, r.id)
	req.Header.Set(standin.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	resp, err := c.Do(req)
	r.end = time.Now()
	s.mu.Lock()
	s.requests = append(s.requests, r)
	newest := s.version == version
	s.mu.Unlock()
	if err != nil {
		r.err = err
		return
	}
	_ = resp.Body.Close()
	r.status = resp.StatusCode
	if r.status == http.StatusNotFound && newest && s.undisturbedBetween(p, at, r.end) {
		s.reportViolation("%s does not have configuration %d in force %s after it was written", p.name, version, r.end.Sub(at))
	}
}

// checkRecovered checks, after the last fault has ended, that requests were served again
// and that no host exited unexpectedly.
func (s *Soak) checkRecovered(served int) {
	if served == 0 {
		s.reportViolation("nothing was served after the disturbances ended")
	}
	for _, p := range s.processes {
		if p.exitedUnexpectedly() {
			s.reportViolation("%s ended by itself; its log ends with %q", p.name, p.logTail())
		}
	}
}
