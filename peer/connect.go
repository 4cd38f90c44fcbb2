package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"go.uber.org/zap"
)

// run connects and reconnects until there is nothing left to send.
func (r *remote) run() {
	for r.ctx.Err() == nil {
		if r.stopIfIdle() {
			return
		}
		r.connect()
	}
	r.close()
}

// stopIfIdle clears running and returns true if the queue is empty.
func (r *remote) stopIfIdle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = len(r.queue.frames) > 0
	return !r.running
}

// connect opens a connection and serves it until it fails or becomes idle.
func (r *remote) connect() {
	s, err := r.dial()
	if err != nil {
		r.node.count.dialFailed.Add(1)
		r.node.opts.Log.Debug("failed to connect to peer", zap.String("peer", string(r.id)), zap.Error(err))
		r.connFailed(err)
		return
	}
	r.mu.Lock()
	r.nextDialAfter = time.Time{}
	r.unreachableSince = time.Time{}
	r.mu.Unlock()
	start := time.Now()
	for s != nil {
		r.node.count.connections.Add(1)
		err = r.serve(s)
		r.node.count.connections.Add(-1)
		if s, r.next = r.next, nil; s != nil {
			r.node.count.connStalled.Add(1)
			r.node.opts.Log.Info("peer connection stalled, replaced", zap.String("peer", string(r.id)))
			r.failAll(err)
		}
	}
	if time.Since(start) > stableAfter {
		r.backoff.Reset()
	}
	if err == nil {
		return
	}
	r.node.count.connBroken.Add(1)
	r.node.opts.Log.Info("peer connection broken", zap.String("peer", string(r.id)), zap.Error(err))
	r.connFailed(err)
}

func (r *remote) dial() (*session, error) {
	ctx, cancel := context.WithTimeout(r.ctx, handshakeTimeout)
	defer cancel()
	return r.dialSession(ctx)
}

// dialSession opens a connection and performs the handshake. It fails when ctx ends.
func (r *remote) dialSession(ctx context.Context) (*session, error) {
	r.node.count.dials.Add(1)
	r.mu.Lock()
	addr := r.addr
	r.mu.Unlock()
	raw, err := r.node.opts.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	tuneConn(raw)
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	conn, err := r.wrapTLS(ctx, raw, addr)
	if err != nil {
		return nil, err
	}
	s, err := r.node.dialHandshake(conn, r.id)
	if err != nil {
		r.node.count.handshakeFailed.Add(1)
		_ = conn.Close()
		return nil, err
	}
	return s, nil
}

// wrapTLS performs the TLS handshake if the node is configured with TLS.
func (r *remote) wrapTLS(ctx context.Context, conn net.Conn, addr string) (net.Conn, error) {
	cfg := r.node.opts.TLS
	if cfg == nil {
		return conn, nil
	}
	if cfg.ServerName == "" {
		cfg = cfg.Clone()
		cfg.ServerName, _, _ = net.SplitHostPort(addr)
	}
	tc := tls.Client(conn, cfg)
	if err := tc.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return tc, nil
}
