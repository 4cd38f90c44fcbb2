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

// newTestNode returns a serving node; change, if not nil, modifies its options.
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

func hostEntry(n *Node) ports.Host {
	return ports.Host{ID: n.Self(), PeerAddr: n.opts.Listener.Addr().String()}
}

// newTestPair returns two nodes that are each other's peer.
func newTestPair(t testing.TB, changeA, changeB func(*Options)) (a, b *Node) {
	t.Helper()
	a, b = newTestNode(t, "a", changeA), newTestNode(t, "b", changeB)
	both := []ports.Host{hostEntry(a), hostEntry(b)}
	a.SetPeers(both)
	b.SetPeers(both)
	return a, b
}

func TestRepliesMatchTheirCalls(t *testing.T) {
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

// A call that can not be sent must return ErrNotSent: the peer is unknown, nobody listens at
// its address, or the body exceeds the largest frame.
func TestUnsendableCallReturnsErrNotSent(t *testing.T) {
	a, b := newTestPair(t, func(o *Options) { o.MaxFrame = 1 << 10 }, nil)
	_, err := a.Call(t.Context(), "nobody", kindEcho, nil)
	assert.ErrorIs(t, err, ErrNotSent)
	_, err = a.Call(t.Context(), "b", kindEcho, make([]byte, 1<<10))
	assert.ErrorIs(t, err, ErrNotSent)
	b.Close()
	_, err = a.Call(t.Context(), "b", kindEcho, nil)
	assert.ErrorIs(t, err, ErrNotSent)
}

// A daemon restarts, at another address or at its own, and calls to it fail meanwhile. Its
// new address, or a connection from it, must end the backoff at once.
func TestRestartedPeerIsReachedAtOnce(t *testing.T) {
	a, b := newTestPair(t, nil, nil)
	b.Close()
	_, err := a.Call(t.Context(), "b", kindEcho, nil)
	assert.ErrorIs(t, err, ErrNotSent)
	again := newTestNode(t, "b", nil)
	again.SetPeers([]ports.Host{hostEntry(a)})
	a.SetPeers([]ports.Host{hostEntry(again)})
	_, err = a.Call(t.Context(), "b", kindEcho, nil)
	assert.NilError(t, err)

	again.Close()
	_, err = a.Call(t.Context(), "b", kindEcho, nil)
	assert.Check(t, err != nil)
	third := newTestNode(t, "b", func(o *Options) {
		_ = o.Listener.Close()
		o.Listener, err = net.Listen("tcp", hostEntry(again).PeerAddr)
		assert.NilError(t, err)
	})
	third.SetPeers([]ports.Host{hostEntry(a)})
	_, err = third.Call(t.Context(), "a", kindEcho, nil)
	assert.NilError(t, err)
	_, err = a.Call(t.Context(), "b", kindEcho, nil)
	assert.NilError(t, err)
}

// A peer stops, and later a new one listens at its address. UnreachableFor must be positive
// while the peer is down and 0 again afterwards.
func TestUnreachableForMeasuresOutage(t *testing.T) {
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

// A peer stops while its handler runs. The request has arrived and no reply will come, so
// the caller must learn that the request may have been handled.
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

// The caller's context ends while the connection is being opened. The request must be
// removed from the queue and never reach the peer, while the frame queued behind it is
// delivered.
func TestAbandonedCallIsNeverSent(t *testing.T) {
	dialing, proceed := make(chan struct{}), make(chan struct{})
	a, b := newTestPair(t, func(o *Options) {
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			close(dialing)
			select {
			case <-proceed:
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
	close(proceed)
	assert.Equal(t, <-got, "behind it")
	b.Close()
	assert.Equal(t, len(got), 0)
}

// failingConn fails the first write after the handshake, having sent the given number of
// bytes.
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

// The connection fails during the write of the request. Only if no byte of it was sent may
// the caller get ErrNotSent and try another host.
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

// A host is replaced and its successor gets the same address. The successor must not answer
// requests meant for its predecessor, whose state it does not have.
func TestSuccessorAtTheSameAddressDoesNotAnswer(t *testing.T) {
	a, b := newTestPair(t, nil, nil)
	old := hostEntry(b)
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

// A node is closed during the TLS handshake with a silent peer. The end of the handshake and
// Close both close the connection at the same time, which must not crash the process.
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
