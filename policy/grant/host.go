package grant

import (
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/ports"
)

// host is the coordinator's state of an entry host.
type host struct {
	id    ports.HostID
	zone  zone
	epoch uint64
	seq   uint64
	// synced is set once a full frame has listed the host's attempts.
	synced    bool
	lastHeard time.Time
	lastSent  time.Time
	queue     queue
	// shareUsedUntil is the time up to which the host's requests use its fair share, see tag.
	shareUsedUntil time.Time
	skipped        bool // in this round of dispatch

	// Content of the next reply.
	grants    []Grant
	refusals  []Refusal
	keepalive bool
	resync    bool
	decline   bool
}

// host returns the state of a host. A later run of its daemon starts from an empty state, since
// the attempts of the earlier run ended with it.
func (b *Coordinator) host(id ports.HostID, f Frame) *host {
	h := b.byHost[id]
	if h != nil && f.Epoch > h.epoch {
		b.dropHost(h.lastHeard, h)
		h = nil
	}
	if h == nil {
		h = &host{id: id, epoch: f.Epoch}
		b.byHost[id] = h
		b.hosts = append(b.hosts, h)
	}
	return h
}

// Hosts returns the known entry hosts.
func (b *Coordinator) Hosts() []ports.HostID {
	ids := make([]ports.HostID, len(b.hosts))
	for i, h := range b.hosts {
		ids[i] = h.id
	}
	return ids
}

func (h *host) isQueued(id AttemptID) bool { return h.queue.find(id) >= 0 }

func (h *host) refuse(id AttemptID, r outcome.Reason) {
	h.refusals = append(h.refusals, Refusal{ID: id, Reason: r})
}

// Flush passes every pending reply to send and clears it. The slices of a reply are only valid
// during the call.
func (b *Coordinator) Flush(now time.Time, send func(to ports.HostID, t Reply)) {
	for _, h := range b.hosts {
		if len(h.grants) == 0 && len(h.refusals) == 0 && !h.keepalive && !h.resync && !h.decline {
			continue
		}
		h.lastSent = now
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
		h.keepalive = false
		h.resync = false
		h.decline = false
	}
}

// waiter is a request that waits for a slot.
type waiter struct {
	request  Request
	since    time.Time
	deadline time.Time // zero if none
	tag      time.Time // start tag: the request with the earliest is served first
}

// queue holds the waiting requests of one host, oldest first.
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
		if q.items[i].request.ID == id {
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

func (q *queue) hasExclusive() bool {
	for i := q.head; i < len(q.items); i++ {
		if q.items[i].request.Exclusive {
			return true
		}
	}
	return false
}

// retain drops the requests for which f returns false and returns how many it dropped.
func (q *queue) retain(f func(AttemptID) bool) int {
	return q.retainWaiters(func(w *waiter) bool { return f(w.request.ID) })
}

func (q *queue) retainWaiters(f func(*waiter) bool) int {
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
