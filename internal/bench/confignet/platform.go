package confignet

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/ports"
)

// faultyPlatform is a host's connection to the platform, with fault injection.
type faultyPlatform struct {
	table   ports.Table
	objects ports.ObjectStore
	cut     atomic.Bool
	reads   atomic.Uint64
	// commitDelay, if not zero, is the delay in nanoseconds after which the next commit
	// takes effect; its response is lost.
	commitDelay atomic.Int64
}

// pass blocks until ctx is done if the connection is cut, like a network that
// drops packets.
func (g *faultyPlatform) pass(ctx context.Context) error {
	if !g.cut.Load() {
		return nil
	}
	<-ctx.Done()
	return errors.Mark(ctx.Err(), ports.ErrUnavailable)
}

func (g *faultyPlatform) Get(ctx context.Context, keys ...string) ([]ports.Row, error) {
	if err := g.pass(ctx); err != nil {
		return nil, err
	}
	g.reads.Add(1)
	return g.table.Get(ctx, keys...)
}

func (g *faultyPlatform) Scan(
	ctx context.Context, prefix, after string, limit int,
) ([]ports.Row, error) {
	if err := g.pass(ctx); err != nil {
		return nil, err
	}
	g.reads.Add(1)
	return g.table.Scan(ctx, prefix, after, limit)
}

func (g *faultyPlatform) Commit(ctx context.Context, ops ...ports.Op) (ports.CommitResult, error) {
	if err := g.pass(ctx); err != nil {
		return ports.CommitResult{}, err
	}
	delay := time.Duration(g.commitDelay.Swap(0))
	if delay == 0 {
		return g.table.Commit(ctx, ops...)
	}
	time.AfterFunc(delay, func() { _, _ = g.table.Commit(context.WithoutCancel(ctx), ops...) })
	return ports.CommitResult{}, errors.Wrap(ports.ErrUncertain, "answer lost")
}

type faultyObjects struct{ *faultyPlatform }

func (g faultyObjects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := g.pass(ctx); err != nil {
		return nil, err
	}
	g.reads.Add(1)
	return g.objects.Get(ctx, name)
}

func (g faultyObjects) Put(ctx context.Context, name string, data []byte) error {
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
