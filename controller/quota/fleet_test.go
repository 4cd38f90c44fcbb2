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

// fleet is a number of hosts in three availability zones that enforce quotas together, in
// virtual time.
type fleet struct {
	t       *testing.T
	net     *peernet.Network
	members *blackboard.Members
	table   *routing.Table
	hosts   []*host
	// handoverDelay is that of hosts started from now on. With ignoreCut set, hosts never
	// notice that they are cut off from the store.
	handoverDelay time.Duration
	ignoreCut     bool
	// entryHosts are the hosts that callers send requests to.
	entryHosts []*host

	startedAt time.Time

	mu sync.Mutex
	// storeDown is set while the store is unavailable to all hosts.
	storeDown bool
	// granted and refused are the decisions that callers received, by tenant.
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
	// cutOffAt is when the host was cut off from the store and the hosts that watch it.
	cutOffAt time.Time
}

// detectionDelay is how long a host takes to notice missing heartbeats from hosts that
// watch the store.
const detectionDelay = 600 * time.Millisecond

// storeWatched reports whether a host believes that it hears from a host that watches the
// store.
func (fl *fleet) storeWatched(h *host) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.ignoreCut || !fl.storeDown && (h.cutOffAt.IsZero() || time.Since(h.cutOffAt) < detectionDelay)
}

var zones = []string{"a", "b", "c"}

func withFleet(t *testing.T, n int, tenants []routing.Tenant, f func(fl *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := &fleet{
			t: t, net: peernet.New(), handoverDelay: defaultHandoverDelay, members: &blackboard.Members{Complete: true},
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
		fl.entryHosts = fl.hosts
		for _, h := range fl.hosts {
			fl.start(h)
		}
		time.Sleep(10 * time.Second)
		fl.startedAt = time.Now()
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

// start starts a host that knows all others but has no record of earlier grants.
func (fl *fleet) start(h *host) {
	link := fl.net.Join(h.id)
	h.board = blackboard.New()
	members := *fl.members
	members.Self = h.id
	h.board.Members.Store(&members)
	h.board.Routes.Store(fl.table)
	others := slices.DeleteFunc(slices.Clone(zones), func(z string) bool { return z == h.zone })
	h.c = New(Deps{
		Board: h.board, Link: link, Kind: peer.KindQuota, Limits: Tenants{h.board}, Subject: SubjectTenant, Zone: h.zone, OtherZones: others, Tolerance: tolerance,
		StoreWatched: func() bool { return fl.storeWatched(h) }, Metrics: metrics.New(), Log: zap.NewNop(),
	})
	h.c.handoverDelay = fl.handoverDelay
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

// cutOff cuts hosts off from the store and, in both directions, from all other hosts, but
// not from each other.
func (fl *fleet) cutOff(hosts ...*host) {
	for _, h := range hosts {
		for _, other := range fl.hosts {
			if !slices.Contains(hosts, other) {
				fl.net.Block(h.id, other.id)
				fl.net.Block(other.id, h.id)
			}
		}
		fl.mu.Lock()
		h.cutOffAt = time.Now()
		fl.mu.Unlock()
	}
}

// heal ends all cuts.
func (fl *fleet) heal() {
	fl.net.UnblockAll()
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, h := range fl.hosts {
		h.cutOffAt = time.Time{}
	}
}

// randomThird returns a random third of the hosts.
func (fl *fleet) randomThird(rng *rand.Rand) (some []*host) {
	for _, i := range rng.Perm(len(fl.hosts))[:len(fl.hosts)/3] {
		some = append(some, fl.hosts[i])
	}
	return some
}

// configure applies a new list of tenants on all running hosts.
func (fl *fleet) configure(tenants []routing.Tenant) {
	fl.table = tableOf(tenants)
	for _, h := range fl.hosts {
		if h.up {
			h.board.Routes.Store(fl.table)
		}
	}
}

// request sends a tenant's request through a host.
func (fl *fleet) request(h *host, tenant string) {
	if !h.up {
		return
	}
	c := h.c
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		r := c.Take(ctx, quota.Request{Name: tenant, Remaining: -1})
		fl.mu.Lock()
		defer fl.mu.Unlock()
		if !h.up || h.c != c {
			return // the host was killed, so its caller gets no reply
		}
		if r.Outcome == 0 {
			fl.granted[tenant] = append(fl.granted[tenant], time.Now())
			return
		}
		fl.refused[tenant]++
		if testing.Verbose() {
			fl.t.Logf("%s refused at %s after %s: %s %s", tenant, h.id, time.Since(fl.startedAt), r.Reason, r.Detail)
		}
	}()
}

// load sends a tenant's requests to random hosts for a duration, at a rate per second.
func (fl *fleet) load(rng *rand.Rand, tenant string, perSecond float64, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		fl.request(fl.entryHosts[rng.IntN(len(fl.entryHosts))], tenant)
	}
}

// maxInWindow returns the largest number of a tenant's requests granted within any
// window.
func (fl *fleet) maxInWindow(tenant string) int {
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

func (fl *fleet) assertWithinQuota(tenant routing.Tenant) {
	fl.t.Helper()
	n := fl.maxInWindow(tenant.Name)
	assert.Check(fl.t, float64(n) <= maxGranted(tenant), "%s: %d within a window, %.1f allowed", tenant.Name, n, maxGranted(tenant))
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

func (fl *fleet) replaceInTurn() {
	for _, h := range fl.hosts {
		time.Sleep(300 * time.Millisecond)
		fl.kill(h)
		time.Sleep(300 * time.Millisecond)
		fl.start(h)
	}
}

// maxGranted is the largest number of a tenant's requests that may be granted within a
// window.
func maxGranted(tenant routing.Tenant) float64 {
	return tolerance.MaxRequests(quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst}, tolerance.Window)
}

// cutZone cuts the hosts of a zone off from all others, but not from the store.
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
