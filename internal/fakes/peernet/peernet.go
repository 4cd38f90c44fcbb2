// Package peernet is an in-memory network of peer.Links for tests in virtual
// time: it delays messages, also by the rate of the hosts' links, and drops those across
// a cut.
package peernet

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/peer"
)

// Network connects the links that join it.
type Network struct {
	// Delay is the time one way between two hosts; nil means none. It is set
	// before the first message.
	Delay func(from, to peer.HostID) time.Duration
	// Bandwidth is what a host's link carries each way, in bytes a second; nil or 0 means any.
	// Messages wait for each other there. It is set before the first message.
	Bandwidth func(host peer.HostID) float64
	// OnSend, if set, hears of each message and reply as it is sent. It is set before the
	// first message.
	OnSend func(from, to peer.HostID, kind peer.Kind, size int)
	// Drop, if set, tells of each message whether it is lost on its way. It is set before the
	// first message.
	Drop func(from, to peer.HostID, kind peer.Kind) bool

	mu    sync.Mutex
	links map[peer.HostID]*Link
	cut   map[[2]peer.HostID]bool
	// free is when each link has carried all that was given to it.
	free map[side]time.Time
}

// side is one direction of a host's link.
type side struct {
	host peer.HostID
	out  bool
}

// frameOverhead is what a message costs beyond its body, in bytes: the frame and its part
// of the packets' headers.
const frameOverhead = 60

// New returns a network without links.
func New() *Network {
	return &Network{
		links: make(map[peer.HostID]*Link),
		cut:   make(map[[2]peer.HostID]bool),
		free:  make(map[side]time.Time),
	}
}

// Join adds a host, or replaces the link of one that was there.
func (n *Network) Join(id peer.HostID) *Link {
	l := &Link{net: n, id: id, handlers: make(map[peer.Kind]peer.Handler), lost: make(map[peer.HostID]time.Time)}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[id] = l
	return l
}

// Leave removes a host; messages to it are lost.
func (n *Network) Leave(id peer.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.links, id)
}

// Block drops what is sent from one host to another, in that direction only,
// until Heal.
func (n *Network) Block(from, to peer.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]peer.HostID{from, to}] = true
}

// Unblock ends the cut in one direction.
func (n *Network) Unblock(from, to peer.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, [2]peer.HostID{from, to})
}

// UnblockAll ends all cuts.
func (n *Network) UnblockAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
}

// route returns the receiver of a message, or nil if it is lost.
func (n *Network) route(from, to peer.HostID) *Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[[2]peer.HostID{from, to}] {
		return nil
	}
	return n.links[to]
}

// wait takes as long as a message of some size is on its way.
func (n *Network) wait(from, to peer.HostID, kind peer.Kind, size int) {
	if n.OnSend != nil {
		n.OnSend(from, to, kind, size+frameOverhead)
	}
	n.carry(side{host: from, out: true}, size+frameOverhead)
	if n.Delay != nil {
		time.Sleep(n.Delay(from, to))
	}
	n.carry(side{host: to}, size+frameOverhead)
}

// carry waits until a link has carried a message, behind those before it.
func (n *Network) carry(s side, size int) {
	if n.Bandwidth == nil || n.Bandwidth(s.host) <= 0 {
		return
	}
	n.mu.Lock()
	now := time.Now()
	begin := n.free[s]
	if begin.Before(now) {
		begin = now
	}
	done := begin.Add(time.Duration(float64(size) / n.Bandwidth(s.host) * float64(time.Second)))
	n.free[s] = done
	n.mu.Unlock()
	time.Sleep(done.Sub(now))
}

// Link is one host's end of the network.
type Link struct {
	net *Network
	id  peer.HostID

	mu       sync.Mutex
	handlers map[peer.Kind]peer.Handler
	// lost is since when messages to a host have been lost.
	lost map[peer.HostID]time.Time
}

var _ peer.Link = (*Link)(nil)

// Self returns the host's identity.
func (l *Link) Self() peer.HostID { return l.id }

// Handle registers a handler.
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

// Call delivers a request after the delay and returns the reply after another.
// A cut in either direction leaves the caller waiting until ctx ends.
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
	l.net.wait(l.id, to, kind, len(body))
	dst := l.net.route(l.id, to)
	if l.net.Drop != nil && l.net.Drop(l.id, to, kind) {
		dst = nil
	}
	l.note(to, dst != nil)
	if dst == nil {
		return
	}
	h := dst.handler(kind)
	if h == nil {
		return
	}
	out, err := h(ctx, l.id, body)
	l.net.wait(to, l.id, kind, len(out))
	if l.net.route(to, l.id) != l {
		return
	}
	if err != nil {
		err = errors.Mark(err, peer.ErrRemote)
	}
	done <- reply{body: out, err: err}
}

// note remembers whether a message arrived.
func (l *Link) note(to peer.HostID, arrived bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if arrived {
		delete(l.lost, to)
	} else if l.lost[to].IsZero() {
		l.lost[to] = time.Now()
	}
}

// UnreachableFor returns for how long all messages to a host have been lost.
func (l *Link) UnreachableFor(to peer.HostID) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost[to].IsZero() {
		return 0
	}
	return time.Since(l.lost[to])
}

// Notify delivers a message after the delay.
func (l *Link) Notify(to peer.HostID, kind peer.Kind, body []byte) bool {
	done := make(chan reply, 1)
	go l.deliver(to, kind, body, done)
	return true
}
