package confignet

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/ports"
)

// gate is one host's way to the platform; it can be cut.
type gate struct {
	table   ports.Table
	objects ports.ObjectStore
	cut     atomic.Bool
	reads   atomic.Uint64
	// late is how long the next commit takes to take effect after its answer
	// was lost.
	late atomic.Int64
}

// pass waits for ctx if the gate is cut: no answer comes, as from a network
// that drops packets.
func (g *gate) pass(ctx context.Context) error {
	if !g.cut.Load() {
		return nil
	}
	<-ctx.Done()
	return errors.Mark(ctx.Err(), ports.ErrUnavailable)
}

func (g *gate) Get(ctx context.Context, keys ...string) ([]ports.Row, error) {
	if err := g.pass(ctx); err != nil {
		return nil, err
	}
	g.reads.Add(1)
	return g.table.Get(ctx, keys...)
}

func (g *gate) Scan(ctx context.Context, prefix, after string, limit int) ([]ports.Row, error) {
	if err := g.pass(ctx); err != nil {
		return nil, err
	}
	g.reads.Add(1)
	return g.table.Scan(ctx, prefix, after, limit)
}

func (g *gate) Commit(ctx context.Context, ops ...ports.Op) (ports.CommitResult, error) {
	if err := g.pass(ctx); err != nil {
		return ports.CommitResult{}, err
	}
	late := time.Duration(g.late.Swap(0))
	if late == 0 {
		return g.table.Commit(ctx, ops...)
	}
	time.AfterFunc(late, func() { _, _ = g.table.Commit(context.WithoutCancel(ctx), ops...) })
	return ports.CommitResult{}, errors.Wrap(ports.ErrUncertain, "answer lost")
}

type gateObjects struct{ *gate }

func (g gateObjects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := g.pass(ctx); err != nil {
		return nil, err
	}
	g.reads.Add(1)
	return g.objects.Get(ctx, name)
}

func (g gateObjects) Put(ctx context.Context, name string, data []byte) error {
	if err := g.pass(ctx); err != nil {
		return err
	}
	return g.objects.Put(ctx, name, data)
}

// countingLink counts the bytes of message bodies, replies included.
type countingLink struct {
	peer.Link
	sent *atomic.Uint64
}

func (l *countingLink) Call(ctx context.Context, to peer.HostID, kind peer.Kind, body []byte) ([]byte, error) {
	l.sent.Add(uint64(len(body)))
	out, err := l.Link.Call(ctx, to, kind, body)
	l.sent.Add(uint64(len(out)))
	return out, err
}

func (l *countingLink) Notify(to peer.HostID, kind peer.Kind, body []byte) bool {
	l.sent.Add(uint64(len(body)))
	return l.Link.Notify(to, kind, body)
}
