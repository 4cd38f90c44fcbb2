// Package batch groups small writes to the platform's table into few transactions,
// limits the transactions per second, and determines the result of writes whose
// reply was lost.
//
// Writes are queued by class and committed together by Writer.Run. A write that
// conflicts is answered with the row in its way, and the rest of its transaction is
// queued again. After a lost reply the rows are read back and compared. While the
// host's own rate is used up, writes may be forwarded to another host that commits
// for many.
package batch

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/cactusproxy/cactusproxy/ports"
)

// Class is the priority of a write: transactions are filled starting with the
// lowest class.
type Class uint8

const (
	// Claim writes block a call.
	Claim Class = iota
	// GiveUp writes block the result of a call that is not sent.
	GiveUp
	// Settle writes block nothing.
	Settle

	numClasses
)

// ErrNotWritten means that the write did not take effect and never will.
var ErrNotWritten = errors.New("write canceled before it took effect")

// ErrPending means that the write may have taken effect or may still do so. The
// writer continues to determine the result and then calls the write's OnLateResult.
var ErrPending = errors.New("write still pending")

// Result is the result of a write.
type Result struct {
	// Applied is true if the row is as the write specified.
	Applied bool
	// Row is the current row: the one written, or the one that caused the conflict.
	Row ports.Row
}

// Write is one write to one row.
type Write struct {
	Class Class
	Op    ports.Op
	// OnLateResult, if set, is called with the result of a write that was pending
	// when Do returned, or that was made with Go. The error is ErrNotWritten if the
	// write never took effect.
	OnLateResult func(Result, error)
}

// Config sets the limits of a Writer. Zero fields take their defaults.
type Config struct {
	// Rate is the number of transactions per second.
	Rate float64
	// MaxOps limits the writes of each class in one transaction, so that a stream
	// of claims does not block Settle writes indefinitely. MaxBytes limits the
	// total size of the values.
	MaxOps   int
	MaxBytes int
	// InFlight limits the number of concurrent transactions.
	InFlight int
	// Timeout limits one transaction or read.
	Timeout time.Duration
	// Linger is how long Settle writes wait to join a transaction with claims
	// before they get a transaction of their own.
	Linger time.Duration
	// Forward, if set, receives the writes instead of the table while it is ready
	// and this host's own rate is used up.
	Forward Forwarder
	// Count, if set, adds n to the named counter.
	Count func(name string, n int64)
}

// Names of counters.
const (
	countCommits        = "commits"
	countConflicts      = "commits_in_conflict"
	countRefused        = "commits_refused"
	countUncertain      = "commits_uncertain"
	countWrites         = "writes_committed"
	countForwards       = "forwards"
	countForwardsFailed = "forwards_failed"
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

// Bounds of the exponential backoff after a transaction that the platform refused.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
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

// outcome is a result, or an error in place of it.
type outcome struct {
	res Result
	err error
}

// entry is a write that has no result yet.
type entry struct {
	Write
	done chan outcome
	// enqueuedAt is when the write was requested.
	enqueuedAt time.Time
	// queued is false while the entry is part of a transaction in flight.
	queued bool
	// uncertain is set once a reply was lost: the write may take effect at any
	// later time, until the row shows that it no longer can.
	uncertain bool
	// abandoned is set once no caller of Do waits for the entry.
	abandoned bool
}

// Writer commits the writes of one host in groups. It is safe for concurrent use.
type Writer struct {
	table   ports.Table
	cfg     Config
	limiter *rate.Limiter
	wake    chan struct{}
	slots   chan struct{}

	mu       sync.Mutex
	queues   [numClasses][]*entry
	inFlight int
	backoff  time.Duration
	retryAt  time.Time
	// directUntil is when writes may be forwarded again.
	directUntil time.Time
}

// NewWriter returns a writer, which commits only while Run is running.
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

// burstShare divides the rate to get the burst size of the limiter. minBurst lets a
// claim follow immediately after a transaction without claims.
const (
	burstShare = 4
	minBurst   = 2
)

// minRate is the lowest rate in transactions per second, so that a writer without a
// share still makes progress.
const minRate = 0.1

// SetRate sets the number of transactions per second.
func (w *Writer) SetRate(perSecond float64) {
	perSecond = max(perSecond, minRate)
	w.limiter.SetLimit(rate.Limit(perSecond))
	w.limiter.SetBurst(max(minBurst, int(perSecond/burstShare)))
}

// Do makes a write and waits for its result until ctx ends. The error is
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

// Go makes a write without waiting, however long it takes; the write's OnLateResult
// receives the result.
func (w *Writer) Go(wr Write) {
	w.enqueue(&entry{Write: wr, done: make(chan outcome, 1), abandoned: true, uncertain: true})
}

// Backlog returns the number of writes that have no result yet.
func (w *Writer) Backlog() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.inFlight
	for _, q := range w.queues {
		n += len(q)
	}
	return n
}

func (w *Writer) enqueue(e *entry) {
	w.mu.Lock()
	e.enqueuedAt = time.Now()
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

// abandon ends the wait for an entry. An entry that is queued and not uncertain is
// removed and definitely not written.
func (w *Writer) abandon(e *entry) (Result, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case o := <-e.done:
		return o.res, o.err
	default:
	}
	if e.queued && !e.uncertain {
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
