// Package peer carries messages between entry hosts: msgpack bodies in framed
// TCP connections. Link is what the rest of the program sees; Node implements
// it over TCP, and internal/fakes/peernet in memory for tests.
package peer

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cactusproxy/cactusproxy/ports"
)

// HostID names an entry host.
type HostID = ports.HostID

// ErrNotSent says that no byte of the request left for the peer.
var ErrNotSent = errors.New("peer request not sent")

// ErrNoReply says that the request may have arrived, but no reply came.
var ErrNoReply = errors.New("no reply from peer")

// ErrRemote says that the peer's handler returned an error. The peer did
// receive the request.
var ErrRemote = errors.New("peer returned an error")

// Kind tells what a message is; it selects the handler at the other end.
type Kind uint16

// Ranges of kinds: each package that speaks to its own kind on other hosts
// counts up from its base.
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
)

// Handler answers a message. The body belongs to the handler; an error is
// reported to a caller as ErrRemote and dropped for a notification.
type Handler func(ctx context.Context, from HostID, body []byte) ([]byte, error)

// Link sends messages to other entry hosts and hands incoming ones to the
// registered handlers. All methods are safe for concurrent use.
type Link interface {
	// Self is the identity that peers see.
	Self() HostID
	// Call sends a request and waits for its reply until ctx ends. The error
	// is ErrNotSent, ErrNoReply or ErrRemote (test with errors.Is).
	Call(ctx context.Context, to HostID, kind Kind, body []byte) ([]byte, error)
	// Notify sends a message without a reply. It never blocks; false means that
	// it was dropped because the peer is unknown or its queue is full. True is
	// no promise of delivery.
	Notify(to HostID, kind Kind, body []byte) bool
	// Handle registers the handler of a kind, before the link starts to serve.
	Handle(kind Kind, h Handler)
}

// Call sends a typed request and decodes the typed reply.
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

// Notify sends a typed message without a reply.
func Notify[Msg any](l Link, to HostID, kind Kind, msg Msg) bool {
	body, err := msgpack.Marshal(msg)
	if err != nil {
		return false
	}
	return l.Notify(to, kind, body)
}

// Handle registers a typed handler. A body that can not be decoded is an error
// of the sender and never reaches fn.
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
