package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy/internal/ctxtime"
	"github.com/cactusproxy/cactusproxy/ledger/batch"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/ports"
)

// pool lets one host, the coordinator, commit the writes of all hosts. A single
// host has a small share of the table's transactions and waits long between two of
// them; the shares together allow a transaction every few milliseconds. The
// coordinator is not an authority: the condition of each write decides whether it
// is applied, whoever commits it, so two coordinators at once can only exceed the
// rate limit.
type pool struct {
	l           *Ledger
	link        peer.Link
	coordinator func() ports.HostID

	mu   sync.Mutex
	rate float64
}

var _ batch.Forwarder = (*pool)(nil)

func newPool(l *Ledger, d Deps) *pool {
	return &pool{l: l, link: d.Link, coordinator: d.Coordinator, rate: l.opts.WriteRate}
}

// coordinatorCheckInterval is how often a host checks whether it is the
// coordinator.
const coordinatorCheckInterval = time.Second

// run applies the coordinator's rate to the writer while this host is the
// coordinator.
func (p *pool) run(ctx context.Context) error {
	if !p.enabled() {
		return nil
	}
	p.applyRate()
	for ctxtime.Sleep(ctx, coordinatorCheckInterval) {
		p.applyRate()
	}
	return nil
}

func (p *pool) enabled() bool { return p.coordinator != nil && p.l.opts.PoolRate > 0 }

func (p *pool) isCoordinator() bool { return p.enabled() && p.coordinator() == p.l.host }

func (p *pool) setRate(perSecond float64) {
	p.mu.Lock()
	p.rate = perSecond
	p.mu.Unlock()
	p.applyRate()
}

func (p *pool) applyRate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	rate := p.rate
	if p.isCoordinator() {
		rate += p.l.opts.PoolRate
	}
	p.l.writer.SetRate(rate)
}

// poolWrite is a write forwarded to the coordinator.
type poolWrite struct {
	Class   batch.Class  `msgpack:"c"`
	Kind    ports.OpKind `msgpack:"o"`
	Key     string       `msgpack:"k"`
	Version uint64       `msgpack:"v"`
	Value   []byte       `msgpack:"b"`
}

type poolRequest struct {
	Writes []poolWrite `msgpack:"w"`
}

type poolReply struct {
	// Refused is set if the receiving host does not consider itself the
	// coordinator.
	Refused bool          `msgpack:"x,omitempty"`
	Replies []batch.Reply `msgpack:"r"`
}

// Ready reports whether another host commits this host's writes.
func (p *pool) Ready() bool {
	if !p.enabled() {
		return false
	}
	host := p.coordinator()
	return host != "" && host != p.l.host
}

// Forward sends writes to the coordinator.
func (p *pool) Forward(ctx context.Context, writes []batch.Write) ([]batch.Reply, error) {
	var req poolRequest
	for _, w := range writes {
		req.Writes = append(req.Writes, poolWrite{
			Class: w.Class, Kind: w.Op.Kind, Key: w.Op.Key, Version: w.Op.Version, Value: w.Op.Value,
		})
	}
	reply, err := peer.Call[poolReply](ctx, p.link, p.coordinator(), kindPool, req)
	if err != nil {
		return nil, err
	}
	if reply.Refused {
		p.l.counts.Add("pool_refused", 1)
		return notWrittenReplies(len(writes)), nil
	}
	p.l.counts.Add("writes_pooled", int64(len(writes)))
	return reply.Replies, nil
}

func notWrittenReplies(n int) []batch.Reply {
	replies := make([]batch.Reply, n)
	for i := range replies {
		replies[i].Status = batch.NotWritten
	}
	return replies
}

// poolTimeout limits how long the coordinator tries to commit forwarded writes. It
// is shorter than the forwarding host's timeout, after which that host writes to
// the table itself.
const poolTimeout = 200 * time.Millisecond

// serve registers the coordinator's message handler.
func (p *pool) serve(link peer.Link) {
	peer.Handle(link, kindPool, func(ctx context.Context, _ peer.HostID, req poolRequest) (poolReply, error) {
		if !p.isCoordinator() {
			return poolReply{Refused: true}, nil
		}
		ctx, cancel := context.WithTimeout(ctx, poolTimeout)
		defer cancel()
		return poolReply{Replies: p.l.writer.DoAll(ctx, req.writes())}, nil
	})
}

func (r poolRequest) writes() []batch.Write {
	writes := make([]batch.Write, len(r.Writes))
	for i, w := range r.Writes {
		op := ports.Op{Kind: w.Kind, Key: w.Key, Version: w.Version, Value: w.Value}
		writes[i] = batch.Write{Class: w.Class, Op: op}
	}
	return writes
}
