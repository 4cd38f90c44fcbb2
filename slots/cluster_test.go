package slots

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/internal/fakes/peernet"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/ports"
)

var bids = blackboard.ServiceKey{Workspace: "auction", Service: "bids"}

// cluster is a set of hosts in one process and virtual time.
type cluster struct {
	net         *peernet.Network
	hosts       []*testHost
	coordinator atomic.Pointer[ports.HostID]
}

type testHost struct {
	id    ports.HostID
	board *blackboard.Board
	slots *Picker
	m     *metrics.Set
}

func newCluster(hosts, targets int, svc declare.Service) *cluster {
	c := &cluster{net: peernet.New()}
	c.setNext("h0")
	c.net.Delay = func(from, to peer.HostID) time.Duration {
		if from == to {
			return 0
		}
		return 500 * time.Microsecond
	}
	svc.Name = bids.Service
	for i := range hosts {
		c.hosts = append(c.hosts, c.newHost(ports.HostID(fmt.Sprint("h", i)), hosts, targets, svc))
	}
	return c
}

func (c *cluster) newHost(id ports.HostID, hosts, targets int, svc declare.Service) *testHost {
	b := blackboard.New()
	b.Config.Store(&declare.Config{Workspaces: []declare.Workspace{
		{Name: bids.Workspace, Services: []declare.Service{svc}},
	}})
	members := &blackboard.Members{Self: id}
	for i := range hosts {
		members.Members = append(members.Members, blackboard.Member{
			Host:  ports.Host{ID: ports.HostID(fmt.Sprint("h", i))},
			State: blackboard.MemberLive,
		})
	}
	b.Members.Store(members)
	list := make([]blackboard.Target, targets)
	for i := range list {
		list[i] = blackboard.Target{ID: ports.HostID(fmt.Sprintf("t%02d", i)), Addr: "127.0.0.1:1"}
	}
	b.Targets.Store(&blackboard.Targets{ByService: map[blackboard.ServiceKey][]blackboard.Target{bids: list}})
	m := metrics.New()
	s := New(Deps{
		Board:       b,
		Link:        c.net.Join(id),
		Coordinator: c.choose,
		Metrics:     m,
		Log:         zap.NewNop(),
		Seed:        1,
		OnLeaving: func(key blackboard.ServiceKey, id ports.HostID) {
			b.Targets.Update(func(old *blackboard.Targets) (*blackboard.Targets, bool) {
				return old.WithLeaving(key, ports.RunID(id), time.Now())
			})
		},
	})
	return &testHost{id: id, board: b, slots: s, m: m}
}

func (c *cluster) choose(blackboard.ServiceKey, *blackboard.Members) (ports.HostID, bool) {
	id := *c.coordinator.Load()
	return id, id != ""
}

// setNext sets the coordinator that hosts find when they next look for it.
func (c *cluster) setNext(id ports.HostID) { c.coordinator.Store(&id) }

func (c *cluster) close(t *testing.T) {
	time.Sleep(10 * time.Millisecond) // let messages in flight arrive
	for _, h := range c.hosts {
		h.slots.Close()
		assert.NilError(t, h.board.Close())
	}
}

// setCoordinator changes the coordinator for all hosts at once.
func (c *cluster) setCoordinator(id ports.HostID) {
	c.setNext(id)
	for _, h := range c.hosts {
		h.touchMembers()
	}
}

// touchMembers makes a host look up its coordinator again.
func (h *testHost) touchMembers() {
	h.board.Members.Update(func(m *blackboard.Members) (*blackboard.Members, bool) {
		next := *m
		return &next, true
	})
}

// pickFor picks with a timeout.
func (h *testHost) pickFor(d time.Duration, req pick.Request) (pick.Grant, outcome.Result) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	req.Service = bids
	return h.slots.Pick(ctx, req)
}

// call picks, holds the grant for d, and reports a successful answer.
func (h *testHost) call(d time.Duration) outcome.Result {
	g, refusal := h.pickFor(time.Second, pick.Request{})
	if g == nil {
		return refusal
	}
	time.Sleep(d)
	g.Release(pick.Report{Class: pick.OK, Latency: d, Load: -1})
	return outcome.Result{Outcome: outcome.Answered, Reason: outcome.ReasonOK}
}

// inFlight returns the number of attempts in a host's coordinator state.
func (h *testHost) inFlight() int {
	svc := h.slots.service(bids)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	return svc.coordinator.InFlight()
}

func (h *testHost) count(name string) int64 { return h.m.Int(name).Value() }
