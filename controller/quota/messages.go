package quota

import (
	"time"

	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/quota"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Kinds of messages between hosts, relative to Deps.Kind.
const (
	// kindTake asks the owner of a zone's part to decide on one request.
	kindTake peer.Kind = iota
	// kindBorrow asks the owner of another zone's part for tokens.
	kindBorrow
	// kindAlive asks a host whether it can own parts.
	kindAlive
	// kindNotify tells an owner about a limit.
	kindNotify
	// kindHandOver asks a host for a part that it may have owned.
	kindHandOver
)

// verdict is an owner's decision on a request.
type verdict uint8

const (
	// granted means that the request is within the quota.
	granted verdict = iota + 1
	// denied means that the request exceeds the quota.
	denied
	// notOwner means that the receiver doesn't own the part, or doesn't know the quota.
	notOwner
)

// takeRequest is the body of kindTake.
type takeRequest = quota.Request

type takeReply struct {
	Verdict verdict `msgpack:"verdict"`
	// Wait is the time until the quota has room, if Verdict is denied.
	Wait time.Duration `msgpack:"wait"`
	// Owner is the owner of the part if Verdict is notOwner; empty if unknown.
	Owner ports.HostID `msgpack:"owner"`
	// Cause is why the receiver doesn't decide if Verdict is notOwner.
	Cause cause `msgpack:"cause,omitempty"`
	// Owns has the meaning it has in aliveReply.
	Owns bool `msgpack:"owns"`
	// Observed is what the owner knows about the limit if it isn't configured.
	Observed quota.ObservedLimit `msgpack:"word,omitempty"`
}

// limitNotice is the body of kindNotify.
type limitNotice struct {
	Name     string              `msgpack:"name"`
	Observed quota.ObservedLimit `msgpack:"word"`
}

// noReply is the reply to a notification.
type noReply struct{}

type borrowRequest struct {
	Name string  `msgpack:"tenant"`
	Want float64 `msgpack:"want"`
}

type borrowReply struct {
	Tokens float64 `msgpack:"tokens"`
	// Owns has the meaning it has in aliveReply.
	Owns bool `msgpack:"owns"`
}

// aliveRequest is the body of kindAlive.
type aliveRequest struct{}

type aliveReply struct {
	// Owns is set if the host knows all hosts and therefore can own parts.
	Owns bool `msgpack:"owns"`
}
