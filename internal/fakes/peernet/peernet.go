// Package peernet simulates the network between hosts, in memory and for tests in virtual time.
// Each host joins and gets a Link that implements peer.Link. The network can add latency, limit
// the bandwidth of hosts, drop messages, and block the traffic from one host to another.
package peernet

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/peer"
)

// Network connects the hosts that have joined.
type Network struct {
	// Delay is the one-way latency between two hosts; nil means none. Set it before the first
	// message.
	Delay func(from, to peer.HostID) time.Duration
	// Bandwidth is the capacity of a host's link in each direction, in bytes per second; nil or 0
	// means unlimited. Messages queue for it. Set it before the first message.
	Bandwidth func(host peer.HostID) float64
	// OnSend, if set, is called for each message and reply as it is sent; size includes the
	// framing overhead. Set it before the first message.
	OnSend func(from, to peer.HostID, kind peer.Kind, size int)
	// Drop, if set, decides for each message whether it is lost. It is not asked about replies.
	// Set it before the first message.
	Drop func(from, to peer.HostID, kind peer.Kind) bool

	mu      sync.Mutex
	links   map[peer.HostID]*Link
	blocked map[[2]peer.HostID]bool
	// paused has a channel for each paused host, which is closed when it resumes.
	paused map[peer.HostID]chan struct{}
	// busyUntil is when each link has sent all that is queued on it.
	busyUntil map[direction]time.Time
}

// direction is one direction of a host's link.
type direction struct {
	host peer.HostID
	out  bool
}

// frameOverhead is the size of a message beyond its body, in bytes: the frame and its share of
// the packet headers.
const frameOverhead = 60

// New returns a network without hosts.
func New() *Network {
	return &Network{
		links:     make(map[peer.HostID]*Link),
		blocked:   make(map[[2]peer.HostID]bool),
		paused:    make(map[peer.HostID]chan struct{}),
		busyUntil: make(map[direction]time.Time),
	}
}

// Join adds a host and returns its link. It replaces the link of a host that joined before.
func (n *Network) Join(id peer.HostID) *Link {
	l := &Link{net: n, id: id, handlers: make(map[peer.Kind]peer.Handler), unreachableSince: make(map[peer.HostID]time.Time)}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[id] = l
	return l
}

// Leave removes a host. Messages to it are lost.
func (n *Network) Leave(id peer.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.links, id)
}

// Block drops all messages from one host to another, in that direction only, until Unblock or
// UnblockAll.
func (n *Network) Block(from, to peer.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]peer.HostID{from, to}] = true
}

// Unblock lifts the block in one direction.
func (n *Network) Unblock(from, to peer.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.blocked, [2]peer.HostID{from, to})
}

// UnblockAll lifts all blocks.
func (n *Network) UnblockAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.blocked)
}

// Pause makes messages to and from a host wait until Resume, as while its process is stopped.
func (n *Network) Pause(id peer.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused[id] == nil {
		n.paused[id] = make(chan struct{})
	}
}

// Resume lets the messages of a paused host pass.
func (n *Network) Resume(id peer.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.paused[id]; c != nil {
		close(c)
		delete(n.paused, id)
	}
}

// awaitResume waits until a host isn't paused.
func (n *Network) awaitResume(id peer.HostID) {
	n.mu.Lock()
	c := n.paused[id]
	n.mu.Unlock()
	if c != nil {
		<-c
	}
}

// receiver returns the link that gets a message, or nil if the message is lost.
func (n *Network) receiver(from, to peer.HostID) *Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.blocked[[2]peer.HostID{from, to}] {
		return nil
	}
	return n.links[to]
}

// transit reports a message to OnSend and sleeps for as long as it is in transit.
func (n *Network) transit(from, to peer.HostID, kind peer.Kind, size int) {
	n.awaitResume(from)
	if n.OnSend != nil {
		n.OnSend(from, to, kind, size+frameOverhead)
	}
	n.transmit(direction{host: from, out: true}, size+frameOverhead)
	if n.Delay != nil {
		time.Sleep(n.Delay(from, to))
	}
	n.transmit(direction{host: to}, size+frameOverhead)
	n.awaitResume(to)
}

// transmit sleeps until a link has sent the message, after those queued before it.
func (n *Network) transmit(s direction, size int) {
	if n.Bandwidth == nil || n.Bandwidth(s.host) <= 0 {
		return
	}
	n.mu.Lock()
	now := time.Now()
	begin := n.busyUntil[s]
	if begin.Before(now) {
		begin = now
	}
	done := begin.Add(time.Duration(float64(size) / n.Bandwidth(s.host) * float64(time.Second)))
	n.busyUntil[s] = done
	n.mu.Unlock()
	time.Sleep(done.Sub(now))
}

// Link is a host's connection to the network.
type Link struct {
	net *Network
	id  peer.HostID

	mu       sync.Mutex
	handlers map[peer.Kind]peer.Handler
	// unreachableSince holds, for each host whose last message was lost, when the losses began.
	unreachableSince map[peer.HostID]time.Time
}

var _ peer.Link = (*Link)(nil)

// Self returns the host's ID.
func (l *Link) Self() peer.HostID { return l.id }

// Handle registers the handler for a kind of message.
func (l *Link) Handle(kind peer.Kind, h peer.Handler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handlers[kind] = h
}

func (l *Link) handler(kind peer.Kind) peer.Handler {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handlers[kind]
}

type reply struct {
	body []byte
	err  error
}

// Call sends a request and waits for the reply. If either is lost, it waits until ctx ends and
// returns peer.ErrNoReply.
func (l *Link) Call(ctx context.Context, to peer.HostID, kind peer.Kind, body []byte) ([]byte, error) {
	if ctx.Err() != nil {
		return nil, errors.Mark(ctx.Err(), peer.ErrNotSent)
	}
	done := make(chan reply, 1)
	go l.deliver(to, kind, body, done)
	select {
	case r := <-done:
		return r.body, r.err
	case <-ctx.Done():
		return nil, errors.Mark(ctx.Err(), peer.ErrNoReply)
	}
}

func (l *Link) deliver(to peer.HostID, kind peer.Kind, body []byte, done chan<- reply) {
	ctx := context.Background()
	l.net.transit(l.id, to, kind, len(body))
	dst := l.net.receiver(l.id, to)
	if l.net.Drop != nil && l.net.Drop(l.id, to, kind) {
		dst = nil
	}
	l.recordDelivery(to, dst != nil)
	if dst == nil {
		return
	}
	h := dst.handler(kind)
	if h == nil {
		return
	}
	out, err := h(ctx, l.id, body)
	l.net.transit(to, l.id, kind, len(out))
	if l.net.receiver(to, l.id) != l {
		return
	}
	if err != nil {
		err = errors.Mark(err, peer.ErrRemote)
	}
	done <- reply{body: out, err: err}
}

// recordDelivery records whether a message to a host was delivered.
func (l *Link) recordDelivery(to peer.HostID, arrived bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if arrived {
		delete(l.unreachableSince, to)
	} else if l.unreachableSince[to].IsZero() {
		l.unreachableSince[to] = time.Now()
	}
}

// UnreachableFor returns for how long all messages to a host have been lost, or 0.
func (l *Link) UnreachableFor(to peer.HostID) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachableSince[to].IsZero() {
		return 0
	}
	return time.Since(l.unreachableSince[to])
}

// Notify sends a message without waiting for it to be delivered.
func (l *Link) Notify(to peer.HostID, kind peer.Kind, body []byte) bool {
	done := make(chan reply, 1)
	go l.deliver(to, kind, body, done)
	return true
}
