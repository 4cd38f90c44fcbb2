package admission

import (
	"context"
	"expvar"
	"fmt"
	"math/rand/v2"
	"regexp"
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
	policy "github.com/cactusproxy/cactusproxy/policy/admission"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/routing"
)

// fakePicker grants up to a number of calls a second and records the requests that it got.
type fakePicker struct {
	perSecond float64
	tokens    float64
	last      time.Time
	got       []pick.Request
	// lackOfTime makes refusals be for lack of time.
	lackOfTime bool
}

// maxTokens is the number of calls that a fakePicker grants at once.
const maxTokens = 5

type fakeGrant struct{ pick.Grant }

func (fakeGrant) Release(pick.Report) {}

func (p *fakePicker) Pick(_ context.Context, req pick.Request) (pick.Grant, outcome.Result) {
	p.got = append(p.got, req)
	now := time.Now()
	p.tokens = min(p.tokens+p.perSecond*now.Sub(p.last).Seconds(), maxTokens)
	p.last = now
	// Spare calls leave some tokens, as they leave slots of targets.
	if p.tokens >= 1 && (!req.LeaveSlot || p.tokens >= 2) {
		p.tokens--
		return fakeGrant{}, outcome.Result{}
	}
	refusal := outcome.Refuse(outcome.ReasonOverload)
	refusal.NoSlot = !p.lackOfTime
	return nil, refusal
}

// testHost is a host with a fake picker.
type testHost struct {
	*Controller
	picker *fakePicker
}

// startHosts starts hosts that know each other.
func startHosts(t *testing.T, net *peernet.Network, c *routing.Config, n int) (hosts []testHost) {
	board := blackboard.New()
	members := &blackboard.Members{Complete: true}
	for i := range n {
		members.Members = append(members.Members, blackboard.Member{Host: ports.Host{ID: hostID(i)}, State: blackboard.MemberLive, Ready: true})
	}
	board.Members.Store(members)
	board.Routes.Store(routing.NewTable(c, rand.New(rand.NewPCG(1, 1))))
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(func() {
		stop()
		time.Sleep(time.Second) // messages under way
		_ = board.Close()
	})
	for i := range n {
		p := &fakePicker{perSecond: 50, last: time.Now()}
		h := testHost{picker: p, Controller: New(Deps{
			Picker: p, ByPriority: true, Board: board, Link: net.Join(hostID(i)), Seed: uint64(i), Metrics: metrics.New(), Log: zap.NewNop(),
		})}
		hosts = append(hosts, h)
		go func() { _ = h.Run(ctx) }()
	}
	return hosts
}

// ask sends calls of a tenant to a host and returns how many were refused before the picker, or for
// their share.
func (h testHost) ask(t *testing.T, tenant string, priority, n int) (refused int) {
	for range n {
		before := len(h.picker.got)
		g, r := h.Pick(t.Context(), pick.Request{Service: fleetKey, Tenant: tenant, Priority: priority, Arrived: time.Now(), Objective: time.Second})
		if g != nil {
			g.Release(pick.Report{Class: pick.OK, Latency: 100 * time.Millisecond})
			continue
		}
		assert.Equal(t, r.Outcome, outcome.NotRun)
		assert.Equal(t, r.Status(), 503)
		if len(h.picker.got) == before || r.Admission != nil && r.Admission.Share < 1 {
			refused++
		}
	}
	return refused
}

// Without tenants and with one priority for each service, requests reach the wrapped picker as they
// are, also under shortage, and nothing is exchanged.
func TestInactiveWithoutTenantsOrPriorities(t *testing.T) {
	c := ranksConfig(0, 1)
	c.Routes[1].Split[0].Service = "other"
	c.Services = append(c.Services, routing.Service{Name: "other"})
	synctest.Test(t, func(t *testing.T) {
		net := peernet.New()
		net.OnSend = func(_, _ ports.HostID, _ peer.Kind, _ int) { t.Error("a message was sent") }
		hosts := startHosts(t, net, c, 3)
		for range 100 {
			for _, h := range hosts {
				assert.Equal(t, h.ask(t, "", 0, 10), 0)
			}
			time.Sleep(50 * time.Millisecond)
		}
		sent := pick.Request{
			Service: fleetKey, Tenant: "a", Priority: 3, Arrived: time.Now(), Objective: time.Second, Bytes: 5,
			Regions: []string{"r"}, Avoid: []ports.HostID{"t"}, Hedge: true, Exclusive: true, Digest: 9,
		}
		hosts[0].Pick(t.Context(), sent)
		got := hosts[0].picker.got
		assert.DeepEqual(t, got[len(got)-1], sent)
		for _, r := range got {
			assert.Check(t, !r.Spare && !r.LeaveSlot)
		}
	})
}

// overload makes a tenant ask all hosts for twice of what they can do, and another one for a fifth.
// It returns how many calls of each were refused at once.
func overload(t *testing.T, hosts []testHost, d time.Duration) (flood, light int) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, h := range hosts {
			flood += h.ask(t, "flood", 0, 5)
			light += h.ask(t, "light", 0, 1)
		}
	}
	return flood, light
}

// The owner of a service stops replying: the next host owns it, and the level stays in force.
func TestOwnerIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := peernet.New()
		hosts := startHosts(t, net, tenantsConfig("flood", "light"), 9)
		overload(t, hosts, 3*time.Second)
		owner := hosts[0].owner(fleetKey)
		for i := range hosts {
			net.Block(hostID(i), owner)
			net.Block(owner, hostID(i))
		}
		flood, light := overload(t, hosts, 3*time.Second)
		assert.Check(t, flood > 9*60*5/4, "%d refused", flood)
		assert.Check(t, light < 9*60/10, "%d refused", light)
		next := hosts[0].owner(fleetKey)
		assert.Check(t, next != owner || hosts[0].self == owner)
	})
}

// A host that starts amid an overload admits all calls until it has seen or heard of it, and is
// told the level with its first report.
func TestStartingHostAdmitsUntilItKnows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := peernet.New()
		hosts := startHosts(t, net, tenantsConfig("flood", "light"), 6)
		started := hosts[5]
		if started.owner(fleetKey) == started.self {
			started = hosts[4]
		}
		others := make([]testHost, 0, 5)
		for _, h := range hosts {
			if h.self != started.self {
				others = append(others, h)
			}
		}
		overload(t, others, 3*time.Second)
		assert.Equal(t, started.ask(t, "flood", 0, 20), 0)
		started.picker.perSecond, started.picker.tokens = 0, 0
		started.ask(t, "flood", 0, 1)
		overload(t, others, 300*time.Millisecond)
		assert.Check(t, started.ask(t, "flood", 0, 40) > 5)
	})
}

// A flood ends: soon nothing is refused, and hosts stop reporting.
func TestLimitEndsWithTheShortage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := peernet.New()
		hosts := startHosts(t, net, tenantsConfig("flood", "light"), 6)
		overload(t, hosts, 3*time.Second)
		for range 100 {
			for _, h := range hosts {
				h.ask(t, "flood", 0, 1)
			}
			time.Sleep(50 * time.Millisecond)
		}
		net.OnSend = func(_, _ ports.HostID, _ peer.Kind, _ int) { t.Error("a message was sent") }
		for _, h := range hosts {
			assert.Equal(t, h.ask(t, "flood", 0, 4), 0)
		}
		time.Sleep(2 * time.Second)
	})
}

// Calls of a kind with a short objective are refused by the choice of a target although slots are
// free. That must not limit the others, which would leave more slots free.
func TestLackOfTimeIsNoLackOfRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts := startHosts(t, peernet.New(), tenantsConfig("flood", "light"), 4)
		for _, h := range hosts {
			h.picker.lackOfTime = true
		}
		flood, light := overload(t, hosts, 5*time.Second)
		assert.Equal(t, flood+light, 0)
	})
}

// A call whose first attempt was admitted isn't refused by its share when it is retried; a hedge is
// not sent while there is a shortage.
func TestRetriesKeepTheirRight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts := startHosts(t, peernet.New(), tenantsConfig("flood", "light"), 1)
		overload(t, hosts, 3*time.Second)
		h := hosts[0]
		before := len(h.picker.got)
		for range 50 {
			h.Pick(t.Context(), pick.Request{Service: fleetKey, Tenant: "flood", Avoid: []ports.HostID{"t1"}, Arrived: time.Now(), Objective: time.Second})
		}
		assert.Equal(t, len(h.picker.got)-before, 50)
		h.Pick(t.Context(), pick.Request{Service: fleetKey, Tenant: "flood", Hedge: true})
		assert.Equal(t, len(h.picker.got)-before, 50)
	})
}

// A configuration with bad values must neither stop a host nor lose requests: priorities below 0, a
// quota of 0, tenants that are gone.
func TestOddConfigurations(t *testing.T) {
	c := tenantsConfig("a", "b")
	c.Tenants[0].Priority, c.Tenants[1].Rate = -7, 0
	s := newScope(routing.NewTable(c, rand.New(rand.NewPCG(1, 1))), true)
	assert.Check(t, s.active("s") && s.weights == nil)
	c = tenantsConfig("a", "b", "c")
	c.Tenants[0].Rate, c.Tenants[1].Rate = 90, 10
	s = newScope(routing.NewTable(c, rand.New(rand.NewPCG(1, 1))), true)
	assert.Equal(t, s.weights("a"), 90.0)
	assert.Equal(t, s.weights("b"), 50.0)
	assert.Equal(t, s.weights("gone"), 50.0)
	assert.Check(t, !newScope(nil, true).active("s"))
}

// Counters have few labels, whatever priorities and tenants there are.
func TestCountersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHosts(t, peernet.New(), tenantsConfig("flood", "light"), 1)[0]
		for i := range 3000 {
			h.ask(t, fmt.Sprintf("t%d", i), i%100-20, 1)
			time.Sleep(5 * time.Millisecond)
		}
		n := 0
		h.count.refused.Do(func(kv expvar.KeyValue) {
			n++
			assert.Check(t, regexp.MustCompile(`^rank-[0-7]/(share|rank|late|no-room)$`).MatchString(kv.Key), "%s", kv.Key)
		})
		assert.Check(t, n > 0)
	})
}

// What another host reports is bounded and can't break the owner: ranks out of range, negative and
// endless counts.
func TestOddReports(t *testing.T) {
	r := report{Service: "s", Untracked: make([]float32, 300), Tracked: []keyed{{Rank: 255, Tenant: "a", N: -4}, {N: 3}}}
	for i := range 5000 {
		r.Tracked = append(r.Tracked, keyed{Tenant: fmt.Sprintf("t%d", i), N: 1})
	}
	d := r.demand()
	assert.Equal(t, d.Total(), 5003.0)
	l := policy.Shares(100, d, nil)
	assert.Check(t, len(l.Heavy) <= 32, "%d", len(l.Heavy))
	back := replyOf(l, true)
	got := back.level()
	assert.Equal(t, len(got.Heavy), len(l.Heavy))
	empty := levelReply{Limited: true}
	assert.Equal(t, (&empty).level().Ranks[3], 1.0)
}

// The whole decision of a host with 10,000 tenants, as far as it precedes the choice of a target.
func BenchmarkDecide(b *testing.B) {
	names := make([]string, 10000)
	for i := range names {
		names[i] = fmt.Sprintf("tenant-%d", i)
	}
	s := &service{rng: rand.New(rand.NewPCG(1, 1)), levelAt: time.Now().Add(time.Hour)}
	d := new(policy.Demand)
	for i, n := range names {
		d.Add(policy.NewKey(i%4, n), float64(i%50))
	}
	s.level = policy.Shares(d.Total()/2, d, nil)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		req := pick.Request{Tenant: names[i*7919%len(names)], Priority: i % 4, Arrived: s.levelAt, Objective: time.Second}
		s.decide(s.levelAt, requestOf(s.levelAt, req))
	}
}
