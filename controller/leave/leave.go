// Package leave implements the graceful shutdown of a host.
//
// Controller.Stop first reports the host as not ready and leaving, and hands over its
// roles. For a drain period it still takes calls and answers them with "Connection: close",
// so that callers close their connections themselves. Then it stops listening, waits for
// all calls in flight, however long they take, and returns the host's shares. Other
// packages take part through hooks, which run in the order of their Stage.
package leave

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/internal/ctxtime"
	"github.com/cactusproxy/cactusproxy/internal/invariant"
	"github.com/cactusproxy/cactusproxy/metrics"
)

const (
	// DefaultDrainPeriod is the time given to callers and the platform's load
	// balancer to notice that this host is leaving.
	DefaultDrainPeriod = 5 * time.Second
	// DefaultHookTimeout bounds each hook of the stages other than Close.
	DefaultHookTimeout = 3 * time.Second

	pollInterval = 20 * time.Millisecond
	logInterval  = 10 * time.Second
)

// Options of a Controller.
type Options struct {
	Board *blackboard.Board
	// InFlight returns the number of callers' calls in flight on this host.
	InFlight func() int
	Hooks    []Hook
	// DrainPeriod is how long calls are still accepted, and answered with
	// "Connection: close"; 0 means DefaultDrainPeriod. Closing idle connections at
	// once would reset a call that a caller is just sending.
	DrainPeriod time.Duration
	// Limit is the operator's limit on the duration of the whole stop; 0 means none.
	Limit time.Duration
	// HookTimeout bounds each hook of the stages other than Close; 0 means
	// DefaultHookTimeout.
	HookTimeout time.Duration
	Log         *zap.Logger
	Metrics     *metrics.Set
}

// Controller runs the graceful shutdown of a host, once.
type Controller struct {
	opts        Options
	requested   chan struct{}
	requestOnce sync.Once
	started     atomic.Bool
	done        chan struct{}
	report      Report
}

// New returns a controller for a host that is not leaving yet.
func New(opts Options) *Controller {
	if opts.DrainPeriod == 0 {
		opts.DrainPeriod = DefaultDrainPeriod
	}
	if opts.HookTimeout == 0 {
		opts.HookTimeout = DefaultHookTimeout
	}
	if opts.Log == nil {
		opts.Log = zap.NewNop()
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.New()
	}
	return &Controller{opts: opts, requested: make(chan struct{}), done: make(chan struct{})}
}

// Run watches the view of the cluster until ctx ends, and closes Requested once it shows
// this host as leaving, as the platform's list may mark it.
func (c *Controller) Run(ctx context.Context) error {
	return c.opts.Board.Members.Watch(ctx, func(m *blackboard.Members) {
		self, ok := m.Find(m.Self)
		if ok && self.State == blackboard.MemberLeaving {
			c.requestOnce.Do(func() { close(c.requested) })
		}
	})
}

// Requested returns a channel that is closed when the platform asks this host to leave.
// The daemon then calls Stop, as it does on SIGTERM.
func (c *Controller) Requested() <-chan struct{} { return c.requested }

// Done returns a channel that is closed at the end of Stop.
func (c *Controller) Done() <-chan struct{} { return c.done }

// Stop shuts the host down and returns when the process may exit. Further calls of Stop
// wait for the first one and return its report. If ctx ends, calls still in flight are cut
// off, as they are at the operator's limit.
func (c *Controller) Stop(ctx context.Context) Report {
	if !c.started.Swap(true) {
		c.report = c.leave(ctx)
		close(c.done)
	}
	<-c.done
	return c.report
}

func (c *Controller) leave(ctx context.Context) Report {
	start := time.Now()
	var rep Report
	limited, cancel := c.limit(ctx)
	defer cancel()
	c.opts.Board.Status.Update(func(s blackboard.Status) (blackboard.Status, bool) {
		s.Leaving = true
		return s, true
	})
	c.opts.Log.Info("leaving", zap.Int("in_flight", c.opts.InFlight()),
		zap.Duration("drain_period", c.opts.DrainPeriod), zap.Duration("limit", c.opts.Limit))

	c.runStage(limited, Announce, &rep)
	c.runStage(limited, Handover, &rep)
	ctxtime.Sleep(limited, c.opts.DrainPeriod)
	c.runStage(limited, Close, &rep)
	c.awaitCalls(limited, start, &rep)
	c.runStage(context.WithoutCancel(ctx), Release, &rep)

	left := c.opts.InFlight()
	invariant.Check(left == 0 || rep.Cut, invariant.GracefulStop, "%d calls in flight at the end of a stop", left)
	c.opts.Log.Info("left", zap.Duration("took", time.Since(start)), zap.Bool("cut", rep.Cut), zap.Int("cut_off", rep.CallsCut))
	return rep
}

func (c *Controller) limit(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.opts.Limit == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.opts.Limit)
}

// runStage runs the hooks of a stage in order. A hook that fails or hangs does not prevent
// the others from running: an unavailable store must not keep roles on this host.
func (c *Controller) runStage(ctx context.Context, s Stage, rep *Report) {
	for _, h := range c.opts.Hooks {
		if h.Stage != s {
			continue
		}
		if err := c.runHook(ctx, h); err != nil {
			c.opts.Metrics.Map("leave_hooks_failed").Add(h.Name, 1)
			c.opts.Log.Warn("leave hook failed", zap.Stringer("stage", s), zap.String("hook", h.Name), zap.Error(err))
			rep.FailedHooks = append(rep.FailedHooks, h.Name)
		}
	}
}

var errHookTimeout = errors.New("leave hook timed out")

func (c *Controller) runHook(ctx context.Context, h Hook) error {
	if h.Stage != Close {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.opts.HookTimeout)
		defer cancel()
	}
	done := make(chan error, 1)
	go func() { done <- h.Func(ctx) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errHookTimeout
	}
}

// awaitCalls waits until no calls are in flight. If ctx ends first, it cuts them off.
func (c *Controller) awaitCalls(ctx context.Context, start time.Time, rep *Report) {
	logged := time.Now()
	for {
		n := c.opts.InFlight()
		if n == 0 {
			return
		}
		if !ctxtime.Sleep(ctx, pollInterval) {
			c.cut(rep, start)
			return
		}
		if time.Since(logged) >= logInterval {
			logged = time.Now()
			c.opts.Log.Info("waiting for calls in flight", zap.Int("in_flight", n), zap.Duration("waited", time.Since(start)))
		}
	}
}

func (c *Controller) cut(rep *Report, start time.Time) {
	rep.CallsCut = c.opts.InFlight()
	if rep.CallsCut == 0 {
		return
	}
	rep.Cut = true
	c.opts.Metrics.Int("leave_calls_cut").Add(int64(rep.CallsCut))
	c.opts.Log.Error("calls in flight cut off: shutdown reached the operator's limit or was canceled",
		zap.Int("cut_off", rep.CallsCut), zap.Duration("limit", c.opts.Limit), zap.Duration("waited", time.Since(start)))
}
