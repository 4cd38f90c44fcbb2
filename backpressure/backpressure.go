// Package backpressure enforces what targets ask of their senders: request limits, pauses
// requested with Retry-After, and notices that a target is leaving.
//
// It wraps a pick.Picker. Signals in responses (read by targetapi.Contract) arrive through
// HandleSignals. A choice excludes targets that are full, backed off or leaving; if the wrapped
// picker grants one with a limit, the host that counts the requests to that target is asked for
// a permit first.
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
	// permitTimeout bounds the request for a permit from the counting host.
	permitTimeout = 300 * time.Millisecond
	// unknownLimitBackoff is how long a target is skipped if no host could tell its limit.
	unknownLimitBackoff = 250 * time.Millisecond
	// maxTries bounds the number of targets considered in one choice.
	maxTries = 8
)

// Tolerance is by how much all hosts together may exceed a target's limit, as promised by
// targetapi.HeaderLimit.
var Tolerance = policy.Tolerance{Window: 4 * time.Second, Share: 0.5, Requests: 5}

// Deps are the dependencies of a Picker.
type Deps struct {
	// Picker is the wrapped picker.
	Picker pick.Picker
	Board  *blackboard.Board
	Link   peer.Link
	// Zone is this host's availability zone.
	Zone string
	// Watched reports whether this host has current data from the platform's store, through a
	// host that watches it.
	Watched func() bool
	// OnLeaving, if set, is called when a target reports that it is leaving, and again if the
	// wrapped picker chooses it after that.
	OnLeaving func(blackboard.ServiceKey, blackboard.Target)
	Metrics   *metrics.Set
	Log       *zap.Logger
}

// Picker is a pick.Picker that enforces the limits of targets and avoids targets that asked
// this host for a pause or are leaving. It is safe for concurrent use.
//
// A limit holds for all hosts together. One host counts the requests to each target and the
// others ask it for permits: with equal shares, each of many hosts would get one request every
// few seconds, exhausted where callers are and idle elsewhere.
type Picker struct {
	deps   Deps
	log    *limitedLogger
	limits *limits
	// quotas grants permits across hosts. One host in a target's zone counts for it, so that
	// zones need no shares of their own.
	quotas   *quota.Controller
	leaving  *leavingRuns
	backoffs *backoffs
	count    pickCounters

	mu sync.Mutex
	// full holds, by service, the targets that have used up their limits, and until when.
	full map[blackboard.ServiceKey]map[ports.HostID]time.Time
}

type pickCounters struct {
	// limited counts permits for targets with a limit, full grants dropped because the target
	// had used up its limit, backoffs how often targets asked for a pause.
	limited, full, backoffs *expvar.Int
	// refused counts calls for which no other target was left, by reason.
	refused *expvar.Map
}

var _ pick.Picker = (*Picker)(nil)

// New returns a picker without any limits in force and registers its message handlers with the
// link.
func New(d Deps) *Picker {
	c := d.Metrics.Counters("backpressure")
	log := newLimitedLogger(d.Log, c("lines_dropped"))
	limits := newLimits(d.Metrics, log)
	return &Picker{
		deps:   d,
		log:    log,
		limits: limits,
		quotas: quota.New(quota.Deps{
			Board:        d.Board,
			Link:         d.Link,
			Kind:         peer.KindTargetLimit,
			Limits:       limits,
			Subject:      quota.SubjectTarget,
			Zone:         d.Zone,
			Tolerance:    Tolerance,
			StoreWatched: d.Watched,
			Metrics:      d.Metrics,
			Log:          d.Log,
		}),
		leaving:  newLeavingRuns(),
		backoffs: newBackoffs(d.Board),
		count: pickCounters{
			limited:  c("limit_granted"),
			full:     c("limit_passed_over"),
			backoffs: c("rests"),
			refused:  d.Metrics.Map("backpressure_refused"),
		},
		full: make(map[blackboard.ServiceKey]map[ports.HostID]time.Time),
	}
}

// Run serves permits for the targets that this host counts for, until ctx ends.
func (p *Picker) Run(ctx context.Context) error { return p.quotas.Run(ctx) }

// Pick implements pick.Picker.
func (p *Picker) Pick(ctx context.Context, req pick.Request) (pick.Grant, outcome.Result) {
	if p.unconstrained(req.Service) {
		return p.deps.Picker.Pick(ctx, req)
	}
	excluded := req.Avoid
	for range maxTries {
		closedNow := p.unavailable(req.Service)
		req.Avoid = append(slices.Clone(excluded), closedNow...)
		g, refusal := p.deps.Picker.Pick(ctx, req)
		if g == nil {
			return nil, p.explain(req.Service, refusal, len(closedNow) > 0)
		}
		t := g.Target()
		// The wrapped picker may choose an excluded target if there is no other.
		noOther := slices.Contains(closedNow, t.ID) || slices.Contains(excluded, t.ID) && p.mustAvoid(req.Service, t)
		if noOther {
			releaseUnused(g)
			return nil, p.refuse(req.Service)
		}
		h := p.permit(ctx, req.Service, g)
		switch {
		case h == nil:
			releaseUnused(g)
		case p.mustAvoid(req.Service, t): // it may have reported so during permit
			releaseUnused(h)
			excluded = append(slices.Clone(excluded), t.ID)
		default:
			return h, outcome.Result{}
		}
	}
	return nil, p.refuse(req.Service)
}

// mustAvoid reports whether a target must get no requests because it is leaving or backed off.
func (p *Picker) mustAvoid(service blackboard.ServiceKey, t blackboard.Target) bool {
	if p.leaving.has(t.RunID()) {
		p.markLeaving(service, t)
		return true
	}
	return p.backoffs.has(service, t)
}

// unconstrained reports whether no limit, backoff or leaving notice applies to a service.
func (p *Picker) unconstrained(service blackboard.ServiceKey) bool {
	return !p.limits.any(service) && !p.backoffs.any(service) && !p.leaving.any()
}

// unavailable returns the targets of a service that get no requests now because their limits
// are used up or they are backed off.
func (p *Picker) unavailable(service blackboard.ServiceKey) []ports.HostID {
	backedOff, _ := p.backoffs.of(service)
	return append(backedOff, p.fullTargets(service)...)
}

func (p *Picker) markLeaving(service blackboard.ServiceKey, t blackboard.Target) {
	if p.deps.OnLeaving != nil {
		p.deps.OnLeaving(service, t)
	}
}

// releaseUnused releases a grant that was not used.
func releaseUnused(g pick.Grant) { g.Release(pick.Report{Class: pick.Canceled, Load: -1}) }

// permit returns the grant if its target takes one more request now, or nil.
//
// It asks the counting host also for targets whose limit is unknown to this host: other targets
// of the service are limited, and one unasked request from each of many hosts would exceed such
// a limit. If no host knows a limit, the request is permitted.
func (p *Picker) permit(ctx context.Context, service blackboard.ServiceKey, g pick.Grant) pick.Grant {
	if !p.limits.any(service) {
		return g
	}
	t := g.Target()
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	a := p.quotas.Acquire(ctx, policy.Request{
		Name:      string(t.RunID()),
		Zone:      countingZone(t.Zone, p.deps.Board.Members.Load()),
		Remaining: -1,
		Observed:  p.limits.Observed(string(t.RunID())),
	})
	limit, _ := p.limits.Limit(string(t.RunID()))
	switch {
	case a.Granted, !a.Known && limit.Rate == 0:
		p.count.limited.Add(1)
		return &heldGrant{Grant: g, picker: p, perSecond: limit.Rate}
	case a.Known:
		p.markFull(service, t.ID, a.Wait)
	default:
		p.markFull(service, t.ID, unknownLimitBackoff)
	}
	p.count.full.Add(1)
	return nil
}

// HandleSignals records the signals of a target; it is a pick.SignalHandler.
func (p *Picker) HandleSignals(service blackboard.ServiceKey, t blackboard.Target, s targetapi.Signals) {
	if s.Leaving && p.leaving.add(t.RunID()) {
		p.log.info("target leaving by its own answer", zap.String("target", string(t.RunID())), zap.String("service", service.Service))
		p.markLeaving(service, t)
	}
	if s.RetryAfter > 0 {
		p.count.backoffs.Add(1)
		if p.backoffs.add(service, t, s.RetryAfter) {
			p.log.info("target asks for rest", zap.String("target", string(t.RunID())), zap.String("service", service.Service),
				zap.Duration("rest", s.RetryAfter))
		}
	}
	if p.limits.RecordSignals(service, t, s) {
		p.quotas.NotifyOwner(string(t.RunID()), countingZone(t.Zone, p.deps.Board.Members.Load()))
	}
}

// BackedOff reports whether a target asked this host for a pause that has not ended.
func (p *Picker) BackedOff(service blackboard.ServiceKey, t blackboard.Target) bool {
	return p.backoffs.has(service, t)
}

// countingZone returns the availability zone whose hosts count the requests to a target: the
// target's own, or the first by name if that has no live host.
func countingZone(zone string, m *blackboard.Members) string {
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

// markFull excludes a target for a while.
func (p *Picker) markFull(service blackboard.ServiceKey, id ports.HostID, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.full[service] == nil {
		p.full[service] = make(map[ports.HostID]time.Time)
	}
	p.full[service][id] = time.Now().Add(wait)
}

// fullTargets returns the targets of a service whose limits are used up.
func (p *Picker) fullTargets(service blackboard.ServiceKey) (ids []ports.HostID) {
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

// explain replaces a no-target refusal by the reason why the excluded targets take no requests.
func (p *Picker) explain(service blackboard.ServiceKey, refusal outcome.Result, excluded bool) outcome.Result {
	if !excluded || refusal.Reason != outcome.ReasonNoTarget {
		return refusal
	}
	r := p.refuse(service)
	r.Detail = refusal.Detail
	return r
}

// refuse returns the refusal of a call if all targets that it could go to have used up their
// limits, are backed off or are leaving.
func (p *Picker) refuse(service blackboard.ServiceKey) outcome.Result {
	reason, first := p.earliest(service)
	p.count.refused.Add(string(reason), 1)
	r := outcome.Refuse(reason)
	if !first.IsZero() {
		r.RetryAfter = max(r.RetryAfter, time.Until(first))
	}
	return r
}

// earliest returns when the first excluded target of a service takes requests again, and why it
// takes none now; the zero time if there is none.
func (p *Picker) earliest(service blackboard.ServiceKey) (outcome.Reason, time.Time) {
	free := p.earliestPermit(service)
	_, backoffEnd := p.backoffs.of(service)
	switch {
	case !backoffEnd.IsZero() && (free.IsZero() || backoffEnd.Before(free)):
		return outcome.ReasonTargetRest, backoffEnd
	case !free.IsZero():
		return outcome.ReasonTargetLimit, free
	default:
		return outcome.ReasonNoTarget, time.Time{}
	}
}

// earliestPermit returns when the first target of a service that has used up its limit takes
// requests again.
func (p *Picker) earliestPermit(service blackboard.ServiceKey) (first time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, until := range p.full[service] {
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first
}

// heldGrant is a grant that counts towards its target's limit.
type heldGrant struct {
	pick.Grant
	picker    *Picker
	perSecond float64
}

// Release implements pick.Grant. A request that never left this host is returned to the limit.
func (h *heldGrant) Release(r pick.Report) {
	if h.perSecond > 0 && (r.Class == pick.NotSent || r.Class == pick.NoPath) {
		h.picker.quotas.Return(string(h.Target().RunID()))
	}
	h.Grant.Release(r)
}

// Basis implements pick.Explainer.
func (h *heldGrant) Basis() (b pick.Basis) {
	if g, ok := h.Grant.(pick.Explainer); ok {
		b = g.Basis()
	}
	b.Limit = h.perSecond
	return b
}
