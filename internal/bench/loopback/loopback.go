// Package loopback benchmarks the latency and CPU time that a daemon adds to a
// call. Callers, entry hosts and targets run in one process and communicate over
// the loopback interface; calls through the hosts are compared with calls made
// directly to the targets under the same load.
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

// Options configure a measurement. Zero fields get the defaults stated.
type Options struct {
	// Hosts is the number of entry hosts; default 3.
	Hosts int
	// Targets is the number of targets that receive the calls; default 12. Each
	// has 16 slots, so that no call waits for a slot.
	Targets int
	// Services and Listed are the numbers of additional services declared and
	// targets listed, which receive no calls.
	Services int
	Listed   int
	// StoreDown makes the platform unavailable before latency is measured.
	StoreDown bool
	// Calls is the number of calls per measurement; default 40,000.
	Calls int
	// Load is the fraction of the capacity at which latency is measured; default
	// 0.5.
	Load float64
	// Callers is the number of concurrent callers used to find the capacity;
	// default 64.
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

// Latency holds latency quantiles.
type Latency struct {
	P50, P99, P999 time.Duration
}

// Report holds the results of a measurement.
type Report struct {
	Options Options
	// Capacity is the maximum rate of calls per second through the hosts, with
	// callers, hosts and targets sharing the machine.
	Capacity float64
	// Rate is the rate of calls per second at which latency was measured; half of
	// the calls were direct and half through the hosts.
	Rate            float64
	Direct, Through Latency
	// CPU is the CPU time that a call through the hosts takes in addition to that
	// of a direct call.
	CPU time.Duration
	// Refused counts calls that did not get a successful response from a target.
	Refused int64
}

// Added returns the latency that the hosts add at each quantile.
func (r Report) Added() Latency {
	return Latency{
		P50:  r.Through.P50 - r.Direct.P50,
		P99:  r.Through.P99 - r.Direct.P99,
		P999: r.Through.P999 - r.Direct.P999,
	}
}

// CallsPerCore returns the number of calls per second that one core of a host can
// handle.
func (r Report) CallsPerCore() float64 { return 1 / r.CPU.Seconds() }

// String returns one line of key=value pairs.
func (r Report) String() string {
	a := r.Added()
	return fmt.Sprintf("hosts=%d services=%d listed=%d store_down=%t capacity=%.0f/s rate=%.0f/s direct_p50=%s direct_p99=%s through_p50=%s through_p99=%s added_p50=%s added_p99=%s added_p999=%s cpu_per_call=%s calls_per_core=%.0f refused=%d",
		r.Options.Hosts, r.Options.Services, r.Options.Listed, r.Options.StoreDown, r.Capacity, r.Rate,
		r.Direct.P50, r.Direct.P99, r.Through.P50, r.Through.P99, a.P50, a.P99, a.P999, r.CPU, r.CallsPerCore(), r.Refused)
}

// Run runs one measurement: CPU time and capacity in a closed loop, then latency
// in an open loop.
func Run(ctx context.Context, o Options) (Report, error) {
	o = o.withDefaults()
	b, err := newBench(ctx, o)
	if err != nil {
		return Report{}, err
	}
	defer b.close()
	r := Report{Options: o}
	warmUp := b.closedLoop(ctx, b.hostURL, o.Calls/4)
	if warmUp.refused > 0 {
		return r, errors.Newf("%d of %d warm-up calls failed", warmUp.refused, o.Calls/4)
	}
	direct := b.closedLoop(ctx, b.directURL, o.Calls)
	through := b.closedLoop(ctx, b.hostURL, o.Calls)
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

// loopResult holds the results of one load loop.
type loopResult struct {
	took    time.Duration
	cpu     time.Duration
	refused int64
	direct  Latency
	through Latency
}

// closedLoop makes the given number of calls with Callers concurrent callers, each
// calling back to back.
func (b *bench) closedLoop(ctx context.Context, url func() string, calls int) loopResult {
	var left, refused atomic.Int64
	left.Store(int64(calls))
	start, cpu := time.Now(), cpuTime()
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
	return loopResult{took: time.Since(start), cpu: cpuTime() - cpu, refused: refused.Load()}
}

// openLoop starts calls with Poisson arrivals at the given rate, regardless of
// earlier calls, alternating between direct calls and calls through the hosts.
func (b *bench) openLoop(ctx context.Context, rate float64, calls int) loopResult {
	rng := rand.New(rand.NewPCG(1, 2))
	recorders := [2]*recorder{newRecorder(), newRecorder()}
	urls := [2]func() string{b.directURL, b.hostURL}
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
		path := i % 2
		url := urls[path]()
		wg.Go(func() {
			start := time.Now()
			if !b.get(ctx, url) {
				refused.Add(1)
				return
			}
			recorders[path].add(time.Since(start))
		})
	}
	wg.Wait()
	return loopResult{
		refused: refused.Load(), direct: recorders[0].latency(), through: recorders[1].latency(),
	}
}

// get makes one call and reports whether it got a complete response with status
// 200.
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

// recorder collects latencies in a histogram. It is safe for concurrent use.
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

// cpuTime returns the CPU time used by the process so far, or 0 if it cannot
// be read.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
