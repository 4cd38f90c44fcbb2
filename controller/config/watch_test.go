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

// watchTick is how often the hosts are looked at, in virtual time.
const watchTick = 20 * time.Millisecond

// slack is added to times that are seen only at ticks.
const slack = 2 * watchTick

// watch looks at all hosts while a script runs.
type watch struct {
	r      *run
	cancel context.CancelFunc
	done   chan struct{}

	mu       sync.Mutex
	faults   []string
	highest  uint64                     // newest accepted sequence
	configs  map[uint64]*declare.Config // by sequence, of whichever host had it first
	had      map[*confignet.Host]uint64
	behind   map[*confignet.Host]time.Time // able to catch up since
	isolated map[*confignet.Host]time.Time
	served   map[*confignet.Host]time.Time // reaching the store since
}

func newWatch(r *run) *watch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &watch{
		r: r, cancel: cancel, done: make(chan struct{}),
		configs:  make(map[uint64]*declare.Config),
		had:      make(map[*confignet.Host]uint64),
		behind:   make(map[*confignet.Host]time.Time),
		isolated: make(map[*confignet.Host]time.Time),
		served:   make(map[*confignet.Host]time.Time),
	}
	go w.loop(ctx)
	return w
}

func (w *watch) loop(ctx context.Context) {
	defer close(w.done)
	for ctx.Err() == nil {
		w.look()
		time.Sleep(watchTick)
	}
}

func (w *watch) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// accepted notes a change that an operator was told is applied.
func (w *watch) accepted(out config.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if out.Result == config.ResultApplied {
		w.highest = max(w.highest, out.Change.Sequence)
	}
}

func (w *watch) forget(h *confignet.Host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.had, h)
	delete(w.behind, h)
	delete(w.isolated, h)
	delete(w.served, h)
}

func (w *watch) look() {
	hosts := w.r.fleet.Hosts()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range hosts {
		w.lookForward(h)
		w.lookBound(h, hosts)
		w.lookReady(h, hosts)
		w.lookServing(h)
	}
}

// lookForward checks that the host did not go back and agrees with the others.
func (w *watch) lookForward(h *confignet.Host) {
	cfg := h.Board.Config.Load()
	if cfg.Sequence < w.had[h] {
		w.fault("host %s went back from %d to %d", h.ID, w.had[h], cfg.Sequence)
	}
	w.had[h] = cfg.Sequence
	first, ok := w.configs[cfg.Sequence]
	if !ok {
		w.configs[cfg.Sequence] = cfg
	} else if len(cfg.Workspaces)+len(first.Workspaces) > 0 && !reflect.DeepEqual(cfg.Workspaces, first.Workspaces) {
		w.fault("host %s holds another configuration under sequence %d", h.ID, cfg.Sequence)
	}
}

// lookBound checks that a host which lacks an accepted change gets it, or a
// further one, within the bound from when it is able to.
func (w *watch) lookBound(h *confignet.Host, hosts []*confignet.Host) {
	if h.Sequence() >= w.highest || !w.able(h, hosts) {
		delete(w.behind, h)
		return
	}
	since, ok := w.behind[h]
	if !ok {
		w.behind[h] = time.Now()
	} else if time.Since(since) > bound+slack {
		w.fault("host %s is at %d, lacks accepted change %d for %s", h.ID, h.Sequence(), w.highest, time.Since(since))
		w.behind[h] = time.Now()
	}
}

// able reports whether the host reaches the store or a host that has the newest
// accepted change.
func (w *watch) able(h *confignet.Host, hosts []*confignet.Host) bool {
	if !h.PlatformCut() && !w.r.down.Load() {
		return true
	}
	for _, other := range hosts {
		if other != h && other.Sequence() >= w.highest && w.r.fleet.Linked(h, other) {
			return true
		}
	}
	return false
}

// lookReady checks that a host that reaches nobody stops serving.
func (w *watch) lookReady(h *confignet.Host, hosts []*confignet.Host) {
	alone := h.PlatformCut() || w.r.down.Load()
	for _, other := range hosts {
		alone = alone && (other == h || w.r.fleet.Disconnected(h, other))
	}
	since, ok := w.isolated[h]
	timings := config.DefaultTimings()
	switch {
	case !alone:
		delete(w.isolated, h)
	case !ok:
		w.isolated[h] = time.Now()
	case h.Ready() && time.Since(since) > timings.Lapse+timings.Tick+slack:
		w.fault("host %s serves though it reached nobody for %s", h.ID, time.Since(since))
	}
}

// lookServing checks that a host that reaches the store serves, and does not
// stop now and then.
func (w *watch) lookServing(h *confignet.Host) {
	if h.PlatformCut() || w.r.down.Load() {
		delete(w.served, h)
		return
	}
	since, ok := w.served[h]
	if !ok {
		w.served[h] = time.Now()
	} else if !h.Ready() && time.Since(since) > bound+slack {
		w.fault("host %s does not serve though it reached the store for %s", h.ID, time.Since(since))
	}
}

// finish ends the watch, checks the history and returns all faults.
func (w *watch) finish() []string {
	w.cancel()
	<-w.done
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.r.fleet.Hosts() {
		if h.Sequence() < w.highest || !h.Ready() {
			w.fault("at the end host %s is at %d of %d, ready %v", h.ID, h.Sequence(), w.highest, h.Ready())
		}
	}
	if !porcupine.CheckOperations(model(), w.history()) {
		w.fault("the outcomes do not fit any order of the changes")
	}
	return w.faults
}

// rolledBack stands for the value of version 1 in a request.
const rolledBack = -1

// registerState is a workspace: its version, value, and the value of version 1.
type registerState struct {
	version      uint64
	value, first int
}

// history returns the requests, and at the end a read of every host.
func (w *watch) history() []porcupine.Operation {
	var ops []porcupine.Operation
	for i, q := range w.r.requests {
		ops = append(ops, porcupine.Operation{ClientId: i, Input: q, Call: q.called.UnixNano(), Return: q.returned.UnixNano()})
	}
	now := time.Now().UnixNano()
	for i, h := range w.r.fleet.Hosts() {
		for _, name := range []string{"v", "w"} {
			read := readOp{name: name}
			if ws, ok := h.Board.Config.Load().Workspace(name); ok {
				read.version, read.value = ws.Version, ws.MaxInFlight
			}
			ops = append(ops, porcupine.Operation{ClientId: len(w.r.requests) + i, Input: read, Call: now, Return: now + 1})
		}
	}
	return ops
}

// readOp is what a host holds of a workspace at the end.
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

// stepRequest is the sequential specification: a request wins if its base is
// the present version, and then the version goes up by one.
func stepRequest(s registerState, q *request) (bool, any) {
	value := q.value
	if value == rolledBack {
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
		if q.out.Other == nil {
			return s.version == 0 && q.base != 0, s
		}
		return s.version != q.base && q.out.Other.Workspace.Version == s.version, s
	case config.ResultUnavailable:
		return true, s
	case config.ResultInvalid:
		return q.value == rolledBack && s.version == 0, s
	default:
		return false, s
	}
}
