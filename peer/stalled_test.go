package peer

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/internal/fakes/stallproxy"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Guards against a host that is never reached again because the connection to it carries nothing any
// more, without a reset, while new ones would work. Twice: the one that replaced it may stall as well.
func TestStalledConnectionIsReplaced(t *testing.T) {
	a, b := newTestNode(t, "a", nil), newTestNode(t, "b", nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	proxy := stallproxy.New(t, l, b.opts.Listener.Addr().String())
	a.SetPeers([]ports.Host{{ID: "b", PeerAddr: proxy.Addr()}})
	_, err = a.Call(t.Context(), "b", kindEcho, nil)
	assert.NilError(t, err)
	for round := range int64(2) {
		assert.Equal(t, proxy.Stall(), 1)
		for a.count.connStalled.Value() == round {
			a.Notify("b", kindEcho, nil) // has no reply
			time.Sleep(10 * time.Millisecond)
		}
		_, err = a.Call(t.Context(), "b", kindEcho, nil)
		assert.NilError(t, err)
		assert.Equal(t, a.UnreachableFor("b"), time.Duration(0))
	}
}

// Guards against a connection that is given up although bytes arrive, or while no other one can be
// opened: on a full link both take long.
func TestSlowConnectionIsKept(t *testing.T) {
	r := newRemote(NewNode(Options{Self: "a"}), "b")
	here, there := net.Pipe()
	defer there.Close()
	s := r.node.newSession(here)
	w := newStallDetector(r, s)
	now := time.Now()
	w.sent(now)
	w.check(now.Add(pingAfter))
	assert.Check(t, !w.pinged.IsZero())
	assert.Check(t, !w.replaced(nil), "no other connection")
	other, end := net.Pipe()
	defer end.Close()
	s.receivedAt.Store(now.Add(pingAfter + pingTimeout).UnixNano())
	assert.Check(t, !w.replaced(r.node.newSession(other)), "the reply came late")
	w.check(now.Add(time.Hour))
	assert.Check(t, w.since.IsZero() && !w.dialing)
}
