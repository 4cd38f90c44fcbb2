package placer

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/routing"
	"github.com/cactusproxy/cactusproxy/targetapi"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// The load: a zone is taken back whose targets turned cold at that moment, and their records do
// not say so. Hosts of two zones have calls for it.
const (
	coldHosts  = 40
	coldZone   = 20 // targets of each zone
	coldFor    = 3 * time.Second
	coldRate   = 4.5
	coldAtMost = 14 // calls in a second, of which a cold target bears coldRate
	coldWork   = 60 * time.Millisecond
)

// coldTarget runs any number of calls, and tells how long it is cold.
type coldTarget struct {
	mu        sync.Mutex
	running   int
	coldUntil time.Time
	got       []time.Time
}

func (t *coldTarget) run() {
	t.mu.Lock()
	t.running++
	t.got = append(t.got, time.Now())
	t.mu.Unlock()
	time.Sleep(coldWork)
	t.mu.Lock()
	t.running--
	t.mu.Unlock()
}

// worst returns the most calls within a second while the target was cold.
func (t *coldTarget) worst(from time.Time) (most int) {
	for i, at := range t.got {
		if at.Before(from) || !at.Before(t.coldUntil) {
			continue
		}
		n := 0
		for _, other := range t.got[i:] {
			if other.Sub(at) < time.Second && other.Before(t.coldUntil) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

type coldTargets map[ports.HostID]*coldTarget

func (c coldTargets) RoundTrip(_ *http.Request, info blackboard.Target, _ upstream.SendOptions) upstream.Result {
	time.Sleep(time.Millisecond)
	t := c[info.ID]
	t.mu.Lock()
	defer t.mu.Unlock()
	h := http.Header{"Load": {fmt.Sprintf("%d,0", t.running)}}
	if left := time.Until(t.coldUntil); left > 0 {
		h.Set("Warm-Up", left.String())
	}
	return upstream.Result{Sent: true, Response: &http.Response{StatusCode: 200, Header: h, Body: io.NopCloser(strings.NewReader(""))}}
}

// coldLab is hosts of two zones, with targets in both.
type coldLab struct {
	board   *blackboard.Board
	targets coldTargets
	placers []*Placer
}

// newColdLab lets a target be probed so often in a second by all hosts.
func newColdLab(t *testing.T, probes float64) *coldLab {
	l := &coldLab{board: blackboard.New(), targets: make(coldTargets)}
	rng := rand.New(rand.NewPCG(1, 1))
	l.board.Routes.Store(routing.NewTable(&routing.Config{Services: []routing.Service{
		{Name: "s", HealthPath: "/h", MaxConns: 1000, WarmUp: coldFor, ColdRate: coldRate},
	}}, rng))
	var members []blackboard.Member
	for i := range coldHosts {
		h := ports.Host{ID: ports.HostID(fmt.Sprint("h", i)), Zone: fmt.Sprint("z", i%2)}
		members = append(members, blackboard.Member{Host: h, State: blackboard.MemberLive, Ready: true})
	}
	l.list(func(*blackboard.Target) {})
	for i := range coldHosts {
		// Each host knows itself by its own name; all share the rest of the board.
		own := blackboard.New()
		own.Routes.Store(l.board.Routes.Load())
		own.Members.Store(&blackboard.Members{Self: members[i].Host.ID, Members: members})
		own.Targets.Store(l.board.Targets.Load())
		t.Cleanup(func() { _ = own.Close() })
		l.placers = append(l.placers, New(Deps{
			Board: own, Upstream: l.targets, Probes: NewProbeQuota(own, probes), Zone: members[i].Host.Zone, Seed: uint64(i),
			Metrics: metrics.New(), Log: zap.NewNop(),
			Contract: &targetapi.Contract{Load: "Load", ReadLoad: readSimLoad, WarmUp: "Warm-Up"},
		}))
	}
	return l
}

// list lists the targets as a function changes them.
func (l *coldLab) list(change func(*blackboard.Target)) {
	view := &blackboard.Targets{ByService: make(map[blackboard.ServiceKey][]blackboard.Target)}
	for i := range 2 * coldZone {
		t := blackboard.Target{ID: ports.HostID(fmt.Sprintf("t%02d", i)), Zone: fmt.Sprint("z", i%2), Slots: 2}
		if l.targets[t.ID] == nil {
			l.targets[t.ID] = &coldTarget{}
		}
		change(&t)
		view.ByService[restartKey] = append(view.ByService[restartKey], t)
	}
	l.board.Targets.Store(view)
	for _, p := range l.placers {
		p.deps.Board.Targets.Store(view)
	}
}

// call has a host choose a target and run a call there, and reports whether it did.
func (l *coldLab) call(t *testing.T, p *Placer) bool {
	now := time.Now()
	g, _ := p.Pick(t.Context(), pick.Request{Service: restartKey, Arrived: now, Objective: 300 * time.Millisecond})
	if g == nil {
		return false
	}
	l.targets[g.Target().ID].run()
	g.Release(pick.Report{Class: pick.OK, Latency: time.Since(now), Work: targetapi.Load{Slots: 2, Pace: 1}})
	return true
}

// play has callers come for a time, at a rate for all hosts, and returns how many came and how
// many were refused.
func (l *coldLab) play(t *testing.T, rng *rand.Rand, rate float64, d time.Duration) (sent, refused int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		p := l.placers[rng.IntN(coldHosts)]
		sent++
		wg.Go(func() {
			if !l.call(t, p) {
				mu.Lock()
				defer mu.Unlock()
				refused++
			}
		})
	}
	wg.Wait()
	return sent, refused
}

// A zone is taken back after its targets had no calls for seconds, and all of them are cold.
// They are idle, and so look best to every host. None gets more calls in a second than it
// bears, the callers of its zone are served by the other meanwhile, and once the targets are
// warm, the zone has its part of the load again.
func TestZoneThatIsTakenBackIsNotFlooded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newColdLab(t, 40)
		defer l.board.Close()
		rng := rand.New(rand.NewPCG(7, 7))
		inZone := func(tg *blackboard.Target) bool { return tg.Zone == "z1" }
		l.list(func(tg *blackboard.Target) { tg.Evacuated = inZone(tg) })
		sent, refused := l.play(t, rng, 300, 3*time.Second)
		assert.Check(t, refused < sent/100, "%d of %d refused", refused, sent)
		back := time.Now()
		for id, tg := range l.targets {
			if id[len(id)-1]%2 == 1 {
				assert.Equal(t, len(tg.got), 0, "%s", id)
				tg.coldUntil = back.Add(coldFor)
			}
		}
		l.list(func(tg *blackboard.Target) {
			if inZone(tg) {
				tg.ReturnedAt = back
			}
		})
		sent, refused = l.play(t, rng, 300, coldFor)
		worst, cold := 0, 0
		for _, tg := range l.targets {
			if !tg.coldUntil.IsZero() {
				worst, cold = max(worst, tg.worst(back)), cold+len(tg.got)
			}
		}
		t.Logf("%d calls, %d refused; cold targets got %d, one of them %d in a second", sent, refused, cold, worst)
		assert.Check(t, worst <= coldAtMost, "%d in a second", worst)
		assert.Check(t, refused < sent/100, "%d of %d refused", refused, sent)
		assert.Check(t, cold > 0, "a ramp and no wall")
		sent, refused = l.play(t, rng, 300, 2*time.Second)
		warm := -cold
		for _, tg := range l.targets {
			if !tg.coldUntil.IsZero() {
				warm += len(tg.got)
			}
		}
		assert.Check(t, warm > sent/3, "%d of %d calls went to the zone that is warm again", warm, sent)
		assert.Check(t, refused < sent/100)
	})
}

// The zone is taken back and its targets are as warm as ever: a host that presumes them to be
// cold asks them, and has its calls there at once.
func TestZoneThatIsWarmIsUsedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newColdLab(t, 40)
		defer l.board.Close()
		rng := rand.New(rand.NewPCG(8, 8))
		back := time.Now()
		l.list(func(tg *blackboard.Target) {
			if tg.Zone == "z1" {
				tg.ReturnedAt = back
			}
		})
		sent, refused := l.play(t, rng, 300, time.Second)
		used := 0
		for id, tg := range l.targets {
			if id[len(id)-1]%2 == 1 {
				used += len(tg.got)
			}
		}
		assert.Equal(t, refused, 0)
		assert.Check(t, used > sent/3, "%d of %d", used, sent)
	})
}

// All targets of a service are cold, and more calls come than they bear: what is beyond that is
// refused at once, and no target gets more.
func TestAllTargetsColdRefusesWhatTheyDoNotBear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newColdLab(t, 40)
		defer l.board.Close()
		begin := time.Now()
		for _, tg := range l.targets {
			tg.coldUntil = begin.Add(coldFor)
		}
		l.list(func(tg *blackboard.Target) { tg.WarmUntil = begin.Add(coldFor) })
		sent, refused := l.play(t, rand.New(rand.NewPCG(9, 9)), 600, coldFor)
		worst := 0
		for _, tg := range l.targets {
			worst = max(worst, tg.worst(begin))
		}
		t.Logf("%d calls, %d refused, one target had %d in a second", sent, refused, worst)
		assert.Check(t, worst <= coldAtMost)
		served := float64(sent - refused)
		assert.Check(t, served > 0.6*coldRate*2*coldZone*coldFor.Seconds(), "%v served", served)
	})
}

// A zone loses power under load and is back cold, with the record a second behind. Hosts have
// used up what they may probe, and what they knew says that its targets are well. Their calls
// must not flood it all the same.
func TestColdTargetsAreNotFloodedByHostsThatMayNotProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newColdLab(t, 5)
		defer l.board.Close()
		rng := rand.New(rand.NewPCG(10, 10))
		l.play(t, rng, 600, 2*time.Second)
		back := time.Now()
		for id, tg := range l.targets {
			if id[len(id)-1]%2 == 1 {
				tg.coldUntil = back.Add(coldFor)
			}
		}
		sent, refused := l.play(t, rng, 900, coldFor)
		worst := 0
		for _, tg := range l.targets {
			worst = max(worst, tg.worst(back))
		}
		t.Logf("%d calls, %d refused, one target had %d in a second", sent, refused, worst)
		assert.Check(t, worst <= coldAtMost)
	})
}

// A target that could not be reached is back, and says that it is cold. It rests no longer the next
// time that it can not be reached for a moment.
func TestColdAnswerEndsTheRests(t *testing.T) {
	now := time.Now()
	tg := silentTarget("a")
	s := &service{targets: map[ports.HostID]*target{"a": tg}, limits: coldLimits{warmUp: coldFor, perSecond: coldRate}}
	tg.unreachable(now)
	tg.probing = make(chan struct{})
	news := s.answered(tg, answer{reached: true, said: targetapi.Signals{HasLoad: true, Load: targetapi.Load{Slots: 2, Pace: 1}, WarmUp: time.Second}}, time.Millisecond)
	assert.Equal(t, news, newsCold)
	assert.Equal(t, tg.rests, 0)
	assert.Check(t, tg.cold.Cold(time.Now()) && tg.cold.Confirmed())
}

// An operator reads in the line of a call why its cold target got it: by its own word, or since
// nobody had heard of it.
func TestCallToAColdTargetTellsWhatThatRestedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, want := range []string{"answer", ""} {
			l := newColdLab(t, 40)
			for _, tg := range l.targets {
				if want != "" {
					tg.coldUntil = time.Now().Add(coldFor)
				}
			}
			seen := make(map[string]int)
			for _, p := range l.placers {
				if g, _ := p.Pick(t.Context(), pick.Request{Service: restartKey}); g != nil {
					seen[g.(pick.Explained).Basis().Cold]++
				}
			}
			assert.Equal(t, len(seen), 1, "%v", seen)
			assert.Check(t, seen[want] > 0, "%v", seen)
			_ = l.board.Close()
		}
	})
}
