package grant

import (
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/ports"
)

// host is an entry host as the coordinator sees it.
type host struct {
	id    ports.HostID
	zone  zone
	epoch uint64
	seq   uint64
	// known is set once a full frame told which attempts the host has.
	known bool
	heard time.Time
	told  time.Time
	queue queue
	// paid is up to when the host's asks use up its share, see tag.
	paid   time.Time
	passed bool // in this round of dispatch

	// What the next Tell carries.
	grants   []Grant
	refusals []Refusal
	alive    bool
	resync   bool
	decline  bool
}

// host returns the record of a host. A later run of its daemon starts from
// nothing: the attempts of the earlier run ended with it.
func (b *Coordinator) host(id ports.HostID, f Frame) *host {
	h := b.byHost[id]
	if h != nil && f.Epoch > h.epoch {
		b.dropHost(h.heard, h)
		h = nil
	}
	if h == nil {
		h = &host{id: id, epoch: f.Epoch}
		b.byHost[id] = h
		b.hosts = append(b.hosts, h)
	}
	return h
}

// Hosts returns the entry hosts in the state.
func (b *Coordinator) Hosts() []ports.HostID {
	ids := make([]ports.HostID, len(b.hosts))
	for i, h := range b.hosts {
		ids[i] = h.id
	}
	return ids
}

func (h *host) waits(id AttemptID) bool { return h.queue.find(id) >= 0 }

func (h *host) refuse(id AttemptID, r outcome.Reason) {
	h.refusals = append(h.refusals, Refusal{ID: id, Reason: r})
}

// Flush hands every message that is due to send and forgets it. The slices of
// the message are only valid during the call.
func (b *Coordinator) Flush(now time.Time, send func(to ports.HostID, t Reply)) {
	for _, h := range b.hosts {
		if len(h.grants) == 0 && len(h.refusals) == 0 && !h.alive && !h.resync && !h.decline {
			continue
		}
		h.told = now
		send(h.id, Reply{
			Service:  b.key,
			Epoch:    h.epoch,
			Grants:   h.grants,
			Refusals: h.refusals,
			Resync:   h.resync,
			Decline:  h.decline,
		})
		h.grants = h.grants[:0]
		h.refusals = h.refusals[:0]
		h.alive = false
		h.resync = false
		h.decline = false
	}
}

// waiter is an ask that waits for a slot.
type waiter struct {
	ask      Request
	since    time.Time
	deadline time.Time // zero means none
	tag      time.Time // the ask with the earliest is served first
}

// queue is the asks of one host, oldest first.
type queue struct {
	items []waiter
	head  int
}

func (q *queue) len() int { return len(q.items) - q.head }

func (q *queue) front() *waiter { return &q.items[q.head] }

func (q *queue) push(w waiter) { q.items = append(q.items, w) }

func (q *queue) removeAt(i int) {
	if i > q.head {
		q.items = slices.Delete(q.items, i, i+1)
		return
	}
	q.items[q.head] = waiter{}
	q.head++
	if q.head == len(q.items) {
		q.items = q.items[:0]
		q.head = 0
	}
}

func (q *queue) find(id AttemptID) int {
	for i := q.head; i < len(q.items); i++ {
		if q.items[i].ask.ID == id {
			return i
		}
	}
	return -1
}

func (q *queue) remove(id AttemptID) bool {
	i := q.find(id)
	if i < 0 {
		return false
	}
	q.removeAt(i)
	return true
}

func (q *queue) hasAlone() bool {
	for i := q.head; i < len(q.items); i++ {
		if q.items[i].ask.Exclusive {
			return true
		}
	}
	return false
}

// keep drops the asks that f does not name and returns how many went.
func (q *queue) keep(f func(AttemptID) bool) int {
	return q.keepWaiters(func(w *waiter) bool { return f(w.ask.ID) })
}

func (q *queue) keepWaiters(f func(*waiter) bool) int {
	kept := q.items[:0]
	before := q.len()
	for i := q.head; i < len(q.items); i++ {
		if w := q.items[i]; f(&w) {
			kept = append(kept, w)
		}
	}
	clear(q.items[len(kept):])
	q.items = kept
	q.head = 0
	return before - len(kept)
}
