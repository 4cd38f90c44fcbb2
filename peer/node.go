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
	// DefaultMaxFrame is the largest frame, in bytes, unless Options.MaxFrame is set. It has
	// room for a configuration of 490 services.
	DefaultMaxFrame = 16 << 20

	// maxInbound has room for a thousand hosts and the streams that they open.
	maxInbound        = 1536
	maxQueuedFrames   = 8192
	maxQueuedBytes    = 32 << 20
	maxHandlers       = 8192
	dialTimeout       = time.Second
	writeTimeout      = 5 * time.Second
	unackedTimeout    = 5 * time.Second
	idleTimeout       = time.Minute
	retireGracePeriod = 5 * time.Second
	acceptRetryDelay  = 50 * time.Millisecond
	initialBackoff    = 20 * time.Millisecond
	maxBackoff        = time.Second
	// stableAfter is how long a connection must last before the reconnect backoff is reset.
	stableAfter = time.Second
)

// keepAlive detects a peer that vanished while nothing is unacknowledged. unackedTimeout, if set
// as TCP_USER_TIMEOUT, decides in place of Count when it gives up: it is Idle plus Count
// intervals, so that three probes in a row must be lost.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     2 * time.Second,
	Interval: time.Second,
	Count:    3,
}

// Options configures a Node. Without TLS and Key, anyone who can reach the listener is
// accepted as an entry host; use that on loopback only.
type Options struct {
	// Self is the identity of this host.
	Self HostID
	// Incarnation identifies this run of the daemon.
	Incarnation uint64
	// Listener accepts connections from peers. The node closes it.
	Listener net.Listener
	// TLS, if set, is used for connections in both directions. It should require and verify the
	// certificate of the other end.
	TLS *tls.Config
	// Key, if set, is a secret shared by all entry hosts that authenticates each frame. Frames
	// are not encrypted by it.
	Key []byte
	// MaxFrame is the largest frame to send or receive, in bytes; 0 means DefaultMaxFrame.
	MaxFrame int
	// Dial opens connections; nil dials TCP.
	Dial    func(ctx context.Context, addr string) (net.Conn, error)
	Log     *zap.Logger
	Metrics *metrics.Set
}

// Node implements Link over TCP. It opens at most one connection to each peer, which carries
// its requests and notifications to the peer and the replies back; the peer opens its own
// connection for the messages it sends. A connection is opened by the first message and
// closed after a minute without use.
//
// Each handler runs in its own goroutine, so messages are handled in no particular order.
// Its context ends with the connection; a handler is not told when the caller stops waiting.
type Node struct {
	opts  Options
	count counters
	ctx   context.Context
	stop  context.CancelFunc

	handlers  atomic.Pointer[map[Kind]Handler]
	streams   atomic.Pointer[map[Kind]StreamHandler]
	remotes   atomic.Pointer[map[HostID]*remote]
	inbound   atomic.Int64
	executing atomic.Int64
	// queuedReplies and queuedMessages are the sizes in bytes of the replies and of the requests and
	// notifications that are queued or being written, to all peers together.
	queuedReplies, queuedMessages atomic.Int64

	mu     sync.Mutex // guards closed and changes of handlers and remotes
	closed bool
	wg     sync.WaitGroup
}

var _ Link = (*Node)(nil)

// NewNode returns a node without peers. Call Close to release it.
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
	n.handlers.Store(&map[Kind]Handler{kindPing: handlePing})
	n.streams.Store(&map[Kind]StreamHandler{})
	n.remotes.Store(&map[HostID]*remote{})
	return n
}

// Self returns the identity of this host as its peers see it.
func (n *Node) Self() HostID { return n.opts.Self }

// Stats holds totals since the node was created, and the current number of connections.
type Stats struct {
	// BytesSent counts frames with their authentication tags, without TCP and IP headers.
	BytesSent  int64
	FramesSent int64
	// Connections is the number of open connections that this host initiated.
	Connections int64
}

// Stats returns the traffic totals of the node.
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

// SetPeers replaces the set of peers and their addresses. This host itself and hosts without
// a peer address are skipped. Calls to a removed peer that are still in flight get a few
// seconds to finish.
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

// start runs the connection loop of a remote that has frames to send.
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

// Serve accepts connections until ctx ends and then closes the node. It returns an error
// only if the listener was closed by someone else.
func (n *Node) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, n.Close)
	defer stop()
	defer n.Close()
	for {
		conn, err := n.opts.Listener.Accept()
		if n.ctx.Err() != nil {
			closeConn(conn)
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "accept peer connection")
		}
		if err != nil {
			// Errors such as running out of file descriptors are transient. Returning here would
			// stop the daemon and drop its callers.
			n.count.acceptFailed.Add(1)
			n.opts.Log.Warn("failed to accept peer connection", zap.Error(err))
			time.Sleep(acceptRetryDelay)
			continue
		}
		n.acceptConn(conn)
	}
}

func closeConn(conn net.Conn) {
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

// Close closes all connections and waits for their goroutines, but not for handlers that are
// still running. Requests in flight fail with ErrNoReply.
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

// Call sends a request and waits for the reply. If the peer is currently unreachable, it
// fails with ErrNotSent at once so that the caller can fall back.
func (n *Node) Call(ctx context.Context, to HostID, kind Kind, body []byte) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, newCallError(ErrNotSent, err)
	}
	if to == n.opts.Self {
		return n.callSelf(ctx, kind, body)
	}
	r := (*n.remotes.Load())[to]
	if r == nil {
		n.count.unknownPeer.Add(1)
		return nil, errUnknownPeer
	}
	return r.call(ctx, kind, body)
}

// Notify sends a message that has no reply.
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
		return nil, newCallError(ErrRemote, err)
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
