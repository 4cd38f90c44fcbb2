// Package backpressure keeps to what targets ask of the hosts that send them requests. What a
// target says is read in one place (targetapi.Contract); here is what follows from it, between
// the choice of a target and the attempt.
package backpressure

import (
	"context"
	"expvar"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/controller/quota"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/pick"
	policy "github.com/cactusproxy/cactusproxy/policy/quota"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/targetapi"
)

const (
	// askTimeout bounds the question whether a target takes one more request.
	askTimeout = 300 * time.Millisecond
	// unknownRest is how long a target gets nothing of which no host could tell.
	unknownRest = 250 * time.Millisecond
	// maxTries bounds the targets that are considered in one choice.
	maxTries = 8
)

// Tolerance is by how much all hosts together may exceed a limit: targetapi.HeaderLimit.
var Tolerance = policy.Tolerance{Window: 4 * time.Second, Share: 0.5, Requests: 5}

// Deps is what a Picker works with.
type Deps struct {
	// Picker chooses targets.
	Picker pick.Picker
	Board  *blackboard.Board
	Link   peer.Link
	// Zone is this host's availability zone.
	Zone string
	// Watched reports whether this host has word of the platform's store, by a host that
	// watches it.
	Watched func() bool
	// OnLeaving, if set, is called when a target said that it leaves, and again if it is
	// chosen after that.
	OnLeaving func(blackboard.ServiceKey, blackboard.Target)
	Metrics   *metrics.Set
	Log       *zap.Logger
}

// Picker is a pick.Picker whose choices keep to the limits that targets name, and off targets
// that asked this host for rest or said that they leave. It is safe for concurrent use.
//
// A limit holds for all hosts together, so that one of them counts for each target and the
// others ask it: even parts would be a request every few seconds for each of many hosts, used up
// where callers come and idle elsewhere.
type Picker struct {
	deps   Deps
	lines  *lines
	limits *limits
	// asker counts over all hosts. One host of a target's zone counts for it, so that no zone
	// needs a part of its own.
	asker   *quota.Controller
	leavers *leavers
	rests   *rests
	count   pickCounters

	mu sync.Mutex
	// full are the targets of each service that take nothing until a moment.
	full map[blackboard.ServiceKey]map[ports.HostID]time.Time
}

type pickCounters struct {
	// limited counts grants of targets with a limit, full those that were not given since the
	// target had used its limit up, rests how often a target asked for rest.
	limited, full, rests *expvar.Int
	// refused counts calls for which there was no other target, by reason.
	refused *expvar.Map
}

var _ pick.Picker = (*Picker)(nil)

// New returns a picker that knows of no limit, and registers its messages with the link.
func New(d Deps) *Picker {
	c := d.Metrics.Counters("backpressure")
	lines := newLines(d.Log, c("lines_dropped"))
	limits := newLimits(d.Metrics, lines)
	return &Picker{
		deps:   d,
		lines:  lines,
		limits: limits,
		asker: quota.New(quota.Deps{
			Board:     d.Board,
			Link:      d.Link,
			Kind:      peer.KindTargetLimit,
			Limits:    limits,
			Subject:   quota.SubjectTarget,
			Zone:      d.Zone,
			Tolerance: Tolerance,
			Watched:   d.Watched,
			Metrics:   d.Metrics,
			Log:       d.Log,
		}),
		leavers: newLeavers(),
		rests:   newRests(d.Board),
		count: pickCounters{
			limited: c("limit_granted"),
			full:    c("limit_passed_over"),
			rests:   c("rests"),
			refused: d.Metrics.Map("backpressure_refused"),
		},
		full: make(map[blackboard.ServiceKey]map[ports.HostID]time.Time),
	}
}

// Run counts for targets until ctx ends.
func (p *Picker) Run(ctx context.Context) error { return p.asker.Run(ctx) }

// Pick implements pick.Picker.
func (p *Picker) Pick(ctx context.Context, req pick.Request) (pick.Grant, outcome.Result) {
	if p.quiet(req.Service) {
		return p.deps.Picker.Pick(ctx, req)
	}
	tried := req.Avoid
	for range maxTries {
		closed := p.closed(req.Service)
		req.Avoid = append(slices.Clone(tried), closed...)
		g, refusal := p.deps.Picker.Pick(ctx, req)
		if g == nil {
			return nil, p.explain(req.Service, refusal, len(closed) > 0)
		}
		t := g.Target()
		// A picker may take one to avoid if there is no other.
		noOther := slices.Contains(closed, t.ID) || slices.Contains(tried, t.ID) && p.unwanted(req.Service, t)
		if noOther {
			giveUp(g)
			return nil, p.refuse(req.Service)
		}
		h := p.permit(ctx, req.Service, g)
		switch {
		case h == nil:
			giveUp(g)
		case p.unwanted(req.Service, t): // as it may have said meanwhile
			giveUp(h)
			tried = append(slices.Clone(tried), t.ID)
		default:
			return h, outcome.Result{}
		}
	}
	return nil, p.refuse(req.Service)
}

// unwanted reports whether a target may get nothing at all: it leaves, or rests.
func (p *Picker) unwanted(service blackboard.ServiceKey, t blackboard.Target) bool {
	if p.leavers.has(t.RunID()) {
		p.markLeaving(service, t)
		return true
	}
	return p.rests.has(service, t)
}

// quiet reports whether no target of a service asks anything.
func (p *Picker) quiet(service blackboard.ServiceKey) bool {
	return !p.limits.any(service) && !p.rests.any(service) && !p.leavers.any()
}

// closed returns the targets of a service that get nothing now: they have used up their limits, or
// rest.
func (p *Picker) closed(service blackboard.ServiceKey) []ports.HostID {
	resting, _ := p.rests.of(service)
	return append(resting, p.fullOf(service)...)
}

func (p *Picker) markLeaving(service blackboard.ServiceKey, t blackboard.Target) {
	if p.deps.OnLeaving != nil {
		p.deps.OnLeaving(service, t)
	}
}

// giveUp releases a grant that was not used.
func giveUp(g pick.Grant) { g.Release(pick.Report{Class: pick.Canceled, Load: -1}) }

// permit returns the grant if its target takes one more request now, else nil.
//
// It asks for targets, too, of which this host has heard nothing: others of the service are in
// need, and the first request of each of many hosts would be more than such a target takes. If no
// host can tell of one, it gets the request.
func (p *Picker) permit(ctx context.Context, service blackboard.ServiceKey, g pick.Grant) pick.Grant {
	if !p.limits.any(service) {
		return g
	}
	t := g.Target()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	a := p.asker.Ask(ctx, policy.Request{
		Name: string(t.RunID()),
		Zone: zoneOf(t.Zone, p.deps.Board.Members.Load()),
		Left: -1,
		Word: p.limits.Word(string(t.RunID())),
	})
	limit, _ := p.limits.Limit(string(t.RunID()))
	switch {
	case a.Granted, !a.Known && limit.Rate == 0:
		p.count.limited.Add(1)
		return &held{Grant: g, picker: p, perSecond: limit.Rate}
	case a.Known:
		p.close(service, t.ID, a.Wait)
	default:
		p.close(service, t.ID, unknownRest)
	}
	p.count.full.Add(1)
	return nil
}

// Heard takes in what a target says of itself; it is a pick.Listener.
func (p *Picker) Heard(service blackboard.ServiceKey, t blackboard.Target, s targetapi.Signals) {
	if s.Leaving && p.leavers.add(t.RunID()) {
		p.lines.info("target leaving by its own answer", zap.String("target", string(t.RunID())), zap.String("service", service.Service))
		p.markLeaving(service, t)
	}
	if s.Rest > 0 {
		p.count.rests.Add(1)
		if p.rests.add(service, t, s.Rest) {
			p.lines.info("target asks for rest", zap.String("target", string(t.RunID())), zap.String("service", service.Service),
				zap.Duration("rest", s.Rest))
		}
	}
	if p.limits.Heard(service, t, s) {
		p.asker.Tell(string(t.RunID()), zoneOf(t.Zone, p.deps.Board.Members.Load()))
	}
}

// Resting reports whether a target wants nothing from this host now.
func (p *Picker) Resting(service blackboard.ServiceKey, t blackboard.Target) bool {
	return p.rests.has(service, t)
}

// zoneOf returns the availability zone whose hosts count the requests of a target: its own, or
// the first by name that has a live host.
func zoneOf(zone string, m *blackboard.Members) string {
	first := ""
	for i := range m.Members {
		h := &m.Members[i]
		if h.State != blackboard.MemberLive {
			continue
		}
		if h.Host.Zone == zone {
			return zone
		}
		if first == "" || h.Host.Zone < first {
			first = h.Host.Zone
		}
	}
	return first
}

// close keeps calls off a target for a while.
func (p *Picker) close(service blackboard.ServiceKey, id ports.HostID, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.full[service] == nil {
		p.full[service] = make(map[ports.HostID]time.Time)
	}
	p.full[service][id] = time.Now().Add(wait)
}

// fullOf returns the targets of a service that take nothing now.
func (p *Picker) fullOf(service blackboard.ServiceKey) (ids []ports.HostID) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, until := range p.full[service] {
		if !now.Before(until) {
			delete(p.full[service], id)
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// explain returns what a call is told that found no target.
func (p *Picker) explain(service blackboard.ServiceKey, refusal outcome.Result, closed bool) outcome.Result {
	if !closed || refusal.Reason != outcome.ReasonNoTarget {
		return refusal
	}
	r := p.refuse(service)
	r.Detail = refusal.Detail
	return r
}

// refuse returns what a call is told if all targets that it could go to have used up their
// limits, rest or leave.
func (p *Picker) refuse(service blackboard.ServiceKey) outcome.Result {
	reason, first := p.soonest(service)
	p.count.refused.Add(string(reason), 1)
	r := outcome.Refuse(reason)
	if !first.IsZero() {
		r.RetryAfter = max(r.RetryAfter, time.Until(first))
	}
	return r
}

// soonest returns why the target of a service that takes requests soonest takes none now, and
// when it does; the zero time if there is none.
func (p *Picker) soonest(service blackboard.ServiceKey) (outcome.Reason, time.Time) {
	free := p.firstFree(service)
	_, rested := p.rests.of(service)
	switch {
	case !rested.IsZero() && (free.IsZero() || rested.Before(free)):
		return outcome.ReasonTargetRest, rested
	case !free.IsZero():
		return outcome.ReasonTargetLimit, free
	default:
		return outcome.ReasonNoTarget, time.Time{}
	}
}

// firstFree returns when the first target of a service that has used up its limit takes more.
func (p *Picker) firstFree(service blackboard.ServiceKey) (first time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, until := range p.full[service] {
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first
}

// held is a grant that counts in its target's limit.
type held struct {
	pick.Grant
	picker    *Picker
	perSecond float64
}

// Release implements pick.Grant. What never left this host does not count.
func (h *held) Release(r pick.Report) {
	if h.perSecond > 0 && r.Class == pick.NotSent {
		h.picker.asker.Return(string(h.Target().RunID()))
	}
	h.Grant.Release(r)
}

// Basis implements pick.Explained.
func (h *held) Basis() (b pick.Basis) {
	if g, ok := h.Grant.(pick.Explained); ok {
		b = g.Basis()
	}
	b.Limit = h.perSecond
	return b
}
