package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"go.uber.org/zap"
)

// run connects until there is nothing left to send.
func (r *remote) run() {
	for r.ctx.Err() == nil {
		if r.rest() {
			return
		}
		r.connect()
	}
	r.close()
}

// rest ends the run if there is nothing to send.
func (r *remote) rest() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = len(r.out.frames) > 0
	return !r.running
}

// connect opens a connection and serves it until it breaks or is unused.
func (r *remote) connect() {
	s, err := r.dial()
	if err != nil {
		r.node.count.dialFailed.Add(1)
		r.node.opts.Log.Debug("peer not reached", zap.String("peer", string(r.id)), zap.Error(err))
		r.broken(err)
		return
	}
	r.mu.Lock()
	r.notBefore = time.Time{}
	r.downSince = time.Time{}
	r.mu.Unlock()
	start := time.Now()
	r.node.count.connections.Add(1)
	err = r.serve(s)
	r.node.count.connections.Add(-1)
	if time.Since(start) > steadyAfter {
		r.wait.Reset()
	}
	if err == nil {
		return
	}
	r.node.count.connBroken.Add(1)
	r.node.opts.Log.Info("peer connection broken", zap.String("peer", string(r.id)), zap.Error(err))
	r.broken(err)
}

func (r *remote) dial() (*session, error) {
	r.node.count.dials.Add(1)
	r.mu.Lock()
	addr := r.addr
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(r.ctx, handshakeTimeout)
	defer cancel()
	raw, err := r.node.opts.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	tuneConn(raw)
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	conn, err := r.secure(ctx, raw, addr)
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

// secure wraps the connection in TLS if the node has it.
func (r *remote) secure(ctx context.Context, conn net.Conn, addr string) (net.Conn, error) {
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
