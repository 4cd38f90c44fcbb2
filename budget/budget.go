// Package budget limits the time spent on probing the targets of a workspace,
// across all hosts and in any window of time, to the workspace's probe budget.
//
// The budget is divided into shares. Each share is a row of the platform's table
// that one host leases at a time; a host may probe only while it holds a lease, and
// records in memory how much of the share it has spent in the sliding window. A
// released or expired share is passed on with the amount that may already have been
// spent. While the table is unavailable, leases expire, no new ones can be
// acquired, and probing stops.
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
	countGranted          = "granted"
	countNoShare          = "refused_no_share"
	countShareLapsed      = "refused_share_lapsed"
	countBudgetSpent      = "refused_budget_spent"
	countNoBudget         = "refused_no_budget"
	countLapsedBeforeSend = "refused_lapsed_before_send"
	countOverrun          = "overruns"
	countTaken            = "shares_taken"
	countRenewed          = "shares_renewed"
	countReleased         = "shares_released"
	countLost             = "shares_lost"
	countUnavailable      = "store_unavailable"
	countUncertain        = "store_uncertain"
	countConflict         = "store_conflict"
)

// Deps are the dependencies of Shares.
type Deps struct {
	Table ports.Table
	// Self is this host. Incarnation is unique to each run of the daemon on it.
	Self        ports.HostID
	Incarnation uint64
	// Config returns the configuration in force.
	Config  func() *declare.Config
	Metrics *metrics.Set
	Log     *zap.Logger
	// Timing defaults to DefaultTiming if it is zero.
	Timing Timing
}

// Shares manages this host's shares of the probe budgets. It is safe for concurrent
// use.
type Shares struct {
	table  ports.Table
	self   ports.HostID
	prefix string
	config func() *declare.Config
	count  *expvar.Map
	log    *zap.Logger
	timing Timing

	mu         sync.Mutex
	lastNonce  uint64
	workspaces map[string]*workspace
}

// workspace is the state of one workspace's budget on this host.
type workspace struct {
	name string
	// lastRequested is when a probe was last requested.
	lastRequested time.Time
	// retakeAfter is when this host may acquire a share again after it released
	// one, so that other hosts get a chance to take it.
	retakeAfter time.Time
	rows        []rowView
	lease       *lease
	audit       audit
}

// New returns Shares without any leases. They are acquired only while Run is
// running.
func New(d Deps) *Shares {
	if d.Timing == (Timing{}) {
		d.Timing = DefaultTiming()
	}
	return &Shares{
		table:      d.Table,
		self:       d.Self,
		prefix:     string(d.Self) + "/" + strconv.FormatUint(d.Incarnation, 10) + "/",
		config:     d.Config,
		count:      d.Metrics.Map("probe_budget"),
		log:        d.Log,
		timing:     d.Timing,
		workspaces: make(map[string]*workspace),
	}
}

// Timeout returns the maximum duration of a probe.
func (s *Shares) Timeout() time.Duration { return s.timing.Timeout }

// Permit is the permission to send one probe.
type Permit struct {
	s     *Shares
	w     *workspace
	lease *lease
	// id and auditID identify the reservation in the lease's and the audit's
	// window.
	id      uint64
	auditID uint64
	// Deadline is when the probe must have ended. It is also the latest time at
	// which it may be sent.
	Deadline time.Time
}

// Begin requests one probe of a workspace's target and reserves the probe timeout
// for it. A request that fails makes this host try to acquire a share. The probe
// has to start immediately: call Valid right before its first byte is sent, and
// Done at its end.
func (s *Shares) Begin(name string) (*Permit, bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	plan := s.plan(name)
	w := s.workspace(name)
	w.lastRequested = now
	if reason := s.refusal(w, plan, now); reason != "" {
		s.count.Add(reason, 1)
		return nil, false
	}
	l := w.lease
	permit := &Permit{s: s, w: w, lease: l, Deadline: now.Add(s.timing.Timeout)}
	permit.id = l.costs.add(now, s.timing.Timeout)
	permit.auditID = w.audit.begin(now, s.timing.Timeout, plan, name)
	s.count.Add(countGranted, 1)
	return permit, true
}

// refusal returns the name of the counter for the reason why no probe is allowed
// now, or "" if one is.
func (s *Shares) refusal(w *workspace, p Plan, now time.Time) string {
	switch l := w.lease; {
	case p.Shares == 0:
		return countNoBudget
	case l == nil || l.index >= p.Shares:
		return countNoShare
	case !l.covers(now, s.timing.Timeout):
		return countShareLapsed
	case l.costs.total(now, s.accountingWindow(p))+s.timing.Timeout > p.PerShare:
		return countBudgetSpent
	default:
		return ""
	}
}

// accountingWindow returns how long a probe counts as spent. It is counted from
// Begin, but the probe may be sent as late as its deadline, and has to count for a
// whole window from then on.
func (s *Shares) accountingWindow(p Plan) time.Duration { return p.Window + s.timing.Timeout }

// Valid reports whether the probe may still be sent. After a pause of this process
// another host may already hold the share. A probe that starts before Deadline is
// within the lease.
func (p *Permit) Valid() bool {
	if time.Now().Before(p.Deadline) {
		return true
	}
	p.s.count.Add(countLapsedBeforeSend, 1)
	return false
}

// Done replaces the reservation by the actual duration of the probe, which is 0 if
// it was not sent.
func (p *Permit) Done(took time.Duration) {
	s := p.s
	if took > s.timing.Timeout {
		// The probe itself ended at its timeout; the excess is a delay on this
		// host.
		s.count.Add(countOverrun, 1)
		took = s.timing.Timeout
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p.lease.costs.settle(p.id, took)
	p.w.audit.costs.settle(p.auditID, took)
}

// plan returns how the workspace's budget is currently divided.
func (s *Shares) plan(name string) Plan {
	ws, ok := s.config().Workspace(name)
	if !ok {
		return Plan{}
	}
	return NewPlan(ws.ProbeBudget, s.timing.Timeout)
}

func (s *Shares) workspace(name string) *workspace {
	w := s.workspaces[name]
	if w == nil {
		w = &workspace{name: name, rows: make([]rowView, maxShares)}
		s.workspaces[name] = w
	}
	return w
}

func (s *Shares) nonce() string {
	s.lastNonce++
	return s.prefix + strconv.FormatUint(s.lastNonce, 10)
}

// audit asserts, independently of the leases, that this host alone has not spent
// more than all hosts together may. It is reset when the budget changes.
type audit struct {
	plan  Plan
	costs costWindow
}

func (a *audit) begin(now time.Time, cost time.Duration, p Plan, name string) uint64 {
	if a.plan != p {
		*a = audit{plan: p, costs: costWindow{nextID: a.costs.nextID}}
	}
	sum := a.costs.total(now, p.Window) + cost
	limit := p.PerShare * time.Duration(p.Shares)
	invariant.Check(sum <= limit, invariant.ProbeBudget,
		"workspace %s: %s of probes in %s on this host, %s allowed for all hosts",
		name, sum, p.Window, limit)
	return a.costs.add(now, cost)
}

// Run acquires, renews and releases shares until ctx ends, and then releases all
// shares that are held.
func (s *Shares) Run(ctx context.Context) error {
	tick := time.NewTicker(s.timing.PollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			s.releaseAll(context.WithoutCancel(ctx))
			return nil
		case <-tick.C:
			for _, name := range s.activeNames() {
				s.step(ctx, name)
			}
		}
	}
}

// activeNames returns the workspaces whose share may need to be acquired, renewed
// or released, and forgets workspaces that are long unused.
func (s *Shares) activeNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var out []string
	for name, w := range s.workspaces {
		if w.lease != nil || now.Sub(w.lastRequested) < s.timing.IdleTimeout {
			out = append(out, name)
			continue
		}
		if now.Sub(w.lastRequested) > workspaceTTL {
			delete(s.workspaces, name)
		}
	}
	return out
}

// workspaceTTL is how long a workspace without requests is kept. Everything spent
// for it is outside of any window by then.
const workspaceTTL = time.Hour
