package peer

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/ports"
)

// Guards against running out of memory because hundreds of slow hosts ask for large replies at once.
func TestQueuedRepliesAreBoundedOverAllPeers(t *testing.T) {
	const size = 100 << 10
	n := newTestNode(t, "hub", nil)
	n.count.repliesRefused.Set(0)
	held := 0
	for range 500 {
		in := newInbound(n, n.newSession(nil))
		in.reply(header{typ: frameRequest, id: 1}, make([]byte, size), nil)
		held += len(in.replies.buf)
		assert.Equal(t, len(in.replies.frames), 1, "each request gets a reply, if only an error")
		defer in.discard(&batch{})
	}
	assert.Check(t, held <= maxQueuedToAll+500*smallFrame, "%d bytes", held)
	assert.Check(t, n.count.repliesRefused.Value() > 0)
}

// The same for messages to peers that can't be reached.
func TestQueuedMessagesAreBoundedOverAllPeers(t *testing.T) {
	const size = 100 << 10
	n := newTestNode(t, "hub", nil)
	held := 0
	for range 500 {
		r := newRemote(n, "far")
		r.running = true // nothing takes from its queue
		_ = r.notify(kindEcho, make([]byte, size))
		held += len(r.queue.buf)
		defer r.failAll(errConnLost)
	}
	assert.Check(t, held <= maxQueuedToAll, "%d bytes", held)
	r := newRemote(n, "near")
	r.running = true
	assert.NilError(t, r.notify(kindEcho, make([]byte, 200)), "heartbeats pass")
	r.failAll(errConnLost)
}

// Guards against a bound that is used up for good: what was sent, given up or lost counts no more.
func TestNothingIsCountedAsQueuedInTheEnd(t *testing.T) {
	a, b := newTestPair(t, nil, nil)
	for range 50 {
		_, err := a.Call(t.Context(), b.Self(), kindEcho, make([]byte, 50<<10))
		assert.NilError(t, err)
		a.Notify(b.Self(), kindEcho, make([]byte, 50<<10))
	}
	a.SetPeers([]ports.Host{{ID: "nobody", PeerAddr: "127.0.0.1:1"}})
	a.Notify("nobody", kindEcho, make([]byte, 50<<10))
	_, err := a.Call(t.Context(), "nobody", kindEcho, make([]byte, 50<<10))
	assert.Check(t, errors.Is(err, ErrNotSent))
	for _, n := range []*Node{a, b} {
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && n.queuedReplies.Load()+n.queuedMessages.Load() > 0; {
			time.Sleep(time.Millisecond)
		}
		assert.Equal(t, n.queuedReplies.Load(), int64(0))
		assert.Equal(t, n.queuedMessages.Load(), int64(0))
	}
}
