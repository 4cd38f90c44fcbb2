package quota

import (
	"time"

	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/quota"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Messages between hosts, counted from Deps.Kind.
const (
	// kindTake asks the owner of a zone's part for one request.
	kindTake peer.Kind = iota
	// kindBorrow asks the owner of another zone's part for tokens.
	kindBorrow
	// kindAlive asks a host whether it can own parts.
	kindAlive
	// kindTell tells an owner of a limit.
	kindTell
)

// verdict is what an owner says of a request.
type verdict uint8

const (
	// granted: the request is within the quota.
	granted verdict = iota + 1
	// denied: it is not.
	denied
	// elsewhere: another host owns the part, or none that the sender can name.
	elsewhere
)

// takeRequest is the body of kindTake.
type takeRequest = quota.Request

type takeReply struct {
	Verdict verdict `msgpack:"verdict"`
	// Wait, of a denial, is how long until there is room.
	Wait time.Duration `msgpack:"wait"`
	// Owner, of elsewhere, is who owns the part; empty if not known.
	Owner ports.HostID `msgpack:"owner"`
	// Word is what the owner knows of the limit, where the configuration doesn't say.
	Word quota.ObservedLimit `msgpack:"word,omitempty"`
}

// tellNotice is the body of kindTell.
type tellNotice struct {
	Name string              `msgpack:"name"`
	Word quota.ObservedLimit `msgpack:"word"`
}

// none is the reply to a notification.
type none struct{}

type borrowRequest struct {
	Name string  `msgpack:"tenant"`
	Want float64 `msgpack:"want"`
}

type borrowReply struct {
	Tokens float64 `msgpack:"tokens"`
}

// aliveRequest is the empty body of kindAlive.
type aliveRequest struct{}

type aliveReply struct {
	// Owns is set if the host knows all hosts, so that it can own parts.
	Owns bool `msgpack:"owns"`
}
