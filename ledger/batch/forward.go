package batch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/ports"
)

// Status is the result of a forwarded write, as far as the other host knows.
type Status uint8

const (
	// NotWritten: the other host did not make the write and never will.
	NotWritten Status = iota + 1
	// Applied: the row is as the write specified.
	Applied
	// Conflict: the current row did not meet the write's condition.
	Conflict
	// Pending: the write may have taken effect or may still do so.
	Pending
)

// Reply is the result of one forwarded write.
type Reply struct {
	Status Status `msgpack:"s"`
	// Version is the version of the row. Value is the row's value in case of a
	// conflict.
	Version uint64 `msgpack:"v"`
	Value   []byte `msgpack:"b,omitempty"`
}

// Forwarder sends writes to a host that commits the writes of many hosts together.
type Forwarder interface {
	// Ready reports whether there is such a host, other than this one.
	Ready() bool
	// Forward sends the writes and returns the result of each, in order. If it
	// returns an error, the result of every write is unknown.
	Forward(ctx context.Context, writes []Write) ([]Reply, error)
}

// Timing of forwarded writes.
const (
	// forwardTimeout limits the wait for the other host.
	forwardTimeout = 250 * time.Millisecond
	// directDuration is how long writes go directly to the table after the other
	// host failed.
	directDuration = time.Second
)

// shouldForward reports whether the next transaction goes through another host. It
// does if this host would have to wait for its rate limiter: forwarding is faster
// than that wait, but slower than a transaction that may be made now.
func (w *Writer) shouldForward() bool {
	if w.cfg.Forward == nil || !w.cfg.Forward.Ready() {
		return false
	}
	if w.limiter.Tokens() >= 1 || w.untilRetry() > 0 {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return !time.Now().Before(w.directUntil)
}

// forward sends writes to the other host. A write whose result is unknown, or that
// is pending there, is repeated directly in the table: both are the same write, so
// whichever is applied second finds its own value in the row.
func (w *Writer) forward(group []*entry) {
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	writes := make([]Write, len(group))
	for i, e := range group {
		writes[i] = e.Write
	}
	w.cfg.Count(countForwards, 1)
	replies, err := w.cfg.Forward.Forward(ctx, writes)
	if err != nil || len(replies) != len(group) {
		w.cfg.Count(countForwardsFailed, 1)
		for _, e := range group {
			e.uncertain = true
		}
		w.suspendForwarding()
		w.requeue(group)
		return
	}
	var rest []*entry
	for i, e := range group {
		if !w.settleForwarded(e, replies[i]) {
			rest = append(rest, e)
		}
	}
	if len(rest) > 0 {
		w.suspendForwarding()
		w.requeue(rest)
	}
}

// settleForwarded settles a write if its result is known, and reports whether it
// did.
func (w *Writer) settleForwarded(e *entry, r Reply) bool {
	switch r.Status {
	case Applied:
		row := ports.Row{Key: e.Op.Key, Version: r.Version, Value: e.Op.Value}
		w.settle(e, outcome{res: Result{Applied: true, Row: row}})
		return true
	case Conflict:
		row := ports.Row{Key: e.Op.Key, Version: r.Version, Value: r.Value}
		w.settle(e, outcome{res: Result{Applied: isWritten(e.Op, row), Row: row}})
		return true
	case Pending:
		e.uncertain = true
	}
	return false
}

func (w *Writer) suspendForwarding() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.directUntil = time.Now().Add(directDuration)
}

// DoAll makes writes forwarded by another host, and waits for their results until
// ctx ends.
func (w *Writer) DoAll(ctx context.Context, writes []Write) []Reply {
	entries := make([]*entry, len(writes))
	for i, wr := range writes {
		entries[i] = &entry{Write: wr, done: make(chan outcome, 1)}
		w.enqueue(entries[i])
	}
	replies := make([]Reply, len(writes))
	for i, e := range entries {
		replies[i] = newReply(w.wait(ctx, e))
	}
	return replies
}

func newReply(res Result, err error) Reply {
	switch {
	case err == nil && res.Applied:
		return Reply{Status: Applied, Version: res.Row.Version}
	case err == nil:
		return Reply{Status: Conflict, Version: res.Row.Version, Value: res.Row.Value}
	case errors.Is(err, ErrNotWritten):
		return Reply{Status: NotWritten}
	default:
		return Reply{Status: Pending}
	}
}
