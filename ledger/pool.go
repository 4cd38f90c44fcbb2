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

// pool lets one host, the coordinator, commit the writes of all. A host by
// itself has a small share of the table's transactions and waits long for its
// turn; together their shares make a turn every few milliseconds. The
// coordinator is no authority: the table's conditions decide on each write,
// whoever commits it, so two coordinators do no harm but to the limit.
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

// poolCheck is how often a host looks whether it is the coordinator.
const poolCheck = time.Second

// run gives the writer the coordinator's rate while this host is that.
func (p *pool) run(ctx context.Context) error {
	if !p.enabled() {
		return nil
	}
	p.apply()
	for ctxtime.Sleep(ctx, poolCheck) {
		p.apply()
	}
	return nil
}

func (p *pool) enabled() bool { return p.coordinator != nil && p.l.opts.PoolRate > 0 }

func (p *pool) isCoordinator() bool { return p.enabled() && p.coordinator() == p.l.host }

func (p *pool) setRate(perSecond float64) {
	p.mu.Lock()
	p.rate = perSecond
	p.mu.Unlock()
	p.apply()
}

func (p *pool) apply() {
	p.mu.Lock()
	defer p.mu.Unlock()
	rate := p.rate
	if p.isCoordinator() {
		rate += p.l.opts.PoolRate
	}
	p.l.writer.SetRate(rate)
}

// poolWrite is a write on its way to the coordinator.
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
	// Refused says that the host does not take itself for the coordinator.
	Refused bool          `msgpack:"x,omitempty"`
	Replies []batch.Reply `msgpack:"r"`
}

// Ready reports whether another host commits this one's writes.
func (p *pool) Ready() bool {
	if !p.enabled() {
		return false
	}
	host := p.coordinator()
	return host != "" && host != p.l.host
}

// Forward hands writes to the coordinator.
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
		return refuseAll(len(writes)), nil
	}
	p.l.counts.Add("writes_pooled", int64(len(writes)))
	return reply.Replies, nil
}

func refuseAll(n int) []batch.Reply {
	replies := make([]batch.Reply, n)
	for i := range replies {
		replies[i].Status = batch.NotWritten
	}
	return replies
}

// poolPatience is how long the coordinator tries; it ends before the host that
// asked goes to the table by itself.
const poolPatience = 200 * time.Millisecond

// serve registers the handler of the coordinator.
func (p *pool) serve(link peer.Link) {
	peer.Handle(link, kindPool, func(ctx context.Context, _ peer.HostID, req poolRequest) (poolReply, error) {
		if !p.isCoordinator() {
			return poolReply{Refused: true}, nil
		}
		ctx, cancel := context.WithTimeout(ctx, poolPatience)
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
