// Package calllog writes the access log. It logs every call that failed, was refused or was
// retried, and a sample of the others, so that an operator can tell what happened to a call.
// The volume is rate limited; lines that exceed the limit are counted. It also records the
// latency histogram of each service.
package calllog

import (
	"expvar"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/cactusproxy/cactusproxy/dispatch"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
)

const (
	// linesPerSecond and lineBurst limit the lines of one host. An overload that refuses
	// thousands of calls per second has one cause, which a hundred lines show; a line costs
	// about 10 microseconds.
	linesPerSecond = 100
	lineBurst      = 300
	// sampleEvery is the sampling rate of successful calls: one in this many is logged.
	sampleEvery = 200
	// loggedAge is the age of the replica from which every call is logged: nothing older may be in
	// force anywhere.
	loggedAge = 2 * time.Second
	// maxHistograms is the largest number of services that get a latency histogram.
	maxHistograms = 64
)

// Call is a finished call.
type Call struct {
	// ID is the request ID set by the caller, or empty.
	ID      string
	Method  string
	Host    string
	Path    string
	Service string
	// Tenant is the name of the tenant that the call's API key belongs to, or empty if the call
	// needed none.
	Tenant string
	// ConfigVersion is the version of the configuration that was applied to the call.
	ConfigVersion uint64
	// ReplicaAge is how long before the call the host's copy of the platform's state was last known
	// to be complete.
	ReplicaAge time.Duration
	Arrived    time.Time
	// Waited is how long before Arrived the caller first sent the call, as far as known.
	Waited time.Duration
	// Timeout is the time the call had to finish.
	Timeout  time.Duration
	Result   outcome.Result
	Status   int
	Attempts []dispatch.AttemptRecord
}

// Log writes log lines for calls. It is safe for concurrent use.
type Log struct {
	log     *zap.Logger
	limiter *rate.Limiter
	dropped *expvar.Int
	metrics *metrics.Set

	mu         sync.Mutex
	succeeded  int
	histograms map[string]*metrics.Histogram
}

// New returns a Log that writes to log and counts in m.
func New(log *zap.Logger, m *metrics.Set) *Log {
	return &Log{
		log:        log,
		limiter:    rate.NewLimiter(linesPerSecond, lineBurst),
		dropped:    m.Int("call_lines_dropped"),
		metrics:    m,
		histograms: make(map[string]*metrics.Histogram),
	}
}

// Ended records a finished call.
func (l *Log) Ended(c Call) {
	took := time.Since(c.Arrived)
	l.observe(c.Service, took)
	if !c.noteworthy() && !l.sampled() {
		return
	}
	if !l.limiter.Allow() {
		l.dropped.Add(1)
		return
	}
	l.log.Info("call", c.fields(took)...)
}

// noteworthy reports whether the call is logged regardless of sampling.
func (c *Call) noteworthy() bool {
	relayed := slices.ContainsFunc(c.Attempts, func(a dispatch.AttemptRecord) bool { return a.Via != "" })
	return c.Result.Outcome != outcome.Answered || c.Status >= 500 || len(c.Attempts) > 1 || relayed || c.sentToColdTarget() ||
		c.ReplicaAge > loggedAge
}

// sentToColdTarget reports whether an attempt went to a target that was, or may have been, cold.
// Such attempts are few, and too many of them crash the target.
func (c *Call) sentToColdTarget() bool {
	return slices.ContainsFunc(c.Attempts, func(a dispatch.AttemptRecord) bool { return a.Basis.Cold != "" })
}

func (l *Log) sampled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.succeeded++
	return l.succeeded%sampleEvery == 0
}

// observe adds a latency to the histogram of a service.
func (l *Log) observe(service string, took time.Duration) {
	if service == "" {
		return
	}
	l.mu.Lock()
	h := l.histograms[service]
	if h == nil && len(l.histograms) < maxHistograms {
		h = l.metrics.Histogram("latency/" + service)
		l.histograms[service] = h
	}
	l.mu.Unlock()
	if h != nil {
		h.Observe(took)
	}
}

func (c *Call) fields(took time.Duration) []zap.Field {
	f := []zap.Field{
		zap.String("request", c.ID),
		zap.String("outcome", c.Result.Outcome.String()),
		zap.String("reason", string(c.Result.Reason)),
		zap.Int("status", c.Status),
		zap.String("service", c.Service),
		zap.String("method", c.Method),
		zap.String("for", c.Host+c.Path),
		zap.Uint64("config", c.ConfigVersion),
		zap.Duration("took", took.Round(time.Microsecond)),
		zap.Duration("had", c.Timeout),
	}
	if c.ReplicaAge > 0 {
		f = append(f, zap.Duration("replica_age", c.ReplicaAge.Round(time.Millisecond)))
	}
	if c.Tenant != "" {
		f = append(f, zap.String("tenant", c.Tenant))
	}
	if c.Waited > 0 {
		f = append(f, zap.Duration("asked_before", c.Waited))
	}
	if c.Result.RetryAfter > 0 {
		f = append(f, zap.Duration("retry_after", c.Result.RetryAfter))
	}
	if a := c.Result.Admission; a != nil {
		f = append(f, zap.Int("rank", a.Rank), zap.Float64("share", math.Round(a.Share*1000)/1000))
	}
	if c.Result.Detail != "" {
		f = append(f, zap.String("why", c.Result.Detail))
	}
	if len(c.Attempts) > 0 {
		f = append(f, zap.String("attempts", formatAttempts(c.Attempts)))
	}
	return f
}

// formatAttempts formats attempts as "target:reason/status took=… ran=… cost=… age=…
// probed=… waited=…", separated by semicolons; cold= with its quota, warm= and limit= are added if
// set.
func formatAttempts(records []dispatch.AttemptRecord) string {
	var b strings.Builder
	for i, a := range records {
		if i > 0 {
			b.WriteString("; ")
		}
		b.WriteString(string(a.Target) + ":" + string(a.Reason))
		if a.Status > 0 {
			b.WriteString("/" + strconv.Itoa(a.Status))
		}
		b.WriteString(" took=" + a.Took.Round(time.Microsecond).String())
		b.WriteString(" ran=" + mayHaveRun(a))
		if a.Via != "" {
			b.WriteString(" via=" + string(a.Via))
		}
		if a.Cause != "" {
			b.WriteString(" cause=" + string(a.Cause))
		}
		b.WriteString(" cost=" + strconv.FormatFloat(a.Basis.Cost, 'f', 2, 64))
		b.WriteString(" age=" + a.Basis.Age.Round(time.Microsecond).String())
		if a.Basis.Cold != "" {
			b.WriteString(" cold=" + a.Basis.Cold)
			b.WriteString(formatColdQuota(a.Basis.ColdQuota))
		}
		if a.Basis.WarmAge > 0 {
			b.WriteString(" warm=" + a.Basis.WarmAge.Round(time.Millisecond).String())
		}
		if a.Basis.Limit > 0 {
			b.WriteString(" limit=" + strconv.FormatFloat(a.Basis.Limit, 'f', 2, 64))
		}
		b.WriteString(" probed=" + strconv.Itoa(a.Basis.Probed))
		b.WriteString(" waited=" + a.Basis.Waited.Round(time.Microsecond).String())
	}
	return b.String()
}

func formatColdQuota(q pick.ColdQuota) string {
	return " owners=" + strconv.Itoa(q.Owners) + "/" + strconv.Itoa(q.Hosts) +
		" list=" + strconv.FormatUint(q.ListVersion, 10) +
		" list_age=" + q.ListAge.Round(time.Millisecond).String() +
		" left=" + strconv.FormatFloat(q.Left, 'f', 2, 64)
}

func mayHaveRun(a dispatch.AttemptRecord) string {
	if a.MayHaveRun {
		return "maybe"
	}
	return "no"
}
