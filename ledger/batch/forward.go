package batch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/ports"
)

// Status is what became of a forwarded write, as far as the other host knows.
type Status uint8

const (
	// NotWritten: the write did not take effect there and never will.
	NotWritten Status = iota + 1
	// Applied: the row is as the write left it.
	Applied
	// Conflict: another row was in the way.
	Conflict
	// Pending: the write may have taken effect or may still do so.
	Pending
)

// Reply is what became of one forwarded write.
type Reply struct {
	Status Status `msgpack:"s"`
	// Version is the version of the row, Value its value if it was in the way.
	Version uint64 `msgpack:"v"`
	Value   []byte `msgpack:"b,omitempty"`
}

// Forwarder hands writes to a host that commits those of many hosts together.
type Forwarder interface {
	// Ready reports whether there is such a host, other than this one.
	Ready() bool
	// Forward hands writes over and returns what became of each, in order. With
	// an error nothing is known of any of them.
	Forward(ctx context.Context, writes []Write) ([]Reply, error)
}

// Times of forwarding.
const (
	// forwardTimeout bounds the wait for the other host.
	forwardTimeout = 250 * time.Millisecond
	// directFor is how long writes go straight to the table after the other
	// host failed.
	directFor = time.Second
)

// forwards reports whether the next transaction goes through another host. It
// does if this one would have to wait for its turn: the way through the other
// host is shorter than that, but longer than a turn that is free.
func (w *Writer) forwards() bool {
	if w.cfg.Forward == nil || !w.cfg.Forward.Ready() {
		return false
	}
	if w.limiter.Tokens() >= 1 || w.untilSoon() > 0 {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return !time.Now().Before(w.directUntil)
}

// forward hands writes to the other host. A write of which nothing is known, or
// which is pending there, is made again straight in the table: it is the same
// write, so whichever of the two lands first, the other meets its own value.
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
		w.cfg.Count(countNoForwards, 1)
		for _, e := range group {
			e.maybe = true
		}
		w.goDirect()
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
		w.goDirect()
		w.requeue(rest)
	}
}

// settleForwarded settles a write whose end is known.
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
		e.maybe = true
	}
	return false
}

func (w *Writer) goDirect() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.directUntil = time.Now().Add(directFor)
}

// DoAll makes the writes that another host has forwarded, and waits for what
// becomes of them until ctx ends.
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
