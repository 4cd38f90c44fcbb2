package relay

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// pair is a host that opens connections to a target through another one.
type pair struct {
	client *Client
	server *Server
	board  *blackboard.Board // of the carrying host
	target blackboard.Target
	// dial is how the carrying host reaches targets.
	dial func(ctx context.Context, t blackboard.Target) (net.Conn, error)
}

func newNode(t testing.TB, id ports.HostID) (*peer.Node, ports.Host) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	n := peer.NewNode(peer.Options{Self: id, Listener: l})
	return n, ports.Host{ID: id, PeerAddr: l.Addr().String()}
}

func serve(t testing.TB, n *peer.Node) {
	done := make(chan error, 1)
	go func() { done <- n.Serve(context.Background()) }()
	t.Cleanup(func() {
		n.Close()
		assert.NilError(t, <-done)
	})
}

// newPair returns a pair and an echoing target.
func newPair(t testing.TB) *pair {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	p := &pair{board: blackboard.New(), target: blackboard.Target{ID: "t", Addr: l.Addr().String(), Incarnation: 5}}
	t.Cleanup(func() { _ = p.board.Close() })
	p.dial = func(ctx context.Context, tg blackboard.Target) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", tg.Addr)
	}
	a, hostA := newNode(t, "a")
	b, hostB := newNode(t, "b")
	boardA := blackboard.New()
	t.Cleanup(func() { _ = boardA.Close() })
	boardA.Members.Store(&blackboard.Members{Self: "a", Members: []blackboard.Member{
		{Host: hostA, State: blackboard.MemberLive},
		{Host: hostB, State: blackboard.MemberLive},
	}})
	p.client = NewClient(ClientDeps{Board: boardA, Streams: a, Self: "a", Metrics: metrics.New()})
	p.server = NewServer(ServerDeps{
		Board: p.board, Streams: b, Metrics: metrics.New(), Log: zap.NewNop(),
		Dial: func(ctx context.Context, tg blackboard.Target) (net.Conn, error) { return p.dial(ctx, tg) },
	})
	p.list(p.target)
	for _, n := range []*peer.Node{a, b} {
		n.SetPeers([]ports.Host{hostA, hostB})
		serve(t, n)
	}
	return p
}

// list makes a target the only one that the carrying host knows.
func (p *pair) list(t blackboard.Target) {
	key := blackboard.ServiceKey{Service: "s"}
	p.board.Targets.Store(&blackboard.Targets{ByService: map[blackboard.ServiceKey][]blackboard.Target{key: {t}}})
}

// open opens a connection to the target and returns the error, if any.
func (p *pair) open(t *testing.T) error {
	conn, err := p.client.Dial(t.Context(), "b", p.target)
	if err == nil {
		_ = conn.Close()
	}
	return err
}

func TestHostsAreTheOtherMembers(t *testing.T) {
	p := newPair(t)
	assert.DeepEqual(t, p.client.Hosts(p.target), []ports.HostID{"b"})
}

// Guards against connections to anything but a listed run of a target that takes requests.
func TestOnlyListedTargetsAreConnectedTo(t *testing.T) {
	for name, change := range map[string]func(*blackboard.Target){
		"another address": func(tg *blackboard.Target) { tg.Addr = "127.0.0.1:1" },
		"another run":     func(tg *blackboard.Target) { tg.Incarnation = 6 },
		"another target":  func(tg *blackboard.Target) { tg.ID = "u" },
		"leaving":         func(tg *blackboard.Target) { tg.Leaving = true },
		"evacuated":       func(tg *blackboard.Target) { tg.Evacuated = true },
	} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t)
			assert.NilError(t, p.open(t))
			listed := p.target
			change(&listed)
			p.list(listed)
			assert.ErrorContains(t, p.open(t), errUnlisted.Error())
		})
	}
}

// Guards against a second hop: a host that is cut off itself passes nothing on.
func TestHostThatDoesNotReachTheTargetSaysSo(t *testing.T) {
	p := newPair(t)
	p.dial = func(context.Context, blackboard.Target) (net.Conn, error) { return nil, errors.New("cut off") }
	assert.ErrorContains(t, p.open(t), errUnreachable.Error())
	assert.Equal(t, p.server.Active(), 0)
}

// Guards against a host that takes the fault of another host's paths for one of the target.
func TestOnlyAHostWhosePathsAreWellTellsOfTheTarget(t *testing.T) {
	p := newPair(t)
	for _, fault := range []bool{false, true} {
		p.dial = func(context.Context, blackboard.Target) (net.Conn, error) {
			if fault {
				return nil, errors.Mark(errors.New("cut off"), upstream.ErrPathFault)
			}
			return nil, errors.New("refused")
		}
		assert.Equal(t, errors.Is(p.open(t), upstream.ErrTargetUnreachable), !fault)
	}
}

// Guards against connections that use up a host's memory.
func TestFullHostTakesNoMoreConnections(t *testing.T) {
	p := newPair(t)
	for range maxConns {
		assert.NilError(t, p.server.admit())
	}
	assert.ErrorContains(t, p.open(t), errFull.Error())
	p.server.release()
	assert.NilError(t, p.open(t))
}

// Guards against a leaving host that is given new connections, and against one that cuts off
// those it has.
func TestLeavingHostFinishesItsConnectionsAndTakesNoMore(t *testing.T) {
	p := newPair(t)
	conn, err := p.client.Dial(t.Context(), "b", p.target)
	assert.NilError(t, err)
	retired := make(chan struct{})
	conn.OnRetire(func() { close(retired) })
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	assert.NilError(t, p.server.Drain(t.Context()))
	<-retired
	assert.ErrorContains(t, p.open(t), errLeaving.Error())
	assert.Equal(t, p.server.Active(), 1)
	assert.NilError(t, conn.Close())
	for end := time.Now().Add(5 * time.Second); p.server.Active() > 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the connection is still carried")
	}
}

// Guards against asking a host again and again that fails, while there are others.
func TestHostThatFailedIsRemembered(t *testing.T) {
	p := newPair(t)
	p.dial = func(context.Context, blackboard.Target) (net.Conn, error) { return nil, errors.New("cut off") }
	assert.Check(t, p.open(t) != nil)
	assert.Check(t, !p.client.failedAt["b"].IsZero())
	p.dial = func(ctx context.Context, tg blackboard.Target) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", tg.Addr)
	}
	assert.NilError(t, p.open(t))
	assert.Check(t, p.client.failedAt["b"].IsZero())
}
