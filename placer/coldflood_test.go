package placer

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/targetapi"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// worst returns the most calls that any target got within a second while it was cold.
func (l *coldCluster) worst(from time.Time) (most int) {
	for _, tg := range l.targets {
		most = max(most, tg.maxPerSecond(from))
	}
	return most
}

// turnCold makes the targets of zone z1 cold from now on, as they run.
func (l *coldCluster) turnCold() {
	for id, tg := range l.targets {
		if id[len(id)-1]%2 == 1 {
			tg.coldUntil = time.Now().Add(coldDuration)
		}
	}
}

// setAllCold makes all targets cold from begin on, as their entries say.
func (l *coldCluster) setAllCold(begin time.Time) {
	for _, tg := range l.targets {
		tg.coldUntil = begin.Add(coldDuration)
	}
	l.setTargets(func(tg *blackboard.Target) { tg.WarmUntil = begin.Add(coldDuration) })
}

// setReplyTime sets how long targets take to reply to probes.
func (l *coldCluster) setReplyTime(d time.Duration) {
	for _, tg := range l.targets {
		tg.replyTime = d
	}
}

// during calls f at an interval for some time, with the number of calls before.
func (l *coldCluster) during(d, every time.Duration, f func(n int)) {
	go func() {
		for n := range int(d / every) {
			time.Sleep(every)
			f(n)
		}
	}()
}

// floodWhile sends calls to targets that are all cold while change is called at an interval, and
// checks that none gets too many.
func floodWhile(t *testing.T, every time.Duration, change func(t *testing.T, l *coldCluster, n int)) {
	synctest.Test(t, func(t *testing.T) {
		l := newColdCluster(t, 40)
		defer l.board.Close()
		begin := time.Now()
		l.setAllCold(begin)
		l.during(coldDuration, every, func(n int) { change(t, l, n) })
		sent, refused := l.runLoad(t, rand.New(rand.NewPCG(9, 9)), 600, coldDuration)
		t.Logf("every %s: %d calls, %d refused, at most %d a second", every, sent, refused, l.worst(begin))
		assert.Check(t, l.worst(begin) <= maxColdCalls, "every %s: %d", every, l.worst(begin))
	})
}

// Guards against hosts that may send a cold target more with each list of hosts that is published,
// though it names the same hosts.
func TestColdTargetsAreNotFloodedWhenTheListOfHostsIsPublishedAgain(t *testing.T) {
	for _, every := range []time.Duration{25 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
		floodWhile(t, every, func(_ *testing.T, l *coldCluster, _ int) {
			for i := range coldHosts {
				l.placer(i).deps.Board.Members.Store(l.members(i))
			}
		})
	}
}

// Guards against a cold target's quota that is handed from host to host and spent by each, while
// hosts leave the list and return by turns.
func TestColdTargetsAreNotFloodedWhileHostsComeAndGo(t *testing.T) {
	for _, every := range []time.Duration{25 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
		floodWhile(t, every, func(_ *testing.T, l *coldCluster, n int) {
			for i := range coldHosts {
				l.placer(i).deps.Board.Members.Store(l.members(i, n%coldHosts, (n+7)%coldHosts, (n+19)%coldHosts))
			}
		})
	}
}

// Guards against hosts that are killed and started again one after the other, each with a new quota.
func TestHostsThatRestartByTurnsDoNotFloodColdTargets(t *testing.T) {
	for _, every := range []time.Duration{10 * time.Millisecond, 25 * time.Millisecond, 100 * time.Millisecond} {
		floodWhile(t, every, func(t *testing.T, l *coldCluster, n int) { l.restart(t, n%coldHosts, l.members(n%coldHosts)) })
	}
}

// Guards against a cold target's quota that begins anew each time its entry vanishes and returns.
func TestColdTargetsAreNotFloodedWhileTheirEntriesComeAndGo(t *testing.T) {
	floodWhile(t, 25*time.Millisecond, func(_ *testing.T, l *coldCluster, n int) {
		view := l.board.Targets.Load()
		if n%2 == 0 {
			view = everyFourth(view)
		}
		for i := range coldHosts {
			l.placer(i).deps.Board.Targets.Store(view)
		}
	})
}

// everyFourth returns a list with every fourth target of another.
func everyFourth(view *blackboard.Targets) *blackboard.Targets {
	some := &blackboard.Targets{ByService: make(map[blackboard.ServiceKey][]blackboard.Target)}
	for i, tg := range view.ByService[testKey] {
		if i%4 == 0 {
			some.ByService[testKey] = append(some.ByService[testKey], tg)
		}
	}
	return some
}

// Guards against hosts that have just started, know few others and so own the calls of every cold
// target.
func TestHostsThatKnowFewOthersDoNotFloodColdTargets(t *testing.T) {
	for _, known := range []int{1, 4, 12} {
		synctest.Test(t, func(t *testing.T) {
			l := newColdCluster(t, 40)
			defer l.board.Close()
			rng := rand.New(rand.NewPCG(11, uint64(known)))
			l.runLoad(t, rng, 300, 2*time.Second)
			begin := time.Now()
			l.setAllCold(begin)
			for i := range coldHosts {
				l.restart(t, i, l.someMembers(rng, i, known))
			}
			go func() {
				for i := range coldHosts {
					time.Sleep(coldDuration / (2 * coldHosts))
					l.placer(i).deps.Board.Members.Store(l.members(i))
				}
			}()
			sent, refused := l.runLoad(t, rng, 600, coldDuration)
			t.Logf("%d hosts known: %d calls, %d refused, at most %d a second", known, sent, refused, l.worst(begin))
			assert.Check(t, l.worst(begin) <= maxColdCalls, "%d hosts known: %d", known, l.worst(begin))
		})
	}
}

// Guards against calls that are refused at once where all targets are warm and only their replies to
// probes are late.
func TestCallsWaitForLateReports(t *testing.T) {
	for _, reply := range []time.Duration{15 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			l := newColdCluster(t, 40)
			defer l.board.Close()
			l.setReplyTime(reply)
			sent, refused := l.runLoad(t, rand.New(rand.NewPCG(14, 14)), 300, 3*time.Second)
			t.Logf("replies after %s: %d calls, %d refused", reply, sent, refused)
			assert.Check(t, refused < sent/100, "replies after %s: %d of %d refused", reply, refused, sent)
			time.Sleep(time.Second) // probes in flight end
		})
	}
}

// Guards against many hosts that each hold a report of a target from before it turned cold, because
// the replies to their probes are late.
func TestColdTargetsAreNotFloodedByHostsWithOldReports(t *testing.T) {
	for _, reply := range []time.Duration{time.Millisecond, 15 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 240 * time.Millisecond} {
		for _, perSecond := range []float64{300, 600, 900} {
			for seed := range uint64(3) {
				synctest.Test(t, func(t *testing.T) {
					l := newColdCluster(t, 40)
					defer l.board.Close()
					rng := rand.New(rand.NewPCG(10, seed))
					l.setReplyTime(reply)
					l.runLoad(t, rng, perSecond, 2*time.Second)
					begin := time.Now()
					l.turnCold()
					sent, refused := l.runLoad(t, rng, perSecond, coldDuration)
					t.Logf("replies after %s, %v a second, seed %d: %d calls, %d refused, at most %d a second",
						reply, perSecond, seed, sent, refused, l.worst(begin))
					assert.Check(t, l.worst(begin) <= maxColdCalls, "replies after %s, %v a second, seed %d: %d",
						reply, perSecond, seed, l.worst(begin))
					time.Sleep(time.Second) // probes in flight end
				})
			}
		}
	}
}

// Guards against a rejection, or a response that doesn't name its target, that is taken for the
// target's own report that it is warm.
func TestOnlyTheTargetsOwnResponseSaysThatItIsWarm(t *testing.T) {
	for _, tc := range []struct {
		name   string
		status int
		header http.Header
		warm   bool
	}{
		{"healthy", http.StatusOK, http.Header{"Id": {"a"}}, true},
		{"unhealthy", http.StatusServiceUnavailable, http.Header{"Id": {"a"}}, true},
		{"rejected", http.StatusServiceUnavailable, http.Header{"Id": {"a"}, "Shed": {targetapi.Yes}}, false},
		{"unnamed", http.StatusOK, http.Header{}, false},
	} {
		p := New(Deps{
			Board: blackboard.New(), Contract: &targetapi.Contract{Instance: "Id", WarmUp: "Warm-Up", Shed: "Shed"},
			Upstream: healthResponse{tc.status, tc.header}, Metrics: metrics.New(), Log: zap.NewNop(),
		})
		tg := newTarget(blackboard.Target{ID: "a", Zone: "z0"}, "z0")
		s := &service{targets: map[ports.HostID]*target{"a": tg}, limits: coldLimits{warmUp: coldDuration, perSecond: coldRate}}
		tg.probeDone = make(chan struct{})
		p.probeTarget(s, tg, tg.info, "/h", 1)
		assert.Equal(t, tg.cold.Warm(time.Now()), tc.warm, tc.name)
		_ = p.deps.Board.Close()
	}
}

// healthResponse is the response to each probe.
type healthResponse struct {
	status int
	header http.Header
}

func (r healthResponse) RoundTrip(*http.Request, blackboard.Target, upstream.SendOptions) upstream.Result {
	return upstream.Result{Sent: true, Response: &http.Response{StatusCode: r.status, Header: r.header, Body: http.NoBody}}
}
