// Package placer chooses targets by probing them: of the targets that look best by
// what is remembered, several are probed for their load at the moment of the choice
// and the one that would answer first gets the call. The decisions are in
// policy/placing; here are the lock, the probes and the counters.
package placer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/internal/ctxtime"
	"github.com/cactusproxy/cactusproxy/internal/invariant"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/policy/placing"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/targetapi"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// probeTimeout ends a probe that gets no answer.
const probeTimeout = 250 * time.Millisecond

// Deps is what a Placer works with.
type Deps struct {
	Board    *blackboard.Board
	Upstream upstream.RoundTripper
	Contract *targetapi.Contract
	// Probes allows probes to targets.
	Probes *ProbeQuota
	// Regions are the regions of the availability zones.
	Regions Regions
	// Zone is this host's availability zone.
	Zone    string
	Seed    uint64
	Metrics *metrics.Set
	Log     *zap.Logger
	// OnLeaving, if set, is called when a target's own answer said that it is
	// leaving. It must not block.
	OnLeaving func(blackboard.ServiceKey, blackboard.Target)
	// Heard, if set, is told what targets say of themselves in answers to probes.
	Heard pick.Listener
}

// Placer is the pick.Picker of one daemon.
type Placer struct {
	deps  Deps
	count counters

	mu       sync.Mutex
	rng      *rand.Rand
	services map[blackboard.ServiceKey]*service
}

var _ pick.Picker = (*Placer)(nil)

// New returns a placer that knows no targets.
func New(d Deps) *Placer {
	return &Placer{
		deps:     d,
		count:    newCounters(d.Metrics),
		rng:      rand.New(rand.NewPCG(d.Seed, 5)),
		services: make(map[blackboard.ServiceKey]*service),
	}
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
			near:    placing.NewUsual(),
			far:     placing.NewUsual(),
			targets: make(map[ports.HostID]*target),
			subset:  placing.Subset{Seed: p.rng.Uint64()},
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
		probed := c.first()
		if len(c.all()) == 0 {
			return nil, p.refuse(s.whyNone(c), s.describe())
		}
		p.probe(ctx, s, probed)
		g, last := p.choose(ctx, s, req, probed, placing.MayProbeFar)
		if g == nil && last == "" {
			probed = c.all()
			next := placing.MayWait
			// More of the same guesses would be no better.
			if known := p.probe(ctx, s, probed); !req.Hedge && (!known || waits >= s.mayWait()) {
				next = placing.Last
			}
			g, last = p.choose(ctx, s, req, probed, next)
		}
		if g != nil {
			g.basis.Probed, g.basis.Waited = len(probed), time.Since(start)
			return g, outcome.Result{}
		}
		if last != "" {
			return nil, p.refuse(last, s.describe())
		}
		if req.Hedge {
			// The first attempt may still be answered: a second one that waits, or takes
			// a slot that others want, costs more than it gains.
			return nil, p.refuse(outcome.ReasonOverload, "no spare slot")
		}
		p.count.waits.Add(1)
		if !ctxtime.Sleep(ctx, placing.WaitPause) {
			return nil, p.refuse(outcome.ReasonQueueTimeout, s.describe())
		}
	}
}

func (p *Placer) candidates(s *service, req pick.Request, waits int) candidates {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.refresh(now) {
		p.deps.Probes.Update()
	}
	left := p.deps.Probes.Left(now)
	c := s.candidates(now, req, placing.Width(waits, left), placing.Blind(left))
	if len(c.all()) == 0 && s.widen(now) {
		c = s.candidates(now, req, placing.Width(waits, left), placing.Blind(left))
	}
	if s.evacuated > 0 {
		p.count.evacuated.Add(1)
	}
	if c.coldSpent > 0 {
		p.count.coldSpent.Add(1)
	}
	return c
}

// choose takes the best target, or returns why there is none; neither means that
// it is better to do what may come next.
func (p *Placer) choose(ctx context.Context, s *service, req pick.Request, list []ranked, next placing.Next) (*held, outcome.Reason) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	t, cost := s.best(now, placing.Way(req.Bytes), list)
	if t == nil {
		return nil, overloadIf(next == placing.Last)
	}
	takes := t.figures.Time(now)
	answer := time.Duration(takes * float64(s.work))
	worthwhile := req.Objective == 0 || placing.Worthwhile(&t.figures, now, answer, req.Arrived.Add(req.Objective).Sub(now))
	if at, ok := ctx.Deadline(); ok && answer > at.Sub(now) {
		worthwhile = false
	}
	switch placing.Decide(cost, worthwhile, next) {
	case placing.Refuse:
		return nil, outcome.ReasonOverload
	case placing.GoOn:
		return nil, ""
	}
	if t.info.Evacuated {
		invariant.Check(false, invariant.EvacuatedIdle, "%s", t.info.RunID())
	}
	basis := pick.Basis{Cost: cost, Age: t.figures.Age(now), Silent: s.isSilent()}
	if s.limited(now, t) {
		s.quotaOf(t).Take(now)
		p.count.coldCalls.Add(1)
		basis.Cold = t.cold.Basis(now).String()
	}
	t.cold.Use()
	t.figures.InFlight++
	return &held{placer: p, service: s, target: t, info: t.info, takes: takes, basis: basis}, ""
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

// held is a grant in the caller's hands.
type held struct {
	placer  *Placer
	service *service
	target  *target
	info    blackboard.Target
	// takes is how long the answer was reckoned to take, in usual work times.
	takes float64
	basis pick.Basis
	once  sync.Once
}

// Basis implements pick.Explained.
func (h *held) Basis() pick.Basis { return h.basis }

// Target implements pick.Grant.
func (h *held) Target() blackboard.Target { return h.info }

// Release implements pick.Grant.
func (h *held) Release(r pick.Report) {
	h.once.Do(func() { h.placer.end(h, r) })
}

// tell logs what this host has come to believe of a target, if anything.
func (p *Placer) tell(news string, s *service, run ports.RunID) {
	if news != "" {
		p.deps.Log.Info(news, zap.String("target", string(run)), zap.String("service", s.key.Service))
	}
}

// learn takes in what the end of a call shows of its target, and returns what that changed
// in what this host believes. The service's lock is held.
func (p *Placer) learn(now time.Time, h *held, r pick.Report) (news string) {
	s := h.service
	if r.Work.Slots > 0 {
		s.told(now, h.target, r.Work)
	}
	news = h.target.end(now, r)
	switch r.Class {
	case pick.OK:
		s.learn(r.Latency, h.takes)
		s.record(now, h.target, false)
	case pick.Failed, pick.TimedOut, pick.BrokeOff, pick.Foreign:
		if s.record(now, h.target, true) {
			p.count.ejected.Add(1)
			news = newsEjected
		}
	}
	return news
}

// end takes in how a call ended.
func (p *Placer) end(h *held, r pick.Report) {
	now := time.Now()
	s := h.service
	s.mu.Lock()
	news := ""
	if s.holds(h.target) {
		news = p.learn(now, h, r)
	} else {
		p.count.late.Add(1)
	}
	s.mu.Unlock()
	p.tell(news, s, h.info.RunID())
	leaving := r.LeavingHint || r.Class == pick.Leaving
	if leaving && p.deps.OnLeaving != nil {
		p.deps.OnLeaving(s.key, h.info)
	}
}
