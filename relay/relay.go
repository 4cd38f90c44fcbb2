// Package relay carries connections to targets through other hosts.
//
// A host that has lost its own path to a target opens a stream (package peer) to a host that has
// not. That host connects to the target and passes bytes on in both directions, unread. The
// request stays with the host that took it: its choice of target, attempts, limits, quotas,
// deadline and records are those of a request on a connection of its own, and what it can say
// about whether the request ran is the same. A caller's leaving closes the stream and thereby
// the connection to the target.
//
// There is one hop at most: the carrying host connects to targets of its own list only, and by its
// own path only. Callers can't ask for it, since it is reached by the link between hosts alone.
package relay

import (
	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/ports"
)

const kindConnect = peer.KindRelay + 1

// connectMsg asks a host to connect to a target.
type connectMsg struct {
	Target      ports.HostID      `msgpack:"target"`
	Incarnation ports.Incarnation `msgpack:"incarnation"`
	Addr        string            `msgpack:"addr"`
}

// requestNote names the request whose bytes follow on the stream.
type requestNote struct {
	Request string `msgpack:"request"`
}

// Reasons why a host does not carry a connection. Nothing was sent to the target.
var (
	errLeaving     = errors.New("leaving")
	errFull        = errors.New("full")
	errUnlisted    = errors.New("target not listed")
	errUnreachable = errors.New("target unreachable")
	errNoPath      = errors.New("no path to target")
)
