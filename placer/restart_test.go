package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/routing"
	"github.com/cactusproxy/cactusproxy/targetapi"
)

var restartKey = blackboard.ServiceKey{Workspace: routing.Workspace, Service: "s"}

// restartLab is a placer with one target, as the platform lists it.
type restartLab struct {
	board *blackboard.Board
	p     *Placer
	hints []blackboard.Target
}

func newRestartLab(t *testing.T) *restartLab {
	l := &restartLab{board: blackboard.New()}
	t.Cleanup(func() { _ = l.board.Close() })
	l.p = New(Deps{
		Board:   l.board,
		Share:   NewShare(l.board, 60),
		Metrics: metrics.New(),
		OnLeaving: func(_ blackboard.ServiceKey, t blackboard.Target) {
			l.hints = append(l.hints, t)
		},
	})
	return l
}

// list has the platform list a run of the target, and returns what the placer keeps of it.
func (l *restartLab) list(run ports.Incarnation, leaving bool) *target {
	info := blackboard.Target{ID: "a", Incarnation: run, Slots: 2, Leaving: leaving}
	l.board.Targets.Store(&blackboard.Targets{ByService: map[blackboard.ServiceKey][]blackboard.Target{restartKey: {info}}})
	s := l.p.service(restartKey)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(l.board)
	return s.list[0]
}

// hold is a call that is at the target.
func (l *restartLab) hold(t *target) *held {
	t.figures.InFlight++
	return &held{placer: l.p, service: l.p.service(restartKey), target: t, info: t.info, takes: 1}
}

// A target leaves, rests after failures and has calls in flight. It starts again under its
// name: the new run takes calls at once, and nothing of before is held against it.
func TestNothingOfAFormerRunIsHeldAgainstTheNext(t *testing.T) {
	l := newRestartLab(t)
	now := time.Now()
	old := l.list(100, true)
	old.unreachable(now)
	old.health.Eject(now, l.p.rng)
	call := l.hold(old)
	assert.Check(t, !old.open(now))
	next := l.list(200, false)
	assert.Check(t, next.open(now))
	assert.Equal(t, next.figures.InFlight, 0)
	assert.Check(t, next.figures.At.IsZero())
	call.Release(pick.Report{Class: pick.BrokeOff, Work: targetapi.Load{Running: 9, Slots: 2, Pace: 7}})
	assert.Equal(t, next.figures.InFlight, 0)
	assert.Check(t, next.figures.At.IsZero(), "a late answer told of the former run")
	assert.Check(t, next.open(now))
	assert.Equal(t, l.p.count.late.Value(), int64(1))
}

// An answer of the former run, on its way while the target starts again, says that it is
// leaving. The hint names the former run, so that the board does not drain the new one.
func TestLateHintNamesItsRun(t *testing.T) {
	l := newRestartLab(t)
	call := l.hold(l.list(100, false))
	next := l.list(200, false)
	call.Release(pick.Report{Class: pick.Leaving})
	assert.Equal(t, len(l.hints), 1)
	view, changed := l.board.Targets.Load().WithLeaving(restartKey, l.hints[0].Run(), time.Now())
	assert.Check(t, !changed && !view.ByService[restartKey][0].Leaving)
	assert.Check(t, next.open(time.Now()))
	_, changed = l.board.Targets.Load().WithLeaving(restartKey, next.info.Run(), time.Now())
	assert.Check(t, changed)
}

// A word of the same run keeps what is known, also one that does not tell of its start.
func TestSameRunKeepsWhatIsKnown(t *testing.T) {
	l := newRestartLab(t)
	first := l.list(100, false)
	assert.Equal(t, l.list(100, false), first)
	assert.Equal(t, l.list(0, false), first)
}
