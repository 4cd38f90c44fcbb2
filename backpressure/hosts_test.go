package backpressure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/internal/fakes/peernet"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/targetapi"
)

var service = blackboard.ServiceKey{Service: "s"}

// window and allowed are the bound that targetapi.HeaderLimit promises to targets.
const window = 4 * time.Second

func allowed(limit float64) float64 { return 1.5*limit*window.Seconds() + 5 }

// fleet is a set of hosts in three zones that choose among the same targets, in virtual time.
type fleet struct {
	net     *peernet.Network
	hosts   []*host
	targets []blackboard.Target

	mu sync.Mutex
	// limit is the limit that the first limited targets set; 0 means none.
	limit   float64
	limited int
	arrived map[ports.HostID][]time.Time
	served  int
	refused int
	// messages counts messages between hosts, replies included.
	messages int
}

type host struct {
	id     ports.HostID
	picker *Picker
	down   bool
	stop   func()
	// start starts the host again after it was stopped.
	start func() *host
}

var zones = []string{"a", "b", "c"}

func withFleet(t *testing.T, hosts, targets int, limit float64, f func(fl *fleet)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		fl := &fleet{net: peernet.New(), limit: limit, limited: targets, arrived: make(map[ports.HostID][]time.Time)}
		fl.net.Delay = func(ports.HostID, ports.HostID) time.Duration { return time.Millisecond }
		fl.net.OnSend = func(_, _ ports.HostID, _ peer.Kind, _ int) {
			fl.mu.Lock()
			defer fl.mu.Unlock()
			fl.messages++
		}
		for i := range targets {
			fl.targets = append(fl.targets, blackboard.Target{ID: ports.HostID(fmt.Sprint("t", i)), Zone: zones[i%3]})
		}
		members := &blackboard.Members{Complete: true}
		for i := range hosts {
			h := ports.Host{ID: ports.HostID(fmt.Sprintf("h%03d", i)), Zone: zones[i%3]}
			members.Members = append(members.Members, blackboard.Member{Host: h, State: blackboard.MemberLive, Ready: true})
		}
		for i, m := range members.Members {
			fl.hosts = append(fl.hosts, fl.start(i, m.Host, members))
		}
		time.Sleep(10 * time.Second)
		f(fl)
		for _, h := range fl.hosts {
			fl.kill(h)
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
	})
}

func (fl *fleet) start(i int, self ports.Host, members *blackboard.Members) *host {
	board := blackboard.New()
	own := *members
	own.Self = self.ID
	board.Members.Store(&own)
	h := &host{id: self.ID, start: func() *host { return fl.start(i, self, members) }}
	h.picker = New(Deps{
		Picker: &randomPicker{fl: fl, rng: rand.New(rand.NewPCG(uint64(i), 1))}, Board: board, Link: fl.net.Join(self.ID), Zone: self.Zone,
		Watched: func() bool { return true }, Metrics: metrics.New(), Log: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = h.picker.Run(ctx)
	}()
	h.stop = func() {
		cancel()
		<-done
		_ = board.Close()
	}
	return h
}

func (fl *fleet) kill(h *host) {
	if !h.down {
		h.down = true
		fl.net.Leave(h.id)
		h.stop()
	}
}

// randomPicker picks targets at random.
type randomPicker struct {
	fl  *fleet
	mu  sync.Mutex
	rng *rand.Rand
}

func (a *randomPicker) Pick(_ context.Context, req pick.Request) (pick.Grant, outcome.Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, i := range a.rng.Perm(len(a.fl.targets)) {
		if t := a.fl.targets[i]; !slices.Contains(req.Avoid, t.ID) {
			return &testGrant{target: t}, outcome.Result{}
		}
	}
	return nil, outcome.Refuse(outcome.ReasonNoTarget)
}

type testGrant struct{ target blackboard.Target }

func (s *testGrant) Target() blackboard.Target { return s.target }
func (s *testGrant) Release(pick.Report)       {}

// call sends one request through a host; the target's response carries its limit.
func (fl *fleet) call(h *host) {
	if h.down {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		g, _ := h.picker.Pick(ctx, pick.Request{Service: service})
		fl.mu.Lock()
		defer fl.mu.Unlock()
		if g == nil {
			fl.refused++
			return
		}
		t := g.Target()
		fl.arrived[t.ID] = append(fl.arrived[t.ID], time.Now())
		fl.served++
		h.picker.HandleSignals(service, t, targetapi.Signals{Limit: fl.limitOf(t.ID)})
		g.Release(pick.Report{Class: pick.OK, Load: -1})
	}()
}

// limitOf returns the limit that a target sets. The caller holds the lock.
func (fl *fleet) limitOf(id ports.HostID) targetapi.Limit {
	i := slices.IndexFunc(fl.targets, func(t blackboard.Target) bool { return t.ID == id })
	if fl.limit == 0 || i >= fl.limited {
		return targetapi.Limit{}
	}
	return targetapi.Limit{Named: true, PerSecond: fl.limit}
}

// load sends calls at a rate through random hosts for a time.
func (fl *fleet) load(perSecond float64, d time.Duration) {
	rng := rand.New(rand.NewPCG(7, 7))
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		fl.call(fl.hosts[rng.IntN(len(fl.hosts))])
	}
	time.Sleep(time.Second)
}

// resetCounts discards the counts so far.
func (fl *fleet) resetCounts() {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	clear(fl.arrived)
	fl.served, fl.refused, fl.messages = 0, 0, 0
}

// maxPerWindow returns the most requests that any target got within the window.
func (fl *fleet) maxPerWindow() (most int) {
	for _, at := range fl.arrived {
		from := 0
		for i := range at {
			for at[i].Sub(at[from]) >= window {
				from++
			}
			most = max(most, i-from+1)
		}
	}
	return most
}

// Guards against hosts that each enforce a target's limit on their own, and against limits that
// are kept by leaving them unused.
func TestManyHostsKeepLimitsTogether(t *testing.T) {
	for _, c := range []struct {
		hosts, targets int
		limit          float64
	}{{1, 1, 1}, {14, 14, 1}, {14, 3, 7.5}, {100, 40, 0.5}, {100, 5, 30}, {30, 6, 0.2}} {
		for _, times := range []float64{0.6, 3} {
			withFleet(t, c.hosts, c.targets, c.limit, func(fl *fleet) {
				carried := c.limit * float64(c.targets)
				fl.load(times*carried, 8*time.Second)
				fl.resetCounts()
				const span = 30 * time.Second
				fl.load(times*carried, span)
				got := fl.maxPerWindow()
				t.Logf("%+v, load %v: served %d, refused %d, most in a window %d of %v, %d messages",
					c, times, fl.served, fl.refused, got, allowed(c.limit), fl.messages)
				assert.Check(t, float64(got) <= allowed(c.limit))
				assert.Check(t, float64(fl.served) > 0.85*min(times, 1)*carried*span.Seconds())
			})
		}
	}
}

// Guards against two hosts granting permits for the same target while the counting role moves.
func TestLimitHoldsWhileHostsGo(t *testing.T) {
	for seed := range uint64(6) {
		withFleet(t, 30, 10, 2, func(fl *fleet) {
			fl.load(60, 6*time.Second)
			fl.resetCounts()
			rng := rand.New(rand.NewPCG(seed, 3))
			for range 6 {
				fl.kill(fl.hosts[rng.IntN(len(fl.hosts))])
				fl.load(60, 4*time.Second)
			}
			got := fl.maxPerWindow()
			t.Logf("seed %d: served %d, refused %d, most in a window %d of %v", seed, fl.served, fl.refused, got, allowed(2))
			assert.Check(t, float64(got) <= allowed(2))
		})
	}
}

// Guards against enforcing a limit that its target no longer sets.
func TestLimitEndsAsSoonAsItIsNotNamed(t *testing.T) {
	for _, c := range []struct {
		hosts, targets int
		limit          float64
	}{{14, 3, 1}, {100, 40, 0.5}} {
		withFleet(t, c.hosts, c.targets, c.limit, func(fl *fleet) {
			perSecond := 3 * c.limit * float64(c.targets)
			fl.load(perSecond, 30*time.Second)
			fl.mu.Lock()
			fl.limit = 0
			fl.mu.Unlock()
			fl.load(perSecond, 5*time.Second)
			fl.resetCounts()
			fl.load(perSecond, 5*time.Second)
			t.Logf("%+v: served %d, refused %d", c, fl.served, fl.refused)
			assert.Check(t, fl.refused < fl.served/20, "%d of %d", fl.refused, fl.served)
		})
	}
}

// Guards against a partitioned host that refuses all calls because no other host can tell it
// that targets have no limit.
func TestHostThatIsCutOffUsesTargetsWithoutLimits(t *testing.T) {
	withFleet(t, 14, 6, 1, func(fl *fleet) {
		fl.limited = 1
		fl.load(60, 6*time.Second)
		cutOff := fl.hosts[0]
		for _, h := range fl.hosts[1:] {
			fl.net.Block(cutOff.id, h.id)
			fl.net.Block(h.id, cutOff.id)
		}
		fl.resetCounts()
		for range 300 {
			fl.call(cutOff)
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(time.Second)
		t.Logf("served %d, refused %d", fl.served, fl.refused)
		assert.Check(t, fl.refused < fl.served/20, "%d of %d", fl.refused, fl.served)
	})
}

// Guards against restarted hosts that treat targets as unlimited because they have not seen the
// limit yet.
func TestLimitHoldsWhileHostsStartAnew(t *testing.T) {
	withFleet(t, 30, 10, 2, func(fl *fleet) {
		fl.load(60, 6*time.Second)
		fl.resetCounts()
		for i := range fl.hosts {
			fl.kill(fl.hosts[i])
			fl.load(60, 300*time.Millisecond)
			fl.hosts[i] = fl.hosts[i].start()
		}
		fl.load(60, 10*time.Second)
		got := fl.maxPerWindow()
		t.Logf("served %d, refused %d, most in a window %d of %v", fl.served, fl.refused, got, allowed(2))
		assert.Check(t, float64(got) <= allowed(2))
	})
}
