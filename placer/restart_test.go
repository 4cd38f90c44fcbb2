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

var testKey = blackboard.ServiceKey{Workspace: routing.Workspace, Service: "s"}

// testPlacer is a placer and the board that it reads its targets from.
type testPlacer struct {
	board        *blackboard.Board
	p            *Placer
	leavingHints []blackboard.Target
}

func newTestPlacer(t *testing.T) *testPlacer {
	l := &testPlacer{board: blackboard.New()}
	t.Cleanup(func() { _ = l.board.Close() })
	l.p = New(Deps{
		Board:   l.board,
		Probes:  NewProbeQuota(l.board, 60),
		Metrics: metrics.New(),
		Log:     zap.NewNop(),
		OnLeaving: func(_ blackboard.ServiceKey, t blackboard.Target) {
			l.leavingHints = append(l.leavingHints, t)
		},
	})
	return l
}

// listRun publishes one target with the given incarnation and returns the placer's state for
// it.
func (l *testPlacer) listRun(run ports.Incarnation, leaving bool) *target {
	info := blackboard.Target{ID: "a", Incarnation: run, Slots: 2, Leaving: leaving}
	l.board.Targets.Store(&blackboard.Targets{ByService: map[blackboard.ServiceKey][]blackboard.Target{testKey: {info}}})
	s := l.p.service(testKey)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(time.Now())
	return s.list[0]
}

// startCall returns the grant of a call in flight at the target.
func (l *testPlacer) startCall(t *target) *heldGrant {
	t.figures.InFlight++
	return &heldGrant{placer: l.p, service: l.p.service(testKey), target: t, info: t.info, expectedWork: 1}
}

// A target is leaving, backs off after failures and has calls in flight. It restarts under the
// same name: the new run takes calls at once and inherits no state.
func TestStateOfAFormerRunIsNotCarriedOver(t *testing.T) {
	l := newTestPlacer(t)
	now := time.Now()
	old := l.listRun(100, true)
	old.markUnreachable(now)
	old.health.Eject(now, l.p.rng)
	call := l.startCall(old)
	assert.Check(t, !old.available(now))
	next := l.listRun(200, false)
	assert.Check(t, next.available(now))
	assert.Equal(t, next.figures.InFlight, 0)
	assert.Check(t, next.figures.ReportedAt.IsZero())
	call.Release(pick.Report{Class: pick.BrokeOff, TargetLoad: targetapi.Load{Running: 9, Slots: 2, Slowdown: 7}})
	assert.Equal(t, next.figures.InFlight, 0)
	assert.Check(t, next.figures.ReportedAt.IsZero(), "a late answer of the former run was recorded")
	assert.Check(t, next.available(now))
	assert.Equal(t, l.p.count.lateResults.Value(), int64(1))
}

// An answer of the former run, in flight while the target restarts, says that it is leaving.
// The hint names the former run, so that the board does not drain the new one.
func TestLateHintNamesItsRun(t *testing.T) {
	l := newTestPlacer(t)
	call := l.startCall(l.listRun(100, false))
	next := l.listRun(200, false)
	call.Release(pick.Report{Class: pick.Leaving})
	assert.Equal(t, len(l.leavingHints), 1)
	view, changed := l.board.Targets.Load().WithLeaving(testKey, l.leavingHints[0].RunID(), time.Now())
	assert.Check(t, !changed && !view.ByService[testKey][0].Leaving)
	assert.Check(t, next.available(time.Now()))
	_, changed = l.board.Targets.Load().WithLeaving(testKey, next.info.RunID(), time.Now())
	assert.Check(t, changed)
}

// A list entry of the same run keeps the state, also one without an incarnation.
func TestSameRunKeepsWhatIsKnown(t *testing.T) {
	l := newTestPlacer(t)
	first := l.listRun(100, false)
	assert.Equal(t, l.listRun(100, false), first)
	assert.Equal(t, l.listRun(0, false), first)
}

// A target restarts under its name while calls start and end in every way and its list entry is
// repeated. The calls in flight that the placer counts are always those of the current run, and
// after each restart the target takes calls at once.
func TestRandomHistoriesOfRestarts(t *testing.T) {
	classes := []pick.Class{pick.OK, pick.Failed, pick.TimedOut, pick.BrokeOff, pick.Shed, pick.NotSent, pick.Canceled, pick.Leaving}
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 8))
		l := newTestPlacer(t)
		run := ports.Incarnation(1)
		cur := l.listRun(run, false)
		var calls []*heldGrant
		for range 100 {
			switch rng.IntN(5) {
			case 0:
				run++
				cur = l.listRun(run, false)
				assert.Check(t, cur.available(time.Now()), "seed %d: run %d", seed, run)
			case 1:
				assert.Equal(t, l.listRun(run, false), cur, "seed %d: the same run", seed)
			case 2, 3:
				calls = append(calls, l.startCall(cur))
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
			assert.Equal(t, cur.figures.InFlight, own, "seed %d: run %d", seed, run)
		}
	}
}
