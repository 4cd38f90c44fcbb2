package config_test

import (
	"context"
	"fmt"
	"reflect"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/cactusproxy/cactusproxy/controller/config"
	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/internal/bench/confignet"
)

// checkInterval is how often the hosts are checked, in virtual time.
const checkInterval = 20 * time.Millisecond

// slack is added to bounds because events are observed only at checks.
const slack = 2 * checkInterval

// checker checks all hosts while a script runs.
type checker struct {
	r      *run
	cancel context.CancelFunc
	done   chan struct{}

	mu             sync.Mutex
	failures       []string
	highest        uint64                     // newest accepted sequence
	configs        map[uint64]*declare.Config // by sequence, as first seen on any host
	lastSequence   map[*confignet.Host]uint64
	behind         map[*confignet.Host]time.Time // when it became able to catch up
	isolated       map[*confignet.Host]time.Time
	storeReachable map[*confignet.Host]time.Time // since when it can reach the store
}

func newChecker(r *run) *checker {
	ctx, cancel := context.WithCancel(context.Background())
	c := &checker{
		r: r, cancel: cancel, done: make(chan struct{}),
		configs:        make(map[uint64]*declare.Config),
		lastSequence:   make(map[*confignet.Host]uint64),
		behind:         make(map[*confignet.Host]time.Time),
		isolated:       make(map[*confignet.Host]time.Time),
		storeReachable: make(map[*confignet.Host]time.Time),
	}
	go c.loop(ctx)
	return c
}

func (c *checker) loop(ctx context.Context) {
	defer close(c.done)
	for ctx.Err() == nil {
		c.check()
		time.Sleep(checkInterval)
	}
}

func (c *checker) fail(format string, args ...any) {
	c.failures = append(c.failures, fmt.Sprintf(format, args...))
}

// accepted records a change that an operator was told is applied.
func (c *checker) accepted(out config.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if out.Result == config.ResultApplied {
		c.highest = max(c.highest, out.Change.Sequence)
	}
}

func (c *checker) forget(h *confignet.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.lastSequence, h)
	delete(c.behind, h)
	delete(c.isolated, h)
	delete(c.storeReachable, h)
}

func (c *checker) check() {
	hosts := c.r.fleet.Hosts()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range hosts {
		c.checkMonotonic(h)
		c.checkPropagation(h, hosts)
		c.checkIsolated(h, hosts)
		c.checkServing(h)
	}
}

// checkMonotonic checks that the host did not go back and agrees with the others.
func (c *checker) checkMonotonic(h *confignet.Host) {
	cfg := h.Board.Config.Load()
	if cfg.Sequence < c.lastSequence[h] {
		c.fail("host %s went back from %d to %d", h.ID, c.lastSequence[h], cfg.Sequence)
	}
	c.lastSequence[h] = cfg.Sequence
	first, ok := c.configs[cfg.Sequence]
	if !ok {
		c.configs[cfg.Sequence] = cfg
	} else if len(cfg.Workspaces)+len(first.Workspaces) > 0 && !reflect.DeepEqual(cfg.Workspaces, first.Workspaces) {
		c.fail("host %s holds another configuration under sequence %d", h.ID, cfg.Sequence)
	}
}

// checkPropagation checks that a host which lacks an accepted change gets it, or a later
// one, within the bound after it becomes able to.
func (c *checker) checkPropagation(h *confignet.Host, hosts []*confignet.Host) {
	if h.Sequence() >= c.highest || !c.canCatchUp(h, hosts) {
		delete(c.behind, h)
		return
	}
	since, ok := c.behind[h]
	if !ok {
		c.behind[h] = time.Now()
	} else if time.Since(since) > propagationBound+slack {
		c.fail("host %s is at %d, lacks accepted change %d for %s", h.ID, h.Sequence(), c.highest, time.Since(since))
		c.behind[h] = time.Now()
	}
}

// canCatchUp reports whether the host reaches the store or a host that has the newest
// accepted change.
func (c *checker) canCatchUp(h *confignet.Host, hosts []*confignet.Host) bool {
	if !h.PlatformCut() && !c.r.storeDown.Load() {
		return true
	}
	for _, other := range hosts {
		if other != h && other.Sequence() >= c.highest && c.r.fleet.Linked(h, other) {
			return true
		}
	}
	return false
}

// checkIsolated checks that a host that reaches no other host and no store stops serving.
func (c *checker) checkIsolated(h *confignet.Host, hosts []*confignet.Host) {
	cutOff := h.PlatformCut() || c.r.storeDown.Load()
	for _, other := range hosts {
		cutOff = cutOff && (other == h || c.r.fleet.Disconnected(h, other))
	}
	since, ok := c.isolated[h]
	timings := config.DefaultTimings()
	switch {
	case !cutOff:
		delete(c.isolated, h)
	case !ok:
		c.isolated[h] = time.Now()
	case h.Ready() && time.Since(since) > timings.ConfirmationTTL+timings.ClockInterval+slack:
		c.fail("host %s serves though it reached nobody for %s", h.ID, time.Since(since))
	}
}

// checkServing checks that a host that reaches the store serves without interruption.
func (c *checker) checkServing(h *confignet.Host) {
	if h.PlatformCut() || c.r.storeDown.Load() {
		delete(c.storeReachable, h)
		return
	}
	since, ok := c.storeReachable[h]
	if !ok {
		c.storeReachable[h] = time.Now()
	} else if !h.Ready() && time.Since(since) > propagationBound+slack {
		c.fail("host %s does not serve though it reached the store for %s", h.ID, time.Since(since))
	}
}

// finish stops the checks, verifies the history and returns all violations.
func (c *checker) finish() []string {
	c.cancel()
	<-c.done
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.r.fleet.Hosts() {
		if h.Sequence() < c.highest || !h.Ready() {
			c.fail("at the end host %s is at %d of %d, ready %v", h.ID, h.Sequence(), c.highest, h.Ready())
		}
	}
	if !porcupine.CheckOperations(model(), c.history()) {
		c.fail("the outcomes are not linearizable")
	}
	return c.failures
}

// valueOfVersion1 stands for the value of version 1 in a request.
const valueOfVersion1 = -1

// registerState is the state of a workspace: its version, its value, and the value of
// version 1.
type registerState struct {
	version      uint64
	value, first int
}

// history returns the requests and, at the end, a read of every host.
func (c *checker) history() []porcupine.Operation {
	var ops []porcupine.Operation
	for i, q := range c.r.requests {
		ops = append(ops, porcupine.Operation{ClientId: i, Input: q, Call: q.called.UnixNano(), Return: q.returned.UnixNano()})
	}
	now := time.Now().UnixNano()
	for i, h := range c.r.fleet.Hosts() {
		for _, name := range []string{"v", "w"} {
			read := readOp{name: name}
			if ws, ok := h.Board.Config.Load().Workspace(name); ok {
				read.version, read.value = ws.Version, ws.MaxInFlight
			}
			ops = append(ops, porcupine.Operation{ClientId: len(c.r.requests) + i, Input: read, Call: now, Return: now + 1})
		}
	}
	return ops
}

// readOp is the state of a workspace on a host at the end.
type readOp struct {
	name    string
	version uint64
	value   int
}

func model() porcupine.Model {
	return porcupine.Model{
		Partition: partition,
		Init:      func() any { return registerState{} },
		Step: func(state, input, _ any) (bool, any) {
			s := state.(registerState)
			if read, ok := input.(readOp); ok {
				return read.version == s.version && read.value == s.value, s
			}
			return stepRequest(s, input.(*request))
		},
	}
}

func partition(history []porcupine.Operation) [][]porcupine.Operation {
	byName := make(map[string][]porcupine.Operation)
	for _, op := range history {
		switch in := op.Input.(type) {
		case *request:
			byName[in.workspace] = append(byName[in.workspace], op)
		case readOp:
			byName[in.name] = append(byName[in.name], op)
		}
	}
	return [][]porcupine.Operation{byName["v"], byName["w"]}
}

// stepRequest is the sequential specification: a request succeeds if its base is the
// current version, and increments the version.
func stepRequest(s registerState, q *request) (bool, any) {
	value := q.value
	if value == valueOfVersion1 {
		value = s.first
	}
	switch q.out.Result {
	case config.ResultApplied:
		ch := q.out.Change.Workspace
		next := registerState{version: s.version + 1, value: value, first: s.first}
		if s.version == 0 {
			next.first = value
		}
		return s.version == q.base && ch.Version == next.version && ch.MaxInFlight == next.value, next
	case config.ResultUnchanged:
		return s.version == q.base && s.value == value, s
	case config.ResultConflict:
		if q.out.Conflicting == nil {
			return s.version == 0 && q.base != 0, s
		}
		return s.version != q.base && q.out.Conflicting.Workspace.Version == s.version, s
	case config.ResultUnavailable:
		return true, s
	case config.ResultInvalid:
		return q.value == valueOfVersion1 && s.version == 0, s
	default:
		return false, s
	}
}
