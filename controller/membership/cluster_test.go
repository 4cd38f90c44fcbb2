package membership

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/internal/fakes/peernet"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/ports"
)

func TestMain(m *testing.M) {
	// Defaults; flags on the command line override them.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "40")
	flag.Parse()
	os.Exit(m.Run())
}

// gate blocks callers of wait while it is closed, to simulate a paused process.
type gate struct {
	mu   sync.Mutex
	shut chan struct{}
}

func (g *gate) wait() {
	g.mu.Lock()
	shut := g.shut
	g.mu.Unlock()
	if shut != nil {
		<-shut
	}
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut == nil {
		g.shut = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut != nil {
		close(g.shut)
		g.shut = nil
	}
}

// gatedLink delays messages that arrive during a pause until it ends.
type gatedLink struct {
	peer.Link
	gate *gate
}

func (l gatedLink) Handle(k peer.Kind, h peer.Handler) {
	l.Link.Handle(k, func(ctx context.Context, from peer.HostID, body []byte) ([]byte, error) {
		l.gate.wait()
		return h(ctx, from, body)
	})
}

// testList is the host list as served to one host.
type testList struct {
	mu   sync.Mutex
	snap ports.HostSnapshot
	err  error
}

func (l *testList) List(context.Context, uint64) (ports.HostSnapshot, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.snap, l.err
}

func (l *testList) set(hosts []ports.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.snap = ports.HostSnapshot{Version: l.snap.Version + 1, Hosts: hosts}
}

func (l *testList) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.err = err
}

type testHost struct {
	c     *Controller
	board *blackboard.Board
	list  *testList
	gate  *gate
	stop  context.CancelFunc
	done  chan error
}

type cluster struct {
	t     testing.TB
	net   *peernet.Network
	hosts map[ports.HostID]*testHost
	rules rules
}

func hostID(i int) ports.HostID { return ports.HostID(fmt.Sprintf("h%03d", i)) }

func entryHost(id ports.HostID) ports.Host {
	return ports.Host{ID: id, Role: ports.RoleEntry, State: ports.HostLive, Zone: "a", PeerAddr: "addr-" + string(id)}
}

func entryHosts(n int) []ports.Host {
	out := make([]ports.Host, n)
	for i := range out {
		out[i] = entryHost(hostID(i))
	}
	return out
}

// newCluster starts n hosts that are all listed, and waits until they know each other.
// It must be called in a synctest bubble.
func newCluster(t testing.TB, n int) *cluster {
	c := &cluster{t: t, net: peernet.New(), hosts: make(map[ports.HostID]*testHost)}
	c.net.Delay = func(_, _ peer.HostID) time.Duration { return 500 * time.Microsecond }
	for i := range n {
		c.start(hostID(i), 1, entryHosts(n))
	}
	time.Sleep(3 * time.Second)
	return c
}

func (c *cluster) start(id ports.HostID, incarnation uint64, list []ports.Host) *testHost {
	h := &testHost{board: blackboard.New(), list: &testList{}, gate: &gate{}, done: make(chan error, 1)}
	h.list.set(list)
	h.board.Status.Store(blackboard.Status{ConfigConfirmed: true})
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	h.c = New(Options{
		Host: entryHost(id), Incarnation: incarnation, Board: h.board, List: h.list,
		Link: gatedLink{c.net.Join(id), h.gate}, beforeRound: h.gate.wait, rules: c.rules,
	})
	c.hosts[id] = h
	go func() { h.done <- h.c.Run(ctx) }()
	return h
}

func (c *cluster) kill(ids ...ports.HostID) {
	for _, id := range ids {
		h := c.hosts[id]
		c.net.Leave(id)
		h.gate.open()
		h.stop()
		<-h.done
		_ = h.board.Close()
		delete(c.hosts, id)
	}
}

func (c *cluster) close() {
	for _, id := range c.ids() {
		c.kill(id)
	}
	// Lets messages and calls in flight end; the longest timeout is shorter.
	time.Sleep(5 * time.Second)
}

func (c *cluster) ids() []ports.HostID {
	var out []ports.HostID
	for id := range c.hosts {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// setLists gives all hosts the same list.
func (c *cluster) setLists(hosts []ports.Host) {
	for _, h := range c.hosts {
		h.list.set(hosts)
	}
}

// state returns the state of a host in the view of another, or 0 if it is unknown there.
func (c *cluster) state(at, of ports.HostID) blackboard.MemberState {
	m, _ := c.hosts[at].board.Members.Load().Find(of)
	return m.State
}

// hostsNotSeeing returns the running hosts that see a host in any state but want.
func (c *cluster) hostsNotSeeing(of ports.HostID, want blackboard.MemberState) []ports.HostID {
	var out []ports.HostID
	for _, at := range c.ids() {
		if c.state(at, of) != want {
			out = append(out, at)
		}
	}
	return out
}

func (c *cluster) allSee(of ports.HostID, want blackboard.MemberState) {
	c.t.Helper()
	assert.Check(c.t, len(c.hostsNotSeeing(of, want)) == 0,
		"%s should be in state %d, but is not in the views of %v", of, want, c.hostsNotSeeing(of, want))
}

// waitUntilAllSee waits until all running hosts see a host in state want, and returns how long
// it took. It fails the test after limit.
func (c *cluster) waitUntilAllSee(of ports.HostID, want blackboard.MemberState, limit time.Duration) time.Duration {
	c.t.Helper()
	start := time.Now()
	for len(c.hostsNotSeeing(of, want)) > 0 && time.Since(start) < limit {
		time.Sleep(20 * time.Millisecond)
	}
	c.allSee(of, want)
	return time.Since(start)
}
