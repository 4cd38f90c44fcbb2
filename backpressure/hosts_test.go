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

// window and allowed are what a target gets at most by targetapi.HeaderLimit.
const window = 4 * time.Second

func allowed(limit float64) float64 { return 1.5*limit*window.Seconds() + 5 }

// fleet is hosts of three zones that choose among the same targets, in virtual time.
type fleet struct {
	net     *peernet.Network
	hosts   []*host
	targets []blackboard.Target

	mu sync.Mutex
	// limit is what each target names, or the first limited of them; 0 means none.
	limit   float64
	limited int
	arrived map[ports.HostID][]time.Time
	served  int
	refused int
	// messages are those between hosts, replies included.
	messages int
}

type host struct {
	id     ports.HostID
	picker *Picker
	down   bool
	stop   func()
	// start starts it anew.
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
		Picker: &anyTarget{fl: fl, rng: rand.New(rand.NewPCG(uint64(i), 1))}, Board: board, Link: fl.net.Join(self.ID), Zone: self.Zone,
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

// anyTarget picks targets at random.
type anyTarget struct {
	fl  *fleet
	mu  sync.Mutex
	rng *rand.Rand
}

func (a *anyTarget) Pick(_ context.Context, req pick.Request) (pick.Grant, outcome.Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, i := range a.rng.Perm(len(a.fl.targets)) {
		if t := a.fl.targets[i]; !slices.Contains(req.Avoid, t.ID) {
			return &sent{target: t}, outcome.Result{}
		}
	}
	return nil, outcome.Refuse(outcome.ReasonNoTarget)
}

type sent struct{ target blackboard.Target }

func (s *sent) Target() blackboard.Target { return s.target }
func (s *sent) Release(pick.Report)       {}

// call has a caller of a host send a request; its target's answer tells of the limit.
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
		h.picker.Heard(service, t, targetapi.Signals{Limit: fl.named(t.ID)})
		g.Release(pick.Report{Class: pick.OK, Load: -1})
	}()
}

// named is the limit that a target names. The lock is held.
func (fl *fleet) named(id ports.HostID) targetapi.Limit {
	i := slices.IndexFunc(fl.targets, func(t blackboard.Target) bool { return t.ID == id })
	if fl.limit == 0 || i >= fl.limited {
		return targetapi.Limit{}
	}
	return targetapi.Limit{Named: true, PerSecond: fl.limit}
}

// load sends so many calls a second for a while, at random hosts.
func (fl *fleet) load(perSecond float64, d time.Duration) {
	rng := rand.New(rand.NewPCG(7, 7))
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		fl.call(fl.hosts[rng.IntN(len(fl.hosts))])
	}
	time.Sleep(time.Second)
}

// begin forgets what came before.
func (fl *fleet) begin() {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	clear(fl.arrived)
	fl.served, fl.refused, fl.messages = 0, 0, 0
}

// most returns the most requests that any target got within the window.
func (fl *fleet) most() (most int) {
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

// Guards against hosts that each keep a target's limit for themselves, and against limits that
// are kept by leaving them idle.
func TestManyHostsKeepLimitsTogether(t *testing.T) {
	for _, c := range []struct {
		hosts, targets int
		limit          float64
	}{{1, 1, 1}, {14, 14, 1}, {14, 3, 7.5}, {100, 40, 0.5}, {100, 5, 30}, {30, 6, 0.2}} {
		for _, times := range []float64{0.6, 3} {
			withFleet(t, c.hosts, c.targets, c.limit, func(fl *fleet) {
				carried := c.limit * float64(c.targets)
				fl.load(times*carried, 8*time.Second)
				fl.begin()
				const span = 30 * time.Second
				fl.load(times*carried, span)
				got := fl.most()
				t.Logf("%+v, load %v: served %d, refused %d, most in a window %d of %v, %d messages",
					c, times, fl.served, fl.refused, got, allowed(c.limit), fl.messages)
				assert.Check(t, float64(got) <= allowed(c.limit))
				assert.Check(t, float64(fl.served) > 0.85*min(times, 1)*carried*span.Seconds())
			})
		}
	}
}

// Guards against hosts that count for a target twice over while they follow each other.
func TestLimitHoldsWhileHostsGo(t *testing.T) {
	for seed := range uint64(6) {
		withFleet(t, 30, 10, 2, func(fl *fleet) {
			fl.load(60, 6*time.Second)
			fl.begin()
			rng := rand.New(rand.NewPCG(seed, 3))
			for range 6 {
				fl.kill(fl.hosts[rng.IntN(len(fl.hosts))])
				fl.load(60, 4*time.Second)
			}
			got := fl.most()
			t.Logf("seed %d: served %d, refused %d, most in a window %d of %v", seed, fl.served, fl.refused, got, allowed(2))
			assert.Check(t, float64(got) <= allowed(2))
		})
	}
}

// Guards against hosts that go on keeping a limit which its target names no more.
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
			fl.begin()
			fl.load(perSecond, 5*time.Second)
			t.Logf("%+v: served %d, refused %d", c, fl.served, fl.refused)
			assert.Check(t, fl.refused < fl.served/20, "%d of %d", fl.refused, fl.served)
		})
	}
}

// Guards against a host that serves nobody, since no other host can tell it of targets that never
// named a limit.
func TestHostThatIsCutOffUsesTargetsWithoutLimits(t *testing.T) {
	withFleet(t, 14, 6, 1, func(fl *fleet) {
		fl.limited = 1
		fl.load(60, 6*time.Second)
		alone := fl.hosts[0]
		for _, h := range fl.hosts[1:] {
			fl.net.Block(alone.id, h.id)
			fl.net.Block(h.id, alone.id)
		}
		fl.begin()
		for range 300 {
			fl.call(alone)
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(time.Second)
		t.Logf("served %d, refused %d", fl.served, fl.refused)
		assert.Check(t, fl.refused < fl.served/20, "%d of %d", fl.refused, fl.served)
	})
}

// Guards against hosts that start while a limit is named and go by what they have not heard.
func TestLimitHoldsWhileHostsStartAnew(t *testing.T) {
	withFleet(t, 30, 10, 2, func(fl *fleet) {
		fl.load(60, 6*time.Second)
		fl.begin()
		for i := range fl.hosts {
			fl.kill(fl.hosts[i])
			fl.load(60, 300*time.Millisecond)
			fl.hosts[i] = fl.hosts[i].start()
		}
		fl.load(60, 10*time.Second)
		got := fl.most()
		t.Logf("served %d, refused %d, most in a window %d of %v", fl.served, fl.refused, got, allowed(2))
		assert.Check(t, float64(got) <= allowed(2))
	})
}
