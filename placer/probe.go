package placer

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/policy/placement"
	"github.com/cactusproxy/cactusproxy/policy/suspicion"
	"github.com/cactusproxy/cactusproxy/targetapi"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// probe probes the targets of a list whose load reports are not fresh, in parallel, and waits
// up to placement.ProbeTimeout for the answers. Concurrent choices share a probe in flight. It
// reports whether any target of the list has a current load report.
func (p *Placer) probe(ctx context.Context, s *service, list []ranked) bool {
	path, conns := p.probeConfig(s.key)
	if path == "" {
		return false
	}
	var pending []chan struct{}
	now := time.Now()
	s.mu.Lock()
	for _, r := range list {
		if r.figures.Fresh(now) {
			continue
		}
		if r.probeDone == nil {
			if !p.deps.Probes.Take(now) {
				p.count.probesRefused.Add(1)
				continue
			}
			r.probeDone = make(chan struct{})
			go p.probeTarget(s, r.target, r.info, path, conns)
		}
		pending = append(pending, r.probeDone)
	}
	s.mu.Unlock()
	awaitAll(ctx, pending)
	return s.anyFresh(list)
}

// anyFresh reports whether any target of a list reported its load during the last probe round.
func (s *service) anyFresh(list []ranked) bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(list, func(r ranked) bool { return r.figures.Age(now) < placement.ProbeTimeout+freshTolerance })
}

// freshTolerance is added to placement.ProbeTimeout as the age up to which a load report counts
// as one of the current probe round.
const freshTolerance = 10 * time.Millisecond

// awaitAll waits until all channels are closed, for at most placement.ProbeTimeout.
func awaitAll(ctx context.Context, pending []chan struct{}) {
	if len(pending) == 0 {
		return
	}
	timer := time.NewTimer(placement.ProbeTimeout)
	defer timer.Stop()
	for _, w := range pending {
		select {
		case <-w:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// probeConfig returns the health path of a service and the number of connections that this host
// may open to each target. The path is empty if targets cannot be probed.
func (p *Placer) probeConfig(key blackboard.ServiceKey) (path string, conns int) {
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

// probeTarget sends one probe and records its result.
func (p *Placer) probeTarget(s *service, t *target, info blackboard.Target, path string, conns int) {
	p.count.probes.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	sent := time.Now()
	a := p.sendProbe(ctx, info, path, conns)
	if a.reached && !a.replaced && p.deps.OnSignals != nil {
		p.deps.OnSignals(s.key, info, a.signals)
	}
	if a.reached && !a.replaced && p.deps.OnAnswered != nil {
		p.deps.OnAnswered(suspicion.Answer{Target: info.RunID(), Sent: sent, Opened: a.opened, Cold: a.signals.WarmUp > 0})
	}
	change := s.recordProbe(t, a, time.Since(sent))
	p.logChange(change, s, info.RunID())
	if change == msgCold {
		p.logCold(s, t)
	}
	if !a.reached {
		p.count.probesFailed.Add(1)
		p.count.probeFailures.Add(string(a.failure), 1)
	}
}

// ProbeTarget probes a target, or waits for a probe of it in flight, and returns when that has
// ended. It does nothing if another run has taken its place, if it can't be probed, or if the quota
// is used up.
func (p *Placer) ProbeTarget(key blackboard.ServiceKey, info blackboard.Target) {
	path, conns := p.probeConfig(key)
	if path == "" {
		return
	}
	s := p.service(key)
	if done := p.beginProbe(s, info, path, conns); done != nil {
		<-done
	}
}

// beginProbe begins a probe unless one is in flight, and returns what is closed at its end.
func (p *Placer) beginProbe(s *service, info blackboard.Target, path string, conns int) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[info.ID]
	if t == nil || t.info.RunID() != info.RunID() || t.info.Evacuated {
		return nil
	}
	if t.probeDone == nil {
		if !p.deps.Probes.Take(time.Now()) {
			p.count.probesRefused.Add(1)
			return nil
		}
		t.probeDone = make(chan struct{})
		go p.probeTarget(s, t, t.info, path, conns)
	}
	return t.probeDone
}

// probeResult is the result of one probe.
type probeResult struct {
	// signals are the target's signals; they are empty unless it was reached.
	signals targetapi.Signals
	reached bool
	// own is set if the target named itself and did not reject the probe.
	own bool
	// opened is when the connection was opened on which the target answered.
	opened time.Time
	// failure is why the target was not reached, pathFault is set if that says nothing about the
	// target.
	failure   upstream.Cause
	pathFault bool
	// replaced is set if another target answered at the address.
	replaced bool
}

// recordProbe records the result of a probe. It returns the log message of a resulting state
// change, or "".
func (s *service) recordProbe(t *target, a probeResult, took time.Duration) (change string) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	close(t.probeDone)
	t.probeDone = nil
	if !s.isCurrent(t) {
		return ""
	}
	switch {
	case a.signals.HasLoad:
		s.recordLoad(now, t, a.signals.Load)
	case a.reached && !a.replaced:
		s.recordLoadlessProbe(now, t, took)
	}
	if a.replaced {
		if t.markReplaced(now) {
			return msgLeaving
		}
		return ""
	}
	switch {
	case a.reached:
	case a.pathFault:
		return recordUnreached(t.markNoPath())
	case a.failure == upstream.CauseTimeout:
		return recordUnreached(t.markSilent(now))
	default:
		return recordUnreached(t.markUnreachable(now))
	}
	recovered := t.markReachable(now.Add(-took))
	switch {
	case s.recordWarmUp(now.Add(-took), now, t, a):
		return msgCold
	case recovered:
		return msgReachable
	default:
		return ""
	}
}

// maxHealthBody is the number of bytes read of a health response. Short bodies are read to the
// end so that the connection can be reused.
const maxHealthBody = 4 << 10

// sendProbe sends one probe and reads the response.
func (p *Placer) sendProbe(ctx context.Context, info blackboard.Target, path string, conns int) (a probeResult) {
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
		a.failure = upstream.CauseOf(res.Err)
		a.pathFault = errors.Is(res.Err, upstream.ErrPathFault)
		return a
	}
	defer res.Response.Body.Close()
	_, _ = io.CopyN(io.Discard, res.Response.Body, maxHealthBody)
	a.reached, a.opened = true, res.Opened
	if !p.deps.Contract.IsFrom(string(info.ID), res.Response.Header) {
		a.replaced = true
		return a
	}
	status, header := res.Response.StatusCode, res.Response.Header
	a.own = p.deps.Contract.Names(string(info.ID), header) && !p.deps.Contract.IsShed(status, header)
	a.signals = p.deps.Contract.Signals(status, header)
	return a
}
