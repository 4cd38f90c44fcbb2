package placer

import (
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"
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
		Probes:  NewProbeQuota(l.board, 60),
		Metrics: metrics.New(),
		Log:     zap.NewNop(),
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
	s.refresh(time.Now())
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
	view, changed := l.board.Targets.Load().WithLeaving(restartKey, l.hints[0].RunID(), time.Now())
	assert.Check(t, !changed && !view.ByService[restartKey][0].Leaving)
	assert.Check(t, next.open(time.Now()))
	_, changed = l.board.Targets.Load().WithLeaving(restartKey, next.info.RunID(), time.Now())
	assert.Check(t, changed)
}

// A word of the same run keeps what is known, also one that does not tell of its start.
func TestSameRunKeepsWhatIsKnown(t *testing.T) {
	l := newRestartLab(t)
	first := l.list(100, false)
	assert.Equal(t, l.list(100, false), first)
	assert.Equal(t, l.list(0, false), first)
}

// A target starts again under its name while calls begin, end in every way and its words
// come and go. The calls reckoned with at it are always those of its present run, and after
// each start it takes calls at once.
func TestRandomHistoriesOfRestarts(t *testing.T) {
	classes := []pick.Class{pick.OK, pick.Failed, pick.TimedOut, pick.BrokeOff, pick.Shed, pick.NotSent, pick.Canceled, pick.Leaving}
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 8))
		l := newRestartLab(t)
		run := ports.Incarnation(1)
		now := l.list(run, false)
		var calls []*held
		for range 100 {
			switch rng.IntN(5) {
			case 0:
				run++
				now = l.list(run, false)
				assert.Check(t, now.open(time.Now()), "seed %d: run %d", seed, run)
			case 1:
				assert.Equal(t, l.list(run, false), now, "seed %d: the same run", seed)
			case 2, 3:
				calls = append(calls, l.hold(now))
			case 4:
				if len(calls) == 0 {
					continue
				}
				i := rng.IntN(len(calls))
				calls[i].Release(pick.Report{Class: classes[rng.IntN(len(classes))], Latency: time.Millisecond})
				calls = append(calls[:i], calls[i+1:]...)
			}
			own := 0
			for _, c := range calls {
				if c.info.Incarnation == run {
					own++
				}
			}
			assert.Equal(t, now.figures.InFlight, own, "seed %d: run %d", seed, run)
		}
	}
}
