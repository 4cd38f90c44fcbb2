// Package loopback measures what a daemon adds to a call: callers, entry hosts
// and targets in one process, over loopback, calls through the hosts side by side
// with calls straight to the targets.
package loopback

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/internal/standin/platform"
)

// Options says what to measure; zero fields get the defaults named.
type Options struct {
	// Hosts is the number of entry hosts; 3.
	Hosts int
	// Targets is the number of targets that take the calls; 12, with 16 slots
	// each, so that the choice never waits for a slot.
	Targets int
	// Services and Listed are declared and listed besides, without any calls.
	Services int
	Listed   int
	// StoreDown takes the platform out before latency is measured.
	StoreDown bool
	// Calls is the number of calls of each measurement; 40,000.
	Calls int
	// Load is the share of the capacity at which latency is measured; 0.5.
	Load float64
	// Callers is the number of callers that find the capacity; 64.
	Callers int
}

func (o Options) withDefaults() Options {
	setDefault(&o.Hosts, 3)
	setDefault(&o.Targets, 12)
	setDefault(&o.Calls, 40_000)
	setDefault(&o.Callers, 64)
	if o.Load == 0 {
		o.Load = 0.5
	}
	return o
}

func setDefault(field *int, v int) {
	if *field == 0 {
		*field = v
	}
}

// Latency is the latency of the calls of one way.
type Latency struct {
	P50, P99, P999 time.Duration
}

// Report is what was measured.
type Report struct {
	Options Options
	// Capacity is the calls a second through the hosts that Callers reach with
	// all of the machine, callers and targets included.
	Capacity float64
	// Rate is the calls a second at which latency was measured, half of them
	// direct and half through the hosts.
	Rate            float64
	Direct, Through Latency
	// CPU is the processor time that a call through the hosts takes more than a
	// direct one.
	CPU time.Duration
	// Refused counts calls that did not get the target's answer.
	Refused int64
}

// Added is what the hosts add to the latency at each quantile.
func (r Report) Added() Latency {
	return Latency{
		P50:  r.Through.P50 - r.Direct.P50,
		P99:  r.Through.P99 - r.Direct.P99,
		P999: r.Through.P999 - r.Direct.P999,
	}
}

// CallsPerCore is the calls a second that one core of a host carries.
func (r Report) CallsPerCore() float64 { return 1 / r.CPU.Seconds() }

// String returns one line of key=value pairs.
func (r Report) String() string {
	a := r.Added()
	return fmt.Sprintf("hosts=%d services=%d listed=%d store_down=%t capacity=%.0f/s rate=%.0f/s direct_p50=%s direct_p99=%s through_p50=%s through_p99=%s added_p50=%s added_p99=%s added_p999=%s cpu_per_call=%s calls_per_core=%.0f refused=%d",
		r.Options.Hosts, r.Options.Services, r.Options.Listed, r.Options.StoreDown, r.Capacity, r.Rate,
		r.Direct.P50, r.Direct.P99, r.Through.P50, r.Through.P99, a.P50, a.P99, a.P999, r.CPU, r.CallsPerCore(), r.Refused)
}

// Run measures once.
func Run(ctx context.Context, o Options) (Report, error) {
	o = o.withDefaults()
	b, err := newBench(ctx, o)
	if err != nil {
		return Report{}, err
	}
	defer b.close()
	r := Report{Options: o}
	warm := b.closedLoop(ctx, b.through, o.Calls/4)
	if warm.refused > 0 {
		return r, errors.Newf("%d of %d calls had no answer", warm.refused, o.Calls/4)
	}
	direct := b.closedLoop(ctx, b.direct, o.Calls)
	through := b.closedLoop(ctx, b.through, o.Calls)
	r.CPU = (through.cpu - direct.cpu) / time.Duration(o.Calls)
	r.Capacity = float64(o.Calls) / through.took.Seconds()
	r.Rate = r.Capacity * o.Load
	if o.StoreDown {
		b.lab.Platform.SetFaults(platform.Faults{Down: true})
	}
	mixed := b.openLoop(ctx, r.Rate, o.Calls)
	r.Direct, r.Through = mixed.direct, mixed.through
	r.Refused = through.refused + mixed.refused
	return r, ctx.Err()
}

// loopResult is what one loop of calls came to.
type loopResult struct {
	took    time.Duration
	cpu     time.Duration
	refused int64
	direct  Latency
	through Latency
}

// closedLoop has Callers make calls one after the other.
func (b *bench) closedLoop(ctx context.Context, url func() string, calls int) loopResult {
	var left, refused atomic.Int64
	left.Store(int64(calls))
	start, cpu := time.Now(), processTime()
	var wg sync.WaitGroup
	for range b.opts.Callers {
		wg.Go(func() {
			for left.Add(-1) >= 0 && ctx.Err() == nil {
				if !b.get(ctx, url()) {
					refused.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return loopResult{took: time.Since(start), cpu: processTime() - cpu, refused: refused.Load()}
}

// openLoop begins calls at random moments at a rate, whatever becomes of earlier
// ones, by turns direct and through the hosts.
func (b *bench) openLoop(ctx context.Context, rate float64, calls int) loopResult {
	rng := rand.New(rand.NewPCG(1, 2))
	rec := [2]*recorder{newRecorder(), newRecorder()}
	urls := [2]func() string{b.direct, b.through}
	var wg sync.WaitGroup
	var refused atomic.Int64
	next := time.Now()
	for i := range calls {
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if wait := time.Until(next); wait > 0 {
			time.Sleep(wait)
		}
		if ctx.Err() != nil {
			break
		}
		way := i % 2
		url := urls[way]()
		wg.Go(func() {
			start := time.Now()
			if !b.get(ctx, url) {
				refused.Add(1)
				return
			}
			rec[way].add(time.Since(start))
		})
	}
	wg.Wait()
	return loopResult{refused: refused.Load(), direct: rec[0].latency(), through: rec[1].latency()}
}

// get makes one call and reports whether a target answered it.
func (b *bench) get(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// recorder collects latencies.
type recorder struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

func newRecorder() *recorder {
	return &recorder{hist: hdrhistogram.New(1, int64(time.Minute), 3)}
}

func (r *recorder) add(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.hist.RecordValue(int64(d))
}

func (r *recorder) latency() Latency {
	at := func(q float64) time.Duration { return time.Duration(r.hist.ValueAtQuantile(q)) }
	return Latency{P50: at(50), P99: at(99), P999: at(99.9)}
}

// processTime returns the processor time that this process has used.
func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
