package placer

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
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
	"github.com/cactusproxy/cactusproxy/policy/coldstart"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/routing"
	"github.com/cactusproxy/cactusproxy/targetapi"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// Parameters of the cold-start tests: a zone's evacuation ends, its targets turned cold at that
// moment without their list entries saying so, and hosts in two zones have calls for them.
const (
	coldHosts          = 40
	coldTargetsPerZone = 20 // targets per zone
	coldDuration       = 3 * time.Second
	coldRate           = 4.5
	maxColdCalls       = 14 // most calls to a cold target in any second, for a limit of coldRate
	coldWorkTime       = 60 * time.Millisecond
)

// coldTarget runs any number of calls at once and reports its remaining warm-up time.
type coldTarget struct {
	mu        sync.Mutex
	running   int
	coldUntil time.Time
	calls     []time.Time
	// replyTime is how long the target takes to reply to a probe.
	replyTime time.Duration
}

func (t *coldTarget) run() {
	t.mu.Lock()
	t.running++
	t.calls = append(t.calls, time.Now())
	t.mu.Unlock()
	time.Sleep(coldWorkTime)
	t.mu.Lock()
	t.running--
	t.mu.Unlock()
}

// maxPerSecond returns the most calls within any second while the target was cold.
func (t *coldTarget) maxPerSecond(from time.Time) (most int) {
	for i, at := range t.calls {
		if at.Before(from) || !at.Before(t.coldUntil) {
			continue
		}
		n := 0
		for _, other := range t.calls[i:] {
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
	t := c[info.ID]
	time.Sleep(max(t.replyTime, time.Millisecond))
	t.mu.Lock()
	defer t.mu.Unlock()
	h := http.Header{"Load": {fmt.Sprintf("%d,0", t.running)}}
	if left := time.Until(t.coldUntil); left > 0 {
		h.Set("Warm-Up", left.String())
	}
	return upstream.Result{Sent: true, Response: &http.Response{StatusCode: 200, Header: h, Body: io.NopCloser(strings.NewReader(""))}}
}

// coldCluster is a set of hosts in two zones, with targets in both.
type coldCluster struct {
	board   *blackboard.Board
	targets coldTargets
	mu      sync.Mutex
	placers []*Placer
	// hosts are all hosts, and probes is the number of probes a second that they may send a target.
	hosts  []blackboard.Member
	probes float64
}

// newColdCluster returns a cluster whose hosts together may send each target the given number
// of probes per second.
func newColdCluster(t *testing.T, probes float64) *coldCluster {
	l := &coldCluster{board: blackboard.New(), targets: make(coldTargets), probes: probes}
	rng := rand.New(rand.NewPCG(1, 1))
	l.board.Routes.Store(routing.NewTable(&routing.Config{Services: []routing.Service{
		{Name: "s", HealthPath: "/h", MaxConns: 1000, WarmUp: coldDuration, ColdRate: coldRate},
	}}, rng))
	for i := range coldHosts {
		h := ports.Host{ID: ports.HostID(fmt.Sprint("h", i)), Zone: fmt.Sprint("z", i%2)}
		l.hosts = append(l.hosts, blackboard.Member{Host: h, State: blackboard.MemberLive, Ready: true})
	}
	l.setTargets(func(*blackboard.Target) {})
	l.placers = make([]*Placer, coldHosts)
	for i := range coldHosts {
		l.restart(t, i, l.members(i))
	}
	time.Sleep(coldstart.HandoverDelay) // hosts that have just started own no shares
	return l
}

// restart replaces a host's placer by a new one that knows the given hosts.
func (l *coldCluster) restart(t *testing.T, i int, members *blackboard.Members) {
	// Each host has a board with its own ID; the rest is the same for all.
	own := blackboard.New()
	own.Routes.Store(l.board.Routes.Load())
	own.Members.Store(members)
	own.Targets.Store(l.board.Targets.Load())
	t.Cleanup(func() { _ = own.Close() })
	p := New(Deps{
		Board: own, Upstream: l.targets, Probes: NewProbeQuota(own, l.probes), Zone: l.hosts[i].Host.Zone, Seed: uint64(i),
		Metrics: metrics.New(), Log: zap.NewNop(),
		Contract: &targetapi.Contract{Load: "Load", ReadLoad: readSimLoad, WarmUp: "Warm-Up"},
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.placers[i] = p
}

// placer returns the placer of a host.
func (l *coldCluster) placer(i int) *Placer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.placers[i]
}

// members returns the list of all hosts but some, as host self has it.
func (l *coldCluster) members(self int, without ...int) *blackboard.Members {
	list := &blackboard.Members{Self: l.hosts[self].Host.ID, Complete: true}
	for i, m := range l.hosts {
		if i == self || !slices.Contains(without, i) {
			list.Members = append(list.Members, m)
		}
	}
	return list
}

// someMembers returns the incomplete list of a host that knows few hosts.
func (l *coldCluster) someMembers(rng *rand.Rand, self, known int) *blackboard.Members {
	list := l.members(self, rng.Perm(coldHosts)[known:]...)
	list.Complete = false
	return list
}

// setTargets publishes the target list after applying change to each entry.
func (l *coldCluster) setTargets(change func(*blackboard.Target)) {
	view := &blackboard.Targets{ByService: make(map[blackboard.ServiceKey][]blackboard.Target)}
	for i := range 2 * coldTargetsPerZone {
		t := blackboard.Target{ID: ports.HostID(fmt.Sprintf("t%02d", i)), Zone: fmt.Sprint("z", i%2), Slots: 2}
		if l.targets[t.ID] == nil {
			l.targets[t.ID] = &coldTarget{}
		}
		change(&t)
		view.ByService[testKey] = append(view.ByService[testKey], t)
	}
	l.board.Targets.Store(view)
	for _, p := range l.placers {
		p.deps.Board.Targets.Store(view)
	}
}

// call picks a target, runs a call there and reports whether one was granted.
func (l *coldCluster) call(t *testing.T, p *Placer) bool {
	now := time.Now()
	g, _ := p.Pick(t.Context(), pick.Request{Service: testKey, Arrived: now, Objective: 300 * time.Millisecond})
	if g == nil {
		return false
	}
	l.targets[g.Target().ID].run()
	g.Release(pick.Report{Class: pick.OK, Latency: time.Since(now), TargetLoad: targetapi.Load{Slots: 2, Slowdown: 1}})
	return true
}

// runLoad sends calls at a total rate to random hosts for a time, and returns how many were
// sent and refused.
func (l *coldCluster) runLoad(t *testing.T, rng *rand.Rand, rate float64, d time.Duration) (sent, refused int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		p := l.placer(rng.IntN(coldHosts))
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

// The evacuation of a zone ends after its targets had no calls for seconds, and all of them are
// cold. They are idle, so they look cheapest to every host. No target may get more calls per
// second than its cold limit; meanwhile the other zone serves the callers, and once the targets
// are warm the zone gets its share of the load again.
func TestZoneThatIsTakenBackIsNotFlooded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newColdCluster(t, 40)
		defer l.board.Close()
		rng := rand.New(rand.NewPCG(7, 7))
		inZone := func(tg *blackboard.Target) bool { return tg.Zone == "z1" }
		l.setTargets(func(tg *blackboard.Target) { tg.Evacuated = inZone(tg) })
		sent, refused := l.runLoad(t, rng, 300, 3*time.Second)
		assert.Check(t, refused < sent/100, "%d of %d refused", refused, sent)
		back := time.Now()
		for id, tg := range l.targets {
			if id[len(id)-1]%2 == 1 {
				assert.Equal(t, len(tg.calls), 0, "%s", id)
				tg.coldUntil = back.Add(coldDuration)
			}
		}
		l.setTargets(func(tg *blackboard.Target) {
			if inZone(tg) {
				tg.ReturnedAt = back
			}
		})
		sent, refused = l.runLoad(t, rng, 300, coldDuration)
		worst, cold := 0, 0
		for _, tg := range l.targets {
			if !tg.coldUntil.IsZero() {
				worst, cold = max(worst, tg.maxPerSecond(back)), cold+len(tg.calls)
			}
		}
		t.Logf("%d calls, %d refused; cold targets got %d, one of them %d in a second", sent, refused, cold, worst)
		assert.Check(t, worst <= maxColdCalls, "%d in a second", worst)
		assert.Check(t, refused < sent/100, "%d of %d refused", refused, sent)
		assert.Check(t, cold > 0, "cold targets got no calls at all")
		sent, refused = l.runLoad(t, rng, 300, 2*time.Second)
		warm := -cold
		for _, tg := range l.targets {
			if !tg.coldUntil.IsZero() {
				warm += len(tg.calls)
			}
		}
		assert.Check(t, warm > sent/3, "%d of %d calls went to the zone after it warmed up", warm, sent)
		assert.Check(t, refused < sent/100)
	})
}

// The evacuation of a zone ends and its targets are warm. Hosts presume them to be cold, but
// probe them and send them calls at once.
func TestZoneThatIsWarmIsUsedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newColdCluster(t, 40)
		defer l.board.Close()
		rng := rand.New(rand.NewPCG(8, 8))
		back := time.Now()
		l.setTargets(func(tg *blackboard.Target) {
			if tg.Zone == "z1" {
				tg.ReturnedAt = back
			}
		})
		sent, refused := l.runLoad(t, rng, 300, time.Second)
		used := 0
		for id, tg := range l.targets {
			if id[len(id)-1]%2 == 1 {
				used += len(tg.calls)
			}
		}
		assert.Equal(t, refused, 0)
		assert.Check(t, used > sent/3, "%d of %d", used, sent)
	})
}

// All targets of a service are cold and the load exceeds their cold limits: the excess is
// refused at once and no target gets more than its limit.
func TestExcessCallsToColdTargetsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newColdCluster(t, 40)
		defer l.board.Close()
		begin := time.Now()
		for _, tg := range l.targets {
			tg.coldUntil = begin.Add(coldDuration)
		}
		l.setTargets(func(tg *blackboard.Target) { tg.WarmUntil = begin.Add(coldDuration) })
		sent, refused := l.runLoad(t, rand.New(rand.NewPCG(9, 9)), 600, coldDuration)
		worst := 0
		for _, tg := range l.targets {
			worst = max(worst, tg.maxPerSecond(begin))
		}
		t.Logf("%d calls, %d refused, one target had %d in a second", sent, refused, worst)
		assert.Check(t, worst <= maxColdCalls)
		served := float64(sent - refused)
		assert.Check(t, served > 0.6*coldRate*2*coldTargetsPerZone*coldDuration.Seconds(), "%v served", served)
	})
}

// A zone loses power under load and comes back cold, with the target list a second behind. The
// hosts have used up their probe quota and still hold load reports from before. Their calls
// must not overload the cold targets.
func TestColdTargetsAreNotFloodedByHostsThatMayNotProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newColdCluster(t, 5)
		defer l.board.Close()
		rng := rand.New(rand.NewPCG(10, 10))
		l.runLoad(t, rng, 600, 2*time.Second)
		back := time.Now()
		for id, tg := range l.targets {
			if id[len(id)-1]%2 == 1 {
				tg.coldUntil = back.Add(coldDuration)
			}
		}
		sent, refused := l.runLoad(t, rng, 900, coldDuration)
		worst := 0
		for _, tg := range l.targets {
			worst = max(worst, tg.maxPerSecond(back))
		}
		t.Logf("%d calls, %d refused, one target had %d in a second", sent, refused, worst)
		assert.Check(t, worst <= maxColdCalls)
	})
}

// A target that was unreachable answers that it is cold. That resets its backoff, so that the
// next short failure starts again with the shortest one.
func TestColdAnswerResetsBackoff(t *testing.T) {
	now := time.Now()
	tg := unreportedTarget("a")
	s := &service{targets: map[ports.HostID]*target{"a": tg}, limits: coldLimits{warmUp: coldDuration, perSecond: coldRate}}
	tg.markUnreachable(now)
	tg.probeDone = make(chan struct{})
	change := s.recordProbe(tg, probeResult{reached: true, signals: targetapi.Signals{HasLoad: true, Load: targetapi.Load{Slots: 2, Slowdown: 1}, WarmUp: time.Second}}, time.Millisecond)
	assert.Equal(t, change, msgCold)
	assert.Equal(t, tg.connectFailures, 0)
	assert.Check(t, tg.cold.Cold(time.Now()) && tg.cold.Confirmed())
}

// The log line of a call to a cold target must say why it was taken for cold: by its own report
// ("answer"), or "" if nothing is known of it.
func TestBasisSaysWhyATargetIsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, want := range []string{"answer", ""} {
			l := newColdCluster(t, 40)
			for _, tg := range l.targets {
				if want != "" {
					tg.coldUntil = time.Now().Add(coldDuration)
				}
			}
			seen := make(map[string]int)
			for _, p := range l.placers {
				if g, _ := p.Pick(t.Context(), pick.Request{Service: testKey}); g != nil {
					seen[g.(pick.Explainer).Basis().Cold]++
				}
			}
			assert.Equal(t, len(seen), 1, "%v", seen)
			assert.Check(t, seen[want] > 0, "%v", seen)
			_ = l.board.Close()
		}
	})
}
