// Package budget keeps the probes of a workspace, over all hosts together and at
// any instant, within the budget that its operators set. The budget is divided
// into shares, each a row of the platform's table that one host holds for a
// time. Without a share nothing is probed; when the table is out, shares run out
// and no new ones are had.
package budget

import (
	"context"
	"expvar"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/internal/invariant"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Names of the counters in the metrics map "probe_budget".
const (
	countGranted     = "granted"
	countNoShare     = "refused_no_share"
	countLapsed      = "refused_share_lapsed"
	countSpent       = "refused_budget_spent"
	countNoBudget    = "refused_no_budget"
	countLapsedLate  = "refused_lapsed_before_send"
	countOverrun     = "overruns"
	countTaken       = "shares_taken"
	countRenewed     = "shares_renewed"
	countReleased    = "shares_released"
	countLost        = "shares_lost"
	countUnavailable = "store_unavailable"
	countUncertain   = "store_uncertain"
	countConflict    = "store_conflict"
)

// Deps is what Shares works with.
type Deps struct {
	Table ports.Table
	// Self is this host; Incarnation differs between two runs on it.
	Self        ports.HostID
	Incarnation uint64
	// Config returns the configuration in force.
	Config  func() *declare.Config
	Metrics *metrics.Set
	Log     *zap.Logger
	// Limits stands for DefaultLimits if it is zero.
	Limits Limits
}

// Shares is this host's part of the budgets. It is safe for concurrent use.
type Shares struct {
	table  ports.Table
	self   ports.HostID
	prefix string
	config func() *declare.Config
	count  *expvar.Map
	log    *zap.Logger
	limits Limits

	mu         sync.Mutex
	nonces     uint64
	workspaces map[string]*workspace
}

// workspace is what is known of one workspace's budget.
type workspace struct {
	name string
	// wanted is when a probe was last asked for.
	wanted time.Time
	// after holds this host back when it has had a share for long.
	after time.Time
	views []view
	held  *lease
	audit audit
}

// New returns shares that hold nothing yet; Run has to be started.
func New(d Deps) *Shares {
	if d.Limits == (Limits{}) {
		d.Limits = DefaultLimits()
	}
	return &Shares{
		table:      d.Table,
		self:       d.Self,
		prefix:     string(d.Self) + "/" + strconv.FormatUint(d.Incarnation, 10) + "/",
		config:     d.Config,
		count:      d.Metrics.Map("probe_budget"),
		log:        d.Log,
		limits:     d.Limits,
		workspaces: make(map[string]*workspace),
	}
}

// Timeout is the longest that a probe may take.
func (s *Shares) Timeout() time.Duration { return s.limits.Timeout }

// Permit is the permission for one probe.
type Permit struct {
	s     *Shares
	w     *workspace
	lease *lease
	// id and auditID are the entries with the reservation.
	id      uint64
	auditID uint64
	// Deadline is when the probe must have ended.
	Deadline time.Time
}

// Begin asks for one probe of a workspace's target, and reserves its time. A
// host that asks in vain tries to get a share. The probe has to be begun at
// once: Live is to be asked right before its first byte goes out.
func (s *Shares) Begin(name string) (*Permit, bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	plan := s.plan(name)
	w := s.workspace(name)
	w.wanted = now
	if reason := s.refusal(w, plan, now); reason != "" {
		s.count.Add(reason, 1)
		return nil, false
	}
	l := w.held
	sp := &Permit{s: s, w: w, lease: l, Deadline: now.Add(s.limits.Timeout)}
	sp.id = l.spent.add(now, s.limits.Timeout)
	sp.auditID = w.audit.begin(now, s.limits.Timeout, plan, name)
	s.count.Add(countGranted, 1)
	return sp, true
}

// refusal returns the counter of the reason why nothing may be probed now.
func (s *Shares) refusal(w *workspace, p Plan, now time.Time) string {
	switch l := w.held; {
	case p.Shares == 0:
		return countNoBudget
	case l == nil || l.index >= p.Shares:
		return countNoShare
	case !l.covers(now, s.limits.Timeout):
		return countLapsed
	case l.spent.spent(now, s.span(p))+s.limits.Timeout > p.PerShare:
		return countSpent
	default:
		return ""
	}
}

// span is how long a probe counts. It is counted from Begin, but may go out as
// late as its deadline, and has to count for a whole window from then on.
func (s *Shares) span(p Plan) time.Duration { return p.Window + s.limits.Timeout }

// Valid reports whether the probe may still be sent.
//
// After a pause another host may hold the share by now. A probe that starts before Deadline is within
// the lease.
func (sp *Permit) Valid() bool {
	if time.Now().Before(sp.Deadline) {
		return true
	}
	sp.s.count.Add(countLapsedLate, 1)
	return false
}

// Done replaces the reservation by the time that the probe took; 0 if it was not
// sent.
func (sp *Permit) Done(took time.Duration) {
	s := sp.s
	if took > s.limits.Timeout {
		// The probe was given up at its timeout; the rest is this host's delay.
		s.count.Add(countOverrun, 1)
		took = s.limits.Timeout
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sp.lease.spent.settle(sp.id, took)
	sp.w.audit.spent.settle(sp.auditID, took)
}

// plan returns how the workspace's budget is divided at the moment.
func (s *Shares) plan(name string) Plan {
	ws, ok := s.config().Workspace(name)
	if !ok {
		return Plan{}
	}
	return NewPlan(ws.ProbeBudget, s.limits.Timeout)
}

func (s *Shares) workspace(name string) *workspace {
	w := s.workspaces[name]
	if w == nil {
		w = &workspace{name: name, views: make([]view, maxShares)}
		s.workspaces[name] = w
	}
	return w
}

func (s *Shares) nonce() string {
	s.nonces++
	return s.prefix + strconv.FormatUint(s.nonces, 10)
}

// audit asserts, apart from the leases, that this host alone has not spent more
// than all hosts may. It starts anew when the budget changes.
type audit struct {
	plan  Plan
	spent window
}

func (a *audit) begin(now time.Time, cost time.Duration, p Plan, name string) uint64 {
	if a.plan != p {
		*a = audit{plan: p, spent: window{nextID: a.spent.nextID}}
	}
	sum := a.spent.spent(now, p.Window) + cost
	most := p.PerShare * time.Duration(p.Shares)
	invariant.Check(sum <= most, invariant.ProbeBudget,
		"workspace %s: %s of probes in %s on this host, %s allowed to all", name, sum, p.Window, most)
	return a.spent.add(now, cost)
}

// Run takes, renews and releases shares until ctx ends, and then gives back what
// it holds.
func (s *Shares) Run(ctx context.Context) error {
	tick := time.NewTicker(s.limits.Poll)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			s.releaseAll(context.WithoutCancel(ctx))
			return nil
		case <-tick.C:
			for _, name := range s.names() {
				s.step(ctx, name)
			}
		}
	}
}

// names returns the workspaces that something is to be done for.
func (s *Shares) names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var out []string
	for name, w := range s.workspaces {
		if w.held != nil || now.Sub(w.wanted) < s.limits.IdleRelease {
			out = append(out, name)
			continue
		}
		if now.Sub(w.wanted) > forgetAfter {
			delete(s.workspaces, name)
		}
	}
	return out
}

// forgetAfter is when a workspace that nothing was asked for is forgotten; by
// then all that was spent for it is out of any window.
const forgetAfter = time.Hour
