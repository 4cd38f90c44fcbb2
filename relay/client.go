package relay

import (
	"context"
	"expvar"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/directpath"
	"github.com/cactusproxy/cactusproxy/policy/relays"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// ClientDeps are the dependencies of a Client.
type ClientDeps struct {
	Board   *blackboard.Board
	Streams peer.Streams
	Self    ports.HostID
	// Zone is this host's availability zone.
	Zone    string
	Seed    uint64
	Metrics *metrics.Set
}

// Client opens connections to targets through other hosts. It is safe for concurrent use.
type Client struct {
	deps ClientDeps
	// opened counts connections, failed attempts by reason.
	opened *expvar.Int
	failed *expvar.Map

	mu  sync.Mutex
	rng *rand.Rand
	// failedAt is when a host last failed. Hosts that have carried a connection since are left
	// out.
	failedAt map[ports.HostID]time.Time
}

var _ upstream.Relay = (*Client)(nil)

// NewClient returns a Client that knows of no failures.
func NewClient(d ClientDeps) *Client {
	return &Client{
		deps:     d,
		opened:   d.Metrics.Counters("relay")("opened"),
		failed:   d.Metrics.Map("relay_failed"),
		rng:      rand.New(rand.NewPCG(d.Seed, 7)),
		failedAt: make(map[ports.HostID]time.Time),
	}
}

// Hosts implements upstream.Relay.
func (c *Client) Hosts(t blackboard.Target) []ports.HostID {
	members := c.deps.Board.Members.Load().Eligible()
	hosts := make([]relays.Host, 0, len(members))
	for _, m := range members {
		if m.Host.ID != c.deps.Self {
			hosts = append(hosts, relays.Host{ID: m.Host.ID, Zone: m.Host.Zone})
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return relays.Choose(time.Now(), c.rng, hosts, relays.Query{
		Zone:       c.deps.Zone,
		TargetZone: t.Zone,
		Failed:     func(id ports.HostID) time.Time { return c.failedAt[id] },
	})
}

// Dial implements upstream.Relay.
func (c *Client) Dial(ctx context.Context, via ports.HostID, t blackboard.Target) (upstream.RelayedConn, error) {
	begin := time.Now()
	body, err := msgpack.Marshal(connectMsg{Target: t.ID, Incarnation: t.Incarnation, Addr: t.Addr})
	if err != nil {
		return nil, errors.Wrap(err, "encode relay request")
	}
	s, err := c.deps.Streams.OpenStream(ctx, via, kindConnect, body)
	if err != nil {
		c.recordFailure(ctx, via, begin, err)
		return nil, markUnreachable(errors.Wrapf(err, "connect through %s", via))
	}
	c.opened.Add(1)
	c.mu.Lock()
	delete(c.failedAt, via)
	c.mu.Unlock()
	return &conn{s}, nil
}

// recordFailure records that a host did not carry a connection. One that was canceled since
// another was faster counts only if it kept the caller waiting.
func (c *Client) recordFailure(ctx context.Context, via ports.HostID, begin time.Time, err error) {
	now := time.Now()
	if errors.Is(ctx.Err(), context.Canceled) && now.Sub(begin) < directpath.NextStart {
		return
	}
	c.failed.Add(failureReason(err), 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedAt[via] = now
	for id, at := range c.failedAt {
		if now.Sub(at) > relays.FailureMemory {
			delete(c.failedAt, id)
		}
	}
}

// failureReason returns the key under which a failure is counted.
func failureReason(err error) string {
	switch {
	case errors.Is(err, peer.ErrRemote):
		return "refused"
	case errors.Is(err, peer.ErrNotSent):
		return "host-unreachable"
	default:
		return "no-reply"
	}
}

// markUnreachable marks the error of a host that does not reach the target although its paths are
// well. Reasons travel as text.
func markUnreachable(err error) error {
	if errors.Is(err, peer.ErrRemote) && strings.HasSuffix(err.Error(), errUnreachable.Error()) {
		return errors.Mark(err, upstream.ErrTargetUnreachable)
	}
	return err
}

// conn is a connection to a target through another host.
type conn struct{ *peer.Stream }

var _ upstream.RelayedConn = (*conn)(nil)

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Stream.Read(p)
	return n, markLost(err)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Stream.Write(p)
	return n, markLost(err)
}

// markLost distinguishes the loss of the carrying host from an end that the target brought about.
func markLost(err error) error {
	if !errors.Is(err, peer.ErrStreamLost) {
		return err
	}
	return errors.Mark(err, upstream.ErrRelayLost)
}

// Announce implements upstream.RelayedConn.
func (c *conn) Announce(request string) error {
	body, err := msgpack.Marshal(requestNote{Request: request})
	if err != nil {
		return err
	}
	return c.Note(body)
}
