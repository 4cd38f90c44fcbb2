package quota

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
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/quota"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/routing"
)

var tolerance = quota.Tolerance{Window: 5 * time.Second, Share: 0.1, Requests: 20}

// fleet is hosts in three availability zones that keep quotas together, in virtual time.
type fleet struct {
	t       *testing.T
	net     *peernet.Network
	members *blackboard.Members
	table   *routing.Table
	hosts   []*host
	// handOver is that of hosts that start from now on; careless ones never miss the store.
	handOver time.Duration
	careless bool
	// callersAt are the hosts that callers come to.
	callersAt []*host

	began time.Time

	mu sync.Mutex
	// storeOut is set while the store is out for all.
	storeOut bool
	// granted and refused are what callers were told, by tenant.
	granted map[string][]time.Time
	refused map[string]int
}

type host struct {
	id    ports.HostID
	zone  string
	board *blackboard.Board
	c     *Controller
	up    bool
	stop  func()
	// unwatchedAt is when the host was cut off from the store and those that watch it.
	unwatchedAt time.Time
}

// noticeAfter is how long a host takes to miss the heartbeats of those that watch the store.
const noticeAfter = 600 * time.Millisecond

// watched reports whether a host believes that it has word of the store.
func (fl *fleet) watched(h *host) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.careless || !fl.storeOut && (h.unwatchedAt.IsZero() || time.Since(h.unwatchedAt) < noticeAfter)
}

var zones = []string{"a", "b", "c"}

func withFleet(t *testing.T, n int, tenants []routing.Tenant, f func(fl *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := &fleet{
			t: t, net: peernet.New(), handOver: usualHandOver, members: &blackboard.Members{Complete: true},
			granted: make(map[string][]time.Time), refused: make(map[string]int),
		}
		fl.net.Delay = func(ports.HostID, ports.HostID) time.Duration { return time.Millisecond }
		fl.table = tableOf(tenants)
		for i := range n {
			h := &host{id: ports.HostID(fmt.Sprintf("h%03d", i)), zone: zones[i%len(zones)]}
			fl.hosts = append(fl.hosts, h)
			m := ports.Host{ID: h.id, Zone: h.zone}
			fl.members.Members = append(fl.members.Members, blackboard.Member{Host: m, State: blackboard.MemberLive, Ready: true})
		}
		fl.callersAt = fl.hosts
		for _, h := range fl.hosts {
			fl.start(h)
		}
		time.Sleep(10 * time.Second)
		fl.began = time.Now()
		f(fl)
		for _, h := range fl.hosts {
			fl.kill(h)
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
	})
}

func tableOf(tenants []routing.Tenant) *routing.Table {
	c := &routing.Config{Version: 1, RequiresKey: true, Tenants: tenants}
	return routing.NewTable(c, rand.New(rand.NewPCG(1, 1)))
}

// start starts a host that knows all others and nothing of what was granted before.
func (fl *fleet) start(h *host) {
	link := fl.net.Join(h.id)
	h.board = blackboard.New()
	members := *fl.members
	members.Self = h.id
	h.board.Members.Store(&members)
	h.board.Routes.Store(fl.table)
	others := slices.DeleteFunc(slices.Clone(zones), func(z string) bool { return z == h.zone })
	h.c = New(Deps{
		Board: h.board, Link: link, Kind: peer.KindQuota, Limits: Tenants{h.board}, Subject: SubjectTenant, Zone: h.zone, Others: others, Tolerance: tolerance,
		Watched: func() bool { return fl.watched(h) }, Metrics: metrics.New(), Log: zap.NewNop(),
	})
	h.c.handOver = fl.handOver
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = h.c.Run(ctx)
	}()
	h.up = true
	h.stop = func() {
		cancel()
		<-done
		_ = h.board.Close()
	}
}

func (fl *fleet) kill(h *host) {
	if h.up {
		h.up = false
		fl.net.Leave(h.id)
		h.stop()
	}
}

// cutOff cuts some hosts off from all others and from the store, both ways, but not from each
// other.
func (fl *fleet) cutOff(hosts ...*host) {
	for _, h := range hosts {
		for _, other := range fl.hosts {
			if !slices.Contains(hosts, other) {
				fl.net.Block(h.id, other.id)
				fl.net.Block(other.id, h.id)
			}
		}
		fl.mu.Lock()
		h.unwatchedAt = time.Now()
		fl.mu.Unlock()
	}
}

// heal ends all cuts.
func (fl *fleet) heal() {
	fl.net.UnblockAll()
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, h := range fl.hosts {
		h.unwatchedAt = time.Time{}
	}
}

// third returns a third of the hosts, at random.
func (fl *fleet) third(rng *rand.Rand) (some []*host) {
	for _, i := range rng.Perm(len(fl.hosts))[:len(fl.hosts)/3] {
		some = append(some, fl.hosts[i])
	}
	return some
}

// configure puts other tenants in force everywhere.
func (fl *fleet) configure(tenants []routing.Tenant) {
	fl.table = tableOf(tenants)
	for _, h := range fl.hosts {
		if h.up {
			h.board.Routes.Store(fl.table)
		}
	}
}

// request has a caller of a host send a request of a tenant.
func (fl *fleet) request(h *host, tenant string) {
	if !h.up {
		return
	}
	c := h.c
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		r := c.Take(ctx, quota.Request{Name: tenant, Left: -1})
		fl.mu.Lock()
		defer fl.mu.Unlock()
		if !h.up || h.c != c {
			return // nobody is told anything by a host that was killed
		}
		if r.Outcome == 0 {
			fl.granted[tenant] = append(fl.granted[tenant], time.Now())
			return
		}
		fl.refused[tenant]++
		if testing.Verbose() {
			fl.t.Logf("%s refused at %s after %s: %s %s", tenant, h.id, time.Since(fl.began), r.Reason, r.Why)
		}
	}()
}

// load sends requests of a tenant to random hosts for a while, so many a second.
func (fl *fleet) load(rng *rand.Rand, tenant string, perSecond float64, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		fl.request(fl.callersAt[rng.IntN(len(fl.callersAt))], tenant)
	}
}

// most returns the most requests of a tenant that were granted within any window.
func (fl *fleet) most(tenant string) int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	found, from := 0, 0
	for i, at := range fl.granted[tenant] {
		for at.Sub(fl.granted[tenant][from]) >= tolerance.Window {
			from++
		}
		found = max(found, i-from+1)
	}
	return found
}

func (fl *fleet) within(tenant routing.Tenant) {
	fl.t.Helper()
	n := fl.most(tenant.Name)
	assert.Check(fl.t, float64(n) <= bound(tenant), "%s: %d within a window, %.1f may be", tenant.Name, n, bound(tenant))
}

var (
	large = routing.Tenant{Name: "large", Rate: 100, Burst: 100}
	small = routing.Tenant{Name: "small", Rate: 1, Burst: 1}
)

func (fl *fleet) killSome(n int) {
	for i := range n {
		fl.kill(fl.hosts[2*i])
	}
}

func (fl *fleet) restartAll() {
	for _, h := range fl.hosts {
		fl.kill(h)
	}
	time.Sleep(time.Second)
	for _, h := range fl.hosts {
		fl.start(h)
	}
	time.Sleep(100 * time.Millisecond)
}

func (fl *fleet) roll() {
	for _, h := range fl.hosts {
		time.Sleep(300 * time.Millisecond)
		fl.kill(h)
		time.Sleep(300 * time.Millisecond)
		fl.start(h)
	}
}

// bound is the most requests of a tenant that may be granted within a window.
func bound(tenant routing.Tenant) float64 {
	return tolerance.Most(quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst}, tolerance.Window)
}

// cutZone cuts a zone off from all others.
func (fl *fleet) cutZone(zone string) {
	for _, a := range fl.hosts {
		for _, b := range fl.hosts {
			if a.zone == zone && b.zone != zone {
				fl.net.Block(a.id, b.id)
				fl.net.Block(b.id, a.id)
			}
		}
	}
}
