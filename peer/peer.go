// Package peer is the RPC transport between entry hosts. Messages are msgpack bodies in
// length-prefixed frames over TCP, optionally with TLS and with an HMAC on each frame.
//
// Link is the interface that other packages use: it sends requests and notifications and
// dispatches incoming messages to a handler by their Kind. Node implements Link over TCP;
// internal/fakes/peernet implements it in memory for tests. The generic functions Call,
// Notify and Handle encode and decode the bodies.
package peer

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cactusproxy/cactusproxy/ports"
)

// HostID identifies an entry host.
type HostID = ports.HostID

// ErrNotSent means that no byte of the request was sent, so the peer can not have handled
// it.
var ErrNotSent = errors.New("peer request not sent")

// ErrNoReply means that the request may have reached the peer, but no reply was received.
var ErrNoReply = errors.New("no reply from peer")

// ErrStreamLost means that a stream failed between the two hosts.
var ErrStreamLost = errors.New("stream lost")

// ErrRemote means that the peer received the request and its handler returned an error.
var ErrRemote = errors.New("peer returned an error")

// Kind is the type of a message; it selects the handler on the receiving host.
type Kind uint16

// Base values of the message kinds. Each package numbers its own kinds upwards from its
// base.
const (
	KindMembership Kind = 100 * (iota + 1)
	KindConfig
	KindSlots
	KindLedger
	KindBudget
	KindQuarantine
	KindWatch
	KindPlace
	KindQuota
	KindTargetLimit
	KindRelay
	KindAdmission
)

// Handler handles a message and returns the body of the reply. The handler owns body. An
// error reaches the caller of a request as ErrRemote; for a notification it is dropped.
type Handler func(ctx context.Context, from HostID, body []byte) ([]byte, error)

// Link sends messages to other entry hosts and dispatches incoming ones to the registered
// handlers. All methods are safe for concurrent use.
type Link interface {
	// Self returns the identity of this host as its peers see it.
	Self() HostID
	// Call sends a request and waits for the reply until ctx ends. The error matches ErrNotSent,
	// ErrNoReply or ErrRemote under errors.Is.
	Call(ctx context.Context, to HostID, kind Kind, body []byte) ([]byte, error)
	// Notify sends a message that has no reply. It never blocks. False means that the message
	// was dropped because the peer is unknown, unreachable or its queue is full; true does not
	// guarantee delivery.
	Notify(to HostID, kind Kind, body []byte) bool
	// Handle registers the handler of a kind. It must be called before the link starts to serve.
	Handle(kind Kind, h Handler)
}

// Call encodes and sends a request and decodes the reply.
func Call[Resp, Req any](ctx context.Context, l Link, to HostID, kind Kind, req Req) (Resp, error) {
	var resp Resp
	body, err := msgpack.Marshal(req)
	if err != nil {
		return resp, errors.Wrap(err, "encode peer request")
	}
	raw, err := l.Call(ctx, to, kind, body)
	if err != nil {
		return resp, err
	}
	if err := msgpack.Unmarshal(raw, &resp); err != nil {
		return resp, errors.Mark(errors.Wrap(err, "decode peer reply"), ErrNoReply)
	}
	return resp, nil
}

// Notify encodes and sends a message that has no reply. It returns false also if the message
// can not be encoded.
func Notify[Msg any](l Link, to HostID, kind Kind, msg Msg) bool {
	body, err := msgpack.Marshal(msg)
	if err != nil {
		return false
	}
	return l.Notify(to, kind, body)
}

// Handle registers a handler that takes and returns decoded values. A body that can not be
// decoded is returned to the sender as an error and does not reach fn.
func Handle[Req, Resp any](l Link, kind Kind, fn func(ctx context.Context, from HostID, req Req) (Resp, error)) {
	l.Handle(kind, func(ctx context.Context, from HostID, body []byte) ([]byte, error) {
		var req Req
		if err := msgpack.Unmarshal(body, &req); err != nil {
			return nil, errors.Wrap(err, "decode peer message")
		}
		resp, err := fn(ctx, from, req)
		if err != nil {
			return nil, err
		}
		return msgpack.Marshal(resp)
	})
}
