// Package probes asks targets for their health where calls tell nothing: idle,
// ejected and cold targets of the services that this host coordinates. Each
// probe is made under a share of the workspace's budget.
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
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/targetapi"
)

// Candidate is a target worth a probe.
type Candidate struct {
	Service blackboard.ServiceKey
	Target  blackboard.Target
}

// Source says what to probe and takes the results; the code that chooses targets
// implements it.
type Source interface {
	// Stale returns the targets of which this host's calls tell nothing, of
	// services that it coordinates.
	Stale(now time.Time) []Candidate
	// Probed takes a result; a negative load means that none was reported.
	Probed(key blackboard.ServiceKey, id ports.HostID, ok bool, load int, latency time.Duration)
}

// Budget gives permission for probes; *budget.Shares does.
type Budget interface {
	Begin(workspace string) (*budget.Permit, bool)
}

// Result is the answer to a probe.
type Result struct {
	// OK is set if the target takes calls.
	OK bool
	// Load is what it reports, or -1.
	Load int
	// Leaving is set if it says that it is to stop.
	Leaving bool
	// Limit is how many requests it takes, Rest how long it wants none from this host.
	Limit targetapi.Limit
	Rest  time.Duration
}

// Prober makes one probe, sending at most one request, and none once ctx has
// ended.
type Prober func(ctx context.Context, t blackboard.Target, path string) Result

// Deps is what a Controller works with.
type Deps struct {
	Board  *blackboard.Board
	Source Source
	Budget Budget
	Prober Prober
	// Leaving is told of a target that says it is to stop; nil tells nobody.
	Leaving func(key blackboard.ServiceKey, id ports.HostID)
	// Heard, if set, is told what targets say of themselves.
	Heard pick.SignalHandler
	// Resting, if set, reports whether a target wants nothing from this host now.
	Resting func(key blackboard.ServiceKey, t blackboard.Target) bool
	Metrics *metrics.Set
	Log     *zap.Logger
}

const (
	// tickEvery is how often a probe may begin for each workspace.
	tickEvery = 50 * time.Millisecond
	// lookEvery is how often candidates are looked for.
	lookEvery = 500 * time.Millisecond
	// targetEvery is the least time between two probes of one target.
	targetEvery = time.Second
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

// Controller probes. See Run.
type Controller struct {
	d     Deps
	count *expvar.Map
	slots slotTime

	// candidates were found when the controller last looked; Run's alone.
	candidates []Candidate
	looked     time.Time

	mu sync.Mutex
	// last is when each target was last probed.
	last map[probeKey]time.Time
	// busy are the workspaces with a probe under way.
	busy map[string]bool
	wg   sync.WaitGroup
}

// probeKey names a target of a service.
type probeKey struct {
	service blackboard.ServiceKey
	target  ports.HostID
}

// New returns a controller that does nothing until Run.
func New(d Deps) *Controller {
	c := &Controller{
		d:     d,
		count: d.Metrics.Map("probes"),
		last:  make(map[probeKey]time.Time),
		busy:  make(map[string]bool),
	}
	d.Metrics.Func("probes_per_1000_calls", c.perThousandCalls)
	d.Metrics.Func("probe_time_share", c.timeShare)
	return c
}

// Run probes until ctx ends and the last probe is over.
func (c *Controller) Run(ctx context.Context) error {
	defer c.wg.Wait()
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			now := time.Now()
			c.slots.tick(now, c.d.Board)
			c.round(ctx, now)
		}
	}
}

// round begins at most one probe for each workspace that has none under way:
// that of the target that was probed the longest ago.
func (c *Controller) round(ctx context.Context, now time.Time) {
	if now.Sub(c.looked) >= lookEvery {
		c.looked = now
		c.candidates = c.d.Source.Stale(now)
		c.forget(now)
	}
	for _, next := range c.next(now) {
		cand := next.Candidate
		if !c.reserve(cand.Service.Workspace) {
			continue
		}
		spend, ok := c.d.Budget.Begin(cand.Service.Workspace)
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

// waiting is a candidate with when it was last probed and where.
type waiting struct {
	Candidate
	last time.Time
	path string
}

// next returns for each workspace the candidate that may be probed and waits the
// longest, in the order of the workspaces' names. It looks at each candidate
// once: with many thousand idle targets, sorting them all at each tick took a
// tenth of a core.
func (c *Controller) next(now time.Time) []waiting {
	c.mu.Lock()
	defer c.mu.Unlock()
	paths := make(map[blackboard.ServiceKey]string)
	first := make(map[string]waiting)
	for _, cand := range c.candidates {
		at, probed := c.last[keyOf(cand)]
		if probed && now.Sub(at) < targetEvery {
			continue
		}
		if c.d.Resting != nil && c.d.Resting(cand.Service, cand.Target) {
			continue
		}
		path, known := paths[cand.Service]
		if !known {
			path = c.healthPath(cand.Service)
			paths[cand.Service] = path
		}
		w := waiting{Candidate: cand, last: at, path: path}
		best, found := first[cand.Service.Workspace]
		if path != "" && (!found || w.before(best)) {
			first[cand.Service.Workspace] = w
		}
	}
	names := slices.Sorted(maps.Keys(first))
	out := make([]waiting, len(names))
	for i, name := range names {
		out[i] = first[name]
	}
	return out
}

func (w waiting) before(o waiting) bool {
	return cmp.Or(w.last.Compare(o.last), cmp.Compare(w.Target.ID, o.Target.ID)) < 0
}

// forget drops targets that were not probed for a while.
func (c *Controller) forget(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, at := range c.last {
		if now.Sub(at) > forgetAfter {
			delete(c.last, k)
		}
	}
}

// forgetAfter is when it no longer matters when a target was last probed.
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
	if c.busy[workspace] {
		return false
	}
	c.busy[workspace] = true
	return true
}

func (c *Controller) unreserve(workspace string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.busy, workspace)
}

// healthPath returns the path to probe, or "" if probes are forbidden.
func (c *Controller) healthPath(key blackboard.ServiceKey) string {
	ws, ok := c.d.Board.Config.Load().Workspace(key.Workspace)
	if !ok {
		return ""
	}
	svc, ok := ws.Service(key.Service)
	if !ok {
		return ""
	}
	return svc.HealthPath
}

// probe makes one probe within its deadline.
func (c *Controller) probe(ctx context.Context, cand Candidate, path string, spend *budget.Permit) {
	ctx, cancel := context.WithDeadline(ctx, spend.Deadline)
	defer cancel()
	if !spend.Valid() {
		spend.Done(0)
		c.count.Add(countNotSent, 1)
		return
	}
	start := time.Now()
	res := c.d.Prober(ctx, cand.Target, path)
	took := time.Since(start)
	spend.Done(took)
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
	if c.d.Heard != nil && (res.OK || res.Limit.Named || res.Rest > 0) {
		c.d.Heard(cand.Service, cand.Target, targetapi.Signals{Leaving: res.Leaving, Limit: res.Limit, RetryAfter: res.Rest})
	}
	if res.Leaving {
		c.count.Add(countLeaving, 1)
		if c.d.Leaving != nil {
			c.d.Leaving(cand.Service, cand.Target.ID)
		}
	}
	c.d.Log.Debug("probed",
		zap.Stringer("service", cand.Service),
		zap.String("target", string(cand.Target.ID)),
		zap.Bool("ok", res.OK),
		zap.Int("load", res.Load),
		zap.Duration("took", took))
	c.d.Source.Probed(cand.Service, cand.Target.ID, res.OK, res.Load, took)
}
