// Package probes sends active health checks to targets whose health can't be inferred
// from calls: idle, ejected and cold targets of the services that this host coordinates.
// Every probe is charged to this host's share of the workspace's probe budget. At most
// one probe per workspace runs at a time, and the target that was probed least recently
// goes first.
package probes

import (
	"cmp"
	"context"
	"expvar"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/budget"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/policy/suspicion"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/targetapi"
)

// Candidate is a target that should be probed.
type Candidate struct {
	Service blackboard.ServiceKey
	Target  blackboard.Target
}

// Source supplies the targets to probe and receives the results. It is implemented by the
// code that chooses targets for calls.
type Source interface {
	// Stale returns the targets of the services that this host coordinates for which
	// its calls give no current information.
	Stale(now time.Time) []Candidate
	// Probed reports a result; a negative load means that the target reported none.
	Probed(key blackboard.ServiceKey, id ports.HostID, ok bool, load int, latency time.Duration)
}

// Budget grants permission for probes. *budget.Shares implements it.
type Budget interface {
	Begin(workspace string) (*budget.Permit, bool)
}

// Result is the result of a probe.
type Result struct {
	// OK is set if the target takes calls.
	OK bool
	// Load is the number of running requests that the target reports, or -1.
	Load int
	// Leaving is set if the target reports that it is shutting down.
	Leaving bool
	// Limit is the concurrency limit that the target reports, RetryAfter the time
	// for which it asks for no requests from this host.
	Limit      targetapi.Limit
	RetryAfter time.Duration
}

// Prober makes one probe. It sends at most one request, and none once ctx has ended.
type Prober func(ctx context.Context, t blackboard.Target, path string) Result

// Deps holds the dependencies of a Controller.
type Deps struct {
	Board  *blackboard.Board
	Source Source
	Budget Budget
	Prober Prober
	// Leaving, if set, is called for a target that reports that it is shutting down.
	Leaving func(key blackboard.ServiceKey, id ports.HostID)
	// OnSignals, if set, receives the signals that targets send with their responses.
	OnSignals pick.SignalHandler
	// OnAnswered, if set, is called when a target answers a probe.
	OnAnswered func(suspicion.Answer)
	// BackedOff, if set, reports whether a target has asked for no requests from this
	// host for the time being. Such a target is not probed.
	BackedOff func(key blackboard.ServiceKey, t blackboard.Target) bool
	Metrics   *metrics.Set
	Log       *zap.Logger
}

const (
	// tickInterval is the minimum interval between the starts of two probes of a
	// workspace.
	tickInterval = 50 * time.Millisecond
	// lookupInterval is the interval at which the candidates are updated.
	lookupInterval = 500 * time.Millisecond
	// minTargetInterval is the minimum interval between two probes of one target.
	minTargetInterval = time.Second
)

// Names of the counters in the metrics map "probes".
const (
	countSent    = "sent"
	countOK      = "ok"
	countFailed  = "failed"
	countLeaving = "leaving"
	countNotSent = "not_sent"
	countMicros  = "time_us"
)

// Controller schedules and runs the probes of one host, see Run.
type Controller struct {
	deps  Deps
	count *expvar.Map
	slots slotTime

	// candidates are those found at time lastLookup. Both are used by Run only.
	candidates []Candidate
	lastLookup time.Time

	mu sync.Mutex
	// last has the time of the last probe of each target.
	last map[probeKey]time.Time
	// inProgress has the workspaces with a probe in progress.
	inProgress map[string]bool
	wg         sync.WaitGroup
}

// probeKey identifies a target of a service.
type probeKey struct {
	service blackboard.ServiceKey
	target  ports.HostID
}

// New returns a controller, which probes nothing until Run is called.
func New(deps Deps) *Controller {
	c := &Controller{
		deps:       deps,
		count:      deps.Metrics.Map("probes"),
		last:       make(map[probeKey]time.Time),
		inProgress: make(map[string]bool),
	}
	deps.Metrics.Func("probes_per_1000_calls", c.perThousandCalls)
	deps.Metrics.Func("probe_time_share", c.timeShare)
	return c
}

// Run probes targets until ctx ends. It returns after the last probe has ended.
func (c *Controller) Run(ctx context.Context) error {
	defer c.wg.Wait()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			now := time.Now()
			c.slots.tick(now, c.deps.Board)
			c.round(ctx, now)
		}
	}
}

// round starts at most one probe for each workspace that has none in progress, of the
// target that was probed least recently.
func (c *Controller) round(ctx context.Context, now time.Time) {
	if now.Sub(c.lastLookup) >= lookupInterval {
		c.lastLookup = now
		c.candidates = c.deps.Source.Stale(now)
		c.forget(now)
	}
	for _, next := range c.next(now) {
		cand := next.Candidate
		if !c.reserve(cand.Service.Workspace) {
			continue
		}
		spend, ok := c.deps.Budget.Begin(cand.Service.Workspace)
		if !ok {
			c.unreserve(cand.Service.Workspace)
			continue
		}
		c.setLast(cand, now)
		c.wg.Go(func() {
			defer c.unreserve(cand.Service.Workspace)
			c.probe(ctx, cand, next.path, spend)
		})
	}
}

// dueProbe is a candidate with the time of its last probe and its health path.
type dueProbe struct {
	Candidate
	last time.Time
	path string
}

// next returns, for each workspace, the candidate that may be probed and was probed least
// recently, sorted by the name of the workspace. It makes a single pass over the
// candidates: with many thousand idle targets, sorting them at each tick took a tenth of a
// core.
func (c *Controller) next(now time.Time) []dueProbe {
	c.mu.Lock()
	defer c.mu.Unlock()
	paths := make(map[blackboard.ServiceKey]string)
	first := make(map[string]dueProbe)
	for _, cand := range c.candidates {
		at, probed := c.last[keyOf(cand)]
		if probed && now.Sub(at) < minTargetInterval {
			continue
		}
		if c.deps.BackedOff != nil && c.deps.BackedOff(cand.Service, cand.Target) {
			continue
		}
		path, known := paths[cand.Service]
		if !known {
			path = c.healthPath(cand.Service)
			paths[cand.Service] = path
		}
		w := dueProbe{Candidate: cand, last: at, path: path}
		best, found := first[cand.Service.Workspace]
		if path != "" && (!found || w.before(best)) {
			first[cand.Service.Workspace] = w
		}
	}
	names := slices.Sorted(maps.Keys(first))
	out := make([]dueProbe, len(names))
	for i, name := range names {
		out[i] = first[name]
	}
	return out
}

func (w dueProbe) before(o dueProbe) bool {
	return cmp.Or(w.last.Compare(o.last), cmp.Compare(w.Target.ID, o.Target.ID)) < 0
}

// forget drops the times of targets that have not been probed for forgetAfter.
func (c *Controller) forget(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, at := range c.last {
		if now.Sub(at) > forgetAfter {
			delete(c.last, k)
		}
	}
}

// forgetAfter is the age at which the time of a probe no longer matters.
const forgetAfter = 10 * time.Minute

func keyOf(c Candidate) probeKey { return probeKey{service: c.Service, target: c.Target.ID} }

func (c *Controller) setLast(cand Candidate, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last[keyOf(cand)] = now
}

func (c *Controller) reserve(workspace string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inProgress[workspace] {
		return false
	}
	c.inProgress[workspace] = true
	return true
}

func (c *Controller) unreserve(workspace string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inProgress, workspace)
}

// healthPath returns the path to probe, or "" if the service has none and so must not be
// probed.
func (c *Controller) healthPath(key blackboard.ServiceKey) string {
	ws, ok := c.deps.Board.Config.Load().Workspace(key.Workspace)
	if !ok {
		return ""
	}
	svc, ok := ws.Service(key.Service)
	if !ok {
		return ""
	}
	return svc.HealthPath
}

// probe makes one probe within the deadline of spend, and reports the result.
func (c *Controller) probe(ctx context.Context, cand Candidate, path string, spend *budget.Permit) {
	ctx, cancel := context.WithDeadline(ctx, spend.Deadline)
	defer cancel()
	if !spend.Valid() {
		spend.Done(0)
		c.count.Add(countNotSent, 1)
		return
	}
	start := time.Now()
	res := c.deps.Prober(ctx, cand.Target, path)
	took := time.Since(start)
	spend.Done(took)
	if res.OK && c.deps.OnAnswered != nil {
		c.deps.OnAnswered(suspicion.Answer{Target: cand.Target.RunID(), Sent: start})
	}
	c.report(cand, res, took)
}

func (c *Controller) report(cand Candidate, res Result, took time.Duration) {
	c.count.Add(countSent, 1)
	c.count.Add(countMicros, took.Microseconds())
	if res.OK {
		c.count.Add(countOK, 1)
	} else {
		c.count.Add(countFailed, 1)
	}
	if c.deps.OnSignals != nil && (res.OK || res.Limit.Named || res.RetryAfter > 0) {
		c.deps.OnSignals(cand.Service, cand.Target, targetapi.Signals{Leaving: res.Leaving, Limit: res.Limit, RetryAfter: res.RetryAfter})
	}
	if res.Leaving {
		c.count.Add(countLeaving, 1)
		if c.deps.Leaving != nil {
			c.deps.Leaving(cand.Service, cand.Target.ID)
		}
	}
	c.deps.Log.Debug("probed",
		zap.Stringer("service", cand.Service),
		zap.String("target", string(cand.Target.ID)),
		zap.Bool("ok", res.OK),
		zap.Int("load", res.Load),
		zap.Duration("took", took))
	c.deps.Source.Probed(cand.Service, cand.Target.ID, res.OK, res.Load, took)
}
