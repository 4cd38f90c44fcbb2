// Package probes asks targets for their health where calls tell nothing: idle,
// ejected and cold targets of the services that this host coordinates. Each
// probe is made under a share of the workspace's budget.
package probes

import (
	"cmp"
	"context"
	"expvar"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/budget"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/platform"
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
	Probed(key blackboard.ServiceKey, id platform.HostID, ok bool, load int, latency time.Duration)
}

// Budget gives permission for probes; *budget.Shares does.
type Budget interface {
	Begin(workspace string) (*budget.Spend, bool)
}

// Result is the answer to a probe.
type Result struct {
	// OK is set if the target takes calls.
	OK bool
	// Load is what it reports, or -1.
	Load int
	// Leaving is set if it says that it is to stop.
	Leaving bool
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
	Leaving func(key blackboard.ServiceKey, id platform.HostID)
	Metrics *metrics.Set
	Log     *zap.Logger
}

const (
	// tickEvery is how often candidates are looked for.
	tickEvery = 50 * time.Millisecond
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
	target  platform.HostID
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
	due := c.due(now, c.d.Source.Stale(now))
	for _, cand := range due {
		path, ok := c.healthPath(cand.Service)
		if !ok || !c.reserve(cand.Service.Workspace) {
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
			c.probe(ctx, cand, path, spend)
		})
	}
}

// due returns the candidates that may be probed, the longest waiting first, and
// forgets targets that have not been candidates for a while.
func (c *Controller) due(now time.Time, all []Candidate) []Candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, at := range c.last {
		if now.Sub(at) > forgetAfter {
			delete(c.last, k)
		}
	}
	due := slices.DeleteFunc(slices.Clone(all), func(cand Candidate) bool {
		at, ok := c.last[keyOf(cand)]
		return ok && now.Sub(at) < targetEvery
	})
	slices.SortStableFunc(due, func(a, b Candidate) int {
		return cmp.Or(c.last[keyOf(a)].Compare(c.last[keyOf(b)]), cmp.Compare(a.Target.ID, b.Target.ID))
	})
	return due
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

// healthPath returns the path to probe, and false if probes are forbidden.
func (c *Controller) healthPath(key blackboard.ServiceKey) (string, bool) {
	ws, ok := c.d.Board.Config.Load().Workspace(key.Workspace)
	if !ok {
		return "", false
	}
	svc, ok := ws.Service(key.Service)
	if !ok || svc.HealthPath == "" {
		return "", false
	}
	return svc.HealthPath, true
}

// probe makes one probe within its deadline.
func (c *Controller) probe(ctx context.Context, cand Candidate, path string, spend *budget.Spend) {
	ctx, cancel := context.WithDeadline(ctx, spend.Deadline)
	defer cancel()
	if !spend.Live() {
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
