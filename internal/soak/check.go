package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cactusproxy/cactusproxy/platform/standin"
)

// Promises of statuses: not run, and never will be.
var promises = map[int]bool{
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
}

// broken notes a promise that was not kept.
func (s *Soak) broken(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Since(s.start).Round(time.Millisecond)
	s.findings = append(s.findings, fmt.Sprintf("%8s  %s", at, fmt.Sprintf(format, args...)))
}

// check looks at one request that has ended.
func (s *Soak) check(r *sent) {
	s.mu.Lock()
	s.all = append(s.all, r)
	s.mu.Unlock()
	switch {
	case r.err != nil:
		s.checkCut(r)
	case r.status == http.StatusOK && r.body != standin.ResponseBody(r.id, r.size):
		s.broken("request %s: another's or half an answer: %q", r.id, r.body)
	case r.status == http.StatusOK && r.seal != "seal-"+r.id:
		s.broken("request %s: success without its seal", r.id)
	case r.status == http.StatusOK:
		s.noteKnown(r)
	case s.denied(r):
		s.broken("request %s: proper, and told %d by %s", r.id, r.status, r.process.name)
	}
	if took := r.end.Sub(r.at); took > deadline+lateBy/2 && r.process.calmSince(r.at) {
		s.broken("request %s: answered after %s by an undisturbed host", r.id, took)
	}
}

// denied reports whether a proper request was told that it is wrong. No target of a soak
// says so, and each request asks for a route that every configuration has, or has had since
// it was added.
func (s *Soak) denied(r *sent) bool {
	if r.status < http.StatusMultipleChoices || r.status >= http.StatusInternalServerError || promises[r.status] {
		return false
	}
	return r.status != http.StatusNotFound || s.mustKnow(r) || s.knew(r)
}

// mustKnow reports whether a host must know a request's route: always if every
// configuration has it, and else in time after it was added, if the host is in touch.
func (s *Soak) mustKnow(r *sent) bool {
	if r.route.added.IsZero() {
		return true
	}
	return r.at.Sub(r.route.added) >= inForce && s.inTouch(r)
}

// knowing is a route that one run of a host knows.
type knowing struct {
	process *process
	run     int
	route   string
}

// noteKnown notes that a host served a request's route.
func (s *Soak) noteKnown(r *sent) {
	if r.process.generation() != r.run {
		return // it may have come from the next run
	}
	key := knowing{process: r.process, run: r.run, route: r.route.name}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.known[key]; !ok {
		s.known[key] = r.end
	}
}

// knew reports whether the same run of the host served the route before. It never forgets
// one that stays, however much it is disturbed.
func (s *Soak) knew(r *sent) bool {
	if r.process.generation() != r.run {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	since, ok := s.known[knowing{process: r.process, run: r.run, route: r.route.name}]
	return ok && since.Before(r.at)
}

// checkCut looks at a request that got no answer: that is only for hosts that were
// killed, paused or cut off, never for one that was told to stop.
func (s *Soak) checkCut(r *sent) {
	p := r.process
	p.mu.Lock()
	stopping := p.termAt.After(r.at.Add(-endTimeout)) && p.termAt.Before(r.end)
	disturbed := p.disturbed
	// A request may leave between the note that the process is to be killed and the
	// kill itself.
	killed := p.killed
	p.mu.Unlock()
	if killed {
		return
	}
	if isRefused(r.err) {
		return // the host was down; nothing was read
	}
	// Ending the process is itself noted as a disturbance; before that there must
	// have been none for the request to count.
	if stopping && !s.otherwiseDisturbed(p, r) {
		s.broken("request %s: cut off by a stop: %v", r.id, r.err)
		return
	}
	if disturbed.Before(r.at) && p.generation() == r.run {
		s.broken("request %s: no answer from an undisturbed host: %v", r.id, r.err)
	}
}

// checkRuns looks at what targets ran, once all is over.
func (s *Soak) checkRuns() {
	runs := make(map[string]int)
	for _, t := range s.targets.all() {
		for id, n := range t.Runs() {
			runs[id] += n
		}
	}
	for _, r := range s.all {
		n := runs[r.id]
		if r.mutating && n > 1 {
			s.broken("request %s: ran %d times", r.id, n)
		}
		if promises[r.status] && r.err == nil && r.mutating && n > 0 {
			s.broken("request %s: told %d and ran", r.id, r.status)
		}
		delete(runs, r.id)
	}
	for id := range runs {
		s.broken("request %s: ran, and no caller sent it", id)
	}
}

// inForce is how long a change may take to be heeded by an undisturbed host: what the
// platform allows, and some for a busy machine.
const inForce = 2*time.Second + 500*time.Millisecond

// byID returns the requests that were sent, by their IDs.
func (s *Soak) byID() map[string]*sent {
	byID := make(map[string]*sent, len(s.all))
	for _, r := range s.all {
		byID[r.id] = r
	}
	return byID
}

// checkDrains looks for requests that undisturbed hosts sent to a target long after
// it had said that it was leaving.
func (s *Soak) checkDrains() {
	byID := s.byID()
	for _, b := range s.targets.all() {
		if b.drainAt.IsZero() {
			continue
		}
		for id, at := range b.StartTimes() {
			r := byID[id]
			if r == nil || at.Before(b.drainAt.Add(inForce)) || r.at.Before(b.drainAt.Add(inForce)) {
				continue
			}
			if r.touched {
				s.broken("request %s: run by %s %s after it said that it drains", id, b.ID, at.Sub(b.drainAt))
			}
		}
	}
}

// ownRoute is the route that one version of the configuration alone has.
func ownRoute(version uint64) string { return fmt.Sprintf("only-%d", version) }

// keptRoute is the route that one version adds and that all later ones keep.
func keptRoute(version uint64) string { return fmt.Sprintf("since-%d", version) }

// route is a route that stays, and when it was added: zero if every configuration has it.
type route struct {
	name  string
	added time.Time
}

// readRoute returns the route of a caller's next read: every other time one that was added.
func (s *Soak) readRoute(n int) route {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n%2 == 0 || len(s.added) == 0 {
		return route{name: "lots"}
	}
	return s.added[n/2%len(s.added)]
}

// watchConfig asks undisturbed hosts for the newest version's own route once it must
// be in force.
func (s *Soak) watchConfig(ctx context.Context) {
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: deadline}
	for ctx.Err() == nil {
		sleep(ctx, 100*time.Millisecond)
		s.mu.Lock()
		version, at := s.version, s.configuredAt
		s.mu.Unlock()
		if time.Since(at) < inForce {
			continue
		}
		for _, p := range s.processes {
			s.askVersion(c, p, version, at)
		}
	}
}

func (s *Soak) askVersion(c *http.Client, p *process, version uint64, at time.Time) {
	if !s.calm(p, at, time.Now()) {
		return
	}
	req, err := http.NewRequest(http.MethodGet, "http://"+p.callers+"/"+ownRoute(version)+"/", nil)
	if err != nil {
		return
	}
	req.Host = hostName
	r := &sent{id: fmt.Sprintf("v%d-%s-%d", version, p.name, time.Now().UnixNano()), process: p, at: time.Now()}
	req.Header.Set(standin.HeaderRequestID, r.id)
	req.Header.Set(standin.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	resp, err := c.Do(req)
	r.end = time.Now()
	s.mu.Lock()
	s.all = append(s.all, r)
	newest := s.version == version
	s.mu.Unlock()
	if err != nil {
		r.err = err
		return
	}
	_ = resp.Body.Close()
	r.status = resp.StatusCode
	if r.status == http.StatusNotFound && newest && s.calm(p, at, r.end) {
		s.broken("%s does not have configuration %d in force %s after it was written", p.name, version, r.end.Sub(at))
	}
}

// checkRecovered asks each host once all is calm again.
func (s *Soak) checkRecovered(served int) {
	if served == 0 {
		s.broken("nothing was served after the disturbances ended")
	}
	for _, p := range s.processes {
		if p.endedByItself() {
			s.broken("%s ended by itself; its log ends with %q", p.name, p.lastWords())
		}
	}
}
