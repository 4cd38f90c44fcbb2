package upstream

import (
	"context"
	"net"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Relay opens connections to targets through other hosts. Implementations are safe for concurrent
// use.
type Relay interface {
	// Hosts returns the hosts to try for a connection to a target, in order.
	Hosts(t blackboard.Target) []ports.HostID
	// Dial opens a connection through a host. Nothing is sent to the target meanwhile.
	Dial(ctx context.Context, via ports.HostID, t blackboard.Target) (RelayedConn, error)
}

// RelayedConn is a connection through another host.
type RelayedConn interface {
	net.Conn
	// Announce names the request whose bytes follow.
	Announce(request string) error
	// Retired reports whether the other host, which is leaving, asks that nothing more is sent.
	Retired() bool
	// OnRetire sets a function that is called once the other host asks so.
	OnRetire(f func())
}

// dialRoute instructs the dial function of the transport how to open a connection, and receives it.
type dialRoute struct {
	// via is the host to go through; empty for a connection of this host's own.
	via    ports.HostID
	target blackboard.Target
	conn   *countingConn
}

type dialRouteKey struct{}

// dialCounting opens a connection as the dialRoute of ctx says.
func (p *Pools) dialCounting(ctx context.Context, addr string) (net.Conn, error) {
	route, _ := ctx.Value(dialRouteKey{}).(*dialRoute)
	var raw net.Conn
	var err error
	if route != nil && route.via != "" {
		raw, err = p.opts.Relay.Dial(ctx, route.via, route.target)
	} else {
		raw, err = p.opts.Dial(ctx, addr)
	}
	if err != nil {
		return nil, err
	}
	c := newCountingConn(raw)
	c.countIn(&p.open)
	if route != nil {
		route.conn = c
	}
	return c, nil
}

// dial opens one connection, through a host unless via is empty.
func (p *pool) dial(ctx context.Context, via ports.HostID) (*conn, error) {
	route := &dialRoute{via: via, target: p.target}
	cc, err := p.owner.transport.NewClientConn(context.WithValue(ctx, dialRouteKey{}, route), p.owner.scheme, p.addr)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	socket := socketOf(route.conn.Conn)
	c := &conn{cc: cc, counter: route.conn, socket: socket, via: via, opened: now, idleSince: now, wait: newResponseWait(socket)}
	c.busy.Store(true)
	return c, nil
}

// relayed returns the connection through another host, or nil if this host opened it itself.
func (c *conn) relayed() RelayedConn {
	r, _ := c.counter.Conn.(RelayedConn)
	return r
}

// retired reports whether nothing more may be sent on the connection.
func (c *conn) retired() bool {
	r := c.relayed()
	return r != nil && r.Retired()
}

// announce names the request to a host that carries it. If that fails, so does the request.
func (c *conn) announce(request string) {
	if r := c.relayed(); r != nil && request != "" {
		_ = r.Announce(request)
	}
}
