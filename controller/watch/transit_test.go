package watch

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/watchers"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Guards against watchers that tell of nothing new for as long as their heartbeats trickle in: what
// the two of them send queues longer and longer, and a target starts to drain.
func TestDrainIsKnownInTimeThoughHeartbeatsQueue(t *testing.T) {
	var queueing atomic.Pointer[map[ports.HostID]time.Time]
	queueing.Store(&map[ports.HostID]time.Time{})
	setUp := func(fl *fleet) {
		fl.net.Delay = func(from, _ peer.HostID) time.Duration {
			since, ok := (*queueing.Load())[from]
			if !ok {
				return time.Millisecond
			}
			return time.Millisecond + time.Since(since)*2/3 // each 250 ms arrive in 420 ms
		}
	}
	withNetwork(t, 14, setUp, func(fl *fleet) {
		full := make(map[ports.HostID]time.Time)
		slow := fl.watching()
		for _, h := range slow {
			full[ports.HostID(h.addr)] = time.Now()
		}
		queueing.Store(&full)
		time.Sleep(4 * time.Second)
		fl.record.Put(entryOf(3, true))
		took := fl.await(slow, func(h *host) bool { return !h.routesTo(3) })
		assert.Check(t, took < bound, "known after %s", took)
	})
}

// pretender sends heartbeats as a watcher and replies about its clock.
type pretender struct {
	link  peer.Link
	self  directory.Host
	start time.Time
}

func newPretender(fl *fleet) *pretender {
	p := &pretender{self: directory.Host{Addr: "10.7.7.7:8649", Zone: "z0", Start: 77}, start: time.Now().Add(-time.Hour)}
	p.link = fl.net.Join(p.self.ID())
	peer.Handle(p.link, kindConfirm, func(context.Context, ports.HostID, confirmRequest) (confirmReply, error) {
		return confirmReply{Start: p.self.Start, Clock: time.Since(p.start)}, nil
	})
	return p
}

func (p *pretender) sendHeartbeat(t *testing.T, to *host, stamped bool) {
	b := heartbeat{Host: p.self, StoreOK: true}
	if stamped {
		b.Sent = time.Since(p.start)
	}
	body, err := msgpack.Marshal(b)
	assert.NilError(t, err)
	p.link.Notify(ports.HostID(to.addr), kindHeartbeat, body)
}

// believes reports whether a host takes another for a watcher whose information is current.
func (h *host) believes(id ports.HostID) bool {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	b, ok := h.c.heartbeats[id]
	return ok && b.Fresh(time.Now())
}

// Guards against believing a watcher whose link was full before it sent its first heartbeat, so
// that none of them ever came in time.
func TestWatcherThatWasLateFromTheStartIsNotBelieved(t *testing.T) {
	for _, delay := range []time.Duration{time.Millisecond, 3 * time.Second} {
		setUp := func(fl *fleet) {
			fl.net.Delay = func(from, _ peer.HostID) time.Duration {
				if from == "10.7.7.7:8649" {
					return delay
				}
				return time.Millisecond
			}
		}
		withNetwork(t, 4, setUp, func(fl *fleet) {
			p := newPretender(fl)
			h := fl.nonWatcher()
			for range 40 {
				p.sendHeartbeat(t, h, true)
				time.Sleep(watchers.HeartbeatInterval)
			}
			assert.Equal(t, h.believes(p.self.ID()), delay < time.Second, "%s in transit", delay)
		})
	}
}

// A host of an earlier release does not tell when it sends its heartbeats. They count as before,
// or no host would believe the others while releases change.
func TestHeartbeatsOfAnEarlierReleaseCountFromTheirReceipt(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		p := newPretender(fl)
		h := fl.nonWatcher()
		for range 8 {
			p.sendHeartbeat(t, h, false)
			time.Sleep(watchers.HeartbeatInterval)
		}
		assert.Check(t, h.believes(p.self.ID()))
	})
}
