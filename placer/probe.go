package placer

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/policy/placing"
	"github.com/cactusproxy/cactusproxy/targetapi"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// probe probes the targets of a list whose figures are not fresh, all at once, and
// waits a little for their answers. Choices of the same moment share them. It reports
// whether any target of the list told something just now.
func (p *Placer) probe(ctx context.Context, s *service, list []ranked) bool {
	path, conns := p.healthPath(s.key)
	if path == "" {
		return false
	}
	var waits []chan struct{}
	now := time.Now()
	s.mu.Lock()
	for _, r := range list {
		if r.figures.Fresh(now) {
			continue
		}
		if r.probing == nil {
			if !p.deps.Probes.Take(now) {
				p.count.probesRefused.Add(1)
				continue
			}
			r.probing = make(chan struct{})
			go p.probeTarget(s, r.target, r.info, path, conns)
		}
		waits = append(waits, r.probing)
	}
	s.mu.Unlock()
	awaitAll(ctx, waits)
	return s.anyFresh(list)
}

// anyFresh reports whether any target of a list told something just now.
func (s *service) anyFresh(list []ranked) bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(list, func(r ranked) bool { return r.figures.Age(now) < placing.ProbeWait+freshWithin })
}

// freshWithin is what a figure may have aged while a choice waited for others.
const freshWithin = 10 * time.Millisecond

// awaitAll waits until all channels are closed, but no longer than placing.ProbeWait.
func awaitAll(ctx context.Context, waits []chan struct{}) {
	if len(waits) == 0 {
		return
	}
	timer := time.NewTimer(placing.ProbeWait)
	defer timer.Stop()
	for _, w := range waits {
		select {
		case <-w:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// healthPath returns where targets of a service tell their load, and the
// connections that a target takes from this host.
func (p *Placer) healthPath(key blackboard.ServiceKey) (path string, conns int) {
	table := p.deps.Board.Routes.Load()
	if table == nil {
		return "", 0
	}
	s := table.Service(key.Service)
	if s == nil {
		return "", 0
	}
	hosts := max(1, len(p.deps.Board.Members.Load().Members))
	return s.HealthPath, max(1, s.MaxConns/hosts)
}

// probeTarget asks one target for its load.
func (p *Placer) probeTarget(s *service, t *target, info blackboard.Target, path string, conns int) {
	p.count.probes.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	sent := time.Now()
	a := p.exchange(ctx, info, path, conns)
	if a.reached && !a.other && p.deps.Heard != nil {
		p.deps.Heard(s.key, info, a.said)
	}
	p.tell(s.answered(t, a, time.Since(sent)), s, info.RunID())
	if !a.reached {
		p.count.probesFailed.Add(1)
	}
}

// answer is what came of a probe: what the target said, if it was reached.
type answer struct {
	said    targetapi.Signals
	reached bool
	// other is set if another target has the address by now.
	other bool
}

// answered takes in the answer to a probe, and returns what that changed in
// what this host believes of the target.
func (s *service) answered(t *target, a answer, took time.Duration) (news string) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	close(t.probing)
	t.probing = nil
	if !s.holds(t) {
		return ""
	}
	switch {
	case a.said.HasLoad:
		s.told(now, t, a.said.Load)
	case a.reached && !a.other:
		s.answeredSilently(now, t, took)
	}
	if a.other {
		if t.replaced(now) {
			return newsLeaving
		}
		return ""
	}
	if !a.reached {
		if t.unreachable(now) {
			return newsUnreachable
		}
		return ""
	}
	back := t.reached()
	switch {
	case s.hearCold(now, t, a.said.WarmUp):
		return newsCold
	case back:
		return newsReached
	default:
		return ""
	}
}

// maxHealthBody bounds what is read of an answer, so that its connection can be
// kept.
const maxHealthBody = 4 << 10

// exchange sends one probe.
func (p *Placer) exchange(ctx context.Context, info blackboard.Target, path string, conns int) (a answer) {
	req := &http.Request{
		Method:     http.MethodGet,
		URL:        &url.URL{Path: path},
		Host:       info.Addr,
		Header:     http.Header{"User-Agent": nil},
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	res := p.deps.Upstream.RoundTrip(req.WithContext(ctx), info, upstream.SendOptions{MaxConns: conns})
	if res.Err != nil {
		return a
	}
	defer res.Response.Body.Close()
	_, _ = io.CopyN(io.Discard, res.Response.Body, maxHealthBody)
	a.reached = true
	if !p.deps.Contract.IsFrom(string(info.ID), res.Response.Header) {
		a.other = true
		return a
	}
	a.said = p.deps.Contract.Signals(res.Response.StatusCode, res.Response.Header)
	return a
}
