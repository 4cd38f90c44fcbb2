// Package placer chooses the target of each attempt. For each choice it takes the few targets
// with the lowest estimated cost, probes those whose load report is not fresh, and picks the
// cheapest by the answers. Cost is the estimated time to the answer plus the price of sending
// bytes to another availability zone.
//
// The decision rules are in package policy/placement. This package holds the state per service
// and target, the locks, the probes and their quota, the backoff and ejection of failing
// targets, and the metrics.
package placer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/internal/ctxtime"
	"github.com/cactusproxy/cactusproxy/internal/invariant"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/policy/coldstart"
	"github.com/cactusproxy/cactusproxy/policy/placement"
	"github.com/cactusproxy/cactusproxy/policy/suspicion"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/targetapi"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// probeTimeout is the time after which an unanswered probe counts as failed.
const probeTimeout = 250 * time.Millisecond

// Deps are the dependencies of a Placer.
type Deps struct {
	Board    *blackboard.Board
	Upstream upstream.RoundTripper
	Contract *targetapi.Contract
	// Probes limits the probes that this host sends.
	Probes *ProbeQuota
	// Regions maps availability zones to their regions.
	Regions Regions
	// Zone is this host's availability zone.
	Zone    string
	Seed    uint64
	Metrics *metrics.Set
	Log     *zap.Logger
	// OnLeaving, if set, is called when a response shows that its target is leaving. It must
	// not block.
	OnLeaving func(blackboard.ServiceKey, blackboard.Target)
	// OnSignals, if set, is called with the signals in each probe response. It must not block.
	OnSignals pick.SignalHandler
	// OnAnswered, if set, is called when a target answers a probe. It must not block.
	OnAnswered func(suspicion.Answer)
}

// Placer is a pick.Picker that chooses targets by probing. It is safe for concurrent use.
type Placer struct {
	deps  Deps
	count counters
	// coldLines limits the log lines about cold targets.
	coldLines *rate.Limiter

	mu       sync.Mutex
	rng      *rand.Rand
	services map[blackboard.ServiceKey]*service

	// hosts are the hosts that share the calls to cold targets. hostsMu is locked after a service.
	hostsMu sync.Mutex
	hosts   *coldstart.Hosts
}

var _ pick.Picker = (*Placer)(nil)

// New returns a Placer. It reads targets, routes and members from the board on each choice.
func New(d Deps) *Placer {
	p := &Placer{
		deps:     d,
		count:    newCounters(d.Metrics),
		rng:      rand.New(rand.NewPCG(d.Seed, 5)),
		services: make(map[blackboard.ServiceKey]*service),
		hosts:    coldstart.NewHosts(time.Now()),

		coldLines: rate.NewLimiter(coldLinesPerSecond, coldLineBurst),
	}
	p.publishReach(d.Metrics)
	return p
}

func (p *Placer) service(key blackboard.ServiceKey) *service {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[key]
	if s == nil {
		s = &service{
			key:     key,
			zone:    p.deps.Zone,
			board:   p.deps.Board,
			regions: p.deps.Regions,
			rng:     rand.New(rand.NewPCG(p.rng.Uint64(), 6)),
			near:    placement.NewBaseline(),
			far:     placement.NewBaseline(),
			targets: make(map[ports.HostID]*target),
			subset:  placement.Subset{Seed: p.rng.Uint64()},

			keptQuotas: make(map[ports.RunID]coldQuota),
		}
		p.services[key] = s
	}
	return s
}

// Pick implements pick.Picker.
func (p *Placer) Pick(ctx context.Context, req pick.Request) (pick.Grant, outcome.Result) {
	s := p.service(req.Service)
	start := time.Now()
	for waits := 0; ; waits++ {
		c := p.candidates(s, req, waits)
		probed := c.sameZone()
		if len(c.all()) == 0 {
			res := p.refuse(s.refusalReason(c), s.describe())
			res.TargetsBusy = c.busy > 0
			return nil, res
		}
		p.probe(ctx, s, probed)
		g, last, noSlot := p.choose(ctx, s, req, probed, placement.ProbeOtherZones)
		if g == nil && last == "" {
			probed = c.all()
			next := placement.WaitForBetter
			// Another probe round is worthwhile only if this one brought current load reports.
			if known := p.probe(ctx, s, probed); !req.Hedge && (!known || req.Spare || waits >= s.maxWaits()) {
				next = placement.NoFallback
			}
			g, last, noSlot = p.choose(ctx, s, req, probed, next)
		}
		for g == nil && last != "" && !req.Hedge && p.awaitReport(ctx, s, probed) {
			g, last, noSlot = p.choose(ctx, s, req, probed, placement.NoFallback)
		}
		if g != nil {
			g.basis.Probed, g.basis.Waited = len(probed), time.Since(start)
			return g, outcome.Result{}
		}
		if last != "" {
			refusal := p.refuse(last, s.describe())
			refusal.NoSlot = noSlot
			return nil, refusal
		}
		if req.Hedge {
			// The first attempt may still succeed. A hedged attempt that waits, or takes a slot
			// that other calls need, costs more than it gains.
			return nil, p.refuse(outcome.ReasonOverload, "no spare slot")
		}
		p.count.waits.Add(1)
		if !ctxtime.Sleep(ctx, placement.WaitInterval) {
			return nil, p.refuse(outcome.ReasonQueueTimeout, s.describe())
		}
	}
}

// hostsView returns the list of hosts that share the calls to cold targets.
func (p *Placer) hostsView(now time.Time) *coldstart.View {
	p.hostsMu.Lock()
	defer p.hostsMu.Unlock()
	return p.hosts.View(now, p.deps.Board.Members.Load())
}

func (p *Placer) candidates(s *service, req pick.Request, waits int) candidates {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.view = p.hostsView(now)
	if s.refresh(now) {
		p.deps.Probes.Update()
	}
	remaining := p.deps.Probes.Remaining(now)
	c := s.candidates(now, req, placement.ProbeCount(waits, remaining), placement.ProbesExhausted(remaining))
	if len(c.all()) == 0 && s.widen(now) {
		c = s.candidates(now, req, placement.ProbeCount(waits, remaining), placement.ProbesExhausted(remaining))
	}
	if s.evacuated > 0 {
		p.count.evacuated.Add(1)
	}
	if c.coldOverQuota > 0 {
		p.count.coldOverQuota.Add(1)
	}
	return c
}

// choose grants the best target of a list. It returns a reason if the call is refused, and
// neither a grant nor a reason if the caller should first try what next allows. noSlot reports
// whether the best target has no slot free for the call.
func (p *Placer) choose(ctx context.Context, s *service, req pick.Request, list []ranked, next placement.Fallback) (_ *heldGrant, _ outcome.Reason, noSlot bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	transfer := placement.TransferCost(req.Bytes)
	t, cost := s.best(now, transfer, list)
	if t == nil {
		return nil, overloadIf(next == placement.NoFallback), true
	}
	e := s.estimate(ctx, now, req, t)
	if !e.worthwhile && !req.Spare {
		if other, otherCost := s.best(now, transfer, s.worthwhile(ctx, now, req, list)); other != nil {
			t, cost, e = other, otherCost, s.estimate(ctx, now, req, other)
		}
	}
	switch placement.Decide(cost, e.worthwhile, next) {
	case placement.Refuse:
		return nil, outcome.ReasonOverload, e.noSlot
	case placement.Continue:
		return nil, "", e.noSlot
	}
	if t.info.Evacuated {
		invariant.Check(false, invariant.EvacuatedIdle, "%s", t.info.RunID())
	}
	basis := pick.Basis{Cost: cost, Age: t.figures.Age(now), LoadUnreported: s.reportsNoLoad()}
	if s.admitCold(now, t, &basis) {
		p.count.coldCalls.Add(1)
		p.count.coldCallsBy.Add(basis.Cold, 1)
	}
	t.cold.MarkUsed()
	t.figures.InFlight++
	return &heldGrant{placer: p, service: s, target: t, info: t.info, expectedWork: e.work, basis: basis}, "", false
}

func overloadIf(refused bool) outcome.Reason {
	if refused {
		return outcome.ReasonOverload
	}
	return ""
}

func (p *Placer) refuse(r outcome.Reason, why string) outcome.Result {
	p.count.refused.Add(string(r), 1)
	res := outcome.Refuse(r)
	res.Detail = why
	return res
}

// heldGrant is a grant that was handed to a caller. It implements pick.Grant and
// pick.Explainer.
type heldGrant struct {
	placer  *Placer
	service *service
	target  *target
	info    blackboard.Target
	// expectedWork is the estimated duration of the call at the time of the choice, in units of
	// the service's usual work time.
	expectedWork float64
	basis        pick.Basis
	once         sync.Once
}

// Basis implements pick.Explainer.
func (h *heldGrant) Basis() pick.Basis { return h.basis }

// Target implements pick.Grant.
func (h *heldGrant) Target() blackboard.Target { return h.info }

// Release implements pick.Grant.
func (h *heldGrant) Release(r pick.Report) {
	h.once.Do(func() { h.placer.finish(h, r) })
}

// logChange logs a change of a target's state as seen by this host; an empty message is not
// logged.
func (p *Placer) logChange(change string, s *service, run ports.RunID) {
	if change == "" {
		return
	}
	if change != msgCold {
		p.deps.Log.Info(change, zap.String("target", string(run)), zap.String("service", s.key.Service))
	}
	p.logReach(s, s.noteReach(time.Now(), change))
}

// recordResult updates the target and its service with the result of an attempt. It returns the
// log message of a resulting state change, or "". The caller holds the service's lock.
func (p *Placer) recordResult(now time.Time, h *heldGrant, r pick.Report) (change string) {
	s := h.service
	if r.TargetLoad.Slots > 0 {
		s.recordLoad(now, h.target, r.TargetLoad)
	}
	change = h.target.recordEnd(now, r)
	switch r.Class {
	case pick.OK:
		s.recordWorkTime(r.Latency, h.expectedWork)
		s.recordOutcome(now, h.target, false)
	case pick.Failed, pick.TimedOut, pick.BrokeOff, pick.Foreign:
		if s.recordOutcome(now, h.target, true) {
			p.count.ejected.Add(1)
			change = msgEjected
		}
	}
	return change
}

// finish records the result of an attempt and reports a leaving target. Results of targets that
// were delisted or restarted meanwhile are only counted.
func (p *Placer) finish(h *heldGrant, r pick.Report) {
	now := time.Now()
	s := h.service
	s.mu.Lock()
	change := ""
	if s.isCurrent(h.target) {
		change = p.recordResult(now, h, r)
	} else {
		p.count.lateResults.Add(1)
	}
	s.mu.Unlock()
	p.logChange(change, s, h.info.RunID())
	leaving := r.LeavingHint || r.Class == pick.Leaving
	if leaving && p.deps.OnLeaving != nil {
		p.deps.OnLeaving(s.key, h.info)
	}
}
