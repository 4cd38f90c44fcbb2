package targets

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/internal/fakes/peernet"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/ports"
)

// spreadWithin bounds the time from the first sign of leaving at any host until no
// reachable host sends new requests to the target.
const spreadWithin = 2 * time.Second

var testKey = blackboard.ServiceKey{Workspace: "w", Service: "s"}

func TestMain(m *testing.M) {
	// Defaults; flags on the command line override them.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "60")
	flag.Parse()
	os.Exit(m.Run())
}

func targetID(i int) ports.HostID { return ports.HostID(fmt.Sprintf("t%02d", i)) }

func listOf(version uint64, states ...ports.HostState) ports.HostSnapshot {
	snap := ports.HostSnapshot{Version: version}
	for i, s := range states {
		snap.Hosts = append(snap.Hosts, ports.Host{
			ID: targetID(i), Role: ports.RoleTarget, State: s, Workspace: testKey.Workspace, Service: testKey.Service,
		})
	}
	return snap
}

func liveList(version uint64, n int) ports.HostSnapshot {
	states := make([]ports.HostState, n)
	for i := range states {
		states[i] = ports.HostLive
	}
	return listOf(version, states...)
}

type testHost struct {
	c     *Controller
	board *blackboard.Board
}

func (h *testHost) target(i int) blackboard.Target {
	for _, t := range h.board.Targets.Load().ByService[testKey] {
		if t.ID == targetID(i) {
			return t
		}
	}
	return blackboard.Target{}
}

// mark marks a target as a picker does when the target responds that it is draining.
func (h *testHost) mark(i int) {
	h.board.Targets.Update(func(old *blackboard.Targets) (*blackboard.Targets, bool) {
		return old.WithLeaving(testKey, ports.RunID(targetID(i)), time.Now())
	})
}

// runWithHosts runs f in virtual time with n hosts that know each other and ten live targets.
func runWithHosts(t *testing.T, n int, f func(net *peernet.Network, hosts []*testHost)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		net := peernet.New()
		net.Delay = func(_, _ peer.HostID) time.Duration { return 500 * time.Microsecond }
		view := &blackboard.Members{}
		hosts := make([]*testHost, n)
		for i := range hosts {
			id := ports.HostID(fmt.Sprintf("h%03d", i))
			view.Members = append(view.Members, blackboard.Member{Host: ports.Host{ID: id}, State: blackboard.MemberLive})
			h := &testHost{board: blackboard.New()}
			h.c = New(Options{Link: net.Join(id), Board: h.board})
			hosts[i] = h
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, n)
		for _, h := range hosts {
			h.board.Members.Store(view)
			h.c.ApplyList(liveList(1, 10))
			go func() { done <- h.c.Run(ctx) }()
		}
		f(net, hosts)
		cancel()
		for range hosts {
			<-done
		}
		time.Sleep(time.Second)
	})
}

// unaware counts the hosts that would still send new requests to the target.
func unaware(hosts []*testHost, target int) int {
	n := 0
	for _, h := range hosts {
		if !h.target(target).Leaving {
			n++
		}
	}
	return n
}

func TestListKeepsWhatIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &testHost{board: blackboard.New()}
		h.c = New(Options{Link: peernet.New().Join("h"), Board: h.board})
		h.board.Status.Update(func(s blackboard.Status) (blackboard.Status, bool) {
			s.ConfigConfirmed = true
			return s, true
		})
		assert.Check(t, !h.board.Status.Load().Ready(), "a host without a list has no targets to offer")
		h.c.ApplyList(liveList(1, 2))
		assert.Check(t, h.board.Status.Load().Ready())
		assert.Check(t, h.target(0).FirstSeen.IsZero(), "targets listed at the start are warm")
		time.Sleep(time.Minute)
		h.c.ApplyList(listOf(2, ports.HostLeaving, ports.HostLive, ports.HostLive))
		since := time.Now()
		assert.Equal(t, h.target(2).FirstSeen, since)
		time.Sleep(time.Minute)
		h.c.ApplyList(liveList(3, 3))
		assert.Check(t, h.target(0).Leaving, "the mark stays while the target is listed")
		assert.Equal(t, h.target(0).LeavingSince, since)
		assert.Equal(t, h.target(2).FirstSeen, since)
		h.c.ApplyList(listOf(4))
		h.c.ApplyList(liveList(5, 3))
		assert.Check(t, h.target(0).Leaving, "a list that omits the target for a moment does not clear the mark")
		h.c.ApplyList(listOf(6))
		time.Sleep(2 * markTTL)
		h.c.ApplyList(listOf(7))
		assert.Equal(t, len(h.c.marks.lastListed), 0)
	})
}

// A target reports in a response to one host that it is draining; the list follows only
// seconds later. All hosts must stop sending requests to it within 2 s.
func TestFirstSignReachesAll(t *testing.T) {
	for _, n := range []int{15, 50, 150} {
		runWithHosts(t, n, func(_ *peernet.Network, hosts []*testHost) {
			start := time.Now()
			hosts[n/2].mark(3)
			for unaware(hosts, 3) > 0 && time.Since(start) < spreadWithin {
				time.Sleep(5 * time.Millisecond)
			}
			assert.Check(t, unaware(hosts, 3) == 0, "%d of %d hosts do not know", unaware(hosts, 3), n)
			t.Logf("%d hosts: all know after %v", n, time.Since(start))
			sent := int64(0)
			for _, h := range hosts {
				sent += h.c.count.sent.Value()
			}
			assert.Check(t, sent <= int64(n*(forwardFanout+1)+n), "%d messages", sent)
		})
	}
}

// The list of one host lags and does not have a target yet that is already leaving. The
// host keeps the mark until its list has the target, and sends it no requests.
func TestMarkComesBeforeTheTarget(t *testing.T) {
	runWithHosts(t, 3, func(_ *peernet.Network, hosts []*testHost) {
		hosts[0].c.ApplyList(liveList(2, 11))
		hosts[0].mark(10)
		time.Sleep(spreadWithin)
		hosts[1].c.ApplyList(liveList(2, 11))
		assert.Check(t, hosts[1].target(10).Leaving)
	})
}

// randomCuts returns random one-way link failures, at most four at each of n hosts.
func randomCuts(rng *rand.Rand, n int) [][2]int {
	lost := make([]int, n)
	var cuts [][2]int
	for _, at := range rng.Perm(n * n) {
		from, to := at/n, at%n
		if from == to || lost[from] == 4 || lost[to] == 4 {
			continue
		}
		lost[from]++
		lost[to]++
		cuts = append(cuts, [2]int{from, to})
	}
	return cuts
}

// A third of the links drop all messages in one direction. Each host still reaches some
// others, so the mark reaches all in time, including those that can't receive from the
// host that saw it first.
func TestFirstSignPassesCuts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cuts := randomCuts(rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0)), 12)
		left := -1
		runWithHosts(t, 12, func(net *peernet.Network, hosts []*testHost) {
			for _, c := range cuts {
				net.Block(hosts[c[0]].c.opts.Link.Self(), hosts[c[1]].c.opts.Link.Self())
			}
			hosts[0].mark(1)
			time.Sleep(spreadWithin)
			left = unaware(hosts, 1)
		})
		if left != 0 {
			rt.Fatalf("%d hosts do not know", left)
		}
	})
}

// BenchmarkApplyList applies a new version of a list of 15,000 targets of 490 services.
func BenchmarkApplyList(b *testing.B) {
	h := &testHost{board: blackboard.New()}
	h.c = New(Options{Link: peernet.New().Join("h"), Board: h.board})
	snap := ports.HostSnapshot{}
	for i := range 15000 {
		snap.Hosts = append(snap.Hosts, ports.Host{
			ID: targetID(i), Role: ports.RoleTarget, State: ports.HostLive,
			Workspace: "w", Service: fmt.Sprint("s", i%490),
		})
	}
	b.ReportAllocs()
	for b.Loop() {
		snap.Version++
		h.c.ApplyList(snap)
	}
}
