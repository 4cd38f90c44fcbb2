package peer

import (
	"context"
	"crypto/tls"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// DefaultMaxFrame is the largest frame in bytes unless Options say
	// otherwise: room for a configuration of 490 services.
	DefaultMaxFrame = 16 << 20

	maxQueuedFrames = 8192
	maxQueuedBytes  = 32 << 20
	maxInbound      = 1024
	maxHandlers     = 8192
	dialTimeout     = time.Second
	writeTimeout    = 5 * time.Second
	unackedTimeout  = 5 * time.Second
	idleTimeout     = time.Minute
	retireLinger    = 5 * time.Second
	acceptRetry     = 50 * time.Millisecond
	firstBackoff    = 20 * time.Millisecond
	maxBackoff      = time.Second
	// steadyAfter is how long a connection has to last before the wait for the
	// next one starts small again.
	steadyAfter = time.Second
)

var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     5 * time.Second,
	Interval: 2 * time.Second,
	Count:    3,
}

// Options of a Node. Without TLS and Key anyone who reaches the listener is
// taken for an entry host: that is for loopback only.
type Options struct {
	Self HostID
	// Incarnation of this run of the daemon.
	Incarnation uint64
	// Listener takes connections from peers; the node closes it.
	Listener net.Listener
	// TLS, if set, is used for both directions; it should demand and verify
	// the certificate of the other end.
	TLS *tls.Config
	// Key, if set, is shared by all entry hosts and authenticates each frame.
	// It hides nothing.
	Key []byte
	// MaxFrame is the largest frame in bytes, either way; 0 is
	// DefaultMaxFrame.
	MaxFrame int
	// Dial opens connections; nil dials TCP.
	Dial    func(ctx context.Context, addr string) (net.Conn, error)
	Log     *zap.Logger
	Metrics *metrics.Set
}

// Node is a Link over TCP. For each peer it opens one connection, which carries
// its requests and notifications one way and the replies the other; the peer
// opens its own for what it sends. A connection is opened by the first message
// and closed when unused for a minute. Handlers run in goroutines of their own,
// in no particular order; their context ends with the connection, and they do
// not learn when a caller stops waiting.
type Node struct {
	opts  Options
	count counters
	ctx   context.Context
	stop  context.CancelFunc

	handlers  atomic.Pointer[map[Kind]Handler]
	remotes   atomic.Pointer[map[HostID]*remote]
	inbound   atomic.Int64
	executing atomic.Int64

	mu     sync.Mutex // guards closed and changes of handlers and remotes
	closed bool
	wg     sync.WaitGroup
}

var _ Link = (*Node)(nil)

// NewNode returns a node that knows no peers. Close releases it.
func NewNode(opts Options) *Node {
	if opts.MaxFrame == 0 {
		opts.MaxFrame = DefaultMaxFrame
	}
	if opts.Log == nil {
		opts.Log = zap.NewNop()
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.New()
	}
	if opts.Dial == nil {
		d := &net.Dialer{Timeout: dialTimeout}
		opts.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", addr)
		}
	}
	n := &Node{opts: opts, count: newCounters(opts.Metrics)}
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.handlers.Store(&map[Kind]Handler{})
	n.remotes.Store(&map[HostID]*remote{})
	return n
}

// Self returns the identity that peers see.
func (n *Node) Self() HostID { return n.opts.Self }

// Stats are totals since the node was made, but for Connections.
type Stats struct {
	// BytesSent counts frames with their tags, not the headers of TCP and IP.
	BytesSent  int64
	FramesSent int64
	// Connections that this host opened and that are open now.
	Connections int64
}

// Stats returns the node's traffic so far.
func (n *Node) Stats() Stats {
	return Stats{
		BytesSent:   n.count.bytesOut.Value(),
		FramesSent:  n.count.framesOut.Value(),
		Connections: n.count.connections.Value(),
	}
}

// Handle registers the handler of a kind.
func (n *Node) Handle(kind Kind, h Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	next := maps.Clone(*n.handlers.Load())
	next[kind] = h
	n.handlers.Store(&next)
}

// SetPeers replaces the peers and their addresses; this host itself and hosts
// without a peer address are passed over. Replies that a removed peer owes are
// waited for a few seconds more.
func (n *Node) SetPeers(hosts []ports.Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	old := *n.remotes.Load()
	next := make(map[HostID]*remote, len(hosts))
	for _, h := range hosts {
		if h.ID == n.opts.Self || h.PeerAddr == "" {
			continue
		}
		r := old[h.ID]
		if r == nil {
			r = newRemote(n, h.ID)
		}
		r.setAddr(h.PeerAddr)
		next[h.ID] = r
	}
	n.remotes.Store(&next)
	for id, r := range old {
		if next[id] == nil {
			r.retire()
		}
	}
}

// start runs a remote that has something to send.
func (n *Node) start(r *remote) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		r.close()
		return
	}
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		r.run()
	}()
}

// Serve takes connections until ctx ends, then closes the node. It returns an
// error only if the listener was closed by someone else.
func (n *Node) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, n.Close)
	defer stop()
	defer n.Close()
	for {
		conn, err := n.opts.Listener.Accept()
		if n.ctx.Err() != nil {
			closeIf(conn)
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "accept peer connection")
		}
		if err != nil {
			// Out of file descriptors, for one: that passes, and a daemon that
			// ended over it would cut off its callers.
			n.count.acceptFailed.Add(1)
			n.opts.Log.Warn("peer connection not accepted", zap.Error(err))
			time.Sleep(acceptRetry)
			continue
		}
		n.acceptConn(conn)
	}
}

func closeIf(conn net.Conn) {
	if conn != nil {
		_ = conn.Close()
	}
}

// acceptConn serves one connection in the background.
func (n *Node) acceptConn(conn net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || n.inbound.Load() >= maxInbound {
		n.count.inboundRefused.Add(1)
		_ = conn.Close()
		return
	}
	n.inbound.Add(1)
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		defer n.inbound.Add(-1)
		n.serveInbound(conn)
	}()
}

// Close ends all connections and waits for their goroutines, but not for
// handlers that still run. Requests in flight end with ErrNoReply.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.stop()
	if n.opts.Listener != nil {
		_ = n.opts.Listener.Close()
	}
	n.wg.Wait()
}

// Call sends a request and waits for the reply. A peer that can not be reached
// at the moment gives ErrNotSent at once, so that the caller can do without.
func (n *Node) Call(ctx context.Context, to HostID, kind Kind, body []byte) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, failed(ErrNotSent, err)
	}
	if to == n.opts.Self {
		return n.callSelf(ctx, kind, body)
	}
	r := (*n.remotes.Load())[to]
	if r == nil {
		n.count.unknownPeer.Add(1)
		return nil, errNoPeer
	}
	return r.call(ctx, kind, body)
}

// Notify sends a message without a reply.
func (n *Node) Notify(to HostID, kind Kind, body []byte) bool {
	if to == n.opts.Self {
		own := append([]byte(nil), body...)
		go func() { _, _ = n.callSelf(n.ctx, kind, own) }()
		return true
	}
	r := (*n.remotes.Load())[to]
	if r == nil {
		n.count.unknownPeer.Add(1)
		return false
	}
	return r.notify(kind, body) == nil
}

func (n *Node) callSelf(ctx context.Context, kind Kind, body []byte) ([]byte, error) {
	out, err := n.handle(ctx, n.opts.Self, kind, append([]byte(nil), body...))
	if err != nil {
		return nil, failed(ErrRemote, err)
	}
	return out, nil
}

var errNoHandler = errors.New("no handler for this kind of message")

func (n *Node) handle(ctx context.Context, from HostID, kind Kind, body []byte) ([]byte, error) {
	h := (*n.handlers.Load())[kind]
	if h == nil {
		return nil, errNoHandler
	}
	return h(ctx, from, body)
}
