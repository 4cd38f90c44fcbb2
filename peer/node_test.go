package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/ports"
)

const kindEcho = KindMembership + 50

// newTestNode returns a serving node; change may alter its options.
func newTestNode(t testing.TB, id HostID, change func(*Options)) *Node {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	opts := Options{Self: id, Listener: l}
	if change != nil {
		change(&opts)
	}
	n := NewNode(opts)
	n.Handle(kindEcho, func(_ context.Context, from HostID, body []byte) ([]byte, error) {
		if string(body) == "fail" {
			return nil, errors.New("handler said no")
		}
		return append([]byte(from+":"), body...), nil
	})
	done := make(chan error, 1)
	go func() { done <- n.Serve(context.Background()) }()
	t.Cleanup(func() {
		n.Close()
		assert.NilError(t, <-done)
	})
	return n
}

func hostOf(n *Node) ports.Host {
	return ports.Host{ID: n.Self(), PeerAddr: n.opts.Listener.Addr().String()}
}

// newTestPair returns two nodes that know each other.
func newTestPair(t testing.TB, changeA, changeB func(*Options)) (a, b *Node) {
	t.Helper()
	a, b = newTestNode(t, "a", changeA), newTestNode(t, "b", changeB)
	both := []ports.Host{hostOf(a), hostOf(b)}
	a.SetPeers(both)
	b.SetPeers(both)
	return a, b
}

func TestCallsFindTheirOwnReplies(t *testing.T) {
	a, b := newTestPair(t, nil, nil)
	var wg sync.WaitGroup
	for i := range 200 {
		from, to := a, b
		if i%2 == 1 {
			from, to = b, a
		}
		wg.Go(func() {
			body := []byte(fmt.Sprintf("%d-%0*d", i, i*300, 0))
			got, err := from.Call(t.Context(), to.Self(), kindEcho, body)
			assert.Check(t, err)
			assert.Check(t, string(got) == string(from.Self())+":"+string(body))
		})
	}
	wg.Wait()
	got, err := a.Call(t.Context(), "a", kindEcho, []byte("self"))
	assert.NilError(t, err)
	assert.Equal(t, string(got), "a:self")
}

func TestNotifyArrives(t *testing.T) {
	a, b := newTestPair(t, nil, nil)
	got := make(chan string, 1)
	b.Handle(kindEcho+1, func(_ context.Context, from HostID, body []byte) ([]byte, error) {
		got <- string(from) + ":" + string(body)
		return nil, nil
	})
	assert.Check(t, a.Notify("b", kindEcho+1, []byte("hello")))
	assert.Equal(t, <-got, "a:hello")
	assert.Check(t, !a.Notify("nobody", kindEcho+1, nil))
}

func TestErrorsOfTheHandlerAreRemote(t *testing.T) {
	a, _ := newTestPair(t, nil, func(o *Options) { o.MaxFrame = 1 << 10 })
	_, err := a.Call(t.Context(), "b", kindEcho, []byte("fail"))
	assert.ErrorIs(t, err, ErrRemote)
	assert.ErrorContains(t, err, "handler said no")
	_, err = a.Call(t.Context(), "b", kindEcho+9, nil)
	assert.ErrorIs(t, err, ErrRemote)
	_, err = a.Call(t.Context(), "b", kindEcho, make([]byte, 1<<10-maxHeader))
	assert.ErrorIs(t, err, ErrRemote, "the reply is one frame too large")
}

// The caller gets ErrNotSent for each message that can not leave: the peer is
// unknown, nobody listens at its address, or the body is over the largest
// frame. After the failed attempt the next call does not wait for another.
func TestWhatCanNotLeaveIsNotSent(t *testing.T) {
	a, b := newTestPair(t, func(o *Options) { o.MaxFrame = 1 << 10 }, nil)
	_, err := a.Call(t.Context(), "nobody", kindEcho, nil)
	assert.ErrorIs(t, err, ErrNotSent)
	_, err = a.Call(t.Context(), "b", kindEcho, make([]byte, 1<<10))
	assert.ErrorIs(t, err, ErrNotSent)
	b.Close()
	_, err = a.Call(t.Context(), "b", kindEcho, nil)
	assert.ErrorIs(t, err, ErrNotSent)
}

// A daemon restarts, at another address or at its own. Calls to it fail while
// it is away; the new address, or its own first message, ends the wait for the
// next attempt at once.
func TestRestartedPeerIsReachedAtOnce(t *testing.T) {
	a, b := newTestPair(t, nil, nil)
	b.Close()
	_, err := a.Call(t.Context(), "b", kindEcho, nil)
	assert.ErrorIs(t, err, ErrNotSent)
	again := newTestNode(t, "b", nil)
	again.SetPeers([]ports.Host{hostOf(a)})
	a.SetPeers([]ports.Host{hostOf(again)})
	_, err = a.Call(t.Context(), "b", kindEcho, nil)
	assert.NilError(t, err)

	again.Close()
	_, err = a.Call(t.Context(), "b", kindEcho, nil)
	assert.Check(t, err != nil)
	third := newTestNode(t, "b", func(o *Options) {
		_ = o.Listener.Close()
		o.Listener, err = net.Listen("tcp", hostOf(again).PeerAddr)
		assert.NilError(t, err)
	})
	third.SetPeers([]ports.Host{hostOf(a)})
	_, err = third.Call(t.Context(), "a", kindEcho, nil)
	assert.NilError(t, err)
	_, err = a.Call(t.Context(), "b", kindEcho, nil)
	assert.NilError(t, err)
}

// The peer stops while its handler runs: the request has arrived and the reply
// will never come, so the caller has to be told that it may have run.
// A peer ends, and later one listens at its address again. Whoever sends to it all the
// time can tell for how long it was away.
func TestUnreachablePeerIsTold(t *testing.T) {
	a, b := newTestPair(t, nil, nil)
	_, err := a.Call(t.Context(), "b", kindEcho, nil)
	assert.NilError(t, err)
	assert.Equal(t, a.UnreachableFor("b"), time.Duration(0))
	addr := b.opts.Listener.Addr().String()
	b.Close()
	for a.UnreachableFor("b") == 0 {
		a.Notify("b", kindEcho, nil)
		time.Sleep(time.Millisecond)
	}
	newTestNode(t, "b", func(o *Options) {
		assert.NilError(t, o.Listener.Close())
		l, err := net.Listen("tcp", addr)
		assert.NilError(t, err)
		o.Listener = l
	})
	for a.UnreachableFor("b") > 0 {
		a.Notify("b", kindEcho, nil)
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, a.UnreachableFor("unknown"), time.Duration(0))
}

func TestPeerThatStopsMidCallGivesNoReply(t *testing.T) {
	a, b := newTestPair(t, nil, nil)
	b.Handle(kindEcho+1, func(ctx context.Context, _ HostID, _ []byte) ([]byte, error) {
		go b.Close()
		<-ctx.Done()
		return nil, nil
	})
	_, err := a.Call(t.Context(), "b", kindEcho+1, nil)
	assert.ErrorIs(t, err, ErrNoReply)
}

// The caller gives up while the connection is still being made. Its request
// sits in the queue, is taken out of it, and the peer never sees it, although
// the frame behind it is delivered once the connection stands.
func TestAbandonedCallIsNeverSent(t *testing.T) {
	dialing, goOn := make(chan struct{}), make(chan struct{})
	a, b := newTestPair(t, func(o *Options) {
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			close(dialing)
			select {
			case <-goOn:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
			return net.Dial("tcp", addr)
		}
	}, nil)
	got := make(chan string, 2)
	b.Handle(kindEcho+1, func(_ context.Context, _ HostID, body []byte) ([]byte, error) {
		got <- string(body)
		return nil, nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-dialing; cancel() }()
	_, err := a.Call(ctx, "b", kindEcho+1, []byte("abandoned"))
	assert.ErrorIs(t, err, ErrNotSent)
	assert.Check(t, a.Notify("b", kindEcho+1, []byte("behind it")))
	close(goOn)
	assert.Equal(t, <-got, "behind it")
	b.Close()
	assert.Equal(t, len(got), 0)
}

// failingConn breaks on the first write after the handshake, having sent the
// given number of bytes.
type failingConn struct {
	net.Conn
	writes int
	after  int
}

func (c *failingConn) Write(p []byte) (int, error) {
	c.writes++
	if c.writes <= 2 {
		return c.Conn.Write(p)
	}
	n, _ := c.Conn.Write(p[:c.after])
	return n, errors.New("connection lost")
}

// The connection breaks in the write that carries the request. If no byte of
// it left, the caller may try elsewhere; if one did, it may not be told so.
func TestBrokenWriteTellsWhetherBytesLeft(t *testing.T) {
	for after, want := range map[int]error{0: ErrNotSent, 3: ErrNoReply} {
		a, _ := newTestPair(t, func(o *Options) {
			o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
				c, err := net.Dial("tcp", addr)
				return &failingConn{Conn: c, after: after}, err
			}
		}, nil)
		_, err := a.Call(t.Context(), "b", kindEcho, []byte("x"))
		assert.ErrorIs(t, err, want)
	}
}

// A host is replaced and its successor gets the same address. A request meant
// for the old one must not be answered by the new one, which knows nothing of
// what the old one held.
func TestSuccessorAtTheSameAddressDoesNotAnswer(t *testing.T) {
	a, b := newTestPair(t, nil, nil)
	old := hostOf(b)
	old.ID = "old"
	a.SetPeers([]ports.Host{old})
	_, err := a.Call(t.Context(), "old", kindEcho, nil)
	assert.ErrorIs(t, err, ErrNotSent)
}

func BenchmarkCall(b *testing.B) {
	for name, key := range map[string][]byte{"plain": nil, "keyed": []byte("a shared key of some length")} {
		withKey := func(o *Options) { o.Key = key }
		b.Run(name, func(b *testing.B) {
			x, _ := newTestPair(b, withKey, withKey)
			body := make([]byte, 40)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := x.Call(b.Context(), "b", kindEcho, body); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(name+"-parallel", func(b *testing.B) {
			x, _ := newTestPair(b, withKey, withKey)
			body := make([]byte, 40)
			b.ReportAllocs()
			b.SetParallelism(8)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := x.Call(b.Context(), "b", kindEcho, body); err != nil {
						b.Error(err)
					}
				}
			})
		})
	}
}

// A host is stopped while it waits for the TLS handshake of a peer that says nothing. Its
// process must end as it was told to, and not by a fault: the end of the handshake and that
// of the node close the same connection at the same moment.
func TestStopDuringAHandshake(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer silent.Close()
	for range 200 {
		n := NewNode(Options{Self: "a", TLS: &tls.Config{InsecureSkipVerify: true}})
		n.SetPeers([]ports.Host{{ID: "b", PeerAddr: silent.Addr().String()}})
		n.Notify("b", 1, nil)
		time.Sleep(500 * time.Microsecond)
		n.Close()
	}
}
