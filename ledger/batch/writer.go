// Package batch commits many small writes to the platform's table in few
// transactions, under a limit of transactions a second, and finds out what
// became of a write whose answer was lost.
package batch

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/cactusproxy/cactusproxy/ports"
)

// Class orders writes: a transaction is filled from the lowest class up.
type Class uint8

const (
	// Claim writes hold up a call.
	Claim Class = iota
	// GiveUp writes hold up the answer to a call that is not sent.
	GiveUp
	// Settle writes hold up nobody.
	Settle

	classes
)

// ErrNotWritten says that the write did not take effect and never will.
var ErrNotWritten = errors.New("write given up before it took effect")

// ErrPending says that the write may have taken effect or may still do so. The
// writer goes on to find out and then calls the write's Late function.
var ErrPending = errors.New("write pending")

// Result is what became of a write.
type Result struct {
	// Applied is true if the row is as the write left it.
	Applied bool
	// Row is the present row: the one written, or the one that was in the way.
	Row ports.Row
}

// Write is one write to one row.
type Write struct {
	Class Class
	Op    ports.Op
	// Late is called, if set, after Do returned ErrPending, once it is known
	// what became of the write; ErrNotWritten if nothing did.
	Late func(Result, error)
}

// Config sets the limits of a Writer. Zero fields get the defaults.
type Config struct {
	// Rate is the number of transactions a second.
	Rate float64
	// MaxOps bounds the writes of each class in one transaction, so that a
	// stream of claims does not hold back the answers for good. MaxBytes bounds
	// the values of all of them.
	MaxOps   int
	MaxBytes int
	// InFlight bounds the transactions under way at once.
	InFlight int
	// Timeout bounds one transaction or read.
	Timeout time.Duration
	// Linger is how long Settle writes wait for a transaction that claims pay
	// for, before they get one of their own.
	Linger time.Duration
	// Forward, if set, takes the writes in place of the table while it can.
	Forward Forwarder
	// Count, if set, adds to a counter.
	Count func(name string, n int64)
}

// Names of counters.
const (
	countCommits    = "commits"
	countConflicts  = "commits_in_conflict"
	countRefused    = "commits_refused"
	countUncertain  = "commits_uncertain"
	countWrites     = "writes_committed"
	countForwards   = "forwards"
	countNoForwards = "forwards_failed"
)

// Defaults of Config.
const (
	DefaultRate     = 20
	DefaultMaxOps   = 128
	DefaultMaxBytes = 256 << 10
	DefaultInFlight = 4
	DefaultTimeout  = 2 * time.Second
	DefaultLinger   = 100 * time.Millisecond
)

// Pauses after a transaction that the platform refused.
const (
	firstPause = 20 * time.Millisecond
	lastPause  = 500 * time.Millisecond
)

func (c Config) withDefaults() Config {
	if c.Rate <= 0 {
		c.Rate = DefaultRate
	}
	if c.MaxOps <= 0 {
		c.MaxOps = DefaultMaxOps
	}
	if c.MaxBytes <= 0 {
		c.MaxBytes = DefaultMaxBytes
	}
	if c.InFlight <= 0 {
		c.InFlight = DefaultInFlight
	}
	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}
	if c.Count == nil {
		c.Count = func(string, int64) {}
	}
	if c.Linger <= 0 {
		c.Linger = DefaultLinger
	}
	return c
}

// outcome is a result or the error that stands in for it.
type outcome struct {
	res Result
	err error
}

// entry is a write on its way.
type entry struct {
	Write
	done chan outcome
	// since is when the write was asked for.
	since time.Time
	// queued is false while the entry is part of a transaction under way.
	queued bool
	// maybe is set once an answer was lost: the write may take effect at any
	// later time, until the row shows that it can not any more.
	maybe bool
	// abandoned is set once nobody waits in Do.
	abandoned bool
}

// Writer is the group commit of one host. It is safe for concurrent use.
type Writer struct {
	table   ports.Table
	cfg     Config
	limiter *rate.Limiter
	wake    chan struct{}
	slots   chan struct{}

	mu       sync.Mutex
	queues   [classes][]*entry
	underway int
	pause    time.Duration
	notSoon  time.Time
	// directUntil is when writes may be forwarded again.
	directUntil time.Time
}

// NewWriter returns a writer that works while Run does.
func NewWriter(table ports.Table, cfg Config) *Writer {
	cfg = cfg.withDefaults()
	w := &Writer{
		table:   table,
		cfg:     cfg,
		limiter: rate.NewLimiter(0, 1),
		wake:    make(chan struct{}, 1),
		slots:   make(chan struct{}, cfg.InFlight),
	}
	w.SetRate(cfg.Rate)
	return w
}

// burstShare is the part of a second's transactions that may go at once;
// minBurst lets a claim follow at once on a transaction without claims.
const (
	burstShare = 4
	minBurst   = 2
)

// minRate keeps a writer without a share moving.
const minRate = 0.1

// SetRate replaces the number of transactions a second.
func (w *Writer) SetRate(perSecond float64) {
	perSecond = max(perSecond, minRate)
	w.limiter.SetLimit(rate.Limit(perSecond))
	w.limiter.SetBurst(max(minBurst, int(perSecond/burstShare)))
}

// Do writes and waits for the result until ctx ends. The error is
// ErrNotWritten or ErrPending.
func (w *Writer) Do(ctx context.Context, wr Write) (Result, error) {
	e := &entry{Write: wr, done: make(chan outcome, 1)}
	w.enqueue(e)
	return w.wait(ctx, e)
}

func (w *Writer) wait(ctx context.Context, e *entry) (Result, error) {
	select {
	case o := <-e.done:
		return o.res, o.err
	case <-ctx.Done():
		return w.abandon(e)
	}
}

// Go writes without waiting, however long that takes; Late gets the result.
func (w *Writer) Go(wr Write) {
	w.enqueue(&entry{Write: wr, done: make(chan outcome, 1), abandoned: true, maybe: true})
}

// Backlog returns the number of writes that have no result yet.
func (w *Writer) Backlog() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.underway
	for _, q := range w.queues {
		n += len(q)
	}
	return n
}

func (w *Writer) enqueue(e *entry) {
	w.mu.Lock()
	e.since = time.Now()
	e.queued = true
	w.queues[e.Class] = append(w.queues[e.Class], e)
	w.mu.Unlock()
	w.signal()
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// abandon ends the waiting for an entry. One that is queued and never went out
// without an answer is taken back for sure.
func (w *Writer) abandon(e *entry) (Result, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case o := <-e.done:
		return o.res, o.err
	default:
	}
	if e.queued && !e.maybe {
		w.drop(e)
		return Result{}, ErrNotWritten
	}
	e.abandoned = true
	return Result{}, ErrPending
}

func (w *Writer) drop(e *entry) {
	q := w.queues[e.Class]
	for i := range q {
		if q[i] == e {
			w.queues[e.Class] = append(q[:i:i], q[i+1:]...)
			return
		}
	}
}
